"""Two hundred balancers in virtual time: a start against a list of a bounded rate, and a zone that returns cold.

`python -m bench.crowd` plays 20 seeds of each on all cores and prints the tables that docs/design/fleet.md holds.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from tests.crowd import FALL_MS, FALL_MULTIPLE, Crowd

CLIENTS, BOXES, ZONE, SEEDS = 200, 120, range(1, 41), range(1, 21)


def start(seed: int, list_rate: float, dead: int) -> tuple[int, int, float, float]:
    """Calls in the worst second, and when the middle and the last client had its list, in seconds."""
    crowd = Crowd(CLIENTS, BOXES, 5.0, seed=seed, list_rate=list_rate)
    crowd.lose(list(range(1, dead + 1)))
    crowd.run(15000)
    assert crowd.listing
    told = sorted(crowd.listing.told.values())
    last = told[-1] / 1000 if len(told) == CLIENTS else float("inf")
    return crowd.listing.worst_second(), len(crowd.listing.calls), told[len(told) // 2] / 1000, last


def cold(seed: int, rate: float, told_after: float | None) -> tuple[float, float, float, float]:
    """Of the returned: the worst window of work over its budget, in all and once all clients were told; the mean of
    the first; and the mean part of their room that was asked for."""
    crowd = Crowd(CLIENTS, BOXES, rate, seed=seed)
    crowd.run(4000)
    crowd.lose(list(ZONE))
    crowd.run(9000)
    crowd.bring_back(list(ZONE), told_after)
    crowd.run(19000)
    boxes = [crowd.boxes[eid] for eid in ZONE]
    windows = [box.worst_window(FALL_MS) / FALL_MULTIPLE for box in boxes]
    told = [box.worst_window(FALL_MS, 9000 + 1.5 * (told_after or 0.0)) / FALL_MULTIPLE for box in boxes]
    used = [sum(each.work for each in box.asked) / (box.warm_within * (1 + box.share) / 2) for box in boxes]
    return max(windows), max(told), statistics.fmean(windows), statistics.fmean(used)


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
        for rate, dead in ((50, 0), (50, 60), (100, 60), (400, 60)):
            cells = _rows(pool, partial(start, list_rate=rate, dead=dead))
            print(f"| {rate}, {dead} | {' | '.join(cells)} |", flush=True)
        print(
            "\n| 40 of 120 return cold | worst window of the worst server, of its budget | once told | mean "
            "of all 40 | part of their room asked for |\n|---|---|---|---|---|"
        )
        for rate in (8.0, 14.0):
            for name, told in (("told after 0.5 to 1.5 s", 1000.0), ("never told", None)):
                cells = _rows(pool, partial(cold, rate=rate, told_after=told))
                print(f"| {rate:g} requests a second each, {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
