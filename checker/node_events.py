"""What nodes and the network do: connections come up and end, answers and noise come."""

from __future__ import annotations

import json

from gateusher.upstream.pool import REUSE_DELAY_MS
from gateusher.virtual.loop import Dial, Transport

from .answers import CALM, EARLY, EARLY_LAST, ERROR, NOISE, NOT_RUN, OK, SORTS, Made, make
from .observed_world import ObservedWorld, void
from .setting import LIST_PORTS
from .story import Sent
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
                found.append(("the watch comes up", lambda d=dial: self._watch_up(d)))  # type: ignore[misc]
            elif dial.port - 1 not in self.dead:
                found.append((f"{where} comes up", lambda d=dial: self._up(d)))  # type: ignore[misc]
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
        sent = self.out(transport)
        if transport.unsent:
            found.append((f"the rest is written on {name}", lambda: self._drain(transport)))
        if sent and sent.half:
            found.append((f"the rest of the answer comes on {name}", lambda: self._rest(sent)))
            if self.setting.long and len(sent.half) > 1:
                found.append((f"a part of the rest comes on {name}", lambda: self._part(sent)))
            if self.setting.long and sent.half == b"\n":  # where noise can't pass for a part of the body
                found.append((f"noise comes in place of the rest on {name}", lambda: self._noise(transport, True)))
        elif sent and sent.whole and not sent.ends:
            found += [
                (f"{what} comes on {name}", lambda w=what: self._reply(sent, w))  # type: ignore[misc]
                for what in REPLIES[: 1 if self.setting.long else None if self.rich else COMMON_REPLY_COUNT]
            ]
            if self.rich:
                found.append((f"an answer begins on {name}", lambda: self._answer(sent)))
        elif sent and not sent.ends:
            found += [
                (f"{what} comes early on {name}", lambda w=what: self._reply(sent, w))  # type: ignore[misc]
                for what in ("503, not run,", "a 200")
            ]
            if self.rich:
                found.append((f"an answer begins early on {name}", lambda: self._answer(sent)))
        # One that comes later than the rest after an answer can't be told from the next answer (ROADMAP).
        if transport.unsolicited and self.loop.now < transport.unsolicited_by_s:
            found.append((f"the copy's rest comes on {name}", lambda: self._copy(transport)))
        if transport.unread:
            found.append((f"what has arrived is read on {name}", lambda: self._read(transport)))
        elif not sent:
            found.append((f"noise comes on {name}", lambda: self._noise(transport, True)))
            if self.rich:
                found.append((f"noise arrives, unread, on {name}", lambda: self._noise(transport, False)))
        found.append((f"{name} is reset", lambda: transport.end(True)))
        # The end makes a body whole that says so; of one that is cut there, no client could tell.
        if self.rich and not (sent and sent.ends and sent.half):
            found.append((f"the stream ends on {name}", lambda: self._fin(transport)))
        return found

    def _node_events(self) -> list[Event]:
        if not self.rich:
            return []
        if 0 in self.dead:
            return [("n0 starts again", self._start_again)]
        return [("n0's process dies", self._die)] if self.starts[0] < 2 else []

    def _up(self, dial: Dial) -> None:
        dial.on_transport = self._attach
        dial.established.set_result(None)

    def _drain(self, transport: Transport) -> None:
        sent = next((s for s in reversed(self.story.sent) if s.transport is transport), None)
        if sent:
            self._became_whole(sent)
        transport.drain()

    def _reply(self, sent: Sent, what: str) -> None:
        answer = OK % (len(sent.rid), sent.rid.encode())
        sent.answered = True
        if cut := {"half of a 200": len(answer) - 3, "a part of a head": 10}.get(what):
            sent.answered, sent.half = False, answer[cut:]
            sent.served = sent.whole
            sent.transport.feed(answer[:cut])
            return
        sent.turned_away = what == "503, not run,"
        sent.served = "a 200" in what and sent.whole
        if what == "a 200, and a copy on its way,":
            sent.transport.unsolicited = answer
            sent.transport.unsolicited_by_s = self.loop.now + REUSE_DELAY_MS / 1000
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
            sent.transport.tainted = True
        if what == "a 200 and a bit of a copy":
            sent.transport.unsolicited, sent.transport.unsolicited_by_s = answer[10:], float("inf")
        sent.transport.feed(data)
        if what == "a 200 and a reset":
            sent.transport.end(True)

    def _answer(self, sent: Sent) -> None:
        """An answer of any kind, in any framing, cut anywhere."""

        def pick(*options: str) -> str:
            return options[self.choose(*options)]

        sorts = LONG_RESPONSE_SORTS if self.setting.long else tuple(s for s in SORTS if s != LONG_RESPONSE_SORTS[0])
        sort = CALM if self.setting.calm else SORTS[pick(*sorts)]
        kind, framing, end, cut, ahead = (pick(*part) if len(part) > 1 else part[0] for part in sort)
        made: Made = make(kind, framing, end, cut, ahead, sent.rid.encode())
        sent.ends = made.ends
        sent.half = made.rest
        sent.answered = not made.rest and not made.ends
        sent.turned_away = made.turned_away
        sent.served = made.served and sent.whole
        sent.transport.tainted = sent.transport.tainted or made.more or not made.readable
        sent.transport.feed(made.now)

    def _rest(self, sent: Sent) -> None:
        rest, sent.half = sent.half, b""
        sent.answered = not sent.ends
        sent.transport.feed(rest)

    @staticmethod
    def _part(sent: Sent) -> None:
        cut = len(sent.half) // 2
        part, sent.half = sent.half[:cut], sent.half[cut:]
        sent.transport.feed(part)

    def _fin(self, transport: Transport) -> None:
        sent = self.out(transport)
        if sent and sent.ends and not sent.half:
            sent.answered = True
        transport.end(False)

    def _noise(self, transport: Transport, read: bool) -> None:
        transport.tainted = True
        if read:
            transport.feed(NOISE)
        else:
            transport.unread = NOISE

    @staticmethod
    def _read(transport: Transport) -> None:
        data, transport.unread = transport.unread, b""
        transport.feed(data)

    @staticmethod
    def _copy(transport: Transport) -> None:
        transport.tainted = True
        data, transport.unsolicited = transport.unsolicited, b""
        transport.feed(data)

    def _die(self) -> None:
        """Its connections are reset, and new ones refused."""
        self.dead.add(0)
        for transport in self.transports:
            if transport.port == 1:
                transport.end(True)

    def _start_again(self) -> None:
        self.dead.discard(0)
        self.starts[0] += 1

    def _watch_up(self, dial: Dial) -> None:
        def made(transport: Transport) -> None:
            self.watches.append(transport)
            transport.on_write = lambda t, data: void(self.loop.call_soon(self._watch_asked, t, data))

        self.half_line = None
        dial.on_transport = made
        dial.established.set_result(None)

    def _watch_asked(self, transport: Transport, data: bytes) -> None:
        """The whole list, as discovery may always answer."""
        left = [h for h in self.hosts if h["health"] != "Gone"]
        line = json.dumps({"seq": self.turned + 1, "whole": True, "hosts": left}).encode() + b"\n"
        if self.hosts[0]["health"] == "Ready" and self.hosts[0]["dial"].endswith(":1"):
            self.story.drained.pop(0, None)
        else:
            self.story.drained.setdefault(0, self.loop.now)
        if b"watch=1" in data:
            transport.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        else:
            transport.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
