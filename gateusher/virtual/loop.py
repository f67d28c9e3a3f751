"""An event loop in virtual time: time moves only when the caller fires a timer, and sockets are byte buffers.

`VirtualLoop` owns the clock, the ready queue, the timers and the connections being dialled.  `Transport` owns the
bytes of one connection: what the peer has, what the kernel has not taken, what arrived and is unread.  The classes at
the end stand in for `socket` and `select` in code under test.  Times are in seconds.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterable, Iterator, MutableSet
from contextvars import Context
from typing import Any, TypeVar

T = TypeVar("T")

MAX_CALLBACKS_PER_SETTLE = 10_000


# Any to the type checker: few of the abstract methods are implemented.
_Loop: Any = asyncio.AbstractEventLoop


class VirtualLoop(_Loop):  # type: ignore[misc]
    """The part of `asyncio.AbstractEventLoop` that the program uses; other methods raise NotImplementedError."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.ready: deque[asyncio.Handle] = deque()
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self.errors: list[str] = []  # exceptions that a callback did not handle
        self.dials: list[Dial] = []
        self._timer_numbers = itertools.count()

    # -- called by the program

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def call_soon(
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Append the callback to the ready queue."""
        handle = asyncio.Handle(callback, args, self, context)
        self.ready.append(handle)
        return handle

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Start a timer of `delay` seconds."""
        return self.call_at(self.now + max(0.0, delay), callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Start a timer that is due at `when`; timers of one instant fire in the order they were started."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        heapq.heappush(self.timers, (when, next(self._timer_numbers), handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        self.timers = [entry for entry in self.timers if entry[2] is not handle]
        heapq.heapify(self.timers)

    def create_future(self) -> asyncio.Future[Any]:
        """Return a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Context | None = None) -> asyncio.Task[Any]:
        """Start a task on this loop; `context` is ignored."""
        return asyncio.Task(coro, loop=self, name=name)

    def get_debug(self) -> bool:
        """Return False: asyncio's debug mode is off."""
        return False

    def is_running(self) -> bool:
        """Return True: callbacks may always be scheduled."""
        return True

    def is_closed(self) -> bool:
        """Return False: the loop is never closed."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an unhandled exception in `errors`."""
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def add_reader(self, fd: Any, callback: Callable[..., object], *args: Any) -> None:
        """Do nothing: no descriptor becomes readable on this loop."""

    def remove_reader(self, fd: Any) -> bool:
        """Return True: see `add_reader`."""
        return True

    async def create_connection(
        self, factory: Callable[[], Any], host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Wait in `dials` until the caller establishes or refuses the connection.

        Raises what the caller set as the exception of `Dial.established`.
        """
        dial = Dial(int(port), self.create_future())
        self.dials.append(dial)
        try:
            await dial.established
        finally:
            self.dials.remove(dial)
        protocol = factory()
        transport = dial.transport = Transport(self, protocol, dial.port)
        dial.on_transport(transport)
        protocol.connection_made(transport)
        return transport, protocol

    # -- called by whoever drives the loop

    def settle(self) -> None:
        """Run the ready queue, in order, until it is empty.

        Raises AssertionError when it does not become empty.
        """
        for _ in range(MAX_CALLBACKS_PER_SETTLE):
            if not self.ready:
                return
            handle = self.ready.popleft()
            if not handle.cancelled():
                handle._run()
        raise AssertionError("the loop never comes to rest")

    def fire(self) -> None:
        """Move time to the next timer and run that timer alone, even if others are due at the same instant."""
        when, _, handle = heapq.heappop(self.timers)
        self.now = max(self.now, when)
        handle._run()


class Dial:
    """A connection attempt; its driver resolves `established`, or sets an exception to refuse it."""

    def __init__(self, port: int, established: asyncio.Future[None]) -> None:
        self.port = port
        self.established = established
        self.transport: Transport | None = None
        self.on_transport: Callable[[Transport], None] = lambda transport: None


class Transport:
    """The program's end of a connection.

    The driver sets `accepted_bytes` (how many bytes of a write the kernel takes) and the `on_*` callbacks, and plays
    the peer with `feed` and `end`.
    """

    def __init__(self, loop: VirtualLoop, protocol: Any, port: int) -> None:
        self.loop = loop
        self.protocol = protocol
        self.port = port
        self.closing = False
        self.lost = False  # `connection_lost` was called
        self.flushing = False  # closing, once the kernel has taken `unsent`
        self.sent = bytearray()  # what the peer has received
        self.unsent = bytearray()  # what the kernel has not taken yet
        self.accepted_bytes: Callable[[Transport, bytes], int] = lambda transport, data: len(data)
        self.on_write: Callable[[Transport, bytes], None] = lambda transport, data: None
        self.on_peer_data: Callable[[bytes], None] = lambda data: None  # called with what the peer receives
        self.unread = b""  # arrived, and not read yet
        self.unsolicited = b""  # on its way to the program, belonging to no request
        self.unsolicited_by_s = 0.0  # when `unsolicited` arrives at the latest
        self.tainted = False  # input arrived that belongs to no request
        self.paused = False  # the program has paused reading
        self.paused_input: list[bytes] = []  # what arrived while paused
        self.paused_end: bool | None = None  # the connection ended while paused; True if by a reset

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the transport itself as its "socket"."""
        return self if name == "socket" else default

    def fileno(self) -> Transport:
        """Return the transport itself, which `Poller.register` takes for a descriptor."""
        return self

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: writing is paused whenever the kernel takes less than all of a write."""

    def get_write_buffer_size(self) -> int:
        """Return how many bytes the kernel has not taken."""
        return len(self.unsent)

    def is_closing(self) -> bool:
        """Return whether the transport is closed or closing."""
        return self.closing

    def write(self, data: bytes) -> None:
        """Write as much as the kernel takes, keep the rest and pause the protocol's writing."""
        if self.closing:
            return
        self.on_write(self, bytes(data))
        taken = self.accepted_bytes(self, bytes(data))
        self.sent += data[:taken]
        self.on_peer_data(data[:taken])
        if taken < len(data):
            self.unsent += data[taken:]
            self.protocol.pause_writing()

    def writelines(self, data: list[bytes]) -> None:
        """Write all parts as one."""
        self.write(b"".join(data))

    def write_eof(self) -> None:
        """Do nothing: the peers on this network do not look for the end of the input."""

    def setsockopt(self, *_: object) -> None:
        """Do nothing."""

    def pause_reading(self) -> None:
        """Keep what arrives until `resume_reading`."""
        self.paused = True

    def resume_reading(self) -> None:
        """Deliver what arrived while paused, in a later callback."""
        if self.paused:
            self.paused = False
            self.loop.call_soon(self._read_on)

    def _read_on(self) -> None:
        while self.paused_input and not self.paused:
            self._give(self.paused_input.pop(0))
        if self.paused_end is not None and not self.paused and not self.paused_input:
            by_reset = self.paused_end
            self.paused_end = None
            self.end(by_reset)

    def drain(self) -> None:
        """Let the kernel take what is unsent."""
        rest = bytes(self.unsent)
        self.unsent = bytearray()
        self.sent += rest
        self.on_peer_data(rest)
        if self.flushing:
            self.flushing = False
            self.loop.call_soon(self._lose, None)
        else:
            self.protocol.resume_writing()

    def abort(self) -> None:
        """Close without sending what is unsent."""
        if not self.closing:
            self.closing = True
            self.unsent.clear()
            self.loop.call_soon(self._lose, None)
        elif self.flushing:
            self.flushing = False
            self.unsent.clear()
            self.loop.call_soon(self._lose, None)

    def close(self) -> None:
        """Close after what is unsent has been sent."""
        if self.closing:
            return
        if self.unsent:
            self.closing = True
            self.flushing = True
        else:
            self.abort()

    def _lose(self, error: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.protocol.connection_lost(error)

    # -- the peer's side

    def feed(self, data: bytes) -> None:
        """Receive `data` from the peer."""
        if self.paused_end is not None:
            return  # nothing arrives after the end
        if self.paused or self.paused_input:
            self.paused_input.append(data)
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
        """Let the peer end the connection, by a reset or by closing its side (RFC 9293, section 3.6)."""
        if self.closing:
            if self.flushing:
                self.abort()
            return
        if self.paused or self.paused_input:
            self.paused_end = bool(self.paused_end or reset)
            return
        if not reset:
            self.protocol.eof_received()
            if self.unsent and not self.closing:
                # asyncio closes a transport at the end of its input, after what is unsent.
                self.closing = True
                self.flushing = True
                return
        self.closing = True
        self.unsent.clear()
        self._lose(ConnectionResetError() if reset else None)


class InOrder(MutableSet[T]):
    """A set in insertion order, so that iteration over objects is the same in every run."""

    def __init__(self, members: Iterable[T] = ()) -> None:
        self._members = dict.fromkeys(members)

    def __contains__(self, member: object) -> bool:
        return member in self._members

    def __iter__(self) -> Iterator[T]:
        return iter(self._members)

    def __len__(self) -> int:
        return len(self._members)

    def add(self, value: T) -> None:
        """Add a member at the end."""
        self._members[value] = None

    def discard(self, value: T) -> None:
        """Remove a member if it is there."""
        self._members.pop(value, None)


class Poller:
    """Stands in for `select.poll` (poll(2)) on one transport."""

    def __init__(self) -> None:
        self._transport: Transport | None = None

    def register(self, transport: Transport, _: int) -> None:
        """Poll this transport from now on."""
        self._transport = transport

    def poll(self, _: int) -> list[tuple[int, int]]:
        """Return one event if input is unread or the transport is closing, else none."""
        transport = self._transport
        if not transport or not (transport.unread or transport.closing):
            return []
        events = Select.POLLIN
        if transport.closing:
            events |= Select.POLLHUP
        if transport.paused_end is not None:
            events |= Select.POLLRDHUP
        return [(0, events)]


class Listening:
    """Stands in for a listening socket that never has a connection to accept."""

    def setblocking(self, flag: bool) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

    def accept(self) -> Any:
        """Raise BlockingIOError: no connection waits."""
        raise BlockingIOError


class Sockets:
    """Stands in for the module `socket` in the listener."""

    AF_INET = 2
    AF_INET6 = 10
    SOL_SOCKET = 1
    SO_LINGER = 13
    socket = Listening

    @staticmethod
    def create_server(address: tuple[str, int], **_: Any) -> Listening:
        """Return a listening socket."""
        return Listening()


class Select:
    """Stands in for the module `select`."""

    POLLIN = 1
    POLLERR = 8
    POLLHUP = 16
    POLLRDHUP = 0x2000
    poll = Poller
