"""What has happened so far, as the clients and the nodes know it: the properties believe these two alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateusher.client import Settled
    from gateusher.virtual.loop import Transport


@dataclass
class Ask:
    """A request as its client sees it.  `rid` goes on the wire; `name` is its own, also where ids are shared."""

    name: str
    rid: str
    effect: str
    patience: float  # seconds from its last byte
    extra: bool = False  # beside those that the exploration is about
    beside: bool = False  # asked by the library, whatever the face
    at: float | None = None  # when its last byte came
    coming: bytes = b""  # the rest of it
    left: float | None = None  # when its client left
    once: bool = False  # a stricter word than its class's own came while it was open
    told: list[tuple[float, str, bytes]] = field(default_factory=list)

    @property
    def open(self) -> bool:
        return self.at is not None and self.left is None and not self.told


@dataclass(eq=False)
class Sent:
    """One sending of a request or of a probe, as its node sees it."""

    ask: Ask | None  # None: a probe
    node: int
    at: float
    transport: Transport
    whole: bool = False  # its last byte has come: it may run
    answered: bool = False
    turned_away: bool = False
    served: bool = False  # its node has sent a whole answer that may be served
    half: bytes = b""  # the rest of an answer that has begun
    ends: bool = False  # which the end of the stream makes whole

    @property
    def rid(self) -> str:
        return self.ask.name if self.ask else "a probe"

    @property
    def may_have_run(self) -> bool:
        return self.whole and not self.turned_away


@dataclass
class Story:
    """What has happened, for the properties."""

    sent: list[Sent] = field(default_factory=list)
    asks: dict[str, Ask] = field(default_factory=dict)
    drained: dict[int, float] = field(default_factory=dict)  # nodes, since when the list says so
    cold: dict[int, tuple[float, float]] = field(default_factory=dict)  # cold nodes, from when until when
    sends: dict[tuple[int, int], int] = field(default_factory=dict)  # outcomes heard of each send of the module
    settled: dict[str, list[Settled]] = field(default_factory=dict)  # what cancelled callers were told later
    wrong: list[str] = field(default_factory=list)

    def of(self, ask: Ask) -> list[Sent]:
        return [s for s in self.sent if s.ask is ask]
