"""Queue of updates that are piggybacked on datagrams, a limited number of times each (SWIM, 4.1)."""

from __future__ import annotations

from collections.abc import Hashable
from math import ceil, log10
from typing import NamedTuple

MAX_QUEUED = 16384  # when it is full, the update that was sent most often is dropped
MIN_FRAME_BYTES = 16  # no queued frame is shorter, so a search ends when less space is left


class _SelectedFrame(NamedTuple):
    """A frame that goes into a datagram, and how often it was sent before."""

    key: Hashable
    frame: bytes
    times_sent: int


class GossipQueue:
    """Frames by key, those sent least often first; a frame replaces an older one with its key.

    Frames are grouped by how often each was sent: after a partition has healed the queue holds updates for half the
    fleet, too many to sort for each datagram.
    """

    def __init__(self, retransmit_factor: int) -> None:
        self._retransmit_factor = retransmit_factor
        self._by_times_sent: list[dict[Hashable, bytes]] = [{}]
        self._times_sent: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._times_sent)

    def transmit_limit(self, member_count: int) -> int:
        """Return how often each frame is sent: `retransmit_factor` times the logarithm of the fleet's size."""
        return self._retransmit_factor * max(1, ceil(log10(member_count + 1)))

    def put(self, key: Hashable, frame: bytes) -> None:
        """Queue a frame in place of an older one with this key."""
        self.discard(key)
        if len(self._times_sent) >= MAX_QUEUED:
            most_sent = next(group for group in reversed(self._by_times_sent) if group)
            self.discard(next(iter(most_sent)))
        self._by_times_sent[0][key] = frame
        self._times_sent[key] = 0

    def discard(self, key: Hashable) -> None:
        """Remove the frame with this key, if there is one."""
        times_sent = self._times_sent.pop(key, None)
        if times_sent is not None:
            del self._by_times_sent[times_sent][key]

    def take(self, max_bytes: int, member_count: int, skip: Hashable = None) -> bytes:
        """Return frames of `max_bytes` at most, and count each as sent once more.

        `skip` is the key of the receiver's own state, which it knows already.
        """
        selected = self._select(max_bytes, skip)
        limit = self.transmit_limit(member_count)
        for key, frame, times_sent in selected:
            del self._by_times_sent[times_sent][key]
            if times_sent + 1 >= limit:
                del self._times_sent[key]
                continue
            while len(self._by_times_sent) <= times_sent + 1:
                self._by_times_sent.append({})
            self._by_times_sent[times_sent + 1][key] = frame
            self._times_sent[key] = times_sent + 1
        return b"".join(choice.frame for choice in selected)

    def _select(self, max_bytes: int, skip: Hashable) -> list[_SelectedFrame]:
        selected: list[_SelectedFrame] = []
        size = 0
        for times_sent, group in enumerate(self._by_times_sent):
            if size + MIN_FRAME_BYTES > max_bytes:
                break
            for key, frame in group.items():
                if key != skip and size + len(frame) <= max_bytes:
                    selected.append(_SelectedFrame(key, frame, times_sent))
                    size += len(frame)
                elif size + MIN_FRAME_BYTES > max_bytes:
                    break
        return selected
