"""The scenarios: effect by what attempts meet by deadline, the list, cold nodes, repeats, cancels, bad input."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from gateusher.standins.nodes import (
    Behavior,
    CloseAfterResponse,
    DuplicateResponse,
    InterimResponses,
    InvalidResponse,
    RejectRequest,
    Reply,
    Reset,
    Stall,
)

from .stage import MOST_ADVICE, Play, Scenario, Setup, Stage

SCENARIOS: list[Scenario] = []
SAFE, KEYED, UNSAFE = "look", "book", "issue"
PASSED = {"daemon": "its clients can take an answer in parts, however long it is: tests/test_bulk.py"}


def scenario(name: str, not_on: dict[str, str] | None = None, **setup: Any) -> Callable[[Play], Play]:
    def add(play: Play) -> Play:
        SCENARIOS.append(Scenario(name, play, Setup(**setup), not_on or {}))
        return play

    return add


def plain(
    name: str,
    cls: str,
    acts: tuple[Behavior, ...],
    outcome: str,
    attempts: int,
    effects: int,
    ran: bool | None = None,
    setup: dict[str, Any] | None = None,
    not_on: dict[str, str] | None = None,
    **ask: Any,
) -> None:
    """One request whose attempts meet these acts."""

    @scenario(name, not_on, **(setup or {}))
    async def play(s: Stage) -> None:
        result = await s.expect(cls, outcome, attempts, effects, acts=acts, **ask)
        if outcome == "served" and not ask.get("acts") and result.status == 200:
            assert result.body == b"r" or result.body.startswith(b"long")
        if outcome == "refused":
            assert result.retry_after is not None
            assert 0 < result.retry_after <= MOST_ADVICE
        if ran is not None and result.may_have_run is not None:
            assert result.may_have_run is ran
        await s.at_rest()
        s.counts("r", attempts, effects)  # nothing is sent past the answer


# -- effect by what the first attempts meet

for _cls in (SAFE, KEYED, UNSAFE, "local"):
    plain(f"{_cls}: answered", _cls, (), "served", 1, 1)
    plain(f"{_cls}: turned away once, then answered", _cls, (RejectRequest(),), "served", 2, 1)
    plain(
        f"{_cls}: turned away by all until the attempts are spent",
        _cls,
        (RejectRequest(),) * 9,
        "refused",
        4,
        0,
        False,
    )

plain("unsafe: turned away with 504, then answered", UNSAFE, (RejectRequest(504),), "served", 2, 1)
plain("safe: an error, then answered", SAFE, (Reply(500),), "served", 2, 2)
plain("keyed: an error, then answered, its effect once", KEYED, (Reply(500),), "served", 2, 1)
plain("unsafe: an error is the end", UNSAFE, (Reply(500),), "failed", 1, 1, True)
plain("unsafe: 503 without the promise that it never ran", UNSAFE, (Reply(503),), "failed", 1, 1, True)
plain("safe: errors until the attempts are spent", SAFE, (Reply(500),) * 9, "refused", 4, 4, True)
plain("unsafe: turned away, then an error", UNSAFE, (RejectRequest(), Reply(500)), "failed", 2, 1, True)

for _at in (0, 20):
    plain(f"safe: reset at byte {_at} of the answer", SAFE, (Reset(_at),), "served", 2, 2)
    plain(f"keyed: reset at byte {_at} of the answer, its effect once", KEYED, (Reset(_at),), "served", 2, 1)
    plain(f"unsafe: reset at byte {_at} of the answer", UNSAFE, (Reset(_at),), "failed", 1, 1, True)
    plain(f"unsafe: ended in order at byte {_at} of the answer", UNSAFE, (Reset(_at, True),), "failed", 1, 1, True)

for _what, _data in {
    "noise": b"\x01\x02\x03\x04",
    "a length that is too long": b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\nab",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "half a body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
}.items():
    _not = PASSED if "too long" in _what else None
    plain(f"safe: an answer of {_what}", SAFE, (InvalidResponse(_data),), "served", 2, 2, not_on=_not)
    plain(f"unsafe: an answer of {_what}", UNSAFE, (InvalidResponse(_data),), "failed", 1, 1, True, not_on=_not)

plain("safe: silence, then another node answers", SAFE, (Stall(),), "served", 2, 2, deadline=1.0)
plain("keyed: silence, then another node drops the repeat", KEYED, (Stall(),), "served", 2, 1, deadline=1.0)
plain("unsafe: silence to the deadline", UNSAFE, (Stall(),), "timed out", 1, 1, True, deadline=0.25)
plain("unsafe: work that outlasts the deadline", UNSAFE, (Reply(delay_s=0.6),), "timed out", 1, 1, True, deadline=0.2)
plain("unsafe: work within the deadline", UNSAFE, (Reply(delay_s=0.1),), "served", 1, 1, deadline=0.9)
plain(
    "keyed in one zone: the repeat goes only where it is dropped",
    "local",
    (Reset(),),
    "served",
    2,
    1,
    setup={"zones": ("a", "b")},
)
plain("keyed: past its window nothing is sent again", "brief", (Stall(),), "refused", 1, 1, True, deadline=0.5)
plain("unsafe: two copies of the answer", UNSAFE, (DuplicateResponse(),), "served", 1, 1)
plain("unsafe: 1xx ahead of the answer", UNSAFE, (InterimResponses(),), "served", 1, 1)
plain("unsafe: an answer that closes its connection", UNSAFE, (CloseAfterResponse(),), "served", 1, 1)
plain("unsafe: an answer that the end delimits", UNSAFE, (CloseAfterResponse(True),), "served", 1, 1)
plain("unsafe: an answer in many parts", UNSAFE, (Reply(parts=9),), "served", 1, 1)
plain("unsafe: the longest answer", UNSAFE, (Reply(body=b"long" * 16384),), "served", 1, 1)
plain(
    "unsafe: an answer that is too long",
    UNSAFE,
    (Reply(body=b"long" * 16384 + b"g"),),
    "failed",
    1,
    1,
    True,
    not_on=PASSED,
)


@scenario("a second copy is never the next request's answer")
async def second_copy(s: Stage) -> None:
    for n in range(8):
        result = await s.expect(SAFE, "served", 1, 1, f"r{n}", (DuplicateResponse(),))
        assert result.body == f"r{n}".encode()


# -- statuses, bodies and headers

for _status in (201, 204, 302, 404, 422):

    @scenario(f"unsafe: the node's {_status} is an answer")
    async def status(s: Stage, code: int = _status) -> None:
        headers = (("X-Node", "n"), ("Location", "/elsewhere"))
        result = await s.expect(UNSAFE, "served", 1, 1, acts=(Reply(code, headers=headers),))
        assert result.status == code
        assert result.headers["location"] == "/elsewhere"
        assert result.body == b""


plain(
    "unsafe: 404 is a failure where only 200 is an answer",
    UNSAFE,
    (Reply(404),),
    "failed",
    1,
    1,
    True,
    setup={"answers": "ok"},
)


@scenario("the longest body goes on unchanged, and its id, key and headers with it")
async def long_body(s: Stage) -> None:
    body = bytes(range(256)) * 256
    await s.expect(
        KEYED,
        "served",
        1,
        1,
        body=body,
        method="PUT",
        path="/book/7?x=1",
        headers={"X-Custom": "a b", "Accept": "text/plain"},
    )
    (asked,) = s.fleet.requests["r"]
    assert (asked.method, asked.target, asked.body) == ("PUT", "/book/7?x=1", body)
    assert asked.headers["idempotency-key"] == "key-r"
    assert (asked.headers["x-custom"], asked.headers["accept"]) == ("a b", "text/plain")


@scenario("headers of one connection are not passed on, either way")
async def hop(s: Stage) -> None:
    answer = (("Keep-Alive", "timeout=5"), ("X-Kept", "1"), ("Proxy-Connection", "close"))
    result = await s.expect(SAFE, "served", 1, 1, acts=(Reply(headers=answer),), headers={"TE": "trailers"})
    assert result.headers["x-kept"] == "1"
    assert not {"keep-alive", "proxy-connection"} & set(result.headers)
    assert "te" not in s.fleet.requests["r"][0].headers


@scenario("the node is told the time that is left")
async def time_left(s: Stage) -> None:
    await s.expect(UNSAFE, "served", 1, 1, deadline=0.7)
    assert 0 < float(s.fleet.requests["r"][0].headers["x-deadline"]) <= 0.7


@scenario("without a deadline the class's holds", {"daemon": "its protocol asks for X-Deadline"})
async def no_deadline(s: Stage) -> None:
    await s.expect(UNSAFE, "served", 1, 1, deadline=None)
    assert 0.7 < float(s.fleet.requests["r"][0].headers["x-deadline"]) <= 1.0


# -- nodes that can't be reached

for _cls in (SAFE, KEYED, UNSAFE):
    plain(
        f"{_cls}: nobody is in the list",
        _cls,
        (),
        "refused",
        0,
        0,
        False,
        {"nodes": 0, "listed": True},
        deadline=0.05,
    )
plain(
    "unsafe: connections never come up",
    UNSAFE,
    (),
    "refused",
    0,
    0,
    False,
    {"nodes": 0, "silent": True},
    deadline=0.3,
)

for _cls in (SAFE, KEYED, UNSAFE):

    @scenario(f"{_cls}: a dead node refuses connections, the other answers")
    async def one_dead(s: Stage, cls: str = _cls) -> None:
        await s.kill(s.nodes[0])
        for n in range(6):
            await s.expect(cls, "served", 1, 1, f"r{n}")

    @scenario(f"{_cls}: all nodes are dead")
    async def all_dead(s: Stage, cls: str = _cls) -> None:
        for node in s.nodes:
            await s.kill(node)
        result = await s.expect(cls, "refused", 0, 0, deadline=0.3)
        assert result.may_have_run in (None, False)


@scenario("unsafe: its node dies under it")
async def dies(s: Stage) -> None:
    s.fleet.add_behaviors("r", Stall())
    task = s.begin(UNSAFE)
    await s.fleet.wait_for_arrival("r")
    for node in s.nodes:
        await s.kill(node)
    assert (await task).outcome == "failed"
    s.counts("r", 1, 1)


@scenario("keyed in one zone: its node dies, and no other drops the repeat", zones=("a", "b"))
async def zone_dies(s: Stage) -> None:
    s.fleet.add_behaviors("r", Stall())
    task = s.begin("local", deadline=0.4)
    await s.fleet.wait_for_arrival("r")
    home = next(n for n in s.nodes if s.fleet.requests_by_node[n.name])
    await s.kill(home)
    assert (await task).outcome in ("failed", "timed out")
    s.counts("r", 1, 1)


# -- the list


@scenario("a node that drains gets nothing new", listed=True)
async def drains(s: Stage) -> None:
    await s.relist(s.nodes[0].list_entry("Terminating"))
    for n in range(6):
        await s.expect(UNSAFE, "served", 1, 1, f"r{n}")
    assert s.fleet.requests_by_node["n0"] == 0


@scenario("a node that is gone gets nothing new", listed=True)
async def gone(s: Stage) -> None:
    await s.relist(s.nodes[0].list_entry("Gone"))
    for n in range(6):
        await s.expect(UNSAFE, "served", 1, 1, f"r{n}")
    assert s.fleet.requests_by_node["n0"] == 0


@scenario("a node that drains finishes what it has", listed=True)
async def finishes(s: Stage) -> None:
    s.fleet.add_behaviors("r", Stall())
    task = s.begin(UNSAFE)
    await s.fleet.wait_for_arrival("r")
    await s.relist(*(n.list_entry("Terminating") for n in s.nodes))
    s.fleet.release("r")
    assert (await task).outcome == "served"
    s.counts("r", 1, 1)
    await s.expect(UNSAFE, "refused", 0, 0, "late", deadline=0.05)


@scenario("all drain, and a retry finds nobody", listed=True)
async def retry_after_drain(s: Stage) -> None:
    s.fleet.add_behaviors("r", Stall(), Stall())
    task = s.begin(SAFE, deadline=0.9)
    await s.fleet.wait_for_arrival("r")
    await s.relist(*(n.list_entry("Terminating") for n in s.nodes))
    assert (await task).outcome == "refused"
    s.counts("r", 1, 1)


@scenario("a node that is ready again is used again", listed=True)
async def again(s: Stage) -> None:
    for node in s.nodes:
        await s.relist(node.list_entry("Terminating"))
    await s.expect(UNSAFE, "refused", 0, 0, "r0", deadline=0.05)
    await s.relist(s.nodes[1].list_entry())
    await s.expect(UNSAFE, "served", 1, 1, "r1")
    assert s.fleet.requests_by_node["n1"] == 1


@scenario("another node at the address of one that is gone", listed=True, nodes=1, zones=("a",))
async def new_id(s: Stage) -> None:
    await s.expect(UNSAFE, "served", 1, 1, "r0")
    entry = s.nodes[0].list_entry()
    await s.relist(s.nodes[0].list_entry("Gone"), {**entry, "host": "other"})
    await s.expect(UNSAFE, "served", 1, 1, "r1")
    assert s.nodes[0].accepted_connections == 2  # none that led to the one before is used


@scenario("a watch that ends changes nothing for requests", listed=True)
async def watch_ends(s: Stage) -> None:
    s.catalog.break_watches()
    for n in range(4):
        await s.expect(UNSAFE, "served", 1, 1, f"r{n}")


@scenario("a cold node gets a few only", listed=True, nodes=0, cold={"share": 0.3, "warm_within": 3600.0})
async def cold(s: Stage) -> None:
    warm, chilly = await _two(s)
    await s.relist(warm.list_entry(), chilly.list_entry(born_ms=time.time() * 1000))
    for n in range(30):
        await s.expect(UNSAFE, "served", 1, 1, f"r{n}")
    assert s.fleet.requests_by_node["chilly"] <= 3


@scenario(
    "nothing is pushed onto cold nodes where all are cold",
    listed=True,
    nodes=0,
    cold={"share": 0.3, "warm_within": 3600.0},
)
async def all_cold(s: Stage) -> None:
    pair = await _two(s)
    await s.relist(*(n.list_entry(born_ms=time.time() * 1000) for n in pair))
    # Long enough that a busy machine does not use it up before the core has the requests: they would time out unsent.
    results = await asyncio.gather(*(s.ask(UNSAFE, f"r{n}", deadline=0.5) for n in range(40)))
    assert {r.outcome for r in results} <= {"served", "refused"}
    assert sum(s.fleet.requests_by_node.values()) == [r.outcome for r in results].count("served") <= 8


async def _two(s: Stage) -> list[Any]:
    from gateusher.standins.nodes import Node  # noqa: PLC0415

    s.nodes += [Node(s.fleet, "warm", zone="a"), Node(s.fleet, "chilly", zone="a")]
    for node in s.nodes:
        await node.start()
    return s.nodes


# -- repeats

for _cls in (SAFE, KEYED, UNSAFE):

    @scenario(f"{_cls}: the id of an open request is a conflict, and free after it")
    async def conflict(s: Stage, cls: str = _cls) -> None:
        s.fleet.add_behaviors("r", Stall())
        first = s.begin(cls)
        await s.fleet.wait_for_arrival("r")
        assert (await s.ask(cls)).outcome == "conflict"
        s.counts("r", 1, 1)
        s.fleet.release("r")
        assert (await first).outcome == "served"
        assert (await s.ask(cls, key="another" if cls == KEYED else None)).outcome == "served"
        s.counts("r", 2, 2)


@scenario("many at once: each gets its own answer")
async def many(s: Stage) -> None:
    results = await asyncio.gather(*(s.ask(UNSAFE, f"r{n}") for n in range(60)))
    assert [r.body for r in results] == [f"r{n}".encode() for n in range(60)]
    assert set(s.fleet.effects.values()) == {1}


# -- askers that leave


@scenario("unsafe: cancelled while it runs: nothing more is sent, and the answer is still read")
async def cancel_unsafe(s: Stage) -> None:
    s.fleet.add_behaviors("r", Stall())
    task = s.begin(UNSAFE)
    await s.fleet.wait_for_arrival("r")
    await s.cancel(task)
    await _left(s)
    assert (await s.ask(UNSAFE)).outcome == "conflict"  # until its outcome is known
    s.fleet.release("r")
    await s.at_rest()
    s.counts("r", 1, 1)
    assert sum(n.open_connections for n in s.nodes) == 1  # the connection lives
    if s.name != "daemon":
        assert [(x.request_id, x.cls, x.outcome, x.may_have_run) for x in s.face.settled] == [
            ("r", UNSAFE, "served", True)
        ]
    assert (await s.ask(UNSAFE, "next")).outcome == "served"


@scenario("unsafe: cancelled, and its answer never comes")
async def cancel_lost(s: Stage) -> None:
    s.fleet.add_behaviors("r", Stall())
    task = s.begin(UNSAFE, deadline=0.3)
    await s.fleet.wait_for_arrival("r")
    await s.cancel(task)
    await s.at_rest()  # by the deadline
    s.counts("r", 1, 1)
    if s.name != "daemon":
        assert [(x.outcome, x.may_have_run) for x in s.face.settled] == [("failed", True)]


@scenario("safe: cancelled: no second attempt when the first fails")
async def cancel_safe(s: Stage) -> None:
    s.fleet.add_behaviors("r", Stall(), Reply())
    task = s.begin(SAFE)
    await s.fleet.wait_for_arrival("r")
    await s.cancel(task)
    await _left(s)
    for node in s.nodes:
        await s.kill(node)
    await s.at_rest()
    s.counts("r", 1, 1)


@scenario("keyed: cancelled: no second attempt when the first fails")
async def cancel_keyed(s: Stage) -> None:
    s.fleet.add_behaviors("r", Stall())
    task = s.begin(KEYED, deadline=0.4)
    await s.fleet.wait_for_arrival("r")
    await s.cancel(task)
    await s.at_rest()
    s.counts("r", 1, 1)


for _cls in (SAFE, UNSAFE):

    @scenario(
        f"{_cls}: cancelled before its last byte was written: it never runs",
        nodes=0,
        silent=True,
        limits={"connect_timeout": 60.0},
    )
    async def cancel_unwritten(s: Stage, cls: str = _cls) -> None:
        task = s.begin(cls, deadline=60.0)
        await s.until(lambda: bool(s.face.node.upstream._connections))
        await s.cancel(task)
        await s.at_rest()
        await s.until(lambda: s.face.node.descriptors.used <= (1 if s.name == "daemon" else 0))
        if s.name != "daemon":
            assert [(x.outcome, x.may_have_run) for x in s.face.settled] == [("not sent", False)]


@scenario("cancelled while it waits for a free node", limits={"max_attempts": 20})
async def cancel_held(s: Stage) -> None:
    s.fleet.add_behaviors("r", *([RejectRequest()] * 30))
    task = s.begin(SAFE, deadline=5.0)
    await s.fleet.wait_for_arrival("r", 2)
    await s.cancel(task)
    await s.at_rest()
    assert s.fleet.effects["r"] == 0
    before = s.fleet.attempts["r"]
    await s.until(lambda: not s.face.node.engine._policy_timers)  # the wait that was left has ended
    assert s.fleet.attempts["r"] == before


@scenario("a node drains while the only request on it was cancelled", listed=True)
async def cancel_drain(s: Stage) -> None:
    s.fleet.add_behaviors("r", Stall())
    task = s.begin(UNSAFE)
    await s.fleet.wait_for_arrival("r")
    await s.cancel(task)
    await _left(s)
    await s.relist(*(n.list_entry("Terminating") for n in s.nodes))
    s.fleet.release("r")
    await s.at_rest()
    s.counts("r", 1, 1)
    await s.until(lambda: not s.face.node.upstream._connections)  # nor is its connection kept


async def _left(s: Stage) -> None:
    """Until the face has seen its asker leave."""
    await s.until(lambda: all(c.is_finished for c in s.face.node.engine.requests.values()))


# -- bad input: nothing of it reaches a node

BAD: dict[str, dict[str, Any]] = {
    "a class that doesn't exist": {"cls": "strange"},
    "a method against its class": {"cls": SAFE, "method": "POST"},
    "an unsafe class by GET": {"cls": UNSAFE, "method": "GET"},
    "a method that its class doesn't name": {"cls": UNSAFE, "method": "PUT"},
    "a key where none is due": {"cls": UNSAFE, "key": "k"},
    "no key where one is due": {"cls": KEYED, "key": None},
    "a body by GET": {"cls": SAFE, "body": b"ab"},
    "a body that is too long": {"cls": UNSAFE, "body": b"a" * 65537},
    "no time at all": {"cls": UNSAFE, "deadline": 0.0},
    "an empty id": {"cls": UNSAFE, "rid": ""},
}
NOT_ON = {
    "a body that is too long": {"daemon": "it takes bodies of up to 33 MiB: tests/test_bulk_uploads.py"},
    "no time at all": {"asgi": "0 s are inherited there, and nothing is left of them: timed out"},
}
for _what, _ask in BAD.items():

    @scenario(f"bad input: {_what}", NOT_ON.get(_what))
    async def bad(s: Stage, ask: dict[str, Any] = _ask) -> None:
        result = await s.ask(**{"rid": "r", **ask})
        assert result.outcome == "invalid", result
        assert result.may_have_run in (None, False)
        assert not s.fleet.attempts
        assert (await s.ask(UNSAFE, "good")).outcome == "served"


@scenario(
    "bad input: a header that would end its line",
    {
        "daemon": "a line that ends is two lines there, and its parser's matter",
        "asgi": "its server has read the header by then",
    },
)
async def injected(s: Stage) -> None:
    result = await s.ask(UNSAFE, headers={"X-A": "b\r\nX-Class: look"})
    assert result.outcome == "invalid"
    assert not s.fleet.attempts


__all__ = ["SCENARIOS"]
