"""Reload of the settings at run time: what changes, what stays, and which files are rejected."""

import asyncio
import copy
import json
import random
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateusher.cli.run import make_reloader
from gateusher.config import class_history
from gateusher.config.classes import RequestClass, RequestClassTable
from gateusher.config.model import default_methods
from gateusher.policy.interface import (
    ClassSettings,
    ClientDisconnected,
    Effect,
    Fail,
    Outcome,
    Reject,
    Request,
    RetryRules,
    Send,
    SetTimer,
    SettingsChanged,
    TimerFired,
)

from .helpers import attempt_ended, make_balancer, make_settings
from .net import (
    OK_RESPONSE,
    REQUEST_CLASSES,
    Discovery,
    Endpoint,
    Writer,
    at_most_once_request,
    configuration,
    host_entry,
    idempotent_request,
    read_message,
    run,
    run_sidecar,
    status,
)

# -- the table of classes

SETTINGS = st.builds(
    ClassSettings,
    st.sampled_from(Effect),
    st.sampled_from([500.0, 1500.0]),
    st.just(2000.0),
    st.sampled_from([1.0, 5.0]),
)
CONFIGS = st.dictionaries(st.sampled_from([b"a", b"b", b"c", b"d"]), SETTINGS, min_size=1)


def request_classes(config: dict[bytes, ClassSettings]) -> list[RequestClass]:
    return [RequestClass(name, s, default_methods(s.effect)) for name, s in config.items()]


def is_stricter(new: Effect, old: Effect) -> bool:
    order = [Effect.IDEMPOTENT, Effect.KEYED, Effect.NOT_IDEMPOTENT]
    return order.index(new) > order.index(old)


@given(CONFIGS, st.lists(st.tuples(CONFIGS, st.integers(0, 2**32)), max_size=12))
def test_class_of_an_open_request_never_changes(
    first: dict[bytes, ClassSettings], rest: list[tuple[dict[bytes, ClassSettings], int]]
) -> None:
    table = RequestClassTable(request_classes(first))
    history = class_history.ClassHistory(table, max_attempts=3)
    open_slots: dict[int, RequestClass] = {}  # slots of open requests, with their class on arrival
    never_retried: set[int] = set()  # slots whose retry a later configuration forbids
    for config, seed in rest:
        rng = random.Random(seed)
        open_slots = {slot: request_class for slot, request_class in open_slots.items() if rng.random() < 0.5}
        open_slots |= {slot: table.classes[slot] for slot in table.current.values() if rng.random() < 0.5}
        before, previous_classes = dict(table.current), list(table.classes)
        change = history.change(request_classes(config), 3, open_slots, now_s=0.0)
        assert all(change.classes[slot] == request_class for slot, request_class in open_slots.items())
        assert {name: change.classes[slot] for name, slot in table.current.items()} == {
            request_class.name: request_class for request_class in request_classes(config)
        }
        assert all(change.classes[slot] == previous_classes[slot] for slot in before.values()), (
            "the class of a previous slot is kept"
        )
        for name, slot in before.items():
            old = previous_classes[slot]
            meaning = history.meaning(name, min(old.methods), old.settings.effect is Effect.KEYED, sent_s=0.0)
            assert meaning, "a former class is still understood"
            assert name in table.current or meaning.class_index == slot, "a dropped class keeps its slot"
            rules = meaning.rules or RetryRules.of_class(table.classes[meaning.class_index].settings, 3)
            assert not is_stricter(old.settings.effect, rules.effect), "and its retries are not wider than they were"
        assert sorted(change.live) == sorted(table.current.values())
        assert len(set(change.live)) == len(config)
        unchanged = {
            k.name for k in request_classes(config) if k.name in before and previous_classes[before[k.name]] == k
        }
        assert all(table.current[name] == before[name] for name in unchanged), "an unchanged class keeps its slot"
        changed = {slot for slot, _ in change.replaced}
        never_retried = {slot for slot in never_retried if slot not in changed} | {
            slot
            for slot, request_class in {**open_slots, **{s: previous_classes[s] for s in before.values()}}.items()
            if request_class.name in config
            and is_stricter(config[request_class.name].effect, request_class.settings.effect)
        }
        assert change.never_repeat == never_retried, "only stricter settings affect open requests"
        assert all(change.classes[i] == previous_classes[i] for i in range(len(previous_classes)) if i not in changed)
        assert all(previous_slot == before.get(change.classes[slot].name) for slot, previous_slot in change.replaced)
    assert len(table.classes) <= 16  # four names, current and previous, and the slots of open requests


