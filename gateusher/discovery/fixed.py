"""An endpoint list from the configuration, which changes only when the configuration is reloaded.

`StaticDiscovery` owns the version number of the list, which each reload increments.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ..base.log import log_event
from ..config.model import Names
from ..policy.interface import EndpointListUpdate, UpdateKind
from .lists import EndpointListError, ListedEndpoint, read_list


class StaticDiscovery:
    """A static list in place of `catalog.Discovery`; endpoints that a reload no longer lists are removed.

    The callbacks are the same as those of `catalog.Discovery`.
    """

    def __init__(
        self,
        names: Names,
        on_update: Callable[[EndpointListUpdate], None],
        on_entries: Callable[[list[ListedEndpoint], bool], None],
        accepts: Callable[[ListedEndpoint], bool],
    ) -> None:
        self._names = names
        self._on_update = on_update
        self._on_entries = on_entries
        self._accepts = accepts
        self._version = 0
        self.list_received = asyncio.Event()
        self.list_received.set()  # there is no service to wait for

    def start(self, known: dict[str, Any]) -> None:
        """Publish the initial list."""
        self.replace(known)

    def replace(self, known: dict[str, Any]) -> None:
        """Publish another complete list."""
        self._version += 1
        try:
            _, _, entries = read_list({**known, "seq": self._version, "whole": True}, self._names)
        except EndpointListError as error:
            log_event("list not used", error)
            return
        accepted = [entry for entry in entries if self._accepts(entry)]
        self._on_entries(accepted, True)
        kind = UpdateKind.CACHED if self._version == 1 else UpdateKind.COMPLETE
        self._on_update(EndpointListUpdate(kind, self._version, tuple(entry.endpoint for entry in accepted)))

    def watch(self) -> None:
        """Do nothing: there is no service to call."""

    def stop(self) -> None:
        """Do nothing: no call is open."""

    def catch_up(self) -> None:
        """Do nothing: there is nothing to read."""

    def sweep(self) -> None:
        """Do nothing: there are no calls that could time out."""
