"""Checks what a simulated fleet sends to endpoints in slow start against the slow-start budget.

Requests of mean work are counted in any window.  N is the number that the settings allow an endpoint of its
capacity, and N + 2 x root of N + 2 allows for chance.  A window beyond that is attributed to the fleet if more than
two thirds of its requests came from clients that had been notified of the start.
"""

from __future__ import annotations

from collections.abc import Callable
from math import sqrt
from random import Random
from typing import NamedTuple

from .fleet_simulation import COLLAPSE_MULTIPLE, COLLAPSE_WINDOW_MS, FleetSimulation, SimulatedEndpoint

MEAN_MS = 33.0
SIZES = {6: 12, 20: 20, 30: 24, 200: 120}  # by number of clients: number of endpoints
SLOW_KIND_FACTOR = 2.0  # every second endpoint is of a kind that takes this much longer
LOADS = {"ordinary": (0.7, 1.5), "full": (1.0, 2.0)}  # share of the fleet's full capacity, and factor of the surge
FAIL_AT_MS, RESTART_AT_MS, END_AT_MS = 4000.0, 9000.0, 19000.0  # of the failed third of the endpoints, and the end
SURGE_MS = 4000.0  # duration of the surge that begins with the restart

NotificationDelay = Callable[[Random], float | None]  # in ms; None: the client is never notified
NOTIFICATION_DELAYS: dict[str, NotificationDelay] = {
    "notified": lambda rng: rng.uniform(500.0, 1500.0),
    "notified late": lambda rng: rng.uniform(4000.0, 5800.0),
    "not notified": lambda rng: None,
    "a third each": lambda rng: rng.choice([rng.uniform(500.0, 1500.0), rng.uniform(4000.0, 5800.0), None]),
}
SCENARIOS = ("restarted", "replaced")


class SlowStartResult(NamedTuple):
    """Results over all endpoints that were in slow start.

    `worst_notified` and `worst_any` are the maximum of requests over N + 2 x root of N + 2, in the windows that are
    attributed to the fleet and in all windows.  `share_beyond` is the share of windows with more than N requests,
    `violations` the number of windows attributed to the fleet that exceed the limit, and `used_capacity` the
    requested share of the endpoints' capacity.
    """

    worst_notified: float
    worst_any: float
    share_beyond: float
    violations: int
    used_capacity: float


def evaluate(endpoints: list[SimulatedEndpoint]) -> SlowStartResult:
    """Check the requests that these endpoints received during their slow start."""
    worst_notified = worst_any = 0.0
    beyond = violations = count = 0
    for endpoint in endpoints:
        for requests, notified, _, capacity in endpoint.windows(COLLAPSE_WINDOW_MS):
            allowed = COLLAPSE_MULTIPLE * capacity * COLLAPSE_WINDOW_MS / endpoint.mean_ms
            ratio = requests / (allowed + 2 * sqrt(allowed) + 2)
            worst_any, count, beyond = max(worst_any, ratio), count + 1, beyond + (requests > allowed)
            if notified > 2 * requests / 3:
                worst_notified, violations = max(worst_notified, ratio), violations + (ratio > 1)
    used = [
        len(endpoint.arrivals) * endpoint.mean_ms / (endpoint.slow_start_ms * (1 + endpoint.initial_share) / 2)
        for endpoint in endpoints
    ]
    return SlowStartResult(worst_notified, worst_any, beyond / max(1, count), violations, sum(used) / len(used))


def simulate(clients: int, load: str, scenario: str, notification: str, seed: int) -> SlowStartResult:
    """Restart or replace a third of the endpoints during a surge, with uneven request rates of the clients."""
    rng, endpoints, (load_share, surge) = Random(seed), SIZES[clients], LOADS[load]
    weights = [rng.lognormvariate(0.0, 0.8) for _ in range(clients)]
    total_per_s = load_share * endpoints * 1000.0 / MEAN_MS * (1 + 1 / SLOW_KIND_FACTOR) / 2
    fleet = FleetSimulation(
        clients,
        endpoints,
        [total_per_s * weight / sum(weights) for weight in weights],
        mean_ms=MEAN_MS,
        seed=seed,
        slow_kind_factor=SLOW_KIND_FACTOR,
    )
    third = list(range(1, endpoints // 3 + 1))
    delays_ms = {i: NOTIFICATION_DELAYS[notification](rng) for i in range(clients)}
    fleet.run(FAIL_AT_MS)
    if scenario == "restarted":
        fleet.fail_endpoints(third)
    fleet.run(RESTART_AT_MS)
    fleet.surge = surge
    if scenario == "restarted":
        fleet.restart_endpoints(third, lambda i: delays_ms[i])
    else:
        fleet.replace_endpoints(third, lambda i: delays_ms[i])
    fleet.run(RESTART_AT_MS + SURGE_MS)
    fleet.surge = 1.0
    fleet.run(END_AT_MS)
    return evaluate([endpoint for endpoint in fleet.endpoints.values() if endpoint.started_at_ms >= RESTART_AT_MS])
