"""Cold servers under the sum of a fleet: `python -m bench.slow_start [--seeds N] [--workers N] [--size CLIENTS]...`

Prints the table that docs/design/fleet.md holds: fleets of 6, 20, 30 and 200 real modules in virtual time.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from functools import partial
from itertools import product
from statistics import fmean, median

import click

from tests.policy.slow_start_fleet import LOADS, NOTIFICATION_DELAYS, SCENARIOS, SIZES, simulate

HEAD = (
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


@click.command(help="Cold servers under the sum of a fleet, in virtual time.")
@click.option("--seeds", default=20, show_default=True, help="Seeds of each row.")
@click.option("--workers", type=int, default=None, help="Processes; as many as cores unless said.")
@click.option("--size", "sizes", multiple=True, type=click.Choice([str(s) for s in SIZES]), help="Only this fleet.")
def main(seeds: int, workers: int | None, sizes: tuple[str, ...]) -> None:
    print(f"| {' | '.join(HEAD)} |\n|{'---|' * len(HEAD)}")
    with ProcessPoolExecutor(workers) as pool:
        for size, load, way, notified in product(
            [int(s) for s in sizes] or SIZES, LOADS, SCENARIOS, NOTIFICATION_DELAYS
        ):
            if (way, notified) == ("replaced", "not notified"):
                continue  # nobody would send
            rows = list(pool.map(partial(simulate, size, load, way, notified), range(1, seeds + 1)))
            cells = (
                f"{size}, {SIZES[size]}",
                load,
                way,
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
