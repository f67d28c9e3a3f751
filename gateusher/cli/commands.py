"""The commands, their options and help texts.

Each command imports its module when it runs, so that the others start without its dependencies.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from math import isfinite
from typing import Any, Final

import click

EXIT_MISSING_EXTRA: Final = 2
EXIT_INTERRUPTED: Final = 130  # 128 and the number of SIGINT


class FiniteFloatRange(click.FloatRange):
    """A range of floats that contains neither nan, which `click.FloatRange` accepts in every range, nor inf."""

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        """Return the value as a float; a usage error ends the command for one outside of the range."""
        number = super().convert(value, param, ctx)
        if not isfinite(number):
            self.fail(f"{value} is not a finite number.", param, ctx)
        return number


NOT_NEGATIVE = FiniteFloatRange(0)
POSITIVE = FiniteFloatRange(0, min_open=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def gateusher() -> None:
    """A sidecar or in-process load balancer that never executes an unsafe request twice."""


@gateusher.command()
@click.option(
    "--config", metavar="FILE.toml", help="configuration file; without it BALANCER_CONFIG names the platform's JSON"
)
def run(config: str | None) -> int:
    """Run the daemon.  This is also the default when no command is given."""
    from .run import run as command  # noqa: PLC0415

    return command(config)


@gateusher.command()
@click.argument("file")
def check(file: str) -> int:
    """Print every fault of a configuration (TOML, or the platform's JSON); exit with 2 if there is one."""
    from .check import check as command  # noqa: PLC0415

    return command(file)


@gateusher.command("try")
@click.option("--seconds", type=POSITIVE, default=12.0, show_default=True, help="duration of the load")
@click.option("--rate", type=POSITIVE, default=150.0, show_default=True, help="requests per second")
@click.option("--json", "as_json", is_flag=True, help="print one JSON object as the last line")
@click.option("--seed", type=int, default=1, show_default=True, help="seed of the load's random numbers")
def try_command(seconds: float, rate: float, as_json: bool, seed: int) -> int:
    """Run a daemon, stand-in nodes and a load for some seconds, then print a summary."""
    from .demo import run_demo as command  # noqa: PLC0415

    return command(seconds, rate, as_json, seed)


FORMAT_OPTION = click.option(
    "--format",
    "form",
    metavar="NAME",
    help="format of the sources; detected from their content if omitted: "
    "combined, common, haproxy, envoy, alb, w3c, caddy, traefik, nginx-json, json, har, 'nginx:LOG_FORMAT' or "
    "'apache:LogFormat'",
)
ZONE_OPTION = click.option("--zone", metavar="+HH:MM", help="time zone of timestamps without one")
STRICT_OPTION = click.option("--strict", is_flag=True, help="stop at the first fault of a source")
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
    help="rules that map the source's requests to request classes",
)
@click.option(
    "--speed",
    type=POSITIVE,
    default=1.0,
    show_default=True,
    help="seconds of the source played per second of the run",
)
@click.option(
    "--copies", type=click.IntRange(1, 1000), default=1, show_default=True, help="number of copies of each client"
)
@click.option(
    "--shift",
    type=NOT_NEGATIVE,
    default=5.0,
    show_default=True,
    help="maximum delay of a copy after its client, in seconds of the source",
)
@click.option("--from", "begin", metavar="TIME", help="first time to play, with its zone")
@click.option("--to", "end", metavar="TIME", help="time in the source to stop at, with its zone")
@click.option(
    "--workers", type=click.IntRange(1, 64), default=1, show_default=True, help="number of sending processes"
)
@click.option(
    "--connections",
    type=click.IntRange(8, 1_000_000),
    default=8192,
    show_default=True,
    help="maximum number of open connections",
)
@click.option("--report", "folder", metavar="DIR", help="folder for report.html, report.json and faults.jsonl")
@JSON_OPTION
@STRICT_OPTION
@FORMAT_OPTION
@ZONE_OPTION
@click.option(
    "--allow",
    metavar="FILE",
    help="file of targets that need no challenge, one ip:port per line; unsafe classes are not sent to them",
)
@click.option(
    "--seed", type=int, default=1, show_default=True, help="seed of the shifts, and of the times within whole seconds"
)
@click.option("--run", metavar="NAME", help="name of the run, part of every request id that it sends")
@click.option(
    "--trace",
    is_flag=True,
    help="write a line for each request, with its planned and actual time, to the report's folder",
)
@click.option("--resume", metavar="DIR", help="resume the stopped run whose report is in this folder")
def replay(**arguments: object) -> int:
    """Send the requests of HAR files and access logs, at their recorded times, to stand-ins only.

    SOURCES are files, optionally compressed with gzip or zstandard; several are merged in the order of their times.
    """
    from .replay import ReplayArguments  # noqa: PLC0415
    from .replay import replay as command  # noqa: PLC0415

    return command(ReplayArguments(**arguments))  # type: ignore[arg-type]


