"""The settings of a world, and the sidecar configuration that follows from them."""

from __future__ import annotations

from dataclasses import replace
from functools import cache
from typing import Any, NamedTuple

from gateusher.config.file import parse
from gateusher.config.model import Config

LIST_PORTS = (9, 10)  # of the discovery service before and after a reload
CLIENT_TIMEOUT_S = 1.0
SHORT_CLIENT_TIMEOUT_S = 0.15
SHUTDOWN_TIMEOUT_S = 0.5
SLOW_START_S = 1.5


class Setting(NamedTuple):
    """The options of a world that stay fixed during its execution."""

    deduplication_scope: str = "all"  # which nodes deduplicate a keyed request together
    slow_start: bool = False  # n0 has just started
    watched_list: bool = False  # the endpoint list is watched, and an update may arrive in parts
    load_report_polls: bool = False  # the policy may poll nodes for their load reports
    graceful_shutdown: bool = False  # the daemon drains its listeners; otherwise only the core is shut down
    fault_free: bool = False  # no fault occurs, so every request must be served
    streamed_responses: bool = False  # every response with a body exceeds the response buffer
    operator_events: bool = False  # operators enter and leave lameduck mode and change settings
    restricted_events: bool = False  # only the events of an exhaustive search, so that random executions go deeper


PLAIN = Setting()


@cache
def configuration(nodes: int, setting: Setting) -> Config:
    """Return the configuration of a sidecar with this many nodes, alternating between two zones."""
    classes: dict[str, Any] = {
        "safe": {"effect": "safe", "aim": 0.4, "deadline": CLIENT_TIMEOUT_S},
        "keyed": {
            "effect": "keyed",
            "aim": 0.4,
            "deadline": CLIENT_TIMEOUT_S,
            "window": 0.3,
            "group": setting.deduplication_scope,
        },
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
            "cold": {"share": 0.3, "warm_within": SLOW_START_S if setting.slow_start else 0.0},
            "limits": {"max_attempts": 3, "margin": 0.0, "idle": 120.0},
            "nodes": [
                {"name": f"n{i}", "address": f"127.0.0.1:{i + 1}", "zone": "ab"[i % 2], "cell": i % 2}
                for i in range(nodes)
            ],
        }
    )
    settings = replace(
        config.settings,
        reports_pulled=setting.load_report_polls,
        may_probe=setting.load_report_polls,
        polls_list=setting.watched_list,
    )
    known = {
        "seq": 1,
        "whole": True,
        "hosts": [
            dict(h, born_ms=1_000_000.0 if setting.slow_start and h["host"] == "n0" else 0)
            for h in config.known["hosts"]
        ],
    }
    return config._replace(
        settings=settings, known=known, discovery=("127.0.0.1", LIST_PORTS[0]) if setting.watched_list else None
    )
