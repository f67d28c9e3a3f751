"""SIGHUP: the configuration as it is now, taken up or refused; read again where it can't be read for a moment."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ..base.log import log_event
from ..config.model import Config, ConfigError
from ..daemon import Sidecar

AGAIN_S: Final = 0.1
GIVE_UP_S: Final = 30.0


class Reloads:
    """Each signal begins anew: a later one takes the place of tries that an earlier one has left.

    The file wins over BALANCER_DISCOVERY here, which still says what held at the start.  Whatever goes wrong with a
    new file, the old configuration serves on; that could hide a mistake, so it is logged.
    """

    def __init__(self, sidecar: Sidecar, read: Callable[[Config], Config]) -> None:
        self._sidecar, self._read = sidecar, read
        self._again: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """The signal has come."""
        self._try(asyncio.get_running_loop().time() + GIVE_UP_S, told=False)

    def _try(self, until_s: float, told: bool) -> None:
        if self._again:
            self._again.cancel()
            self._again = None
        try:
            config = self._read(self._sidecar.config)
        except ConfigError as error:
            loop = asyncio.get_running_loop()
            again = error.passing and loop.time() < until_s and not self._sidecar.ended.is_set()
            if not told or not again:
                log_event("reload: the old configuration stays", f"{error}: again soon" if again else error)
            if again:
                self._again = loop.call_later(AGAIN_S, self._try, until_s, True)
            return
        self._sidecar.follow(config)
