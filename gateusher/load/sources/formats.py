"""Compiles log formats, as servers' configurations define them, to regular expressions.

nginx `log_format` (ngx_http_log_module) and Apache `LogFormat` (mod_log_config) are configurable; Envoy's default,
HAProxy's HTTP log and AWS's ALB are fixed.  Unused variables are matched and discarded.  Two variables without a
separator are ambiguous, which is an error of the format and not of its lines.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from itertools import pairwise

from ..entry import Entry, FaultyError
from . import stamps

ESCAPE = re.compile(r'\\(?:x([0-9A-Fa-f]{2})|u([0-9A-Fa-f]{4})|(["\\/bfnrtv]))')
PLAIN_ESCAPES = {"b": "\b", "f": "\f", "n": "\n", "r": "\r", "t": "\t", "v": "\v"}
METHOD = re.compile(r"[A-Z][A-Z-]{0,31}")
# A request line (RFC 9112, section 3); a line of HTTP/0.9, without a version, is rejected.
REQUEST = re.compile(r"([A-Z][A-Z-]{0,31}) (\S+) HTTP/\d(?:\.\d)?")
ABSENT = ("", "-")


class FormatError(ValueError):
    """A format can't be compiled; the message says where."""


def unescape(text: str) -> str:
    r"""Replace `\x22`, `\"`, `\\` and JSON's escapes.  Escaped bytes above 0x7f are decoded as UTF-8."""
    if "\\" not in text:
        return text
    plain = ESCAPE.sub(lambda m: chr(int(m[1] or m[2], 16)) if m[1] or m[2] else PLAIN_ESCAPES.get(m[3], m[3]), text)
    try:  # `\xe5\x8f\xb0` encodes one character of three bytes
        return plain.encode("latin-1").decode()
    except UnicodeError:
        return plain


def request_line(text: str) -> tuple[str, str]:
    """Return method and target; raises FaultyError for an invalid request line."""
    match = REQUEST.fullmatch(text)
    if not match:
        raise FaultyError("request", "is empty" if text in ABSENT else "is no HTTP request line")
    return match[1], match[2]


def split_target(target: str) -> tuple[str, str]:
    """Return host and origin form; a proxy's log has the absolute form (RFC 9112, section 3.2.2)."""
    if target[:1] == "/":
        return "", target
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() not in ("http", "https") or not rest:
        raise FaultyError("target", "is no path")
    host, slash, path = rest.partition("/")
    return host, slash + path if slash else "/"


def number(text: str, name: str) -> float:
    """Parse a non-negative number; raises FaultyError."""
    try:
        value = float(text)
    except ValueError:
        raise FaultyError(name, "is no number") from None
    if not 0 <= value < 1e12:
        raise FaultyError(name, "is out of range")
    return value


