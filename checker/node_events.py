"""The events of nodes and the network: connections are established and end, responses and garbage arrive."""

from __future__ import annotations

import json
from functools import partial

from gateusher.upstream.pool import REUSE_DELAY_MS
from gateusher.virtual.loop import Dial, Transport

from .history import AttemptRecord
from .observed_world import ObservedWorld, void
from .responses import (
    CLOSING_INTERIM_RESPONSE,
    ERROR,
    FAULT_FREE,
    GARBAGE,
    INTERIM_RESPONSE,
    NOT_RUN,
    OK,
    RESPONSE_CASES,
    GeneratedResponse,
    generate_response,
)
from .setting import LIST_PORTS
from .world_state import Event

COMMON_RESPONSES = (
    "a 200",
    "a 500",
    "a 503 with X-Not-Run",
    "garbage",
    "half of a 200",
    "a 200 twice",
    "a 1xx and a 200",
    "a 200 and a reset",
    "a 1xx with Connection: close and a 200",
    "a part of a head",
    "a 200 and a part of a duplicate",
    "a 200 with a duplicate in flight",
)
STREAMED_RESPONSE_CASES = ("truncated late", "served")  # the cases that differ while a response is streamed
EXHAUSTIVE_RESPONSE_COUNT = 8  # of the common responses, in an exhaustive search


