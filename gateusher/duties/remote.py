"""Client of the lease claims: holds a task in another process, through the control socket of the local sidecar.

`RemoteClaim` owns one claim and keeps it alive by calls (sessions and sequencers, Chubby, 2006).  Each reply contains
the remaining lease time, counted here from before the call was made: a process that is suspended in between only
underestimates it, and the lease expires if the sidecar crashes or is suspended.  `Duty` is the library's context
manager.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from collections.abc import Callable
from contextlib import suppress
from types import TracebackType
from typing import Any
from urllib.parse import urlencode

from ..base.clock import BootClock

CALL_INTERVAL_S = 0.1
REPLY_TIMEOUT_S = 2.0
READ_BYTES = 1 << 16
MAX_MARGIN_SHARE = 0.4  # of the first lease time; upper bound of `margin_s`

Address = str | tuple[str, int]  # the path of a Unix socket, or IP and port


class UnreachableError(OSError):
    """No sidecar responds at the address, or duties are not configured there."""


async def post(address: Address, path: str, **parameters: str) -> Any:
    """Call the admin address and return the JSON of the reply.  Raises UnreachableError."""
    writer = None
    query = urlencode(parameters)
    request = f"POST {path}?{query} HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n"
    data = b""
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            if isinstance(address, str):
                reader, writer = await asyncio.open_unix_connection(address)
            else:
                reader, writer = await asyncio.open_connection(*address)
            writer.write(request.encode())
            chunk = await reader.read(READ_BYTES)
            while chunk:
                data += chunk
                chunk = await reader.read(READ_BYTES)
    except (OSError, TimeoutError) as error:
        raise UnreachableError(f"{address}: {error or 'timed out'}") from None
    finally:
        if writer:
            writer.close()
    return _parse_reply(address, data)


def _parse_reply(address: Address, data: bytes) -> Any:
    head, _, body = data.partition(b"\r\n\r\n")
    parts = head.split(b" ")
    status = parts[1] if len(parts) > 1 else b""
    if status != b"200":
        reasons = {b"400": "it rejected the parameters of the call", b"404": "duties are not configured there"}
        raise UnreachableError(f"{address}: {reasons.get(status, 'not the response of a sidecar')}")
    with suppress(ValueError):
        return json.loads(body)
    raise UnreachableError(f"{address}: the response is not JSON")


class DutyLost(Exception):
    """The task had to be released, so the block that held it was cancelled; the text says why."""


class RemoteClaim:
    """One claim to a task, from `wait` until `end`.

    `on_stop` is called when the task has to be released, or `margin_s` before its lease expires if it can't be
    renewed.  The margin is at most MAX_MARGIN_SHARE of the first lease time.
    """

    def __init__(
        self, address: Address, duty: str, on_stop: Callable[[], None] | None = None, margin_s: float = 0.0
    ) -> None:
        self.duty = duty  # the task's name
        self._address = address
        self._on_stop = on_stop
        self._margin_s = margin_s
        self._token = secrets.token_hex(16)
        self._clock = BootClock()
        self.fence = 0
        self.why = ""  # the reason to release the task; "" for none
        self.until_ms = 0.0  # expiry of the lease, or of the time left to stop (ms of this process's boot clock)
        self._renewing: asyncio.Task[None] | None = None

    async def _call(self) -> str:
        """Add the claim or keep it alive by one call, and return the claim's state."""
        sent_ms = self._clock.now_ms()
        status = await post(self._address, "/_duty/claim", duty=self.duty, token=self._token)
        state = str(status["state"])
        until_ms = sent_ms + float(status["left_ms"])
        if state == "held":
            self.fence = int(status["fence"])
            self.until_ms = max(self.until_ms, until_ms)
        elif state == "ending":
            self.until_ms = min(self.until_ms, until_ms) if self.until_ms else until_ms
        if state in ("ending", "over") and not self.why:
            self.why = str(status["why"]) or "released"
        return state

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the task is held; return False on a timeout.  Raises UnreachableError."""
        loop = asyncio.get_running_loop()
        deadline_s = None if timeout_s is None else loop.time() + timeout_s
        while True:
            state = await self._call()
            if state == "held":
                self._margin_s = min(self._margin_s, MAX_MARGIN_SHARE * self.left_s)
                self._renewing = loop.create_task(self._renew())
                return True
            if state in ("over", "ending"):
                raise UnreachableError(f"{self._address}: {self.why}")
            if deadline_s is not None and loop.time() >= deadline_s:
                return False
            await asyncio.sleep(CALL_INTERVAL_S)

    async def _renew(self) -> None:
        while not self.why and self.left_s > self._margin_s:
            await asyncio.sleep(min(CALL_INTERVAL_S, self.left_s - self._margin_s))
            # The sidecar may be suspended, so no call is awaited past the time at which the work has to end.
            with suppress(UnreachableError, TimeoutError):
                async with asyncio.timeout(max(0.0, self.left_s - self._margin_s)):
                    if await self._call() not in ("held", "ending"):
                        break
        self.why = self.why or "its lease can't be confirmed"
        if self._on_stop:
            self._on_stop()

    @property
    def left_s(self) -> float:
        """Return the remaining lease or time left to stop, in seconds; to be checked just before each write."""
        return (self.until_ms - self._clock.now_ms()) / 1000

    @property
    def held(self) -> bool:
        """Return whether a write may begin now."""
        return not self.why and self.left_s > 0

    async def end(self) -> None:
        """End the claim, so that other processes may acquire the task at once."""
        if self._renewing:
            self._renewing.cancel()
            self._renewing = None
        self.why = self.why or "ended"
        with suppress(UnreachableError):
            await post(self._address, "/_duty/done", token=self._token)


class Duty:
    """Context manager: `async with Duty(...) as held:` runs its block while the task is held.

    Check `held.held` just before each write, and send `held.fence` with it.  The block is cancelled when the task has
    to be released, or `grace_s` before its lease expires; the statement raises DutyLost then.  It raises TimeoutError
    if the task isn't held within `timeout_s` seconds (None: no limit), and UnreachableError if the sidecar can't be
    called.
    """

    def __init__(self, address: Address, duty: str, timeout_s: float | None = None, grace_s: float = 1.0) -> None:
        self._claim = RemoteClaim(address, duty, self._cancel_block, grace_s)
        self._timeout_s = timeout_s
        self._task: asyncio.Task[Any] | None = None
        self._cancelled = False

    def _cancel_block(self) -> None:
        if self._task and not self._cancelled:
            self._cancelled = True
            self._task.cancel()

    async def __aenter__(self) -> RemoteClaim:
        try:
            if not await self._claim.wait(self._timeout_s):
                raise TimeoutError(f"{self._claim.duty}: not held within {self._timeout_s:g} s")
        except BaseException:
            await self._claim.end()
            raise
        self._task = asyncio.current_task()
        return self._claim

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        task, self._task = self._task, None
        why = self._claim.why
        await self._claim.end()
        # As in asyncio.timeout: a cancellation by this object becomes DutyLost, any other propagates.
        if self._cancelled and task and task.uncancel() == 0 and kind is asyncio.CancelledError:
            raise DutyLost(f"{self._claim.duty}: {why}") from error
