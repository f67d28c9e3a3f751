"""Reloads of a sidecar whose endpoints run a request and then reset its connection."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from .net import (
    OK_RESPONSE,
    REQUEST_CLASSES,
    Discovery,
    Endpoint,
    RunningSidecar,
    Writer,
    configuration,
    host_entry,
    run_sidecar,
    status,
)
from .test_retune import ConfigFile

CLIENTS_KNOW_S = 1.2  # after SIGHUP (DAYS, New settings)
OLD_WINDOW_MS = 150.0
RUN_TIME_S = 0.2  # longer than the old window: endpoints have forgotten the key by then
KEYED = {**REQUEST_CLASSES[1], "name": "book", "effect": "deduplicated", "group": "zone", "window_ms": 5000.0}
OTHER = {**REQUEST_CLASSES[0], "name": "other"}


def request(name: str, request_id: str, method: str = "POST", has_key: bool = True) -> bytes:
    fields = f"Idempotency-Key: {request_id}\r\n" if has_key else ""
    length = "Content-Length: 0\r\n" if method == "POST" else ""
    return (
        f"{method} /{name} HTTP/1.1\r\nHost: o\r\nX-Request-Id: {request_id}\r\nX-Class: {name}\r\n"
        f"X-Deadline: 2.0\r\n{fields}{length}\r\n"
    ).encode()


FORMS: dict[str, dict[str, Any]] = {
    "at_most_once": {"method": "POST", "has_key": False},
    "deduplicated": {"method": "POST", "has_key": True},
    "idempotent": {"method": "GET", "has_key": False},
}


class Fleet:
    """Two endpoints in different zones and cells; a request's connections are reset after it has run."""

    def __init__(self, run_time_s: float = 0.0, zones: tuple[str, str] = ("a", "b")) -> None:
        self._zones = zones
        self.runs: dict[bytes, list[str]] = defaultdict(list)  # the endpoints that got a request, by its id
        self.resets = 1  # attempts of each request that are reset
        self.endpoints = [Endpoint(self._handler(name, run_time_s)) for name in ("e0", "e1")]
        self.discovery = Discovery([])

    def _handler(self, name: str, run_time_s: float) -> Any:
        async def handle(head: bytes, writer: Writer) -> None:
            request_id = head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0]
            self.runs[request_id].append(name)
            if len(self.runs[request_id]) > self.resets:
                writer.write(OK_RESPONSE)
                return
            await asyncio.sleep(run_time_s)
            writer.transport.abort()

        return handle

    def configuration(self) -> dict[str, Any]:
        self.discovery.hosts = [
            {**host_entry(f"e{i}", endpoint.port), "site": site, "block": i}
            for i, (endpoint, site) in enumerate(zip(self.endpoints, self._zones, strict=True))
        ]
        conf = configuration(self.discovery.hosts, self.discovery.port)
        conf["settings"]["zones"] = ["a", "b"]
        return conf

    @property
    def retried(self) -> list[bytes]:
        return [request_id for request_id, endpoints in self.runs.items() if len(endpoints) > 1]

    @property
    def elsewhere(self) -> list[bytes]:
        """The requests that ran at both endpoints."""
        return [request_id for request_id, endpoints in self.runs.items() if len(set(endpoints)) > 1]


@asynccontextmanager
async def reloadable(fleet: Fleet, folder: Path) -> AsyncIterator[tuple[RunningSidecar, ConfigFile]]:
    async with run_sidecar(*fleet.endpoints, discovery=fleet.discovery) as running:
        yield running, ConfigFile(folder, running, fleet.configuration())


async def send(running: RunningSidecar, name: str, count: int = 24, label: str = "r", **form: Any) -> list[int]:
    """Send requests at the same time; return the statuses."""
    answers = await asyncio.gather(*(running.request(request(name, f"{label}{i}", **form)) for i in range(count)))
    return [status(head) for head, _ in answers]


LOOSENED = {
    "zone to all": (KEYED, {**KEYED, "group": "all"}),
    "cell to all": ({**KEYED, "group": "cell"}, {**KEYED, "group": "all"}),
    "cell to zone": ({**KEYED, "group": "cell"}, KEYED),
    "longer window": ({**KEYED, "group": "all", "window_ms": OLD_WINDOW_MS}, {**KEYED, "group": "all"}),
    "both": ({**KEYED, "window_ms": OLD_WINDOW_MS}, {**KEYED, "group": "all"}),
}


def has_forgotten(case: str) -> bool:
    """Return whether the endpoints forget a key before its request's connection is reset."""
    return "window" in case or case == "both"


def fleet_for(case: str) -> Fleet:
    """Return endpoints that show a retry which this change of settings allows, and the old settings don't."""
    return Fleet(RUN_TIME_S if has_forgotten(case) else 0.0, ("a", "a") if case == "cell to zone" else ("a", "b"))
