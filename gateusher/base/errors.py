"""System calls that fail for a moment: which errors are this machine's own and pass, and what is tried again.

An error of our own socket or descriptor table says nothing of whoever was called: it counts against no endpoint, and
is no word of discovery.  The rows are those of socket(2), connect(2) and open(2).
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from .log import log_event

T = TypeVar("T")

RETRY_INTERVAL_S: Final = 0.02  # from one try to the next
TRANSIENT_ERRORS: Final = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN}
)
# And of files: a disk that answers again, or a network file system that is back.
TRANSIENT_READ_ERRORS: Final = TRANSIENT_ERRORS | {errno.EIO, errno.ESTALE, errno.ETIMEDOUT}
# And of connects: all ephemeral ports are in use, or one that was chosen was taken meanwhile.
TRANSIENT_CONNECT_ERRORS: Final = TRANSIENT_ERRORS | {errno.EADDRNOTAVAIL, errno.EADDRINUSE}


async def retry_while_transient(what: str, call: Callable[[], Awaitable[T]], within_s: float) -> T:
    """The result of the call, which is made again while its error passes, for so long.  Raises the last OSError."""
    loop = asyncio.get_running_loop()
    until_s, told = loop.time() + within_s, False
    while True:
        try:
            return await call()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or loop.time() > until_s:
                raise
            if not told:
                log_event(what, f"{error}: again soon")
                told = True
        await asyncio.sleep(RETRY_INTERVAL_S)


async def connect(
    loop: asyncio.AbstractEventLoop,
    factory: Callable[[], asyncio.Protocol],
    where: tuple[str, int],
    failed: Callable[[OSError], None],
) -> None:
    """Connect; `factory` must give the same protocol each time.  Raises the OSError that tells of the other side.

    One that is this machine's own is told to `failed`, and it is tried again until this is cancelled.
    """
    while True:
        try:
            await loop.create_connection(factory, *where)
            return
        except OSError as error:
            if error.errno not in TRANSIENT_CONNECT_ERRORS:
                raise
            failed(error)
        await asyncio.sleep(RETRY_INTERVAL_S)
