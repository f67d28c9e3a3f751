"""The machine of members on a real socket and a running loop: translates and decides nothing."""

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
from .wire import MAX_DATAGRAM_BYTES

AT_A_TIME = 64  # datagrams read in one turn of the loop: requests come between
BIND_STEP_S = 0.05  # between two tries to get the address from the process before
LONGEST_S = 3600.0

Listener = Callable[[MemberChanged | BroadcastReceived | DirectMessage], None]


class Endpoint:
    """One sidecar's part among the members, from `open` until `close`.  Raises OSError where it can't listen.

    This is the port through which other pieces speak and hear: `say` spreads a few bytes, `listeners` are called with
    each change of a member and each word of another's.
    """

    def __init__(self, settings: Membership, clock: Clock) -> None:
        self.settings, self._clock = settings, clock
        self._loop = asyncio.get_running_loop()
        self.listeners: list[Listener] = []
        self._sock: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._opening: asyncio.TimerHandle | None = None
        self.unsent: Counter[str] = Counter()  # datagrams that the kernel didn't take
        self.received = 0
        self._since = time.monotonic()
        self.machine = self._begin()

    def _begin(self) -> MembershipMachine:
        instance, seed = struct.unpack(">IQ", os.urandom(12))
        return MembershipMachine(
            self.settings, int(time.time() * 1000) << 16, instance or 1, seed, self._clock.now_ms()
        )

    def open(self, patient: bool = False) -> None:
        """Listen and begin; with `patient` try until whoever has the address lets it go."""
        host, port = self.settings.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            sock.bind((host, port))
        except OSError:
            sock.close()
            if not patient:
                raise
            self._opening = self._loop.call_later(BIND_STEP_S, self.open, True)
            return
        self._opening = None
        self._sock = sock
        self._loop.add_reader(sock, self._readable)
        self.give(Tick())

    # -- the port

    def say(self, kind: int, data: bytes) -> None:
        """Spread a word of at most 64 bytes to all members, best effort.  Raises ValueError for a longer one."""
        self.give(Broadcast(kind, data))

    def tell(self, name: str, kind: int, data: bytes) -> None:
        """Send a note of at most 254 bytes to one member, best effort.  Raises ValueError for a longer one."""
        self.give(SendDirect(name, kind, data))

    def follow(self, settings: Membership) -> None:
        """Take up other keys and peers; name, address and times hold from the start on."""
        if settings.keys != self.settings.keys:
            self.give(KeysChanged(settings.keys))
        if settings.peers != self.settings.peers:
            self.give(PeersChanged(settings.peers))
        fixed = self.settings._replace(keys=settings.keys, peers=settings.peers)
        if fixed != settings:
            log_event("membership", "other settings than keys and peers are taken up at the next start")
        self.settings = fixed

    def leave(self) -> None:
        """Say that this process ends as planned."""
        if self._sock:
            self.give(Leave())

    def pause(self) -> None:
        """Let the address go, without a word: a successor takes it."""
        self._shut()

    def resume(self) -> None:
        """Take the address back, as another life of the same name: a successor may have spoken meanwhile."""
        if not self._sock and not self._opening:
            self.machine = self._begin()
            self.open(patient=True)

    def close(self) -> None:
        self._shut()
        self.listeners.clear()

    def _shut(self) -> None:
        sock, self._sock = self._sock, None
        if sock:
            self._loop.remove_reader(sock)
            sock.close()
        for timer in (self._timer, self._opening):
            if timer:
                timer.cancel()
        self._timer = self._opening = None

    # -- in and out

    def give(self, event: Event) -> None:
        """One event, its actions, and the next call."""
        if self._sock:
            self._perform(self.machine.handle(self._clock.now_ms(), event))
            self._arm()

    def _arm(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._sock:
            wait = (self.machine.due - self._clock.now_ms()) / 1000
            self._timer = self._loop.call_later(min(LONGEST_S, max(0.001, wait)), self.give, Tick())

    def _readable(self) -> None:
        for _ in range(AT_A_TIME):
            if not self._sock:
                return
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # what an earlier datagram of ours met; it was lost, and that is all
                continue
            self.received += 1
            self._perform(self.machine.handle(self._clock.now_ms(), DatagramReceived((source[0], source[1]), data)))
        self._arm()

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if type(action) is SendDatagram:
                self._send(action)
            elif type(action) is LogEvent:
                log_event(action.what, action.why)
            elif isinstance(action, MemberChanged | BroadcastReceived | DirectMessage):
                if type(action) is MemberChanged:
                    self._log(action)
                for listener in self.listeners:
                    listener(action)

    def _send(self, action: SendDatagram) -> None:
        if self._sock:
            try:
                self._sock.sendto(action.data, action.destination)
            except OSError as error:  # a full buffer, no route: the datagram is lost, as on any link
                self.unsent[type(error).__name__] += 1

    def _log(self, change: MemberChanged) -> None:
        if change.after is MemberState.FAILED:
            log_event("member failed", f"{change.name}, suspected first by {change.suspected_by}")
        elif change.restarted and change.after is MemberState.ALIVE:
            log_event("member restarted", change.name)
        elif change.after is MemberState.ALIVE and change.before in (MemberState.FAILED, MemberState.LEFT):
            log_event("member back", change.name)

    # -- for operators

    def report(self) -> dict[str, object]:
        """All that `gateusher members` shows, as JSON can hold it; times are seconds."""
        machine = self.machine
        up_s = max(0.001, time.monotonic() - self._since)
        members = [
            {
                "name": v.name,
                "state": "displaced" if i == 0 and machine.displaced else v.state.name.lower(),
                "address": "{}:{}".format(*v.address) if v.address else None,
                "incarnation": v.incarnation,
                "since_s": round(v.state_age_ms / 1000, 3),
                "heard_s": None if v.heard_age_ms is None else round(v.heard_age_ms / 1000, 3),
                "suspected_by": list(v.suspected_by),
                "health": v.health_score,
                "proven": v.verified,
            }
            for i, v in enumerate(machine.views())
        ]
        return {
            "name": self.settings.name,
            "listening": self._sock is not None,
            "displaced": machine.displaced,
            "health": machine.health_score,
            "there": machine.up_count + 1,
            "members": members,
            "sent": {**machine.sent},
            "received": self.received,
            "unsent": {**self.unsent},
            "bytes_per_s": round(machine.sent["bytes"] / up_s, 1),
            "datagrams_per_s": round(machine.sent["datagrams"] / up_s, 2),
            "drops": {**machine.dropped},
            "bound_bytes_per_s": self.settings.bytes_per_s,
        }
