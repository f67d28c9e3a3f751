"""The deploy file's `run` command under a kernel that rejects the calls that the deployment environment rejects.

That environment responds with ENOSYS or EINVAL to new processes, io_uring, splice and sendfile, has sockets of IPv4
only, and lets nothing connect to a Unix socket.  The rejected calls are recorded, so a fallback does not hide them.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from random import Random

import pytest

from ..helpers import HANG_TIMEOUT_S, ROOT
from ..net import (
    Discovery,
    Endpoint,
    Reader,
    Writer,
    at_most_once_request,
    configuration,
    host_entry,
    idempotent_request,
    read_message,
    run,
    status,
    unused_address,
)
from .process import DEPLOY, RUN_COMMAND, wait_until_serving
from .system_call_filter import SystemCallMonitor

LONG_RESPONSE_BYTES = 3 << 20


@pytest.fixture
def monitor() -> Iterator[SystemCallMonitor]:
    monitor = SystemCallMonitor()
    yield monitor
    monitor.stop()


async def _respond(head: bytes, writer: Writer) -> None:
    """Send a response; a long one is streamed, for which a program might use splice."""
    size = LONG_RESPONSE_BYTES if b"long" in head else 2
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))


def test_run_executes_a_single_program() -> None:
    trap, separator, program = DEPLOY["run"].partition("; ")
    assert (trap, separator) == ("trap '' HUP", "; ")  # a shell builtin; the daemon sets its own handler
    assert program.startswith("exec ") and not set(program) & set(";&|`$(")
    assert "sendfile" not in DEPLOY["build"] and DEPLOY["packages"] == []


def _send_malformed_datagrams(address: tuple[str, int]) -> None:
    """Send datagrams to the peer address, none of which may end the process."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        for data in (b"", b"\0" * 256, b"{}", b"\xff" * 1400, Random(1).randbytes(256)):
            peer.sendto(data, address)


async def _check_short_long_and_upload(reader: Reader, writer: Writer) -> None:
    """Check a short response, a long response and a long request on one connection."""
    writer.write(idempotent_request())
    assert await read_message(reader) == (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", b"\0\0")
    writer.write(idempotent_request("long"))
    head, body = await read_message(reader)
    assert (status(head), len(body)) == (200, LONG_RESPONSE_BYTES)
    body = bytes(LONG_RESPONSE_BYTES)
    writer.write(at_most_once_request("up", extra_headers=b"Content-Length: %d\r\n" % len(body), body=body))
    assert status((await read_message(reader))[0]) == 200


def _has_children(pid: int) -> bool:
    return any(Path(task, "children").read_text() for task in Path(f"/proc/{pid}/task").iterdir())


@pytest.mark.parametrize("allow_unix_sockets", [True, False], ids=["Unix sockets", "no Unix sockets"])
def test_it_serves_though_system_calls_are_rejected(
    monitor: SystemCallMonitor, allow_unix_sockets: bool, tmp_path: Path
) -> None:
    """It starts, serves short and long responses and uploads, reloads at SIGHUP, drains at SIGTERM.

    Meanwhile it makes none of the rejected calls.
    """

    async def test() -> None:
        endpoint = Endpoint(_respond)
        await endpoint.start()
        hosts = [host_entry("e0", endpoint.port)]
        first, second = Discovery(hosts), Discovery(hosts, seq=2)
        await first.start()
        await second.start()
        address, peer_address = unused_address(), unused_address()
        path, temporary = tmp_path / "config.json", tmp_path / "private"
        temporary.mkdir(mode=0o700)
        overrides = {
            "listen": "{}:{}".format(*address),
            "peer_listen": "{}:{}".format(*peer_address),
            "limits": {"memory_mb": 192, "sockets": 256},
        }
        path.write_text(json.dumps(configuration(hosts, first.port, **overrides)))
        process = await asyncio.create_subprocess_exec(
            *monitor.command(RUN_COMMAND, allow_unix_sockets),
            cwd=ROOT,
            pass_fds=[monitor.child_socket.fileno()],
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "BALANCER_CONFIG": str(path),
                "TMPDIR": str(temporary),
                "BALANCER_DISCOVERY": f"127.0.0.1:{first.port}",
            },
        )
        monitor.start()
        try:
            await wait_until_serving(process, address)
            await first.has_watch.wait()
            _send_malformed_datagrams(peer_address)
            reader, writer = await asyncio.open_connection(*address)
            await _check_short_long_and_upload(reader, writer)
            path.write_text(json.dumps(configuration(hosts, second.port, **overrides)))
            process.send_signal(signal.SIGHUP)
            await second.has_watch.wait()
            writer.write(idempotent_request("last"))
            assert status((await read_message(reader))[0]) == 200
            assert not _has_children(process.pid)
            process.send_signal(signal.SIGTERM)
            writer.close()
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
            assert process.stderr
            log = (await process.stderr.read()).decode()
        for server in (first.server, second.server, endpoint.server):
            server.close()
        assert "Traceback" not in log
        # libuv tries io_uring once, and falls back to epoll.  Without Unix sockets the process tries to open the one
        # for the handover, and serves without it.
        assert set(monitor.rejected) - {"io_uring_setup"} == (set() if allow_unix_sockets else {"socket"}), log
        assert monitor.exec_count == 2  # the shell and the program

    run(asyncio.wait_for(test(), HANG_TIMEOUT_S))


REJECTED_CALLS = {
    "clone": "import subprocess, sys; subprocess.run([sys.executable, '-c', ''])",
    "splice": "import os; os.splice(*os.pipe(), 1)",
    "sendfile": "import os; os.sendfile(1, 0, 0, 1)",
    "socket": "import socket; socket.socket(socket.AF_INET6)",
}


@pytest.mark.parametrize("call", REJECTED_CALLS)
def test_a_program_that_makes_a_rejected_call_is_detected(monitor: SystemCallMonitor, call: str) -> None:
    process = subprocess.Popen(
        monitor.command(f'exec {sys.executable} -c "{REJECTED_CALLS[call]}"'),
        cwd=ROOT,
        pass_fds=[monitor.child_socket.fileno()],
        stderr=subprocess.PIPE,
    )
    monitor.start()
    _, stderr = process.communicate(timeout=HANG_TIMEOUT_S)
    assert process.returncode == 1 and b"OSError" in stderr or b"Error" in stderr
    assert set(monitor.rejected) & {call, *(["fork", "vfork"] if call == "clone" else [])}
