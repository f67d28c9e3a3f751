"""A datagram network in virtual time, for the fleet simulations.

Links can lose, delay or duplicate datagrams, stall, or be cut.

The module owns the virtual clock (`VirtualClock`), its event queue, and the state of each directed link.  All random
draws come from one seed, so a run can be repeated.  All times are milliseconds.

A node (`Node`) runs a state machine that handles events and returns the due time of its next timer; subclasses carry
out the machine's actions.  Each node has its own clock, whose rate and offset may differ from the network's.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from random import Random

Callback = Callable[[], None]

NO_TIMER_MS = 1e18  # the due time of a node that has no timer
LATEST_TIMER_MS = 1e17  # a timer due at this time or later never fires


class VirtualClock:
    """A virtual clock and its event queue; events due at the same time run in the order they were scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callback]] = []
        self._scheduled_count = 0

    def at(self, when: float, callback: Callback) -> None:
        """Schedule `callback` at `when` (milliseconds), or now if `when` has passed."""
        self._scheduled_count += 1
        heapq.heappush(self._queue, (max(when, self.now), self._scheduled_count, callback))

    def later(self, delay: float, callback: Callback) -> None:
        """Schedule `callback` in `delay` milliseconds."""
        self.at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Run all events that are due by `until`, and advance the clock to `until`."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = max(self.now, until)


@dataclass
class Link:
    """The state of one directed link: loss, duplication, delay, cut and stall."""

    loss: float = 0.0  # the probability that a datagram is lost
    duplication: float = 0.0  # the probability that a datagram arrives twice
    min_delay_ms: float = 0.2
    mean_extra_delay_ms: float = 0.3  # the mean of the exponentially distributed delay added to the minimum
    cut: bool = False  # all datagrams are dropped
    stalled: list[Callback] | None = None  # datagrams queued by a stall; None if not stalled


class Network:
    """Carries datagrams between nodes.  A directed link uses the state `common` until `link` creates its own."""

    def __init__(self, seed: int) -> None:
        self.clock = VirtualClock()
        self.rng = Random(seed)
        self.common = Link()
        self.links: dict[tuple[Hashable, Hashable], Link] = {}
        self.is_partitioned: Callable[[Hashable, Hashable], bool] = lambda source, target: False
        self.carried = 0  # datagrams sent, including lost ones

    def link(self, source: Hashable, target: Hashable) -> Link:
        """Return this link's own state, created as a copy of `common` at the first call."""
        if (source, target) not in self.links:
            common = self.common
            self.links[source, target] = Link(
                common.loss, common.duplication, common.min_delay_ms, common.mean_extra_delay_ms, common.cut
            )
        return self.links[source, target]

    def carry(self, source: Hashable, target: Hashable, deliver: Callback) -> None:
        """Send one datagram; `deliver` is called for each copy that arrives."""
        link = self.links.get((source, target), self.common)
        self.carried += 1
        if link.cut or self.is_partitioned(source, target):
            return
        if link.loss and self.rng.random() < link.loss:
            return
        if link.stalled is not None:
            link.stalled.append(deliver)
            return
        copies = 1
        if link.duplication > 0 and self.rng.random() < link.duplication:
            copies = 2
        for _ in range(copies):
            self.clock.later(link.min_delay_ms + self.rng.expovariate(1.0) * link.mean_extra_delay_ms, deliver)

    def hold(self, source: Hashable, target: Hashable) -> None:
        """Stall the link: it queues datagrams until `release`."""
        link = self.link(source, target)
        if link.stalled is None:
            link.stalled = []

    def release(self, source: Hashable, target: Hashable) -> None:
        """End a stall: all queued datagrams arrive after the minimum delay, in the order they were sent."""
        link = self.link(source, target)
        stalled = link.stalled or []
        link.stalled = None
        for deliver in stalled:
            self.clock.later(link.min_delay_ms, deliver)


class Node:
    """A state machine driven by the network's clock, with its own clock; subclasses carry out its actions.

    While a node is stopped (as by SIGSTOP) it handles no event, and up to `receive_queue_limit` datagrams are queued;
    further datagrams are dropped, as by a full socket buffer.
    """

    receive_queue_limit = 256

    def __init__(self, network: Network) -> None:
        self.network = network
        self.rate = 1.0  # of the node's clock, relative to the network's
        self.offset = 0.0  # of the node's clock, in milliseconds
        self.stopped = False
        self.dead = False
        self._receive_queue: list[Callback] = []
        self._armed_for_ms = NO_TIMER_MS  # on the network's clock

    def time(self) -> float:
        """Return the time on the node's own clock, in milliseconds."""
        return self.network.clock.now * self.rate + self.offset

    def due(self) -> float:
        """Return when the machine's next timer fires, in milliseconds on the node's own clock."""
        raise NotImplementedError

    def tick(self) -> None:
        """Handle the machine's timer, which has fired."""
        raise NotImplementedError

    def arm(self) -> None:
        """Schedule `tick` for the machine's next timer; called after each event."""
        due = (self.due() - self.offset) / self.rate
        if due < self._armed_for_ms and due < LATEST_TIMER_MS:
            self._armed_for_ms = due
            self.network.clock.at(due, lambda: self._fire(due))

    def _fire(self, due: float) -> None:
        if due != self._armed_for_ms or self.dead:
            return
        self._armed_for_ms = NO_TIMER_MS
        if not self.stopped:
            self.tick()
            self.arm()

    def arrive(self, deliver: Callback) -> None:
        """Deliver a datagram, or queue it while the node is stopped."""
        if self.dead:
            return
        if self.stopped:
            if len(self._receive_queue) < self.receive_queue_limit:
                self._receive_queue.append(deliver)
            return
        deliver()
        self.arm()

    def stop(self) -> None:
        """Suspend the node, as SIGSTOP does."""
        self.stopped = True

    def resume(self) -> None:
        """Continue a stopped node, as SIGCONT does; queued datagrams and due timers are handled at once."""
        self.stopped = False
        received = self._receive_queue
        self._receive_queue = []
        for deliver in received:
            self.arrive(deliver)
        self._armed_for_ms = NO_TIMER_MS
        self.arm()

    def kill(self) -> None:
        """Kill the node: it handles no further event, and queued datagrams are dropped."""
        self.dead = True
        self._receive_queue.clear()