@dataclass(slots=True)
class Format:
    """Parses the lines of one log.

    :param fields: the meaning of each group of the expression: `time`, `request`, `method`, `path`, `query`, `host`,
        `status`, `address`, `forwarded`, `cookie`, `agent`, `size`, `took_s`, `took_ms`, `took_us`, `line_size`.
    :param at_end: the log has the time of a response's end, from which the duration is subtracted where it is known.
    """

    name: str
    pattern: re.Pattern[str]
    fields: tuple[str, ...]
    parse_time: stamps.TimeParser
    at_end: bool = False
    plus_is_space: bool = False  # W3C writes spaces as `+`
    _index: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._index = {name: i for i, name in enumerate(self.fields)}
        if "time" not in self._index:
            raise FormatError(f"{self.name}: no time in it")
        if not {"request", "method"} & set(self._index) or not {"request", "path"} & set(self._index):
            raise FormatError(f"{self.name}: no request in it (method and path, or the request line)")

    def read(self, line: str, line_number: int) -> Entry | None:
        """Return an entry; None where the line doesn't match.  Raises FaultyError for an invalid field."""
        match = self.pattern.fullmatch(line)
        if match is None:
            return None
        groups, index = match.groups(), self._index
        at, coarse = self.parse_time(groups[index["time"]])
        if (i := index.get("request", -1)) >= 0:
            text = groups[i]
            found = REQUEST.fullmatch(text)
            if found is None or "\\" in text:
                method, target = request_line(unescape(text))
            else:
                method, target = found[1], found[2]
        else:
            method, target = groups[index["method"]], unescape(groups[index["path"]])
            if not METHOD.fullmatch(method):
                raise FaultyError("method", "is empty" if method in ABSENT else "is no method")
            query = groups[index["query"]] if "query" in index else ""
            if query not in ABSENT:
                target += query if query[0] == "?" else "?" + query
        host = self._text(groups, "host")
        if target[:1] != "/":
            target_host, target = split_target(target)
            host = host or target_host
        status = 0
        if (i := index.get("status", -1)) >= 0:
            code = groups[i]
            if not (len(code) == 3 and code.isdecimal()):
                raise FaultyError("status", "is no status code")
            status = int(code)
        duration_s = self._duration_s(groups)
        size = -1
        if (i := index.get("size", -1)) >= 0 and groups[i] not in ABSENT:
            size = int(number(groups[i], "size"))
        forwarded = self._text(groups, "forwarded")
        if forwarded:
            forwarded = forwarded.partition(",")[0].strip()
        address = self._text(groups, "address")
        if self.at_end and duration_s > 0:
            at -= duration_s
        return Entry(
            at,
            method,
            target,
            host,
            duration_s,
            status,
            address,
            forwarded,
            self._text(groups, "cookie"),
            self._text(groups, "agent"),
            size,
            None,
            line_number,
            coarse,
        )

    def _text(self, groups: tuple[str, ...], name: str) -> str:
        i = self._index.get(name, -1)
        if i < 0:
            return ""
        text = groups[i]
        if text is None or text in ABSENT:
            return ""
        if self.plus_is_space:
            text = text.replace("+", " ")
        return unescape(text) if "\\" in text else text

    def _duration_s(self, groups: tuple[str, ...]) -> float:
        index = self._index
        for name, unit in (("took_s", 1.0), ("took_ms", 1e3), ("took_us", 1e6)):
            if (i := index.get(name, -1)) >= 0 and groups[i] not in ABSENT:
                # HAProxy and ALB write -1 for a response that never came; HAProxy adds `+` where it logged earlier
                text = groups[i].lstrip("+")
                return -1.0 if text == "-1" else number(text, "duration") / unit
        return -1.0


def _compile(name: str, parts: list[tuple[str, str]], parse_time: stamps.TimeParser, at_end: bool) -> Format:
    """Compile a list of literals `("", literal)` and variables `(field, "")`; a field of `_` is discarded."""
    pattern, fields = "", list[str]()
    for i, (use, text) in enumerate(parts):
        if not use:
            pattern += re.escape(text)
            continue
        kind = "_" if use in fields or use == "_clf" else use  # of a repeated field the first counts
        after = parts[i + 1][1] if i + 1 < len(parts) else ""
        before = parts[i - 1][1] if i else ""
        if use in ("time", "_clf") and parse_time is stamps.clf and after[:1] != "]" or use == "_clf":
            inner = r"\d\d/[A-Z][a-z]{2}/\d{4}:\d\d:\d\d:\d\d(?: [+-]\d{4})?"  # a space precedes the zone
        elif after[:1] == '"' and before[-1:] == '"':
            inner = r'[^"\\]*(?:\\.[^"\\]*)*'  # `unescape` replaces the escapes; newlines are allowed
        elif after[:1]:
            inner = rf"[^{re.escape(after[0])}\n]*" if len(after) == 1 or after[0] != " " else r"[^ \n]*"
        else:
            inner = r".*"
        if kind != "_":
            fields.append(kind)
        pattern += f"({inner})" if kind != "_" else inner
    return Format(name, re.compile(pattern, re.S), tuple(fields), parse_time, at_end)


NGINX = {
    "remote_addr": "address",
    "realip_remote_addr": "_",
    "time_local": "time",
    "time_iso8601": "time",
    "msec": "time",
    "request": "request",
    "request_method": "method",
    "request_uri": "path",
    "uri": "path",
    "document_uri": "path",
    "args": "query",
    "query_string": "query",
    "status": "status",
    "host": "host",
    "http_host": "host",
    "server_name": "_",
    "request_time": "took_s",
    "http_user_agent": "agent",
    "http_x_forwarded_for": "forwarded",
    "proxy_add_x_forwarded_for": "forwarded",
    "http_cookie": "cookie",
    "content_length": "size",
    "http_content_length": "size",
}
NGINX_TOKEN = re.compile(r"\$(?:\{(\w+)\}|(\w+))|\\(.)|([^$\\]+)|(.)", re.S)


