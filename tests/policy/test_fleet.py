"""Effects that only the total over a whole fleet of balancers shows, in a simulation."""

from collections.abc import Callable

import pytest

from bench.fleet_simulation import CLIENTS, ENDPOINTS
from gateusher.policy.records import EndpointRecord
from gateusher.policy.slow_start import SlowStart

from .fleet_simulation import COLLAPSE_MULTIPLE, COLLAPSE_WINDOW_MS, FleetSimulation
from .slow_start_fleet import SCENARIOS, simulate


def _overloaded(seed: int) -> FleetSimulation:
    """Simulate 40 clients at twice the capacity of their endpoints; the totals cover 5 s after the first 4 s."""
    fleet = FleetSimulation(40, 29, 30.0, mean_ms=50.0, seed=seed)
    fleet.run(4000)
    fleet.totals.clear()
    fleet.run(9000)
    return fleet


@pytest.mark.parametrize("seed", [1, 2])
def test_full_fleet_wastes_little_work_on_abandoned_attempts(seed: int) -> None:
    """Attempts that time out while queued on full endpoints are executed all the same, and again after a retry."""
    fleet = _overloaded(seed)
    assert fleet.totals["REJECTED"] > fleet.totals["requested"] / 4  # the fleet is overloaded
    assert fleet.totals["wasted"] < 0.05 * fleet.totals["work"]


@pytest.mark.parametrize("seed", [1, 2])
def test_admitted_shares_of_all_clients_agree(seed: int) -> None:
    """With the same full endpoints no client may reject the highest priority while another admits the lowest."""
    fleet = _overloaded(seed)
    admitted_shares = sorted(balancer.admission.admitted_share for balancer in fleet.clients)
    assert admitted_shares[35] < 3.0 * admitted_shares[4]
    assert fleet.totals["lost 1"] < 0.1 * (fleet.totals["lost 1"] + fleet.totals["served 1"])
    assert fleet.totals["lost 2"] < 0.4 * (fleet.totals["lost 2"] + fleet.totals["served 2"])
    assert fleet.totals["lost 0"] > fleet.totals["served 0"]


@pytest.mark.parametrize("seed", [1, 2])
def test_clients_that_start_together_poll_a_slow_list_in_time_and_rarely_twice(seed: int) -> None:
    """Half of the endpoints in the cached list are down, and the list service serves 50 calls per second."""
    fleet = FleetSimulation(CLIENTS, ENDPOINTS, 5.0, seed=seed, list_rate_per_s=50)
    fleet.fail_endpoints(list(range(1, ENDPOINTS // 2 + 1)))
    fleet.run(10000)
    assert fleet.list_service
    assert len(fleet.list_service.notified) == CLIENTS
    assert max(fleet.list_service.notified.values()) < 10000 / 2
    assert len(fleet.list_service.calls) < 1.25 * CLIENTS


@pytest.mark.parametrize(
    ("notified_after_ms", "max_ratio"), [(1000.0, 0.9), (None, 1.25)], ids=["notified", "never notified"]
)
def test_requests_to_a_restarted_zone_stay_within_the_slow_start_budget(
    notified_after_ms: float | None, max_ratio: float
) -> None:
    """`max_ratio` is relative to the slow-start budget, which counts notified clients only; bench/ runs 20 seeds."""
    fleet = FleetSimulation(CLIENTS, ENDPOINTS, 14.0, seed=3)
    zone = list(range(1, 41))
    fleet.run(4000)
    fleet.fail_endpoints(zone)
    fleet.run(9000)
    fleet.restart_endpoints(zone, notified_after_ms)
    fleet.run(14000)
    all_notified_ms = 9000 + 1.5 * (notified_after_ms or 0.0)
    worst = max(
        fleet.endpoints[endpoint_id].worst_window(COLLAPSE_WINDOW_MS, all_notified_ms) for endpoint_id in zone
    )
    assert worst / COLLAPSE_MULTIPLE < max_ratio  # no endpoint collapses
    used_ms = sum(sum(arrival.work_ms for arrival in fleet.endpoints[endpoint_id].arrivals) for endpoint_id in zone)
    capacity_ms = sum(
        5000.0 * (fleet.endpoints[endpoint_id].capacity(9000.0) + fleet.endpoints[endpoint_id].capacity(14000.0)) / 2
        for endpoint_id in zone
    )
    assert used_ms > 0.6 * capacity_ms  # they are used while the others are full


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize(("clients", "seed"), [(6, 1), (6, 2), (20, 1), (20, 2), (30, 1), (30, 2), (200, 1)])
def test_slow_start_budget_holds_for_any_fleet_size(clients: int, seed: int, scenario: str) -> None:
    """No window of notified clients exceeds N + 2 x root of N + 2, and warming endpoints are used."""
    for notification in ("notified", "notified late", "a third each") if clients < CLIENTS else ("notified",):
        result = simulate(clients, "full", scenario, notification, seed)
        assert result.violations == 0 and result.worst_notified <= 1.0
        assert result.used_capacity > (0.3 if notification != "notified" else 0.6)


def _undivided_budget(clients: float) -> Callable[[SlowStart, EndpointRecord], bool]:
    """Return a `has_budget` that gives each client the budget of all `clients`."""

    def has_budget(self: SlowStart, endpoint: EndpointRecord) -> bool:
        estimates = self._estimates
        rate, estimates.request_rate_per_ms = estimates.request_rate_per_ms, estimates.request_rate_per_ms * clients
        try:
            return _HAS_BUDGET(self, endpoint)
        finally:
            estimates.request_rate_per_ms = rate

    return has_budget


def _begin_with_full_credit(self: SlowStart, endpoint: EndpointRecord, started_ms: float) -> None:
    """Give each client a full initial credit, as if it were the only client."""
    _BEGIN(self, endpoint, started_ms)
    endpoint.slow_start_credit = 1.0


_HAS_BUDGET, _BEGIN = SlowStart.has_budget, SlowStart.begin


@pytest.mark.parametrize(
    ("clients", "name", "fault"),
    [
        (20, "has_budget", _undivided_budget(20.0)),
        (30, "has_budget", _undivided_budget(30.0)),
        (200, "begin", _begin_with_full_credit),
    ],
    ids=["20, undivided budget", "30, undivided budget", "200, full credit"],
)
def test_budgets_that_ignore_the_fleet_size_are_detected(
    clients: int, name: str, fault: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SlowStart, name, fault)
    assert simulate(clients, "full", "restarted", "notified", 1).violations > 0