# -- the policy

SAFE, UNSAFE = (
    ClassSettings(effect, latency_objective_ms=1000, deadline_ms=3000, priority_weight=1)
    for effect in (Effect.IDEMPOTENT, Effect.NOT_IDEMPOTENT)
)


def test_open_request_keeps_its_class() -> None:
    """A request that may have run is not retried, although its class became idempotent afterwards."""
    balancer = make_balancer(3, make_settings(classes=(UNSAFE,)))
    (sent,) = balancer.handle(1.0, Request(1, 0, 3000))
    assert isinstance(sent, Send)
    assert balancer.handle(2.0, SettingsChanged(make_settings(classes=(UNSAFE, SAFE)), ((1, 0),), (1,))) == []
    commands = balancer.handle(3.0, attempt_ended(1, 0, sent.endpoint, Outcome.RESET))
    assert [type(a).__name__ for a in commands if not isinstance(a, Send)] == ["Fail"]
    (again,) = balancer.handle(4.0, Request(2, 1, 3000))
    assert isinstance(again, Send)
    commands = balancer.handle(5.0, attempt_ended(2, 0, again.endpoint, Outcome.RESET))
    assert any(isinstance(a, Send) for a in commands)


@pytest.mark.parametrize(("before", "after", "allowed"), [(6, 2, 2), (2, 6, 2), (6, 1, 1)])
def test_attempt_limit_is_the_lower_of_old_and_new(before: int, after: int, allowed: int) -> None:
    balancer = make_balancer(8, make_settings(classes=(SAFE,), max_attempts=before))
    now, sent = 1.0, 0
    commands = balancer.handle(now, Request(1, 0, 60000))
    balancer.handle(now, SettingsChanged(make_settings(classes=(SAFE,), max_attempts=after), (), (0,)))
    while any(isinstance(a, Send) for a in commands):
        sent += 1
        endpoint = next(a.endpoint for a in commands if isinstance(a, Send))
        now += 1.0
        commands = balancer.handle(now, attempt_ended(1, sent - 1, endpoint, Outcome.ERROR))
    assert sent == allowed
    assert any(isinstance(a, Reject) for a in commands)


def test_estimates_of_a_class_move_to_its_new_index() -> None:
    balancer = make_balancer(4, make_settings(classes=(SAFE,)))
    for request_id in range(1, 40):
        (sent,) = (
            a for a in balancer.handle(float(request_id * 100), Request(request_id, 0, 3000)) if isinstance(a, Send)
        )
        balancer.handle(request_id * 100 + 20.0, attempt_ended(request_id, 0, sent.endpoint, Outcome.OK, 20.0))
    estimates = (
        balancer.estimates.service_time_ms[0],
        balancer.estimates.latency_target_ms[0],
        balancer.estimates.samples[0],
    )
    assert estimates[0] < 200
    balancer.handle(5000.0, SettingsChanged(make_settings(classes=(SAFE, UNSAFE, SAFE)), ((1, 0), (2, None)), (1, 2)))
    assert (
        balancer.estimates.service_time_ms[1],
        balancer.estimates.latency_target_ms[1],
        balancer.estimates.samples[1],
    ) == estimates
    assert (balancer.estimates.service_time_ms[2], balancer.estimates.samples[2]) == (250.0, 0)
    assert balancer.admission.class_mix[0] == 0.0


