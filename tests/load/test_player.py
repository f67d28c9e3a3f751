"""The player sends each request once, and only to proven stand-ins, however the target responds."""

import asyncio
import time
import tomllib
from collections import Counter
from pathlib import Path

import pytest

from gateusher.load import player as player_module
from gateusher.load import rules
from gateusher.load.challenge import NoStandInError, allowed, challenge
from gateusher.load.plan import Planned
from gateusher.load.player import Player
from gateusher.load.results import Recorder
from gateusher.load.rules import Mapper
from gateusher.load.wire import Outcome, Wire
from gateusher.standins.nodes import Fleet, Node, RejectRequest, Stall

from ..net import run
from .target import RULES, TargetKind, run_target

LOOK, ISSUE, BOOK = range(3)
MAX_CONNECTIONS = 100


def wire() -> Wire:
    return Wire(Mapper(rules.parse(tomllib.loads(RULES)), "salt"), "test1", "127.0.0.1:1")


def item(number: int, cls: int = LOOK, client: int = 1, at: float = 0.0, connection_index: int = 0) -> Planned:
    return Planned(
        number, at, client, connection_index, 0.0, cls, "ab12" if cls == LOOK else "", "", 0 if cls == LOOK else 40
    )


async def play(address: tuple[str, int], *items: Planned, proven: bool = True) -> Player:
    player = Player(address, wire(), Recorder(3), time.monotonic(), proven, MAX_CONNECTIONS)
    await player.prove()
    for planned in items:
        player.offer(planned)
    player.finish()
    await player.ended()
    return player


def outcomes(player: Player) -> Counter[str]:
    total = Counter[str]()
    for counts in player.recorder.outcomes:
        total.update({Outcome(k).name: v for k, v in counts.items()})
    return total


@pytest.mark.parametrize(
    "kind",
    [
        TargetKind.REFLECTS_NONCE,
        TargetKind.PROVES_ANOTHER_NONCE,
        TargetKind.SENDS_LIST,
        TargetKind.SENDS_NUMBER,
        TargetKind.REPEATS_OLD_PROOF,
        TargetKind.SENDS_HTML,
        TargetKind.REDIRECTS_CHALLENGE,
        TargetKind.CLOSES_ON_CHALLENGE,
    ],
    ids=lambda kind: kind.name,
)
def test_target_without_a_valid_proof_gets_no_request(kind: TargetKind) -> None:
    async def test() -> None:
        async with run_target(kind) as (target, address):
            with pytest.raises(NoStandInError):
                await play(address, item(0), item(1, ISSUE))
            assert target.challenges == 1 and not target.request_heads

    run(test())


def test_silent_or_absent_target_is_no_stand_in() -> None:
    async def test() -> None:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        with pytest.raises(NoStandInError, match="did not answer"):
            await challenge(address, 0.05)
        server.close()
        await server.wait_closed()
        with pytest.raises(NoStandInError, match="can't be asked"):
            await challenge(address)

    run(test())


