"""Pacing: each request is sent once and in its client's order, clients are independent, connections are limited."""

import heapq
from collections import defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from gateusher.load import pacing
from gateusher.load.pacing import (
    Action,
    CloseConnection,
    ConnectionLost,
    DropRequest,
    Pacer,
    RequestDue,
    RequestEnded,
    SendRequest,
    Tick,
)
from gateusher.load.plan import Planned


def item(number: int, at: float, client: int = 1, connection_index: int = -1, think: float = -1.0) -> Planned:
    return Planned(number, at, client, connection_index, think, 0, "", "", 0)


class Simulation:
    """Runs a plan in virtual time; the target responds after `response_s`, which may depend on the client."""

    def __init__(
        self,
        items: list[Planned],
        response_s: float | dict[int, float] = 0.1,
        max_connections: int = 1000,
        reusable: bool = True,
        connections_per_client: int = pacing.MAX_CONNECTIONS_PER_CLIENT,
    ) -> None:
        self.pacer = Pacer(max_connections, connections_per_client)
        self.sent: list[tuple[float, SendRequest]] = []
        self.dropped: list[Planned] = []
        self.busy: set[tuple[int, int]] = set()
        self.connected: set[tuple[int, int]] = set()
        self.max_connected = 0
        self.scheduled: list[tuple[float, int, object]] = []
        self.scheduled_count = 0
        for planned in items:
            self.schedule(planned.at, planned)
        while self.scheduled or self.pacer.next_tick() is not None:
            tick = self.pacer.next_tick()
            if tick is not None and (not self.scheduled or tick <= self.scheduled[0][0]):
                self.perform(tick, self.pacer.handle(tick, Tick()), response_s, reusable)
                continue
            now, _, event = heapq.heappop(self.scheduled)
            if isinstance(event, Planned):
                self.perform(now, self.pacer.handle(now, RequestDue(event)), response_s, reusable)
            else:
                assert isinstance(event, RequestEnded)
                self.busy.remove((event.client, event.connection_index))
                if not event.reusable:
                    self.connected.discard((event.client, event.connection_index))
                self.perform(now, self.pacer.handle(now, event), response_s, reusable)

    def schedule(self, at: float, event: object) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (at, self.scheduled_count, event))

    def perform(
        self, now: float, actions: list[Action], response_s: float | dict[int, float], reusable: bool
    ) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                connection = action.planned.client, action.connection_index
                assert connection not in self.busy  # one request at a time on a connection
                self.busy.add(connection)
                self.connected.add(connection)
                self.max_connected = max(self.max_connected, len(self.connected))
                self.sent.append((now, action))
                delay_s = response_s if isinstance(response_s, float) else response_s.get(action.planned.client, 0.1)
                self.schedule(now + delay_s, RequestEnded(*connection, reusable))
            elif isinstance(action, CloseConnection):
                assert (action.client, action.connection_index) not in self.busy
                self.connected.remove((action.client, action.connection_index))
            else:
                assert isinstance(action, DropRequest)
                self.dropped.append(action.planned)


def test_slow_response_delays_no_other_client() -> None:
    simulation = Simulation(
        [item(i, i * 0.01, client=i % 2, connection_index=0, think=0.0) for i in range(200)], {0: 5.0, 1: 0.001}
    )
    assert all(now == action.planned.at for now, action in simulation.sent if action.planned.client == 1)
    slow_client = [now for now, action in simulation.sent if action.planned.client == 0]
    assert len(slow_client) == 100 and slow_client[-1] > 490


def test_think_time_is_kept_after_a_response_that_is_slower_than_in_the_source() -> None:
    simulation = Simulation(
        [
            item(0, 0.0, connection_index=0),
            item(1, 1.0, connection_index=0, think=0.5),
            item(2, 2.0, connection_index=0, think=0.5),
        ],
        3.0,
    )
    assert [now for now, _ in simulation.sent] == [0.0, 3.5, 7.0]
    # The delay does not count as lateness of the sender.
    assert [action.due for _, action in simulation.sent] == [0.0, 3.5, 7.0]


