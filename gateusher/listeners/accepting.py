"""Accepts clients from the listening socket: backpressure at the limits, pauses after errors, shedding.

`Acceptor` owns the listening socket and the state of its accept queue: since when it has been backed up, and when it
was last empty.  The accepted connections belong to its owner.
"""

from __future__ import annotations

import asyncio
import socket
from math import inf
from typing import Protocol

from ..base.limits import DescriptorBudget, MemoryBudget
from ..base.log import log_event
from .client_connection import ClientConnection
from .close_reason import CloseReason
from .sockets import AcceptFailure, accept_failure

ACCEPT_BACKLOG = 1024  # connections, listen(2)
# Accepted connections inherit both (socket(7); the kernel doubles them).  They bound a single read, and what is taken
# from an endpoint for a client that reads slowly.
RECEIVE_BUFFER_BYTES = 32768
SEND_BUFFER_BYTES = 131072
MIN_ACCEPT_PAUSE_S = 0.005  # the first pause after a transient error; each further one is twice as long
MAX_ACCEPT_PAUSE_S = 0.05
MAX_ACCEPT_FAILURES = 16  # of single connections in a row, before accepting pauses
CLOSED_AT_ONCE = 16  # connections, in favor of those in the queue
SHED_AFTER_S = 0.1  # how long the accept queue may be backed up before silent connections in it are closed


class AcceptedConnections(Protocol):
    """The owner of the accepted connections."""

    @property
    def connection_count(self) -> int:
        """How many connections are open."""

    def add_connection(self, sock: socket.socket) -> None:
        """Serve an accepted connection, whose descriptor is already counted."""

    def reclaim_connections(self, count: int) -> bool:
        """Close up to `count` connections to free their descriptors; False if none can be closed."""

    def shed_slowest_connections(self, count: int) -> bool:
        """Close up to `count` connections with the slowest clients; False if none is slow."""

    def silent_connections(self) -> list[ClientConnection]:
        """The connections that have never sent anything, the latest first."""


