"""Datagrams between many pure machines in virtual time: links that lose, delay, double, cut and hold, from one seed.

A machine is whatever takes `handle(now, event)` and says when it is due; what its actions mean is its owner's to say.
All times are milliseconds.  Each node has a clock of its own, whose rate and offset may differ from the network's.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from random import Random

Done = Callable[[], None]


class Clockwork:
    """What is to happen, in the order of its times; what is due at one time, in the order it was asked for."""

    def __init__(self) -> None:
        self.now = 0.0
        self._todo: list[tuple[float, int, Done]] = []
        self._count = 0

    def at(self, when: float, what: Done) -> None:
        self._count += 1
        heapq.heappush(self._todo, (max(when, self.now), self._count, what))

    def later(self, wait: float, what: Done) -> None:
        self.at(self.now + wait, what)

    def run(self, until: float) -> None:
        """All that is due by then."""
        while self._todo and self._todo[0][0] <= until:
            self.now, _, what = heapq.heappop(self._todo)
            what()
        self.now = max(self.now, until)


@dataclass
class Link:
    """What happens to datagrams one way between two nodes."""

    loss: float = 0.0
    double: float = 0.0
    least: float = 0.2  # of the delay; an exponential part comes on top of it
    mean: float = 0.3  # of that part
    cut: bool = False
    held: list[Done] | None = None  # a stalled link keeps all, to let it go at once


class Network:
    """Carries bytes between nodes; each directed link is `common` until it is given a way of its own."""

    def __init__(self, seed: int) -> None:
        self.clock, self.rng = Clockwork(), Random(seed)
        self.common = Link()
        self.links: dict[tuple[Hashable, Hashable], Link] = {}
        self.apart: Callable[[Hashable, Hashable], bool] = lambda a, b: False  # a partition of all
        self.carried = 0

    def link(self, a: Hashable, b: Hashable) -> Link:
        """The way of this link alone from now on."""
        if (a, b) not in self.links:
            common = self.common
            self.links[a, b] = Link(common.loss, common.double, common.least, common.mean, common.cut)
        return self.links[a, b]

    def carry(self, a: Hashable, b: Hashable, deliver: Done) -> None:
        """Take one datagram from a to b; `deliver` is called as often as it arrives."""
        link = self.links.get((a, b), self.common)
        self.carried += 1
        if link.cut or self.apart(a, b) or (link.loss and self.rng.random() < link.loss):
            return
        if link.held is not None:
            link.held.append(deliver)
            return
        for _ in range(1 + (link.double > 0 and self.rng.random() < link.double)):
            self.clock.later(link.least + self.rng.expovariate(1.0) * link.mean, deliver)

    def hold(self, a: Hashable, b: Hashable) -> None:
        """The link stalls: it takes all and gives nothing."""
        link = self.link(a, b)
        if link.held is None:
            link.held = []

    def release(self, a: Hashable, b: Hashable) -> None:
        """All that was held comes at once, in its order."""
        link = self.link(a, b)
        held, link.held = link.held or [], None
        for deliver in held:
            self.clock.later(link.least, deliver)


class Node:
    """A machine on the network's time, with a clock of its own.  Subclasses say what its actions mean.

    While it is stopped (SIGSTOP) nothing is handled, and what arrives waits up to `room` datagrams.
    """

    room = 256

    def __init__(self, network: Network) -> None:
        self.network = network
        self.rate, self.offset = 1.0, 0.0
        self.stopped = self.dead = False
        self._waiting: list[Done] = []
        self._due = 1e18

    def time(self) -> float:
        """Its own clock."""
        return self.network.clock.now * self.rate + self.offset

    def due(self) -> float:
        """When its machine wants to be called, on its own clock."""
        raise NotImplementedError

    def tick(self) -> None:
        """Call the machine because its time has come."""
        raise NotImplementedError

    def arm(self) -> None:
        """Have `tick` called when the machine is due; call it after each event."""
        due = (self.due() - self.offset) / self.rate
        if due < self._due and due < 1e17:
            self._due = due
            self.network.clock.at(due, lambda: self._fire(due))

    def _fire(self, due: float) -> None:
        if due != self._due or self.dead:
            return
        self._due = 1e18
        if not self.stopped:
            self.tick()
            self.arm()

    def arrive(self, deliver: Done) -> None:
        """Something has come for it."""
        if self.dead:
            return
        if self.stopped:
            if len(self._waiting) < self.room:
                self._waiting.append(deliver)
            return
        deliver()
        self.arm()

    def stop(self) -> None:
        self.stopped = True

    def go_on(self) -> None:
        """Run again: what came meanwhile is there at once, and its own time has gone on."""
        self.stopped = False
        waiting, self._waiting = self._waiting, []
        for deliver in waiting:
            self.arrive(deliver)
        self._due = 1e18
        self.arm()

    def kill(self) -> None:
        self.dead = True
        self._waiting.clear()
