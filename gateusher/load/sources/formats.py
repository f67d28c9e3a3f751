"""A log's format as its server's configuration words it, compiled to one regular expression.

nginx `log_format` (ngx_http_log_module) and Apache `LogFormat` (mod_log_config) in the user's own words; Envoy's
default, HAProxy's HTTP log and AWS's ALB are fixed.  A variable that we don't use is matched and thrown away; two
with nothing between them can't be told apart, which is an error of the format and not of its lines.
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
# RFC 9112, 3: what can be a request line; HTTP/0.9 has no version and is none.
REQUEST = re.compile(r"([A-Z][A-Z-]{0,31}) (\S+) HTTP/\d(?:\.\d)?")
ABSENT = ("", "-")


class FormatError(ValueError):
    """A format that can't be compiled, with the place."""


def unescape(text: str) -> str:
    r"""Undo `\x22`, `\"`, `\\` and JSON's escapes.  Bytes above 0x7f are UTF-8 in the end."""
    if "\\" not in text:
        return text
    plain = ESCAPE.sub(lambda m: chr(int(m[1] or m[2], 16)) if m[1] or m[2] else PLAIN_ESCAPES.get(m[3], m[3]), text)
    try:  # `\xe5\x8f\xb0` is one character of three bytes
        return plain.encode("latin-1").decode()
    except UnicodeError:
        return plain


def request_line(text: str) -> tuple[str, str]:
    """Method and target.  FaultyError for what is no request of HTTP."""
    match = REQUEST.fullmatch(text)
    if not match:
        raise FaultyError("request", "is empty" if text in ABSENT else "is no HTTP request line")
    return match[1], match[2]


def split_target(target: str) -> tuple[str, str]:
    """Host and origin form; a proxy's log has the absolute form (RFC 9112, 3.2.2)."""
    if target[:1] == "/":
        return "", target
    scheme, mark, rest = target.partition("://")
    if not mark or scheme.lower() not in ("http", "https") or not rest:
        raise FaultyError("target", "is no path")
    host, slash, path = rest.partition("/")
    return host, slash + path if slash else "/"


def number(text: str, name: str) -> float:
    """An amount; FaultyError for one that is none, or negative."""
    try:
        value = float(text)
    except ValueError:
        raise FaultyError(name, "is no number") from None
    if not 0 <= value < 1e12:
        raise FaultyError(name, "is out of range")
    return value


@dataclass(slots=True)
class Format:
    """How the lines of one log are read.

    :param fields: for each group of the expression what it is: `time`, `request`, `method`, `path`, `query`, `host`,
        `status`, `address`, `forwarded`, `cookie`, `agent`, `size`, `took_s`, `took_ms`, `took_us`, `line_size`.
    :param at_end: its time is when the answer was through, so that the duration, where known, is taken off.
    """

    name: str
    pattern: re.Pattern[str]
    fields: tuple[str, ...]
    stamp: stamps.Stamp
    at_end: bool = False
    plus: bool = False  # W3C: spaces are written as `+`
    _index: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._index = {name: i for i, name in enumerate(self.fields)}
        if "time" not in self._index:
            raise FormatError(f"{self.name}: no time in it")
        if not {"request", "method"} & set(self._index) or not {"request", "path"} & set(self._index):
            raise FormatError(f"{self.name}: no request in it (method and path, or the request line)")

    def read(self, line: str, number_of: int) -> Entry | None:
        """An entry; None where the line has not this form.  FaultyError where a field of it can't be used."""
        match = self.pattern.fullmatch(line)
        if match is None:
            return None
        groups, index = match.groups(), self._index
        at, coarse = self.stamp(groups[index["time"]])
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
            named, target = split_target(target)
            host = host or named
        status = 0
        if (i := index.get("status", -1)) >= 0:
            code = groups[i]
            if not (len(code) == 3 and code.isdecimal()):
                raise FaultyError("status", "is no status code")
            status = int(code)
        took = self._took(groups)
        size = -1
        if (i := index.get("size", -1)) >= 0 and groups[i] not in ABSENT:
            size = int(number(groups[i], "size"))
        forwarded = self._text(groups, "forwarded")
        if forwarded:
            forwarded = forwarded.partition(",")[0].strip()
        address = self._text(groups, "address")
        if self.at_end and took > 0:
            at -= took
        return Entry(
            at,
            method,
            target,
            host,
            took,
            status,
            address,
            forwarded,
            self._text(groups, "cookie"),
            self._text(groups, "agent"),
            size,
            None,
            number_of,
            coarse,
        )

    def _text(self, groups: tuple[str, ...], name: str) -> str:
        i = self._index.get(name, -1)
        if i < 0:
            return ""
        text = groups[i]
        if text is None or text in ABSENT:
            return ""
        if self.plus:
            text = text.replace("+", " ")
        return unescape(text) if "\\" in text else text

    def _took(self, groups: tuple[str, ...]) -> float:
        index = self._index
        for name, unit in (("took_s", 1.0), ("took_ms", 1e3), ("took_us", 1e6)):
            if (i := index.get(name, -1)) >= 0 and groups[i] not in ABSENT:
                # HAProxy and ALB write -1, and HAProxy `+` where logging came first, for what never came
                text = groups[i].lstrip("+")
                return -1.0 if text == "-1" else number(text, "duration") / unit
        return -1.0


