"""Middleware for any ASGI 3 framework: the gateway in the application's state, under the caller's deadline.

Written against the ASGI specification (HTTP and lifespan, version 3.0) alone; no framework is imported.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from .client import Conflict, DeadlineExceeded, Failed, Gateway, GatewayError, InvalidRequest, Refused, deadline

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

PLAIN = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,12})?")


class GatewayMiddleware:
    """Gives each request the gateway, a deadline and an honest answer where the gateway has none.

    - `scope["state"]["gateway"]` is the gateway, `scope["state"]["request_id"]` the caller's id or None.
    - The deadline header (seconds) bounds every request that the application sends meanwhile; `most` does where
      the header is missing or can't be read.
    - `Refused` becomes 503 with `Retry-After`, `Conflict` 409, `InvalidRequest` 400, `DeadlineExceeded` 504, any
      other `Failed` 502, and every other `GatewayError` 500.  Where the answer has begun already it is raised
      on, which makes the server end the connection: the caller can tell that the answer is not whole.
    - `http.disconnect` cancels the application's work on the request.
    - The lifespan starts the gateway and ends it after the application's own shutdown.  A gateway that was
      started before is left to its owner.

    :param app: the application.
    :param gateway: not started yet, or started by whoever ends it.
    :param deadline_header: its name; the platform's is `X-Deadline`.
    :param id_header: the name of the caller's request id.
    :param most: seconds for a request without a deadline; None leaves it to the class.
    """

    def __init__(
        self,
        app: App,
        gateway: Gateway,
        *,
        deadline_header: str = "x-deadline",
        id_header: str = "x-request-id",
        most: float | None = None,
    ) -> None:
        self._app, self._gateway, self._most = app, gateway, most
        self._deadline, self._id = deadline_header.lower().encode(), id_header.lower().encode()
        self._starting = asyncio.Lock()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _Lifespan(self._app, self._gateway).run(scope, receive, send)
        elif scope["type"] == "http":
            await self._http(scope, receive, send)
        else:
            scope.setdefault("state", {})["gateway"] = self._gateway
            await self._app(scope, receive, send)

    async def _http(self, scope: Scope, receive: Receive, send: Send) -> None:
        if not self._gateway.started:  # a server without lifespan
            async with self._starting:
                if not self._gateway.started:
                    await self._gateway.start()
        headers = dict(scope["headers"])
        state = scope.setdefault("state", {})
        state["gateway"] = self._gateway
        state["request_id"] = headers[self._id].decode("latin-1") if self._id in headers else None
        text, seconds = headers.get(self._deadline), self._most
        if text is not None and PLAIN.fullmatch(text):
            seconds = float(text) if seconds is None else min(seconds, float(text))
        exchange = _Exchange(receive, send)
        try:
            if seconds is None:
                await exchange.run(self._app, scope)
            else:
                with deadline(seconds):
                    await exchange.run(self._app, scope)
        except GatewayError as error:
            if exchange.begun:
                raise
            await _answer(send, error)


class _Exchange:
    """One request and its answer: reads ahead as far as it must to hear of a disconnect, and no further.

    A server tells of a disconnect only in `receive`, behind the body.  So one message is read ahead of the
    application, and what comes behind the body at once.  It could harm an application that wants no byte of a
    large body read: one part of it is.

    A 500 is kept back until the next turn of the loop.  Where the middleware is wrapped round a whole framework
    by hand, the framework's own outermost handler answers an error with 500 and raises it on, in one go: that
    500 would take back what a refusal promises.  It could harm nobody but by that one turn.
    """

    def __init__(self, receive: Receive, send: Send) -> None:
        self._receive, self._send = receive, send
        self._ahead: deque[Message] = deque()
        self._news, self._room = asyncio.Event(), asyncio.Event()
        self._error: BaseException | None = None
        self._task: asyncio.Task[Any] | None = None
        self.begun = self._done = self._gone = False
        self._kept: list[Message] = []  # of a 500, for one turn of the loop
        self._flushing: asyncio.Task[None] | None = None

    async def run(self, app: App, scope: Scope) -> None:
        self._task = asyncio.current_task()
        pump = asyncio.create_task(self._pump())
        try:
            await app(scope, self.receive, self.send)
        except asyncio.CancelledError:
            # Swallow only the cancel that the disconnect caused; the server's own goes on.
            if not self._gone or not self._task or self._task.uncancel() > 0:
                raise
        except GatewayError:
            if self._flushing and not self.begun:
                self._flushing.cancel()  # the 500 was about this error, which has an answer of its own
            raise
        except Exception:
            await self._flush()
            raise
        else:
            if self._gone and self._task:
                self._task.uncancel()  # the application would not be cancelled; its server must not be either
            await self._flush()
        finally:
            pump.cancel()

    async def _pump(self) -> None:
        try:
            while True:
                message = await self._receive()
                self._ahead.append(message)
                self._news.set()
                if message["type"] == "http.disconnect":
                    if not self._done and self._task:
                        self._gone = True
                        self._task.cancel()
                    return
                if message.get("more_body"):
                    self._room.clear()
                    await self._room.wait()
        except Exception as error:  # the server's: it belongs to whoever reads next
            self._error = error
            self._news.set()

    async def receive(self) -> Message:
        while not self._ahead:
            if self._error:
                raise self._error
            self._news.clear()
            await self._news.wait()
        message = self._ahead[0]
        if message["type"] != "http.disconnect":  # that one stays true
            self._ahead.popleft()
            self._room.set()
        return message

    async def send(self, message: Message) -> None:
        last = message["type"] == "http.response.body" and not message.get("more_body")
        if not self.begun and message["type"] == "http.response.start" and message["status"] == 500:
            self._kept.append(message)
            return
        if self._kept and last and not self._flushing:
            self._kept.append(message)
            self._flushing = asyncio.create_task(self._let_go())
            return
        await self._flush()
        await self._pass(message)

    async def _flush(self) -> None:
        """What was kept goes out, before this returns."""
        if self._flushing:
            await self._flushing
        else:
            await self._let_go()

    async def _let_go(self) -> None:
        kept, self._kept = self._kept, []
        for message in kept:
            await self._pass(message)

    async def _pass(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.begun = True
        elif message["type"] == "http.response.body" and not message.get("more_body"):
            self._done = True
        await self._send(message)


async def _answer(send: Send, error: GatewayError) -> None:
    status, headers = 500, [(b"content-length", b"0")]
    if isinstance(error, Refused):
        status = 503
        headers.append((b"retry-after", b"%.3f" % error.retry_after))
    elif isinstance(error, DeadlineExceeded):
        status = 504
    elif isinstance(error, Failed):
        status = 502
    elif isinstance(error, Conflict):
        status = 409
    elif isinstance(error, InvalidRequest):
        status = 400
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


class _Lifespan:
    """The application's lifespan with the gateway's around it, also where the application has none."""

    def __init__(self, app: App, gateway: Gateway) -> None:
        self._app, self._gateway = app, gateway
        self._owns = self._up = self._over = self._asked = False

    async def run(self, scope: Scope, receive: Receive, send: Send) -> None:
        scope.setdefault("state", {})["gateway"] = self._gateway

        async def receiving() -> Message:
            message = await receive()
            if message["type"] == "lifespan.startup":
                self._asked = True
                if not self._gateway.started:
                    await self._gateway.start()
                    self._owns = True
            return message

        async def sending(message: Message) -> None:
            if message["type"] == "lifespan.startup.complete":
                self._up = True
            elif message["type"] in (
                "lifespan.shutdown.complete",
                "lifespan.startup.failed",
                "lifespan.shutdown.failed",
            ):
                self._over = True
                await self._end()
            await send(message)

        try:
            await self._app(scope, receiving, sending)
        except Exception:
            if self._up or self._over:
                await self._end()
                raise
            # An application without a lifespan raises or returns before it has answered: speak for it.
        if self._over:
            return
        if not self._up:
            if not self._asked:
                await receiving()
            await sending({"type": "lifespan.startup.complete"})
        while (await receive())["type"] != "lifespan.shutdown":
            pass
        await sending({"type": "lifespan.shutdown.complete"})

    async def _end(self) -> None:
        if self._owns:
            self._owns = False
            await self._gateway.close()


__all__ = ["GatewayMiddleware"]
