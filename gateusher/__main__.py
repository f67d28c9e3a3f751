"""Entry point of `python -m gateusher` and the console script.

Without arguments it runs the daemon; the platform starts it that way.
"""

from __future__ import annotations

import sys

from .base import signals
from .base.without_openssl import without_openssl


def main() -> int:
    """Run the command given by the arguments and return its exit code."""
    arguments = sys.argv[1:]
    if arguments[:1] in ([], ["run"]):
        signals.block_signals()
        with without_openssl():
            from .cli.run import run  # noqa: PLC0415
    if arguments in ([], ["run"]):  # the daemon does not load the argument parser, to start faster
        return run(None)
    from .cli.commands import run_command  # noqa: PLC0415

    return run_command(arguments)


if __name__ == "__main__":
    sys.exit(main())
