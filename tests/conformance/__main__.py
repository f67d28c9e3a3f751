"""Prints a table of each scenario on each interface, with the reason if a scenario can't run on it."""

from rich.console import Console
from rich.table import Table

from .interfaces import INTERFACES
from .scenarios import SCENARIOS
from .test_conformance import run_scenario

table = Table(title=f"{len(SCENARIOS)} scenarios")
for column in ("scenario", *INTERFACES):
    table.add_column(column)
for scenario in SCENARIOS:
    row = []
    for interface in INTERFACES:
        if reason := scenario.skip_reason(interface):
            row.append(f"skipped: {reason}")
            continue
        try:
            run_scenario(scenario, interface)
            row.append("passed")
        except AssertionError as error:
            row.append(f"FAILED {error}")
    table.add_row(scenario.name, *row)
Console().print(table)
