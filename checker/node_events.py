"""What nodes and the network do: connections come up and end, answers and noise come."""

from __future__ import annotations

import json

from gateusher.upstream.pool import REUSE_DELAY_MS
from gateusher.virtual.loop import Dial, Transport

from .history import AttemptRecord
from .observed_world import ObservedWorld, void
from .responses import (
    EARLY,
    EARLY_LAST,
    ERROR,
    FAULT_FREE,
    NOISE,
    NOT_RUN,
    OK,
    RESPONSE_CASES,
    GeneratedResponse,
    generate_response,
)
from .setting import LIST_PORTS
from .world_state import Event

REPLIES = (
    "a 200",
    "a 500",
    "503, not run,",
    "noise",
    "half of a 200",
    "a 200 twice",
    "a 1xx and a 200",
    "a 200 and a reset",
    "a 1xx that closes, and a 200",
    "a part of a head",
    "a 200 and a bit of a copy",
    "a 200, and a copy on its way,",
)
LONG_RESPONSE_SORTS = ("one that is cut late", "one that serves")  # what matters of an answer that is passed on
COMMON_REPLY_COUNT = 8  # so many of the replies where every order is followed


class NodeEvents(ObservedWorld):
    """The nodes' events of a world."""

    def _dial_events(self) -> list[Event]:
        found: list[Event] = []
        coming = [d for d in self.loop.dials if not d.established.done()]
        for at, dial in enumerate(coming):
            before = sum(d.port == dial.port for d in coming[:at])
            where = f"{('a', 'another', 'a third')[min(2, before)]} connection to n{dial.port - 1}"
            if dial.port in LIST_PORTS:
                found.append(("the watch comes up", lambda d=dial: self._establish_watch(d)))  # type: ignore[misc]
            elif dial.port - 1 not in self.dead_nodes:
                found.append((f"{where} comes up", lambda d=dial: self._establish(d)))  # type: ignore[misc]
            refused = f"{where} is refused" if dial.port not in LIST_PORTS else "the watch is refused"
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
            found.append((f"the rest is written on {name}", lambda: self._accept_unsent_bytes(transport)))
        if attempt and attempt.rest_of_response:
            found.append((f"the rest of the answer comes on {name}", lambda: self._send_rest_of_response(attempt)))
            if self.setting.streamed_responses and len(attempt.rest_of_response) > 1:
                found.append((f"a part of the rest comes on {name}", lambda: self._send_part_of_response(attempt)))
            if (
                self.setting.streamed_responses and attempt.rest_of_response == b"\n"
            ):  # where noise can't pass for a part of the body
                found.append(
                    (f"noise comes in place of the rest on {name}", lambda: self._send_noise(transport, True))
                )
        elif attempt and attempt.fully_sent and not attempt.ends_at_close:
            found += [
                (f"{what} comes on {name}", lambda w=what: self._send_common_response(attempt, w))  # type: ignore[misc]
                for what in REPLIES[
                    : 1 if self.setting.streamed_responses else None if self.all_events else COMMON_REPLY_COUNT
                ]
            ]
            if self.all_events:
                found.append((f"an answer begins on {name}", lambda: self._send_generated_response(attempt)))
        elif attempt and not attempt.ends_at_close:
            found += [
                (f"{what} comes early on {name}", lambda w=what: self._send_common_response(attempt, w))  # type: ignore[misc]
                for what in ("503, not run,", "a 200")
            ]
            if self.all_events:
                found.append((f"an answer begins early on {name}", lambda: self._send_generated_response(attempt)))
        # One that comes later than the rest after an answer can't be told from the next answer (ROADMAP).
        if transport.unsolicited and self.loop.now < transport.unsolicited_by_s:
            found.append((f"the copy's rest comes on {name}", lambda: self._send_rest_of_duplicate(transport)))
        if transport.unread:
            found.append((f"what has arrived is read on {name}", lambda: self._read_arrived(transport)))
        elif not attempt:
            found.append((f"noise comes on {name}", lambda: self._send_noise(transport, True)))
            if self.all_events:
                found.append((f"noise arrives, unread, on {name}", lambda: self._send_noise(transport, False)))
        found.append((f"{name} is reset", lambda: transport.end(True)))
        # The end makes a body whole that says so; of one that is cut there, no client could tell.
        if self.all_events and not (attempt and attempt.ends_at_close and attempt.rest_of_response):
            found.append((f"the stream ends on {name}", lambda: self._end_stream(transport)))
        return found

    def _node_events(self) -> list[Event]:
        if not self.all_events:
            return []
        if 0 in self.dead_nodes:
            return [("n0 starts again", self._restart)]
        return [("n0's process dies", self._crash)] if self.restart_counts[0] < 2 else []

    def _establish(self, dial: Dial) -> None:
        dial.on_transport = self._attach
        dial.established.set_result(None)

    def _accept_unsent_bytes(self, transport: Transport) -> None:
        attempt = next((s for s in reversed(self.history.attempts) if s.transport is transport), None)
        if attempt:
            self._on_last_byte(attempt)
        transport.drain()

    def _send_common_response(self, attempt: AttemptRecord, what: str) -> None:
        answer = OK % (len(attempt.request_name), attempt.request_name.encode())
        attempt.answered = True
        if cut := {"half of a 200": len(answer) - 3, "a part of a head": 10}.get(what):
            attempt.answered, attempt.rest_of_response = False, answer[cut:]
            attempt.served = attempt.fully_sent
            attempt.transport.feed(answer[:cut])
            return
        attempt.rejected = what == "503, not run,"
        attempt.served = "a 200" in what and attempt.fully_sent
        if what == "a 200, and a copy on its way,":
            attempt.transport.unsolicited = answer
            attempt.transport.unsolicited_by_s = self.loop.now + REUSE_DELAY_MS / 1000
        data = {
            "a 200": answer,
            "a 500": ERROR,
            "503, not run,": NOT_RUN,
            "noise": NOISE,
            "a 200 twice": answer + answer,
            "a 1xx and a 200": EARLY + answer,
            "a 1xx that closes, and a 200": EARLY_LAST + answer,
            "a 200 and a bit of a copy": answer + answer[:10],
        }.get(what, answer)
        if what in ("a 200 twice", "a 200 and a bit of a copy"):
            attempt.transport.tainted = True
        if what == "a 200 and a bit of a copy":
            attempt.transport.unsolicited, attempt.transport.unsolicited_by_s = answer[10:], float("inf")
        attempt.transport.feed(data)
        if what == "a 200 and a reset":
            attempt.transport.end(True)

    def _send_generated_response(self, attempt: AttemptRecord) -> None:
        """An answer of any kind, in any framing, cut anywhere."""

        def pick(*options: str) -> str:
            return options[self.choose(*options)]

        sorts = (
            LONG_RESPONSE_SORTS
            if self.setting.streamed_responses
            else tuple(s for s in RESPONSE_CASES if s != LONG_RESPONSE_SORTS[0])
        )
        sort = FAULT_FREE if self.setting.fault_free else RESPONSE_CASES[pick(*sorts)]
        kind, framing, end, cut, ahead = (pick(*part) if len(part) > 1 else part[0] for part in sort)
        made: GeneratedResponse = generate_response(kind, framing, end, cut, ahead, attempt.request_name.encode())
        attempt.ends_at_close = made.ends_at_close
        attempt.rest_of_response = made.rest
        attempt.answered = not made.rest and not made.ends_at_close
        attempt.rejected = made.rejected
        attempt.served = made.served and attempt.fully_sent
        attempt.transport.tainted = attempt.transport.tainted or made.more or not made.readable
        attempt.transport.feed(made.now)

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

    def _send_noise(self, transport: Transport, read: bool) -> None:
        transport.tainted = True
        if read:
            transport.feed(NOISE)
        else:
            transport.unread = NOISE

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
        """Its connections are reset, and new ones refused."""
        self.dead_nodes.add(0)
        for transport in self.transports:
            if transport.port == 1:
                transport.end(True)

    def _restart(self) -> None:
        self.dead_nodes.discard(0)
        self.restart_counts[0] += 1

    def _establish_watch(self, dial: Dial) -> None:
        def made(transport: Transport) -> None:
            self.watches.append(transport)
            transport.on_write = lambda t, data: void(self.loop.call_soon(self._on_watch_request, t, data))

        self.partial_update = None
        dial.on_transport = made
        dial.established.set_result(None)

    def _on_watch_request(self, transport: Transport, data: bytes) -> None:
        """The whole list, as discovery may always answer."""
        left = [h for h in self.hosts if h["health"] != "Gone"]
        line = json.dumps({"seq": self.list_changes + 1, "whole": True, "hosts": left}).encode() + b"\n"
        if self.hosts[0]["health"] == "Ready" and self.hosts[0]["dial"].endswith(":1"):
            self.history.draining_since.pop(0, None)
        else:
            self.history.draining_since.setdefault(0, self.loop.now)
        if b"watch=1" in data:
            transport.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        else:
            transport.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
