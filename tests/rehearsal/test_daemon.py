"""A daemon in rehearsal uses only proven stand-ins, responds to the challenge, and generates load itself."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from gateusher.config.file import parse
from gateusher.config.model import ConfigError
from gateusher.daemon import Sidecar
from gateusher.rehearsal.challenge import NoStandInError, challenge
from gateusher.standins.nodes import Fleet, Node

from ..load.target import FORM, TargetKind, files, run_target
from ..net import Reader, Writer, idempotent_request, read_message, run, status

CLASSES: dict[str, Any] = {
    "look": {"effect": "safe", "aim": 5.0, "deadline": 20.0},
    "issue": {"effect": "unsafe", "aim": 5.0, "deadline": 20.0},
    "book": {"effect": "keyed", "aim": 5.0, "deadline": 20.0, "window": 30.0},
}


@asynccontextmanager
async def daemon(ports: list[int], **more: Any) -> AsyncIterator[Sidecar]:
    config = parse(
        {
            "classes": CLASSES,
            "nodes": [{"name": f"n{i}", "address": f"127.0.0.1:{p}"} for i, p in enumerate(ports)],
            "seed": 1,
            **more,
        }
    )
    sidecar = Sidecar(config._replace(listen=("127.0.0.1", 0)))
    try:
        await sidecar.start()
        yield sidecar
    finally:
        sidecar.close()


async def connect(sidecar: Sidecar) -> tuple[Reader, Writer]:
    return await asyncio.open_connection("127.0.0.1", sidecar.server.port)


async def wait_for_proven(sidecar: Sidecar, count: int) -> None:
    while not (sidecar.node.gate and sidecar.node.gate.ready == count):
        await asyncio.sleep(0.005)


def test_only_proven_endpoints_get_requests() -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        async with (
            run_target(TargetKind.REFLECTS_NONCE) as (target, address),
            daemon([node.port, address[1]], rehearsal={"every": 0.05}) as sidecar,
        ):
            await wait_for_proven(sidecar, 1)
            reader, writer = await connect(sidecar)
            for i in range(40):
                writer.write(idempotent_request(f"r{i}"))
                head, _ = await read_message(reader)
                assert status(head) == 200
            assert sum(fleet.effects.values()) == 40
            assert target.challenges and not target.request_heads
            writer.close()
        node.kill()

    run(test())


def test_endpoint_that_stops_proving_gets_no_more_requests() -> None:
    async def test() -> None:
        async with (
            run_target(TargetKind.STOPS_PROVING) as (target, address),
            daemon([address[1]], rehearsal={"every": 0.05}) as sidecar,
        ):
            await wait_for_proven(sidecar, 1)
            await wait_for_proven(sidecar, 0)
            reader, writer = await connect(sidecar)
            writer.write(idempotent_request("r1", deadline="0.05"))
            head, _ = await read_message(reader)
            assert status(head) == 503 and not target.request_heads
            writer.close()

    run(test())


def test_only_a_daemon_in_rehearsal_responds_to_the_challenge() -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        async with daemon([node.port], rehearsal={}) as sidecar:
            await challenge(("127.0.0.1", sidecar.server.port))
            reader, writer = await connect(sidecar)
            writer.write(b"GET /_standin?nonce=short HTTP/1.1\r\nHost: o\r\n\r\n" + idempotent_request("r1"))
            assert status((await read_message(reader))[0]) == 400
            assert status((await read_message(reader))[0]) == 200  # the connection is still usable
            writer.close()
        async with daemon([node.port]) as sidecar:
            with pytest.raises(NoStandInError):
                await challenge(("127.0.0.1", sidecar.server.port))
        node.kill()

    run(test())


def test_load_is_replayed_alongside_the_traffic_of_clients(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        log, rules = files(tmp_path, 60, rate=400.0)
        load = {
            "sources": [str(log)],
            "rules": str(rules),
            "format": FORM,
            "rate": 1000.0,
            "report": str(tmp_path / "inside.json"),
        }
        async with daemon([node.port], rehearsal={}, load=[load]) as sidecar:
            await wait_for_proven(sidecar, 1)
            reader, writer = await connect(sidecar)
            for i in range(20):
                writer.write(idempotent_request(f"own{i}"))
                assert status((await read_message(reader))[0]) == 200
            (runner,) = sidecar.loads
            await runner.ended.wait()
            writer.close()
            data = json.loads((tmp_path / "inside.json").read_text())
            assert data["results"]["outcomes"]["served"] == 60
            own = [rid for rid in fleet.effects if rid.startswith("own")]
            replayed = {rid: n for rid, n in fleet.effects.items() if rid.startswith("replay-")}
            assert len(own) == 20 and len(replayed) == 60 and set(replayed.values()) == {1}
            assert sidecar.node.memory.in_use == 0
        node.kill()

    run(test())


def test_load_stays_within_its_rate_and_its_open_requests(tmp_path: Path) -> None:
    """Requests beyond the rate or the limit of open requests are counted and not sent."""

    async def test() -> None:
        async with run_target(TargetKind.RESPONDS) as (target, address):
            log, rules = files(tmp_path, 90, rate=2000.0)
            load = {
                "sources": [str(log)],
                "rules": str(rules),
                "format": FORM,
                "rate": 20.0,
                "most_open": 5,
                "report": str(tmp_path / "inside.json"),
            }
            async with daemon([address[1]], rehearsal={}, load=[load]) as sidecar:
                await wait_for_proven(sidecar, 1)
                (runner,) = sidecar.loads
                await runner.ended.wait()
            data = json.loads((tmp_path / "inside.json").read_text())["results"]
            assert data["requests"] == 90
            assert len(target.request_heads) == data["sent"] <= 10
            assert data["outcomes"]["held_back"] == 90 - data["sent"]

    run(test())


def test_load_without_rehearsal_is_a_config_error(tmp_path: Path) -> None:
    load = {"sources": ["a.log"], "rules": "r.toml"}
    with pytest.raises(ConfigError, match="rehearsal"):
        parse({"classes": CLASSES, "nodes": [{"name": "n", "address": "127.0.0.1:1"}], "load": [load]})

    async def test() -> None:
        _, rules = files(tmp_path)
        for bad in ({**load, "rules": str(rules)}, {**load, "rules": "none.toml"}):
            with pytest.raises(ConfigError, match="load"):
                async with daemon([1], rehearsal={}, load=[bad]):
                    pass

    run(test())


@pytest.mark.parametrize("body_bytes", [5, 300 << 10])  # buffered, or longer than what is buffered
def test_the_body_of_a_challenge_stays_in_no_budget(body_bytes: int) -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        async with daemon([node.port], rehearsal={}) as sidecar:
            reader, writer = await connect(sidecar)
            head = b"GET /_standin?nonce=%b HTTP/1.1\r\nHost: o\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % (b"0" * 32, body_bytes) + bytes(body_bytes))
            assert status((await read_message(reader))[0]) == 200
            writer.close()
            while sidecar.server.connection_count:
                await asyncio.sleep(0.005)
            assert sidecar.node.memory.in_use == 0
        node.kill()

    run(test())
