"""Blocks the daemon's signals until it has installed handlers for them."""

from __future__ import annotations

import signal
from typing import Final

DAEMON_SIGNALS: Final = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def block_signals() -> None:
    """Leave the daemon's signals pending; called first in a start.

    Without a handler SIGHUP would end the process, and SIGTERM would lose the clients that it has already.  A signal
    that comes before this call, while the interpreter itself starts, can only be blocked by whoever starts the
    process (`run` in deploy/balancer.toml ignores SIGHUP until here).
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, DAEMON_SIGNALS)


def unblock_signals() -> None:
    """Deliver the signals that are pending, now that handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, DAEMON_SIGNALS)
