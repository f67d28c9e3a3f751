"""SIGHUP of a real process that is stopped when it arrives."""

import asyncio
import json
import signal
from pathlib import Path

from .handover.test_upgrade import ProcessRunner, process_pair
from .net import REQUEST_CLASSES, read_message, run, status
from .reloads import CLIENTS_KNOW_S, FORMS, KEYED, request

CLIENTS = 8


def test_requests_that_wait_behind_a_reload_go_by_the_new_settings(tmp_path: Path) -> None:
    """Guards against 400 for a new class: the process goes on, and reads its clients before it handles SIGHUP."""

    async def test() -> None:
        async with process_pair(tmp_path) as processes:
            runner = ProcessRunner(tmp_path, processes.endpoint, processes.discovery)
            try:
                await runner.start_process()
                streams = [await asyncio.open_connection(*runner.address) for _ in range(CLIENTS)]
                for i, (reader, writer) in enumerate(streams):
                    writer.write(request("look", f"a{i}", **FORMS["idempotent"]))
                    assert status((await read_message(reader))[0]) == 200
                (process,) = runner.processes
                process.send_signal(signal.SIGSTOP)
                content = json.loads(runner.path.read_text())
                content["settings"]["lanes"] = [REQUEST_CLASSES[0], KEYED]
                runner.path.write_text(json.dumps(content))
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(CLIENTS_KNOW_S + 0.1)
                for i, (_, writer) in enumerate(streams):
                    writer.write(request("book", f"b{i}"))
                await asyncio.sleep(0.05)
                process.send_signal(signal.SIGCONT)
                assert [status((await read_message(reader))[0]) for reader, _ in streams] == [200] * CLIENTS
                for _, writer in streams:
                    writer.close()
            finally:
                await runner.close()

    run(test())
