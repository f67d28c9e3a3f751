"""One call to a running sidecar's operators: over its Unix socket, or its address of ip:port."""

from __future__ import annotations

import http.client
import json
import socket
from typing import Any

from ..config.model import ConfigError, address

ANSWER_S = 5.0


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


def fetch(where: str, path: str) -> Any:
    """A page's content.  Raises UnreachableError."""
    try:
        try:
            host, port = address(where)
            connection: http.client.HTTPConnection = http.client.HTTPConnection(host, port, timeout=ANSWER_S)
        except ValueError:
            connection = _Local(where)
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