def test_run_ends_when_the_target_stops_proving(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(player_module, "CHALLENGE_INTERVAL_S", 0.01)

    async def test() -> None:
        async with run_target(TargetKind.STOPS_PROVING) as (target, address):
            player = await play(address, item(0), item(1, ISSUE, client=2, at=3600.0))
            assert "no stand-in" in player.stopped
            assert len(target.request_heads) == 1

    run(test())


def test_requests_of_unsafe_classes_are_sent_only_to_proven_targets() -> None:
    """A target on the allow list is not challenged, so it gets no request that must not run twice."""

    async def test() -> None:
        async with run_target(TargetKind.SENDS_HTML) as (target, address):
            player = await play(address, *(item(i, i % 3, client=i) for i in range(9)), proven=False)
            assert target.challenges == 0
            assert outcomes(player) == {"SERVED": 6, "HELD_BACK": 3}
            assert not any(b"/issue" in head for head in target.request_heads)

    run(test())


def test_allow_list_with_an_invalid_line_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "allow"
    path.write_text("# lab\n127.0.0.1:80\n10.0.0.1:81 # two\n\n")
    assert allowed(path, ("10.0.0.1", 81)) and not allowed(path, ("10.0.0.1", 80))
    for text in ("127.0.0.1:80\nstand-in.lab:80\n", "127.0.0.1\n", "127.0.0.1:80\n\xff"):
        path.write_bytes(text.encode("latin-1"))
        with pytest.raises(NoStandInError):
            allowed(path, ("127.0.0.1", 80))
    with pytest.raises(NoStandInError):
        allowed(tmp_path / "none", ("127.0.0.1", 80))


def test_each_request_has_one_effect_under_an_id_of_the_run() -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        player = await play(
            ("127.0.0.1", node.port), *(item(i, i % 3, client=i % 4, connection_index=i % 2) for i in range(60))
        )
        assert outcomes(player) == {"SERVED": 60}
        assert fleet.effects == {f"replay-test1-{i}": 1 for i in range(60)}
        for requests in fleet.requests.values():
            (request,) = requests
            assert request.headers["x-replay"] == "test1"
            assert set(request.headers) <= {
                "host",
                "x-class",
                "x-deadline",
                "x-replay",
                "x-request-id",
                "content-length",
                "idempotency-key",
            }
            cls = request.headers["x-class"]
            assert request.method == ("GET" if cls == "look" else "POST")
            assert request.target == ("/look?obj=ab12" if cls == "look" else f"/{cls}")
            assert len(request.body) == (0 if cls == "look" else 40)
            assert ("idempotency-key" in request.headers) == (cls == "book")
        node.kill()

    run(test())


def test_rejected_request_is_not_sent_again() -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        fleet.add_behaviors("replay-test1-0", RejectRequest())
        player = await play(("127.0.0.1", node.port), item(0, ISSUE), item(1))
        assert outcomes(player) == {"REFUSED": 1, "SERVED": 1}
        assert fleet.attempts == {"replay-test1-0": 1, "replay-test1-1": 1}
        node.kill()

    run(test())


@pytest.mark.parametrize(
    ("kind", "outcome"),
    [(TargetKind.REDIRECTS, "REDIRECTED"), (TargetKind.CLOSES_AFTER_RESPONSE, "SERVED")],
    ids=lambda value: value.name if isinstance(value, TargetKind) else value,
)
def test_redirects_are_not_followed_and_closed_connections_are_replaced(kind: TargetKind, outcome: str) -> None:
    async def test() -> None:
        async with run_target(kind) as (target, address):
            player = await play(address, *(item(i) for i in range(5)))
            assert outcomes(player) == {outcome: 5}
            assert len(target.request_heads) == 5

    run(test())


def test_request_whose_connection_breaks_is_not_sent_again() -> None:
    async def test() -> None:
        async with run_target(TargetKind.TRUNCATES_OR_CLOSES) as (target, address):
            player = await play(address, *(item(i, ISSUE, client=i) for i in range(3)))
            assert outcomes(player) == {"BROKEN": 3}
            assert len(target.request_heads) == 3

    run(test())


def test_request_to_an_unreachable_target_counts_as_not_sent() -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        address = ("127.0.0.1", node.port)
        player = Player(address, wire(), Recorder(3), time.monotonic(), True, MAX_CONNECTIONS)
        await player.prove()
        node.kill()
        player.offer(item(0))
        player.finish()
        await player.ended()
        assert outcomes(player) == {"UNREACHABLE": 1}
        assert player.recorder.sends == 0

    run(test())


def test_requests_delayed_by_a_pause_are_sent_once_and_the_delay_is_reported() -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        player = Player(("127.0.0.1", node.port), wire(), Recorder(3), time.monotonic(), True, MAX_CONNECTIONS)
        await player.prove()
        for i in range(100):
            player.offer(item(i, i % 3, client=i, at=0.002 * i))
        player.finish()
        await fleet.wait_for_arrival("replay-test1-10")
        time.sleep(0.3)  # blocks the event loop, so nothing is sent
        await player.ended()
        assert fleet.attempts == {f"replay-test1-{i}": 1 for i in range(100)}
        assert outcomes(player) == {"SERVED": 100}
        assert "fell behind" in player.recorder.fell_behind()
        assert player.recorder.max_lateness_s > 0.1
        node.kill()

    run(test())


def test_stop_waits_for_open_requests_and_sends_no_others() -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        fleet.add_behaviors("replay-test1-0", Stall())
        player = Player(("127.0.0.1", node.port), wire(), Recorder(3), time.monotonic(), True, MAX_CONNECTIONS)
        await player.prove()
        for planned in (item(0), item(1), item(2, client=2, at=3600.0)):  # the second waits for the first response
            player.offer(planned)
        await fleet.wait_for_arrival("replay-test1-0")
        player.stop("enough")
        fleet.release("replay-test1-0")
        await player.ended()
        assert outcomes(player) == {"SERVED": 1, "STOPPED": 1}
        assert fleet.attempts == {"replay-test1-0": 1}
        assert player.taken == 1
        node.kill()

    run(test())


def test_a_stopped_run_ends_however_many_requests_of_a_client_wait() -> None:
    async def test() -> None:
        may_answer = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await may_answer.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=256)
        where = server.sockets[0].getsockname()[:2]
        player = Player(where, wire(), Recorder(3), time.monotonic(), False, 100)
        count = 3000
        for number in range(count):
            player.offer(item(number, connection_index=-1))
        player.finish()
        while player.recorder.sends < 64:
            await asyncio.sleep(0.01)
        assert player.pacer.waiting == count - 64
        player.stop("stopped")
        may_answer.set()
        await player.ended()
        await asyncio.sleep(0.05)  # for the connections whose responses were on their way
        assert outcomes(player) == {"SERVED": 64, "STOPPED": count - 64}
        assert player.open == player.pacer.waiting == player.pacer.busy == 0
        server.close()

    run(test())
