"""What Linux tells of a connection's socket, and what its errors of accept(2) mean."""

from __future__ import annotations

import errno
import socket
import struct
from enum import Enum
from typing import Final, Protocol

# tcp(7) and linux/tcp.h: milliseconds since the last data came, behind 8 bytes of flags and 11 numbers of 4 bytes.
LAST_DATA_RECEIVED: Final = struct.Struct("=52xI")


class AcceptFailure(Enum):
    """What to do after accept(2) has failed."""

    EMPTY = "nobody waits"
    NEXT = "one connection is gone or in trouble, the next may be fine"
    PAUSE = "out of descriptors or memory: again soon"


# "Linux accept() passes already-pending network errors on the new socket as an error code": these, in accept(2).
_OF_ONE_CONNECTION: Final = frozenset(
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
    """The row of this error; one that the manual does not name counts as passing, so that it is tried again."""
    if isinstance(error, BlockingIOError):
        return AcceptFailure.EMPTY
    return AcceptFailure.NEXT if error.errno in _OF_ONE_CONNECTION else AcceptFailure.PAUSE


class Socket(Protocol):
    """As far as it is asked here."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes: ...


def unread_ms(sock: Socket) -> float | None:
    """How long ago data last came on a TCP connection; None where the kernel does not tell."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        return float(LAST_DATA_RECEIVED.unpack(told)[0])
    except (OSError, AttributeError, struct.error):
        return None
