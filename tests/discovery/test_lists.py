"""Entries of endpoint lists, as the policy sees them."""

from typing import Any

import pytest

from gateusher.config.model import Names
from gateusher.discovery.lists import read_list
from gateusher.policy import Balancer
from gateusher.policy.interface import (
    DeduplicationScope,
    Effect,
    EndpointListUpdate,
    Fail,
    Outcome,
    Request,
    Send,
    UpdateKind,
)

from ..helpers import attempt_ended, make_settings

NAMES = Names({}, {}, {"a": 0, "d": 1}, {"m": 0})


def hosts(*sites: object) -> list[dict[str, Any]]:
    return [
        {"host": f"e{n}", "dial": f"127.0.0.1:{n + 1}", "site": site, "health": "Ready"}
        for n, site in enumerate(sites)
    ]


def read_zones(names: Names, *sites: object) -> list[int]:
    _, _, entries = read_list({"seq": 1, "whole": True, "hosts": hosts(*sites)}, names)
    return [entry.endpoint.zone for entry in entries]


def test_zones_that_the_settings_do_not_name_differ_from_all_others() -> None:
    zones = read_zones(NAMES, "a", "d", "b", "c", "b", "\ud800")
    assert zones[:2] == [0, 1] and zones[2] == zones[4]
    assert len(set(zones)) == 5


def test_without_named_zones_all_endpoints_are_in_the_zone_of_this_process() -> None:
    assert read_zones(NAMES._replace(zones={}), "a", "b", None) == [0, 0, 0]


@pytest.mark.parametrize("seed", range(5))
def test_no_keyed_retry_leaves_a_zone_that_the_settings_do_not_name(seed: int) -> None:
    balancer = Balancer(make_settings(Effect.KEYED, DeduplicationScope.ZONE), seed)
    _, _, entries = read_list({"seq": 1, "whole": True, "hosts": hosts("b")}, NAMES)
    balancer.handle(0.0, EndpointListUpdate(UpdateKind.COMPLETE, 1, (entries[0].endpoint,)))
    (send,) = balancer.handle(1.0, Request(1, 0, 3000))
    assert isinstance(send, Send)
    _, _, entries = read_list({"seq": 2, "whole": True, "hosts": hosts("b", *["c"] * 8)[1:]}, NAMES)
    balancer.handle(2.0, EndpointListUpdate(UpdateKind.COMPLETE, 2, tuple(entry.endpoint for entry in entries)))
    assert balancer.handle(3.0, attempt_ended(1, 0, send.endpoint, Outcome.RESET)) == [Fail(1)]
