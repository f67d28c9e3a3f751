"""A process's part in listener transfers: performs the actions of `machine`, over channels.

`ListenerTransfer` owns both channels, the one to the predecessor and the one to the successor, and the socket that
listens for a successor.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Protocol

from ..base.log import log_event
from .channel import Channel, Inheritance, SuccessorListener
from .machine import (
    Action,
    DeclineSuccessor,
    GrantListener,
    Predecessor,
    PredecessorEvent,
    RaiseQuota,
    ResumeAccepting,
    SetLimits,
    StopAccepting,
    Successor,
)
from .messages import (
    MAX_IDS_PER_MESSAGE,
    IdsTaken,
    JsonObject,
    ListenerGrant,
    ListenerRequest,
    QuotaRaised,
    SuccessorServes,
    parse_from_predecessor,
    parse_from_successor,
)


class TransferableListener(Protocol):
    """The part of the clients' listener that a transfer uses."""

    @property
    def listening_socket(self) -> socket.socket | None:
        """The listening socket; None once it is closed."""

    def hand_over(self) -> None:
        """Stop accepting, keep the socket, and end each connection with its next response."""

    def reclaim(self) -> None:
        """Accept again."""


class TransferableIds(Protocol):
    """The ids of requests that must not run at the other process too."""

    on_taken: Callable[[bytes], None] | None

    def digests(self) -> list[bytes]:
        """Return the digests of all such ids."""

    def add_digests(self, digests: Iterable[bytes], /) -> None:
        """Record the ids of the other process."""


class ListenerTransfer:
    """A process first as the successor of the previous one, then as the predecessor of the next."""

    def __init__(
        self,
        descriptors: int,
        memory_mb: float,
        listener: TransferableListener,
        set_limits: Callable[[int, float], None],
        used_descriptors: Callable[[], int],
        ids: TransferableIds,
    ) -> None:
        """`descriptors` and `memory_mb` are the total budget; `set_limits` applies a part of it to this process."""
        self._descriptors = descriptors
        self._memory_mb = memory_mb
        self._listener = listener
        self._set_limits = set_limits
        self._used_descriptors = used_descriptors
        self._ids = ids
        self._predecessor = Predecessor(descriptors, memory_mb)  # this process, towards its successor
        self._successor: Successor | None = None  # this process, towards its predecessor
        self._predecessor_channel: Channel | None = None
        self._successor_channel: Channel | None = None
        self._successor_listener: SuccessorListener | None = None

    # -- as a successor

    def inherit(self, inheritance: Inheritance) -> None:
        """Apply the limits that the predecessor lends, until it has ended."""
        self._successor = Successor(
            self._descriptors, self._memory_mb, inheritance.descriptors, inheritance.memory_mb
        )
        self._perform([self._successor.limits])
        self._predecessor_channel = Channel(
            inheritance.channel_socket, self._on_predecessor_message, self._on_predecessor_lost
        )
        self._ids.on_taken = self._announce_id

    def announce_serving(self) -> None:
        """Tell the predecessor, if there is one, that this process accepts clients."""
        if self._predecessor_channel:
            self._predecessor_channel.send(SuccessorServes())

    def _on_predecessor_message(self, message: JsonObject) -> None:
        match parse_from_predecessor(message):
            case QuotaRaised(descriptors) if self._successor:
                self._perform(self._successor.quota_raised(descriptors))
            case IdsTaken(digests):
                self._ids.add_digests(digests)

    def _on_predecessor_lost(self) -> None:
        self._predecessor_channel = None
        if self._successor:
            self._perform(self._successor.predecessor_lost())

    # -- as a predecessor

    def listen_for_successor(self, path: str) -> None:
        """Listen for the next process at `path`.  An error is logged: an upgrade is then a restart."""
        try:
            self._successor_listener = SuccessorListener(path, self._on_successor_connection)
        except OSError as error:
            log_event("handover", f"no successor can connect: {error}")

    def tick(self) -> None:
        """Lend unused descriptors; called at regular intervals."""
        if self._successor_channel:
            self._handle(PredecessorEvent.TICK)

    def begin_shutdown(self) -> None:
        """Record that this process shuts down: it accepts no successor, and does not take the listener back."""
        self._predecessor.is_shutting_down = True

    def _on_successor_connection(self, sock: socket.socket) -> None:
        if self._successor_channel or not self._listener.listening_socket:
            sock.close()
            return
        self._successor_channel = Channel(sock, self._on_successor_message, self._on_successor_lost)

    def _on_successor_message(self, message: JsonObject) -> None:
        match parse_from_successor(message):
            case ListenerRequest():
                self._handle(PredecessorEvent.LISTENER_REQUESTED)
            case SuccessorServes():
                self._handle(PredecessorEvent.SUCCESSOR_SERVES)
            case IdsTaken(digests):
                self._ids.add_digests(digests)

    def _on_successor_lost(self) -> None:
        self._successor_channel = None
        self._handle(PredecessorEvent.SUCCESSOR_LOST)

    # -- both roles

    def _announce_id(self, digest: bytes) -> None:
        """Tell the other process of an id that may run here from now on."""
        for channel in (self._successor_channel, self._predecessor_channel):
            if channel:
                channel.send(IdsTaken((digest,)))

    def _send_all_ids(self, channel: Channel) -> None:
        self._ids.on_taken = self._announce_id
        digests = self._ids.digests()
        for at in range(0, len(digests), MAX_IDS_PER_MESSAGE):
            channel.send(IdsTaken(tuple(digests[at : at + MAX_IDS_PER_MESSAGE])))

    def _handle(self, event: PredecessorEvent) -> None:
        self._perform(self._predecessor.handle(event, self._used_descriptors()))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SetLimits(descriptors, memory_mb):
                    self._set_limits(descriptors, memory_mb)
                case GrantListener(descriptors, memory_mb):
                    listening_socket = self._listener.listening_socket
                    if self._successor_channel and listening_socket:
                        self._successor_channel.send(ListenerGrant(descriptors, memory_mb), listening_socket)
                        self._send_all_ids(self._successor_channel)
                case RaiseQuota(descriptors):
                    if self._successor_channel:
                        self._successor_channel.send(QuotaRaised(descriptors))
                case StopAccepting():
                    log_event("handover", "a successor serves")
                    self._listener.hand_over()
                case ResumeAccepting():
                    log_event("handover", "the successor is gone: serving again")
                    self._listener.reclaim()
                case DeclineSuccessor():
                    if self._successor_channel:
                        self._successor_channel.close()
                        self._successor_channel = None

    def close(self) -> None:
        """Close all channels; the other processes treat that as the end of this one."""
        for channel in (self._successor_listener, self._successor_channel, self._predecessor_channel):
            if channel:
                channel.close()
        self._successor_listener = None
        self._successor_channel = None
        self._predecessor_channel = None
