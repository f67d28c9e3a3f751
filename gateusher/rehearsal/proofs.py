"""Decides which endpoints of the list are published to the policy; a state machine without clock or sockets.

An endpoint is published as ready only after it has proven to be a stand-in, and only at the address where it did so.
Draining and removal are published at once: no proof may delay a drain.  An endpoint that fails a later challenge is
published as removed, and becomes ready again once it passes one.

`EndpointProofs` owns, for each ready endpoint of the list, whether it is published and when it is challenged next.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..discovery.lists import ListedEndpoint
from ..policy.interface import EndpointState, UpdateKind

CHALLENGE_INTERVAL_MS = 1000.0


class ListUpdate(NamedTuple):
    """An update of the list from discovery."""

    kind: UpdateKind
    version: int
    lines: tuple[ListedEndpoint, ...]


class ChallengeEnded(NamedTuple):
    """The outcome of a `Challenge`."""

    endpoint: int
    address: tuple[str, int]
    passed: bool


class Tick(NamedTuple):
    """A timer event that starts the challenges that are due; sent at short intervals."""


class Challenge(NamedTuple):
    """Action: challenge this endpoint."""

    endpoint: int
    address: tuple[str, int]


class Publish(NamedTuple):
    """Action: pass this update on to the policy and the connections."""

    kind: UpdateKind
    version: int
    lines: tuple[ListedEndpoint, ...]


Event = ListUpdate | ChallengeEnded | Tick
Action = Challenge | Publish


@dataclass(slots=True)
class _ListedEndpoint:
    """An endpoint that is ready according to the list."""

    line: ListedEndpoint
    published: bool = False  # published to the policy as ready
    challenged: bool = False  # a challenge is in progress
    due: float = 0.0  # time of the next challenge, ms

    @property
    def address(self) -> tuple[str, int]:
        return self.line.ip, self.line.port


class EndpointProofs:
    """Tracks all endpoints of one list; each is challenged every `interval_ms`."""

    def __init__(self, interval_ms: float = CHALLENGE_INTERVAL_MS) -> None:
        self._interval_ms = interval_ms
        self._version = 0
        self._listed: dict[int, _ListedEndpoint] = {}

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions.  Times are milliseconds."""
        match event:
            case ListUpdate():
                return self._on_list(now, event)
            case ChallengeEnded():
                return self._on_challenge_ended(now, event)
            case Tick():
                return [
                    _challenge(listed)
                    for listed in self._listed.values()
                    if not listed.challenged and now >= listed.due
                ]

    @property
    def ready(self) -> int:
        """Number of endpoints that are published as ready."""
        return sum(listed.published for listed in self._listed.values())

    def _on_list(self, now: float, update: ListUpdate) -> list[Action]:
        if update.kind is UpdateKind.FAILED:
            return [Publish(*update)]
        self._version = update.version
        complete = update.kind is not UpdateKind.CHANGES
        if complete:
            self._remove_unlisted(update)
        published: list[ListedEndpoint] = []
        challenges: list[Action] = []
        for line in update.lines:
            if line.endpoint.state is not EndpointState.READY:
                self._listed.pop(line.endpoint.endpoint, None)
                published.append(line)
                continue
            listed = self._listed.get(line.endpoint.endpoint)
            if listed is not None and _is_same_process(listed, line):
                listed.line = line
                if listed.published:
                    published.append(line)
                elif not listed.challenged:
                    challenges.append(_challenge(listed))
                continue
            if listed is not None and listed.published and not complete:
                published.append(_as_removed(line))
            challenges += self._relist(now, listed, line)
        return [Publish(update.kind, update.version, tuple(published)), *challenges]

    def _remove_unlisted(self, update: ListUpdate) -> None:
        named = {line.endpoint.endpoint for line in update.lines}
        for endpoint in [endpoint for endpoint in self._listed if endpoint not in named]:
            del self._listed[endpoint]

    def _relist(self, now: float, listed: _ListedEndpoint | None, line: ListedEndpoint) -> list[Action]:
        """Record an endpoint that is new, has moved or has restarted; return its challenge if none is in progress.

        A new process at an old address may be another program, so a restarted endpoint must prove itself again.
        """
        if listed is not None and listed.address == (line.ip, line.port):
            listed.line = line
            listed.published = False
        else:
            listed = _ListedEndpoint(line, due=now)
            self._listed[line.endpoint.endpoint] = listed
        return [] if listed.challenged else [_challenge(listed)]

    def _on_challenge_ended(self, now: float, event: ChallengeEnded) -> list[Action]:
        listed = self._listed.get(event.endpoint)
        if listed is None or listed.address != event.address:
            return []  # the endpoint has moved or was removed in the meantime
        listed.challenged = False
        listed.due = now + self._interval_ms
        if event.passed == listed.published:
            return []
        listed.published = event.passed
        line = listed.line if event.passed else _as_removed(listed.line)
        return [Publish(UpdateKind.CHANGES, self._version, (line,))]


def _challenge(listed: _ListedEndpoint) -> Challenge:
    listed.challenged = True
    return Challenge(listed.line.endpoint.endpoint, listed.address)


def _is_same_process(listed: _ListedEndpoint, line: ListedEndpoint) -> bool:
    restarted = line.endpoint.started_ms > listed.line.endpoint.started_ms
    return listed.address == (line.ip, line.port) and not restarted


def _as_removed(line: ListedEndpoint) -> ListedEndpoint:
    return line._replace(endpoint=line.endpoint._replace(state=EndpointState.REMOVED))
