"""Parses the timestamps of sources to Unix time in seconds.

A timestamp without a zone is a fault unless its format implies one; none is interpreted as local time.
"""

from __future__ import annotations

import re
from calendar import timegm
from collections.abc import Callable
from datetime import UTC, datetime, timedelta, timezone
from functools import lru_cache

from ..entry import FaultyError

MONTHS = {
    name: n
    for n, name in enumerate(("Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"), 1)
}
CLF = re.compile(r"(\d\d)/([A-Z][a-z]{2})/(\d{4}):(\d\d):(\d\d):(\d\d)(?:[.,](\d{1,9}))?(?: ([+-])(\d\d)(\d\d))?")
# RFC 3339 and its common variants: a space for the T, no colon in the zone, a decimal comma.
ISO = re.compile(
    r"(\d{4})-(\d\d)-(\d\d)[T ](\d\d):(\d\d)(?::(\d\d)(?:[.,](\d{1,12}))?)?\s*"
    r"(?:(Z|z|UTC|GMT)|([+-])(\d\d):?(\d\d)?)?"
)
NUMBER = re.compile(r"(\d{1,19})(\.\d{1,12})?")
MAX_UNIX_TIME_S = 32503680000.0  # the year 3000

TimeParser = Callable[[str], tuple[float, bool]]  # returns Unix time, and whether it has whole seconds only


def _seconds(year: int, month: int, day: int, hour: int, minute: int, second: int) -> int:
    """Return the Unix time of a UTC date; a leap second counts as the second after it.

    Raises FaultyError for a date that doesn't exist.
    """
    try:
        datetime(year, month, day, hour, minute, min(second, 59))
    except ValueError as error:
        raise FaultyError("time", str(error)) from None
    if second > 60:
        raise FaultyError("time", "second must be in 0..60")
    return timegm((year, month, day, hour, minute, second, 0, 0, 0))


def _offset(sign: str, hours: str, minutes: str | None) -> int:
    """Return the offset of a zone from UTC in seconds."""
    if int(hours) > 15 or int(minutes or 0) > 59:
        raise FaultyError("time", "no such zone")
    return (int(hours) * 3600 + int(minutes or 0) * 60) * (1 if sign == "+" else -1)


@lru_cache(maxsize=64)  # thousands of lines share a second
def clf(text: str) -> tuple[float, bool]:
    """Parse a time of the common log format or of HAProxy, such as `10/Oct/2000:13:55:36 -0700`.

    HAProxy writes it without a zone.
    """
    match = CLF.fullmatch(text)
    if not match:
        raise FaultyError("time", "not a time of the common log format")
    day, month, year, hour, minute, second, fraction, sign, zone_h, zone_m = match.groups()
    if month not in MONTHS:
        raise FaultyError("time", "no such month")
    if sign is None:
        raise FaultyError("time", "has no zone")
    at = _seconds(int(year), MONTHS[month], int(day), int(hour), int(minute), int(second))
    at -= _offset(sign, zone_h, zone_m)
    return at + (float("0." + fraction) if fraction else 0.0), fraction is None


@lru_cache(maxsize=64)
def iso(text: str) -> tuple[float, bool]:
    """Parse a time of RFC 3339, or of a common variant of ISO 8601, with a zone."""
    match = ISO.fullmatch(text.strip())
    if not match:
        raise FaultyError("time", "not an ISO 8601 time")
    year, month, day, hour, minute, second, fraction, utc, sign, zone_h, zone_m = match.groups()
    if utc is None and sign is None:
        raise FaultyError("time", "has no zone")
    at = _seconds(int(year), int(month), int(day), int(hour), int(minute), int(second or 0))
    if sign:
        at -= _offset(sign, zone_h, zone_m)
    return at + (float("0." + fraction) if fraction else 0.0), fraction is None


def epoch(text: str) -> tuple[float, bool]:
    """Parse Unix time, as in `$msec` and JSON logs; the number of digits decides between s, ms, us and ns."""
    match = NUMBER.fullmatch(text)
    if not match:
        raise FaultyError("time", "not a Unix time")
    digits = len(match[1].lstrip("0"))
    value = float(text) / (1.0 if digits <= 11 else 1e3 if digits <= 14 else 1e6 if digits <= 17 else 1e9)
    if not 0 < value < MAX_UNIX_TIME_S:
        raise FaultyError("time", "outside of the years 1970 to 3000")
    return value, digits <= 11 and match[2] is None


def any_form(text: str) -> tuple[float, bool]:
    """Parse a time of a JSON log: ISO 8601, the common log format or Unix time."""
    if text[:4].isdigit() and text[4:5] == "-":
        return iso(text)
    return epoch(text) if NUMBER.fullmatch(text) else clf(text)


def with_default_zone(parse_time: TimeParser, zone: timezone) -> TimeParser:
    """Return a parser that uses `zone`, as the user named it, for times without a zone."""
    offset = zone.utcoffset(None).total_seconds()
    sign, minutes = "+" if offset >= 0 else "-", int(abs(offset)) // 60
    suffix = f"{sign}{minutes // 60:02d}{minutes % 60:02d}"

    def read(text: str) -> tuple[float, bool]:
        try:
            return parse_time(text)
        except FaultyError as error:
            if error.reason != "has no zone":
                raise
            return parse_time(f"{text} {suffix}" if parse_time is clf else text + suffix)

    return read


def strftime(form: str) -> TimeParser:
    """Return a parser for Apache's `%{FORMAT}t`.

    The parser raises FaultyError for text that doesn't match the format, and for a time without a zone.
    """

    @lru_cache(maxsize=64)
    def read(text: str) -> tuple[float, bool]:
        try:
            parsed = datetime.strptime(text, form)
        except ValueError as error:
            raise FaultyError("time", f"not of the form {form}") from error
        if parsed.tzinfo is None:
            raise FaultyError("time", "has no zone")
        return parsed.timestamp(), "%f" not in form

    return read


def zone_of(text: str) -> timezone:
    """Parse a UTC offset such as `Z`, `+08:00` or `-0530`.

    Raises ValueError for anything else: zone names would need a database that changes.
    """
    if text in ("Z", "UTC"):
        return UTC
    match = re.fullmatch(r"([+-])(\d\d):?(\d\d)", text)
    if not match or int(match[2]) > 15 or int(match[3]) > 59:
        raise ValueError(f"expected a UTC offset such as +08:00, found {text!r}")
    offset = timedelta(hours=int(match[2]), minutes=int(match[3]))
    return timezone(offset if match[1] == "+" else -offset)
