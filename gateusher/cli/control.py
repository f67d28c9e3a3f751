"""HTTP calls to the operators' interface of a running sidecar: its Unix control socket or its admin address.

The module also prints a sidecar's report, once or periodically, for the commands that only show one.
"""

from __future__ import annotations

import http.client
import json
import socket
import sys
import time
from collections.abc import Callable
from typing import Any, Final

from rich.console import Console, RenderableType
from rich.live import Live

from ..config.addresses import address
from ..config.model import ConfigError

RESPONSE_TIMEOUT_S: Final = 5.0
WATCH_INTERVAL_S: Final = 1.0
WATCH_REFRESHES_PER_SECOND: Final = 4
EXIT_SUCCESS: Final = 0
EXIT_NO_REPORT: Final = 2


class UnreachableError(OSError):
    """No sidecar replies at the address; the message says what happened instead."""


class _UnixHTTPConnection(http.client.HTTPConnection):
    """An HTTP connection over a Unix socket."""

    def __init__(self, path: str) -> None:
        super().__init__("localhost", timeout=RESPONSE_TIMEOUT_S)
        self._path = path

    def connect(self) -> None:
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(RESPONSE_TIMEOUT_S)
        self.sock.connect(self._path)


def control_address(config: str | None, at: str | None) -> str:
    """Return `at`, or the control socket or admin address that a configuration file sets.  Raises ConfigError."""
    if at:
        return at
    if not config:
        raise ConfigError("--config or --at: one of them is required to select the sidecar")
    from ..config.file import load  # noqa: PLC0415 - only where a file is named

    settings = load(config)
    if settings.control:
        return settings.control
    if settings.admin:
        host, port = settings.admin
        return f"{host}:{port}"
    raise ConfigError(f"{config}: neither control nor admin is set, so this sidecar cannot be queried")


def parse_address(text: str) -> str | tuple[str, int]:
    """Return the IP address and port of `ip:port`, or any other text unchanged as the path of a Unix socket."""
    try:
        return address(text)
    except ValueError:
        return text


def print_report(
    config: str | None,
    at: str | None,
    path: str,
    unavailable_reason: str,
    render: Callable[[Any], RenderableType],
    as_json: bool,
    watch: bool,
) -> int:
    """Print the report at `path` of a running sidecar, once or each WATCH_INTERVAL_S until ctrl-C.

    `unavailable_reason` is printed if the sidecar has no such report.  Returns the exit code, which is 2 in that case
    or if no sidecar can be reached.
    """
    try:
        where = control_address(config, at)

        def fetch_report() -> Any:
            report = fetch(where, path)
            if not isinstance(report, dict):
                raise UnreachableError(f"{where}: {unavailable_reason}")
            return report

        if as_json:
            _print_json(fetch_report, watch)
        else:
            _print_table(fetch_report, render, watch)
    except ConfigError as error:
        print(*error.faults, sep="\n", file=sys.stderr)
        return EXIT_NO_REPORT
    except UnreachableError as error:
        print(error, file=sys.stderr)
        return EXIT_NO_REPORT
    except KeyboardInterrupt:
        return EXIT_SUCCESS
    return EXIT_SUCCESS


def _print_json(fetch_report: Callable[[], Any], watch: bool) -> None:
    print(json.dumps(fetch_report()), flush=True)
    while watch:
        time.sleep(WATCH_INTERVAL_S)
        print(json.dumps(fetch_report()), flush=True)


def _print_table(fetch_report: Callable[[], Any], render: Callable[[Any], RenderableType], watch: bool) -> None:
    first_table = render(fetch_report())
    if not watch:
        Console().print(first_table)
        return
    with Live(first_table, refresh_per_second=WATCH_REFRESHES_PER_SECOND) as live:
        while True:
            time.sleep(WATCH_INTERVAL_S)
            live.update(render(fetch_report()))


def fetch(where: str, path: str) -> Any:
    """Return the JSON content at a path of a sidecar's operators' interface.  Raises UnreachableError."""
    try:
        response, body = _get(where, path)
    except (OSError, http.client.HTTPException) as error:
        raise UnreachableError(f"{where}: {error}") from None
    if response.status != http.client.OK:
        raise UnreachableError(f"{where}: status {response.status}")
    try:
        return json.loads(body)
    except ValueError:
        raise UnreachableError(f"{where}: the response is not JSON") from None


def _get(where: str, path: str) -> tuple[http.client.HTTPResponse, bytes]:
    parsed = parse_address(where)
    if isinstance(parsed, str):
        connection: http.client.HTTPConnection = _UnixHTTPConnection(parsed)
    else:
        connection = http.client.HTTPConnection(*parsed, timeout=RESPONSE_TIMEOUT_S)
    connection.request("GET", path)
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return response, body
