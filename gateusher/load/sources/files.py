"""Reads one source file of any supported format, compressed or not.

Every line of a log is counted: as blank, a comment, a continuation of the record before it, an entry, or a fault.
"""

from __future__ import annotations

import gzip
import io
import re
import zlib
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass
from datetime import timezone
from pathlib import Path
from typing import IO, Any, cast

import zstandard

from ..entry import Entry, Fault, Faults, FaultyError
from . import har, json_lines
from .formats import COMBINED, COMMON, Format, FormatError, alb, apache, envoy, haproxy, nginx, w3c
from .stamps import iso, with_default_zone

GZIP, ZSTD = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"
SAMPLE_BYTES = 256 << 10  # how much of a file is read to detect its format
SAMPLE_LINES = 200
MAX_LINE_CHARS = 1 << 20
MAX_JOINED_LINES = 8  # lines of one record with newlines inside of quotes
MIN_MATCHING_SHARE = 0.5  # of the sample's lines, for a format to be detected


class SourceError(ValueError):
    """A source can't be opened, or its format is unknown."""


Reader = Format | json_lines.Lines


@dataclass
class Counts:
    """Counts of what was read from a file."""

    lines: int = 0  # entries of a HAR file
    blank: int = 0
    comments: int = 0
    joined: int = 0  # lines after the first of their record
    entries: int = 0
    faults: int = 0
    left_out: int = 0  # entries of a HAR file that never reached a server
    broken: int = 0  # faults of the file, not of one record


class _ZstdStream(io.RawIOBase):
    """Decompresses consecutive zstd frames.

    Raises EOFError for a truncated last frame, which the library's own stream treats as a regular end.
    """

    def __init__(self, raw: IO[bytes]) -> None:
        self._raw, self._frame = raw, zstandard.ZstdDecompressor().decompressobj()
        self._unused = b""  # input after the end of the previous frame
        self._in_frame = False  # part of the current frame was read
        self._ready = memoryview(b"")

    def readable(self) -> bool:
        return True

    def readinto(self, into: Any) -> int:
        while not self._ready:
            data, self._unused = self._unused or self._raw.read(1 << 17), b""
            if not data:
                if self._in_frame:
                    raise EOFError("in the middle of a frame")
                return 0
            self._ready, self._in_frame = memoryview(self._frame.decompress(data)), True
            if self._frame.eof:
                self._unused, self._in_frame = self._frame.unused_data, False
                self._frame = zstandard.ZstdDecompressor().decompressobj()
        size = min(len(into), len(self._ready))
        into[:size], self._ready = self._ready[:size], self._ready[size:]
        return size

    def close(self) -> None:
        self._raw.close()
        super().close()


def open_bytes(path: Path) -> IO[bytes]:
    """Open a file, decompressed according to its first bytes and not its name.  Raises SourceError."""
    try:
        raw = path.open("rb")
        head = raw.peek(4)[:4]
    except OSError as error:
        raise SourceError(f"{path}: {error.strerror}") from None
    if head[:2] == GZIP:
        return cast("IO[bytes]", gzip.GzipFile(fileobj=raw))
    if head == ZSTD:
        return cast("IO[bytes]", _ZstdStream(raw))
    return raw


DECOMPRESSION_ERRORS = (EOFError, zlib.error, gzip.BadGzipFile, zstandard.ZstdError)


def decode_text(source: IO[bytes]) -> IO[str]:
    """Return the stream as text.  Only a newline ends a line; invalid UTF-8 becomes U+FFFD."""
    buffered = source
    if not isinstance(source, io.BufferedReader):
        buffered = io.BufferedReader(cast(io.RawIOBase, source), 1 << 18)
    return io.TextIOWrapper(buffered, encoding="utf-8-sig", errors="replace", newline="\n")


def _sample(path: Path) -> str:
    with open_bytes(path) as source:
        data = b""
        try:
            while len(data) < SAMPLE_BYTES and (more := source.read(SAMPLE_BYTES - len(data))):
                data += more
        except DECOMPRESSION_ERRORS:
            pass  # reported when the file is read
    return data.decode("utf-8-sig", "replace")


def common() -> Format:
    """Return the common log format of Apache's mod_log_config."""
    found = apache(COMMON, "common log format")
    # Its last field is a number, not the rest of the line, so that it doesn't match lines of the combined format.
    found.pattern = re.compile(found.pattern.pattern[:-2] + r"\S+")
    return found


