"""The events of clients: submit requests, send the rest of one, pause and resume reading, and disconnect."""

from __future__ import annotations

from typing import Any

from gateusher.client import Conflict, DeadlineExceeded, Failed, GatewayError, Refused

from .history import RequestRecord
from .observed_world import ObservedWorld, void
from .setting import CLIENT_TIMEOUT_S, SHORT_CLIENT_TIMEOUT_S
from .world_state import DaemonConnection, Event

REQUEST_FAULTS = (
    "with an unexpected idempotency key",
    "without an idempotency key",
    "with the method of another class",
    "with a body in a GET",
    "with a zero deadline",
    "without a request id",
    "of an unknown class",
)


class ClientEvents(ObservedWorld):
    """The part of a world that produces the events of clients."""

    def _client_events(self, request: RequestRecord) -> list[Event]:
        found: list[Event] = []
        name = request.name
        if request.unsent:
            return [
                (f"the rest of {name} is sent", lambda: self._send_rest(request)),
                (f"{name}'s client disconnects", lambda: self._disconnect(request)),
            ][: 1 if self.setting.streamed_responses else 2]
        if (pending := self.pending_bodies.get(name)) and not pending.done():
            found.append((f"the rest of {name}'s body is produced", lambda: pending.set_result(None)))
        if request.is_open:
            found.append((f"{name}'s client disconnects", lambda: self._disconnect(request)))
        if not self.all_events:
            return found
        if (
            not self.has_duplicate
            and not request.extra
            and not self.setting.streamed_responses
            and request.submitted_at is not None
            and request.disconnected_at is None
        ):
            found.append((f"a duplicate of {name} is submitted", lambda: self._submit_duplicate(request)))
        connection = self.daemon_connections.get(name)
        if connection and connection.name == name and not connection.transport.lost:
            if connection.stopped_reading:
                found.append((f"{name}'s client resumes reading", lambda: self._resume_reading(connection)))
            else:
                found.append((f"{name}'s client stops reading", lambda: setattr(connection, "stopped_reading", True)))
        return found

    def _submit_request(self, index: int) -> None:
        request_id, effect = self.request_id(index), self.effects[index]
        timeout_s = CLIENT_TIMEOUT_S
        if self.all_events and not self.setting.streamed_responses:
            timeout_s = (CLIENT_TIMEOUT_S, SHORT_CLIENT_TIMEOUT_S)[
                self.choose("with the usual timeout", "with a short timeout")
            ]
        request = self.history.requests[request_id] = RequestRecord(request_id, request_id, effect, timeout_s)
        self._send_request(request)

    def _submit_duplicate(self, first: RequestRecord) -> None:
        self.has_duplicate = True
        request = self.history.requests[f"{first.name}_duplicate"] = RequestRecord(
            f"{first.name}_duplicate", first.request_id, first.effect, CLIENT_TIMEOUT_S, extra=True
        )
        self._send_request(request)

    def _submit_invalid(self) -> None:
        """Submit a request that contradicts itself, its class or HTTP, which the sidecar must answer itself."""
        self.invalid_count += 1
        fault = REQUEST_FAULTS[self.choose(*REQUEST_FAULTS)]
        request_id = "" if fault == "without a request id" else f"invalid-{self.invalid_count}"
        request = self.history.requests[f"invalid-{self.invalid_count}"] = RequestRecord(
            f"invalid-{self.invalid_count}",
            request_id,
            "unsafe",
            CLIENT_TIMEOUT_S,
            extra=True,
            submitted_at=self.loop.now,
        )
        method, cls, length, body = "POST", "unsafe", "Content-Length: 2\r\n", b"ab"
        key, deadline = "", "1.0"
        if fault == "with an unexpected idempotency key":
            key = "Idempotency-Key: k\r\n"
        elif fault == "without an idempotency key":
            cls = "keyed"
        elif fault == "with the method of another class":
            cls = "safe"
        elif fault == "with a body in a GET":
            method, cls = "GET", "safe"
        elif fault == "with a zero deadline":
            deadline = "0"
        elif fault == "of an unknown class":
            cls = "unknown"
        if self.interface == "library":
            request.via_library = True
            self.tasks[request.name] = self.loop.create_task(
                self._call_with_invalid_request(request, method, cls, key, body, deadline)
            )
            return
        if not self.node.descriptors.acquire():
            request.disconnected_at = self.loop.now
            return
        connection = self.daemon_connections[request.name] = DaemonConnection(
            self, request.name, self._on_daemon_response
        )
        connection.unanswered.append(request)
        connection.transport.feed(
            f"{method} /{cls} HTTP/1.1\r\nHost: o\r\nX-Request-Id: {request_id}\r\nX-Ask: {request.name}\r\n"
            f"X-Deadline: {deadline}\r\n{key}{length}\r\n".encode()
            + body
        )

    async def _call_with_invalid_request(
        self, request: RequestRecord, method: str, cls: str, key: str, body: bytes, deadline: str
    ) -> None:
        try:
            await self.gateway.request(
                cls,
                method=method,
                request_id=request.request_id,
                deadline=float(deadline),
                body=body,
                headers=[("X-Ask", request.name)],
                idempotency_key="k" if key else None,
            )
        except GatewayError as error:
            self.record_outcome(request, type(error).__name__.lower(), b"")
        else:
            self.record_outcome(request, "served", b"")

    def _send_request(self, request: RequestRecord) -> None:
        paths = ["on a new connection"]
        if self.all_events and self.interface == "daemon":
            paths += [
                f"pipelined behind {name}"
                for name, connection in self.daemon_connections.items()
                if connection.name == name
                and not connection.transport.closing
                and not connection.partial_request
                and not name.startswith("invalid")
            ]
            # The library buffers complete responses and keeps the settings that it was started with.
            if not self.setting.streamed_responses and not self.setting.operator_events:
                paths.append("through the library")
        path = paths[self.choose(*paths)] if len(paths) > 1 else paths[0]
        if self.interface == "library" or path == "through the library":
            request.submitted_at, request.via_library = self.loop.now, True
            self.tasks[request.name] = self.loop.create_task(self._call_library(request))
            return
        if path.startswith("pipelined behind "):
            connection = self.daemon_connections[path.removeprefix("pipelined behind ")]
        elif self.node.descriptors.acquire():
            connection = DaemonConnection(self, request.name, self._on_daemon_response)
        else:
            request.disconnected_at = self.loop.now  # the daemon never accepts its connection
            return
        self.daemon_connections[request.name] = connection
        key = f"Idempotency-Key: k-{request.request_id}\r\n" if request.effect == "keyed" else ""
        method, length = ("GET", "") if request.effect == "safe" else ("POST", "Content-Length: 2\r\n")
        data = (
            f"{method} /{request.effect} HTTP/1.1\r\nHost: o\r\nX-Request-Id: {request.request_id}\r\n"
            f"X-Ask: {request.name}\r\nX-Deadline: {request.timeout_s:.3f}\r\nTE: trailers\r\n"
            f"X-Extra: e\r\n{key}{length}\r\n"
        ).encode()
        data += b"ab" if length else b""
        cut = len(data)
        if self.all_events and self.choose("in one part", "in two parts"):
            cut = (len(data) - 1, 20)[self.choose("all but the last byte", "a part of its head")]
        request.unsent = data[cut:]
        if request.unsent:
            connection.transport.feed(data[:cut])
        else:
            request.unsent = data
            self._send_rest(request)

    def _send_rest(self, request: RequestRecord) -> None:
        """Send the rest of a request, up to its last byte."""
        data, request.unsent = request.unsent, b""
        request.submitted_at = self.loop.now
        connection = self.daemon_connections[request.name]
        if not connection.transport.closing:
            connection.unanswered.append(request)
            connection.transport.feed(data)
        else:
            # The daemon closed the connection before the last byte: it has not accepted the request.
            request.disconnected_at = self.loop.now
            connection.sent_after_close = True

    async def _call_library(self, request: RequestRecord) -> None:
        may_have_run: bool | None = None
        content: Any = b"" if request.effect == "safe" else b"ab"
        if (
            content
            and self.all_events
            and not self.setting.fault_free
            and self.choose("with a complete body", "with a streamed body")
        ):
            content = self._generate_body(request)
        request.submitted_at = self.loop.now  # the loop may have advanced since the task was created
        try:
            response = await self.gateway.request(
                request.effect,
                request_id=request.request_id,
                deadline=request.timeout_s,
                body=content,
                headers=[("X-Ask", request.name), ("TE", "trailers"), ("X-Extra", "e")],
                idempotency_key=f"k-{request.request_id}" if request.effect == "keyed" else None,
            )
        except Refused as error:
            outcome, body, may_have_run = "refused", b"", error.may_have_run
            if not 0 < error.retry_after <= 2:
                self.history.violations.append(f"{request.name} is rejected with retry_after {error.retry_after}")
        except DeadlineExceeded as error:
            outcome, body, may_have_run = "timed out", b"", error.may_have_run
        except Failed as error:
            outcome, body, may_have_run = "failed", b"", error.may_have_run
        except Conflict:
            outcome, body = "conflict", b""
        except GatewayError as error:
            outcome, body = type(error).__name__.lower(), b""
        else:
            outcome, body = "served", response.body
            if response.header("x-node") != "n":
                self.history.violations.append(f"{request.name} is served without the headers of its node")
        self.record_outcome(request, outcome, body, may_have_run)

    async def _generate_body(self, request: RequestRecord) -> Any:
        """Yield a body that the application produces in two parts."""
        yield b"a"
        produced = self.pending_bodies[request.name] = self.loop.create_future()
        await produced
        yield b"b"

    def _disconnect(self, request: RequestRecord) -> None:
        if request.via_library:
            request.disconnected_at = self.loop.now
            self.tasks[request.name].cancel()
            return
        connection = self.daemon_connections[request.name]
        for other in self.history.requests.values():
            if self.daemon_connections.get(other.name) is connection and not other.outcomes:
                other.disconnected_at, other.unsent = self.loop.now, b""
        connection.unanswered.clear()
        connection.transport.on_peer_data = void  # the client ignores all later data
        connection.transport.end(bool(self.all_events and self.choose("by a close", "by a reset")))

    def _resume_reading(self, connection: DaemonConnection) -> None:
        connection.stopped_reading = False
        if connection.transport.unsent and not connection.transport.lost:
            connection.transport.drain()
