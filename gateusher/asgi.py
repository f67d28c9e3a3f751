"""Middleware for any ASGI 3 framework: the gateway in the application's state, under the caller's deadline.

It depends only on the ASGI specification (HTTP and lifespan, version 3.0); no framework is imported.  Under a server
with lifespan support the middleware starts and closes the gateway.  It creates one `_Exchange` per request.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Final

from .client import Conflict, DeadlineExceeded, Failed, Gateway, GatewayError, InvalidRequest, Refused, deadline

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

DEADLINE_VALUE: Final = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,12})?")


class GatewayMiddleware:
    """Middleware that gives each request the gateway and a deadline, and maps the gateway's errors to responses.

    - `scope["state"]["gateway"]` is the gateway, `scope["state"]["request_id"]` the caller's id or None.
    - The deadline header (seconds) bounds every request that the application sends while it handles this one.  `most`
      is an upper bound on it, and the deadline where the header is missing or malformed.
    - `Refused` becomes 503 with `Retry-After`, `Conflict` 409, `InvalidRequest` 400, `DeadlineExceeded` 504, any
      other `Failed` 502, and every other `GatewayError` 500.  Once the response has started, the error is
      raised instead, which makes the server close the connection: the caller can detect an incomplete response.
    - `http.disconnect` cancels the application's work on the request.
    - The lifespan starts the gateway and closes it after the application's own shutdown.  A gateway that is
      already started is left to its owner.

    :param app: the ASGI application to wrap.
    :param gateway: not started yet, or started and closed by its owner.
    :param deadline_header: the name of the deadline header; the platform uses `X-Deadline`.
    :param id_header: the name of the header with the caller's request id.
    :param most: the longest deadline in seconds, and the one of requests without a valid header; None sets no limit
        beyond that of the request class.
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
        self._app = app
        self._gateway = gateway
        self._max_deadline_s = most
        self._deadline_header = deadline_header.lower().encode()
        self._id_header = id_header.lower().encode()
        self._start_lock = asyncio.Lock()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection or the lifespan."""
        if scope["type"] == "lifespan":
            await _Lifespan(self._app, self._gateway).run(scope, receive, send)
        elif scope["type"] == "http":
            await self._http(scope, receive, send)
        else:
            scope.setdefault("state", {})["gateway"] = self._gateway
            await self._app(scope, receive, send)

    async def _http(self, scope: Scope, receive: Receive, send: Send) -> None:
        await self._start_gateway()
        headers = dict(scope["headers"])
        state = scope.setdefault("state", {})
        state["gateway"] = self._gateway
        state["request_id"] = headers[self._id_header].decode("latin-1") if self._id_header in headers else None
        deadline_s = self._deadline_s(headers.get(self._deadline_header))
        exchange = _Exchange(receive, send)
        try:
            if deadline_s is None:
                await exchange.run(self._app, scope)
            else:
                with deadline(deadline_s):
                    await exchange.run(self._app, scope)
        except GatewayError as error:
            if exchange.response_started:
                raise
            await _send_error_response(send, error)

    async def _start_gateway(self) -> None:
        """Start the gateway under a server without lifespan support."""
        if not self._gateway.started:
            async with self._start_lock:
                if not self._gateway.started:
                    await self._gateway.start()

    def _deadline_s(self, header: bytes | None) -> float | None:
        """Return the deadline, in seconds, of a request with this deadline header; None for no limit."""
        if header is None or not DEADLINE_VALUE.fullmatch(header):
            return self._max_deadline_s
        deadline_s = float(header)
        return deadline_s if self._max_deadline_s is None else min(self._max_deadline_s, deadline_s)


class _Exchange:
    """One request and its response, with the minimal read-ahead that detects a disconnect.

    A server reports a disconnect only in `receive`, after the body.  So one message is read ahead of the application,
    and the message after the body as soon as the body is complete.  An application that must not accept any byte of a
    large body cannot use this, since one part of the body is read.

    A 500 is delayed until the next iteration of the event loop.  Where the middleware wraps a complete framework, the
    framework's outermost handler responds to an error with 500 and then raises it, in one iteration.  That 500 would
    contradict the status that the gateway's error maps to.
    """

    def __init__(self, receive: Receive, send: Send) -> None:
        self._receive, self._send = receive, send
        self.response_started = False
        self._response_complete = False
        self._task: asyncio.Task[Any] | None = None
        self._disconnected = False
        self._read_ahead: deque[Message] = deque()
        self._read_ahead_changed = asyncio.Event()
        self._may_read_more = asyncio.Event()
        self._receive_error: BaseException | None = None
        self._delayed: list[Message] = []  # messages of a 500 response
        self._delayed_send: asyncio.Task[None] | None = None

    async def run(self, app: App, scope: Scope) -> None:
        self._task = asyncio.current_task()
        reader = asyncio.create_task(self._read())
        try:
            await app(scope, self.receive, self.send)
        except asyncio.CancelledError:
            # Only the cancellation caused by the disconnect is swallowed; one by the server propagates.
            if not self._disconnected or not self._task or self._task.uncancel() > 0:
                raise
        except GatewayError:
            if self._delayed_send and not self.response_started:
                self._delayed_send.cancel()  # replaced by the response for the gateway's error
            raise
        except Exception:
            await self._send_all_delayed()
            raise
        else:
            if self._disconnected and self._task:
                self._task.uncancel()  # unused: the application has returned; it must not cancel the server
            await self._send_all_delayed()
        finally:
            reader.cancel()

    async def _read(self) -> None:
        """Read ahead of the application, and cancel it at a disconnect."""
        try:
            while True:
                message = await self._receive()
                self._read_ahead.append(message)
                self._read_ahead_changed.set()
                if message["type"] == "http.disconnect":
                    if not self._response_complete and self._task:
                        self._disconnected = True
                        self._task.cancel()
                    return
                if message.get("more_body"):
                    self._may_read_more.clear()
                    await self._may_read_more.wait()
        except Exception as error:  # from the server; raised again by the application's next `receive`
            self._receive_error = error
            self._read_ahead_changed.set()

    async def receive(self) -> Message:
        while not self._read_ahead:
            if self._receive_error:
                raise self._receive_error
            self._read_ahead_changed.clear()
            await self._read_ahead_changed.wait()
        message = self._read_ahead[0]
        if message["type"] != "http.disconnect":  # a disconnect is returned by every later call too
            self._read_ahead.popleft()
            self._may_read_more.set()
        return message

    async def send(self, message: Message) -> None:
        is_last = message["type"] == "http.response.body" and not message.get("more_body")
        if not self.response_started and message["type"] == "http.response.start" and message["status"] == 500:
            self._delayed.append(message)
            return
        if self._delayed and is_last and not self._delayed_send:
            self._delayed.append(message)
            self._delayed_send = asyncio.create_task(self._send_delayed())
            return
        await self._send_all_delayed()
        await self._forward(message)

    async def _send_all_delayed(self) -> None:
        """Send all delayed messages before returning."""
        if self._delayed_send:
            await self._delayed_send
        else:
            await self._send_delayed()

    async def _send_delayed(self) -> None:
        delayed, self._delayed = self._delayed, []
        for message in delayed:
            await self._forward(message)

    async def _forward(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.response_started = True
        elif message["type"] == "http.response.body" and not message.get("more_body"):
            self._response_complete = True
        await self._send(message)


async def _send_error_response(send: Send, error: GatewayError) -> None:
    """Send the response that this error maps to."""
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
    """Runs the gateway around the application's lifespan, and provides one for an application without it."""

    def __init__(self, app: App, gateway: Gateway) -> None:
        self._app, self._gateway = app, gateway
        self._owns_gateway = False
        self._startup_requested = self._startup_complete = self._finished = False

    async def run(self, scope: Scope, receive: Receive, send: Send) -> None:
        scope.setdefault("state", {})["gateway"] = self._gateway

        async def receive_and_start() -> Message:
            message = await receive()
            if message["type"] == "lifespan.startup":
                self._startup_requested = True
                if not self._gateway.started:
                    await self._gateway.start()
                    self._owns_gateway = True
            return message

        async def close_and_send(message: Message) -> None:
            if message["type"] == "lifespan.startup.complete":
                self._startup_complete = True
            elif message["type"] in (
                "lifespan.shutdown.complete",
                "lifespan.startup.failed",
                "lifespan.shutdown.failed",
            ):
                self._finished = True
                await self._close_gateway()
            await send(message)

        try:
            await self._app(scope, receive_and_start, close_and_send)
        except Exception:
            if self._startup_complete or self._finished:
                await self._close_gateway()
                raise
            # An application without a lifespan raises, or returns, before it has responded: respond for it.
        if self._finished:
            return
        if not self._startup_complete:
            if not self._startup_requested:
                await receive_and_start()
            await close_and_send({"type": "lifespan.startup.complete"})
        while (await receive())["type"] != "lifespan.shutdown":
            pass
        await close_and_send({"type": "lifespan.shutdown.complete"})

    async def _close_gateway(self) -> None:
        if self._owns_gateway:
            self._owns_gateway = False
            await self._gateway.close()


__all__ = ["GatewayMiddleware"]
