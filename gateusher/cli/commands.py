"""The commands, their options and help texts.

Each command imports its module when it runs, so that the others start without its dependencies.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Final

import click

EXIT_MISSING_EXTRA: Final = 2
EXIT_INTERRUPTED: Final = 130  # 128 and the number of SIGINT
POSITIVE = click.FloatRange(0, min_open=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def gateusher() -> None:
    """A load balancer beside or inside each client that never issues twice."""


@gateusher.command()
@click.option(
    "--config", metavar="FILE.toml", help="its configuration; without it BALANCER_CONFIG names the platform's JSON"
)
def run(config: str | None) -> int:
    """The daemon; also what no command at all starts."""
    from .run import run as command  # noqa: PLC0415

    return command(config)


@gateusher.command()
@click.argument("file")
def check(file: str) -> int:
    """Print every fault of a configuration, a TOML file or the platform's JSON; exit 2 if there is one."""
    from .check import check as command  # noqa: PLC0415

    return command(file)


@gateusher.command("try")
@click.option("--seconds", type=POSITIVE, default=12.0, show_default=True, help="how long the load lasts")
@click.option("--rate", type=POSITIVE, default=150.0, show_default=True, help="requests a second")
@click.option("--json", "as_json", is_flag=True, help="print one JSON object as the last line")
@click.option("--seed", type=int, default=1, show_default=True, help="of the load's random numbers")
def try_command(seconds: float, rate: float, as_json: bool, seed: int) -> int:
    """A daemon, stand-in nodes and a load for some seconds, then a summary."""
    from .demo import run_demo as command  # noqa: PLC0415

    return command(seconds, rate, as_json, seed)


FORMAT_OPTION = click.option(
    "--format",
    "form",
    metavar="NAME",
    help="how the sources are to be read; guessed from their content without it: "
    "combined, common, haproxy, envoy, alb, w3c, caddy, traefik, nginx-json, json, har, 'nginx:LOG_FORMAT' or "
    "'apache:LogFormat'",
)
ZONE_OPTION = click.option("--zone", metavar="+HH:MM", help="of times that are written without one")
STRICT_OPTION = click.option("--strict", is_flag=True, help="end at the first fault of a source")
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="print the report as JSON")


@gateusher.command()
@click.argument("sources", nargs=-1)
@click.option(
    "--target", required=True, metavar="IP:PORT", help="a stand-in, or a daemon in front of stand-ins alone"
)
@click.option(
    "--rules",
    default="replay.toml",
    show_default=True,
    metavar="FILE.toml",
    help="what the source's requests are to us",
)
@click.option(
    "--speed", type=POSITIVE, default=1.0, show_default=True, help="seconds of the source in one of the run"
)
@click.option("--copies", type=click.IntRange(1, 1000), default=1, show_default=True, help="of each client")
@click.option(
    "--shift",
    type=click.FloatRange(0),
    default=5.0,
    show_default=True,
    help="seconds of the source that a copy may be behind its client",
)
@click.option("--from", "begin", metavar="TIME", help="of the source, with its zone")
@click.option("--to", "end", metavar="TIME", help="of the source, with its zone")
@click.option("--workers", type=click.IntRange(1, 64), default=1, show_default=True, help="processes that send")
@click.option(
    "--connections",
    type=click.IntRange(8, 1_000_000),
    default=8192,
    show_default=True,
    help="that may stand at a time",
)
@click.option("--report", "folder", metavar="DIR", help="where report.html, report.json and faults.jsonl go")
@JSON_OPTION
@STRICT_OPTION
@FORMAT_OPTION
@ZONE_OPTION
@click.option(
    "--allow",
    metavar="FILE",
    help="targets that need no challenge, ip:port a line; unsafe classes are not sent to them",
)
@click.option("--seed", type=int, default=1, show_default=True, help="of shifts and of times inside whole seconds")
@click.option("--run", metavar="NAME", help="of the run, part of every id that it sends")
@click.option(
    "--trace", is_flag=True, help="a line for each request beside the report, with when it was planned and sent"
)
@click.option("--resume", metavar="DIR", help="go on with the run that was stopped with its report there")
def replay(**arguments: object) -> int:
    """Send the requests of HAR files and access logs, at their times, to stand-ins only.

    SOURCES are files, packed with gzip or zstandard or not; several are put in the order of their times.
    """
    from .replay import ReplayArguments  # noqa: PLC0415
    from .replay import replay as command  # noqa: PLC0415

    return command(ReplayArguments(**arguments))  # type: ignore[arg-type]


