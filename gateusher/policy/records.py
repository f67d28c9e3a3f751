"""What one client remembers: a record per server and one per request in hand."""

from __future__ import annotations

from dataclasses import dataclass, field

from .interface import Endpoint

LONG_AGO = -1e12


@dataclass(slots=True, eq=False)
class Lane:
    """One class of requests that fails on a server that serves others."""

    misses: int = 0  # failures in a row, and when the latest of these was sent
    sent_at: float = LONG_AGO
    barred_at: float = LONG_AGO  # when it was last left out, and until when
    out_until: float = 0.0


@dataclass(slots=True, eq=False)
class Server:
    """What one client knows of one endpoint."""

    eid: int
    info: Endpoint
    ready: bool = False
    c: float = 0.0  # inclusion probability
    level: int = 0  # the level of c that lists it, and its place there
    pos: int = 0
    load: float = 0.0  # the last report and its time
    load_at: float = LONG_AGO
    slow: float = 1.0  # its own slowness against its kind, and when it was last measured
    slow_at: float = 0.0
    out: int = 0  # own attempts there
    owes: bool = False  # something was sent there since its last answer
    quiet_at: float = 0.0  # since when it has been silent on that
    served_sent: float = LONG_AGO  # when the latest of those that it has served was sent
    heard_at: float = LONG_AGO  # its last answer
    used_at: float = LONG_AGO  # the last use of a connection
    strikes: int = 0  # silences in a row, and the time of the last
    struck_at: float = LONG_AGO
    down_at: float = LONG_AGO  # the first of them
    lanes: dict[int, Lane] = field(default_factory=dict)  # the classes that fail there
    dead: bool = False  # the last of them was a failed connection
    late: bool = False  # time ran out there and nothing has come since
    out_until: float = 0.0  # left out of the draws until then
    cold_from: float = 0.0  # start and end of its warm-up
    warm_at: float = LONG_AGO
    credit: float = 0.0  # what may still be sent to it while cold
    credit_at: float = 0.0


@dataclass(slots=True, eq=False)
class Work:
    """A request in hand."""

    rid: int
    cls: int
    key: int
    began: float
    give_up: float
    sent: list[tuple[Server, float, float]] = field(default_factory=list)  # server, time, load seen then
    out: int = 0  # attempts that are out
    maybe_ran: bool = False
    ended: bool = False
    round: int = 0  # the tries before the round in which each server is asked once
    held: int = 0  # the number of tries it last paused after
    home: Server | None = None  # where a keyed request may first have run, and when it was sent there
    home_at: float = 0.0
    most: int = 1  # attempts that it may have
    span: float = 0.0  # its time, from the last byte of its body on


def spread(n: int) -> int:
    """A fixed 64-bit mix, the same in every process."""
    n = (n ^ n >> 31) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    n = (n ^ n >> 29) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return n ^ n >> 32
