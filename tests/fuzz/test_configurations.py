"""Fuzzing of the configurations."""

import copy
import tomllib
from collections.abc import Callable
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from gateusher.config import file as toml_config
from gateusher.config import platform
from gateusher.config.model import ConfigError
from tests.net import configuration

from .inputs import DATA, FUZZ_SETTINGS, UNEXPECTED_VALUES


def _changed(base: Any, path: list[int], value: Any) -> Any:
    """Return a copy with one value replaced, or removed if `value` is an ellipsis; `path` selects it by indexes."""
    base = copy.deepcopy(base)
    container = base
    for step, number in enumerate(path):
        if not isinstance(container, dict | list) or not container:
            break
        key = list(container)[number % len(container)] if isinstance(container, dict) else number % len(container)
        if step == len(path) - 1 or not isinstance(container[key], dict | list):
            if value is Ellipsis:
                del container[key]
            else:
                container[key] = value
            break
        container = container[key]
    return base


PLATFORM_CONFIGURATION = configuration(
    [
        {
            "host": "e0",
            "dial": "127.0.0.1:1",
            "site": "a",
            "class": "m",
            "block": 0,
            "health": "Ready",
            "share": 1.0,
            "born_ms": 0,
        }
    ],
    1,
)

REPLACEMENTS = st.one_of(
    st.just(...),
    st.recursive(
        UNEXPECTED_VALUES,
        lambda inner: st.one_of(st.lists(inner, max_size=2), st.dictionaries(st.text(max_size=4), inner, max_size=2)),
        max_leaves=4,
    ),
)


CHANGES = st.lists(
    st.tuples(st.lists(st.integers(0, 20), min_size=1, max_size=4), REPLACEMENTS), min_size=1, max_size=3
)


def check_parse(parse: Callable[[Any], object], conf: Any, changes: list[tuple[list[int], Any]]) -> None:
    """Check that the changed configuration is parsed, or rejected with a message."""
    for path, value in changes:
        conf = _changed(conf, path, value)
    try:
        parse(conf)
    except ConfigError as error:
        assert str(error)


@FUZZ_SETTINGS
@given(CHANGES)
def test_any_configuration_of_the_platform(changes: list[tuple[list[int], Any]]) -> None:
    check_parse(lambda conf: platform.parse(conf, {}), PLATFORM_CONFIGURATION, changes)


TOML_CONFIGURATION = tomllib.loads((DATA.parents[1] / "deploy" / "gateusher.example.toml").read_text())


@FUZZ_SETTINGS
@given(CHANGES)
def test_any_configuration_in_toml(changes: list[tuple[list[int], Any]]) -> None:
    check_parse(toml_config.parse, TOML_CONFIGURATION, changes)
