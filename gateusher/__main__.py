"""`python -m gateusher` and the console script.  With no argument it is the daemon, as the platform starts it."""

from __future__ import annotations

import sys

from .base import signals


def main() -> int:
    """Run the command that the arguments name and return its exit code."""
    arguments = sys.argv[1:]
    if arguments[:1] in ([], ["run"]):
        signals.block_signals()
    if arguments in ([], ["run"]):  # the daemon loads no parser of arguments: its start is counted
        from .cli.run import run  # noqa: PLC0415

        return run(None)
    from .cli.commands import run_command  # noqa: PLC0415

    return run_command(arguments)


if __name__ == "__main__":
    sys.exit(main())
