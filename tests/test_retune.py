"""New settings in service: what is taken up, what is left alone, and which files change nothing."""

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
from gateusher.config.classes import RequestClass, RequestClassTable
from gateusher.config.model import usual_methods
from gateusher.listeners import server as server_module
from gateusher.policy.interface import (
    ClassSettings,
    ClientDisconnected,
    Effect,
    Fail,
    Outcome,
    Reject,
    Request,
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


def kinds(config: dict[bytes, ClassSettings]) -> list[RequestClass]:
    return [RequestClass(name, s, usual_methods(s.effect)) for name, s in config.items()]


def forbids(new: Effect, old: Effect) -> bool:
    order = [Effect.IDEMPOTENT, Effect.KEYED, Effect.NOT_IDEMPOTENT]
    return order.index(new) > order.index(old)


@given(CONFIGS, st.lists(st.tuples(CONFIGS, st.integers(0, 2**32)), max_size=12))
def test_no_open_request_ever_sees_its_class_change(
    first: dict[bytes, ClassSettings], rest: list[tuple[dict[bytes, ClassSettings], int]]
) -> None:
    table = RequestClassTable(kinds(first))
    held: dict[int, RequestClass] = {}  # slots of open requests, and what they meant when these came
    once: set[int] = set()  # those of which a later word forbids a repeat
    for config, seed in rest:
        draw = random.Random(seed)
        held = {slot: kind for slot, kind in held.items() if draw.random() < 0.5}
        held |= {slot: table.classes[slot] for slot in table.current.values() if draw.random() < 0.5}
        before, was = dict(table.current), list(table.classes)
        change = table.change(kinds(config), held)
        assert all(change.classes[slot] == kind for slot, kind in held.items())
        assert {name: change.classes[slot] for name, slot in table.current.items()} == {
            kind.name: kind for kind in kinds(config)
        }
        assert all(change.classes[slot] == was[slot] for slot in before.values()), "a former meaning is kept"
        assert table.former == {n: s for n, s in before.items() if table.current.get(n) != s}
        assert sorted(change.live) == sorted(table.current.values())
        assert len(set(change.live)) == len(config)
        same = {k.name for k in kinds(config) if k.name in before and was[before[k.name]] == k}
        assert all(table.current[name] == before[name] for name in same), "what hasn't changed stays where it is"
        changed = {slot for slot, _ in change.replaced}
        once = {slot for slot in once if slot not in changed} | {
            slot
            for slot, kind in {**held, **{s: was[s] for s in before.values()}}.items()
            if kind.name in config and forbids(config[kind.name].effect, kind.settings.effect)
        }
        assert change.never_repeat == once, "and only the stricter word reaches open requests"
        assert all(change.classes[i] == was[i] for i in range(len(was)) if i not in changed)
        assert all(heir == before.get(change.classes[slot].name) for slot, heir in change.replaced)
    assert len(table.classes) <= 16  # four names, now and before, and what open requests hold


# -- the module

SAFE, UNSAFE = (
    ClassSettings(effect, latency_objective_ms=1000, deadline_ms=3000, priority_weight=1)
    for effect in (Effect.IDEMPOTENT, Effect.NOT_IDEMPOTENT)
)


def test_a_request_in_hand_keeps_its_class() -> None:
    """Unsafe until a moment ago: what may have run is not sent again, although its class is safe now."""
    balancer = make_balancer(3, make_settings(classes=(UNSAFE,)))
    (sent,) = balancer.handle(1.0, Request(1, 0, 3000))
    assert isinstance(sent, Send)
    assert balancer.handle(2.0, SettingsChanged(make_settings(classes=(UNSAFE, SAFE)), ((1, 0),), (1,))) == []
    acts = balancer.handle(3.0, attempt_ended(1, 0, sent.endpoint, Outcome.RESET))
    assert [type(a).__name__ for a in acts if not isinstance(a, Send)] == ["Fail"]
    (again,) = balancer.handle(4.0, Request(2, 1, 3000))
    assert isinstance(again, Send)
    acts = balancer.handle(5.0, attempt_ended(2, 0, again.endpoint, Outcome.RESET))
    assert any(isinstance(a, Send) for a in acts)


@pytest.mark.parametrize(("before", "after", "allowed"), [(6, 2, 2), (2, 6, 2), (6, 1, 1)])
def test_attempts_are_the_fewer_of_what_held_and_holds(before: int, after: int, allowed: int) -> None:
    balancer = make_balancer(8, make_settings(classes=(SAFE,), max_attempts=before))
    now, sent = 1.0, 0
    acts = balancer.handle(now, Request(1, 0, 60000))
    balancer.handle(now, SettingsChanged(make_settings(classes=(SAFE,), max_attempts=after), (), (0,)))
    while any(isinstance(a, Send) for a in acts):
        sent += 1
        endpoint = next(a.endpoint for a in acts if isinstance(a, Send))
        now += 1.0
        acts = balancer.handle(now, attempt_ended(1, sent - 1, endpoint, Outcome.ERROR))
    assert sent == allowed
    assert any(isinstance(a, Reject) for a in acts)


def test_what_was_learnt_of_a_class_goes_on_under_its_new_index() -> None:
    balancer = make_balancer(4, make_settings(classes=(SAFE,)))
    for rid in range(1, 40):
        (sent,) = (a for a in balancer.handle(float(rid * 100), Request(rid, 0, 3000)) if isinstance(a, Send))
        balancer.handle(rid * 100 + 20.0, attempt_ended(rid, 0, sent.endpoint, Outcome.OK, 20.0))
    learnt = (
        balancer.estimates.service_time_ms[0],
        balancer.estimates.latency_target_ms[0],
        balancer.estimates.samples[0],
    )
    assert learnt[0] < 200
    balancer.handle(5000.0, SettingsChanged(make_settings(classes=(SAFE, UNSAFE, SAFE)), ((1, 0), (2, None)), (1, 2)))
    assert (
        balancer.estimates.service_time_ms[1],
        balancer.estimates.latency_target_ms[1],
        balancer.estimates.samples[1],
    ) == learnt
    assert (balancer.estimates.service_time_ms[2], balancer.estimates.samples[2]) == (250.0, 0)
    assert balancer.admission.class_mix[0] == 0.0


@given(
    st.lists(st.tuples(CONFIGS, st.lists(st.sampled_from(["ask", "end", "leave"]), max_size=8)), max_size=6),
    st.integers(0, 99),
)
def test_any_order_of_settings_and_requests_is_taken(
    rounds: list[tuple[dict[bytes, ClassSettings], list[str]]], seed: int
) -> None:
    """No request gets more attempts than are allowed, and an unsafe one that may have run no second."""
    first = {b"a": SAFE}
    table, balancer = RequestClassTable(kinds(first)), make_balancer(4, make_settings(classes=(SAFE,)), seed)
    draw, now, rid = random.Random(seed), 1.0, 0
    out: dict[int, tuple[int, int, Effect, int]] = {}  # request: attempts, endpoint, effect, slot
    for config, steps in rounds:
        change = table.change(kinds(config), {entry[3] for entry in out.values()})
        conf = make_settings(classes=tuple(k.settings for k in change.classes), max_attempts=draw.randint(1, 6))
        acts = balancer.handle(now, SettingsChanged(conf, change.replaced, change.live))
        for step in steps:
            now += draw.uniform(1, 300)
            if step == "ask" or not out:
                rid += 1
                slot = draw.choice(change.live)
                acts = balancer.handle(now, Request(rid, slot, 3000))
                out[rid] = 0, 0, change.classes[slot].settings.effect, slot
                request, ran = rid, False
            elif step == "leave":
                request = draw.choice(list(out))
                acts, ran = balancer.handle(now, ClientDisconnected(request)), False
                out.pop(request)
            else:
                request = draw.choice(list(out))
                tries, endpoint, _, _ = out[request]
                if not tries:
                    continue
                outcome = draw.choice([Outcome.OK, Outcome.RESET, Outcome.REJECTED, Outcome.ERROR])
                ran = outcome in (Outcome.RESET, Outcome.ERROR)
                acts = balancer.handle(now, attempt_ended(request, tries - 1, endpoint, outcome))
                if outcome is Outcome.OK:
                    out.pop(request)
            for act in acts:
                if isinstance(act, Send):
                    tries, _, effect, slot = out[act.request]
                    assert not (ran and act.request == request and effect is Effect.NOT_IDEMPOTENT)
                    out[act.request] = tries + 1, act.endpoint, effect, slot
                    assert tries < 6
                elif type(act).__name__ != "SetTimer" and hasattr(act, "request"):
                    out.pop(act.request, None)


# -- the daemon

NEW = {
    "name": "ship",
    "effect": "deduplicated",
    "objective_ms": 1500,
    "give_up_ms": 2000,
    "worth": 3,
    "window_ms": 5000,
}


class File:
    """The platform's file, and SIGHUP."""

    def __init__(self, folder: Path, r: Any, conf: dict[str, Any]) -> None:
        self.path, self.r, self.conf = folder / "config.json", r, conf

    def write(self, text: str) -> None:
        self.path.write_text(text)
        env = {"BALANCER_CONFIG": str(self.path), "BALANCER_LISTEN": "127.0.0.1:1"}
        make_reloader(self.r.sidecar, None, env).reload()

    def lanes(self, *lanes: dict[str, Any], **bounds: Any) -> None:
        conf = copy.deepcopy(self.conf)
        conf["settings"]["lanes"] = list(lanes)
        conf["settings"]["bounds"] |= bounds
        self.write(json.dumps(conf))


def setup(endpoint: Endpoint, discovery: Discovery) -> dict[str, Any]:
    discovery.hosts = [host_entry("e0", endpoint.port)]
    return configuration(discovery.hosts, discovery.port)


def ship(rid: str) -> bytes:
    return at_most_once_request(rid, extra_headers=b"Idempotency-Key: k\r\nContent-Length: 0\r\n").replace(
        b"pay", b"ship"
    )


def test_classes_come_go_and_change_while_requests_are_open(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "PREVIOUS_CLASSES_S", 1e9)

    async def test() -> None:
        go, came = asyncio.Event(), asyncio.Event()

        async def wait(head: bytes, writer: Writer) -> None:
            if b"open" in head:
                came.set()
                await go.wait()
                writer.transport.abort()  # it may have run
            else:
                writer.write(OK_RESPONSE)

        endpoint, discovery = Endpoint(wait), Discovery([])
        async with run_sidecar(endpoint, discovery=discovery) as r:
            file = File(tmp_path, r, setup(endpoint, discovery))
            assert status((await r.request(ship("s0")))[0]) == 400
            opened = asyncio.create_task(r.request(at_most_once_request("open")))
            await came.wait()
            # 'pay' was unsafe and is safe now; 'ship' is new; 'look' is gone.
            file.lanes({**REQUEST_CLASSES[1], "effect": "idempotent"}, NEW, max_attempts=3)
            assert status((await r.request(ship("s1")))[0]) == 200
            assert (
                status((await r.request(idempotent_request("p1").replace(b"look", b"pay")))[0]) == 200
            )  # as it is now
            assert status((await r.request(at_most_once_request("p2")))[0]) == 200  # as it was
            assert status((await r.request(idempotent_request("l1")))[0]) == 200  # dropped just now
            go.set()
            head, _ = await opened
            assert status(head) == 502  # kept as unsafe: not sent again, and no word of harmless repeats
            assert sum(b"open" in seen for seen in endpoint.request_heads) == 1
            r.sidecar.server._previous_classes_until_s = 0.0
            r.sidecar.server.sweep()
            assert [
                status((await r.request(data))[0])
                for data in (at_most_once_request("p3"), idempotent_request("l2"), ship("s2"))
            ] == [405, 400, 200]
            assert r.sidecar.node.settings.max_attempts == 3
            file.lanes(*REQUEST_CLASSES)
            assert status((await r.request(idempotent_request("l3")))[0]) == 200
            assert status((await r.request(at_most_once_request("p4")))[0]) == 200

    run(test())


@pytest.mark.parametrize(
    ("before", "after", "sends", "said"),
    [
        ("idempotent", "at_most_once", 1, 502),
        ("idempotent", "deduplicated", 1, 502),
        ("idempotent", "idempotent", 2, 200),
        ("at_most_once", "idempotent", 1, 502),
    ],
)
def test_a_name_that_changes_its_effect_under_an_attempt(
    before: str, after: str, sends: int, said: int, tmp_path: Path
) -> None:
    """The stricter of both holds: the endpoint that has it may go by the new word already."""

    async def test() -> None:
        came, go = asyncio.Event(), asyncio.Event()

        async def once(head: bytes, writer: Writer) -> None:
            if b"open" in head and not go.is_set():
                came.set()
                await go.wait()
                writer.transport.abort()  # it may have run
            else:
                writer.write(OK_RESPONSE)

        endpoint, discovery = Endpoint(once), Discovery([])
        async with run_sidecar(endpoint, discovery=discovery) as r:
            file, lane = File(tmp_path, r, setup(endpoint, discovery)), {**REQUEST_CLASSES[0], "window_ms": 5000}
            file.lanes({**lane, "effect": before}, REQUEST_CLASSES[1])
            asked = (
                idempotent_request("open")
                if before == "idempotent"
                else at_most_once_request("open").replace(b"pay", b"look")
            )
            opened = asyncio.create_task(r.request(asked))
            await came.wait()
            file.lanes({**lane, "effect": after, "worth": 2}, REQUEST_CLASSES[1])
            go.set()
            head, _ = await opened
            assert status(head) == said and sum(b"open" in seen for seen in endpoint.request_heads) == sends
            file.lanes(
                {**lane, "effect": "idempotent", "worth": 3}, REQUEST_CLASSES[1]
            )  # and what comes now goes by this
            assert status((await r.request(idempotent_request("new")))[0]) == 200

    run(test())


def test_a_request_that_is_held_when_its_class_becomes_unsafe_is_not_sent_again() -> None:
    """It may have run, and waits for another attempt as the new word comes."""
    balancer = make_balancer(2, make_settings(classes=(SAFE,), max_attempts=6))
    (sent,) = [a for a in balancer.handle(0.0, Request(1, 0, 3000)) if isinstance(a, Send)]
    for server in balancer.endpoint_list.endpoints.values():
        server.ejected_until_ms = 1e9  # nobody else to ask: the request is held
    acts = balancer.handle(1.0, attempt_ended(1, 0, sent.endpoint, Outcome.RESET))
    (timer,) = [a for a in acts if isinstance(a, SetTimer)]
    balancer.handle(2.0, SettingsChanged(make_settings(classes=(SAFE, UNSAFE)), ((1, 0),), (1,), frozenset({0})))
    for server in balancer.endpoint_list.endpoints.values():
        server.ejected_until_ms = 0.0
    acts = balancer.handle(3.0 + timer.delay_ms, TimerFired(timer.token))
    assert [type(a) for a in acts] == [Fail]


def paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Every key in a configuration, but for the list of endpoints."""
    found: list[tuple[Any, ...]] = []
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in items:
        if key in ("known", "peers"):
            continue
        if isinstance(value, dict):
            found.append((*path, key))
        found += paths(item, (*path, key))
    return found


def without(conf: dict[str, Any], path: tuple[Any, ...]) -> dict[str, Any]:
    conf = copy.deepcopy(conf)
    at: Any = conf
    for key in path[:-1]:
        at = at[key]
    del at[path[-1]]
    return conf


BAD = [0, -1, -0.5, "6", None, True, [], {}, float("nan"), float("inf"), ""]


def test_of_a_file_that_is_broken_nothing_is_taken(tmp_path: Path) -> None:
    async def test() -> None:
        endpoint, discovery = Endpoint(), Discovery([])
        async with run_sidecar(endpoint, discovery=discovery) as r:
            conf = setup(endpoint, discovery)
            sidecar = r.sidecar
            sidecar.config = sidecar.config._replace(shape={k: v for k, v in conf.items() if k != "known"})
            node, file = sidecar.node, File(tmp_path, r, conf)
            changed = copy.deepcopy(conf)  # what each broken file would bring besides
            changed["settings"]["lanes"].append(NEW)
            changed["settings"]["bounds"]["max_attempts"] = 2
            changed["discovery"] = "127.0.0.1:9"
            text = json.dumps(changed)
            broken = [text[:cut] for cut in range(0, len(text) - 1, 41)] + ["[]", "null", "7", text + "}"]
            broken += [json.dumps(without(changed, path)) for path in paths(conf)]
            for value in BAD:
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


def test_a_thousand_reloads_take_no_more_room_than_two(tmp_path: Path) -> None:
    async def test() -> None:
        endpoint, discovery = Endpoint(), Discovery([])
        async with run_sidecar(endpoint, discovery=discovery) as r:
            file = File(tmp_path, r, setup(endpoint, discovery))
            for n in range(200):
                file.lanes({**REQUEST_CLASSES[0], "worth": n + 1}, *REQUEST_CLASSES[1:])
            assert len(r.sidecar.node.classes.classes) <= 4
            assert len(r.sidecar.engine._balancer.admission.class_mix) == len(r.sidecar.node.classes.classes)
            reader, writer = await r.connect()
            writer.write(idempotent_request())
            assert status((await read_message(reader))[0]) == 200
            writer.close()

    run(test())