def format_named(text: str, fields: dict[str, str] | None) -> Reader | None:
    """Return the reader of a format by the name that the user gave; None for HAR.  Raises SourceError.

    `combined`, `common`, `haproxy`, `envoy`, `alb`, `caddy`, `traefik`, `nginx-json`, `json` with the rules' map,
    `har`, `nginx:` or `apache:` followed by the format string, or `w3c`, whose fields are in the file's `#Fields:`.
    """
    kind, separator, form = text.partition(":")
    fixed: dict[str, Callable[[], Reader]] = {
        "combined": lambda: apache(COMBINED, "combined log format"),
        "common": common,
        "haproxy": haproxy,
        "envoy": envoy,
        "alb": alb,
        "caddy": lambda: json_lines.Lines(json_lines.CADDY),
        "traefik": lambda: json_lines.Lines(json_lines.TRAEFIK),
        "nginx-json": lambda: json_lines.Lines(json_lines.NGINX_JSON),
        "w3c": lambda: w3c("#Fields: date time cs-method cs-uri-stem"),
    }
    try:
        if kind == "har":
            return None
        if separator and kind in ("nginx", "apache"):
            return (nginx if kind == "nginx" else apache)(form)
        if kind == "json":
            if not fields:
                raise SourceError("format json requires a [json] table in the rules, with the path of each field")
            return json_lines.Lines(json_lines.Map("JSON lines", fields, fields.get("time_is") == "end"))
        if not separator and kind in fixed:
            return fixed[kind]()
    except (FormatError, ValueError) as error:
        raise SourceError(f"format {kind}: {error}") from None
    known = ", ".join([*fixed, "json", "har", "nginx:...", "apache:..."])
    raise SourceError(f"no format {text!r}; the formats are {known}")


def detect_format(path: Path) -> Reader | None:
    """Detect a file's format from its content; None for HAR.  Raises SourceError where no format matches."""
    text = _sample(path)
    if text.lstrip()[:1] == "{" and '"log"' in text[:4096] and "".join(text[:4096].split()).startswith('{"log":{'):
        return None
    lines = text.split("\n")
    if len(text) >= SAMPLE_BYTES // 2 and len(lines) > 1:
        lines.pop()  # truncated by the sample's size
    header = next((line for line in lines if line.startswith("#Fields:")), None)
    lines = [line.rstrip("\r") for line in lines if line.strip() and line[0] != "#"][:SAMPLE_LINES]
    if header:
        return w3c(header.rstrip("\r"), "time-taken" in header and not _time_taken_is_seconds(header, lines))
    if not lines:
        raise SourceError(f"{path}: is empty, so its format can't be detected; specify it with --format")
    maps = [found for line in lines if line[:1] == "{" and (found := json_lines.detect_map(line))]
    if len(maps) > MIN_MATCHING_SHARE * len(lines):
        return json_lines.Lines(max(json_lines.KNOWN_MAPS, key=maps.count))
    best: tuple[float, Format | None] = 0.0, None
    for reader in (alb(), envoy(), haproxy(), apache(COMBINED, "combined log format"), common()):
        share = sum(reader.pattern.fullmatch(line) is not None for line in lines) / len(lines)
        if share > best[0]:
            best = share, reader
    if best[1] is None or best[0] < MIN_MATCHING_SHARE:
        raise SourceError(f"{path}: its format can't be detected from its content; specify it with --format")
    return best[1]


def _time_taken_is_seconds(header: str, lines: list[str]) -> bool:
    """Return whether `time-taken` is in seconds: W3C's draft has fractional seconds, IIS whole milliseconds."""
    at = header.removeprefix("#Fields:").split().index("time-taken")
    values = [parts[at] for line in lines if len(parts := line.split()) > at]
    return any("." in value for value in values)


@dataclass
class _PartialRecord:
    """A record with a quote that is still open at the end of its last line."""

    text: str = ""
    first_line: int = 0
    lines: int = 0


