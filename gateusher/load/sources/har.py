"""HAR 1.2 (Jan Odvarko's specification of 2012) as Chromium, Firefox, Safari, Charles and mitmproxy write it.

A file is read as a stream, so one of 2 GB takes the memory of its largest entry.  Of each entry the request alone is
kept; an answer out of a cache and a request that was blocked before it left never reached a server, and are left out.
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

BLOCKED = ("ERR_BLOCKED", "ERR_ABORTED_BY_CLIENT", "NS_ERROR_BLOCKED")


class _Utf8:
    """A binary stream as valid UTF-8: what is none is U+FFFD, a mark at the start is dropped (Charles, Windows)."""

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


class CutError(Exception):
    """The file ends, or is broken, before its list of entries is over."""


def raw_entries(source: IO[bytes]) -> Iterator[Any]:
    """Each entry as it is.  Raises CutError where the JSON ends or breaks; what came before it has been given."""
    try:
        yield from ijson.items(_Utf8(source), "log.entries.item", use_float=True)
    except ijson.IncompleteJSONError as error:
        raise CutError(
            "the file ends in the middle"
            if "premature EOF" in str(error) or "Incomplete" in str(error)
            else "the JSON is broken"
        ) from None
    except (ijson.JSONError, ValueError, OverflowError):
        raise CutError("the JSON is broken") from None


def _object(data: Any, name: str) -> dict[str, Any]:
    value = data.get(name) if isinstance(data, dict) else None
    return value if isinstance(value, dict) else {}


def _headers(request: dict[str, Any]) -> dict[str, str]:
    """By lower-case name, the first of each; HTTP/2's pseudo-headers (`:path`) are no headers."""
    found: dict[str, str] = {}
    headers = request.get("headers")
    for header in headers if isinstance(headers, list) else []:
        if isinstance(header, dict) and isinstance(header.get("name"), str) and header["name"][:1] != ":":
            found.setdefault(header["name"].lower(), str(header.get("value", "")))
    return found


def _body(request: dict[str, Any]) -> tuple[bytes | None, int]:
    """The body and its size; -1 where it isn't told, None where a body was sent and isn't in the file."""
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


def left_out(entry: dict[str, Any]) -> str:
    """Why an entry never reached a server, "" where it did."""
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
    if any(word in error for word in BLOCKED):
        return "blocked before it was sent"
    return ""


def read(data: Any, number_of: int, stamp: stamps.Stamp = stamps.iso) -> Entry | None:
    """One entry; None where it never reached a server.  FaultyError where a field is missing or can't be used."""
    if not isinstance(data, dict):
        raise FaultyError("entry", "is no object")
    request = data.get("request")
    if not isinstance(request, dict):
        raise FaultyError("request", "is missing")
    if left_out(data):
        return None
    when = data.get("startedDateTime")
    if not isinstance(when, str) or not when:
        raise FaultyError("time", "is missing")
    at, coarse = stamp(when)
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
    took = data.get("time")
    status = _object(data, "response").get("status")
    headers = _headers(request)
    body, size = _body(request)
    return Entry(
        at,
        method,
        target,
        parts.netloc.rpartition("@")[2],
        took / 1000.0 if isinstance(took, int | float) and not isinstance(took, bool) and 0 <= took < 1e10 else -1.0,
        int(status) if isinstance(status, int | float) and 100 <= status < 1000 else 0,
        "",
        headers.get("x-forwarded-for", "").partition(",")[0].strip(),
        headers.get("cookie", ""),
        headers.get("user-agent", ""),
        size,
        body,
        number_of,
        coarse,
    )
