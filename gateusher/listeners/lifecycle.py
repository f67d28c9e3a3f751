"""The listener's lifecycle: serving, lameduck, handed over, draining.  A state machine without socket or clock.

- **Serving** keeps connections open between requests.
- **Lameduck** still answers every request but asks clients to leave: the health check fails, each response ends its
  connection, and idle connections are closed.  An operator can revert it.
- **Handed over**: a successor process accepts the clients.  The health check passes, since the address is served,
  while the connections that remain in this process end one by one.
- **Draining** is the graceful shutdown and is final.

`Lifecycle` owns the current phase and the moments from which the limits for idle connections count.  All times are
seconds of the event loop's clock.
"""

from __future__ import annotations

from typing import Final

from ..base.machine import TransitionTable

SERVING: Final = "serving"
LAMEDUCK: Final = "lameduck"
HANDED_OVER: Final = "handed over"
DRAINING: Final = "draining"

ENTER_LAMEDUCK: Final = "enter lameduck"  # by an operator
LEAVE_LAMEDUCK: Final = "leave lameduck"  # by an operator
HAND_OVER: Final = "hand over"  # once a successor serves
RECLAIM: Final = "reclaim"  # once the successor is lost
DRAIN: Final = "drain"  # by SIGTERM or SIGINT

LIFECYCLE = TransitionTable(
    "listener",
    {
        SERVING: {ENTER_LAMEDUCK: LAMEDUCK, LEAVE_LAMEDUCK: SERVING, HAND_OVER: HANDED_OVER, DRAIN: DRAINING},
        LAMEDUCK: {ENTER_LAMEDUCK: LAMEDUCK, LEAVE_LAMEDUCK: SERVING, HAND_OVER: HANDED_OVER, DRAIN: DRAINING},
        HANDED_OVER: {RECLAIM: SERVING, DRAIN: DRAINING},
        DRAINING: {DRAIN: DRAINING},
    },
)

LAMEDUCK_IDLE_GRACE_S = 1.4  # an idle connection may still carry the request whose response ends it
HANDOVER_IDLE_GRACE_S = 2.4  # the same after a handover, unless the drain ends sooner
MIN_HANDOVER_IDLE_GRACE_S = 0.6  # also the time left before the end of a drain
NEW_CONNECTION_GRACE_S = 0.3  # a connection opened so recently may be about to carry its first request


class Lifecycle:
    """The current phase, when it began, and how long idle connections may stay open in it."""

    def __init__(self) -> None:
        self.phase: str = SERVING
        self.is_handed_over = False  # a successor accepts the clients; stays set while this process drains
        self._phase_began_s = 0.0
        self._grace_began_s = 0.0
        self._handover_idle_grace_s = HANDOVER_IDLE_GRACE_S

    @property
    def is_closing_connections(self) -> bool:
        """Whether the last response on each connection closes it."""
        return self.phase != SERVING

    @property
    def is_healthy(self) -> bool:
        """Whether clients should use this address, served by this process or by its successor."""
        return self.phase == SERVING or self.is_handed_over

    def apply(self, event: str, now_s: float) -> bool:
        """Apply an event; False if the phase does not allow it.  Repeating an event changes no time."""
        if event not in LIFECYCLE.transitions[self.phase]:
            return False
        next_phase = LIFECYCLE.next_state(self.phase, event)
        if event in (HAND_OVER, RECLAIM):
            self.is_handed_over = event == HAND_OVER
        if next_phase == self.phase:
            return True
        if next_phase != DRAINING:
            self._grace_began_s = now_s  # a drain that follows a lameduck or a handover does not extend the grace
        self.phase = next_phase
        self._phase_began_s = now_s
        return True

    def limit_grace(self, drain_s: float) -> None:
        """Shorten the grace after a handover so that it ends before a drain of `drain_s` does."""
        grace_s = max(MIN_HANDOVER_IDLE_GRACE_S, drain_s - MIN_HANDOVER_IDLE_GRACE_S)
        self._handover_idle_grace_s = min(HANDOVER_IDLE_GRACE_S, grace_s)

    def elapsed_s(self, now_s: float) -> float:
        """Seconds since the phase began."""
        return now_s - self._phase_began_s

    def may_stay_idle(self, now_s: float, last_active_s: float, is_used: bool) -> bool:
        """Whether an idle connection may stay open in lameduck or after a handover.

        Closing at once could race with a request in transit, which its client would have to retry.  A used connection
        normally ends with its next response; one that carries none within the grace period is closed.
        """
        grace_s = self._handover_idle_grace_s if self.is_handed_over else LAMEDUCK_IDLE_GRACE_S
        if now_s - self._grace_began_s < grace_s:
            return True
        return not is_used and now_s - last_active_s < NEW_CONNECTION_GRACE_S
