"""What the core asks of those around it: types for the checker, nothing that runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..policy.interface import Outcome
from ..upstream.interface import Attempt
from .engine import ClientRequest, FinalResponse


class Timer(Protocol):
    def cancel(self) -> None: ...


class Timers(Protocol):
    """What the core is handed to be woken: `asyncio.AbstractEventLoop.call_later`, or a virtual one."""

    def __call__(self, delay: float, callback: Callable[..., object], /, *args: object) -> Timer: ...


class EndpointListSource(Protocol):
    """Where the list comes from, as far as the module may start and stop it."""

    def watch(self) -> None: ...
    def stop(self) -> None: ...

    def catch_up(self) -> None:
        """Take up what the source has told and this process has not read yet."""


class ClientCallbacks(Protocol):
    """The client's side of a request, as the core sees it."""

    def on_final_response(self, call: ClientRequest, final: FinalResponse) -> None:
        """The final answer; called once, unless the client left first.  The core is done with it after that."""

    def is_disconnected(self, call: ClientRequest) -> bool:
        """Whether the client has closed or cancelled, looked at now, though nobody may have been told yet."""

    def on_released(self, call: ClientRequest) -> None:
        """Nothing is out for this request any more, whoever has left; called once for each call taken."""


class UpstreamConnections(Protocol):
    """The connections to endpoints."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Take an attempt; its `ended` is called once, at the earliest within this call."""

    def abort_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt with this outcome, and with it its connection; nothing where it has ended."""

    def close_idle_connections(self, eid: int) -> None:
        """Close the connections to this endpoint that carry nothing."""

    @property
    def pulls_reports(self) -> bool:
        """Whether load reports are the bodies of probes' answers."""
