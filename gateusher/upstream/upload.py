"""The body of a request that is still coming: what is kept of it, who gives it and who takes it.

A body that is held whole can be sent again to another endpoint; one of 32 MiB can't be held, not many times over.  So
what has come is kept from its first byte on for as long as there is room (KEPT), and an attempt that fails until then
may be followed by another.  Past that the bytes go through: they are written to the one attempt that has all those
before them, and are gone.  An endpoint begins a request with its last byte (PROTOCOL, Sidecars to endpoints), so an
attempt that breaks off before that never ran, and the request may be refused, whatever its class.

One giver and one taker, each as fast as the other: where the taker's socket is full, or there is no taker yet and no
room, the giver is paused.  No socket is touched here.
"""

from __future__ import annotations

from typing import Protocol

from ..base.limits import MemoryBudget

KEPT = 1 << 20  # bytes of a body that are kept for another attempt


class Giver(Protocol):
    """The client's side."""

    def pause(self) -> None:
        """Give nothing for now."""

    def resume(self) -> None:
        """Go on."""


class Taker(Protocol):
    """The endpoint's side: a connection with an attempt."""

    def write(self, data: bytes) -> None:
        """The next bytes."""

    def finish(self) -> None:
        """That was all; called once."""


class Upload:
    """`total`: bytes of the whole body, or -1 where its client hasn't told.  What is kept is counted in `memory`."""

    def __init__(self, giver: Giver, kept: bytearray, total: int, patience_ms: float, memory: MemoryBudget) -> None:
        self.total_bytes, self.timeout_ms = total, patience_ms
        self.is_complete = False  # its last byte has come
        self.is_discarded = False  # bytes went through that are not here any more: it can't be sent again
        self._giver, self._memory = giver, memory
        self._kept = kept
        self._taker: Taker | None = None
        self._held = False

    @property
    def _scarce(self) -> bool:
        """Room is better used for those that are only here for a moment."""
        return self._memory.in_use * 2 > self._memory.limit

    def on_request_submitted(self) -> None:
        """The core has it: wait for a taker before more is taken, where room is scarce."""
        if self._scarce and self._taker is None and not self.is_discarded:
            self.pause()

    def feed(self, data: bytes) -> None:
        """From the giver, in order."""
        taker = self._taker
        if not self.is_discarded:
            if len(self._kept) + len(data) <= KEPT and not self._scarce and self._memory.acquire(len(data)):
                self._kept += data
            elif taker:
                self._let_go()
                self.is_discarded = True
            else:
                # Nobody to give it to: it is kept all the same, and nothing more is taken until there is somebody.
                self._memory.acquire(len(data), beyond=True)
                self._kept += data
                self.pause()
        if taker:
            taker.write(data)

    def finish(self) -> None:
        """The giver has given all."""
        self.is_complete = True
        if self._taker:
            self._taker.finish()

    def attach(self, taker: Taker) -> None:
        """An attempt takes it, from the first byte on.  Never while another does, nor once bytes are gone."""
        assert self._taker is None and not self.is_discarded
        self._taker = taker
        if self._kept:
            taker.write(bytes(self._kept))
            if len(self._kept) > KEPT:
                self._let_go()
                self.is_discarded = True
        if self._taker is not taker:
            return  # it broke in the middle
        if self.is_complete:
            taker.finish()
        else:
            self.resume()

    def detach(self) -> None:
        """The attempt is over, with whatever outcome.  Where bytes are gone nobody else can take it."""
        self._taker = None
        if self.is_discarded:
            self.resume()  # what still comes is thrown away, so that its client gets to read an answer

    def pause(self) -> None:
        """The taker's socket is full."""
        if not self._held and not self.is_complete:
            self._held = True
            self._giver.pause()

    def resume(self) -> None:
        """And has room again."""
        if self._held:
            self._held = False
            self._giver.resume()

    def release(self) -> None:
        """The request is settled: nothing is kept any more."""
        self._taker, self.is_discarded = None, True
        self._let_go()

    def _let_go(self) -> None:
        self._memory.release(len(self._kept))
        self._kept = bytearray()
