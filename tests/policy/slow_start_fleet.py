"""What a whole fleet sends to endpoints in slow start, in virtual time, against the slow-start budget.

The rule counts requests of mean work in any window: N is what the settings allow an endpoint of that capacity, and
N + 2 x root of N + 2 are chance.  A window beyond that is put down to the fleet where over two thirds of it came from
clients that had been notified of the start.  All times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from math import sqrt
from random import Random
from typing import NamedTuple

from .fleet_simulation import COLLAPSE_MULTIPLE, COLLAPSE_WINDOW_MS, FleetSimulation, SimulatedEndpoint

MEAN_MS = 33.0
SIZES = {6: 12, 20: 20, 30: 24, 200: 120}  # by number of clients: number of endpoints
SLOWER = 2.0  # every second server is of a kind that takes so many times as long
LOADS = {"ordinary": (0.7, 1.5), "full": (1.0, 2.0)}  # of what all can do while all are warm; times, as they return
WARM_MS, GONE_MS, BACK_MS = 4000.0, 9000.0, 19000.0  # some are lost, they return, and the end
SURGE_MS = 4000.0  # how long that surge lasts

Notified = Callable[[Random], float | None]
NOTIFIED: dict[str, Notified] = {
    "notified": lambda rng: rng.uniform(500.0, 1500.0),
    "notified late": lambda rng: rng.uniform(4000.0, 5800.0),
    "not notified": lambda rng: None,
    "a third each": lambda rng: rng.choice([rng.uniform(500.0, 1500.0), rng.uniform(4000.0, 5800.0), None]),
}
WAYS = ("return", "are new")


class Worst(NamedTuple):
    """Over all cold servers: the worst window over what is allowed, put down to the fleet; the same of any window;
    the part of all windows beyond N; windows that break the rule; and the part of their room that was asked for."""

    notified: float
    any: float
    beyond: float
    broken: int
    used: float


def judge(endpoints: list[SimulatedEndpoint]) -> Worst:
    """What came to these while they were cold."""
    notified = most = 0.0
    beyond = broken = count = 0
    for endpoint in endpoints:
        for sent, known, _, capacity in endpoint.windows(COLLAPSE_WINDOW_MS):
            allowed = COLLAPSE_MULTIPLE * capacity * COLLAPSE_WINDOW_MS / endpoint.mean
            part = sent / (allowed + 2 * sqrt(allowed) + 2)
            most, count, beyond = max(most, part), count + 1, beyond + (sent > allowed)
            if known > 2 * sent / 3:
                notified, broken = max(notified, part), broken + (part > 1)
    used = [
        len(endpoint.arrivals) * endpoint.mean / (endpoint.slow_start_ms * (1 + endpoint.share) / 2)
        for endpoint in endpoints
    ]
    return Worst(notified, most, beyond / max(1, count), broken, sum(used) / len(used))


def play(clients: int, load: str, way: str, notified: str, seed: int) -> Worst:
    """A third of the servers is lost, and returns or is replaced by new ones under a surge; the load is uneven."""
    rng, servers, (part, surge) = Random(seed), SIZES[clients], LOADS[load]
    weights = [rng.lognormvariate(0.0, 0.8) for _ in range(clients)]
    total = part * servers * 1000.0 / MEAN_MS * (1 + 1 / SLOWER) / 2
    fleet = FleetSimulation(
        clients,
        servers,
        [total * weight / sum(weights) for weight in weights],
        mean=MEAN_MS,
        seed=seed,
        slower=SLOWER,
    )
    third = list(range(1, servers // 3 + 1))
    waits = {i: NOTIFIED[notified](rng) for i in range(clients)}
    fleet.run(WARM_MS)
    if way == "return":
        fleet.fail_endpoints(third)
    fleet.run(GONE_MS)
    fleet.surge = surge
    if way == "return":
        fleet.restart_endpoints(third, lambda i: waits[i])
    else:
        fleet.replace_endpoints(third, lambda i: waits[i])
    fleet.run(GONE_MS + SURGE_MS)
    fleet.surge = 1.0
    fleet.run(BACK_MS)
    return judge([endpoint for endpoint in fleet.endpoints.values() if endpoint.started_at_ms >= GONE_MS])
