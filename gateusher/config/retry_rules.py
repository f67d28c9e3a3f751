"""Compares the rules on retries of different configurations.  Pure; owns no state."""

from __future__ import annotations

from typing import Final

from ..policy.interface import ClassSettings, DeduplicationScope, Effect, RetryRules

EFFECT_STRICTNESS: Final = {Effect.IDEMPOTENT: 0, Effect.KEYED: 1, Effect.NOT_IDEMPOTENT: 2}
SCOPE_STRICTNESS: Final = {DeduplicationScope.ALL: 0, DeduplicationScope.ZONE: 1, DeduplicationScope.CELL: 2}


def is_stricter(new: RetryRules | ClassSettings, old: RetryRules | ClassSettings) -> bool:
    """Return whether a retry that `old` allows may do harm under `new`.  Attempt limits are not compared."""
    if new.effect is Effect.KEYED and old.effect is Effect.KEYED:
        return SCOPE_STRICTNESS[new.scope] > SCOPE_STRICTNESS[old.scope] or new.window_ms < old.window_ms
    return EFFECT_STRICTNESS[new.effect] > EFFECT_STRICTNESS[old.effect]


def strictest(first: RetryRules, second: RetryRules) -> RetryRules:
    """Return rules that allow only what both allow."""
    max_attempts = min(first.max_attempts, second.max_attempts)
    if first.effect is second.effect is Effect.KEYED:
        scope = max(first.scope, second.scope, key=SCOPE_STRICTNESS.__getitem__)
        return RetryRules(Effect.KEYED, scope, min(first.window_ms, second.window_ms), max_attempts)
    stricter = max(first, second, key=lambda rules: EFFECT_STRICTNESS[rules.effect])
    return stricter._replace(max_attempts=max_attempts)
