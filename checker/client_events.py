"""What clients do: ask, send the rest, stop reading, read on and leave."""

from __future__ import annotations

from typing import Any

from gateusher.client import Conflict, DeadlineExceeded, Failed, GatewayError, Refused

from .history import RequestRecord
from .observed_world import ObservedWorld, void
from .setting import CLIENT_TIMEOUT_S, SHORT_CLIENT_TIMEOUT_S
from .world_state import DaemonConnection, Event

REQUEST_FAULTS = (
    "with a key where none is due",
    "without the key that is due",
    "with the method of another class",
    "with a body by GET",
    "without any time",
    "without an id",
    "of a class that there is not",
)


class ClientEvents(ObservedWorld):
    """The clients' events of a world."""

    def _client_events(self, request: RequestRecord) -> list[Event]:
        found: list[Event] = []
        name = request.name
        if request.unsent:
            return [
                (f"the rest of {name} comes", lambda: self._send_rest(request)),
                (f"{name}'s client leaves", lambda: self._disconnect(request)),
            ][: 1 if self.setting.streamed_responses else 2]
        if (making := self.pending_bodies.get(name)) and not making.done():
            found.append((f"the rest of {name}'s body is made", lambda: making.set_result(None)))
        if request.is_open:
            found.append((f"{name}'s client leaves", lambda: self._disconnect(request)))
        if not self.all_events:
            return found
        if (
            not self.has_duplicate
            and not request.extra
            and not self.setting.streamed_responses
            and request.submitted_at is not None
            and request.disconnected_at is None
        ):
            found.append((f"{name}'s id comes again", lambda: self._submit_duplicate(request)))
        line = self.daemon_connections.get(name)
        if line and line.name == name and not line.transport.lost:
            if line.stopped_reading:
                found.append((f"{name}'s client reads on", lambda: self._resume_reading(line)))
            else:
                found.append((f"{name}'s client stops reading", lambda: setattr(line, "stopped_reading", True)))
        return found

    def _submit_request(self, at: int) -> None:
        request_id, effect = self.request_id(at), self.effects[at]
        patience = CLIENT_TIMEOUT_S
        if self.all_events and not self.setting.streamed_responses:
            patience = (CLIENT_TIMEOUT_S, SHORT_CLIENT_TIMEOUT_S)[self.choose("with patience", "in a hurry")]
        request = self.history.requests[request_id] = RequestRecord(request_id, request_id, effect, patience)
        self._send_request(request)

    def _submit_duplicate(self, first: RequestRecord) -> None:
        self.has_duplicate = True
        request = self.history.requests[f"{first.name}_again"] = RequestRecord(
            f"{first.name}_again", first.request_id, first.effect, CLIENT_TIMEOUT_S, extra=True
        )
        self._send_request(request)

    def _submit_invalid(self) -> None:
        """One that contradicts itself, its class or HTTP: it is told so, and no node hears of it."""
        self.invalid_count += 1
        fault = REQUEST_FAULTS[self.choose(*REQUEST_FAULTS)]
        request_id = "" if fault == "without an id" else f"bad-{self.invalid_count}"
        request = self.history.requests[f"bad-{self.invalid_count}"] = RequestRecord(
            f"bad-{self.invalid_count}",
            request_id,
            "unsafe",
            CLIENT_TIMEOUT_S,
            extra=True,
            submitted_at=self.loop.now,
        )
        method, cls, length, body = "POST", "unsafe", "Content-Length: 2\r\n", b"ab"
        key, deadline = "", "1.0"
        if fault == "with a key where none is due":
            key = "Idempotency-Key: k\r\n"
        elif fault == "without the key that is due":
            cls = "keyed"
        elif fault == "with the method of another class":
            cls = "safe"
        elif fault == "with a body by GET":
            method, cls = "GET", "safe"
        elif fault == "without any time":
            deadline = "0"
        elif fault == "of a class that there is not":
            cls = "strange"
        if self.interface == "library":
            request.via_library = True
            self.tasks[request.name] = self.loop.create_task(
                self._call_with_invalid_request(request, method, cls, key, body, deadline)
            )
            return
        if not self.node.descriptors.acquire():
            request.disconnected_at = self.loop.now
            return
        line = self.daemon_connections[request.name] = DaemonConnection(self, request.name, self._on_daemon_response)
        line.unanswered.append(request)
        line.transport.feed(
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
        ways = ["on a connection of its own"]
        if self.all_events and self.interface == "daemon":
            ways += [
                f"behind {name}"
                for name, line in self.daemon_connections.items()
                if line.name == name and not line.transport.closing and not line.partial_request and name[:3] != "bad"
            ]
            # Its answers are whole in memory, and it has the settings of its start.
            if not self.setting.streamed_responses and not self.setting.operator_events:
                ways.append("from the library beside it")
        way = ways[self.choose(*ways)] if len(ways) > 1 else ways[0]
        if self.interface == "library" or way == "from the library beside it":
            request.submitted_at, request.via_library = self.loop.now, True
            self.tasks[request.name] = self.loop.create_task(self._call_library(request))
            return
        if way.startswith("behind"):
            line = self.daemon_connections[way[7:]]
        elif self.node.descriptors.acquire():
            line = DaemonConnection(self, request.name, self._on_daemon_response)
        else:
            request.disconnected_at = self.loop.now  # it waits to be accepted, in vain
            return
        self.daemon_connections[request.name] = line
        key = f"Idempotency-Key: k-{request.request_id}\r\n" if request.effect == "keyed" else ""
        method, length = ("GET", "") if request.effect == "safe" else ("POST", "Content-Length: 2\r\n")
        data = (
            f"{method} /{request.effect} HTTP/1.1\r\nHost: o\r\nX-Request-Id: {request.request_id}\r\n"
            f"X-Ask: {request.name}\r\nX-Deadline: {request.timeout_s:.3f}\r\nTE: trailers\r\n"
            f"X-Extra: e\r\n{key}{length}\r\n"
        ).encode()
        data += b"ab" if length else b""
        cut = len(data)
        if self.all_events and self.choose("at once", "in two parts"):
            cut = (len(data) - 1, 20)[self.choose("all but the last byte", "a part of its head")]
        request.unsent = data[cut:]
        if request.unsent:
            line.transport.feed(data[:cut])
        else:
            request.unsent = data
            self._send_rest(request)

    def _send_rest(self, request: RequestRecord) -> None:
        """Its last byte comes."""
        data, request.unsent = request.unsent, b""
        request.submitted_at = self.loop.now
        line = self.daemon_connections[request.name]
        if not line.transport.closing:
            line.unanswered.append(request)
            line.transport.feed(data)
        else:
            request.disconnected_at = (
                self.loop.now
            )  # its connection was closed before its last byte: it was never taken
            line.sent_after_close = True

    async def _call_library(self, request: RequestRecord) -> None:
        may_have_run: bool | None = None
        content: Any = b"" if request.effect == "safe" else b"ab"
        if (
            content
            and self.all_events
            and not self.setting.fault_free
            and self.choose("its body is there", "its body is made")
        ):
            content = self._generate_body(request)
        request.submitted_at = self.loop.now  # the turn of the loop in which it was made may have ended since
        try:
            answer = await self.gateway.request(
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
                self.history.violations.append(f"{request.name} is to come back in {error.retry_after} s")
        except DeadlineExceeded as error:
            outcome, body, may_have_run = "timed out", b"", error.may_have_run
        except Failed as error:
            outcome, body, may_have_run = "failed", b"", error.may_have_run
        except Conflict:
            outcome, body = "conflict", b""
        except GatewayError as error:
            outcome, body = type(error).__name__.lower(), b""
        else:
            outcome, body = "served", answer.body
            if answer.header("x-node") != "n":
                self.history.violations.append(f"{request.name} is served without its node's headers")
        self.record_outcome(request, outcome, body, may_have_run)

    async def _generate_body(self, request: RequestRecord) -> Any:
        """A body that the application is still making."""
        yield b"a"
        making = self.pending_bodies[request.name] = self.loop.create_future()
        await making
        yield b"b"

    def _disconnect(self, request: RequestRecord) -> None:
        if request.via_library:
            request.disconnected_at = self.loop.now
            self.tasks[request.name].cancel()
            return
        line = self.daemon_connections[request.name]
        for other in self.history.requests.values():
            if self.daemon_connections.get(other.name) is line and not other.outcomes:
                other.disconnected_at, other.unsent = self.loop.now, b""
        line.unanswered.clear()
        line.transport.on_peer_data = void  # what it takes from now on answers nobody
        line.transport.end(bool(self.all_events and self.choose("by a close", "by a reset")))

    def _resume_reading(self, line: DaemonConnection) -> None:
        line.stopped_reading = False
        if line.transport.unsent and not line.transport.lost:
            line.transport.drain()
