"""A new process that takes over while clients may still go by settings that only its predecessor has had."""

import asyncio
import copy
import json
from pathlib import Path
from typing import Any

import pytest

from gateusher.config import platform

from ..net import read_message, run, status
from ..reloads import KEYED, LOOSENED, OTHER, fleet_for, has_forgotten, request
from .test_upgrade import process_pair


@pytest.mark.parametrize("has_answered", [True, False], ids=["", "the predecessor is held up"])
@pytest.mark.parametrize("has_reloaded", [True, False], ids=["reloaded before", "started with the new file"])
@pytest.mark.parametrize("case", ["zone to all", "longer window", "dropped", "another effect"])
def test_a_successor_binds_requests_by_what_the_predecessor_had(
    case: str, has_reloaded: bool, has_answered: bool, tmp_path: Path
) -> None:
    """Guards against a new process that knows the new file alone, while clients still go by the old one."""
    old, new = {
        **LOOSENED,
        "dropped": (KEYED, {**OTHER, "name": "third"}),
        "another effect": (KEYED, {**KEYED, "effect": "idempotent"}),
    }[case]

    async def test() -> None:
        fleet = fleet_for(case)
        for endpoint in fleet.endpoints:
            await endpoint.start()
        async with process_pair(tmp_path) as processes:
            fleet.discovery = processes.discovery
            conf = fleet.configuration()

            def parse(lane: dict[str, Any]) -> Any:
                changed = copy.deepcopy(conf)
                changed["settings"]["lanes"] = [lane, OTHER]
                return platform.parse(json.loads(json.dumps(changed)), {})._replace(listen=("127.0.0.1", 0))

            processes.config = parse(old)
            predecessor = await processes.start()
            if has_reloaded:
                predecessor.apply_config(parse(new))
            processes.config = parse(new)
            inheritance = await processes.inherit() if has_answered else None
            successor = await processes.start_successor(inheritance)
            assert successor.server.is_ready
            port = successor.server.port
            answers = await asyncio.gather(*(ask(port, request("book", f"r{i}")) for i in range(24)))
            assert len(fleet.runs) == 24
            assert not (fleet.retried if has_forgotten(case) else fleet.elsewhere)
            if not has_forgotten(case):
                assert set(answers) <= {200, 502}
        for endpoint in fleet.endpoints:
            endpoint.server.close()

    run(test())


async def ask(port: int, data: bytes) -> int:
    """Send a request on a new connection and return its status."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    head, _ = await read_message(reader)
    writer.close()
    return status(head)
