"""Parses the settings object of the simulator's first message, which is also a part of the platform's configuration.

This is the only place that maps its keys to the terms of this code.  Owns no state.
"""

from __future__ import annotations

import json
from typing import Any

from ..base.numbers import is_finite_number
from ..policy.interface import ClassSettings, DeduplicationScope, Effect, Prices, Settings

EFFECTS = {"idempotent": Effect.IDEMPOTENT, "deduplicated": Effect.KEYED, "at_most_once": Effect.NOT_IDEMPOTENT}
PRICE_KEYS = ("cross_zone", "probe", "waste", "handshake", "connection", "late_fail")


class SettingsError(ValueError):
    """Missing or invalid settings; `faults` lists the path of each and the allowed values."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class _Table:
    """Reads the keys of a JSON object; an invalid value is recorded and replaced by a valid one."""

    def __init__(self, raw: dict[str, Any], path: str, faults: list[str]) -> None:
        self.raw = raw
        self._path = path
        self._faults = faults

    def fault(self, key: str, allowed: str) -> None:
        found = repr(self.raw[key])[:80] if key in self.raw else "nothing"
        self._faults.append(f"{self._path}{key}: {allowed}, found {found}")

    def number(self, key: str, default: float | None = None) -> float:
        value = self.raw.get(key, default)
        if not is_finite_number(value) or value < 0:
            self.fault(key, "a number of 0 or more")
            return 0.0
        return float(value)

    def positive(self, key: str, default: float | None = None) -> float:
        value = self.raw.get(key, default)
        if value == 0 and not isinstance(value, bool):
            self.fault(key, "a number above 0")
            return 1.0
        return self.number(key, default)

    def choice(self, key: str, choices: dict[str, Any], default: str | None = None) -> Any:
        value = self.raw.get(key, default)
        if not isinstance(value, str) or value not in choices:
            self.fault(key, "one of " + ", ".join(choices))
            return next(iter(choices.values()))
        return choices[value]

    def table(self, key: str) -> _Table:
        value = self.raw.get(key, {})
        if not isinstance(value, dict):
            self.fault(key, "an object")
            value = {}
        return _Table(value, f"{self._path}{key}.", self._faults)

    def items(self, key: str) -> list[Any]:
        value = self.raw.get(key, [])
        if not isinstance(value, list):
            self.fault(key, "a list")
            return []
        return value

    def tables(self, key: str) -> list[_Table]:
        found = []
        for i, item in enumerate(self.items(key)):
            if isinstance(item, dict):
                found.append(_Table(item, f"{self._path}{key}[{i}].", self._faults))
            else:
                self._faults.append(f"{self._path}{key}[{i}]: an object, found {item!r}"[:200])
        return found


def _class_settings(class_table: _Table) -> ClassSettings:
    return ClassSettings(
        effect=class_table.choice("effect", EFFECTS),
        latency_objective_ms=class_table.positive("objective_ms"),
        deadline_ms=class_table.positive("give_up_ms"),
        priority_weight=class_table.number("worth", 1.0),
        late_weight=class_table.number("late_worth", 0.0),
        window_ms=class_table.number("window_ms", 0.0),
        scope=class_table.choice("group", {scope.value: scope for scope in DeduplicationScope}, "all"),
        stream=bool(class_table.raw.get("stream")),
        latency_objective_stretch=class_table.number("aim_stretch", 0.0),
    )


def parse_settings(text: bytes) -> Settings:
    """Parse settings from JSON; unknown keys are ignored.  Raises SettingsError with all faults."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError([f"not JSON: {error}"]) from None
    if not isinstance(raw, dict):
        raise SettingsError(["not a JSON object"])
    faults: list[str] = []
    root = _Table(raw, "", faults)
    bounds, rules, prices, reports = (root.table(key) for key in ("bounds", "rules", "prices", "telemetry"))
    if not root.items("lanes"):
        root.fault("lanes", "a list with at least one class")
    settings = Settings(
        classes=tuple(_class_settings(class_table) for class_table in root.tables("lanes")),
        index=int(root.number("me", 0)),
        clients=int(root.number("balancers", 1)),
        zone=int(root.number("zone", 0)),
        zones=max(1, len(root.items("zones"))),
        kinds=max(1, len(root.items("kinds"))),
        quotas_per_s=tuple(tenant.number("quota_per_s", 0.0) for tenant in root.tables("tenants")),
        over_quota_weight=root.number("over_share_worth", 1.0),
        prices=Prices(**{name: prices.number(name, 0.0) for name in PRICE_KEYS}),
        tick_ms=root.number("tick_ms", 1.0),
        max_attempts=max(1, int(bounds.positive("max_attempts", 1))),
        may_probe=bool(bounds.raw.get("probes")),
        may_cancel=bool(bounds.raw.get("may_cancel")),
        may_duplicate=bool(bounds.raw.get("may_duplicate")),
        retry_after=bool(bounds.raw.get("retry_after")),
        max_retry_after_ms=bounds.number("max_retry_after_ms", 0.0),
        dial_timeout_ms=bounds.number("dial_timeout_ms", 250.0),
        idle_ms=bounds.number("conn_idle_ms", 15000.0),
        report_fields=tuple(str(field) for field in reports.items("fields")),
        reports_pulled=reports.choice("source", {"pull": True, "piggyback": False, "silent": False}, "silent"),
        capacity_shares_known=raw.get("weight_kind", "silent") != "silent",
        caches_by_key=bool(root.table("family_info").raw.get("warm_keys")),
        weight_by_work=raw.get("worth_by") == "work",
        polls_list=root.choice("discovery", {"ask": True, "push": False}, "push"),
        poll_within_ms=rules.number("must_ask_in_ms", 10000.0),
        drain_grace_ms=rules.number("stop_sending_within_ms", 0.0),
        slow_start_share=rules.number("cold_share", 1.0),
        slow_start_ms=rules.number("warm_within_ms", 0.0),
        collapse_multiple=rules.number("fall_multiple", 1.0),
        collapse_window_ms=rules.number("tip_after_ms", 0.0),
    )
    if faults:
        raise SettingsError(faults)
    return settings
