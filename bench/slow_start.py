"""Load of endpoints in slow start by a whole fleet, relative to the slow-start budget.

    python -m bench.slow_start [--seeds N] [--workers N] [--size CLIENTS]...

Simulates fleets of 6, 20, 30 and 200 balancers in virtual time and prints the table that docs/design/fleet.md holds.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from functools import partial
from itertools import product
from statistics import fmean, median

import click

from tests.policy.slow_start_fleet import LOADS, NOTIFICATION_DELAYS, SCENARIOS, SIZES, simulate

COLUMNS = (
    "sidecars, servers",
    "load",
    "cold ones",
    "who hears",
    "worst window of the notified, of N + 2 root N + 2: median, most",
    "of any: most",
    "windows beyond N",
    "seeds with a break",
    "of their room asked for",
)


@click.command(help="Load of endpoints in slow start by a whole fleet, in virtual time.")
@click.option("--seeds", default=20, show_default=True, help="Number of seeds per row.")
@click.option("--workers", type=int, default=None, help="Number of processes; default: one per core.")
@click.option(
    "--size",
    "sizes",
    multiple=True,
    type=click.Choice([str(size) for size in SIZES]),
    help="Simulate only fleets of this number of clients.",
)
def main(seeds: int, workers: int | None, sizes: tuple[str, ...]) -> None:
    """Print the table."""
    print(f"| {' | '.join(COLUMNS)} |\n|{'---|' * len(COLUMNS)}")
    with ProcessPoolExecutor(workers) as pool:
        for size, load, scenario, notified in product(
            [int(size) for size in sizes] or SIZES, LOADS, SCENARIOS, NOTIFICATION_DELAYS
        ):
            if (scenario, notified) == ("replaced", "not notified"):
                continue  # no client would send to the new endpoints
            rows = list(pool.map(partial(simulate, size, load, scenario, notified), range(1, seeds + 1)))
            cells = (
                f"{size}, {SIZES[size]}",
                load,
                scenario,
                notified,
                f"{median(r.worst_notified for r in rows):.2f}, {max(r.worst_notified for r in rows):.2f}",
                f"{max(r.worst_any for r in rows):.2f}",
                f"{fmean(r.share_beyond for r in rows):.4f}",
                f"{sum(r.violations > 0 for r in rows)} of {seeds}",
                f"{median(r.used_capacity for r in rows):.2f}",
            )
            print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
