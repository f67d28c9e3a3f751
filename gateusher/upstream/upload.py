"""Forwards a request body that is still arriving from its client to the attempt that carries it.

A body that is buffered completely can be sent again to another endpoint, but memory does not suffice to buffer many
bodies of, say, 32 MiB.  So a body is retained from its first byte on while it fits (MAX_REPLAY_BYTES), and until it
no longer does a failed attempt may be followed by another.  Beyond that, bytes are forwarded to the one attempt that
has received everything before them, and are discarded.  An endpoint begins to execute a request with its last byte
(PROTOCOL, Sidecars to endpoints), so an attempt that ends before that never ran, and the request may be rejected,
regardless of its class.

An `Upload` owns the bytes that it holds and their reservation of memory: those that are retained, and those that its
target's socket has not accepted yet.  It has one source and at most one target at a time.  It slows the source to the
target's speed only where nothing more may be held: the client's time begins with its last byte, which is seen only if
it is read.  A pause ends with its reason, with the body or with the upload, whichever is first: nobody else would end
it, and the source may have more to deliver than this body.  This module uses no sockets.
"""

from __future__ import annotations

from collections import deque
from typing import Final, Protocol

from ..base.limits import MemoryBudget

MAX_REPLAY_BYTES: Final = 1 << 20  # the part of a body that is retained for another attempt


class UploadSource(Protocol):
    """The client's side, which delivers the body."""

    def pause(self) -> None:
        """Stop delivering."""

    def resume(self) -> None:
        """Resume delivering."""


class UploadTarget(Protocol):
    """The endpoint's side: a connection that carries an attempt."""

    def write(self, data: bytes, /) -> None:
        """Send the next bytes.  If its socket doesn't accept all of them, it calls `Upload.pause`."""

    def finish(self) -> None:
        """End the body, which is complete; called once."""


