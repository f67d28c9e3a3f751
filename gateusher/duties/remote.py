"""A duty held by another process of this machine, through the control socket of the sidecar beside it.

The claim is kept up by calls; each answer says how long the proof lasts, and that is counted here from before the
call was made.  So whoever stands still between a call and its answer only loses time, and a sidecar that is gone or
stopped is one whose proof runs out.  Source of the idea: sessions and sequencers of Chubby (2006).
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

CALL_S = 0.1  # between two calls
ANSWER_S = 2.0  # for the answer to one
MOST_ANSWER = 1 << 16


class UnreachableError(OSError):
    """No sidecar answers there, or it takes no part in duties."""


async def post(where: str | tuple[str, int], path: str, **words: str) -> Any:
    """One call of the operators' address; its JSON.  Raises UnreachableError."""
    writer = None
    try:
        async with asyncio.timeout(ANSWER_S):
            if isinstance(where, str):
                reader, writer = await asyncio.open_unix_connection(where)
            else:
                reader, writer = await asyncio.open_connection(*where)
            writer.write(f"POST {path}?{urlencode(words)} HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n".encode())
            data = await reader.read(MOST_ANSWER)
            while more := await reader.read(MOST_ANSWER):
                data += more
    except (OSError, TimeoutError) as error:
        raise UnreachableError(f"{where}: {error or 'no answer in time'}") from None
    finally:
        if writer:
            writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    status = head.split(b" ")[1:2]
    if status != [b"200"]:
        told = {b"400": "the words of this call make no sense to it", b"404": "it takes no part in duties"}
        raise UnreachableError(f"{where}: {told.get(status[0] if status else b'', 'no answer of a sidecar')}")
    with suppress(ValueError):
        return json.loads(body)
    raise UnreachableError(f"{where}: no JSON in its answer")


class DutyLost(Exception):
    """The duty had to be let go, and the block that held it was cancelled; the text says why."""


class Remote:
    """One claim, from `wait` until `end`.

    `changed` is called when the duty is to be let go, or `early_s` before the proof is over where it can't be had any
    more; that is no more than two fifths of what the first proof lasted.
    """

    def __init__(
        self, where: str | tuple[str, int], duty: str, changed: Callable[[], None] | None = None, early_s: float = 0.0
    ) -> None:
        self.duty, self._where, self._changed = duty, where, changed
        self._early_s = early_s
        self._token = secrets.token_hex(16)
        self._clock = BootClock()
        self.fence = 0
        self.why = ""  # the duty has to be let go
        self.until = 0.0  # of the proof, or of the time to end in, on our clock
        self._keeping: asyncio.Task[None] | None = None

    async def _call(self) -> str:
        sent = self._clock.now_ms()
        said = await post(self._where, "/_duty/claim", duty=self.duty, token=self._token)
        state, left = str(said["state"]), float(said["left_ms"])
        if state == "held":
            self.fence = int(said["fence"])
            self.until = max(self.until, sent + left)
        elif state == "ending":
            self.until = min(self.until, sent + left) if self.until else sent + left
        if state in ("ending", "over") and not self.why:
            self.why = str(said["why"]) or "let go"
        return state

    async def wait(self, within_s: float | None = None) -> bool:
        """Until the duty is held; False where it isn't in time.  Raises UnreachableError."""
        loop = asyncio.get_running_loop()
        end = None if within_s is None else loop.time() + within_s
        while True:
            state = await self._call()
            if state == "held":
                self._early_s = min(self._early_s, 0.4 * self.left_s)
                self._keeping = loop.create_task(self._keep())
                return True
            if state in ("over", "ending"):
                raise UnreachableError(f"{self._where}: {self.why}")
            if end is not None and loop.time() >= end:
                return False
            await asyncio.sleep(CALL_S)

    async def _keep(self) -> None:
        while not self.why and self.left_s > self._early_s:
            await asyncio.sleep(min(CALL_S, self.left_s - self._early_s))
            # No call is waited for past the moment at which the work has to end: the sidecar may be stopped.
            with suppress(UnreachableError, TimeoutError):
                async with asyncio.timeout(max(0.0, self.left_s - self._early_s)):
                    if await self._call() not in ("held", "ending"):
                        break
        self.why = self.why or "its lease can't be proven any more"
        if self._changed:
            self._changed()

    @property
    def left_s(self) -> float:
        """Seconds for which the duty is proven, or left to end in; look just before each act."""
        return (self.until - self._clock.now_ms()) / 1000

    @property
    def held(self) -> bool:
        """Whether an act may begin now."""
        return not self.why and self.left_s > 0

    async def end(self) -> None:
        """The work has ended: others may have the duty at once."""
        if self._keeping:
            self._keeping.cancel()
            self._keeping = None
        self.why = self.why or "ended"
        with suppress(UnreachableError):
            await post(self._where, "/_duty/done", token=self._token)


class Duty:
    """`async with Duty(...) as held:` runs its block while the duty is held: look at `held.held` before each act, and
    send `held.fence` with it.

    The block is cancelled when the duty is to be let go, or `grace_s` before its proof is over; it raises DutyLost
    then.  `within_s`: seconds to wait for the duty, None for as long as it takes; then TimeoutError.  Raises
    UnreachableError where the sidecar can't be asked.
    """

    def __init__(
        self, where: str | tuple[str, int], duty: str, within_s: float | None = None, grace_s: float = 1.0
    ) -> None:
        self._claim = Remote(where, duty, self._let_go, grace_s)
        self._within_s = within_s
        self._task: asyncio.Task[Any] | None = None
        self._cancelled = False

    def _let_go(self) -> None:
        if self._task and not self._cancelled:
            self._cancelled = True
            self._task.cancel()

    async def __aenter__(self) -> Remote:
        try:
            if not await self._claim.wait(self._within_s):
                raise TimeoutError(f"{self._claim.duty}: not held within {self._within_s:g} s")
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
        # As asyncio's own timeouts do: a cancel of somebody else's goes on, ours becomes what it means.
        if self._cancelled and task and task.uncancel() == 0 and kind is asyncio.CancelledError:
            raise DutyLost(f"{self._claim.duty}: {why}") from error
