"""One call to a running sidecar's operators: over its Unix socket, or its address of ip:port."""

from __future__ import annotations

import http.client
import json
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

from rich.console import Console, RenderableType
from rich.live import Live

from ..config.addresses import address
from ..config.model import ConfigError

ANSWER_S = 5.0
WATCH_S = 1.0


class UnreachableError(OSError):
    """Nobody answers there, or not as a sidecar does; the text says what was met."""


class _Local(http.client.HTTPConnection):
    def __init__(self, path: str) -> None:
        super().__init__("localhost", timeout=ANSWER_S)
        self._path = path

    def connect(self) -> None:
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(ANSWER_S)
        self.sock.connect(self._path)


def place(config: str | None, at: str | None) -> str:
    """Where to ask: what is named, or what a configuration names.  Raises ConfigError."""
    if at:
        return at
    if not config:
        raise ConfigError("--config or --at: which sidecar to ask is wanted")
    from ..config.file import load  # noqa: PLC0415 - only where a file is named

    found = load(config)
    if found.control:
        return found.control
    if found.admin:
        return "{}:{}".format(*found.admin)
    raise ConfigError(f"{config}: neither control nor admin is set, so nobody can ask this sidecar")


def target(where: str) -> str | tuple[str, int]:
    """IP and port of a place that is one; any other is the path of a Unix socket."""
    try:
        return address(where)
    except ValueError:
        return where


def show(
    config: str | None,
    at: str | None,
    path: str,
    absent: str,
    shown: Callable[[Any], RenderableType],
    as_json: bool,
    watch: bool,
) -> int:
    """Print a page of a running sidecar, once or each second until ctrl-C.

    0; 2 where none can be asked, or it has no such page: then `absent` says why.
    """

    def report() -> Any:
        found = fetch(where, path)
        if not isinstance(found, dict):
            raise UnreachableError(f"{where}: {absent}")
        return found

    try:
        where = place(config, at)
        first = report()
        if as_json:
            print(json.dumps(first), flush=True)
            while watch:
                time.sleep(WATCH_S)
                print(json.dumps(report()), flush=True)
        elif not watch:
            Console().print(shown(first))
        else:
            with Live(shown(first), refresh_per_second=4) as live:
                while True:
                    time.sleep(WATCH_S)
                    live.update(shown(report()))
    except ConfigError as error:
        print(*error.faults, sep="\n", file=sys.stderr)
        return 2
    except UnreachableError as error:
        print(error, file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 0
    return 0


def fetch(where: str, path: str) -> Any:
    """A page's content.  Raises UnreachableError."""
    try:
        to = target(where)
        connection = _Local(to) if isinstance(to, str) else http.client.HTTPConnection(*to, timeout=ANSWER_S)
        connection.request("GET", path)
        answer = connection.getresponse()
        body = answer.read()
        connection.close()
    except (OSError, http.client.HTTPException) as error:
        raise UnreachableError(f"{where}: {error}") from None
    if answer.status != 200:
        raise UnreachableError(f"{where}: status {answer.status}")
    try:
        return json.loads(body)
    except ValueError:
        raise UnreachableError(f"{where}: no JSON in its answer") from None
