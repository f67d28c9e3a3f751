"""Reads addresses of the form `ip:port`."""

from __future__ import annotations

import socket


def address(text: object) -> tuple[str, int]:
    """Parse `ip:port` into IP address and port.  Raises ValueError for anything else; host names are not resolved."""
    if not isinstance(text, str):
        raise ValueError(f"not an address: {text!r}")
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError:
        raise ValueError(f"not an IP address: {host!r}") from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"not a port: {port!r}")
    return host, int(port)
