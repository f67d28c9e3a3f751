"""The responses that a node may send, as bytes with the positions at which they may be truncated."""

from __future__ import annotations

from typing import NamedTuple

OK = b"HTTP/1.1 200 OK\r\nX-Node: n\r\nContent-Length: %d\r\n\r\n%b"
ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
INTERIM_RESPONSE = b"HTTP/1.1 103 X\r\n\r\n"
CLOSING_INTERIM_RESPONSE = b"HTTP/1.1 103 X\r\nConnection: close\r\n\r\n"
GARBAGE = b"\x01\x02\x03"

# The status line of a final response, and the header that tells whether the request was executed.
STATUSES = {
    "a 200": (b"200 OK", b""),
    "a 201": (b"201 X", b""),
    "a 204": (b"204 X", b""),
    "a 404": (b"404 X", b""),
    "a 500": (b"500 X", b""),
    "a 503": (b"503 X", b""),
    "a 503 with X-Not-Run": (b"503 X", b"X-Not-Run: 1\r\n"),
    "a 504 with X-Not-Run": (b"504 X", b"X-Not-Run: 1\r\n"),
    "a 504": (b"504 X", b""),
    "a 500 with X-Not-Run": (b"500 X", b"X-Not-Run: 1\r\n"),
    "a 404 with X-Not-Run": (b"404 X", b"X-Not-Run: 1\r\n"),
    "a 200 with X-Not-Run": (b"200 OK", b"X-Not-Run: 1\r\n"),
    "a 503 with X-Not-Run: 0": (b"503 X", b"X-Not-Run: 0\r\n"),
}
# By the table of PROTOCOL, a request that got one of these was never executed.
REJECTED = ("a 503 with X-Not-Run", "a 504 with X-Not-Run")
# The framings of a body in RFC 9112, 6.3; the last two are invalid.
FRAMINGS = (
    "with Content-Length",
    "chunked",
    "delimited by close",
    "with an invalid Content-Length",
    "with an unsupported coding",
)
PERSISTENCE = ("keep-alive", "Connection: close", "HTTP/1.0")
TRUNCATIONS = (
    "complete",
    "truncated in the status line",
    "truncated in the headers",
    "truncated in the body",
    "truncated before its last byte",
    "followed by an extra byte",
    "followed by a duplicate",
)
# Interim responses (RFC 9110, 15.2), whose headers do not apply to the final response.
INTERIM = {
    "": b"",
    "after a 103": INTERIM_RESPONSE,
    "after a 103 with Connection: close": CLOSING_INTERIM_RESPONSE,
    "after a 103 with Content-Length": b"HTTP/1.1 103 X\r\nContent-Length: 7\r\n\r\n",
    "after a 103 with X-Not-Run": b"HTTP/1.1 103 X\r\nX-Not-Run: 1\r\n\r\n",
    "after a 103 with a load report": b"HTTP/1.1 103 X\r\nX-Load: TEXT queue=9\r\nX-Node: other\r\n\r\n",
    "after two 103s": INTERIM_RESPONSE + INTERIM_RESPONSE,
}


# The cases of a response with the options of each: status, framing, persistence, truncation, interim responses.
_SERVED = ("a 200", "a 201", "a 204", "a 404")
_NOT_SERVED = tuple(status for status in STATUSES if status not in _SERVED)
RESPONSE_CASES: dict[str, tuple[tuple[str, ...], ...]] = {
    "served": (_SERVED, FRAMINGS[:3], PERSISTENCE, TRUNCATIONS[:1], ("",)),
    "truncated": (("a 200",), FRAMINGS[:3], PERSISTENCE[:2], TRUNCATIONS[1:5], ("",)),
    "truncated late": (("a 200",), FRAMINGS[:3], PERSISTENCE[:2], TRUNCATIONS[3:5], ("",)),
    "not served": (_NOT_SERVED, FRAMINGS[:1], PERSISTENCE[:2], TRUNCATIONS[:1], ("",)),
    "with interim responses": (
        ("a 200", "a 500"),
        FRAMINGS[:1],
        PERSISTENCE[:1],
        TRUNCATIONS[:1],
        tuple(INTERIM)[1:],
    ),
    "with extra data": (
        ("a 200", "a 500", "a 503 with X-Not-Run"),
        FRAMINGS[:2],
        PERSISTENCE[:2],
        TRUNCATIONS[5:],
        ("",),
    ),
    "invalid": (("a 200",), FRAMINGS[3:], PERSISTENCE, TRUNCATIONS, ("",)),
    "any": (tuple(STATUSES), FRAMINGS, PERSISTENCE, TRUNCATIONS, tuple(INTERIM)),
}
FAULT_FREE = (
    _SERVED,
    FRAMINGS[:3],
    PERSISTENCE[:2],
    TRUNCATIONS[:5],
    tuple(interim for interim in INTERIM if "close" not in interim),
)


class GeneratedResponse(NamedTuple):
    """A response in two parts, and how its node means it."""

    first_part: bytes
    rest: bytes
    ends_at_close: bool  # the end of the stream delimits the body
    has_extra_data: bool  # bytes follow that are not part of the response
    is_valid: bool  # the response is well-formed once all of it has arrived
    rejected: bool
    served: bool  # its status may be served


def generate_response(
    status: str, framing: str, persistence: str, truncation: str, interim: str, body: bytes
) -> GeneratedResponse:
    """Return the response with these options and this body."""
    status_line, not_run_header = STATUSES[status]
    code = status_line[:3]
    if code == b"204":
        body, framing = b"", ("with Content-Length" if framing in FRAMINGS[:3] else framing)
    version = b"HTTP/1.0" if persistence == "HTTP/1.0" else b"HTTP/1.1"
    headers = [b"X-Node: n\r\nX-Load: TEXT queue=2\r\nKeep-Alive: timeout=1\r\n", not_run_header]
    if persistence == "Connection: close" or framing == "delimited by close":
        headers.append(b"Connection: close\r\n")
    trailer, is_valid, ends_at_close = b"", True, False
    if framing == "with Content-Length":
        if code != b"204":
            headers.append(b"Content-Length: %d\r\n" % len(body))
    elif framing == "chunked":
        headers.append(b"Transfer-Encoding: chunked\r\n")
        body, trailer = (b"%x\r\n%b\r\n" % (len(body), body) if body else b""), b"0\r\n\r\n"
    elif framing == "delimited by close":
        ends_at_close = code != b"204"
    elif framing == "with an unsupported coding":
        headers.append(b"Transfer-Encoding: gzip\r\n")
        is_valid = False
    else:
        headers.append(b"Content-Length: 3000000000\r\n")
        is_valid = False
    first_line, fields = version + b" " + status_line + b"\r\n", b"".join(headers) + b"\r\n"
    complete = first_line + fields + body + trailer
    cut = {
        "truncated in the status line": 9,
        "truncated in the headers": len(first_line) + 12,
        "truncated in the body": len(first_line) + len(fields) + len(body) // 2,
        "truncated before its last byte": len(complete) - 1,
    }.get(truncation, len(complete))
    # Nothing can follow a body that the end of the stream delimits.
    extra = (
        b""
        if ends_at_close
        else {"followed by an extra byte": b"\x00", "followed by a duplicate": complete}.get(truncation, b"")
    )
    return GeneratedResponse(
        INTERIM[interim] + complete[:cut] + extra,
        complete[cut:],
        ends_at_close,
        bool(extra),
        is_valid,
        status in REJECTED,
        code in (b"200", b"201", b"204", b"404"),
    )
