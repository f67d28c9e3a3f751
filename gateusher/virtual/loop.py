"""A virtual event loop: time moves only when the explorer fires a timer, and sockets are lists of bytes."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterable, Iterator, MutableSet
from contextvars import Context
from typing import Any, TypeVar

T = TypeVar("T")


# Any to the type checker: of the many abstract methods only a few are made.
_Loop: Any = asyncio.AbstractEventLoop


class VirtualLoop(_Loop):  # type: ignore[misc]
    """Just what the core, the connections and the faces use of a loop; anything else fails loudly."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.ready: deque[asyncio.Handle] = deque()
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self.errors: list[str] = []  # what a callback let through
        self.dials: list[Dial] = []
        self._count = itertools.count()

    # -- what runs on it calls these

    def time(self) -> float:
        return self.now

    def call_soon(
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self.ready.append(handle)
        return handle

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.now + max(0.0, delay), callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        heapq.heappush(self.timers, (when, next(self._count), handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        self.timers = [entry for entry in self.timers if entry[2] is not handle]
        heapq.heapify(self.timers)

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Context | None = None) -> asyncio.Task[Any]:
        return asyncio.Task(coro, loop=self, name=name)

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def add_reader(self, fd: Any, callback: Callable[..., object], *args: Any) -> None:
        """Nothing ever becomes readable by itself: the explorer makes what comes."""

    def remove_reader(self, fd: Any) -> bool:
        return True

    async def create_connection(
        self, factory: Callable[[], Any], host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        dial = Dial(int(port), self.create_future())
        self.dials.append(dial)
        try:
            await dial.up
        finally:
            self.dials.remove(dial)
        protocol = factory()
        transport = dial.transport = Transport(self, protocol, dial.port)
        dial.made(transport)
        protocol.connection_made(transport)
        return transport, protocol

    # -- what the explorer calls

    def settle(self) -> None:
        """Run what is ready, in order, and what that makes ready."""
        for _ in range(10_000):
            if not self.ready:
                return
            handle = self.ready.popleft()
            if not handle.cancelled():
                handle._run()
        raise AssertionError("the loop never comes to rest")

    def fire(self) -> None:
        """Move time to the next timer and call that one alone; others of the same instant come after it."""
        when, _, handle = heapq.heappop(self.timers)
        self.now = max(self.now, when)
        handle._run()


class Dial:
    """A connection that is coming up."""

    def __init__(self, port: int, up: asyncio.Future[None]) -> None:
        self.port, self.up = port, up
        self.transport: Transport | None = None
        self.made: Callable[[Transport], None] = lambda transport: None


class Transport:
    """One end of a connection.  `takes` says what the kernel takes of a write: all, or a part of it."""

    def __init__(self, loop: VirtualLoop, protocol: Any, port: int) -> None:
        self.loop, self.protocol, self.port = loop, protocol, port
        self.closing = self.lost = self.flushing = False
        self.sent = bytearray()  # what the peer has
        self.held = bytearray()  # what the kernel has not taken yet
        self.takes: Callable[[Transport, bytes], int] = lambda transport, data: len(data)
        self.wrote: Callable[[Transport, bytes], None] = lambda transport, data: None
        self.got: Callable[[bytes], None] = lambda data: None  # what the peer gets, as it gets it
        self.unread = b""  # arrived, and not read yet
        self.coming = b""  # on its way, though nobody asked for it
        self.coming_by = 0.0  # when it is there at the latest
        self.tainted = False  # something came that belongs to no request
        self.paused = False  # nothing is read
        self.waiting: list[bytes] = []  # what came meanwhile
        self.ended: bool | None = None  # whether it ended meanwhile, and by a reset: who doesn't read is not told

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self if name == "socket" else default

    def fileno(self) -> Transport:
        return self

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...

    def get_write_buffer_size(self) -> int:
        return len(self.held)

    def is_closing(self) -> bool:
        return self.closing

    def write(self, data: bytes) -> None:
        if self.closing:
            return
        self.wrote(self, bytes(data))
        taken = self.takes(self, bytes(data))
        self.sent += data[:taken]
        self.got(data[:taken])
        if taken < len(data):
            self.held += data[taken:]
            self.protocol.pause_writing()

    def writelines(self, data: list[bytes]) -> None:
        self.write(b"".join(data))

    def write_eof(self) -> None: ...

    def setsockopt(self, *_: object) -> None: ...

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        if self.paused:
            self.paused = False
            self.loop.call_soon(self._read_on)

    def _read_on(self) -> None:
        while self.waiting and not self.paused:
            self._give(self.waiting.pop(0))
        if self.ended is not None and not self.paused and not self.waiting:
            ended, self.ended = self.ended, None
            self.end(ended)

    def drain(self) -> None:
        """The kernel takes the rest."""
        held, self.held = bytes(self.held), bytearray()
        self.sent += held
        self.got(held)
        if self.flushing:
            self.flushing = False
            self.loop.call_soon(self._lose, None)
        else:
            self.protocol.resume_writing()

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.held.clear()
            self.loop.call_soon(self._lose, None)
        elif self.flushing:
            self.flushing = False
            self.held.clear()
            self.loop.call_soon(self._lose, None)

    def close(self) -> None:
        """What is held goes out first."""
        if self.closing:
            return
        if self.held:
            self.closing = self.flushing = True
        else:
            self.abort()

    def _lose(self, error: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.protocol.connection_lost(error)

    # -- what the peer does

    def feed(self, data: bytes) -> None:
        if self.ended is not None:
            return  # nothing comes behind the end
        if self.paused or self.waiting:
            self.waiting.append(data)
        else:
            self._give(data)

    def _give(self, data: bytes) -> None:
        if not self.closing:
            try:
                self.protocol.data_received(data)
            except Exception as error:
                self.loop.errors.append(f"data_received: {error!r}")
                self.abort()

    def end(self, reset: bool) -> None:
        if self.closing:
            if self.flushing:
                self.abort()
            return
        if self.paused or self.waiting:
            self.ended = bool(self.ended or reset)
            return
        if not reset:
            self.protocol.eof_received()
            if self.held and not self.closing:
                self.closing = self.flushing = True  # a loop closes at an end, and what is held goes out first
                return
        self.closing = True
        self.held.clear()
        self._lose(ConnectionResetError() if reset else None)


class InOrder(MutableSet[T]):
    """Stands for a set whose members are known by their addresses: its order would differ from run to run."""

    def __init__(self, members: Iterable[T] = ()) -> None:
        self._members = dict.fromkeys(members)

    def __contains__(self, member: object) -> bool:
        return member in self._members

    def __iter__(self) -> Iterator[T]:
        return iter(self._members)

    def __len__(self) -> int:
        return len(self._members)

    def add(self, value: T) -> None:
        self._members[value] = None

    def discard(self, value: T) -> None:
        self._members.pop(value, None)


class Poller:
    """Stands for `select.poll`: sees what has arrived on the one transport it was given."""

    def __init__(self) -> None:
        self._transport: Transport | None = None

    def register(self, transport: Transport, _: int) -> None:
        self._transport = transport

    def poll(self, _: int) -> list[tuple[int, int]]:
        if not self._transport or not (self._transport.unread or self._transport.closing):
            return []
        return [
            (
                0,
                Select.POLLIN
                | (Select.POLLHUP if self._transport.closing else 0)
                | (Select.POLLRDHUP if self._transport.ended is not None else 0),
            )
        ]


class Listening:
    """Stands for a listening socket, at which nobody knocks: the explorer hands its clients in."""

    def setblocking(self, flag: bool) -> None: ...

    def close(self) -> None: ...

    def accept(self) -> Any:
        raise BlockingIOError


class Sockets:
    """Stands for the module `socket` in the listener."""

    AF_INET, AF_INET6, SOL_SOCKET, SO_LINGER = 2, 10, 1, 13
    socket = Listening

    @staticmethod
    def create_server(where: tuple[str, int], **_: Any) -> Listening:
        return Listening()


class Select:
    """Stands for the module `select`."""

    POLLIN, POLLERR, POLLHUP, POLLRDHUP = 1, 8, 16, 0x2000
    poll = Poller
