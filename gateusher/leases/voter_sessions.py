"""A voter's sessions with the processes to which it has granted tasks.

A session is one expiry time for all grants of a process (Chubby, 2006): a renewal costs the same for one task as for
10,000.  An expired session is never extended; the next one has a higher number, which tells the process that the
grants of the previous session are void.

`SessionTable` owns the sessions, and the `session` field of the grants in the voter's state.
"""

from __future__ import annotations

from .voter_state import Grant, VoterState

SessionKey = tuple[str, int]  # a process: its name and instance


class Session:
    """One process's session: its expiry time and the tasks granted in it."""

    __slots__ = ("expires_ms", "number", "tasks")

    def __init__(self, number: int) -> None:
        self.number = number
        self.expires_ms = 0.0
        self.tasks: set[str] = set()


class SessionTable:
    """All sessions of one voter.  Their numbers are above its incarnation, which no earlier one's numbers reached."""

    def __init__(self, state: VoterState, first_number: int) -> None:
        self._state = state
        self._last_number = first_number
        self.sessions: dict[SessionKey, Session] = {}

    def renumber(self, first_number: int) -> None:
        """Number all sessions anew above `first_number`, a raised incarnation; their grants stay in force.

        A candidate ignores the replies of a session with a lower number than it knows of this voter.
        """
        self._last_number = first_number
        grants = self._state.grants
        for session in self.sessions.values():
            self._last_number += 1
            session.number = self._last_number
            for task in session.tasks:
                grants[task] = grants[task]._replace(session=session.number)

    def get(self, key: SessionKey) -> Session | None:
        """Return the process's session, which may have expired."""
        return self.sessions.get(key)

    def live(self, grant: Grant | None, now: float) -> Session | None:
        """Return the unexpired session of a grant; None if there is none."""
        if grant is None or not grant.session or grant.released:
            return None
        session = self.sessions.get((grant.holder, grant.instance))
        if session and session.number == grant.session and session.expires_ms > now:
            return session
        return None

    def attach(self, task: str, now: float, lease_ms: float) -> None:
        """Add a task's grant to its holder's session, extended to at least `lease_ms`; begin one if there is none."""
        grant = self._state.grants[task]
        key = (grant.holder, grant.instance)
        session = self.sessions.get(key)
        if session is None or session.expires_ms <= now:
            self.end(key)
            self._last_number += 1
            session = Session(self._last_number)
            self.sessions[key] = session
        session.expires_ms = max(session.expires_ms, now + lease_ms)
        session.tasks.add(task)
        self._state.grants[task] = grant._replace(session=session.number)

    def detach(self, task: str) -> None:
        """Remove a task's grant from its session; the fence stays stored."""
        grant = self._state.grants.get(task)
        if grant is None:
            return
        session = self.sessions.get((grant.holder, grant.instance))
        if session:
            session.tasks.discard(task)
        self._state.grants[task] = grant._replace(session=0)

    def end(self, key: SessionKey) -> None:
        """End a session and all its grants."""
        session = self.sessions.get(key)
        if session is None:
            return
        for task in list(session.tasks):
            self.detach(task)
        del self.sessions[key]

    def end_expired(self, now: float) -> None:
        """End every expired session."""
        for key in [key for key, session in self.sessions.items() if session.expires_ms <= now]:
            self.end(key)
