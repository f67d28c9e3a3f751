"""A list that the configuration holds: it changes only when the configuration is read again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ..base.log import log_event
from ..config.model import Names
from ..policy.interface import EndpointListUpdate, UpdateKind
from .lists import HostLine, LineError, read_list


class Fixed:
    """Stands where a followed list would; what a new configuration no longer names is gone."""

    def __init__(
        self,
        names: Names,
        news: Callable[[EndpointListUpdate], None],
        update: Callable[[list[HostLine], bool], None],
        knows: Callable[[HostLine], bool],
    ) -> None:
        self._names, self._news, self._update, self._knows = names, news, update, knows
        self._version = 0
        self.heard = asyncio.Event()
        self.heard.set()  # there is nobody else to hear

    def cached(self, known: dict[str, Any]) -> None:
        """The list at the start."""
        self.replace(known)

    def replace(self, known: dict[str, Any]) -> None:
        """Another whole list."""
        self._version += 1
        try:
            _, _, lines = read_list({**known, "seq": self._version, "whole": True}, self._names)
        except LineError as error:
            log_event("list not used", error)
            return
        own = [line for line in lines if self._knows(line)]
        self._update(own, True)
        kind = UpdateKind.CACHED if self._version == 1 else UpdateKind.COMPLETE
        self._news(EndpointListUpdate(kind, self._version, tuple(line.endpoint for line in own)))

    def watch(self) -> None:
        """There is nothing to ask: what is known is all there is."""

    def stop(self) -> None:
        """Nothing is followed."""

    def catch_up(self) -> None:
        """Nothing is ever unread."""

    def sweep(self) -> None:
        """Nothing can fall silent."""
