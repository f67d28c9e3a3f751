"""Hosts isolated balancers behind the simulator's wire; translates and decides nothing."""

from __future__ import annotations

import gc
import json
import sys
import traceback
from typing import Any, BinaryIO

from . import wire
from ..policy.brain import Balancer
from ..policy.interface import (ClassSettings, Effect, Endpoint, Event, ListKind, ListNews, Prices, Scope,
                                Settings)

_EFFECTS = {"idempotent": Effect.SAFE, "deduplicated": Effect.KEYED, "at_most_once": Effect.UNSAFE}
_PRICES = ("cross_zone", "probe", "waste", "handshake", "connection", "late_fail")


class SettingsError(ValueError):
    """A setting is missing or makes no sense; the message names its key."""


def _number(table: dict[str, Any], key: str, default: float | None = None) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < float("inf"):
        raise SettingsError(f"setting {key!r} is missing or not a number of 0 or more: {value!r}")
    return float(value)


def _choice(table: dict[str, Any], key: str, choices: dict[str, Any], default: str | None = None) -> Any:
    value = table.get(key, default)
    if not isinstance(value, str) or value not in choices:
        raise SettingsError(f"setting {key!r} is not one of {sorted(choices)}: {value!r}")
    return choices[value]


def _table(table: dict[str, Any], key: str, kind: type = dict) -> Any:
    value = table.get(key, kind())
    if not isinstance(value, kind):
        raise SettingsError(f"setting {key!r} is not a {kind.__name__}: {value!r}")
    return value


def _class(lane: Any) -> ClassSettings:
    if not isinstance(lane, dict):
        raise SettingsError(f"setting 'lanes' holds something that is not a class: {lane!r}")
    return ClassSettings(
        effect=_choice(lane, "effect", _EFFECTS), aim_ms=_number(lane, "objective_ms"),
        deadline_ms=_number(lane, "give_up_ms"), worth=_number(lane, "worth", 1.0),
        late_worth=_number(lane, "late_worth", 0.0), window_ms=_number(lane, "window_ms", 0.0),
        scope=_choice(lane, "group", {s.value: s for s in Scope}, "all"),
        stream=bool(lane.get("stream")), aim_stretch=_number(lane, "aim_stretch", 0.0))


def _tenants(conf: dict[str, Any]) -> list[dict[str, Any]]:
    tenants: list[dict[str, Any]] = _table(conf, "tenants", list)
    if not all(isinstance(t, dict) for t in tenants):
        raise SettingsError(f"setting 'tenants' holds something that is not a tenant: {tenants!r}")
    return tenants


def parse_settings(text: bytes) -> Settings:
    """Settings from the wire's JSON; unknown keys are ignored."""
    try:
        conf = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings are not JSON: {error}") from None
    if not isinstance(conf, dict) or not conf.get("lanes") or not isinstance(conf["lanes"], list):
        raise SettingsError("setting 'lanes' is missing or empty")
    bounds, rules, prices, reports = (_table(conf, k) for k in ("bounds", "rules", "prices", "telemetry"))
    return Settings(
        classes=tuple(_class(lane) for lane in conf["lanes"]),
        index=int(_number(conf, "me", 0)), clients=int(_number(conf, "balancers", 1)),
        zone=int(_number(conf, "zone", 0)), zones=max(1, len(_table(conf, "zones", list))),
        kinds=max(1, len(_table(conf, "kinds", list))),
        quotas_per_s=tuple(_number(t, "quota_per_s", 0.0) for t in _tenants(conf)),
        over_share_worth=_number(conf, "over_share_worth", 1.0),
        prices=Prices(**{k: _number(prices, k, 0.0) for k in _PRICES}),
        tick_ms=_number(conf, "tick_ms", 1.0), max_attempts=max(1, int(_number(bounds, "max_attempts", 1))),
        may_probe=bool(bounds.get("probes")), may_cancel=bool(bounds.get("may_cancel")),
        may_duplicate=bool(bounds.get("may_duplicate")), retry_after=bool(bounds.get("retry_after")),
        max_retry_after_ms=_number(bounds, "max_retry_after_ms", 0.0),
        dial_timeout_ms=_number(bounds, "dial_timeout_ms", 250.0),
        idle_ms=_number(bounds, "conn_idle_ms", 15000.0),
        report_fields=tuple(str(f) for f in _table(reports, "fields", list)),
        reports_pulled=_choice(reports, "source",
                               {"pull": True, "piggyback": False, "silent": False}, "silent"),
        share_known=conf.get("weight_kind", "silent") != "silent",
        warm_keys=bool(_table(conf, "family_info").get("warm_keys")), by_work=conf.get("worth_by") == "work",
        must_ask=_choice(conf, "discovery", {"ask": True, "push": False}, "push"),
        must_ask_in_ms=_number(rules, "must_ask_in_ms", 10000.0),
        drain_grace_ms=_number(rules, "stop_sending_within_ms", 0.0),
        cold_share=_number(rules, "cold_share", 1.0), warm_within_ms=_number(rules, "warm_within_ms", 0.0),
        fall_multiple=_number(rules, "fall_multiple", 1.0), fall_ms=_number(rules, "tip_after_ms", 0.0))


class Host:
    """The instances of one process, each on its own."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def answer(self, frame: bytes) -> bytes:
        """One reply for one batch."""
        number, _, count, now = wire.BATCH.unpack_from(frame)
        tail = wire.BATCH.size + count * wire.EVENT_SIZE
        reply, instance = wire.Reply(), -1
        for at in range(wire.BATCH.size, tail, wire.EVENT_SIZE):
            code = frame[at]
            decode = wire.EVENTS.get(code)
            if decode:
                self._deliver(now, instance, decode(frame, at), reply)
            elif code == wire.ABOUT:
                instance = wire.read_instance(frame, at)
            elif code == wire.REGISTER:
                ref, entries = wire.read_register(frame, at, tail)
                self._lists[ref] = entries
            elif code == wire.LIST:
                kind, version, ref = wire.read_list(frame, at)
                entries = () if kind == ListKind.FAILED else self._lists[ref]
                self._deliver(now, instance, ListNews(ListKind(kind), version, entries), reply)
            elif code == wire.HEARD:
                self._deliver(now, instance, wire.read_heard(frame, at, tail), reply)
            elif code == wire.DOWN:
                self._balancers.pop(instance, None)
            elif code == wire.NEW:
                self._start(instance, *wire.read_new(frame, at, tail), reply)
            else:
                raise wire.FrameError(f"unknown event code {code}")
        return reply.frame(number)

    def _start(self, instance: int, seed: int, conf: bytes, reply: wire.Reply) -> None:
        try:
            self._balancers[instance] = Balancer(parse_settings(conf), seed)
        except Exception:
            reply.fault(instance, traceback.format_exc())

    def _deliver(self, now: float, instance: int, event: Event, reply: wire.Reply) -> None:
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise wire.FrameError(f"an event for instance {instance}, which was not started")
        try:
            actions = balancer.handle(now, event)
        except Exception:
            reply.fault(instance, traceback.format_exc())
            return
        if actions:
            reply.add(instance, actions)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers frames until the input ends; the exit status."""
    host = Host()
    try:
        while (frame := wire.read_frame(source)) is not None:
            sink.write(host.answer(frame))
            sink.flush()
    except (wire.FrameError, KeyError, ValueError) as error:
        print(f"gateusher: malformed input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    gc.freeze()
    gc.set_threshold(50000, 20, 100)
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
