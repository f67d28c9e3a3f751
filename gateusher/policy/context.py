"""The state shared by all components: settings, the time of the event, random numbers and the resulting actions.

Owns the current settings, the live classes, and the classes that may no longer be retried.  A "time unit" is a
quarter of the longest latency objective of the live classes, so that waits scale with the deployment's latencies.
"""

from __future__ import annotations

from collections.abc import Callable

from .interface import Action, Effect, RetryRules, Settings, SettingsChanged
from .records import PendingRequest

ENDPOINT_LIST_TIMER = 0  # timer token: poll the endpoint list
HINT_EXPIRY_TIMER = -1  # timer token: a gossip hint expires
OBJECTIVE_DIVISOR = 4  # a time unit is the longest latency objective divided by this


class DecisionContext:
    """Shared by the components of one balancer; `now_ms` and `actions` are set anew for each event."""

    def __init__(self, settings: Settings, random: Callable[[], float]) -> None:
        """`random` returns floats in [0, 1); the order of its calls is part of the balancer's behavior."""
        self.settings = settings
        self.random = random
        self.now_ms = 0.0
        self.actions: list[Action] = []
        self.live_classes: tuple[int, ...] = tuple(range(len(settings.classes)))
        self.never_repeat: frozenset[int] = frozenset()
        self.max_priority_weight = 0.0
        self.time_unit_ms = 0.0
        self._derive()

    def change_settings(self, change: SettingsChanged) -> None:
        """Apply new settings."""
        self.settings = change.settings
        self.live_classes = change.live_classes
        self.never_repeat = change.never_repeat
        self._derive()

    def retry_rules(self, class_index: int) -> RetryRules:
        """Return the rules for a new request of this class by the current settings."""
        return RetryRules.of_class(self.settings.classes[class_index], self.settings.max_attempts)

    def effect(self, request: PendingRequest) -> Effect:
        """Return the effect of running this request twice, by the strictest settings since it arrived."""
        return Effect.NOT_IDEMPOTENT if request.class_index in self.never_repeat else request.rules.effect

    def _derive(self) -> None:
        classes = [self.settings.classes[index] for index in self.live_classes]
        self.max_priority_weight = max([1e-9] + [c.priority_weight for c in classes])
        self.time_unit_ms = max([1.0] + [c.latency_objective_ms for c in classes]) / OBJECTIVE_DIVISOR