@given(
    st.lists(
        st.tuples(CONFIGS, st.lists(st.sampled_from(["request", "attempt ended", "disconnect"]), max_size=8)),
        max_size=6,
    ),
    st.integers(0, 99),
)
def test_any_order_of_settings_and_requests(
    rounds: list[tuple[dict[bytes, ClassSettings], list[str]]], seed: int
) -> None:
    """No request exceeds its attempts, and a non-idempotent one that may have run is not retried."""
    first = {b"a": SAFE}
    table = RequestClassTable(request_classes(first))
    balancer = make_balancer(4, make_settings(classes=(SAFE,)), seed)
    rng, now, request_id = random.Random(seed), 1.0, 0
    open_requests: dict[int, tuple[int, int, Effect, int]] = {}  # request: attempts, endpoint, effect, slot
    for config, steps in rounds:
        change = table.change(request_classes(config), {entry[3] for entry in open_requests.values()})
        conf = make_settings(classes=tuple(c.settings for c in change.classes), max_attempts=rng.randint(1, 6))
        commands = balancer.handle(now, SettingsChanged(conf, change.replaced, change.live))
        for step in steps:
            now += rng.uniform(1, 300)
            if step == "request" or not open_requests:
                request_id += 1
                slot = rng.choice(change.live)
                commands = balancer.handle(now, Request(request_id, slot, 3000))
                open_requests[request_id] = 0, 0, change.classes[slot].settings.effect, slot
                request, may_have_run = request_id, False
            elif step == "disconnect":
                request = rng.choice(list(open_requests))
                commands, may_have_run = balancer.handle(now, ClientDisconnected(request)), False
                open_requests.pop(request)
            else:
                request = rng.choice(list(open_requests))
                attempts, endpoint, _, _ = open_requests[request]
                if not attempts:
                    continue
                outcome = rng.choice([Outcome.OK, Outcome.RESET, Outcome.REJECTED, Outcome.ERROR])
                may_have_run = outcome in (Outcome.RESET, Outcome.ERROR)
                commands = balancer.handle(now, attempt_ended(request, attempts - 1, endpoint, outcome))
                if outcome is Outcome.OK:
                    open_requests.pop(request)
            for command in commands:
                if isinstance(command, Send):
                    attempts, _, effect, slot = open_requests[command.request]
                    assert not (may_have_run and command.request == request and effect is Effect.NOT_IDEMPOTENT)
                    open_requests[command.request] = attempts + 1, command.endpoint, effect, slot
                    assert attempts < 6
                elif type(command).__name__ != "SetTimer" and hasattr(command, "request"):
                    open_requests.pop(command.request, None)


# -- the daemon

NEW = {
    "name": "ship",
    "effect": "deduplicated",
    "objective_ms": 1500,
    "give_up_ms": 2000,
    "worth": 3,
    "window_ms": 5000,
}


class ConfigFile:
    """Writes the platform's file and reloads it as SIGHUP does."""

    def __init__(self, folder: Path, r: Any, conf: dict[str, Any]) -> None:
        self.path, self.r, self.conf = folder / "config.json", r, conf

    def write(self, text: str) -> None:
        self.path.write_text(text)
        env = {"BALANCER_CONFIG": str(self.path), "BALANCER_LISTEN": "127.0.0.1:1"}
        make_reloader(self.r.sidecar, None, env).reload()

    def write_lanes(self, *lanes: dict[str, Any], **bounds: Any) -> None:
        conf = copy.deepcopy(self.conf)
        conf["settings"]["lanes"] = list(lanes)
        conf["settings"]["bounds"] |= bounds
        self.write(json.dumps(conf))


def setup(endpoint: Endpoint, discovery: Discovery) -> dict[str, Any]:
    discovery.hosts = [host_entry("e0", endpoint.port)]
    return configuration(discovery.hosts, discovery.port)


def ship(request_id: str) -> bytes:
    return at_most_once_request(request_id, extra_headers=b"Idempotency-Key: k\r\nContent-Length: 0\r\n").replace(
        b"pay", b"ship"
    )


