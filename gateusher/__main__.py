"""`python -m gateusher` and the console script.  With no argument it is the daemon, as the platform starts it."""

from __future__ import annotations

import sys

from .base import signals


def main() -> int:
    """The exit code of the command that the arguments name."""
    words = sys.argv[1:]
    if words[:1] in ([], ["run"]):
        signals.block_signals()
    if words in ([], ["run"]):  # the daemon loads no parser of arguments: its start is counted
        from .cli.run import run  # noqa: PLC0415

        return run(None)
    from .cli.commands import command  # noqa: PLC0415

    return command(words)


if __name__ == "__main__":
    sys.exit(main())