def _compile(name: str, parts: list[tuple[str, str]], stamp: stamps.Stamp, at_end: bool) -> Format:
    """Literals and variables in turn: `("", literal)` or `(field, "")`; a field of `_` is thrown away."""
    pattern, fields = "", list[str]()
    for i, (use, text) in enumerate(parts):
        if not use:
            pattern += re.escape(text)
            continue
        kind = "_" if use in fields or use == "_clf" else use  # named twice: the first one counts
        after = parts[i + 1][1] if i + 1 < len(parts) else ""
        before = parts[i - 1][1] if i else ""
        if use in ("time", "_clf") and stamp is stamps.clf and after[:1] != "]" or use == "_clf":
            inner = r"\d\d/[A-Z][a-z]{2}/\d{4}:\d\d:\d\d:\d\d(?: [+-]\d{4})?"  # its zone stands behind a space
        elif after[:1] == '"' and before[-1:] == '"':
            inner = r'[^"\\]*(?:\\.[^"\\]*)*'  # escapes are kept for later; a newline may stand here
        elif after[:1]:
            inner = rf"[^{re.escape(after[0])}\n]*" if len(after) == 1 or after[0] != " " else r"[^ \n]*"
        else:
            inner = r".*"
        if kind != "_":
            fields.append(kind)
        pattern += f"({inner})" if kind != "_" else inner
    return Format(name, re.compile(pattern, re.S), tuple(fields), stamp, at_end)


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
    """The string of a `log_format`, quotes between its parts already taken away.

    `$time_local`, `$time_iso8601` and `$msec` are the time of writing, which is the end of the answer.  Where both a
    clock of milliseconds and one of seconds are there, the finer one counts.  Raises FormatError.
    """
    parts: list[tuple[str, str]] = []
    names = [m[1] or m[2] for m in NGINX_TOKEN.finditer(text) if m[1] or m[2]]
    uses = {n: NGINX.get(n, "cookie" if n.startswith("cookie_") else "_") for n in names}
    if "request" in uses:  # the line has all that its parts have
        uses |= {n: "_" for n, u in uses.items() if u in ("method", "path", "query")}
    elif "request_uri" in uses:
        uses |= {n: "_" for n, u in uses.items() if n != "request_uri" and u in ("path", "query")}
    times = [n for n, u in uses.items() if u == "time"]
    clock = next((n for n in ("msec", "time_iso8601", "time_local") if n in times), "")
    uses |= {n: "_clf" if n == "time_local" else "_" for n in times if n != clock}
    for match in NGINX_TOKEN.finditer(text):
        variable, literal = match[1] or match[2], match[3] or match[4] or match[5]
        _add(parts, uses[variable] if variable else "", literal or "", text, match.start())
    known: dict[str, stamps.Stamp] = {"msec": stamps.epoch, "time_iso8601": stamps.iso}
    return _compile(name, parts, known.get(clock, stamps.clf), at_end=True)