def test_parallel_requests_are_sent_in_parallel() -> None:
    simulation = Simulation([item(i, 0.0, connection_index=i) for i in range(6)], 1.0)
    assert [now for now, _ in simulation.sent] == [0.0] * 6


def test_request_without_durations_is_sent_at_its_time_on_any_free_connection() -> None:
    simulation = Simulation([item(i, i * 0.01) for i in range(20)], 0.055)
    assert all(now == action.planned.at for now, action in simulation.sent)
    assert len({action.connection_index for _, action in simulation.sent}) == 6


def test_connections_and_queue_of_a_client_are_limited() -> None:
    simulation = Simulation([item(i, 0.0) for i in range(50)], 1.0, connections_per_client=8)
    assert len({action.connection_index for _, action in simulation.sent}) == 8
    assert [action.planned.number for _, action in simulation.sent] == list(range(50))
    before, pacing.MAX_QUEUED_PER_CLIENT = pacing.MAX_QUEUED_PER_CLIENT, 10
    try:
        simulation = Simulation([item(i, 0.0) for i in range(50)], 1.0, connections_per_client=8)
    finally:
        pacing.MAX_QUEUED_PER_CLIENT = before
    assert len(simulation.sent) == 18 and len(simulation.dropped) == 32


def test_longest_idle_connection_is_closed_for_a_new_one() -> None:
    simulation = Simulation([item(i, float(i), client=i) for i in range(100)], 0.1, max_connections=10)
    assert simulation.max_connected <= 10
    assert len(simulation.sent) == 100 and not simulation.pacer.over_limit


def test_connection_that_the_target_closed_is_replaced() -> None:
    pacer = Pacer(10)
    (action,) = pacer.handle(0.0, RequestDue(item(0, 0.0)))
    assert isinstance(action, SendRequest) and pacer.handle(1.0, RequestEnded(1, action.connection_index, True)) == []
    assert pacer.connections == 1
    assert pacer.handle(2.0, ConnectionLost(1, action.connection_index)) == []
    assert pacer.connections == 0
    assert pacer.handle(2.5, ConnectionLost(1, action.connection_index)) == []  # reported twice
    assert len(pacer.handle(3.0, RequestDue(item(1, 3.0)))) == 1
    assert pacer.connections == 1


@settings(max_examples=300, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 5), st.integers(0, 4), st.integers(-1, 3), st.floats(-1, 0.5)), max_size=60),
    st.floats(0.001, 2),
    st.integers(1, 12),
    st.booleans(),
    st.integers(1, 4),
)
def test_any_plan_is_sent_once_and_in_order(
    plan: list[tuple[float, int, int, float]],
    response_s: float,
    max_connections: int,
    reusable: bool,
    connections_per_client: int,
) -> None:
    items = [item(i, *rest) for i, rest in enumerate(sorted(plan))]
    simulation = Simulation(items, response_s, max_connections, reusable, connections_per_client)
    numbers = [action.planned.number for _, action in simulation.sent] + [p.number for p in simulation.dropped]
    assert sorted(numbers) == list(range(len(items)))
    assert all(now >= action.planned.at and now >= action.due - 1e-9 for now, action in simulation.sent)
    numbers_by_connection = defaultdict(list)
    for _, action in simulation.sent:
        numbers_by_connection[action.planned.client, action.planned.connection_index].append(action.planned.number)
    assert all(order == sorted(order) for order in numbers_by_connection.values())
    pacer = simulation.pacer
    assert (pacer.busy, pacer.waiting) == (0, 0)
    assert pacer.connections == len(simulation.connected) == len(pacer._idle)
    assert simulation.max_connected <= max_connections or pacer.over_limit
    if not reusable:
        assert pacer.connections == 0 and not pacer._clients
