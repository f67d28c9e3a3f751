"""Usual clients are answered in time beside a crowd that sends in costly forms and comes again when closed."""

import asyncio
from pathlib import Path

import pytest

from ..net import run
from .crowded_daemon import run_crowd, run_with_usual_clients

CROWD_S = 4.0
# Leaves descriptors: where they are full, new connections may be shut unread.
PART_CROWD = 450


@pytest.mark.parametrize("memory_mb", [32, 64, 192])
@pytest.mark.parametrize("kind", ["chunks_of_one_byte", "mixed_chunks", "many_requests", "half_of_a_length"])
def test_usual_clients_are_answered_in_time_beside_costly_input(tmp_path: Path, kind: str, memory_mb: int) -> None:
    """Guards against the incident 546e86: with more memory more of the crowd was let in, and the others waited."""

    async def test() -> None:
        async with (
            run_with_usual_clients(tmp_path, memory_mb) as (daemon, _),
            run_crowd(daemon.address, kind, PART_CROWD),
        ):
            await asyncio.sleep(CROWD_S)

    run(test())
