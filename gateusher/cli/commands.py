"""The commands and their arguments."""

from __future__ import annotations

import argparse
from collections.abc import Sequence


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="gateusher", description="A load balancer beside or inside each client that never issues twice.")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    run = commands.add_parser("run", help="the daemon; also what no command at all starts")
    run.add_argument("--config", metavar="FILE.toml",
                     help="its configuration; without it BALANCER_CONFIG names the platform's JSON")
    check = commands.add_parser("check", help="say all that is wrong with a configuration; exit 2 if anything is")
    check.add_argument("file", metavar="FILE", help="a TOML file, or the platform's JSON")
    first = commands.add_parser("try", help="a daemon, stand-in nodes and a load for some seconds, then a summary")
    first.add_argument("--seconds", type=float, default=12.0, help="how long the load lasts (default %(default)s)")
    first.add_argument("--rate", type=float, default=150.0, help="requests a second (default %(default)s)")
    first.add_argument("--json", action="store_true", help="print one JSON object as the last line")
    first.add_argument("--seed", type=int, default=1, help="of the load's random numbers (default %(default)s)")
    return parser


def command(words: Sequence[str]) -> int:
    """Run one command; its exit code."""
    parser = _parser()
    args = parser.parse_args(words)
    if args.command == "run":
        from .run import run  # noqa: PLC0415 - each command loads only what it needs

        return run(args.config)
    if args.command == "check":
        from .check import check  # noqa: PLC0415

        return check(args.file)
    if not (args.seconds > 0 and args.rate > 0):
        parser.error("--seconds and --rate are numbers above 0")
    from .first import first  # noqa: PLC0415

    return first(args.seconds, args.rate, args.json, args.seed)
