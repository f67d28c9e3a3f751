"""What goes to the target: requests in the platform's form, with nothing of the source's credentials in them.

Only the class, a salted key, the tenant that a rule names, and a body where a rule asks for it come from the source.
Cookies, `Authorization`, query strings, signatures and all other headers stay behind, since none is copied.  Ids and
idempotency keys are made anew, in a name space that says that this is a replay.
"""

from __future__ import annotations

import re
from enum import IntEnum

from .plan import Planned
from .rules import Mapper

RUN = re.compile(r"[0-9a-z]{4,24}")
PREFIX = "replay"  # of every id


class Outcome(IntEnum):
    """What became of a request."""

    SERVED = 0  # 2xx
    REFUSED = 1  # 429 or 503: a repeat is harmless; none is made
    TIMED_OUT = 2  # 504
    REDIRECTED = 3  # 3xx: never followed
    FAILED = 4  # any other status
    NO_ANSWER = 5  # none within the deadline
    BROKEN = 6  # the connection ended before the answer did
    UNREACHABLE = 7  # no connection came up: it was not sent
    HELD_BACK = 8  # its client's line was too long: it was not sent
    STOPPED = 9  # the run ended first: it was not sent


NOT_SENT = (Outcome.UNREACHABLE, Outcome.HELD_BACK, Outcome.STOPPED)


def outcome_of(status: int) -> Outcome:
    """The outcome that a status stands for."""
    if 200 <= status < 300:
        return Outcome.SERVED
    if status in (429, 503):
        return Outcome.REFUSED
    if status == 504:
        return Outcome.TIMED_OUT
    return Outcome.REDIRECTED if 300 <= status < 400 else Outcome.FAILED


class Wire:
    """Requests as bytes.

    :param run: the name of this run, part of every id: plain small letters and figures.
    :param host: what stands in Host.
    """

    def __init__(self, mapper: Mapper, run: str, host: str) -> None:
        if not RUN.fullmatch(run):
            raise ValueError(f"the name of a run is 4 to 24 small letters and figures, found {run!r}")
        self.run = run
        classes = mapper.mapping.classes
        self.deadlines = [classes[name].deadline for name in mapper.names]
        self.aims = [classes[name].aim for name in mapper.names]
        self.names = [name.encode() for name in mapper.names]
        self.methods = [mapper.method(cls).encode() for cls in range(len(mapper.names))]
        self.unsafe = [classes[name].effect == "unsafe" for name in mapper.names]
        self.keyed = [classes[name].effect == "keyed" for name in mapper.names]
        self._bodies = [classes[name].effect != "safe" for name in mapper.names]
        self._heads = [f"{mapper.method(cls)} " for cls in range(len(mapper.names))]
        self._rest = [
            f" HTTP/1.1\r\nHost: {host}\r\nX-Class: {name}\r\nX-Deadline: {deadline:.3f}\r\n"
            f"X-Replay: {run}\r\nX-Request-Id: {PREFIX}-{run}-"
            for name, deadline in zip(mapper.names, self.deadlines, strict=True)
        ]
        self._filler: dict[int, bytes] = {}

    def request(self, planned: Planned) -> bytes:
        """One request, whole."""
        cls = planned.cls
        head = f"{self._heads[cls]}{self.target(planned).decode()}{self._rest[cls]}{planned.number}\r\n"
        if planned.tenant:
            head += f"X-Tenant: {planned.tenant}\r\n"
        if self.keyed[cls]:
            head += f"Idempotency-Key: {PREFIX}-{self.run}-{planned.number}\r\n"
        if not self._bodies[cls]:
            return f"{head}\r\n".encode()
        body = self.body(planned)
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

    def target(self, planned: Planned) -> bytes:
        """Path and query."""
        query = f"?obj={planned.key}" if planned.key else ""
        return b"/" + self.names[planned.cls] + query.encode()

    def body(self, planned: Planned) -> bytes:
        """Its body, filler where only its size is known; none for a safe class."""
        body = planned.body
        if not isinstance(body, int):
            return body
        if not self._bodies[planned.cls]:
            return b""
        filler = self._filler.get(body)
        if filler is None:
            filler = self._filler[body] = b"replay. " * (body // 8) + b"replay. "[: body % 8]
        return filler
