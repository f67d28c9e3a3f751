"""The channel between predecessor and successor: a Unix socket in the sidecar's private folder.

Messages are packets (SOCK_SEQPACKET, unix(7)).  Nothing is decided here.  A packet that can't be read closes the
channel, and either side continues as if the other process had ended.
"""

from __future__ import annotations

import asyncio
import os
import socket
import stat
import struct
from collections.abc import Callable, Mapping
from contextlib import suppress

from ..base.log import log_event
from .messages import MAX_MESSAGE_BYTES, JsonObject, ListenerRequest, Message, decode, parse_grant

ANSWER_TIMEOUT_S = 1.0  # limits the wait for a predecessor that hangs
MAX_NAME_LENGTH = 48  # characters of the sidecar's name in the path
MAX_DESCRIPTORS = 4  # accepted with one packet, though one is expected
ACCEPT_BACKLOG = 4  # connections, listen(2)
OWNER_ONLY_MODE = 0o600
OTHERS_MAY_WRITE = stat.S_IWGRP | stat.S_IWOTH


def channel_path(name: str, env: Mapping[str, str]) -> str | None:
    """The path at which a successor finds the sidecar `name`; None if there is no private folder for it.

    A folder that other users may write to is not used: any of them could request the listening socket.
    """
    folder = env.get("TMPDIR")
    if not folder:
        return None
    try:
        status = os.stat(folder)
    except OSError:
        return None
    if not stat.S_ISDIR(status.st_mode) or status.st_uid != os.geteuid() or status.st_mode & OTHERS_MAY_WRITE:
        return None
    safe_name = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:MAX_NAME_LENGTH]
    return os.path.join(folder, f"gateusher-{safe_name}.sock")


class _ShortPath:
    """Context manager that maps a path of any length to one that fits into sockaddr_un (108 bytes, unix(7))."""

    def __init__(self, path: str) -> None:
        self._folder, self._name = os.path.split(path)

    def __enter__(self) -> str:
        self._folder_fd = os.open(self._folder or ".", os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        return f"/proc/self/fd/{self._folder_fd}/{self._name}"

    def __exit__(self, *_: object) -> None:
        os.close(self._folder_fd)


def _is_same_user(sock: socket.socket) -> bool:
    """Whether the peer runs as this user (SO_PEERCRED, unix(7))."""
    credentials = struct.Struct("3i")  # process, user, group
    _, user_id, _ = credentials.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, credentials.size))
    return bool(user_id == os.geteuid())


class Channel:
    """One end of the channel, on the running loop.  Owns its socket."""

    def __init__(
        self, sock: socket.socket, on_message: Callable[[JsonObject], None], on_closed: Callable[[], None]
    ) -> None:
        """`on_closed` is called once if the other end, or an unreadable packet, closes the channel."""
        self._socket: socket.socket | None = sock
        self._on_message = on_message
        self._on_closed = on_closed
        sock.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock, self._read)

    def _read(self) -> None:
        if not self._socket:
            return
        try:
            packet = self._socket.recv(MAX_MESSAGE_BYTES)
            message = decode(packet) if packet else None
        except BlockingIOError:
            return
        except (OSError, ValueError) as error:
            log_event("handover", error)
            message = None
        if message is None:
            self.close()
            self._on_closed()
        else:
            self._on_message(message)

    def send(self, message: Message, listening_socket: socket.socket | None = None) -> None:
        """Send a message, with a socket if one is given.  Errors are ignored: the channel will be closed."""
        if not self._socket:
            return
        with suppress(OSError):
            if listening_socket:
                socket.send_fds(self._socket, [message.encode()], [listening_socket.fileno()])
            else:
                self._socket.send(message.encode())

    def close(self) -> None:
        """Close this end; `on_closed` is not called."""
        sock = self._socket
        self._socket = None
        if sock:
            self._loop.remove_reader(sock)
            sock.close()


class SuccessorListener:
    """Listens for a successor at `path` until `close`.  Raises OSError.

    An earlier socket at the path is replaced by rename(2), so that the path always leads to the newest process.
    """

    def __init__(self, path: str, on_connection: Callable[[socket.socket], None]) -> None:
        self._on_connection = on_connection
        self._loop = asyncio.get_running_loop()
        own_path = f"{path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC | socket.SOCK_NONBLOCK)
        self._socket: socket.socket | None = sock
        try:
            with _ShortPath(own_path) as short_path:
                with suppress(FileNotFoundError):
                    os.unlink(short_path)
                sock.bind(short_path)
            os.chmod(own_path, OWNER_ONLY_MODE)
            sock.listen(ACCEPT_BACKLOG)
            os.rename(own_path, path)
        except OSError:
            sock.close()
            raise
        self._loop.add_reader(sock, self._accept)

    def _accept(self) -> None:
        if not self._socket:
            return
        with suppress(OSError):
            sock, _ = self._socket.accept()
            if _is_same_user(sock):
                self._on_connection(sock)
            else:
                sock.close()

    def close(self) -> None:
        """Stop listening.  The path stays, as it may lead to a newer process."""
        sock = self._socket
        self._socket = None
        if sock:
            self._loop.remove_reader(sock)
            sock.close()


class Inheritance:
    """What a successor received: the listening socket, the channel's socket, and its initial limits."""

    def __init__(
        self, listening_socket: socket.socket, channel_socket: socket.socket, descriptors: int, memory_mb: float
    ) -> None:
        self.listening_socket = listening_socket
        self.channel_socket = channel_socket
        self.descriptors = descriptors
        self.memory_mb = memory_mb


def request_listener(path: str) -> Inheritance | None:
    """Request the listening socket of the process at `path`; None if there is none or it doesn't answer.

    Blocks for ANSWER_TIMEOUT_S at most, before anything else of this process runs.
    """
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC)
    except OSError as error:
        # Without Unix sockets an upgrade is a restart.  Descriptors may also have run out, so it is logged.
        _log_no_predecessor(error)
        return None
    sock.settimeout(ANSWER_TIMEOUT_S)
    fds: list[int] = []
    try:
        with _ShortPath(path) as short_path:
            sock.connect(short_path)
        if not _is_same_user(sock):
            raise ValueError("another user's process")
        sock.send(ListenerRequest().encode())
        packet, fds, _, _ = socket.recv_fds(sock, MAX_MESSAGE_BYTES, MAX_DESCRIPTORS)
        message = decode(packet)
        (listening_fd,) = fds
        grant = parse_grant(message)
        listening_socket = socket.socket(fileno=listening_fd)
    except FileNotFoundError:
        sock.close()
        return None
    except (OSError, ValueError, KeyError, TypeError) as error:
        _log_no_predecessor(error)
        for fd in fds:
            os.close(fd)
        sock.close()
        return None
    listening_socket.setblocking(False)
    return Inheritance(listening_socket, sock, grant.descriptors, grant.memory_mb)


def _log_no_predecessor(error: Exception) -> None:
    log_event("handover", f"starting without a predecessor: {error}")
