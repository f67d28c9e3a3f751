"""Forwards a request body that is still arriving from its client to the attempt that carries it.

A body that is buffered completely can be sent again to another endpoint, but memory does not suffice to buffer many
bodies of, say, 32 MiB.  So a body is retained from its first byte on while it fits (MAX_REPLAY_BYTES), and until it
no longer does a failed attempt may be followed by another.  Beyond that, bytes are forwarded to the one attempt that
has received everything before them, and are discarded.  An endpoint begins to execute a request with its last byte
(PROTOCOL, Sidecars to endpoints), so an attempt that ends before that never ran, and the request may be rejected,
regardless of its class.

An `Upload` owns the retained bytes and their reservation of memory.  It has one source and at most one target at a
time, and slows the source to the target's speed: until the body is complete, the source is paused while the target's
socket is full, or while there is neither a target nor memory.  A pause ends with its reason, with the body or with
the upload, whichever is first: nobody else would end it, and the source may have more to deliver than this body.
This module uses no sockets.
"""

from __future__ import annotations

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
        """Send the next bytes."""

    def finish(self) -> None:
        """End the body, which is complete; called once."""


class Upload:
    """A body that is still arriving from `source`.

    `retained` holds the bytes that have arrived already, reserved in `memory`.  `total_bytes` is the length of the
    complete body, or -1 if unknown.  `timeout_ms` is the request's timeout from the body's last byte on.
    """

    def __init__(
        self,
        source: UploadSource,
        retained: bytearray,
        total_bytes: int,
        timeout_ms: float,
        memory: MemoryBudget,
    ) -> None:
        self.total_bytes, self.timeout_ms = total_bytes, timeout_ms
        self.is_complete = False  # its last byte has arrived
        self.is_discarded = False  # bytes were forwarded and not retained: it can't be sent again
        self._source = source
        self._memory = memory
        self._retained = retained
        self._target: UploadTarget | None = None
        self._target_is_full = False  # its socket accepts nothing more for now
        self._awaits_target = False  # nothing more may be retained without a target
        self._source_is_paused = False

    @property
    def has_unknown_length(self) -> bool:
        """Whether the length of the body is unknown."""
        return self.total_bytes < 0

    def on_request_submitted(self) -> None:
        """Pause the source of an accepted request if memory is scarce and there is no target yet."""
        if self._memory.is_scarce and self._target is None and not self.is_discarded:
            self._awaits_target = True
            self._update_source()

    def feed(self, data: bytes) -> None:
        """Take the next bytes from the source."""
        target = self._target
        if not self.is_discarded:
            self._retain(data)
        if target:
            target.write(data)

    def _retain(self, data: bytes) -> None:
        fits = len(self._retained) + len(data) <= MAX_REPLAY_BYTES
        if fits and not self._memory.is_scarce and self._memory.acquire(len(data)):
            self._retained += data
        elif self._target:
            self._discard()
        else:
            # Without a target the bytes can't be forwarded: they are retained, and the source is paused.
            self._memory.acquire(len(data), may_exceed=True)
            self._retained += data
            self._awaits_target = True
            self._update_source()

    def finish(self) -> None:
        """End the body: the source has delivered the last byte, possibly in the read in which it was paused."""
        self.is_complete = True
        self._update_source()
        if self._target:
            self._target.finish()

    def attach(self, target: UploadTarget) -> None:
        """Deliver to this target from the first byte on; not allowed beside another target or after a discard."""
        assert self._target is None and not self.is_discarded
        self._target = target
        self._awaits_target = False
        if self._retained:
            target.write(bytes(self._retained))
            if len(self._retained) > MAX_REPLAY_BYTES:
                self._discard()
        if self._target is not target:
            return  # its connection closed during the write
        if self.is_complete:
            target.finish()
        self._update_source()

    def detach(self) -> None:
        """Remove the target, as its attempt has ended.

        A paused source waits for the next target.  If there can be none, the remainder of the body is dropped, so
        that the client gets to reading the response.
        """
        self._target = None
        self._target_is_full = False
        self._awaits_target = self._source_is_paused and not self.is_discarded
        self._update_source()

    def pause(self) -> None:
        """Pause the source: the target's socket is full."""
        self._target_is_full = True
        self._update_source()

    def resume(self) -> None:
        """Resume the source: the target's socket accepts more."""
        self._target_is_full = False
        self._update_source()

    def release(self) -> None:
        """Free the retained bytes and let the source deliver what follows: the request is finished."""
        self._target = None
        self._target_is_full = False
        self._awaits_target = False
        self._discard()
        self._update_source()

    def _update_source(self) -> None:
        """Pause or resume the source if its state is not the one wanted now."""
        wants_pause = not self.is_complete and (self._target_is_full or self._awaits_target)
        if wants_pause == self._source_is_paused:
            return
        self._source_is_paused = wants_pause
        if wants_pause:
            self._source.pause()
        else:
            self._source.resume()

    def _discard(self) -> None:
        self.is_discarded = True
        self._memory.release(len(self._retained))
        self._retained = bytearray()
