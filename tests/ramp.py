"""What a whole fleet sends to cold servers, in virtual time, held against the budget of the fourth rule.

The rule counts requests of mean work in any window: N is what the settings allow a server that can do so much then,
and N + 2 x root of N + 2 are chance.  A window beyond that is put down to the fleet where over two thirds of it came
from clients that had been told of the start.  All times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from math import sqrt
from random import Random
from typing import NamedTuple

from .crowd import FALL_MS, FALL_MULTIPLE, Box, Crowd

MEAN_MS = 33.0
SIZES = {6: 12, 20: 20, 30: 24, 200: 120}  # clients, and servers beside them
SLOWER = 2.0  # every second server is of a kind that takes so many times as long
LOADS = {"ordinary": (0.7, 1.5), "full": (1.0, 2.0)}  # of what all can do while all are warm; times, as they return
WARM_MS, GONE_MS, BACK_MS = 4000.0, 9000.0, 19000.0  # some are lost, they return, and the end
SURGE_MS = 4000.0  # how long that surge lasts

Told = Callable[[Random], float | None]
TOLD: dict[str, Told] = {
    "told": lambda rng: rng.uniform(500.0, 1500.0),
    "told late": lambda rng: rng.uniform(4000.0, 5800.0),
    "not told": lambda rng: None,
    "a third each": lambda rng: rng.choice([rng.uniform(500.0, 1500.0), rng.uniform(4000.0, 5800.0), None]),
}
WAYS = ("return", "are new")


class Worst(NamedTuple):
    """Over all cold servers: the worst window over what is allowed, put down to the fleet; the same of any window;
    the part of all windows beyond N; windows that break the rule; and the part of their room that was asked for."""

    told: float
    any: float
    beyond: float
    broken: int
    used: float


def judge(boxes: list[Box]) -> Worst:
    """What came to these while they were cold."""
    told = most = 0.0
    beyond = broken = count = 0
    for box in boxes:
        for sent, known, _, able in box.windows(FALL_MS):
            allowed = FALL_MULTIPLE * able * FALL_MS / box.mean
            part = sent / (allowed + 2 * sqrt(allowed) + 2)
            most, count, beyond = max(most, part), count + 1, beyond + (sent > allowed)
            if known > 2 * sent / 3:
                told, broken = max(told, part), broken + (part > 1)
    used = [len(box.asked) * box.mean / (box.warm_within * (1 + box.share) / 2) for box in boxes]
    return Worst(told, most, beyond / max(1, count), broken, sum(used) / len(used))


def play(clients: int, load: str, way: str, told: str, seed: int) -> Worst:
    """A third of the servers is lost, and returns or is replaced by new ones under a surge; the load is uneven."""
    rng, servers, (part, surge) = Random(seed), SIZES[clients], LOADS[load]
    weights = [rng.lognormvariate(0.0, 0.8) for _ in range(clients)]
    total = part * servers * 1000.0 / MEAN_MS * (1 + 1 / SLOWER) / 2
    crowd = Crowd(
        clients,
        servers,
        [total * weight / sum(weights) for weight in weights],
        mean=MEAN_MS,
        seed=seed,
        slower=SLOWER,
    )
    third = list(range(1, servers // 3 + 1))
    waits = {i: TOLD[told](rng) for i in range(clients)}
    crowd.run(WARM_MS)
    if way == "return":
        crowd.lose(third)
    crowd.run(GONE_MS)
    crowd.surge = surge
    if way == "return":
        crowd.bring_back(third, lambda i: waits[i])
    else:
        crowd.replace(third, lambda i: waits[i])
    crowd.run(GONE_MS + SURGE_MS)
    crowd.surge = 1.0
    crowd.run(BACK_MS)
    return judge([box for box in crowd.boxes.values() if box.cold_from >= GONE_MS])
