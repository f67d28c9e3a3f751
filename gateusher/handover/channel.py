"""The two processes' line to each other: a Unix socket in the sidecar's private folder.

Messages are JSON in packets (SOCK_SEQPACKET, unix(7)), the listening socket goes along as SCM_RIGHTS.  Nothing is
decided here, and what can't be read ends the line: either side then goes on as if the other had gone.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import stat
import struct
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

from ..base.log import log_event

MOST = 4096  # bytes of a message
ANSWER_S = 1.0  # a process that is well answers within this; a hung one is not waited for
VERSION = 1

Message = Mapping[str, Any]


def place(name: str, env: Mapping[str, str]) -> str | None:
    """Where the processes of this sidecar meet; None where there is no private folder for it.

    A folder that others may write to would let anybody take the door, so that one is not used.
    """
    folder = env.get("TMPDIR")
    if not folder:
        return None
    try:
        status = os.stat(folder)
    except OSError:
        return None
    if not stat.S_ISDIR(status.st_mode) or status.st_uid != os.geteuid() or status.st_mode & 0o022:
        return None
    safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:48]
    return os.path.join(folder, f"gateusher-{safe}.sock")


class _Short:
    """A path of any length as one that fits into a socket's address, for as long as it is entered."""

    def __init__(self, path: str) -> None:
        self._folder, self._name = os.path.split(path)

    def __enter__(self) -> str:
        self._fd = os.open(self._folder or ".", os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        return f"/proc/self/fd/{self._fd}/{self._name}"

    def __exit__(self, *_: object) -> None:
        os.close(self._fd)


def _peer_is_us(sock: socket.socket) -> bool:
    """SO_PEERCRED, unix(7): only a process of the same user may take part."""
    _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(uid == os.geteuid())


def _read(data: bytes) -> dict[str, Any]:
    """ValueError for what is no message."""
    message = json.loads(data)
    if not isinstance(message, dict):
        raise ValueError("not an object")
    return message


class Line:
    """One end, once both know each other, on the running loop."""

    def __init__(self, sock: socket.socket, heard: Callable[[Message], None], lost: Callable[[], None]) -> None:
        self._sock: socket.socket | None = sock
        self._heard, self._lost = heard, lost
        sock.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock, self._readable)

    def _readable(self) -> None:
        if not self._sock:
            return
        try:
            data = self._sock.recv(MOST)
            message = _read(data) if data else None
        except BlockingIOError:
            return
        except (OSError, ValueError) as error:
            log_event("handover", error)
            message = None
        if message is None:
            self.close()
            self._lost()
        else:
            self._heard(message)

    def tell(self, message: Message, door: socket.socket | None = None) -> None:
        """Send, or do without: a line that takes nothing is as good as lost, and its end will say so."""
        if self._sock:
            data = json.dumps(message).encode()
            with suppress(OSError):
                if door:
                    socket.send_fds(self._sock, [data], [door.fileno()])
                else:
                    self._sock.send(data)

    def close(self) -> None:
        sock, self._sock = self._sock, None
        if sock:
            self._loop.remove_reader(sock)
            sock.close()


class Meeting:
    """Where a successor comes to: listens at `path` from the moment it is made until `close`.

    The path is taken over from whoever had it, by rename(2), so that it always leads to the newest process.
    """

    def __init__(self, path: str, came: Callable[[socket.socket], None]) -> None:
        self._came = came
        self._loop = asyncio.get_running_loop()
        own = f"{path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC | socket.SOCK_NONBLOCK)
        self._sock: socket.socket | None = sock
        try:
            with _Short(own) as short:
                with suppress(FileNotFoundError):
                    os.unlink(short)
                sock.bind(short)
            os.chmod(own, 0o600)
            sock.listen(4)
            os.rename(own, path)
        except OSError:
            sock.close()
            raise
        self._loop.add_reader(sock, self._readable)

    def _readable(self) -> None:
        if not self._sock:
            return
        with suppress(OSError):
            sock, _ = self._sock.accept()
            if _peer_is_us(sock):
                self._came(sock)
            else:
                sock.close()

    def close(self) -> None:
        sock, self._sock = self._sock, None
        if sock:
            self._loop.remove_reader(sock)
            sock.close()


class Inherited:
    """What a successor got: the door, the line to the old process, and what it may hold until that is gone."""

    def __init__(self, door: socket.socket, line: socket.socket, sockets: int, memory_mb: float) -> None:
        self.door, self.line, self.sockets, self.memory_mb = door, line, sockets, memory_mb


def ask(path: str) -> Inherited | None:
    """Ask the process that listens for its door; None where there is none, or it doesn't answer in time.

    This waits for ANSWER_S at most, before anything else of this process runs.
    """
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC)
    except OSError as error:
        # Where a machine knows no Unix sockets nobody can hand over, and an upgrade is a restart.  It could hide
        # that a process is out of descriptors, so it is told.
        log_event("handover", f"starting without: {error}")
        return None
    sock.settimeout(ANSWER_S)
    fds: list[int] = []
    try:
        with _Short(path) as short:
            sock.connect(short)
        if not _peer_is_us(sock):
            raise ValueError("another user's process")
        sock.send(json.dumps({"take": VERSION}).encode())
        data, fds, _, _ = socket.recv_fds(sock, MOST, 4)
        answer = _read(data)
        (door,) = fds
        sockets, memory = int(answer["sockets"]), float(answer["memory_mb"])
        inherited = Inherited(socket.socket(fileno=door), sock, sockets, memory)
    except FileNotFoundError:
        sock.close()
    except (OSError, ValueError, KeyError, TypeError) as error:
        log_event("handover", f"starting without: {error}")
        for fd in fds:
            os.close(fd)
        sock.close()
    else:
        inherited.door.setblocking(False)
        return inherited
    return None
