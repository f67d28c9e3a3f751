"""Runs the membership machine on a UDP socket and the running event loop; makes no decisions.

`MembershipEndpoint` owns the socket, the machine, its timer and the counters of the socket.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable

from ..base.clock import Clock
from ..base.log import log_event
from ..config.membership import Membership
from .interface import (
    Action,
    Broadcast,
    BroadcastReceived,
    DatagramReceived,
    DirectMessage,
    Event,
    KeysChanged,
    Leave,
    LogEvent,
    MemberChanged,
    MemberState,
    PeersChanged,
    SendDatagram,
    SendDirect,
    Tick,
)
from .machine import MembershipMachine
from .member_views import MemberView
from .wire import MAX_DATAGRAM_BYTES

MAX_READS_PER_TURN = 64  # datagrams read in one turn of the event loop, so that requests are served in between
BIND_RETRY_S = 0.05
MIN_TICK_S = 0.001
MAX_TICK_S = 3600.0
WALL_MS_SHIFT = 16  # an incarnation starts at the wall clock in ms, times 2 to this power

Listener = Callable[[MemberChanged | BroadcastReceived | DirectMessage], None]


class MembershipEndpoint:
    """This process as a member, from `open` until `close`.

    Other modules send with `broadcast` and `send_direct`; each of `listeners` is called with every change of a
    member and every message that arrives.
    """

    def __init__(self, settings: Membership, clock: Clock) -> None:
        self.settings = settings
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self.listeners: list[Listener] = []
        self._socket: socket.socket | None = None
        self._tick_timer: asyncio.TimerHandle | None = None
        self._bind_timer: asyncio.TimerHandle | None = None
        self.unsent: Counter[str] = Counter()  # datagrams that the kernel refused, by error
        self.received = 0  # datagrams
        self._created_at_s = time.monotonic()
        self.machine = self._new_machine()

    def open(self, wait_for_address: bool = False) -> None:
        """Bind the socket and start to participate.

        Raises OSError if the address can't be bound; with `wait_for_address`, binding is retried until it succeeds.
        """
        host, port = self.settings.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        new_socket = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            new_socket.bind((host, port))
        except OSError:
            new_socket.close()
            if not wait_for_address:
                raise
            self._bind_timer = self._loop.call_later(BIND_RETRY_S, self.open, True)
            return
        self._bind_timer = None
        self._socket = new_socket
        self._loop.add_reader(new_socket, self._on_readable)
        self.handle(Tick())

    # -- for other modules

    def broadcast(self, kind: int, data: bytes) -> None:
        """Send a message to all members, best effort.  Raises ValueError for over `wire.MAX_BROADCAST_BYTES`."""
        self.handle(Broadcast(kind, data))

    def send_direct(self, name: str, kind: int, data: bytes) -> None:
        """Send a message to one member, best effort.  Raises ValueError for over `wire.MAX_DIRECT_BYTES`."""
        self.handle(SendDirect(name, kind, data))

    def reload(self, settings: Membership) -> None:
        """Apply changed keys and peers; changes of all other settings need a restart."""
        if settings.keys != self.settings.keys:
            self.handle(KeysChanged(settings.keys))
        if settings.peers != self.settings.peers:
            self.handle(PeersChanged(settings.peers))
        applied = self.settings._replace(keys=settings.keys, peers=settings.peers)
        if applied != settings:
            log_event("membership", "changes of other settings than keys and peers apply at the next start")
        self.settings = applied

    def leave(self) -> None:
        """Announce that this process shuts down."""
        if self._socket:
            self.handle(Leave())

    def pause(self) -> None:
        """Release the address to a successor, without an announcement."""
        self._close_socket()

    def resume(self) -> None:
        """Bind the address again, as a new instance of this name: the successor may have sent datagrams meanwhile."""
        if not self._socket and not self._bind_timer:
            self.machine = self._new_machine()
            self.open(wait_for_address=True)

    def close(self) -> None:
        """Stop participating, without an announcement."""
        self._close_socket()
        self.listeners.clear()

    def handle(self, event: Event) -> None:
        """Pass one event to the machine, perform its actions and schedule its next tick."""
        if self._socket:
            self._perform(self.machine.handle(self._clock.now_ms(), event))
            self._schedule_tick()

    # -- socket, timer and actions

    def _new_machine(self) -> MembershipMachine:
        instance, seed = struct.unpack(">IQ", os.urandom(12))
        incarnation = int(time.time() * 1000) << WALL_MS_SHIFT
        return MembershipMachine(self.settings, incarnation, instance or 1, seed, self._clock.now_ms())

    def _close_socket(self) -> None:
        old_socket = self._socket
        self._socket = None
        if old_socket:
            self._loop.remove_reader(old_socket)
            old_socket.close()
        for timer in (self._tick_timer, self._bind_timer):
            if timer:
                timer.cancel()
        self._tick_timer = None
        self._bind_timer = None

    def _schedule_tick(self) -> None:
        if self._tick_timer:
            self._tick_timer.cancel()
            self._tick_timer = None
        if self._socket:
            wait_s = (self.machine.due_ms - self._clock.now_ms()) / 1000
            wait_s = min(MAX_TICK_S, max(MIN_TICK_S, wait_s))
            self._tick_timer = self._loop.call_later(wait_s, self.handle, Tick())

    def _on_readable(self) -> None:
        for _ in range(MAX_READS_PER_TURN):
            if not self._socket:
                return
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # the pending ICMP error of an earlier datagram, see udp(7)
                continue
            self.received += 1
            event = DatagramReceived((source[0], source[1]), data)
            self._perform(self.machine.handle(self._clock.now_ms(), event))
        self._schedule_tick()

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendDatagram():
                    self._send(action)
                case LogEvent():
                    log_event(action.event, action.details)
                case MemberChanged():
                    _log_change(action)
                    self._notify(action)
                case BroadcastReceived() | DirectMessage():
                    self._notify(action)

    def _notify(self, event: MemberChanged | BroadcastReceived | DirectMessage) -> None:
        for listener in self.listeners:
            listener(event)

    def _send(self, action: SendDatagram) -> None:
        if not self._socket:
            return
        try:
            self._socket.sendto(action.data, action.destination)
        except OSError as error:  # a full buffer or no route: the datagram is lost, as on any link
            self.unsent[type(error).__name__] += 1

    # -- for operators

    def report(self) -> dict[str, object]:
        """Return what `gateusher members` shows, ready for JSON; times are seconds."""
        machine = self.machine
        running_s = max(0.001, time.monotonic() - self._created_at_s)
        own_view, *other_views = machine.views()
        own_state = "displaced" if machine.displaced else _state_name(own_view)
        members = [_member_report(own_view, own_state)]
        members += [_member_report(view, _state_name(view)) for view in other_views]
        return {
            "name": self.settings.name,
            "listening": self._socket is not None,
            "displaced": machine.displaced,
            "health": machine.health_penalty,
            "there": machine.up_count + 1,
            "members": members,
            "sent": {**machine.sent},
            "received": self.received,
            "unsent": {**self.unsent},
            "bytes_per_s": round(machine.sent["bytes"] / running_s, 1),
            "datagrams_per_s": round(machine.sent["datagrams"] / running_s, 2),
            "drops": {**machine.dropped},
            "bound_bytes_per_s": self.settings.bytes_per_s,
        }


def _state_name(view: MemberView) -> str:
    return view.state.name.lower()


def _member_report(view: MemberView, state: str) -> dict[str, object]:
    return {
        "name": view.name,
        "state": state,
        "address": "{}:{}".format(*view.address) if view.address else None,
        "incarnation": view.incarnation,
        "since_s": round(view.state_age_ms / 1000, 3),
        "heard_s": None if view.heard_age_ms is None else round(view.heard_age_ms / 1000, 3),
        "suspected_by": list(view.suspected_by),
        "health": view.health_penalty,
        "proven": view.verified,
    }


def _log_change(change: MemberChanged) -> None:
    if change.new_state is MemberState.FAILED:
        log_event("member failed", f"{change.name}, suspected first by {change.suspected_by}")
    elif change.new_state is not MemberState.ALIVE:
        return
    elif change.restarted:
        log_event("member restarted", change.name)
    elif change.old_state in (MemberState.FAILED, MemberState.LEFT):
        log_event("member back", change.name)
