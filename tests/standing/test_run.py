"""`run` as the deploy file words it, where the kernel refuses what the standing trial refuses.

The trial answers ENOSYS or EINVAL to new processes, io_uring, splice and sendfile, knows sockets of IPv4 alone, and
lets nobody come to a Unix socket.  What the program asks for is counted, so a fallback does not hide it.
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
from .process import DEPLOY, RUN, up
from .refusal import Watch

LONG = 3 << 20


@pytest.fixture
def watch() -> Iterator[Watch]:
    watch = Watch()
    yield watch
    watch.end()


async def _long(head: bytes, writer: Writer) -> None:
    """Answers that are passed on as they come, where a program could think of splice."""
    size = LONG if b"long" in head else 2
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))


def test_run_names_one_program_that_stays() -> None:
    ignores, then, program = DEPLOY["run"].partition("; ")
    assert (ignores, then) == ("trap '' HUP", "; ")  # a builtin: no program, and the daemon sets its own handler
    assert program.startswith("exec ") and not set(program) & set(";&|`$(")
    assert "sendfile" not in DEPLOY["build"] and DEPLOY["packages"] == []


@pytest.mark.parametrize("unix", [True, False], ids=["as in the trial", "no Unix sockets either"])
def test_it_serves_where_the_calls_are_refused(watch: Watch, unix: bool, tmp_path: Path) -> None:
    """Starts, serves small, long and uploaded, follows SIGHUP, drains at SIGTERM, and asks for nothing refused."""

    async def test() -> None:
        endpoint = Endpoint(_long)
        await endpoint.start()
        hosts = [host_entry("e0", endpoint.port)]
        first, second = Discovery(hosts), Discovery(hosts, seq=2)
        await first.start()
        await second.start()
        where, peers = unused_address(), unused_address()
        path, folder = tmp_path / "config.json", tmp_path / "private"
        folder.mkdir(mode=0o700)
        told = {
            "listen": "{}:{}".format(*where),
            "peer_listen": "{}:{}".format(*peers),
            "limits": {"memory_mb": 192, "sockets": 256},
        }
        path.write_text(json.dumps(configuration(hosts, first.port, **told)))
        process = await asyncio.create_subprocess_exec(
            *watch.command(RUN, unix),
            cwd=ROOT,
            pass_fds=[watch.theirs.fileno()],
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "BALANCER_CONFIG": str(path),
                "TMPDIR": str(folder),
                "BALANCER_DISCOVERY": f"127.0.0.1:{first.port}",
            },
        )
        watch.begin()
        try:
            await up(process, where)
            await first.has_watch.wait()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:  # whatever peers send is no reason to end
                for data in (b"", b"\0" * 256, b"{}", b"\xff" * 1400, Random(1).randbytes(256)):
                    peer.sendto(data, peers)
            reader, writer = await asyncio.open_connection(*where)
            writer.write(idempotent_request())
            assert await read_message(reader) == (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", b"\0\0")
            writer.write(idempotent_request("long"))
            head, body = await read_message(reader)
            assert (status(head), len(body)) == (200, LONG)
            writer.write(at_most_once_request("up", extra_headers=b"Content-Length: %d\r\n" % LONG, body=bytes(LONG)))
            assert status((await read_message(reader))[0]) == 200
            path.write_text(json.dumps(configuration(hosts, second.port, **told)))
            process.send_signal(signal.SIGHUP)
            await second.has_watch.wait()
            writer.write(idempotent_request("last"))
            assert status((await read_message(reader))[0]) == 200
            children = [Path(task, "children").read_text() for task in Path(f"/proc/{process.pid}/task").iterdir()]
            assert not "".join(children)
            process.send_signal(signal.SIGTERM)
            writer.close()
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
            assert process.stderr
            said = (await process.stderr.read()).decode()
        for server in (first.server, second.server, endpoint.server):
            server.close()
        assert "Traceback" not in said
        # libuv asks for io_uring once, and goes on with epoll.  Without Unix sockets nobody can hand over: that it
        # asks is seen, and that it goes on.
        assert set(watch.refused) - {"io_uring_setup"} == (set() if unix else {"socket"}), said
        assert watch.programs == 2  # the shell, and what it execs

    run(asyncio.wait_for(test(), HANG_TIMEOUT_S))


REFUSED = {
    "clone": "import subprocess, sys; subprocess.run([sys.executable, '-c', ''])",
    "splice": "import os; os.splice(*os.pipe(), 1)",
    "sendfile": "import os; os.sendfile(1, 0, 0, 1)",
    "socket": "import socket; socket.socket(socket.AF_INET6)",
}


@pytest.mark.parametrize("call", REFUSED)
def test_a_program_that_does_what_is_refused_is_found(watch: Watch, call: str) -> None:
    process = subprocess.Popen(
        watch.command(f'exec {sys.executable} -c "{REFUSED[call]}"'),
        cwd=ROOT,
        pass_fds=[watch.theirs.fileno()],
        stderr=subprocess.PIPE,
    )
    watch.begin()
    _, said = process.communicate(timeout=HANG_TIMEOUT_S)
    assert process.returncode == 1 and b"OSError" in said or b"Error" in said
    assert set(watch.refused) & {call, *(["fork", "vfork"] if call == "clone" else [])}
