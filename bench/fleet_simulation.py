"""Simulates 200 balancers in virtual time: a start with a slow endpoint list, and the restart of a zone.

    python -m bench.fleet_simulation

Runs 20 seeds of each on all cores and prints the tables of docs/design/fleet.md.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from tests.policy.fleet_simulation import COLLAPSE_MULTIPLE, COLLAPSE_WINDOW_MS, FleetSimulation

CLIENTS = 200
ENDPOINTS = 120
ZONE = range(1, 41)  # the endpoints that restart
SEEDS = range(1, 21)
START_END_MS = 15000
FAIL_AT_MS, RESTART_AT_MS, RESTART_END_MS = 4000, 9000, 19000


def simulate_start(seed: int, list_rate_per_s: float, failed: int) -> tuple[int, int, float, float]:
    """Return the most calls in a second, all calls, and when the median and the last client had its list (s)."""
    fleet = FleetSimulation(CLIENTS, ENDPOINTS, 5.0, seed=seed, list_rate_per_s=list_rate_per_s)
    fleet.fail_endpoints(list(range(1, failed + 1)))
    fleet.run(START_END_MS)
    assert fleet.list_service
    notified = sorted(fleet.list_service.notified.values())
    last_s = notified[-1] / 1000 if len(notified) == CLIENTS else float("inf")
    median_s = notified[len(notified) // 2] / 1000
    return fleet.list_service.max_calls_per_second(), len(fleet.list_service.calls), median_s, last_s


def simulate_restart(
    seed: int, rate_per_s: float, notified_after_ms: float | None
) -> tuple[float, float, float, float]:
    """Return the load of the restarted endpoints during their slow start.

    The results are the worst window of work over its budget, the worst window after all clients were notified, the
    mean of the endpoints' worst windows, and the mean requested share of their capacity.
    """
    fleet = FleetSimulation(CLIENTS, ENDPOINTS, rate_per_s, seed=seed)
    fleet.run(FAIL_AT_MS)
    fleet.fail_endpoints(list(ZONE))
    fleet.run(RESTART_AT_MS)
    fleet.restart_endpoints(list(ZONE), notified_after_ms)
    fleet.run(RESTART_END_MS)
    endpoints = [fleet.endpoints[endpoint_id] for endpoint_id in ZONE]
    windows = [endpoint.worst_window(COLLAPSE_WINDOW_MS) / COLLAPSE_MULTIPLE for endpoint in endpoints]
    all_notified_ms = RESTART_AT_MS + 1.5 * (notified_after_ms or 0.0)
    notified = [
        endpoint.worst_window(COLLAPSE_WINDOW_MS, all_notified_ms) / COLLAPSE_MULTIPLE for endpoint in endpoints
    ]
    used = [
        sum(arrival.work_ms for arrival in endpoint.arrivals)
        / (endpoint.slow_start_ms * (1 + endpoint.initial_share) / 2)
        for endpoint in endpoints
    ]
    return max(windows), max(notified), statistics.fmean(windows), statistics.fmean(used)


def _cells(pool: ProcessPoolExecutor, simulate: Callable[[int], tuple[float, ...]]) -> Iterator[str]:
    """Simulate each seed, and yield the minimum, median and maximum of each result."""
    rows = list(pool.map(simulate, SEEDS))
    for column in zip(*rows, strict=True):
        yield f"{min(column):.2f} / {statistics.median(column):.2f} / {max(column):.2f}"


def main() -> None:
    """Print both tables."""
    with ProcessPoolExecutor() as pool:
        print(
            "| starts of 200 clients: list calls per second served, endpoints down | maximum calls in a second | "
            "calls | median client's list, s | last client's list, s |\n|---|---|---|---|---|"
        )
        for list_rate_per_s, failed in ((50, 0), (50, 60), (100, 60), (400, 60)):
            cells = _cells(pool, partial(simulate_start, list_rate_per_s=list_rate_per_s, failed=failed))
            print(f"| {list_rate_per_s}, {failed} | {' | '.join(cells)} |", flush=True)
        print(
            "\n| 40 of 120 endpoints restart | worst window of the worst endpoint, of its budget | after all are "
            "notified | mean of all 40 | requested share of their capacity |\n|---|---|---|---|---|"
        )
        for rate_per_s in (8.0, 14.0):
            for name, notified_after_ms in (("notified after 0.5 to 1.5 s", 1000.0), ("never notified", None)):
                cells = _cells(
                    pool, partial(simulate_restart, rate_per_s=rate_per_s, notified_after_ms=notified_after_ms)
                )
                print(f"| {rate_per_s:g} requests per second and client, {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
