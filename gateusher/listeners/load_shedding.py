"""Which connections are closed first when the process is about to reach its memory limit.

Those that have held the most memory for the longest go first: clients that send or read slowly.  Clients whose
requests are small and soon answered hold little, and only for a moment.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Final, Generic, NamedTuple, Protocol, TypeVar

from ..base.limits import CONNECTION_BYTES

MAX_SHED_SHARE: Final = (
    0.25  # of the slow connections, at once: freed memory shows in a measurement only after a while
)

MIN_SLOW_S: Final = 0.5  # before a client counts as slow where new connections wait


class SheddableConnection(Protocol):
    """A connection, as far as shedding needs it."""

    @property
    def held_bytes(self) -> int:
        """The memory that its messages take."""

    @property
    def sending_since_s(self) -> float | None:
        """Since when its client owes the rest of a request; None if it doesn't."""

    @property
    def slow_since_s(self) -> float | None:
        """Since when its client owes the rest of a request or has not read a response; None if neither."""


ConnectionT = TypeVar("ConnectionT", bound=SheddableConnection)


def largest_slow_connections(
    connections: Iterable[ConnectionT], needed_bytes: int, now_s: float
) -> list[ConnectionT]:
    """Return slow connections that hold about `needed_bytes` together."""
    slow = [
        _SlowConnection(connection, now_s - since_s)
        for connection in connections
        if (since_s := connection.slow_since_s) is not None
    ]
    chosen = list[ConnectionT]()
    for connection in _by_byte_seconds(slow, int(len(slow) * MAX_SHED_SHARE)):
        if needed_bytes <= 0:
            break
        needed_bytes -= _bytes_of(connection)
        chosen.append(connection)
    return chosen


def slowest_connections(connections: Iterable[ConnectionT], count: int, now_s: float) -> list[ConnectionT]:
    """Return up to `count` connections whose clients have owed the rest of a request for MIN_SLOW_S or more."""
    slow = [
        _SlowConnection(connection, now_s - since_s)
        for connection in connections
        if (since_s := connection.sending_since_s) is not None and now_s - since_s >= MIN_SLOW_S
    ]
    return _by_byte_seconds(slow, count)


class _SlowConnection(NamedTuple, Generic[ConnectionT]):
    connection: ConnectionT
    slow_s: float


def _by_byte_seconds(slow: list[_SlowConnection[ConnectionT]], count: int) -> list[ConnectionT]:
    """Return the `count` connections with the most memory times its age."""
    largest = heapq.nlargest(count, slow, key=lambda entry: _bytes_of(entry.connection) * entry.slow_s)
    return [entry.connection for entry in largest]


def _bytes_of(connection: SheddableConnection) -> int:
    return connection.held_bytes + CONNECTION_BYTES
