"""A request whose last byte was read, until what follows it on its connection is known.

If what follows begins no request, the length of this one may be too short, so that its body was cut.  Such a request
must not reach an endpoint, so none is submitted before the rest of the same read, and whatever else the kernel holds,
has been looked at.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ..base.limits import MemoryBudget
from .classification import Fields
from .http_request import HttpRequest

# How long the first bytes of a next request, too few to recognize one, delay the request before it.
MAX_DELAY_S: Final = 0.2


@dataclass(slots=True)
class CompleteRequest:
    """A request that is complete and not submitted; or, if its body was forwarded, not completed at its endpoint."""

    request: HttpRequest
    fields: Fields
    completed_s: float  # when its last byte was read, on the event loop's clock
    unread_ms: float  # how long that byte had waited unread
    last_part: bytes = b""  # of a body that was forwarded otherwise, reserved in the memory budget

    def queued_ms(self, now_s: float) -> float:
        """Return how long its last byte has waited, unread or here, in milliseconds."""
        return self.unread_ms + (now_s - self.completed_s) * 1000

    def is_overdue(self, now_s: float) -> bool:
        """Return whether it has waited for too long for what follows it."""
        return now_s - self.completed_s > MAX_DELAY_S

    def release(self, memory: MemoryBudget) -> None:
        """Free its bytes: it will not be submitted."""
        memory.release(len(self.last_part) + len(self.request.body))
        self.last_part = self.request.body = b""
        self.request.head_memory.set(0)