def _add(parts: list[tuple[str, str]], kind: str, literal: str, text: str, at: int) -> None:
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
    r"""The string of a `LogFormat`, with `\"` as the configuration has it or without.

    `%t` is when the request came.  Raises FormatError.
    """
    parts: list[tuple[str, str]] = []
    stamp: stamps.Stamp = stamps.clf
    timed, at_end = False, False
    tokens = list(APACHE_TOKEN.finditer(text))
    whole_line = any(m[3] == "r" for m in tokens)
    for match in tokens:
        argument, letter = match[2], match[3]
        literal = match[4] or match[5] or match[6]
        if letter is None or letter == "%":
            plain = {"t": "\t", "n": "\n"}.get(match[4] or "", literal) if letter is None else "%"
            _add(parts, "", plain or "", text, match.start())
            continue
        kind = APACHE.get(letter, "_")
        if letter == "i":
            kind = APACHE_HEADERS.get((argument or "").lower(), "_")
        elif letter == "T" and argument in ("ms", "us", "s"):
            kind = f"took_{argument}"
        elif letter == "a" and argument == "c":
            kind = "_"
        elif letter == "t":
            if timed:
                kind = "_"
            else:
                timed = True
                form = argument or ""
                at_end = form.startswith("end:")
                form = form.removeprefix("begin:").removeprefix("end:")
                if form in ("sec", "msec", "usec"):
                    stamp = stamps.epoch
                elif form:
                    stamp = stamps.strftime(form)
                else:  # written with its brackets
                    _add(parts, "", "[", text, match.start())
                    _add(parts, "time", "", text, match.start())
                    _add(parts, "", "]", text, match.start())
                    continue
        elif whole_line and kind in ("method", "path", "query"):
            kind = "_"
        elif letter == "q":  # it stands right behind the path and brings its own `?`, or nothing
            if parts and parts[-1][0] == "path":
                continue  # the path's group takes it along
            kind = "query"
        _add(parts, kind, "", text, match.start())
    return _compile(name, parts, stamp, at_end)


COMMON = r'%h %l %u %t "%r" %>s %b'
COMBINED = COMMON + r' "%{Referer}i" "%{User-Agent}i"'

_QUOTED = r'"([^"\\]*(?:\\.[^"\\]*)*)"'
_UNUSED = r'"[^"\\]*(?:\\.[^"\\]*)*"'


def haproxy() -> Format:
    """`option httplog` (configuration manual, 8.2.3), behind syslog's own head.  Its accept date has no zone."""
    pattern = re.compile(
        r"(?:.*?\s)?(?:\S*haproxy\S*: )?(\S+):\d+ \[(\d\d/[A-Z][a-z]{2}/\d{4}:\d\d:\d\d:\d\d\.\d{3})\] "
        r"\S+ \S+ [-\d]+/[-\d]+/[-\d]+/[-\d]+/(\+?[-\d]+) (-?\d+) \+?\d+ \S+ \S+ \S+ "
        r"\d+/\d+/\d+/\d+/\+?\d+ \d+/\d+ (?:\{.*?\} ){0,2}" + _QUOTED + r"\s*",
        re.S,
    )
    return Format("HAProxy HTTP log", pattern, ("address", "time", "took_ms", "status", "request"), stamps.clf)


def envoy() -> Format:
    """The default format string of Envoy's access log, of older and newer versions."""
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
    """AWS Application Load Balancer.  `request_creation_time` is when the request came; the target's time is used up
    to the answer's end."""
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
    """W3C extended, from its `#Fields:` line; times are UTC.  IIS counts `time-taken` in ms, others in seconds.

    `date` and `time` are when the answer was through.  Raises FormatError.
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
    return Format("W3C extended", lines, tuple(fields), _w3c_time, at_end=True, plus=True)


def _w3c_time(text: str) -> tuple[float, bool]:
    return stamps.iso(text.replace("\t", " ") + "Z")
