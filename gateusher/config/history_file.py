"""The file in which a process leaves its configurations to one that takes over from it, as JSON.

The other process may be of another release, held up, or killed: keys that are not known are skipped, and what can't
be read counts as no file.  Times are those of the system's monotonic clock, which all processes share, in seconds.

    {"version": 1, "configurations": [{"ended_s": 8123.4, "max_attempts": 6, "classes": [...]}]}

`ended_s` is null for the configuration that is in use.
"""

from __future__ import annotations

import json
import os
from contextlib import suppress
from dataclasses import asdict
from math import inf
from typing import Any, Final

from ..base.log import log_event
from ..base.numbers import is_finite_number
from ..policy.interface import ClassSettings, DeduplicationScope, Effect
from .class_history import FormerConfiguration
from .classes import RequestClass

VERSION: Final = 1
OWNER_ONLY_MODE: Final = 0o600
NUMBER_FIELDS: Final = (
    "latency_objective_ms",
    "deadline_ms",
    "priority_weight",
    "late_weight",
    "window_ms",
    "latency_objective_stretch",
)


class HistoryFile:
    """The configurations of this process and the one before it, at `path`."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._saved: list[FormerConfiguration] = []  # what the file holds, as far as this process knows

    def load(self, now_s: float) -> list[FormerConfiguration]:
        """Return what the process before left, the oldest first; nothing if there is no usable file.

        What ended later than `now_s` was written before the system was started.
        """
        try:
            with open(self._path, encoding="utf-8") as file:
                configurations = _parse(json.load(file))
        except FileNotFoundError:
            return []
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
            log_event("former settings not read", f"{type(error).__name__}: {error}")
            return []
        return [former for former in configurations if former.ended_s <= now_s or former.ended_s == inf]

    def forget_saved(self) -> None:
        """Another process has written the file since."""
        self._saved = []

    def save(self, configurations: list[FormerConfiguration]) -> None:
        """Replace the file if it changes.

        An error is logged: a process that takes over then knows its own settings alone.
        """
        if configurations == self._saved:
            return
        content = {"version": VERSION, "configurations": [_encode(former) for former in configurations]}
        new_path = f"{self._path}.{os.getpid()}"
        try:
            fd = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, OWNER_ONLY_MODE)
            with open(fd, "w", encoding="utf-8") as file:
                json.dump(content, file)
            os.replace(new_path, self._path)
            self._saved = configurations
        except OSError as error:
            log_event("former settings not written", error)
            with suppress(OSError):
                os.unlink(new_path)


def _encode(former: FormerConfiguration) -> dict[str, Any]:
    return {
        "ended_s": None if former.ended_s == inf else former.ended_s,
        "max_attempts": former.max_attempts,
        "classes": [_encode_class(request_class) for request_class in former.classes.values()],
    }


def _encode_class(request_class: RequestClass) -> dict[str, Any]:
    settings = request_class.settings
    return {
        **asdict(settings),
        "effect": settings.effect.value,
        "scope": settings.scope.value,
        "name": request_class.name.decode("latin-1"),
        "methods": sorted(method.decode("latin-1") for method in request_class.methods),
    }


def _parse(content: Any) -> list[FormerConfiguration]:
    """Raises ValueError, KeyError, TypeError or AttributeError if this is not such a file."""
    if content["version"] != VERSION:
        raise ValueError(f"version {VERSION} wanted, found {content['version']!r}")
    return [_parse_configuration(raw) for raw in content["configurations"]]


def _parse_configuration(raw: Any) -> FormerConfiguration:
    classes = [_parse_class(raw_class) for raw_class in raw["classes"]]
    ended_s = inf if raw["ended_s"] is None else _parse_number(raw, "ended_s")
    max_attempts = int(_parse_number(raw, "max_attempts"))
    return FormerConfiguration(
        {request_class.name: request_class for request_class in classes}, max_attempts, ended_s
    )


def _parse_class(raw: Any) -> RequestClass:
    numbers = {name: _parse_number(raw, name) for name in NUMBER_FIELDS}
    settings = ClassSettings(
        effect=Effect(raw["effect"]),
        scope=DeduplicationScope(raw["scope"]),
        stream=raw["stream"] is True,
        **numbers,
    )
    methods = frozenset(method.encode("latin-1") for method in raw["methods"])
    return RequestClass(raw["name"].encode("latin-1"), settings, methods)


def _parse_number(raw: Any, name: str) -> float:
    value = raw[name]
    if not is_finite_number(value) or value < 0:
        raise ValueError(f"{name}: a number of 0 or more wanted, found {value!r}"[:200])
    return float(value)