def nginx(text: str, name: str = "nginx log_format") -> Format:
    """Compile the string of a `log_format`, without the quotes between its parts.

    `$time_local`, `$time_iso8601` and `$msec` are the time of writing, at the end of the response.  Of several,
    `$msec` is preferred for its milliseconds.  Raises FormatError.
    """
    parts: list[tuple[str, str]] = []
    names = [m[1] or m[2] for m in NGINX_TOKEN.finditer(text) if m[1] or m[2]]
    uses = {n: NGINX.get(n, "cookie" if n.startswith("cookie_") else "_") for n in names}
    if "request" in uses:  # contains method, path and query
        uses |= {n: "_" for n, u in uses.items() if u in ("method", "path", "query")}
    elif "request_uri" in uses:
        uses |= {n: "_" for n, u in uses.items() if n != "request_uri" and u in ("path", "query")}
    times = [n for n, u in uses.items() if u == "time"]
    clock = next((n for n in ("msec", "time_iso8601", "time_local") if n in times), "")
    uses |= {n: "_clf" if n == "time_local" else "_" for n in times if n != clock}
    for match in NGINX_TOKEN.finditer(text):
        variable, literal = match[1] or match[2], match[3] or match[4] or match[5]
        _add_part(parts, uses[variable] if variable else "", literal or "", text, match.start())
    known: dict[str, stamps.TimeParser] = {"msec": stamps.epoch, "time_iso8601": stamps.iso}
    return _compile(name, parts, known.get(clock, stamps.clf), at_end=True)


def _add_part(parts: list[tuple[str, str]], kind: str, literal: str, text: str, at: int) -> None:
    if not kind and parts and not parts[-1][0]:
        parts[-1] = "", parts[-1][1] + literal
    elif kind and parts and parts[-1][0]:
        raise FormatError(f"at {at}: two variables with nothing between them: {text[max(0, at - 20) : at + 20]!r}")
    else:
        parts.append((kind, literal))


APACHE = {
    "h": "address",
    "a": "address",
    "r": "request",
    "m": "method",
    "U": "path",
    "q": "query",
    "s": "status",
    "v": "_",
    "V": "host",
    "D": "took_us",
    "T": "took_s",
    "t": "time",
}
APACHE_HEADERS = {
    "user-agent": "agent",
    "x-forwarded-for": "forwarded",
    "cookie": "cookie",
    "host": "host",
    "content-length": "size",
}
APACHE_TOKEN = re.compile(r"%(?:[!\d,]*)([<>]?)(?:\{([^}]*)\})?(\^?[A-Za-z]{1,2}|%)|\\(.)|([^%\\]+)|(.)", re.S)


def apache(text: str, name: str = "Apache LogFormat") -> Format:
    r"""Compile the string of a `LogFormat`; quotes may be escaped as in the configuration (`\"`).

    `%t` is the time at which the request arrived.  Raises FormatError.
    """
    parts: list[tuple[str, str]] = []
    parse_time: stamps.TimeParser = stamps.clf
    has_time, at_end = False, False
    tokens = list(APACHE_TOKEN.finditer(text))
    whole_line = any(m[3] == "r" for m in tokens)
    for match in tokens:
        argument, letter = match[2], match[3]
        literal = match[4] or match[5] or match[6]
        if letter is None or letter == "%":
            plain = {"t": "\t", "n": "\n"}.get(match[4] or "", literal) if letter is None else "%"
            _add_part(parts, "", plain or "", text, match.start())
            continue
        kind = APACHE.get(letter, "_")
        if letter == "i":
            kind = APACHE_HEADERS.get((argument or "").lower(), "_")
        elif letter == "T" and argument in ("ms", "us", "s"):
            kind = f"took_{argument}"
        elif letter == "a" and argument == "c":
            kind = "_"
        elif letter == "t":
            if has_time:
                kind = "_"
            else:
                has_time = True
                form = argument or ""
                at_end = form.startswith("end:")
                form = form.removeprefix("begin:").removeprefix("end:")
                if form in ("sec", "msec", "usec"):
                    parse_time = stamps.epoch
                elif form:
                    parse_time = stamps.strftime(form)
                else:  # the default format has brackets
                    _add_part(parts, "", "[", text, match.start())
                    _add_part(parts, "time", "", text, match.start())
                    _add_part(parts, "", "]", text, match.start())
                    continue
        elif whole_line and kind in ("method", "path", "query"):
            kind = "_"
        elif letter == "q":  # directly after the path: `?` and the query, or empty
            if parts and parts[-1][0] == "path":
                continue  # the path's group matches it too
            kind = "query"
        _add_part(parts, kind, "", text, match.start())
    return _compile(name, parts, parse_time, at_end)