def test_classes_are_added_removed_and_changed_while_requests_are_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(class_history, "CLIENTS_LEARN_S", 1e9)

    async def test() -> None:
        release, arrived = asyncio.Event(), asyncio.Event()

        async def abort_open_request(head: bytes, writer: Writer) -> None:
            if b"open" in head:
                arrived.set()
                await release.wait()
                writer.transport.abort()  # it may have run
            else:
                writer.write(OK_RESPONSE)

        endpoint, discovery = Endpoint(abort_open_request), Discovery([])
        async with run_sidecar(endpoint, discovery=discovery) as r:
            file = ConfigFile(tmp_path, r, setup(endpoint, discovery))
            assert status((await r.request(ship("s0")))[0]) == 400
            opened = asyncio.create_task(r.request(at_most_once_request("open")))
            await arrived.wait()
            # 'pay' changes from unsafe to safe; 'ship' is added; 'look' is removed.
            file.write_lanes({**REQUEST_CLASSES[1], "effect": "idempotent"}, NEW, max_attempts=3)
            assert status((await r.request(ship("s1")))[0]) == 200
            # The current class.
            assert status((await r.request(idempotent_request("p1").replace(b"look", b"pay")))[0]) == 200
            assert status((await r.request(at_most_once_request("p2")))[0]) == 200  # the previous class
            assert status((await r.request(idempotent_request("l1")))[0]) == 200  # removed a moment ago
            release.set()
            head, _ = await opened
            assert status(head) == 502  # still unsafe: not retried, and no statement that a retry is harmless
            assert sum(b"open" in seen for seen in endpoint.request_heads) == 1
            monkeypatch.setattr(class_history, "CLIENTS_LEARN_S", -1e9)
            r.sidecar.server.sweep()
            assert [
                status((await r.request(data))[0])
                for data in (at_most_once_request("p3"), idempotent_request("l2"), ship("s2"))
            ] == [405, 400, 200]
            assert r.sidecar.node.settings.max_attempts == 3
            file.write_lanes(*REQUEST_CLASSES)
            assert status((await r.request(idempotent_request("l3")))[0]) == 200
            assert status((await r.request(at_most_once_request("p4")))[0]) == 200

    run(test())


@pytest.mark.parametrize(
    ("before", "after", "sends", "expected_status"),
    [
        ("idempotent", "at_most_once", 1, 502),
        ("idempotent", "deduplicated", 1, 502),
        ("idempotent", "idempotent", 2, 200),
        ("at_most_once", "idempotent", 1, 502),
    ],
)
def test_effect_of_a_class_changes_during_an_attempt(
    before: str, after: str, sends: int, expected_status: int, tmp_path: Path
) -> None:
    """The stricter effect applies: the endpoint of the attempt may use the new settings already."""

    async def test() -> None:
        arrived, release = asyncio.Event(), asyncio.Event()

        async def abort_once(head: bytes, writer: Writer) -> None:
            if b"open" in head and not release.is_set():
                arrived.set()
                await release.wait()
                writer.transport.abort()  # it may have run
            else:
                writer.write(OK_RESPONSE)

        endpoint, discovery = Endpoint(abort_once), Discovery([])
        async with run_sidecar(endpoint, discovery=discovery) as r:
            file = ConfigFile(tmp_path, r, setup(endpoint, discovery))
            lane = {**REQUEST_CLASSES[0], "window_ms": 5000}
            file.write_lanes({**lane, "effect": before}, REQUEST_CLASSES[1])
            request = (
                idempotent_request("open")
                if before == "idempotent"
                else at_most_once_request("open").replace(b"pay", b"look")
            )
            opened = asyncio.create_task(r.request(request))
            await arrived.wait()
            file.write_lanes({**lane, "effect": after, "worth": 2}, REQUEST_CLASSES[1])
            release.set()
            head, _ = await opened
            assert (
                status(head) == expected_status and sum(b"open" in seen for seen in endpoint.request_heads) == sends
            )
            # New requests use this class.
            file.write_lanes({**lane, "effect": "idempotent", "worth": 3}, REQUEST_CLASSES[1])
            assert status((await r.request(idempotent_request("new")))[0]) == 200

    run(test())


