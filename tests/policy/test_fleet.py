"""Sums over a simulated fleet: what is harmless in one balancer and harmful in all of them."""

from collections.abc import Callable

import pytest

from bench.fleet_simulation import CLIENTS, ENDPOINTS
from gateusher.policy.records import EndpointRecord
from gateusher.policy.slow_start import SlowStart

from .fleet_simulation import COLLAPSE_MULTIPLE, COLLAPSE_WINDOW_MS, FleetSimulation
from .slow_start_fleet import WAYS, play


def _overloaded(seed: int) -> FleetSimulation:
    """Forty clients at twice the capacity of their endpoints, with the sums of 5 s after the first four."""
    fleet = FleetSimulation(40, 29, 30.0, mean=50.0, seed=seed)
    fleet.run(4000)
    fleet.sums.clear()
    fleet.run(9000)
    return fleet


@pytest.mark.parametrize("seed", [1, 2])
def test_work_is_not_repeated_where_all_endpoints_are_full(seed: int) -> None:
    """Half of the fleet is down and the rest is full: an attempt that is queued there is not given up early."""
    fleet = _overloaded(seed)
    assert fleet.sums["REJECTED"] > fleet.sums["requested"] / 4  # it is overloaded
    assert fleet.sums["wasted"] < 0.05 * fleet.sums["work"]


@pytest.mark.parametrize("seed", [1, 2])
def test_admitted_shares_of_all_clients_agree(seed: int) -> None:
    """All meet the same full endpoints: none may reject the best priority while another admits the least."""
    fleet = _overloaded(seed)
    rooms = sorted(balancer.admission.admitted_share for balancer in fleet.clients)
    assert rooms[35] < 3.0 * rooms[4]
    assert fleet.sums["lost 1"] < 0.1 * (fleet.sums["lost 1"] + fleet.sums["served 1"])
    assert fleet.sums["lost 2"] < 0.4 * (fleet.sums["lost 2"] + fleet.sums["served 2"])
    assert fleet.sums["lost 0"] > fleet.sums["served 0"]


@pytest.mark.parametrize("seed", [1, 2])
def test_two_hundred_starts_poll_a_slow_list_once_each_and_in_time(seed: int) -> None:
    """Half of the endpoints in the cached list are down, and the list service takes 50 calls a second."""
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
def test_requests_to_a_restarted_zone_stay_within_the_slow_start_budget(
    notified_after: float | None, most: float
) -> None:
    """In parts of the slow-start budget, which counts notified clients only; bench/ plays 20 seeds."""
    fleet = FleetSimulation(CLIENTS, ENDPOINTS, 14.0, seed=3)
    zone = list(range(1, 41))
    fleet.run(4000)
    fleet.fail_endpoints(zone)
    fleet.run(9000)
    fleet.restart_endpoints(zone, notified_after)
    fleet.run(14000)
    notified = 9000 + 1.5 * (notified_after or 0.0)
    worst = max(fleet.endpoints[endpoint_id].worst_window(COLLAPSE_WINDOW_MS, notified) for endpoint_id in zone)
    assert worst / COLLAPSE_MULTIPLE < most  # none collapses
    used = sum(sum(each.work for each in fleet.endpoints[endpoint_id].arrivals) for endpoint_id in zone)
    room = sum(
        5000.0 * (fleet.endpoints[endpoint_id].capacity(9000.0) + fleet.endpoints[endpoint_id].capacity(14000.0)) / 2
        for endpoint_id in zone
    )
    assert used > 0.6 * room  # and they are used while the others are full


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize(("clients", "seed"), [(6, 1), (6, 2), (20, 1), (20, 2), (30, 1), (30, 2), (200, 1)])
def test_slow_start_budget_holds_for_any_fleet_size(clients: int, seed: int, way: str) -> None:
    """No window of notified clients is beyond N + 2 x root of N + 2, and warming endpoints are used."""
    for notified in ("notified", "notified late", "a third each") if clients < CLIENTS else ("notified",):
        worst = play(clients, "full", way, notified, seed)
        assert worst.broken == 0 and worst.notified <= 1.0
        assert worst.used > (0.3 if notified != "notified" else 0.6)


def _undivided(times: float) -> Callable[[SlowStart, EndpointRecord], bool]:
    """Each client takes as its share the budget of so many."""

    def has_budget(self: SlowStart, endpoint: EndpointRecord) -> bool:
        estimates = self._estimates
        rate, estimates.request_rate_per_ms = estimates.request_rate_per_ms, estimates.request_rate_per_ms * times
        try:
            return _HAS_BUDGET(self, endpoint)
        finally:
            estimates.request_rate_per_ms = rate

    return has_budget


def _all_at_once(self: SlowStart, endpoint: EndpointRecord, started_ms: float) -> None:
    """Each client begins with a whole credit, as if it were alone."""
    _BEGIN(self, endpoint, started_ms)
    endpoint.slow_start_credit = 1.0


_HAS_BUDGET, _BEGIN = SlowStart.has_budget, SlowStart.begin


@pytest.mark.parametrize(
    ("clients", "name", "fault"),
    [(20, "has_budget", _undivided(20.0)), (30, "has_budget", _undivided(30.0)), (200, "begin", _all_at_once)],
    ids=["20, undivided", "30, undivided", "200, all at once"],
)
def test_budgets_that_ignore_the_fleet_size_are_detected(
    clients: int, name: str, fault: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SlowStart, name, fault)
    assert play(clients, "full", "return", "notified", 1).broken > 0
