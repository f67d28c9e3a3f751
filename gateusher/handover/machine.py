"""What two processes of one sidecar owe each other while both are there.  Pure: events in, actions out.

The *old* process listens, and owns the sidecar's budget of descriptors and memory.  A *successor* asks it for its
listening socket.  From then on there are two for one budget:

    alone --ASKED--> preparing --SERVING--> relieved
      ^                 |                      |
      +------LOST-------+----------LOST--------+

While **preparing** the old one takes clients as before, and lends the successor a part of what it may hold.  Once the
successor serves, it is **relieved**: it accepts nobody any more, ends each connection with its next answer, and lends
all that it doesn't use, more with each connection that goes.  Both accept from the same socket, so that nobody who
waits in its queue is ever turned away, whoever of the two ends.

A successor that goes before its time gives the door back: the old one is alone again, whether or not it had been
relieved, unless it is on its way out itself.  The successor's side is simple: it holds what it was lent, and all of
the sidecar's budget as soon as the old one is gone.
"""

from __future__ import annotations

from enum import Enum
from typing import Final, NamedTuple

from ..base.machine import TransitionTable

ALONE: Final = "alone"
PREPARING: Final = "preparing"
RELIEVED: Final = "relieved"

ASK: Final = "ask"
SERVE: Final = "serve"
LOSE: Final = "lose"

SUCCESSION = TransitionTable(
    "succession",
    {
        ALONE: {ASK: PREPARING},
        PREPARING: {SERVE: RELIEVED, LOSE: ALONE},
        RELIEVED: {LOSE: ALONE},
    },
)

LENT_PART = 3  # one part in so many of the descriptors is lent at most before the successor serves
LEAST_LENT = 64  # a process with fewer can't serve at all


class Asked(Enum):
    """Events of the old process's side."""

    ASKED = "a successor wants the door"
    SERVING = "the successor takes clients"
    LOST = "the successor is gone"
    TICK = "time has passed: look again at what may be lent"


class Give(NamedTuple):
    """Send the listening socket, and say what the successor may hold."""

    sockets: int
    memory_mb: float


class Lend(NamedTuple):
    """Say what the successor may hold from now on."""

    sockets: int


class Hold(NamedTuple):
    """This process may hold no more than that from now on, and closes what stands idle beyond it."""

    sockets: int
    memory_mb: float


class Leave(NamedTuple):
    """Accept nobody any more, and end each connection with its next answer."""


class Return(NamedTuple):
    """Accept again, as before."""


class Decline(NamedTuple):
    """There is a successor already, or this process is ending: it gets no answer."""


Action = Give | Lend | Hold | Leave | Return | Decline


class Old:
    """The side of the process that listens."""

    def __init__(self, sockets: int, memory_mb: float) -> None:
        self.sockets, self.memory_mb = sockets, memory_mb
        self.state: str = ALONE
        self.lent = 0
        self.ending = False  # this process is on its way out: nothing is taken back

    def handle(self, event: Asked, used: int) -> list[Action]:
        """`used`: descriptors that this process holds now, those that it keeps spare among them."""
        if event is Asked.ASKED:
            if self.state != ALONE or self.ending:
                return [Decline()]
            self.state = SUCCESSION.next_state(self.state, ASK)
            self.lent = max(LEAST_LENT, min(self.sockets // LENT_PART, self.sockets - used))
            half = self.memory_mb / 2
            return [Hold(self.sockets - self.lent, half), Give(self.lent, half)]
        if event is Asked.SERVING:
            if self.state != PREPARING:
                return []
            self.state = SUCCESSION.next_state(self.state, SERVE)
            return [Leave(), *self._lend_more(used)]
        if event is Asked.LOST:
            if self.state == ALONE:
                return []
            relieved = self.state == RELIEVED
            self.state, self.lent = SUCCESSION.next_state(self.state, LOSE), 0
            back: list[Action] = [Hold(self.sockets, self.memory_mb)]
            return back + ([Return()] if relieved and not self.ending else [])
        return self._lend_more(used) if self.state == RELIEVED else []

    def _lend_more(self, used: int) -> list[Action]:
        """What this process has done without it never takes again, so that the two never hold more than there is."""
        free = self.sockets - used
        if free <= self.lent:
            return []
        self.lent = free
        return [Hold(used, self.memory_mb / 2), Lend(free)]


class New:
    """The side of the successor: what it may hold."""

    def __init__(self, sockets: int, memory_mb: float, lent: int, lent_mb: float) -> None:
        self._all = Hold(sockets, memory_mb)
        self.held = Hold(lent, lent_mb)

    def lent(self, sockets: int) -> list[Action]:
        """The old one lends more.  Less than before would be no loan: what is in use can't be given back."""
        if sockets <= self.held.sockets:
            return []
        self.held = self.held._replace(sockets=min(sockets, self._all.sockets))
        return [self.held]

    def alone(self) -> list[Action]:
        """The old one is gone: all is this one's."""
        self.held = self._all
        return [self.held]
