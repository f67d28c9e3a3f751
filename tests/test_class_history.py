"""What a request may mean over any reloads, and the file in which a process leaves its configurations."""

import json
import random
from math import inf
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateusher.config.class_history import (
    CLIENTS_LEARN_S,
    RETENTION_S,
    UNNOTICED_DELAY_S,
    ClassHistory,
    FormerConfiguration,
)
from gateusher.config.classes import RequestClass, RequestClassTable
from gateusher.config.history_file import HistoryFile
from gateusher.policy.interface import ClassSettings, DeduplicationScope, Effect, RetryRules

POST, GET, PUT = b"POST", b"GET", b"PUT"
SCOPES = [DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.CELL]
EFFECTS = [Effect.IDEMPOTENT, Effect.KEYED, Effect.NOT_IDEMPOTENT]


def request_class(
    effect: Effect = Effect.KEYED,
    scope: DeduplicationScope = DeduplicationScope.ALL,
    window_ms: float = 5000.0,
    methods: frozenset[bytes] = frozenset({POST}),
    name: bytes = b"a",
) -> RequestClass:
    return RequestClass(name, ClassSettings(effect, 500.0, 2000.0, 1.0, scope=scope, window_ms=window_ms), methods)


CLASSES = st.builds(
    request_class,
    st.sampled_from(EFFECTS),
    st.sampled_from(SCOPES),
    st.sampled_from([100.0, 5000.0]),
    st.sampled_from([frozenset({POST}), frozenset({GET}), frozenset({POST, PUT})]),
    st.sampled_from([b"a", b"b"]),
)
CONFIGURATIONS = st.tuples(
    st.lists(CLASSES, min_size=1, max_size=2, unique_by=lambda made: made.name), st.integers(1, 6)
)


def allows(rules: RetryRules, other: RetryRules) -> bool:
    """Return whether `rules` allow a retry that `other` doesn't."""
    if rules.max_attempts > other.max_attempts or EFFECTS.index(rules.effect) < EFFECTS.index(other.effect):
        return True
    if rules.effect is other.effect is Effect.KEYED:
        return SCOPES.index(rules.scope) < SCOPES.index(other.scope) or rules.window_ms > other.window_ms
    return False


@given(CONFIGURATIONS, st.lists(st.tuples(CONFIGURATIONS, st.floats(0.0, 1.0)), max_size=8), st.integers(0, 2**32))
def test_no_retry_is_allowed_that_a_configuration_of_the_time_forbids(
    first: tuple[list[RequestClass], int],
    reloads: list[tuple[tuple[list[RequestClass], int], float]],
    seed: int,
) -> None:
    """Guards against any order of settings in which a looser one binds a request that may mean a stricter one."""
    rng, now_s, configurations = random.Random(seed), 0.0, [(*first, inf)]
    history = ClassHistory(RequestClassTable(first[0]), first[1])
    for (classes, max_attempts), wait_s in reloads:
        now_s += wait_s
        history.change(classes, max_attempts, (), now_s)
        configurations[-1] = (*configurations[-1][:2], now_s)
        configurations.append((classes, max_attempts, inf))
    for _ in range(12):
        name, method, has_key = rng.choice([b"a", b"b"]), rng.choice([POST, GET, PUT]), rng.random() < 0.5
        sent_s = now_s - rng.choice([0.0, 0.3, 1.0]) + rng.choice([0.0, 0.7, 1.5])
        meant = [
            RetryRules.of_class(made.settings, max_attempts)
            for classes, max_attempts, ended_s in configurations
            for made in classes
            if made.name == name and made.fits(method, has_key) and sent_s <= ended_s + CLIENTS_LEARN_S
        ]
        meaning = history.meaning(name, method, has_key, sent_s)
        if not meant:
            continue
        assert meaning, "what may be meant is understood"
        made = history._table.classes[meaning.class_index]
        assert made.name == name
        if meaning.rules is None:
            assert made.fits(method, has_key)
        rules = meaning.rules or RetryRules.of_class(made.settings, configurations[-1][1])
        assert not any(allows(rules, other) for other in meant)


def test_an_effect_that_neither_method_nor_key_shows_loosens_no_earlier_than_clients_know() -> None:
    """Guards against a class of TOML files whose unsafe and idempotent forms share a method."""
    safe, unsafe = (request_class(effect, methods=frozenset({PUT})) for effect in (EFFECTS[0], EFFECTS[2]))
    history = ClassHistory(RequestClassTable([unsafe]), 6)
    history.change([safe], 6, (), now_s=10.0)
    meaning = history.meaning(b"a", PUT, False, sent_s=10.0 + CLIENTS_LEARN_S)
    assert meaning and meaning.rules and meaning.rules.effect is Effect.NOT_IDEMPOTENT
    later = history.meaning(b"a", PUT, False, sent_s=10.01 + CLIENTS_LEARN_S + UNNOTICED_DELAY_S)
    assert later and later.rules is None


def test_a_class_that_a_newer_configuration_makes_stricter_is_not_retried_by_its_former_form() -> None:
    history = ClassHistory(RequestClassTable([request_class(Effect.IDEMPOTENT, methods=frozenset({GET}))]), 6)
    history.change([request_class(Effect.NOT_IDEMPOTENT)], 6, (), now_s=0.0)
    meaning = history.meaning(b"a", GET, False, sent_s=0.1)
    assert meaning and meaning.rules and meaning.rules.effect is Effect.NOT_IDEMPOTENT


