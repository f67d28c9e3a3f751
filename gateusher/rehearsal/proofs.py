"""Which endpoints of the list the module may hear of: pure, no clock and no socket.

    List(kind, seq, lines)      what the list says, as it comes
    Proved(eid, where, ok)      the answer to `Ask`
    Tick                        now and then: who has to prove it again

    Ask(eid, where)             challenge this endpoint
    Tell(kind, seq, lines)      what the module and the connections are told

An endpoint is told Ready only after it has proven, at the address at which it has proven.  That it drains or is gone
is told at once, whoever it is: no proof may stand between a drain and the module.  One that fails to prove it again
is told gone, and may prove itself anew.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..discovery.lists import HostLine
from ..policy.interface import EndpointState, UpdateKind

EVERY_MS = 1000.0


class List(NamedTuple):
    kind: UpdateKind
    seq: int
    lines: tuple[HostLine, ...]


class Proved(NamedTuple):
    eid: int
    where: tuple[str, int]
    ok: bool


class Tick(NamedTuple):
    pass


class Ask(NamedTuple):
    eid: int
    where: tuple[str, int]


class Tell(NamedTuple):
    kind: UpdateKind
    seq: int
    lines: tuple[HostLine, ...]


@dataclass(slots=True)
class _Known:
    line: HostLine
    told: bool = False  # the module thinks it ready
    asking: bool = False
    due: float = 0.0  # when it has to prove it again

    @property
    def where(self) -> tuple[str, int]:
        return self.line.ip, self.line.port


class Proofs:
    """All endpoints of one list.

    :param every_ms: how often each has to prove it.
    """

    def __init__(self, every_ms: float = EVERY_MS) -> None:
        self._every, self._seq = every_ms, 0
        self._known: dict[int, _Known] = {}

    def handle(self, now: float, event: List | Proved | Tick) -> list[Ask | Tell]:
        """Take one event, give the actions it calls for.  Times are milliseconds."""
        if isinstance(event, List):
            return self._list(now, event)
        if isinstance(event, Proved):
            return self._proved(now, event)
        return [self._ask(eid, known) for eid, known in self._known.items() if not known.asking and now >= known.due]

    @property
    def ready(self) -> int:
        """Endpoints that have proven it and are told ready."""
        return sum(known.told for known in self._known.values())

    @staticmethod
    def _ask(eid: int, known: _Known) -> Ask:
        known.asking = True
        return Ask(eid, known.where)

    def _list(self, now: float, event: List) -> list[Ask | Tell]:
        if event.kind is UpdateKind.FAILED:
            return [Tell(*event)]
        self._seq = event.seq
        out: list[Ask | Tell] = []
        passed: list[HostLine] = []
        whole = event.kind is not UpdateKind.CHANGES
        named = {line.endpoint.endpoint for line in event.lines}
        if whole:
            for eid in [eid for eid in self._known if eid not in named]:
                del self._known[eid]
        for line in event.lines:
            eid = line.endpoint.endpoint
            if line.endpoint.state is not EndpointState.READY:
                self._known.pop(eid, None)
                passed.append(line)
                continue
            known = self._known.get(eid)
            if known is not None and known.where == (line.ip, line.port):
                rebooted = line.endpoint.started_ms > known.line.endpoint.started_ms
                known.line = line
                if known.told and not rebooted:
                    passed.append(line)
                    continue
                # A new process under the old address may be another program.
                if known.told and not whole:
                    passed.append(_gone(line))
                known.told = False
                if not known.asking:
                    out.append(self._ask(eid, known))
                continue
            if known is not None and known.told and not whole:
                passed.append(_gone(line))
            known = self._known[eid] = _Known(line, due=now)
            out.append(self._ask(eid, known))
        return [Tell(event.kind, event.seq, tuple(passed)), *out]

    def _proved(self, now: float, event: Proved) -> list[Ask | Tell]:
        known = self._known.get(event.eid)
        if known is None or known.where != event.where:
            return []  # it has moved or gone meanwhile: what proved is not what is listed
        known.asking, known.due = False, now + self._every
        if event.ok == known.told:
            return []
        known.told = event.ok
        return [Tell(UpdateKind.CHANGES, self._seq, (known.line if event.ok else _gone(known.line),))]


def _gone(line: HostLine) -> HostLine:
    return line._replace(endpoint=line.endpoint._replace(state=EndpointState.REMOVED))
