"""Reads logs of one JSON object per line by a map of fields: that of Caddy, nginx or Traefik, or the user's own."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from ..entry import Entry, FaultyError
from . import stamps
from .formats import ABSENT, METHOD, number, request_line, split_target

FIELDS = (
    "time",
    "method",
    "path",
    "query",
    "request",
    "host",
    "status",
    "address",
    "forwarded",
    "cookie",
    "agent",
    "size",
    "took_s",
    "took_ms",
    "took_us",
    "took_ns",
)
UNITS = {"took_s": 1.0, "took_ms": 1e3, "took_us": 1e6, "took_ns": 1e9}


class Map(NamedTuple):
    """The path of each field: keys separated by dots.  `at_end` is that of `Format`."""

    name: str
    paths: Mapping[str, str]
    at_end: bool = False


CADDY = Map(
    "JSON lines of Caddy",
    {
        "time": "ts",
        "method": "request.method",
        "path": "request.uri",
        "host": "request.host",
        "status": "status",
        "address": "request.remote_ip",
        "forwarded": "request.headers.X-Forwarded-For",
        "took_s": "duration",
        "cookie": "request.headers.Cookie",
        "agent": "request.headers.User-Agent",
        "size": "bytes_read",
    },
    True,
)
TRAEFIK = Map(
    "JSON lines of Traefik",
    {
        "time": "StartUTC",
        "method": "RequestMethod",
        "path": "RequestPath",
        "host": "RequestHost",
        "status": "DownstreamStatus",
        "address": "ClientHost",
        "took_ns": "Duration",
        "size": "RequestContentSize",
        "forwarded": "request_X-Forwarded-For",
        "cookie": "request_Cookie",
        "agent": "request_User-Agent",
    },
)
NGINX_JSON = Map(
    "JSON lines of nginx",
    {
        "time": "time_iso8601",
        "request": "request",
        "method": "request_method",
        "path": "request_uri",
        "host": "host",
        "status": "status",
        "address": "remote_addr",
        "forwarded": "http_x_forwarded_for",
        "took_s": "request_time",
        "cookie": "http_cookie",
        "agent": "http_user_agent",
    },
    True,
)
KNOWN_MAPS = (CADDY, TRAEFIK, NGINX_JSON)

_decoder = msgspec.json.Decoder()


def value_at(data: Any, path: str) -> Any:
    """Return the value at a path, None where there is none.

    The value of a list is its first element, since Caddy writes headers as lists.
    """
    if isinstance(data, dict) and path in data:
        data = data[path]
    else:
        for key in path.split("."):
            if not isinstance(data, dict) or key not in data:
                return None
            data = data[key]
    return data[0] if isinstance(data, list) and data else data


class Lines:
    """Reads lines by one map.  Raises ValueError for an unknown field, or for no time or no request in the map."""

    def __init__(self, map_: Map) -> None:
        self.name, self.paths, self.at_end = map_.name, dict(map_.paths), map_.at_end
        unknown = [f for f in self.paths if f not in FIELDS]
        if unknown:
            raise ValueError(f"unknown field {unknown[0]!r} in the map; the fields are {', '.join(FIELDS)}")
        if "time" not in self.paths or not ("request" in self.paths or {"method", "path"} <= set(self.paths)):
            raise ValueError("a map requires time, and either request or both method and path")
        self.parse_time: stamps.TimeParser = stamps.any_form

    def _text(self, data: Any, name: str) -> str:
        path = self.paths.get(name)
        value = value_at(data, path) if path else None
        if value is None or value in ABSENT:
            return ""
        if isinstance(value, dict | list | bool):
            raise FaultyError(name, "is no text")
        if isinstance(value, float):
            return format(value, ".9f") if value < 1e15 else str(value)
        return str(value)

    def read(self, line: str, line_number: int) -> Entry | None:
        """Return an entry; None where the line is not a JSON object.  Raises FaultyError for an invalid field."""
        try:
            data = _decoder.decode(line)
        except (msgspec.DecodeError, UnicodeError, RecursionError):
            return None
        if not isinstance(data, dict):
            return None
        time_text = self._text(data, "time")
        if not time_text:
            raise FaultyError("time", "is missing")
        at, coarse = self.parse_time(time_text)
        method, target = self._text(data, "method"), self._text(data, "path")
        if method and target:
            if query := self._text(data, "query"):
                target += query if query[0] == "?" else "?" + query
        elif "request" in self.paths:
            method, target = request_line(self._text(data, "request"))
        if not METHOD.fullmatch(method):
            raise FaultyError("method", "is no method" if method else "is missing")
        if not target or any(c in target for c in " \r\n\t"):
            raise FaultyError("target", "is no path" if target else "is missing")
        target_host, target = split_target(target)
        duration_s = -1.0
        for name, unit in UNITS.items():
            if text := self._text(data, name):
                duration_s = number(text, "duration") / unit
        if self.at_end and duration_s > 0:
            at -= duration_s
        status, size = self._text(data, "status"), self._text(data, "size")
        if status and not (len(status) == 3 and status.isdecimal()):
            raise FaultyError("status", "is no status code")
        return Entry(
            at,
            method,
            target,
            self._text(data, "host") or target_host,
            duration_s,
            int(status or 0),
            self._text(data, "address"),
            self._text(data, "forwarded").partition(",")[0].strip(),
            self._text(data, "cookie"),
            self._text(data, "agent"),
            int(number(size, "size")) if size else -1,
            None,
            line_number,
            coarse,
        )


def detect_map(line: str) -> Map | None:
    """Return the first known map whose time, and method or request, the line has; None where none fits."""
    try:
        data = _decoder.decode(line)
    except (msgspec.DecodeError, UnicodeError, RecursionError):
        return None
    for known in KNOWN_MAPS:
        request_values = value_at(data, known.paths["method"]), value_at(data, known.paths.get("request", ""))
        if value_at(data, known.paths["time"]) is not None and any(value is not None for value in request_values):
            return known
    return None
