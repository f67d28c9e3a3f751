"""Blocks the daemon's signals while it has no handlers for them: until they are installed, and as it ends."""

from __future__ import annotations

import signal
from typing import Final

DAEMON_SIGNALS: Final = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def block_signals() -> None:
    """Block the daemon's signals so that they stay pending; the first call at startup, and the last at the end.

    Without a handler SIGHUP would end the process, and SIGTERM would drop clients that are already connected.  A
    signal that arrives before this call, while the interpreter starts, can only be blocked by the parent process (the
    `run` command in deploy/balancer.toml ignores SIGHUP until this call).
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, DAEMON_SIGNALS)


def unblock_signals() -> None:
    """Unblock the daemon's signals; call it after the handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, DAEMON_SIGNALS)
