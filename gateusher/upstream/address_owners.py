"""Which endpoint each address belongs to.

A list may be late to tell that an endpoint has gone, and name a new one at its address already.  Whoever connects
reaches the process that started last, so no other endpoint may be used there: its zone, its cell and what it
remembers are not those of the process that answers.
"""

from __future__ import annotations

from .connection import EndpointConnections

Address = tuple[str, int]


class AddressOwners:
    """Owns `EndpointConnections.is_replaced` of all endpoints."""

    def __init__(self) -> None:
        self._listed: dict[Address, list[EndpointConnections]] = {}  # the endpoints that are listed at each address

    def add(self, endpoint: EndpointConnections) -> list[EndpointConnections]:
        """Record an endpoint at its address; return the endpoints there that are replaced."""
        sharing = self._listed.setdefault(endpoint.address, [])
        sharing.append(endpoint)
        return self._update(sharing)

    def remove(self, endpoint: EndpointConnections) -> None:
        """Record that an endpoint has left its address."""
        sharing = self._listed.get(endpoint.address, [])
        if endpoint not in sharing:
            return
        sharing.remove(endpoint)
        self._update(sharing)
        if not sharing:
            del self._listed[endpoint.address]

    @staticmethod
    def _update(sharing: list[EndpointConnections]) -> list[EndpointConnections]:
        latest_ms = max((endpoint.started_ms for endpoint in sharing), default=0.0)
        for endpoint in sharing:
            endpoint.is_replaced = endpoint.started_ms < latest_ms
        return [endpoint for endpoint in sharing if endpoint.is_replaced]
