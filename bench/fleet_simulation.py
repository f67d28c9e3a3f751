"""Two hundred balancers in virtual time: starts with a slow endpoint list, and a zone that restarts.

`python -m bench.fleet_simulation` plays 20 seeds of each on all cores and prints the tables of docs/design/fleet.md.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from tests.policy.fleet_simulation import COLLAPSE_MULTIPLE, COLLAPSE_WINDOW_MS, FleetSimulation

CLIENTS = 200
ENDPOINTS = 120
ZONE = range(1, 41)
SEEDS = range(1, 21)


def start(seed: int, list_rate: float, failed: int) -> tuple[int, int, float, float]:
    """Calls in the worst second, and when the middle and the last client had its list, in seconds."""
    fleet = FleetSimulation(CLIENTS, ENDPOINTS, 5.0, seed=seed, list_rate=list_rate)
    fleet.fail_endpoints(list(range(1, failed + 1)))
    fleet.run(15000)
    assert fleet.list_service
    notified = sorted(fleet.list_service.notified.values())
    last = notified[-1] / 1000 if len(notified) == CLIENTS else float("inf")
    return fleet.list_service.worst_second(), len(fleet.list_service.calls), notified[len(notified) // 2] / 1000, last


def restart(seed: int, rate: float, notified_after: float | None) -> tuple[float, float, float, float]:
    """Of the restarted endpoints: the worst window of work over its budget, in all and once all are notified;
    the mean of the first; and the mean part of their capacity that was requested.
    """
    fleet = FleetSimulation(CLIENTS, ENDPOINTS, rate, seed=seed)
    fleet.run(4000)
    fleet.fail_endpoints(list(ZONE))
    fleet.run(9000)
    fleet.restart_endpoints(list(ZONE), notified_after)
    fleet.run(19000)
    endpoints = [fleet.endpoints[endpoint_id] for endpoint_id in ZONE]
    windows = [endpoint.worst_window(COLLAPSE_WINDOW_MS) / COLLAPSE_MULTIPLE for endpoint in endpoints]
    notified = [
        endpoint.worst_window(COLLAPSE_WINDOW_MS, 9000 + 1.5 * (notified_after or 0.0)) / COLLAPSE_MULTIPLE
        for endpoint in endpoints
    ]
    used = [
        sum(each.work for each in endpoint.arrivals) / (endpoint.slow_start_ms * (1 + endpoint.share) / 2)
        for endpoint in endpoints
    ]
    return max(windows), max(notified), statistics.fmean(windows), statistics.fmean(used)


def _rows(pool: ProcessPoolExecutor, play: object, digits: int = 2) -> Iterable[str]:
    rows = list(pool.map(play, SEEDS))  # type: ignore[arg-type]
    for column in zip(*rows, strict=True):
        yield f"{min(column):.{digits}f} / {statistics.median(column):.{digits}f} / {max(column):.{digits}f}"


def main() -> None:
    with ProcessPoolExecutor() as pool:
        print(
            "| starts of 200: calls a second the list can take, servers gone | calls in the worst second | calls | "
            "middle client's list, s | last one's, s |\n|---|---|---|---|---|"
        )
        for rate, failed in ((50, 0), (50, 60), (100, 60), (400, 60)):
            cells = _rows(pool, partial(start, list_rate=rate, failed=failed))
            print(f"| {rate}, {failed} | {' | '.join(cells)} |", flush=True)
        print(
            "\n| 40 of 120 return cold | worst window of the worst server, of its budget | once notified | mean "
            "of all 40 | part of their room asked for |\n|---|---|---|---|---|"
        )
        for rate in (8.0, 14.0):
            for name, notified in (("notified after 0.5 to 1.5 s", 1000.0), ("never notified", None)):
                cells = _rows(pool, partial(restart, rate=rate, notified_after=notified))
                print(f"| {rate:g} requests a second each, {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
