"""The settings that are chosen before a world begins, and the sidecar configuration that follows from them."""

from __future__ import annotations

from dataclasses import replace
from functools import cache
from typing import Any, NamedTuple

from gateusher.config.file import parse
from gateusher.config.model import Config

LIST_PORTS = (9, 10)  # where the endpoint list is served, before a reload and after it
CLIENT_TIMEOUT_S = 1.0
SHORT_CLIENT_TIMEOUT_S = 0.15
SHUTDOWN_TIMEOUT_S = 0.5
SLOW_START_S = 1.5


class Setting(NamedTuple):
    """The choices that are fixed before a world begins."""

    scope: str = "all"  # the nodes that drop the repeats of a keyed request
    cold: bool = False  # n0 has just started
    listed: bool = False  # the list is followed by a watch, and a part of it may come
    probes: bool = False  # the module may ask nodes for their reports
    drains: bool = False  # the end is the daemon's own drain, and not only the core's part of it
    calm: bool = False  # nothing goes wrong: whatever is asked must be served
    long: bool = False  # every answer with a body is too long to be held
    operated: bool = False  # operators send clients away, take them back, and bring other settings
    few: bool = False  # only what every order is followed of, so that walks go deeper into that


PLAIN = Setting()


@cache
def configuration(nodes: int, setting: Setting) -> Config:
    """Return the configuration of a sidecar with this many nodes, alternating between two zones."""
    classes: dict[str, Any] = {
        "safe": {"effect": "safe", "aim": 0.4, "deadline": CLIENT_TIMEOUT_S},
        "keyed": {"effect": "keyed", "aim": 0.4, "deadline": CLIENT_TIMEOUT_S, "window": 0.3, "group": setting.scope},
        "unsafe": {"effect": "unsafe", "aim": 0.4, "deadline": CLIENT_TIMEOUT_S},
    }
    config = parse(
        {
            "classes": classes,
            "seed": 1,
            "listen": "127.0.0.1:1",
            "zones": ["a", "b"],
            "zone": "a",
            "reports": ["queue"],
            "cold": {"share": 0.3, "warm_within": SLOW_START_S if setting.cold else 0.0},
            "limits": {"max_attempts": 3, "margin": 0.0, "idle": 120.0},
            "nodes": [
                {"name": f"n{i}", "address": f"127.0.0.1:{i + 1}", "zone": "ab"[i % 2], "cell": i % 2}
                for i in range(nodes)
            ],
        }
    )
    settings = replace(
        config.settings, reports_pulled=setting.probes, may_probe=setting.probes, polls_list=setting.listed
    )
    known = {
        "seq": 1,
        "whole": True,
        "hosts": [
            dict(h, born_ms=1_000_000.0 if setting.cold and h["host"] == "n0" else 0) for h in config.known["hosts"]
        ],
    }
    return config._replace(
        settings=settings, known=known, discovery=("127.0.0.1", LIST_PORTS[0]) if setting.listed else None
    )