def test_queued_request_is_not_retried_once_its_class_is_unsafe() -> None:
    """The request may have run, and is queued for a retry when the new settings arrive."""
    balancer = make_balancer(2, make_settings(classes=(SAFE,), max_attempts=6))
    (sent,) = [a for a in balancer.handle(0.0, Request(1, 0, 3000)) if isinstance(a, Send)]
    for server in balancer.endpoint_list.endpoints.values():
        server.ejected_until_ms = 1e9  # no other endpoint is available: the request is queued
    commands = balancer.handle(1.0, attempt_ended(1, 0, sent.endpoint, Outcome.RESET))
    (timer,) = [a for a in commands if isinstance(a, SetTimer)]
    balancer.handle(2.0, SettingsChanged(make_settings(classes=(SAFE, UNSAFE)), ((1, 0),), (1,), frozenset({0})))
    for server in balancer.endpoint_list.endpoints.values():
        server.ejected_until_ms = 0.0
    commands = balancer.handle(3.0 + timer.delay_ms, TimerFired(timer.token))
    assert [type(a) for a in commands] == [Fail]


def key_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of every key in a configuration, except in the endpoint list."""
    found: list[tuple[Any, ...]] = []
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in items:
        if key in ("known", "peers"):
            continue
        if isinstance(value, dict):
            found.append((*path, key))
        found += key_paths(item, (*path, key))
    return found


def without(conf: dict[str, Any], path: tuple[Any, ...]) -> dict[str, Any]:
    conf = copy.deepcopy(conf)
    at: Any = conf
    for key in path[:-1]:
        at = at[key]
    del at[path[-1]]
    return conf


INVALID_VALUES = [0, -1, -0.5, "6", None, True, [], {}, float("nan"), float("inf"), ""]


def test_invalid_file_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        endpoint, discovery = Endpoint(), Discovery([])
        async with run_sidecar(endpoint, discovery=discovery) as r:
            conf = setup(endpoint, discovery)
            sidecar = r.sidecar
            sidecar.config = sidecar.config._replace(shape={k: v for k, v in conf.items() if k != "known"})
            node, file = sidecar.node, ConfigFile(tmp_path, r, conf)
            changed = copy.deepcopy(conf)  # valid changes that each broken file contains too
            changed["settings"]["lanes"].append(NEW)
            changed["settings"]["bounds"]["max_attempts"] = 2
            changed["discovery"] = "127.0.0.1:9"
            text = json.dumps(changed)
            broken = [text[:cut] for cut in range(0, len(text) - 1, 41)] + ["[]", "null", "7", text + "}"]
            broken += [json.dumps(without(changed, path)) for path in key_paths(conf)]
            for value in INVALID_VALUES:
                for key in ("give_up_ms", "objective_ms"):
                    lane = copy.deepcopy(changed)
                    lane["settings"]["lanes"][0][key] = value
                    broken.append(json.dumps(lane))
                bounds = copy.deepcopy(changed)
                bounds["settings"]["bounds"]["max_attempts"] = value
                broken.append(json.dumps(bounds))
            twice = copy.deepcopy(changed)
            twice["settings"]["lanes"][0]["name"] = "pay"
            broken.append(json.dumps(twice))
            before = node.settings, dict(node.classes.current), sidecar.config, sidecar.discovery._address  # type: ignore
            for data in broken:
                file.write(data)
                now = node.settings, node.classes.current, sidecar.config, sidecar.discovery._address  # type: ignore
                assert now == before, data
            assert status((await r.request(ship("s0")))[0]) == 400
            file.write(text)
            assert node.settings.max_attempts == 2 and b"ship" in node.classes.current

    run(test())


def test_repeated_reloads_do_not_grow_the_class_table(tmp_path: Path) -> None:
    async def test() -> None:
        endpoint, discovery = Endpoint(), Discovery([])
        async with run_sidecar(endpoint, discovery=discovery) as r:
            file = ConfigFile(tmp_path, r, setup(endpoint, discovery))
            for n in range(200):
                file.write_lanes({**REQUEST_CLASSES[0], "worth": n + 1}, *REQUEST_CLASSES[1:])
            assert len(r.sidecar.node.classes.classes) <= 4
            assert len(r.sidecar.engine._balancer.admission.class_mix) == len(r.sidecar.node.classes.classes)
            reader, writer = await r.connect()
            writer.write(idempotent_request())
            assert status((await read_message(reader))[0]) == 200
            writer.close()

    run(test())
