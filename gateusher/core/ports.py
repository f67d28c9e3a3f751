"""The interfaces that the core depends on: timers, the endpoint list and the connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..policy.interface import Outcome
from ..upstream.interface import Attempt


class Timer(Protocol):
    """A pending callback of `Timers`."""

    def cancel(self) -> None:
        """Cancel the callback."""


class Timers(Protocol):
    """Schedules callbacks: `asyncio.AbstractEventLoop.call_later` or a virtual one; `delay` is in seconds."""

    def __call__(self, delay: float, callback: Callable[..., object], /, *args: object) -> Timer:
        """Call `callback(*args)` after `delay` seconds."""


class EndpointListSource(Protocol):
    """The source of the endpoint list, as far as the policy controls it."""

    def watch(self) -> None:
        """Start watching the list."""

    def stop(self) -> None:
        """Stop watching the list."""

    def catch_up(self) -> None:
        """Read and apply the updates that have arrived."""


class UpstreamConnections(Protocol):
    """The connections to endpoints."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt; its `on_ended` is called once, possibly within this call."""

    def abort_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt with this outcome, and close its connection; do nothing if it has ended."""

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close all idle connections to this endpoint."""

    @property
    def pulls_reports(self) -> bool:
        """Whether load reports are pulled, as the bodies of responses to health checks."""
