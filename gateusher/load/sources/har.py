"""Reads HAR 1.2 (Jan Odvarko's specification of 2012) as Chromium, Firefox, Safari, Charles and mitmproxy write it.

A file is parsed as a stream, so that a file of 2 GB takes only the memory of its largest entry.  Only the request of
each entry is retained.  Requests that never reached a server are skipped: those answered from a cache, and those
blocked before they were sent.
"""

from __future__ import annotations

import base64
import binascii
import codecs
from collections.abc import Iterator
from typing import IO, Any
from urllib.parse import urlsplit

import ijson

from ..entry import Entry, FaultyError
from . import stamps
from .formats import METHOD, split_target

BLOCKED_ERRORS = ("ERR_BLOCKED", "ERR_ABORTED_BY_CLIENT", "NS_ERROR_BLOCKED")


class _Utf8:
    """A binary stream converted to valid UTF-8.

    Invalid bytes become U+FFFD.  A byte order mark, as Charles and Windows programs write it, is removed.
    """

    def __init__(self, source: IO[bytes]) -> None:
        self._source = source
        self._decoder = codecs.getincrementaldecoder("utf-8-sig")("replace")

    def read(self, size: int = -1) -> bytes:
        if size == 0:
            return b""
        while True:
            data = self._source.read(size)
            text = self._decoder.decode(data, final=not data)
            if text or not data:
                return text.encode()


class BrokenHarError(Exception):
    """The file ends or has a syntax error before the end of its list of entries."""


def raw_entries(source: IO[bytes]) -> Iterator[Any]:
    """Yield each entry as parsed JSON.

    Raises BrokenHarError at a syntax error or a premature end, after the entries ahead of it.
    """
    try:
        yield from ijson.items(_Utf8(source), "log.entries.item", use_float=True)
    except ijson.IncompleteJSONError as error:
        raise BrokenHarError(
            "the file ends in the middle"
            if "premature EOF" in str(error) or "Incomplete" in str(error)
            else "the JSON is broken"
        ) from None
    except (ijson.JSONError, ValueError, OverflowError):
        raise BrokenHarError("the JSON is broken") from None


def _object(data: Any, name: str) -> dict[str, Any]:
    value = data.get(name) if isinstance(data, dict) else None
    return value if isinstance(value, dict) else {}


def _headers(request: dict[str, Any]) -> dict[str, str]:
    """Return the first value of each header by lower-case name, without HTTP/2 pseudo-headers (`:path`)."""
    values: dict[str, str] = {}
    headers = request.get("headers")
    for header in headers if isinstance(headers, list) else []:
        if isinstance(header, dict) and isinstance(header.get("name"), str) and header["name"][:1] != ":":
            values.setdefault(header["name"].lower(), str(header.get("value", "")))
    return values


def _body(request: dict[str, Any]) -> tuple[bytes | None, int]:
    """Return the body and its size in bytes.

    The body is None where the file doesn't contain it, the size is -1 where it is unknown.
    """
    post = request.get("postData")
    size = request.get("bodySize")
    size = int(size) if isinstance(size, int | float) and not isinstance(size, bool) and size >= 0 else -1
    if not isinstance(post, dict) or not isinstance(post.get("text"), str):
        return None, size
    text: str = post["text"]
    if post.get("encoding") == "base64" or post.get("_encoding") == "base64":
        try:
            body = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError):
            raise FaultyError("body", "is no base64") from None
    else:
        body = text.encode("utf-8", "replace")
    return body, len(body)


def skip_reason(entry: dict[str, Any]) -> str:
    """Return why a request never reached a server, "" where it did."""
    if entry.get("_fromCache") or entry.get("_fromDiskCache") or "Cache" in str(entry.get("_fetchType", "")):
        return "answered by a cache"
    response = _object(entry, "response")
    if response.get("_fromCache") or (
        not entry.get("connection")
        and not entry.get("serverIPAddress")
        and _object(_object(entry, "cache"), "beforeRequest")
        and response.get("status") == 200
    ):
        return "answered by a cache"
    error = str(response.get("_error") or "")
    if any(word in error for word in BLOCKED_ERRORS):
        return "blocked before it was sent"
    return ""


def read(data: Any, entry_number: int, parse_time: stamps.TimeParser = stamps.iso) -> Entry | None:
    """Return an entry; None where its request never reached a server.

    Raises FaultyError where a field is missing or invalid.
    """
    if not isinstance(data, dict):
        raise FaultyError("entry", "is no object")
    request = data.get("request")
    if not isinstance(request, dict):
        raise FaultyError("request", "is missing")
    if skip_reason(data):
        return None
    started_at = data.get("startedDateTime")
    if not isinstance(started_at, str) or not started_at:
        raise FaultyError("time", "is missing")
    at, coarse = parse_time(started_at)
    method, url = request.get("method"), request.get("url")
    if not isinstance(method, str) or not METHOD.fullmatch(method):
        raise FaultyError("method", "is missing" if not method else "is no method")
    if not isinstance(url, str) or not url:
        raise FaultyError("url", "is missing")
    try:
        parts = urlsplit(url)
    except ValueError:
        raise FaultyError("url", "is no URL") from None
    if parts.scheme not in ("http", "https"):
        raise FaultyError("url", "is not of HTTP")
    _, target = split_target(url.partition("#")[0])
    duration_ms = data.get("time")
    status = _object(data, "response").get("status")
    headers = _headers(request)
    body, size = _body(request)
    return Entry(
        at,
        method,
        target,
        parts.netloc.rpartition("@")[2],
        duration_ms / 1000.0
        if isinstance(duration_ms, int | float) and not isinstance(duration_ms, bool) and 0 <= duration_ms < 1e10
        else -1.0,
        int(status) if isinstance(status, int | float) and 100 <= status < 1000 else 0,
        "",
        headers.get("x-forwarded-for", "").partition(",")[0].strip(),
        headers.get("cookie", ""),
        headers.get("user-agent", ""),
        size,
        body,
        entry_number,
        coarse,
    )
