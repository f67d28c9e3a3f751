"""SIGHUP: reload the configuration and apply it, or keep the old one; transient read errors are retried.

`ConfigReloader` owns the timer of the next retry, and whether a signal is still to be handled.

A process that was stopped may read its clients' requests before the event loop handles a signal that arrived before
them.  The interpreter notes a signal as soon as it runs any code, so that the reload can come first.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType
from typing import Final

from ..base.log import log_event
from ..config.model import Config, ConfigError
from ..daemon import Sidecar

RETRY_INTERVAL_S: Final = 0.1
RETRY_FOR_S: Final = 30.0


class ConfigReloader:
    """Reloads a sidecar's configuration.  A later signal replaces the retries of an earlier one.

    An unusable file is logged, and the old configuration stays in use.
    """

    def __init__(self, sidecar: Sidecar, read_config: Callable[[Config], Config]) -> None:
        """`read_config` receives the current configuration and returns the new one, or raises ConfigError."""
        self._sidecar = sidecar
        self._read_config = read_config
        self._retry: asyncio.TimerHandle | None = None
        self._is_due = False

    def install(self) -> None:
        """Handle SIGHUP from now on, and before any request that is read after it."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload_if_due)
        signal.signal(signal.SIGHUP, self._note_signal)  # the event loop is woken as before
        signal.siginterrupt(signal.SIGHUP, False)  # as the event loop does: system calls go on
        self._sidecar.server.before_request = self.reload_if_due

    def _note_signal(self, _number: int, _frame: FrameType | None) -> None:
        """Run between any two instructions, so no more than this."""
        self._is_due = True

    def reload_if_due(self) -> None:
        """Reload if SIGHUP has arrived since the latest reload."""
        if self._is_due:
            self._is_due = False
            self.reload()

    def reload(self) -> None:
        """Read the configuration, with retries for RETRY_FOR_S."""
        self._try_reload(asyncio.get_running_loop().time() + RETRY_FOR_S, is_retry=False)

    def _try_reload(self, retry_until_s: float, is_retry: bool) -> None:
        if self._retry:
            self._retry.cancel()
            self._retry = None
        try:
            config = self._read_config(self._sidecar.config)
        except ConfigError as error:
            self._handle_error(error, retry_until_s, is_retry)
            return
        self._sidecar.apply_config(config)

    def _handle_error(self, error: ConfigError, retry_until_s: float, is_retry: bool) -> None:
        """Log the first error and the last, and schedule a retry if the error is transient."""
        loop = asyncio.get_running_loop()
        will_retry = error.passing and loop.time() < retry_until_s and not self._sidecar.ended.is_set()
        if not will_retry:
            log_event("reload: the old configuration stays", error)
            return
        if not is_retry:
            log_event("reload: the old configuration stays", f"{error}: again soon")
        self._retry = loop.call_later(RETRY_INTERVAL_S, self._try_reload, retry_until_s, True)
