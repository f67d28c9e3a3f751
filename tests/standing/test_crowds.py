"""Crowds that send in costly forms and come again when closed: memory, restarts and reloads."""

import asyncio
import itertools
import signal
from contextlib import suppress
from pathlib import Path

import pytest

from ..net import idempotent_request, read_message, run
from .crowded_daemon import run_crowd, run_with_usual_clients
from .process import wait_until_serving

CROWD_S = 4.0
FULL_CROWD = 900  # more than there are descriptors for clients
MANY_CLIENTS = 500
REOPEN_DELAY_S = 0.05
LEAST_MEMORY_MB = 32  # that the pages name
SIGHUP_INTERVAL_S = 0.5


@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY_MB, 192])
@pytest.mark.parametrize(
    "kind",
    [
        "chunks_of_one_byte",
        "mixed_chunks",
        "chunks_with_extensions",
        "many_requests",
        "half_of_a_length",
        "long_field_value",
        "long_trailer_value",
        "every_kind",
    ],
)
def test_a_crowd_in_any_form_keeps_the_process_within_its_memory(tmp_path: Path, kind: str, memory_mb: int) -> None:
    """Guards against the incident 546e86: the process passed its limit and was killed."""

    async def test() -> None:
        async with (
            run_with_usual_clients(tmp_path, memory_mb, expects_answers=False) as (daemon, _),
            run_crowd(daemon.address, kind, FULL_CROWD),
        ):
            await asyncio.sleep(CROWD_S)

    run(test())


@pytest.mark.parametrize("part", ["endless-head", "long-trailer"])
def test_fields_of_endpoints_that_do_not_end_keep_the_process_within_its_memory(tmp_path: Path, part: str) -> None:
    async def ask_again(address: tuple[str, int], client: int) -> None:
        for attempt in itertools.count():
            with suppress(OSError, RuntimeError, asyncio.IncompleteReadError):  # uvloop: a closed transport
                reader, writer = await asyncio.open_connection(*address)
                writer.write(idempotent_request(f"{part}-{client}-{attempt}"))
                await read_message(reader)
                writer.close()
            await asyncio.sleep(REOPEN_DELAY_S)

    async def test() -> None:
        async with run_with_usual_clients(tmp_path, LEAST_MEMORY_MB, expects_answers=False) as (daemon, _):
            clients = [asyncio.ensure_future(ask_again(daemon.address, i)) for i in range(MANY_CLIENTS)]
            await asyncio.sleep(CROWD_S)
            for task in clients:
                task.cancel()

    run(test())


def test_a_process_that_starts_beside_a_crowd_stays_within_its_memory(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            run_with_usual_clients(tmp_path, LEAST_MEMORY_MB, expects_answers=False) as (daemon, _),
            run_crowd(daemon.address, "every_kind", FULL_CROWD),
        ):
            await asyncio.sleep(1.0)
            await daemon.restart()
            await wait_until_serving(daemon.process, daemon.address)
            await asyncio.sleep(CROWD_S)

    run(test())


@pytest.mark.parametrize("descriptors", [256, 1024])
def test_reloads_beside_a_crowd_end_no_process(tmp_path: Path, descriptors: int) -> None:
    async def test() -> None:
        async with (
            run_with_usual_clients(tmp_path, LEAST_MEMORY_MB, descriptors, expects_answers=False) as (daemon, _),
            run_crowd(daemon.address, "every_kind", FULL_CROWD),
        ):
            for _ in range(int(CROWD_S / SIGHUP_INTERVAL_S)):
                daemon.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(SIGHUP_INTERVAL_S)

    run(test())
