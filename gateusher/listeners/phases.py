"""Whether clients are wanted: the listener's phases as a table, with no socket and no clock of its own.

**Serving** keeps connections.  **Lame** still answers all that comes, and yet sends clients away: health says no,
each answer ends its connection, and what stands idle is closed, so that soon nobody is left.  It can be taken
back.  **Handed** is a process whose successor takes the clients: health is that one's to say, and yes, while the
connections that are left here end.  **Ending** is the way out of the process and can't be taken back.
"""

from __future__ import annotations

from typing import Final

from ..base.machine import TransitionTable

SERVING: Final = "serving"
LAME: Final = "lame"
HANDED: Final = "handed"
ENDING: Final = "ending"

SEND_AWAY: Final = "send away"  # by an operator
TAKE_BACK: Final = "take back"  # by an operator
HAND: Final = "hand over"  # by a successor that serves
RECLAIM: Final = "reclaim"  # where that one is gone
END: Final = "end"  # by a signal

PHASE = TransitionTable(
    "listener",
    {
        SERVING: {SEND_AWAY: LAME, TAKE_BACK: SERVING, HAND: HANDED, END: ENDING},
        LAME: {SEND_AWAY: LAME, TAKE_BACK: SERVING, HAND: HANDED, END: ENDING},
        HANDED: {RECLAIM: SERVING, END: ENDING},
        ENDING: {END: ENDING},
    },
)

LEAVE_ALONE_S = 1.4  # a kept connection has so long to bring the request whose answer ends it
HANDED_S = 2.4  # and so long at most where a successor has the door
LEAST_S = 0.6  # and at least, and so long before the end
SETTLED_S = 0.3  # after that, one that was opened so recently may still be about to be used


class Phases:
    """The phase, since when, and what it asks of a connection that carries nothing.  Times are seconds."""

    def __init__(self) -> None:
        self.phase: str = SERVING
        self.handed = False  # a successor takes clients
        self._since = self._told = 0.0
        self._alone = HANDED_S

    @property
    def away(self) -> bool:
        """Clients are to go: the last answer of each connection ends it."""
        return self.phase != SERVING

    @property
    def healthy(self) -> bool:
        """Whether clients should come, to this process or to its successor at the same address."""
        return self.phase == SERVING or self.handed

    def move(self, event: str, now: float) -> bool:
        """Whether the phase is what was asked for now; one that is asked for twice counts from the first time."""
        if event not in PHASE.transitions[self.phase]:
            return False
        after = PHASE.next_state(self.phase, event)
        if event in (HAND, RECLAIM):
            self.handed = event == HAND
        if after != self.phase:
            if after != ENDING:
                self._told = now  # who is left on the way out has known since before
            self.phase, self._since = after, now
        return True

    def hurry(self, end_s: float) -> None:
        """The process ends then: who is idle after a handover goes a good while before."""
        self._alone = min(HANDED_S, max(LEAST_S, end_s - LEAST_S))

    def since(self, now: float) -> float:
        """How long it has been in this phase."""
        return now - self._since

    def spares_idle(self, now: float, at: float, used: bool) -> bool:
        """Lame or handed: whether a connection without a request, which was last of use at `at`, may stay open.

        Closing at once would cross requests that are on their way; each of these costs its client a second try.
        So those in use end with their next answer, and what brings nothing for a while is closed.  It could
        harm where a client asks exactly so rarely; it sees a connection that was closed between two requests.
        """
        alone = self._alone if self.handed else LEAVE_ALONE_S
        return now - self._told < alone or (not used and now - at < SETTLED_S)
