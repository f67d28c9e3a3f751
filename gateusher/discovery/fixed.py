"""An endpoint list from the configuration: it changes only when the configuration is reloaded.

`StaticDiscovery` owns the number of the list's version, which each reload raises.
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
    """A static list in place of `catalog.Discovery`; endpoints that a reload no longer names are removed.

    The callbacks are those of `catalog.Discovery`.
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
        self.list_received.set()  # no service has to be waited for

    def start(self, known: dict[str, Any]) -> None:
        """Publish the list at the start."""
        self.replace(known)

    def replace(self, known: dict[str, Any]) -> None:
        """Publish another complete list."""
        self._version += 1
        try:
            _, _, lines = read_list({**known, "seq": self._version, "whole": True}, self._names)
        except EndpointListError as error:
            log_event("list not used", error)
            return
        accepted = [line for line in lines if self._accepts(line)]
        self._on_entries(accepted, True)
        kind = UpdateKind.CACHED if self._version == 1 else UpdateKind.COMPLETE
        self._on_update(EndpointListUpdate(kind, self._version, tuple(line.endpoint for line in accepted)))

    def watch(self) -> None:
        """Do nothing: there is no service to call."""

    def stop(self) -> None:
        """Do nothing: no call is open."""

    def catch_up(self) -> None:
        """Do nothing: nothing can be unread."""

    def sweep(self) -> None:
        """Do nothing: no call can fall silent."""
