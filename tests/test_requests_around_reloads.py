"""Requests whose clients can't know of new settings yet: the strictest configuration that they may mean binds."""

import asyncio
from pathlib import Path
from typing import Any

import pytest

from .net import REQUEST_CLASSES, run
from .reloads import CLIENTS_KNOW_S, FORMS, KEYED, LOOSENED, OTHER, Fleet, fleet_for, has_forgotten, reloadable, send
from .test_retune import ConfigFile

RELOADS = {
    "one": ["new"],
    "a second that changes another class": ["new", "other"],
    "two more that change another class": ["new", "other", "third"],
    "the same file again": ["new", "new"],
}


async def reload_in_a_row(file: ConfigFile, new: dict[str, Any], steps: list[str]) -> None:
    for weight, step in enumerate(steps, 2):
        other = OTHER if step == "new" else {**OTHER, "worth": weight}
        file.write_lanes(new, other)
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("reloads", RELOADS)
@pytest.mark.parametrize("case", LOOSENED)
def test_a_keyed_request_is_not_retried_beyond_the_group_or_window_it_was_sent_under(
    case: str, reloads: str, tmp_path: Path
) -> None:
    """Guards against retries by new, looser settings of requests whose clients go by the old ones (review/6)."""
    old, new = LOOSENED[case]

    async def test() -> None:
        fleet = fleet_for(case)
        async with reloadable(fleet, tmp_path) as (running, file):
            file.write_lanes(old, OTHER)
            await reload_in_a_row(file, new, RELOADS[reloads])
            await send(running, "book")
            assert len(fleet.runs) == 24
            assert not (fleet.retried if has_forgotten(case) else fleet.elsewhere)

    run(test())


@pytest.mark.parametrize("reloads", RELOADS)
def test_attempts_stay_below_the_limit_that_a_request_was_sent_under(reloads: str, tmp_path: Path) -> None:
    """Guards against more attempts than the old settings allow, for clients that can't know the new limit."""

    async def test() -> None:
        fleet = Fleet()
        fleet.resets = 100
        async with reloadable(fleet, tmp_path) as (running, file):
            file.write_lanes(REQUEST_CLASSES[0], OTHER, max_attempts=2)
            for weight, step in enumerate(RELOADS[reloads], 2):
                file.write_lanes(
                    REQUEST_CLASSES[0], OTHER if step == "new" else {**OTHER, "worth": weight}, max_attempts=6
                )
            await send(running, "look", 8, method="GET", has_key=False)
            assert max(len(endpoints) for endpoints in fleet.runs.values()) == 2

    run(test())


def test_an_open_request_keeps_the_smallest_attempt_limit_over_reloads_in_a_row(tmp_path: Path) -> None:
    """Guards against a limit that a second reload takes back: the open request may have been bound by it."""

    async def test() -> None:
        fleet = Fleet(run_time_s=0.1)
        fleet.resets = 100
        async with reloadable(fleet, tmp_path) as (running, file):
            file.write_lanes(REQUEST_CLASSES[0], max_attempts=6)
            open_requests = asyncio.create_task(send(running, "look", 4, method="GET", has_key=False))
            await asyncio.sleep(0.05)
            file.write_lanes(REQUEST_CLASSES[0], max_attempts=2)
            file.write_lanes(REQUEST_CLASSES[0], max_attempts=6)
            await open_requests
            assert max(len(endpoints) for endpoints in fleet.runs.values()) == 2

    run(test())


EFFECTS_IN_A_ROW = [
    ["at_most_once", "deduplicated", "idempotent"],
    ["idempotent", "deduplicated", "at_most_once"],
    ["deduplicated", "at_most_once", "idempotent"],
]


@pytest.mark.parametrize("effects", EFFECTS_IN_A_ROW, ids=" ".join)
def test_each_form_of_a_class_is_understood_over_reloads_in_a_row(effects: list[str], tmp_path: Path) -> None:
    """Guards against 400 and 405 for clients that go by the configuration before the last one."""

    async def test() -> None:
        fleet = Fleet()
        fleet.resets = 0
        async with reloadable(fleet, tmp_path) as (running, file):
            for effect in effects:
                file.write_lanes({**KEYED, "effect": effect}, OTHER)
            for effect in effects:
                assert await send(running, "book", 2, effect, **FORMS[effect]) == [200, 200]

    run(test())


def test_a_dropped_class_is_understood_over_reloads_in_a_row(tmp_path: Path) -> None:
    """Guards against 400 for a class that the configuration before the last one has dropped."""

    async def test() -> None:
        fleet = Fleet()
        async with reloadable(fleet, tmp_path) as (running, file):
            file.write_lanes(KEYED, OTHER)
            for weight in (2, 3, 4):
                file.write_lanes({**OTHER, "worth": weight})
            assert await send(running, "book", 8) == [200] * 8
            assert not fleet.elsewhere
            file.write_lanes({**KEYED, "group": "all"}, OTHER)  # it comes back, wider
            await send(running, "book", 24, "back")
            assert not fleet.elsewhere

    run(test())


@pytest.mark.parametrize("reloads", RELOADS)
def test_a_new_class_works_at_once_by_its_own_rules(reloads: str, tmp_path: Path) -> None:
    """Guards against strictness where nothing older can be meant."""

    async def test() -> None:
        fleet = Fleet()
        async with reloadable(fleet, tmp_path) as (running, file):
            file.write_lanes(OTHER, max_attempts=1)
            for weight, step in enumerate(RELOADS[reloads], 2):
                other = OTHER if step == "new" else {**OTHER, "worth": weight}
                file.write_lanes({**KEYED, "group": "all"}, other, max_attempts=6)
            assert await send(running, "book") == [200] * 24
            assert fleet.elsewhere, "retries reach the other zone too"

    run(test())


@pytest.mark.parametrize("before", ["at_most_once", "deduplicated"])
def test_a_method_that_only_the_new_class_has_works_at_once(before: str, tmp_path: Path) -> None:
    """Guards against strictness where the method shows that the new configuration is meant."""

    async def test() -> None:
        fleet = Fleet()
        async with reloadable(fleet, tmp_path) as (running, file):
            file.write_lanes({**KEYED, "effect": before}, OTHER, max_attempts=1)
            file.write_lanes({**KEYED, "effect": "idempotent"}, OTHER, max_attempts=6)
            assert await send(running, "book", **FORMS["idempotent"]) == [200] * 24

    run(test())


def test_new_rules_bind_once_clients_know_them(tmp_path: Path) -> None:
    """Guards against old rules, and old methods, that stay after their time."""

    async def test() -> None:
        fleet = Fleet()
        async with reloadable(fleet, tmp_path) as (running, file):
            file.write_lanes(KEYED, {**OTHER, "effect": "at_most_once"})
            file.write_lanes({**KEYED, "group": "all"}, OTHER)
            await asyncio.sleep(CLIENTS_KNOW_S + 0.3)
            assert await send(running, "book") == [200] * 24
            assert fleet.elsewhere, "retries reach the other zone too"
            assert await send(running, "other", 1, "late", **FORMS["at_most_once"]) == [405]

    run(test())