class Source:
    """One file and its reader; each call of `entries` reads it from the start."""

    def __init__(
        self, path: Path, form: str | None = None, zone: timezone | None = None, fields: dict[str, str] | None = None
    ) -> None:
        self.path, self.name = path, str(path)
        self.reader = format_named(form, fields) if form else detect_format(path)
        self.guessed = form is None
        self.is_har = self.reader is None
        self._parse_time = iso if zone is None else with_default_zone(iso, zone)
        if self.reader and zone:
            self.reader.parse_time = with_default_zone(self.reader.parse_time, zone)
        self.at_end = bool(self.reader and self.reader.at_end)
        self.counts = Counts()

    @property
    def kind(self) -> str:
        """The name of the source's format."""
        return self.reader.name if self.reader else "HAR 1.2"

    def entries(self, faults: Faults) -> Generator[Entry, None, None]:
        """Yield the entries in the file's order.

        Raises SourceError where the file can't be opened, and StrictError.
        """
        self.counts = Counts()
        with open_bytes(self.path) as source:
            try:
                yield from self._har(source, faults) if self.reader is None else self._lines(source, faults)
            except DECOMPRESSION_ERRORS:
                self._add_file_fault(faults, "its packing is broken or cut off")
            except OSError as error:
                self._add_file_fault(faults, f"can't be read: {error.strerror}")

    def _add_record_fault(self, faults: Faults, line: int, field: str, reason: str) -> None:
        self.counts.faults += 1
        faults.add(Fault(self.name, line, field, reason))

    def _add_file_fault(self, faults: Faults, reason: str) -> None:
        """Count a fault that ends the reading of the file; the entries ahead of it were returned."""
        self.counts.broken += 1
        faults.add(Fault(self.name, self.counts.lines + 1, "file", reason))

    def _har(self, source: IO[bytes], faults: Faults) -> Iterator[Entry]:
        counts = self.counts
        try:
            for data in har.raw_entries(source):
                counts.lines += 1
                try:
                    entry = har.read(data, counts.lines, self._parse_time)
                except FaultyError as error:
                    self._add_record_fault(faults, counts.lines, error.field, error.reason)
                    continue
                if entry is None:
                    counts.left_out += 1
                else:
                    counts.entries += 1
                    yield entry
        except har.BrokenHarError as error:
            self._add_file_fault(faults, str(error))

    def _lines(self, source: IO[bytes], faults: Faults) -> Iterator[Entry]:
        assert self.reader
        counts, text, partial = self.counts, decode_text(source), _PartialRecord()
        is_w3c = isinstance(self.reader, Format) and self.reader.plus_is_space
        for raw in iter(lambda: text.readline(MAX_LINE_CHARS), ""):
            counts.lines += 1
            if len(raw) >= MAX_LINE_CHARS and raw[-1] != "\n":
                while (more := text.readline(MAX_LINE_CHARS)) and more[-1] != "\n":
                    pass
                self._add_record_fault(faults, counts.lines, "line", "is longer than a mebibyte")
                continue
            line = raw.rstrip("\r\n")
            try:
                entry = self.reader.read(line, counts.lines)
            except FaultyError as error:
                self._drop_partial(partial, faults)
                self._add_record_fault(faults, counts.lines, error.field, error.reason)
                continue
            if entry is None and is_w3c and line[:1] == "#":
                self._directive(line, faults)
            elif entry is None and partial.lines:
                entry = self._continue_record(partial, line, faults)
            elif entry is None and not line.strip():
                counts.blank += 1
            elif entry is None and _open_quote(line):
                partial.text, partial.first_line, partial.lines = line, counts.lines, 1
            elif entry is None:
                self._add_record_fault(faults, counts.lines, "line", "has not the form of the log")
            elif partial.lines:
                self._drop_partial(partial, faults)
            if entry is not None:
                counts.entries += 1
                yield entry
        self._drop_partial(partial, faults, "ends inside of quotes")

    def _directive(self, line: str, faults: Faults) -> None:
        """Apply a W3C directive; a server with a changed configuration writes new `#Fields:` in mid-file."""
        self.counts.comments += 1
        if line.startswith("#Fields:") and isinstance(self.reader, Format):
            try:
                self.reader = w3c(line, "took_s" not in self.reader.fields)
            except FormatError as error:
                self.counts.comments -= 1
                self._add_record_fault(faults, self.counts.lines, "fields", str(error))

    def _continue_record(self, partial: _PartialRecord, line: str, faults: Faults) -> Entry | None:
        """Append a line to a record with an open quote; return the entry once it is complete."""
        assert self.reader
        partial.text, partial.lines = f"{partial.text}\n{line}", partial.lines + 1
        try:
            entry = self.reader.read(partial.text, partial.first_line)
        except FaultyError as error:
            self._drop_partial(partial, faults, error.reason, error.field)
            return None
        if entry is not None:
            self.counts.joined += partial.lines - 1
            partial.lines = 0
        elif partial.lines >= MAX_JOINED_LINES or len(partial.text) > MAX_LINE_CHARS or not _open_quote(partial.text):
            self._drop_partial(partial, faults)
        return entry

    def _drop_partial(
        self,
        partial: _PartialRecord,
        faults: Faults,
        reason: str = "has not the form of the log",
        field: str = "line",
    ) -> None:
        if partial.lines:
            self.counts.joined += partial.lines - 1
            partial.lines = 0
            self._add_record_fault(faults, partial.first_line, field, reason)


def _open_quote(line: str) -> bool:
    """Return whether a quote is open at the line's end; escaped quotes don't count."""
    return (line.count('"') - line.count('\\"')) % 2 == 1
