"""Blocks the daemon's signals until it has installed handlers for them."""

from __future__ import annotations

import signal
from typing import Final

DAEMON_SIGNALS: Final = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def block_signals() -> None:
    """Block the daemon's signals so that they stay pending; must be the first call at startup.

    Without a handler SIGHUP would end the process, and SIGTERM would drop clients that are already connected.  A
    signal that arrives before this call, while the interpreter starts, can only be blocked by the parent process (the
    `run` command in deploy/balancer.toml ignores SIGHUP until this call).
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, DAEMON_SIGNALS)


def unblock_signals() -> None:
    """Unblock the daemon's signals; call it after the handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, DAEMON_SIGNALS)