def create_listening_socket(address: tuple[str, int], shared: bool) -> socket.socket:
    """A non-blocking listening socket.  Raises OSError.

    `shared` lets another process listen at the same address (SO_REUSEPORT, socket(7)).
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.create_server(address, backlog=ACCEPT_BACKLOG, family=family, reuse_port=shared)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    sock.setblocking(False)
    return sock


def _has_unread_data(sock: socket.socket) -> bool:
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


class Acceptor:
    """Accepts from `sock` while it is started, as far as descriptors allow."""

    def __init__(
        self,
        sock: socket.socket,
        owner: AcceptedConnections,
        descriptors: DescriptorBudget,
        memory: MemoryBudget,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = sock
        self._owner = owner
        self._descriptors = descriptors
        self._memory = memory
        self.is_accepting = False
        self._is_paused = False
        self._pause_s = MIN_ACCEPT_PAUSE_S  # the next pause
        # Since when the accept queue has been backed up, because descriptors are in use; `inf` if it is not.
        self._backed_up_since_s = inf
        self.queue_empty_at_s = self._loop.time()  # when it was last known to be empty

    @property
    def listening_socket(self) -> socket.socket | None:
        """The listening socket; None once it is closed."""
        return self._socket

    @property
    def port(self) -> int:
        """The port that it listens on; 0 once it is closed."""
        return int(self._socket.getsockname()[1]) if self._socket else 0

    @property
    def is_late(self) -> bool:
        """Whether connections accepted now may have waited in the accept queue."""
        return self._backed_up_since_s < inf

    def start(self) -> None:
        """Start accepting, unless the socket is closed."""
        if self._socket and not self.is_accepting:
            self.is_accepting = True
            self._loop.add_reader(self._socket, self.accept_pending)

    def stop(self) -> None:
        """Stop accepting, and keep the socket open."""
        if self._socket and self.is_accepting:
            self.is_accepting = False
            self._loop.remove_reader(self._socket)

    def close(self) -> None:
        """Stop accepting, and close the socket."""
        self.stop()
        if self._socket:
            self._socket.close()
            self._socket = None

    def accept_pending(self) -> bool:
        """Accept all pending connections, as far as the limits allow.  Returns whether the accept queue is empty."""
        failures = 0
        while self._socket and self.is_accepting:
            if not self._acquire_descriptor():
                return False
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                self._descriptors.release()
                failure = accept_failure(error)
                if failure is AcceptFailure.EMPTY:
                    self._note_queue_empty()
                    return True
                failures += 1
                if failure is AcceptFailure.NEXT and failures < MAX_ACCEPT_FAILURES:
                    continue
                # Level-triggered polling would call again at once.
                self._note_queue_backed_up()
                if failure is AcceptFailure.PAUSE:
                    self._descriptors.reclaim()
                self._pause(error)
                return False
            self._owner.add_connection(sock)
        return False

    def _acquire_descriptor(self) -> bool:
        """Acquire a descriptor for one more connection.  If none is free, reclaim one or pause, and return False.

        A reclaimed descriptor is free only once its connection is closed, some turns of the loop later.  Nothing is
        accepted until then, or connections would be accepted faster than others are closed.
        """
        has_memory = self._memory.allows_connection
        if (
            has_memory
            and self._owner.connection_count < self._descriptors.client_limit
            and self._descriptors.acquire()
        ):
            return True
        self._note_queue_backed_up()
        count = CLOSED_AT_ONCE if self._is_backed_up_for_long else 1
        if not self._owner.reclaim_connections(count) and not self._shed_slowest() and not self._shed_silent():
            self._pause("all descriptors are in use" if has_memory else "close to the memory limit")
        return False

    @property
    def _is_backed_up_for_long(self) -> bool:
        return self._loop.time() - self._backed_up_since_s > SHED_AFTER_S

    def _note_queue_empty(self) -> None:
        self._backed_up_since_s = inf
        self.queue_empty_at_s = self._loop.time()
        self._pause_s = MIN_ACCEPT_PAUSE_S

    def _note_queue_backed_up(self) -> None:
        self._backed_up_since_s = min(self._backed_up_since_s, self._loop.time())

    def _shed_silent(self) -> bool:
        """Shed load at accept: close the pending connections that have sent nothing.

        One that has sent something replaces an accepted connection that never has.  Without this, many clients that
        connect and stay silent would delay every request by `NEW_CONNECTION_GRACE_S` for each of them.

        Limitation: it closes clients that send only some time after connecting, so it acts only after `SHED_AFTER_S`
        and if silent connections hold descriptors.  Pending connections use one of the spare descriptors in turn.
        """
        if not self._is_backed_up_for_long or not self._socket:
            return False
        silent = self._owner.silent_connections()
        if not silent:
            return False
        for _ in range(ACCEPT_BACKLOG):
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                failure = accept_failure(error)
                if failure is AcceptFailure.NEXT:
                    continue
                if failure is AcceptFailure.PAUSE:
                    return False
                self._note_queue_empty()
                break
            if _has_unread_data(sock) and self._descriptors.acquire():
                silent.pop().close(CloseReason.RECLAIMED)
                self._owner.add_connection(sock)
            else:
                sock.close()
            if not silent:
                break  # what is left in the queue may have sent something, and waits for a descriptor
        return True

    def _shed_slowest(self) -> bool:
        """Close the slowest connections if the accept queue has been backed up for long; return whether it did."""
        return self._is_backed_up_for_long and self._owner.shed_slowest_connections(CLOSED_AT_ONCE)

    def _pause(self, reason: object) -> None:
        """Stop accepting for a backoff, which grows with each pause until the queue has been empty."""
        if self._socket and self.is_accepting and not self._is_paused:
            log_event("accepting pauses", reason)
            self._is_paused = True
            self._loop.remove_reader(self._socket)
            self._loop.call_later(self._pause_s, self._resume)
            self._pause_s = min(MAX_ACCEPT_PAUSE_S, 2 * self._pause_s)

    def _resume(self) -> None:
        self._is_paused = False
        if self._socket and self.is_accepting:
            self._loop.add_reader(self._socket, self.accept_pending)