@gateusher.command()
@click.argument("sources", nargs=-1, required=True)
@click.option("--rules", "rules_file", metavar="FILE.toml", help="also count by the classes of these rules")
@FORMAT_OPTION
@ZONE_OPTION
@STRICT_OPTION
@JSON_OPTION
def inspect(
    sources: tuple[str, ...], rules_file: str | None, form: str | None, zone: str | None, strict: bool, as_json: bool
) -> int:
    """Summarize sources: time span, rate, classes, clients, faults.  No request is sent."""
    from .inspect import inspect as command  # noqa: PLC0415

    return command(sources, rules_file, form, zone, strict, as_json)


@gateusher.command()
@click.option(
    "--config", metavar="FILE.toml", help="configuration of the sidecar to query; it names the control socket"
)
@click.option("--at", metavar="PATH|IP:PORT", help="its control socket or admin address")
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
@click.option("--watch", is_flag=True, help="update the table until ctrl-C")
def members(config: str | None, at: str | None, as_json: bool, watch: bool) -> int:
    """Print the members as a running sidecar sees them: states, suspicions, traffic and drops."""
    from .members import members as command  # noqa: PLC0415

    return command(config, at, as_json, watch)


CONFIG_OPTION = click.option(
    "--config", metavar="FILE.toml", help="configuration of the sidecar to query; it names the control socket"
)
AT_OPTION = click.option("--at", metavar="PATH|IP:PORT", help="its control socket or admin address")


@gateusher.group()
def duty() -> None:
    """Singleton tasks of a fleet: hold a lease, list the lease holders, release a lease."""


@duty.command("hold")
@CONFIG_OPTION
@AT_OPTION
@click.option("--wait", is_flag=True, help="wait for the lease without limit instead of two seconds")
@click.option(
    "--grace",
    type=NOT_NEGATIVE,
    default=2.0,
    show_default=True,
    help="seconds from SIGTERM to SIGKILL; less if the lease ends sooner",
)
@click.argument("name")
@click.argument("argv", nargs=-1, required=True, metavar="-- COMMAND...")
def duty_hold(config: str | None, at: str | None, wait: bool, grace: float, name: str, argv: tuple[str, ...]) -> int:
    """Run a command while this machine's sidecar holds the lease of the singleton task NAME.

    GATEUSHER_DUTY and GATEUSHER_FENCE are set in its environment.  The exit status is the command's own, or 75 if the
    lease is held elsewhere, 79 if it was lost and the command was terminated, 69 if no sidecar replies, 126 if the
    command can't be run and 127 if it is not found.
    """
    from .duty_hold import hold as command  # noqa: PLC0415

    return command(config, at, name, argv, wait, grace)


@duty.command("list")
@CONFIG_OPTION
@AT_OPTION
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
def duty_list(config: str | None, at: str | None, as_json: bool) -> int:
    """List the lease holders that this sidecar knows of; a voter knows of every lease that it granted."""
    from .duty import list_tasks as command  # noqa: PLC0415

    return command(config, at, as_json, watch=False)


@duty.command("watch")
@CONFIG_OPTION
@AT_OPTION
@click.option("--json", "as_json", is_flag=True, help="print one JSON object per second")
def duty_watch(config: str | None, at: str | None, as_json: bool) -> int:
    """Show the list of lease holders, updated until ctrl-C."""
    from .duty import list_tasks as command  # noqa: PLC0415

    return command(config, at, as_json, watch=True)


@duty.command("give")
@CONFIG_OPTION
@AT_OPTION
@click.argument("name")
def duty_give(config: str | None, at: str | None, name: str) -> int:
    """Ask the lease holder of the singleton task NAME to release it, so that another sidecar can acquire it."""
    from .duty import give as command  # noqa: PLC0415

    return command(config, at, name)


def run_command(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code, which is 2 if a required extra is not installed."""
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