@gateusher.command()
@click.argument("sources", nargs=-1, required=True)
@click.option("--rules", "rules_file", metavar="FILE.toml", help="count by its classes too")
@FORMAT_OPTION
@ZONE_OPTION
@STRICT_OPTION
@JSON_OPTION
def inspect(
    sources: tuple[str, ...], rules_file: str | None, form: str | None, zone: str | None, strict: bool, as_json: bool
) -> int:
    """Summarise sources: span, rate, classes, clients, faults.  Nothing is sent."""
    from .inspect import inspect as command  # noqa: PLC0415

    return command(sources, rules_file, form, zone, strict, as_json)


@gateusher.command()
@click.option("--config", metavar="FILE.toml", help="of the sidecar that is asked; it names its control socket")
@click.option("--at", metavar="PATH|IP:PORT", help="its control socket or admin address")
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
@click.option("--watch", is_flag=True, help="a live table, until ctrl-C")
def members(config: str | None, at: str | None, as_json: bool, watch: bool) -> int:
    """The members as a running sidecar sees them: states, suspicions, what it sends and drops."""
    from .members import members as command  # noqa: PLC0415

    return command(config, at, as_json, watch)


CONFIG_OPTION = click.option(
    "--config", metavar="FILE.toml", help="of the sidecar that is asked, for its control socket"
)
AT_OPTION = click.option("--at", metavar="PATH|IP:PORT", help="its control socket or admin address")


@gateusher.group()
def duty() -> None:
    """Singleton tasks of a fleet: hold the lease of one, list the holders, release one."""


@duty.command("hold")
@CONFIG_OPTION
@AT_OPTION
@click.option("--wait", is_flag=True, help="as long as it takes; without it, two seconds")
@click.option(
    "--grace",
    type=click.FloatRange(0),
    default=2.0,
    show_default=True,
    help="seconds from SIGTERM to SIGKILL, and less where the lease ends before",
)
@click.argument("name")
@click.argument("argv", nargs=-1, required=True, metavar="-- COMMAND...")
def duty_hold(config: str | None, at: str | None, wait: bool, grace: float, name: str, argv: tuple[str, ...]) -> int:
    """Run a command while this machine's sidecar holds the lease of the duty NAME.

    Its environment has GATEUSHER_DUTY and GATEUSHER_FENCE.  The exit status is the command's; 75 the lease is held
    elsewhere, 79 it was lost and the command was ended, 69 no sidecar replies, 126 and 127 the command can't be run
    or found.
    """
    from .duty_hold import hold as command  # noqa: PLC0415

    return command(config, at, name, argv, wait, grace)


@duty.command("list")
@CONFIG_OPTION
@AT_OPTION
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
def duty_list(config: str | None, at: str | None, as_json: bool) -> int:
    """The lease holders that this sidecar knows of: a voter knows of every lease that it granted."""
    from .duty import list_tasks as command  # noqa: PLC0415

    return command(config, at, as_json, watch=False)


@duty.command("watch")
@CONFIG_OPTION
@AT_OPTION
@click.option("--json", "as_json", is_flag=True, help="print one JSON object a second")
def duty_watch(config: str | None, at: str | None, as_json: bool) -> int:
    """The list, updated until ctrl-C."""
    from .duty import list_tasks as command  # noqa: PLC0415

    return command(config, at, as_json, watch=True)


@duty.command("give")
@CONFIG_OPTION
@AT_OPTION
@click.argument("name")
def duty_give(config: str | None, at: str | None, name: str) -> int:
    """Have the lease holder of the duty NAME release it, so that another sidecar takes it."""
    from .duty import give as command  # noqa: PLC0415

    return command(config, at, name)


def run_command(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code; 2 where an extra that it needs is not installed."""
    try:
        code = gateusher.main(args=list(arguments), prog_name="gateusher", standalone_mode=False)
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.Abort:
        return EXIT_INTERRUPTED
    except ModuleNotFoundError as error:
        from .extras import extra_of  # noqa: PLC0415

        extra = extra_of(error.name or "")
        if extra is None:
            raise
        print(f"gateusher: {error.name} is not installed: pip install 'gateusher[{extra}]'", file=sys.stderr)
        return EXIT_MISSING_EXTRA
    except click.ClickException as error:
        error.show(sys.stderr)
        return error.exit_code
    return int(code or 0)
