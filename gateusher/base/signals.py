"""The signals that the daemon handles, held back until it has handlers for them."""

from __future__ import annotations

import signal
from typing import Final

DAEMON_SIGNALS: Final = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def block_signals() -> None:
    """Let them wait: without a handler SIGHUP would end the process, and SIGTERM lose the clients it has already.

    Called as the first thing of a start.  What comes before that, while the interpreter itself starts, only whoever
    starts it can hold back (`run` in deploy/balancer.toml ignores SIGHUP until here).
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, DAEMON_SIGNALS)


def unblock_signals() -> None:
    """Handlers stand: those that waited are delivered now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, DAEMON_SIGNALS)
