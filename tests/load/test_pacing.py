"""When requests go: each once, in its client's order, no client in another's way, connections within their limit."""

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


class Play:
    """Plays a plan against a target that takes `took(planned)` seconds, in virtual time."""

    def __init__(
        self,
        items: list[Planned],
        took: float | dict[int, float] = 0.1,
        most: int = 1000,
        reusable: bool = True,
        connections: int = pacing.MAX_CONNECTIONS_PER_CLIENT,
    ) -> None:
        self.pacer = Pacer(most, connections)
        self.went: list[tuple[float, SendRequest]] = []
        self.late: list[Planned] = []
        self.open: set[tuple[int, int]] = set()
        self.connected: set[tuple[int, int]] = set()
        self.most_connected = 0
        self.todo: list[tuple[float, int, object]] = []
        self.count = 0
        for planned in items:
            self.push(planned.at, planned)
        while self.todo or self.pacer.next_tick() is not None:
            tick = self.pacer.next_tick()
            if tick is not None and (not self.todo or tick <= self.todo[0][0]):
                self.act(tick, self.pacer.handle(tick, Tick()), took, reusable)
                continue
            now, _, what = heapq.heappop(self.todo)
            if isinstance(what, Planned):
                self.act(now, self.pacer.handle(now, RequestDue(what)), took, reusable)
            else:
                assert isinstance(what, RequestEnded)
                self.open.remove((what.client, what.connection_index))
                if not what.reusable:
                    self.connected.discard((what.client, what.connection_index))
                self.act(now, self.pacer.handle(now, what), took, reusable)

    def push(self, at: float, what: object) -> None:
        self.count += 1
        heapq.heappush(self.todo, (at, self.count, what))

    def act(self, now: float, actions: list[Action], took: float | dict[int, float], reusable: bool) -> None:
        for act in actions:
            if isinstance(act, SendRequest):
                place = act.planned.client, act.connection_index
                assert place not in self.open  # one request at a time on a connection
                self.open.add(place)
                self.connected.add(place)
                self.most_connected = max(self.most_connected, len(self.connected))
                self.went.append((now, act))
                wait = took if isinstance(took, float) else took.get(act.planned.client, 0.1)
                self.push(now + wait, RequestEnded(*place, reusable))
            elif isinstance(act, CloseConnection):
                assert (act.client, act.connection_index) not in self.open
                self.connected.remove((act.client, act.connection_index))
            else:
                assert isinstance(act, DropRequest)
                self.late.append(act.planned)


def test_a_slow_answer_delays_nobody_else() -> None:
    play = Play(
        [item(i, i * 0.01, client=i % 2, connection_index=0, think=0.0) for i in range(200)], {0: 5.0, 1: 0.001}
    )
    assert all(now == go.planned.at for now, go in play.went if go.planned.client == 1)
    slow = [now for now, go in play.went if go.planned.client == 0]
    assert len(slow) == 100 and slow[-1] > 490


def test_a_client_thinks_as_long_as_it_did_after_an_answer_that_comes_later() -> None:
    play = Play(
        [
            item(0, 0.0, connection_index=0),
            item(1, 1.0, connection_index=0, think=0.5),
            item(2, 2.0, connection_index=0, think=0.5),
        ],
        3.0,
    )
    assert [now for now, _ in play.went] == [0.0, 3.5, 7.0]
    assert [go.due for _, go in play.went] == [0.0, 3.5, 7.0]  # none of it is the sender's lateness


def test_parallel_requests_stay_parallel() -> None:
    play = Play([item(i, 0.0, connection_index=i) for i in range(6)], 1.0)
    assert [now for now, _ in play.went] == [0.0] * 6


def test_without_durations_a_request_goes_at_its_time_on_any_free_connection() -> None:
    play = Play([item(i, i * 0.01) for i in range(20)], 0.055)
    assert all(now == go.planned.at for now, go in play.went)
    assert len({go.connection_index for _, go in play.went}) == 6


def test_one_client_s_connections_have_a_limit_and_its_line_an_end() -> None:
    play = Play([item(i, 0.0) for i in range(50)], 1.0, connections=8)
    assert len({go.connection_index for _, go in play.went}) == 8
    assert [go.planned.number for _, go in play.went] == list(range(50))
    before, pacing.MAX_QUEUED_PER_CLIENT = pacing.MAX_QUEUED_PER_CLIENT, 10
    try:
        play = Play([item(i, 0.0) for i in range(50)], 1.0, connections=8)
    finally:
        pacing.MAX_QUEUED_PER_CLIENT = before
    assert len(play.went) == 18 and len(play.late) == 32


def test_the_longest_idle_connection_makes_room() -> None:
    play = Play([item(i, float(i), client=i) for i in range(100)], 0.1, most=10)
    assert play.most_connected <= 10
    assert len(play.went) == 100 and not play.pacer.over_limit


def test_a_connection_that_the_target_dropped_is_dialled_anew() -> None:
    pacer = Pacer(10)
    (go,) = pacer.handle(0.0, RequestDue(item(0, 0.0)))
    assert isinstance(go, SendRequest) and pacer.handle(1.0, RequestEnded(1, go.connection_index, True)) == []
    assert pacer.connections == 1
    assert pacer.handle(2.0, ConnectionLost(1, go.connection_index)) == []
    assert pacer.connections == 0
    assert pacer.handle(2.5, ConnectionLost(1, go.connection_index)) == []  # told twice
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
def test_whatever_the_plan_each_goes_once_and_in_its_order(
    plan: list[tuple[float, int, int, float]], took: float, most: int, reusable: bool, connections: int
) -> None:
    items = [item(i, *rest) for i, rest in enumerate(sorted(plan))]
    play = Play(items, took, most, reusable, connections)
    numbers = [go.planned.number for _, go in play.went] + [p.number for p in play.late]
    assert sorted(numbers) == list(range(len(items)))
    assert all(now >= go.planned.at and now >= go.due - 1e-9 for now, go in play.went)
    by_connection = defaultdict(list)
    for _, go in play.went:
        by_connection[go.planned.client, go.planned.connection_index].append(go.planned.number)
    assert all(order == sorted(order) for order in by_connection.values())
    pacer = play.pacer
    assert (pacer.busy, pacer.waiting) == (0, 0)
    assert pacer.connections == len(play.connected) == len(pacer._idle)
    assert play.most_connected <= most or pacer.over_limit
    if not reusable:
        assert pacer.connections == 0 and not pacer._clients
