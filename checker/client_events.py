"""What clients do: ask, send the rest, stop reading, read on and leave."""

from __future__ import annotations

from typing import Any

from gateusher.client import Conflict, DeadlineExceeded, Failed, GatewayError, Refused

from .observed_world import ObservedWorld, void
from .setting import CLIENT_TIMEOUT_S, SHORT_CLIENT_TIMEOUT_S
from .story import Ask
from .world_state import Event, Line

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

    def _client_events(self, ask: Ask) -> list[Event]:
        found: list[Event] = []
        name = ask.name
        if ask.coming:
            return [
                (f"the rest of {name} comes", lambda: self._whole(ask)),
                (f"{name}'s client leaves", lambda: self._leave(ask)),
            ][: 1 if self.setting.long else 2]
        if (making := self.bodies.get(name)) and not making.done():
            found.append((f"the rest of {name}'s body is made", lambda: making.set_result(None)))
        if ask.open:
            found.append((f"{name}'s client leaves", lambda: self._leave(ask)))
        if not self.rich:
            return found
        if not self.again and not ask.extra and not self.setting.long and ask.at is not None and ask.left is None:
            found.append((f"{name}'s id comes again", lambda: self._ask_again(ask)))
        line = self.lines.get(name)
        if line and line.name == name and not line.transport.lost:
            if line.stopped:
                found.append((f"{name}'s client reads on", lambda: self._read_on(line)))
            else:
                found.append((f"{name}'s client stops reading", lambda: setattr(line, "stopped", True)))
        return found

    def _ask(self, at: int) -> None:
        rid, effect = self.rid(at), self.effects[at]
        patience = CLIENT_TIMEOUT_S
        if self.rich and not self.setting.long:
            patience = (CLIENT_TIMEOUT_S, SHORT_CLIENT_TIMEOUT_S)[self.choose("with patience", "in a hurry")]
        ask = self.story.asks[rid] = Ask(rid, rid, effect, patience)
        self._send(ask)

    def _ask_again(self, first: Ask) -> None:
        self.again = True
        ask = self.story.asks[f"{first.name}_again"] = Ask(
            f"{first.name}_again", first.rid, first.effect, CLIENT_TIMEOUT_S, extra=True
        )
        self._send(ask)

    def _bad(self) -> None:
        """One that contradicts itself, its class or HTTP: it is told so, and no node hears of it."""
        self.bad += 1
        fault = REQUEST_FAULTS[self.choose(*REQUEST_FAULTS)]
        rid = "" if fault == "without an id" else f"bad-{self.bad}"
        ask = self.story.asks[f"bad-{self.bad}"] = Ask(
            f"bad-{self.bad}", rid, "unsafe", CLIENT_TIMEOUT_S, extra=True, at=self.loop.now
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
        if self.face == "library":
            ask.beside = True
            self.tasks[ask.name] = self.loop.create_task(self._bad_request(ask, method, cls, key, body, deadline))
            return
        if not self.node.descriptors.acquire():
            ask.left = self.loop.now
            return
        line = self.lines[ask.name] = Line(self, ask.name, self._line_answered)
        line.queue.append(ask)
        line.transport.feed(
            f"{method} /{cls} HTTP/1.1\r\nHost: o\r\nX-Request-Id: {rid}\r\nX-Ask: {ask.name}\r\n"
            f"X-Deadline: {deadline}\r\n{key}{length}\r\n".encode()
            + body
        )

    async def _bad_request(self, ask: Ask, method: str, cls: str, key: str, body: bytes, deadline: str) -> None:
        try:
            await self.gateway.request(
                cls,
                method=method,
                request_id=ask.rid,
                deadline=float(deadline),
                body=body,
                headers=[("X-Ask", ask.name)],
                idempotency_key="k" if key else None,
            )
        except GatewayError as error:
            self.tell(ask, type(error).__name__.lower(), b"")
        else:
            self.tell(ask, "served", b"")

    def _send(self, ask: Ask) -> None:
        ways = ["on a connection of its own"]
        if self.rich and self.face == "daemon":
            ways += [
                f"behind {name}"
                for name, line in self.lines.items()
                if line.name == name and not line.transport.closing and not line.half and name[:3] != "bad"
            ]
            # Its answers are whole in memory, and it has the settings of its start.
            if not self.setting.long and not self.setting.operated:
                ways.append("from the library beside it")
        way = ways[self.choose(*ways)] if len(ways) > 1 else ways[0]
        if self.face == "library" or way == "from the library beside it":
            ask.at, ask.beside = self.loop.now, True
            self.tasks[ask.name] = self.loop.create_task(self._request(ask))
            return
        if way.startswith("behind"):
            line = self.lines[way[7:]]
        elif self.node.descriptors.acquire():
            line = Line(self, ask.name, self._line_answered)
        else:
            ask.left = self.loop.now  # it waits to be accepted, in vain
            return
        self.lines[ask.name] = line
        key = f"Idempotency-Key: k-{ask.rid}\r\n" if ask.effect == "keyed" else ""
        method, length = ("GET", "") if ask.effect == "safe" else ("POST", "Content-Length: 2\r\n")
        data = (
            f"{method} /{ask.effect} HTTP/1.1\r\nHost: o\r\nX-Request-Id: {ask.rid}\r\nX-Ask: {ask.name}\r\n"
            f"X-Deadline: {ask.patience:.3f}\r\nTE: trailers\r\nX-Extra: e\r\n{key}{length}\r\n"
        ).encode()
        data += b"ab" if length else b""
        cut = len(data)
        if self.rich and self.choose("at once", "in two parts"):
            cut = (len(data) - 1, 20)[self.choose("all but the last byte", "a part of its head")]
        ask.coming = data[cut:]
        if ask.coming:
            line.transport.feed(data[:cut])
        else:
            ask.coming = data
            self._whole(ask)

    def _whole(self, ask: Ask) -> None:
        """Its last byte comes."""
        data, ask.coming = ask.coming, b""
        ask.at = self.loop.now
        line = self.lines[ask.name]
        if not line.transport.closing:
            line.queue.append(ask)
            line.transport.feed(data)
        else:
            ask.left = self.loop.now  # its connection was closed before its last byte: it was never taken
            line.too_late = True

    async def _request(self, ask: Ask) -> None:
        may_have_run: bool | None = None
        content: Any = b"" if ask.effect == "safe" else b"ab"
        if content and self.rich and not self.setting.calm and self.choose("its body is there", "its body is made"):
            content = self._made(ask)
        ask.at = self.loop.now  # the turn of the loop in which it was made may have ended since
        try:
            answer = await self.gateway.request(
                ask.effect,
                request_id=ask.rid,
                deadline=ask.patience,
                body=content,
                headers=[("X-Ask", ask.name), ("TE", "trailers"), ("X-Extra", "e")],
                idempotency_key=f"k-{ask.rid}" if ask.effect == "keyed" else None,
            )
        except Refused as error:
            outcome, body, may_have_run = "refused", b"", error.may_have_run
            if not 0 < error.retry_after <= 2:
                self.story.wrong.append(f"{ask.name} is to come back in {error.retry_after} s")
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
                self.story.wrong.append(f"{ask.name} is served without its node's headers")
        self.tell(ask, outcome, body, may_have_run)

    async def _made(self, ask: Ask) -> Any:
        """A body that the application is still making."""
        yield b"a"
        making = self.bodies[ask.name] = self.loop.create_future()
        await making
        yield b"b"

    def _leave(self, ask: Ask) -> None:
        if ask.beside:
            ask.left = self.loop.now
            self.tasks[ask.name].cancel()
            return
        line = self.lines[ask.name]
        for other in self.story.asks.values():
            if self.lines.get(other.name) is line and not other.told:
                other.left, other.coming = self.loop.now, b""
        line.queue.clear()
        line.transport.on_peer_data = void  # what it takes from now on answers nobody
        line.transport.end(bool(self.rich and self.choose("by a close", "by a reset")))

    def _read_on(self, line: Line) -> None:
        line.stopped = False
        if line.transport.unsent and not line.transport.lost:
            line.transport.drain()