class Upload:
    """A body that is still arriving from `source`.

    `first_part` has arrived already and is reserved in `memory`.  `total_bytes` is the length of the complete body,
    or -1 if unknown.  `timeout_ms` is the request's timeout from the body's last byte on.
    """

    def __init__(
        self,
        source: UploadSource,
        first_part: bytes,
        total_bytes: int,
        timeout_ms: float,
        memory: MemoryBudget,
    ) -> None:
        self.total_bytes, self.timeout_ms = total_bytes, timeout_ms
        self.is_complete = False  # its last byte has arrived
        self.is_discarded = False  # bytes were forwarded and not retained: it can't be sent again
        self._source = source
        self._memory = memory
        self._written: list[bytes] = []  # retained, and accepted by the target
        self._unwritten = deque([bytes(first_part)]) if first_part else deque[bytes]()
        self._held_bytes = len(first_part)  # reserved for both, and for what follows
        self._in_transit_bytes = 0  # discarded by this object, but still in the target's buffer
        self._target: UploadTarget | None = None
        self._target_is_full = False  # its socket accepts nothing more for now
        self._awaits_target = False  # nothing more may be retained without a target
        self._target_is_finished = False
        self._source_is_paused = False

    @property
    def held_bytes(self) -> int:
        """The bytes that it holds, reserved in the memory budget."""
        return self._held_bytes

    @property
    def has_unknown_length(self) -> bool:
        """Whether the length of the body is unknown."""
        return self.total_bytes < 0

    def on_request_submitted(self) -> None:
        """Pause the source of an accepted request if memory is scarce and there is no target yet."""
        if self._memory.is_scarce and self._target is None and not self.is_discarded:
            self._awaits_target = True
            self._update_source()

    def feed(self, data: bytes) -> bool:
        """Take the next bytes from the source.  Return False if they can't be held, which ends the upload."""
        if self.is_discarded and self._target and not self._target_is_full:
            return self._forward(data)
        if not self._memory.acquire(len(data)):
            return False
        self._held_bytes += len(data)
        self._unwritten.append(data)
        if self._target is None:
            self._awaits_target = not self._may_hold_more()
        self._write()
        self._update_source()
        return True

    def _forward(self, data: bytes) -> bool:
        """Write to a target that has all before; return False if it takes only a part, and the rest can't be held."""
        target = self._target
        assert target and not self._unwritten
        target.write(data)
        if self._target is not target or not self._target_is_full:
            return True
        if not self._memory.acquire(len(data)):
            return False
        self._held_bytes += len(data)
        self._in_transit_bytes += len(data)
        return True

    def finish(self) -> None:
        """End the body: the source has delivered the last byte, possibly in the read in which it was paused."""
        self.is_complete = True
        self._update_source()
        self._finish_target()

    def attach(self, target: UploadTarget) -> None:
        """Deliver to this target from the first byte on; not allowed beside another target or after a discard."""
        assert self._target is None and not self.is_discarded
        self._target = target
        self._target_is_finished = False
        self._awaits_target = False
        self._write()
        if self._target is target:  # its connection may have closed during the write
            self._finish_target()
            self._update_source()

    def detach(self) -> None:
        """Remove the target, as its attempt has ended.

        A paused source waits for the next target.  If there can be none, the remainder of the body is dropped, so
        that the client gets to reading the response.
        """
        self._target = None
        self._target_is_full = False
        if self.is_discarded:
            self._drop()
        else:
            self._unwritten.extendleft(reversed(self._written))
            self._written.clear()
            self._awaits_target = self._source_is_paused or not self._may_hold_more()
        self._update_source()

    def pause(self) -> None:
        """Handle a target whose socket is full."""
        self._target_is_full = True
        self._update_source()

    def resume(self) -> None:
        """Handle a target whose socket accepts more."""
        self._target_is_full = False
        self._release(self._in_transit_bytes)
        self._in_transit_bytes = 0
        self._write()
        self._finish_target()
        self._update_source()

    def release(self) -> None:
        """Free the bytes and let the source deliver what follows: the request is finished."""
        self._target = None
        self._target_is_full = False
        self._awaits_target = False
        self.is_discarded = True
        self._drop()
        self._update_source()

    def _may_hold_more(self) -> bool:
        return self._held_bytes < MAX_REPLAY_BYTES and not self._memory.is_scarce

    def _write(self) -> None:
        """Write to the target as much as its socket accepts, and discard what may no longer be retained."""
        while self._unwritten and self._target and not self._target_is_full:
            data = self._unwritten.popleft()
            self._written.append(data)
            self._target.write(data)
        if self._target and not self._unwritten and not self._target_is_full and not self._may_retain():
            self.is_discarded = True
        if self.is_discarded and self._target:
            self._discard_written()

    def _may_retain(self) -> bool:
        return self._held_bytes <= MAX_REPLAY_BYTES and (self.is_complete or not self._memory.is_scarce)

    def _discard_written(self) -> None:
        """Drop what the target has; the last part stays reserved while the target still buffers some of it."""
        written_bytes = sum(map(len, self._written))
        self._written.clear()
        if self._target_is_full:
            self._in_transit_bytes += written_bytes
        else:
            self._release(written_bytes)

    def _finish_target(self) -> None:
        if self.is_complete and self._target and not self._unwritten and not self._target_is_finished:
            self._target_is_finished = True
            self._target.finish()

    def _update_source(self) -> None:
        """Pause or resume the source if its state is not the one wanted now."""
        is_blocked = self._target_is_full and (self.is_discarded or not self._may_hold_more())
        wants_pause = not self.is_complete and (is_blocked or self._awaits_target)
        if wants_pause == self._source_is_paused:
            return
        self._source_is_paused = wants_pause
        if wants_pause:
            self._source.pause()
        else:
            self._source.resume()

    def _drop(self) -> None:
        self._written.clear()
        self._unwritten.clear()
        self._in_transit_bytes = 0
        self._release(self._held_bytes)

    def _release(self, size: int) -> None:
        self._held_bytes -= size
        self._memory.release(size)
