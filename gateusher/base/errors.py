"""Transient errors of system calls, and retries after them.

An error of the local sockets or descriptor table says nothing about the peer: it counts neither as an endpoint's
failure nor as a response from discovery.  The error numbers are those of socket(2), connect(2) and open(2).
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from .log import log_event

T = TypeVar("T")

RETRY_INTERVAL_S: Final = 0.02

TRANSIENT_ERRORS: Final = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN}
)
# For files: a disk or a network file system that is briefly unavailable.
TRANSIENT_READ_ERRORS: Final = TRANSIENT_ERRORS | {errno.EIO, errno.ESTALE, errno.ETIMEDOUT}
# For connect(2): all ephemeral ports are in use, or the selected one has just been taken.
TRANSIENT_CONNECT_ERRORS: Final = TRANSIENT_ERRORS | {errno.EADDRNOTAVAIL, errno.EADDRINUSE}


async def retry_while_transient(what: str, call: Callable[[], Awaitable[T]], within_s: float) -> T:
    """Return the result of `call`, retrying it after transient errors for up to `within_s` seconds.

    `what` names the call in the log.  Raises the last OSError when the time is up, and any other error at once.
    """
    loop = asyncio.get_running_loop()
    give_up_s = loop.time() + within_s
    logged = False
    while True:
        try:
            return await call()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or loop.time() > give_up_s:
                raise
            if not logged:
                log_event(what, f"{error}: again soon")
                logged = True
        await asyncio.sleep(RETRY_INTERVAL_S)


async def connect(
    loop: asyncio.AbstractEventLoop,
    factory: Callable[[], asyncio.BaseProtocol],
    address: tuple[str, int],
    on_local_error: Callable[[OSError], None],
) -> None:
    """Open a TCP connection; `factory` must return the same protocol each time.

    Raises an OSError that the peer caused.  A transient local error is passed to `on_local_error`, and the connect is
    retried until this call is cancelled.
    """
    while True:
        try:
            await loop.create_connection(factory, *address)
            return
        except OSError as error:
            if error.errno not in TRANSIENT_CONNECT_ERRORS:
                raise
            on_local_error(error)
        await asyncio.sleep(RETRY_INTERVAL_S)