class NodeEvents(ObservedWorld):
    """The part of a world that produces the events of nodes and the network."""

    def _dial_events(self) -> list[Event]:
        found: list[Event] = []
        pending = [d for d in self.loop.dials if not d.established.done()]
        for index, dial in enumerate(pending):
            earlier_count = sum(d.port == dial.port for d in pending[:index])
            name = f"{('a', 'another', 'a third')[min(2, earlier_count)]} connection to n{dial.port - 1}"
            if dial.port in LIST_PORTS:
                found.append(("the watch is established", partial(self._establish_watch, dial)))
            elif dial.port - 1 not in self.dead_nodes:
                found.append((f"{name} is established", partial(self._establish, dial)))
            refused = f"{name} is refused" if dial.port not in LIST_PORTS else "the watch is refused"
            found.append(
                (
                    refused,
                    lambda d=dial: d.established.set_exception(  # type: ignore[misc]
                        ConnectionRefusedError()
                    ),
                )
            )
        return found

    def _connection_events(self, name: str, transport: Transport) -> list[Event]:
        found: list[Event] = []
        attempt = self.unanswered_attempt(transport)
        if transport.unsent:
            found.append((f"the kernel accepts the rest on {name}", lambda: self._accept_unsent_bytes(transport)))
        if attempt and attempt.rest_of_response:
            found.append(
                (f"the rest of the response arrives on {name}", lambda: self._send_rest_of_response(attempt))
            )
            if self.setting.streamed_responses and len(attempt.rest_of_response) > 1:
                found.append((f"a part of the rest arrives on {name}", lambda: self._send_part_of_response(attempt)))
            # Before this last byte garbage cannot pass for a part of the body.
            if self.setting.streamed_responses and attempt.rest_of_response == b"\n":
                found.append(
                    (f"garbage arrives in place of the rest on {name}", lambda: self._send_garbage(transport, True))
                )
        elif attempt and attempt.fully_sent and not attempt.ends_at_close:
            found += [
                (f"{kind} arrives on {name}", partial(self._send_common_response, attempt, kind))
                for kind in COMMON_RESPONSES[
                    : 1 if self.setting.streamed_responses else None if self.all_events else EXHAUSTIVE_RESPONSE_COUNT
                ]
            ]
            if self.all_events:
                found.append(
                    (f"a generated response arrives on {name}", lambda: self._send_generated_response(attempt))
                )
        elif attempt and not attempt.ends_at_close:
            found += [
                (f"{kind} arrives early on {name}", partial(self._send_common_response, attempt, kind))
                for kind in ("a 503 with X-Not-Run", "a 200")
            ]
            if self.all_events:
                found.append(
                    (f"a generated response arrives early on {name}", lambda: self._send_generated_response(attempt))
                )
        # A duplicate that arrives after the reuse delay cannot be told from the next response (ROADMAP).
        if transport.unsolicited and self.loop.now < transport.unsolicited_by_s:
            found.append(
                (f"the rest of the duplicate arrives on {name}", lambda: self._send_rest_of_duplicate(transport))
            )
        if transport.unread:
            found.append((f"the arrived bytes are read on {name}", lambda: self._read_arrived(transport)))
        elif not attempt:
            found.append((f"garbage arrives on {name}", lambda: self._send_garbage(transport, True)))
            if self.all_events:
                found.append((f"garbage arrives unread on {name}", lambda: self._send_garbage(transport, False)))
        found.append((f"{name} is reset", lambda: transport.end(True)))
        # A close that delimits the body completes it; no client could detect a truncation there.
        if self.all_events and not (attempt and attempt.ends_at_close and attempt.rest_of_response):
            found.append((f"the stream ends on {name}", lambda: self._end_stream(transport)))
        return found

    def _node_events(self) -> list[Event]:
        if not self.all_events:
            return []
        if 0 in self.dead_nodes:
            return [("n0 restarts", self._restart)]
        return [("n0 crashes", self._crash)] if self.restart_counts[0] < 2 else []

    def _establish(self, dial: Dial) -> None:
        dial.on_transport = self._attach
        dial.established.set_result(None)

    def _accept_unsent_bytes(self, transport: Transport) -> None:
        attempt = next((a for a in reversed(self.history.attempts) if a.transport is transport), None)
        if attempt:
            self._on_last_byte(attempt)
        transport.drain()

    def _send_common_response(self, attempt: AttemptRecord, kind: str) -> None:
        response = OK % (len(attempt.request_name), attempt.request_name.encode())
        attempt.answered = True
        if cut := {"half of a 200": len(response) - 3, "a part of a head": 10}.get(kind):
            attempt.answered, attempt.rest_of_response = False, response[cut:]
            attempt.served = attempt.fully_sent
            attempt.transport.feed(response[:cut])
            return
        attempt.rejected = kind == "a 503 with X-Not-Run"
        attempt.served = "a 200" in kind and attempt.fully_sent
        if kind == "a 200 with a duplicate in flight":
            attempt.transport.unsolicited = response
            attempt.transport.unsolicited_by_s = self.loop.now + REUSE_DELAY_MS / 1000
        data = {
            "a 200": response,
            "a 500": ERROR,
            "a 503 with X-Not-Run": NOT_RUN,
            "garbage": GARBAGE,
            "a 200 twice": response + response,
            "a 1xx and a 200": INTERIM_RESPONSE + response,
            "a 1xx with Connection: close and a 200": CLOSING_INTERIM_RESPONSE + response,
            "a 200 and a part of a duplicate": response + response[:10],
        }.get(kind, response)
        if kind in ("a 200 twice", "a 200 and a part of a duplicate"):
            attempt.transport.tainted = True
        if kind == "a 200 and a part of a duplicate":
            attempt.transport.unsolicited, attempt.transport.unsolicited_by_s = response[10:], float("inf")
        attempt.transport.feed(data)
        if kind == "a 200 and a reset":
            attempt.transport.end(True)

    def _send_generated_response(self, attempt: AttemptRecord) -> None:
        """Send a response with a chosen status, framing and truncation."""

        def pick(*options: str) -> str:
            return options[self.choose(*options)]

        cases = (
            STREAMED_RESPONSE_CASES
            if self.setting.streamed_responses
            else tuple(c for c in RESPONSE_CASES if c != STREAMED_RESPONSE_CASES[0])
        )
        case = FAULT_FREE if self.setting.fault_free else RESPONSE_CASES[pick(*cases)]
        status, framing, persistence, truncation, interim = (
            pick(*part) if len(part) > 1 else part[0] for part in case
        )
        response: GeneratedResponse = generate_response(
            status, framing, persistence, truncation, interim, attempt.request_name.encode()
        )
        attempt.ends_at_close = response.ends_at_close
        attempt.rest_of_response = response.rest
        attempt.answered = not response.rest and not response.ends_at_close
        attempt.rejected = response.rejected
        attempt.served = response.served and attempt.fully_sent
        attempt.transport.tainted = attempt.transport.tainted or response.has_extra_data or not response.is_valid
        attempt.transport.feed(response.first_part)

    def _send_rest_of_response(self, attempt: AttemptRecord) -> None:
        rest, attempt.rest_of_response = attempt.rest_of_response, b""
        attempt.answered = not attempt.ends_at_close
        attempt.transport.feed(rest)

    @staticmethod
    def _send_part_of_response(attempt: AttemptRecord) -> None:
        cut = len(attempt.rest_of_response) // 2
        part, attempt.rest_of_response = attempt.rest_of_response[:cut], attempt.rest_of_response[cut:]
        attempt.transport.feed(part)

    def _end_stream(self, transport: Transport) -> None:
        attempt = self.unanswered_attempt(transport)
        if attempt and attempt.ends_at_close and not attempt.rest_of_response:
            attempt.answered = True
        transport.end(False)

    def _send_garbage(self, transport: Transport, is_read: bool) -> None:
        transport.tainted = True
        if is_read:
            transport.feed(GARBAGE)
        else:
            transport.unread = GARBAGE

    @staticmethod
    def _read_arrived(transport: Transport) -> None:
        data, transport.unread = transport.unread, b""
        transport.feed(data)

    @staticmethod
    def _send_rest_of_duplicate(transport: Transport) -> None:
        transport.tainted = True
        data, transport.unsolicited = transport.unsolicited, b""
        transport.feed(data)

    def _crash(self) -> None:
        """Reset the connections of n0 and refuse new ones."""
        self.dead_nodes.add(0)
        for transport in self.transports:
            if transport.port == 1:
                transport.end(True)

    def _restart(self) -> None:
        self.dead_nodes.discard(0)
        self.restart_counts[0] += 1

    def _establish_watch(self, dial: Dial) -> None:
        def on_transport(transport: Transport) -> None:
            self.watches.append(transport)
            transport.on_write = lambda t, data: void(self.loop.call_soon(self._on_watch_request, t, data))

        self.partial_update = None
        dial.on_transport = on_transport
        dial.established.set_result(None)

    def _on_watch_request(self, transport: Transport, data: bytes) -> None:
        """Answer with the complete list, as discovery may do at any time."""
        present = [h for h in self.hosts if h["health"] != "Gone"]
        update = json.dumps({"seq": self.list_changes + 1, "whole": True, "hosts": present}).encode() + b"\n"
        if self.hosts[0]["health"] == "Ready" and self.hosts[0]["dial"].endswith(":1"):
            self.history.draining_since.pop(0, None)
        else:
            self.history.draining_since.setdefault(0, self.loop.now)
        if b"watch=1" in data:
            transport.feed(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(update), update)
            )
        else:
            transport.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(update), update))
