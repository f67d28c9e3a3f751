"""Sums over forty balancers side by side: what is harmless in one and harmful in all of them."""

from collections.abc import Callable

import pytest

from bench.fleet_simulation import CLIENTS, ENDPOINTS
from gateusher.policy.records import EndpointRecord
from gateusher.policy.slow_start import SlowStart

from .fleet_simulation import COLLAPSE_MULTIPLE, COLLAPSE_WINDOW_MS, FleetSimulation
from .slow_start_fleet import WAYS, play


def _overloaded(seed: int) -> FleetSimulation:
    """Forty clients at twice what their servers can do, with the sums of 5 s after the first four."""
    fleet = FleetSimulation(40, 29, 30.0, mean=50.0, seed=seed)
    fleet.run(4000)
    fleet.sums.clear()
    fleet.run(9000)
    return fleet


@pytest.mark.parametrize("seed", [1, 2])
def test_work_is_not_done_twice_where_all_servers_are_full(seed: int) -> None:
    """Half of the fleet is gone and the rest is full: an attempt that waits its turn there is not given up early."""
    fleet = _overloaded(seed)
    assert fleet.sums["REJECTED"] > fleet.sums["requested"] / 4  # it is overloaded indeed
    assert fleet.sums["wasted"] < 0.05 * fleet.sums["work"]


@pytest.mark.parametrize("seed", [1, 2])
def test_the_doors_of_all_clients_agree(seed: int) -> None:
    """All meet the same full servers, so none may shut out the best worth while another lets in the least."""
    fleet = _overloaded(seed)
    rooms = sorted(balancer.admission.admitted_share for balancer in fleet.clients)
    assert rooms[35] < 3.0 * rooms[4]
    assert fleet.sums["lost 1"] < 0.1 * (fleet.sums["lost 1"] + fleet.sums["served 1"])
    assert fleet.sums["lost 2"] < 0.4 * (fleet.sums["lost 2"] + fleet.sums["served 2"])
    assert fleet.sums["lost 0"] > fleet.sums["served 0"]


@pytest.mark.parametrize("seed", [1, 2])
def test_two_hundred_starts_ask_a_slow_list_once_each_and_all_have_it_in_time(seed: int) -> None:
    """Half of the servers in the list that they start with are gone, and the list takes 50 calls a second."""
    fleet = FleetSimulation(CLIENTS, ENDPOINTS, 5.0, seed=seed, list_rate=50)
    fleet.fail_endpoints(list(range(1, ENDPOINTS // 2 + 1)))
    fleet.run(10000)
    assert fleet.list_service
    assert len(fleet.list_service.notified) == CLIENTS
    assert max(fleet.list_service.notified.values()) < 10000 / 2
    assert len(fleet.list_service.calls) < 1.25 * CLIENTS


@pytest.mark.parametrize(
    ("notified_after", "most"), [(1000.0, 0.9), (None, 1.25)], ids=["notified", "never notified"]
)
def test_what_all_send_to_a_zone_that_is_back_stays_within_what_cold_servers_bear(
    notified_after: float | None, most: float
) -> None:
    """In parts of the budget of the fourth rule, which counts only what was notified; bench/ plays 20 seeds."""
    fleet = FleetSimulation(CLIENTS, ENDPOINTS, 14.0, seed=3)
    zone = list(range(1, 41))
    fleet.run(4000)
    fleet.fail_endpoints(zone)
    fleet.run(9000)
    fleet.restart_endpoints(zone, notified_after)
    fleet.run(14000)
    notified = 9000 + 1.5 * (notified_after or 0.0)
    worst = max(fleet.endpoints[endpoint_id].worst_window(COLLAPSE_WINDOW_MS, notified) for endpoint_id in zone)
    assert worst / COLLAPSE_MULTIPLE < most  # none is pushed over
    used = sum(sum(each.work for each in fleet.endpoints[endpoint_id].arrivals) for endpoint_id in zone)
    room = sum(
        5000.0 * (fleet.endpoints[endpoint_id].capacity(9000.0) + fleet.endpoints[endpoint_id].capacity(14000.0)) / 2
        for endpoint_id in zone
    )
    assert used > 0.6 * room  # and they are used while the others are full, or they would stay cold


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize(("clients", "seed"), [(6, 1), (6, 2), (20, 1), (20, 2), (30, 1), (30, 2), (200, 1)])
def test_the_ramp_holds_for_the_fleet_whatever_its_size(clients: int, seed: int, way: str) -> None:
    """No window put down to the notified is beyond N + 2 x root of N + 2, and cold servers are used all the same."""
    for notified in ("notified", "notified late", "a third each") if clients < CLIENTS else ("notified",):
        worst = play(clients, "full", way, notified, seed)
        assert worst.broken == 0 and worst.notified <= 1.0
        assert worst.used > (0.3 if notified != "notified" else 0.6)


def _undivided(times: float) -> Callable[[SlowStart, EndpointRecord], bool]:
    """Each takes as its own part what so many sidecars have together."""

    def has_budget(self: SlowStart, endpoint: EndpointRecord) -> bool:
        estimates = self._estimates
        rate, estimates.request_rate_per_ms = estimates.request_rate_per_ms, estimates.request_rate_per_ms * times
        try:
            return _HAS_BUDGET(self, endpoint)
        finally:
            estimates.request_rate_per_ms = rate

    return has_budget


def _all_at_once(self: SlowStart, endpoint: EndpointRecord, started_ms: float) -> None:
    """Each begins with a place, as if it were alone."""
    _BEGIN(self, endpoint, started_ms)
    endpoint.slow_start_credit = 1.0


_HAS_BUDGET, _BEGIN = SlowStart.has_budget, SlowStart.begin


@pytest.mark.parametrize(
    ("clients", "name", "fault"),
    [(20, "has_budget", _undivided(20.0)), (30, "has_budget", _undivided(30.0)), (200, "begin", _all_at_once)],
    ids=["20, undivided", "30, undivided", "200, all at once"],
)
def test_parts_that_do_not_shrink_with_the_fleet_are_noticed(
    clients: int, name: str, fault: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SlowStart, name, fault)
    assert play(clients, "full", "return", "notified", 1).broken > 0
