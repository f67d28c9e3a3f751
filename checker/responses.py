"""What a node may answer, as bytes with the boundaries at which they may be cut."""

from __future__ import annotations

from typing import NamedTuple

OK = b"HTTP/1.1 200 OK\r\nX-Node: n\r\nContent-Length: %d\r\n\r\n%b"
ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
EARLY = b"HTTP/1.1 103 X\r\n\r\n"
EARLY_LAST = b"HTTP/1.1 103 X\r\nConnection: close\r\n\r\n"
NOISE = b"\x01\x02\x03"

# A final answer's status line and what it says of the request: served, may have run, or never.
STATUSES = {
    "a 200": (b"200 OK", b""),
    "a 201": (b"201 X", b""),
    "a 204": (b"204 X", b""),
    "a 404": (b"404 X", b""),
    "a 500": (b"500 X", b""),
    "a 503": (b"503 X", b""),
    "a 503, not run,": (b"503 X", b"X-Not-Run: 1\r\n"),
    "a 504, not run,": (b"504 X", b"X-Not-Run: 1\r\n"),
    "a 504": (b"504 X", b""),
    "a 500, not run,": (b"500 X", b"X-Not-Run: 1\r\n"),
    "a 404, not run,": (b"404 X", b"X-Not-Run: 1\r\n"),
    "a 200, not run,": (b"200 OK", b"X-Not-Run: 1\r\n"),
    "a 503 that says X-Not-Run: 0": (b"503 X", b"X-Not-Run: 0\r\n"),
}
# By the table of PROTOCOL: what these say has never run.
REJECTED = ("a 503, not run,", "a 504, not run,")
# A body, in each of the framings of RFC 9112, 6.3; the last are none at all.
FRAMINGS = ("by its length", "in chunks", "to the end of the stream", "with a length that can't be", "in a coding")
ENDS = ("and is kept", "and closes", "and an old version closes")
TRUNCATIONS = (
    "whole",
    "cut in the status line",
    "cut in the headers",
    "cut in the body",
    "cut before its end",
    "and a byte too many",
    "and a second copy",
)
# What may come ahead (RFC 9110, 15.2): headers of it mean nothing for the final answer.
INTERIM = {
    "": b"",
    "after a 103": EARLY,
    "after a 103 that closes": EARLY_LAST,
    "after a 103 with a length": b"HTTP/1.1 103 X\r\nContent-Length: 7\r\n\r\n",
    "after a 103 that says not run": b"HTTP/1.1 103 X\r\nX-Not-Run: 1\r\n\r\n",
    "after a 103 with a report": b"HTTP/1.1 103 X\r\nX-Load: TEXT queue=9\r\nX-Node: other\r\n\r\n",
    "after two of 103": EARLY + EARLY,
}


# What an answer may be like, and what is left to choose of it: kinds, framings, ends, cuts, what comes ahead.
_SERVED = ("a 200", "a 201", "a 204", "a 404")
RESPONSE_CASES: dict[str, tuple[tuple[str, ...], ...]] = {
    "one that serves": (_SERVED, FRAMINGS[:3], ENDS, TRUNCATIONS[:1], ("",)),
    "one that is cut": (("a 200",), FRAMINGS[:3], ENDS[:2], TRUNCATIONS[1:5], ("",)),
    "one that is cut late": (("a 200",), FRAMINGS[:3], ENDS[:2], TRUNCATIONS[3:5], ("",)),
    "one that doesn't serve": (
        tuple(k for k in STATUSES if k not in _SERVED),
        FRAMINGS[:1],
        ENDS[:2],
        TRUNCATIONS[:1],
        ("",),
    ),
    "one with something ahead": (("a 200", "a 500"), FRAMINGS[:1], ENDS[:1], TRUNCATIONS[:1], tuple(INTERIM)[1:]),
    "one with more behind": (("a 200", "a 500", "a 503, not run,"), FRAMINGS[:2], ENDS[:2], TRUNCATIONS[5:], ("",)),
    "one that can't be": (("a 200",), FRAMINGS[3:], ENDS, TRUNCATIONS, ("",)),
    "any": (tuple(STATUSES), FRAMINGS, ENDS, TRUNCATIONS, tuple(INTERIM)),
}
FAULT_FREE = (_SERVED, FRAMINGS[:3], ENDS[:2], TRUNCATIONS[:5], tuple(a for a in INTERIM if "closes" not in a))


class GeneratedResponse(NamedTuple):
    """An answer: what comes now, what comes later, and what its node means by it."""

    now: bytes
    rest: bytes
    ends_at_close: bool  # the end of the stream makes it whole
    more: bool  # more comes behind it than belongs to it
    readable: bool  # a whole answer, if all of it comes
    rejected: bool
    served: bool  # its status is one that may be served


def generate_response(kind: str, framing: str, end: str, cut: str, ahead: str, body: bytes) -> GeneratedResponse:
    """The bytes of an answer with this body."""
    status, word = STATUSES[kind]
    if status[:3] == b"204":
        body, framing = b"", ("by its length" if framing in FRAMINGS[:3] else framing)
    version = b"HTTP/1.0" if end == "and an old version closes" else b"HTTP/1.1"
    head = [b"X-Node: n\r\nX-Load: TEXT queue=2\r\nKeep-Alive: timeout=1\r\n", word]
    if end == "and closes" or framing == "to the end of the stream":
        head.append(b"Connection: close\r\n")
    tail, readable, ends_at_close = b"", True, False
    if framing == "by its length":
        if status[:3] != b"204":
            head.append(b"Content-Length: %d\r\n" % len(body))
    elif framing == "in chunks":
        head.append(b"Transfer-Encoding: chunked\r\n")
        body, tail = (b"%x\r\n%b\r\n" % (len(body), body) if body else b""), b"0\r\n\r\n"
    elif framing == "to the end of the stream":
        ends_at_close = status[:3] != b"204"
    elif framing == "in a coding":
        head.append(b"Transfer-Encoding: gzip\r\n")
        readable = False
    else:
        head.append(b"Content-Length: 3000000000\r\n")
        readable = False
    line, fields = version + b" " + status + b"\r\n", b"".join(head) + b"\r\n"
    whole = line + fields + body + tail
    at = {
        "cut in the status line": 9,
        "cut in the headers": len(line) + 12,
        "cut in the body": len(line) + len(fields) + len(body) // 2,
        "cut before its end": len(whole) - 1,
    }.get(cut, len(whole))
    # Behind a body that the end of the stream delimits, nothing can be too many.
    extra = b"" if ends_at_close else {"and a byte too many": b"\x00", "and a second copy": whole}.get(cut, b"")
    return GeneratedResponse(
        INTERIM[ahead] + whole[:at] + extra,
        whole[at:],
        ends_at_close,
        bool(extra),
        readable,
        kind in REJECTED,
        status[:3] in (b"200", b"201", b"204", b"404"),
    )
