"""Fuzzing of the lines of the endpoint list."""

import copy
import json
import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from checker.world import World
from gateusher.policy.interface import EndpointState

from .inputs import FUZZ_SETTINGS, UNEXPECTED_VALUES, check_nothing_is_left, make_world, saved_inputs, split_at

LIST_ENTRIES = st.fixed_dictionaries(
    {"host": st.sampled_from(["n0", "n1", "n9"]), "health": st.sampled_from(["Ready", "Terminating", "Gone", "Odd"])},
    optional={
        "dial": st.one_of(st.sampled_from(["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:5"]), UNEXPECTED_VALUES),
        "site": st.one_of(st.sampled_from(["a", "b"]), UNEXPECTED_VALUES),
        "class": UNEXPECTED_VALUES,
        "block": UNEXPECTED_VALUES,
        "share": UNEXPECTED_VALUES,
        "born_ms": UNEXPECTED_VALUES,
    },
)

LIST_LINES = st.fixed_dictionaries(
    {
        "seq": st.one_of(st.integers(0, 9), UNEXPECTED_VALUES),
        "whole": st.one_of(st.booleans(), UNEXPECTED_VALUES),
        "hosts": st.one_of(st.lists(st.one_of(LIST_ENTRIES, UNEXPECTED_VALUES), max_size=3), UNEXPECTED_VALUES),
    }
)

LIST_TEXTS = st.one_of(
    LIST_LINES.map(lambda line: json.dumps(line).encode()),
    st.binary(max_size=20),
    st.just(b"[" * 100_000),
    st.just(b'{"seq":' + b"9" * 5000 + b"}"),
)


def check_list_lines(lines: list[bytes], cuts: list[int]) -> None:
    w = make_world(watched_list=True)
    try:
        w.node.discovery.watch()
        w.loop.settle()
        w._establish_watch(w.loop.dials[0])
        w.loop.settle()
        (watch,) = w.watches
        for line in lines:
            data = line + b"\n"
            before = copy.copy(w.balancer.endpoint_list.endpoints)
            for part in split_at(b"%x\r\n%b\r\n" % (len(data), data), cuts):
                watch.feed(part)
                w.loop.settle()
            assert not w.loop.errors
            assert {s.endpoint_id for s in w.balancer.control_set.ready} <= set(w.upstream._endpoints)
            assert all(w.upstream._endpoints[s.endpoint_id].ready for s in w.balancer.control_set.ready)
            for server in w.balancer.control_set.ready:
                assert all(math.isfinite(x) for x in (server.entry.capacity_share, server.entry.started_ms))
            if not watch.closing:
                check_drains_take_effect(w, line, before)
        check_nothing_is_left(w)
    finally:
        w.close()


def check_drains_take_effect(w: World, line: bytes, before: Any) -> None:
    """Check that each drain takes effect whose host name is readable, even if its entry is otherwise invalid."""
    try:
        update = json.loads(line)
    except (ValueError, RecursionError):
        return
    last_health = {e["host"]: e["health"] for e in update["hosts"] if isinstance(e, dict)}
    for name, health in last_health.items():
        host = next((h for h in w.upstream._endpoints.values() if h.name == name), None)
        if health in ("Terminating", "Gone") and host is not None:
            assert w.balancer.endpoint_list.endpoints[host.endpoint_id].entry.state is EndpointState.DRAINING
            assert not host.ready


@FUZZ_SETTINGS
@given(st.lists(LIST_TEXTS, min_size=1, max_size=3), st.lists(st.integers(0, 100_000), max_size=3))
def test_any_lines_of_the_endpoint_list(lines: list[bytes], cuts: list[int]) -> None:
    check_list_lines(lines, cuts)


@pytest.mark.parametrize("data", saved_inputs("list"))
def test_saved_lines_of_the_endpoint_list(data: bytes) -> None:
    check_list_lines(data.splitlines(), [])