def test_the_same_settings_again_take_no_further_entry() -> None:
    """Guards against a list that grows while two files are loaded in turn."""
    both = [request_class(scope=scope) for scope in SCOPES[:2]]
    history = ClassHistory(RequestClassTable([both[0]]), 6)
    for n in range(1000):
        history.change([both[(n + 1) % 2]], 6, (), now_s=n * 0.01)
    assert len(history.configurations()) == 3
    assert len(history._table.classes) <= 3


def test_former_configurations_are_forgotten() -> None:
    history = ClassHistory(RequestClassTable([request_class()]), 6)
    history.change([request_class(name=b"b")], 6, (), now_s=100.0)
    history.prune(100.0 + CLIENTS_LEARN_S + UNNOTICED_DELAY_S + RETENTION_S)
    assert len(history.configurations()) == 2
    history.prune(101.0 + CLIENTS_LEARN_S + UNNOTICED_DELAY_S + RETENTION_S)
    assert len(history.configurations()) == 1
    assert history.meaning(b"a", POST, True, sent_s=100.0) is None


# -- the file


CONFIGURATION = FormerConfiguration(
    {
        made.name: made
        for made in (request_class(), request_class(EFFECTS[0], methods=frozenset({GET, PUT}), name=b"b\xe9"))
    },
    max_attempts=3,
    ended_s=50.0,
)
CURRENT = FormerConfiguration({b"a": request_class(scope=DeduplicationScope.CELL)}, 6, inf)


def test_the_file_holds_what_was_saved(tmp_path: Path) -> None:
    file = HistoryFile(str(tmp_path / "settings"))
    assert file.load(60.0) == []
    file.save([CONFIGURATION, CURRENT])
    assert file.load(60.0) == [CONFIGURATION, CURRENT]
    assert file.load(40.0) == [CURRENT], "written before the system was started"
    assert [path.name for path in tmp_path.iterdir()] == ["settings"]
    assert (tmp_path / "settings").stat().st_mode & 0o77 == 0


def test_a_file_that_cannot_be_read_counts_as_none(tmp_path: Path) -> None:
    """Guards against a start that fails for what another process has left."""
    path = tmp_path / "settings"
    file = HistoryFile(str(path))
    file.save([CONFIGURATION, CURRENT])
    text = path.read_text()
    for end in range(0, len(text) - 1, 7):
        path.write_text(text[:end])
        assert file.load(60.0) == []
    content = json.loads(text)
    first = content["configurations"][0]
    broken = [
        None,
        [],
        {**content, "version": 2},
        {**content, "configurations": 7},
        {**content, "configurations": [{**first, "ended_s": "x"}]},
        {**content, "configurations": [{**first, "max_attempts": None}]},
        {**content, "configurations": [{**first, "classes": [None]}]},
        {**content, "configurations": [{**first, "classes": [{**first["classes"][0], "effect": "both"}]}]},
        {**content, "configurations": [{**first, "classes": [{**first["classes"][0], "window_ms": -1}]}]},
        {**content, "configurations": [{**first, "classes": [{**first["classes"][0], "methods": 3}]}]},
    ]
    for value in broken:
        path.write_text(json.dumps(value))
        assert file.load(60.0) == [], value
    path.write_bytes(b"\xff\xfe")
    assert file.load(60.0) == []


def test_a_file_that_cannot_be_written_changes_nothing(tmp_path: Path) -> None:
    HistoryFile(str(tmp_path / "missing" / "settings")).save([CURRENT])
    (tmp_path / "settings").mkdir()
    file = HistoryFile(str(tmp_path / "settings"))
    file.save([CURRENT])
    assert file.load(60.0) == []
    assert [path.name for path in tmp_path.iterdir()] == ["settings"], "no half of a file stays"


def test_the_file_is_written_again_only_where_it_changes(tmp_path: Path) -> None:
    """Guards against a write at each of many reloads of the same settings."""
    path = tmp_path / "settings"
    file = HistoryFile(str(path))
    file.save([CURRENT])
    path.unlink()
    file.save([CURRENT])
    assert not path.exists()
    file.forget_saved()
    file.save([CURRENT])
    assert file.load(60.0) == [CURRENT]
    path.unlink()
    file.save([CONFIGURATION, CURRENT])
    assert file.load(60.0) == [CONFIGURATION, CURRENT]


def test_keys_of_a_later_release_are_skipped(tmp_path: Path) -> None:
    path = tmp_path / "settings"
    file = HistoryFile(str(path))
    file.save([CURRENT])
    content = json.loads(path.read_text())
    content["more"] = 1
    content["configurations"][0]["more"] = content["configurations"][0]["classes"][0]["more"] = 1
    path.write_text(json.dumps(content))
    assert file.load(60.0) == [CURRENT]


@pytest.mark.parametrize("is_dropped", [False, True])
def test_a_new_process_begins_with_what_the_one_before_had(is_dropped: bool) -> None:
    new = request_class(name=b"c") if is_dropped else request_class()
    history = ClassHistory(RequestClassTable([new]), 6)
    change = history.inherit([CONFIGURATION, CURRENT])
    history.take_over(60.0)
    meaning = history.meaning(b"a", POST, True, sent_s=60.5)
    assert meaning and meaning.rules and meaning.rules.scope is DeduplicationScope.CELL
    assert change.classes[meaning.class_index].name == b"a"
    assert set(change.live) == {0}
    assert history.meaning(b"b\xe9", GET, False, sent_s=60.5) is None, "it ended long before"
    assert (history.meaning(b"a", POST, True, sent_s=62.0) is None) is is_dropped


def test_the_same_settings_of_the_process_before_bind_nothing() -> None:
    history = ClassHistory(RequestClassTable([request_class(scope=DeduplicationScope.CELL)]), 6)
    history.inherit([CURRENT])
    meaning = history.meaning(b"a", POST, True, sent_s=0.0)
    assert meaning and meaning.rules is None