COMMON = r'%h %l %u %t "%r" %>s %b'
COMBINED = COMMON + r' "%{Referer}i" "%{User-Agent}i"'

_QUOTED = r'"([^"\\]*(?:\\.[^"\\]*)*)"'
_UNUSED = r'"[^"\\]*(?:\\.[^"\\]*)*"'


def haproxy() -> Format:
    """Return the format of `option httplog` (configuration manual, section 8.2.3), with or without a syslog header.

    Its accept date has no zone.
    """
    pattern = re.compile(
        r"(?:.*?\s)?(?:\S*haproxy\S*: )?(\S+):\d+ \[(\d\d/[A-Z][a-z]{2}/\d{4}:\d\d:\d\d:\d\d\.\d{3})\] "
        r"\S+ \S+ [-\d]+/[-\d]+/[-\d]+/[-\d]+/(\+?[-\d]+) (-?\d+) \+?\d+ \S+ \S+ \S+ "
        r"\d+/\d+/\d+/\d+/\+?\d+ \d+/\d+ (?:\{.*?\} ){0,2}" + _QUOTED + r"\s*",
        re.S,
    )
    return Format("HAProxy HTTP log", pattern, ("address", "time", "took_ms", "status", "request"), stamps.clf)


def envoy() -> Format:
    """Return the default format of Envoy's access log, in its older and its newer version."""
    pattern = re.compile(
        r'\[([^\]]*)\] "([^" ]*) ([^" ]*) [^" ]*" (\d+) \S+ (?:\S+ \S+ ' + _UNUSED + r" )?(\d+|-) (?:\d+|-) (\d+|-) "
        r"\S+ " + " ".join([_QUOTED, _QUOTED, _UNUSED, _QUOTED, _UNUSED]) + r"\s*",
        re.S,
    )
    return Format(
        "Envoy default",
        pattern,
        ("time", "method", "path", "status", "size", "took_ms", "forwarded", "agent", "host"),
        stamps.iso,
    )


def alb() -> Format:
    """Return the format of AWS Application Load Balancers.

    The entry's time is `request_creation_time`, when the request arrived; its duration is `target_processing_time`.
    """
    pattern = re.compile(
        r"(?:https?|h2|grpcs?|wss?) \S+ \S+ (\S+):\d+ \S+ -?[\d.]+ (-?[\d.]+) -?[\d.]+ (\d+|-) (?:\d+|-) (\d+) \d+ "
        + _QUOTED
        + " "
        + _QUOTED
        + r" \S+ \S+ \S+ "
        + " ".join([_UNUSED, _QUOTED, _UNUSED])
        + r" \S+ (\S+)(?: .*)?",
        re.S,
    )
    fields = ("address", "took_s", "status", "line_size", "request", "agent", "host", "time")
    return Format("AWS ALB", pattern, fields, stamps.iso)


W3C = {
    "c-ip": "address",
    "cs-method": "method",
    "cs-uri-stem": "path",
    "cs-uri-query": "query",
    "cs-uri": "path",
    "sc-status": "status",
    "cs(user-agent)": "agent",
    "cs(cookie)": "cookie",
    "cs-host": "host",
    "cs(host)": "host",
    "cs(x-forwarded-for)": "forwarded",
    "x-forwarded-for": "forwarded",
    "cs-bytes": "size",
}


def w3c(header: str, milliseconds: bool = True) -> Format:
    """Compile the W3C extended format from its `#Fields:` line.

    `date` and `time` are the end of the response in UTC.  `time-taken` is in milliseconds in IIS, and in seconds in
    other servers.  Raises FormatError.
    """
    names = header.removeprefix("#Fields:").split()
    pattern, fields = [], list[str]()
    for first, second in pairwise([*names, ""]):
        if first == "date" and second == "time":
            pattern.append(r"(\S+\s\S+)")
            fields.append("time")
        elif first == "time" and fields[-1:] == ["time"]:
            continue
        else:
            kind = W3C.get(first.lower(), "_")
            if first == "time-taken":
                kind = "took_ms" if milliseconds else "took_s"
            if kind == "_" or kind in fields:
                pattern.append(r'(?:"[^"]*"|\S+)')
            else:
                pattern.append(r"(\S+)")
                fields.append(kind)
    lines = re.compile(r"\s".join(pattern) + r"\s*")
    return Format("W3C extended", lines, tuple(fields), _w3c_time, at_end=True, plus_is_space=True)


def _w3c_time(text: str) -> tuple[float, bool]:
    return stamps.iso(text.replace("\t", " ") + "Z")
