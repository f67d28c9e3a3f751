"""What Linux reports about a TCP connection, and what the errors of accept(2) mean.  No state is owned."""

from __future__ import annotations

import array
import errno
import fcntl
import socket
import struct
import termios
from enum import Enum
from typing import Final, Protocol

# tcpi_last_data_recv of struct tcp_info (tcp(7), linux/tcp.h), in milliseconds; 8 fields of 1 byte and 11 of 4 bytes
# precede it.
TCP_INFO_LAST_DATA_RECV: Final = struct.Struct("=52xI")


class AcceptFailure(Enum):
    """What to do after accept(2) has failed."""

    EMPTY = "no connection is pending"
    NEXT = "one connection failed, the next may succeed"
    PAUSE = "out of descriptors or memory, to be retried after a pause"


# Errors of the new connection that accept(2) passes on, by its section "Error handling".
_SINGLE_CONNECTION_ERRORS: Final = frozenset(
    {
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPERM,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.EOPNOTSUPP,
        errno.ETIMEDOUT,
    }
)


def accept_failure(error: OSError) -> AcceptFailure:
    """What to do after an error of accept(2); one that the manual does not list is retried after a pause."""
    if isinstance(error, BlockingIOError):
        return AcceptFailure.EMPTY
    return AcceptFailure.NEXT if error.errno in _SINGLE_CONNECTION_ERRORS else AcceptFailure.PAUSE


class Socket(Protocol):
    """The part of a socket that is used here."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """getsockopt(2)."""

    def fileno(self) -> int:
        """The descriptor."""


def ms_since_last_data(sock: Socket) -> float | None:
    """Milliseconds since data last arrived on a TCP connection; None if the kernel does not report it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA_RECV.size)
        return float(TCP_INFO_LAST_DATA_RECV.unpack(info)[0])
    except (OSError, AttributeError, struct.error):
        return None


def unread_bytes(sock: Socket) -> int:
    """Bytes that wait in the kernel to be read (SIOCINQ, tcp(7)); 0 if the kernel does not report it."""
    return _queued_bytes(sock, termios.FIONREAD)


def unsent_bytes(sock: Socket) -> int:
    """Bytes that the peer has not acknowledged (SIOCOUTQ, tcp(7)); 0 if the kernel does not report it."""
    return _queued_bytes(sock, termios.TIOCOUTQ)


def _queued_bytes(sock: Socket, query: int) -> int:
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), query, count)
    except (OSError, AttributeError, TypeError, ValueError):
        return 0
    return count[0]
