"""Files as lines or bytes, packed or not, and the reader of one file whatever it holds.

Every line of a log is accounted for: blank, a comment, part of the record before it, an entry, or a fault.
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
from .stamps import iso, zoned

GZIP, ZSTD = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"
SAMPLE = 256 << 10  # bytes that a guess rests on
SAMPLE_LINES = 200
MOST_LINE = 1 << 20  # characters of a line; a longer one is a fault
MOST_JOINED = 8  # lines of one record whose quotes hold newlines
LEAST_PART = 0.5  # of the sample's lines that a format has to fit


class SourceError(ValueError):
    """A source can't be opened, or nothing says how it is to be read."""


Reader = Format | json_lines.Lines


@dataclass
class Counts:
    """What has been read of a file."""

    lines: int = 0  # of a HAR: entries
    blank: int = 0
    comments: int = 0
    joined: int = 0  # lines beyond the first of their record
    entries: int = 0
    faults: int = 0
    left_out: int = 0  # of a HAR: never reached a server
    broken: int = 0  # faults of the file itself, which are no record's


class _Zstd(io.RawIOBase):
    """Frames one behind the other, unpacked.  EOFError where the last one is cut off, which the library's own
    stream takes for its end."""

    def __init__(self, raw: IO[bytes]) -> None:
        self._raw, self._frame = raw, zstandard.ZstdDecompressor().decompressobj()
        self._left = b""  # behind the end of the frame before
        self._fed = False  # something of the present frame has come
        self._ready = memoryview(b"")

    def readable(self) -> bool:
        return True

    def readinto(self, into: Any) -> int:
        while not self._ready:
            data, self._left = self._left or self._raw.read(1 << 17), b""
            if not data:
                if self._fed:
                    raise EOFError("in the middle of a frame")
                return 0
            self._ready, self._fed = memoryview(self._frame.decompress(data)), True
            if self._frame.eof:
                self._left, self._fed = self._frame.unused_data, False
                self._frame = zstandard.ZstdDecompressor().decompressobj()
        size = min(len(into), len(self._ready))
        into[:size], self._ready = self._ready[:size], self._ready[size:]
        return size

    def close(self) -> None:
        self._raw.close()
        super().close()


def open_bytes(path: Path) -> IO[bytes]:
    """The file's content, unpacked by what its first bytes say, whatever its name.  Raises SourceError."""
    try:
        raw = path.open("rb")
        head = raw.peek(4)[:4]
    except OSError as error:
        raise SourceError(f"{path}: {error.strerror}") from None
    if head[:2] == GZIP:
        return cast("IO[bytes]", gzip.GzipFile(fileobj=raw))
    if head == ZSTD:
        return cast("IO[bytes]", _Zstd(raw))
    return raw


BROKEN_PACK = (EOFError, zlib.error, gzip.BadGzipFile, zstandard.ZstdError)


def text_of(source: IO[bytes]) -> IO[str]:
    """Lines end with a newline alone; bytes that are no UTF-8 are U+FFFD."""
    buffered = source
    if not isinstance(source, io.BufferedReader):
        buffered = io.BufferedReader(cast(io.RawIOBase, source), 1 << 18)
    return io.TextIOWrapper(buffered, encoding="utf-8-sig", errors="replace", newline="\n")


def _sample(path: Path) -> str:
    with open_bytes(path) as source:
        data = b""
        try:
            while len(data) < SAMPLE and (more := source.read(SAMPLE - len(data))):
                data += more
        except BROKEN_PACK:
            pass  # told when it is read
    return data.decode("utf-8-sig", "replace")


def common() -> Format:
    """Return the common log format of Apache's mod_log_config."""
    found = apache(COMMON, "common log format")
    # Its last field is a number, not the rest of the line: a combined line is none of these.
    found.pattern = re.compile(found.pattern.pattern[:-2] + r"\S+")
    return found


def named(text: str, fields: dict[str, str] | None) -> Reader | None:
    """A format as a user names it; None for HAR.  Raises SourceError.

    `combined`, `common`, `haproxy`, `envoy`, `alb`, `caddy`, `traefik`, `nginx-json`, `json` with the rules' map,
    `har`, `nginx:` or `apache:` with the format's own string behind it; `w3c` is told by the file's `#Fields:`.
    """
    kind, mark, form = text.partition(":")
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
        if mark and kind in ("nginx", "apache"):
            return (nginx if kind == "nginx" else apache)(form)
        if kind == "json":
            if not fields:
                raise SourceError("format json needs a [json] table in the rules, which says where each field stands")
            return json_lines.Lines(json_lines.Map("JSON lines", fields, fields.get("time_is") == "end"))
        if not mark and kind in fixed:
            return fixed[kind]()
    except (FormatError, ValueError) as error:
        raise SourceError(f"format {kind}: {error}") from None
    known = ", ".join([*fixed, "json", "har", "nginx:...", "apache:..."])
    raise SourceError(f"no format {text!r}; there are {known}")


def guess(path: Path) -> Reader | None:
    """How a file is to be read, by its content; None for HAR.  Raises SourceError where nothing fits."""
    text = _sample(path)
    if text.lstrip()[:1] == "{" and '"log"' in text[:4096] and "".join(text[:4096].split()).startswith('{"log":{'):
        return None
    lines = text.split("\n")
    if len(text) >= SAMPLE // 2 and len(lines) > 1:
        lines.pop()  # cut by the sample
    header = next((line for line in lines if line.startswith("#Fields:")), None)
    lines = [line.rstrip("\r") for line in lines if line.strip() and line[0] != "#"][:SAMPLE_LINES]
    if header:
        return w3c(header.rstrip("\r"), "time-taken" in header and not _seconds(header, lines))
    if not lines:
        raise SourceError(f"{path}: is empty, so its format can't be told; name it with --format")
    maps = [found for line in lines if line[:1] == "{" and (found := json_lines.guess(line))]
    if len(maps) > LEAST_PART * len(lines):
        return json_lines.Lines(max(json_lines.KNOWN, key=maps.count))
    best: tuple[float, Format | None] = 0.0, None
    for reader in (alb(), envoy(), haproxy(), apache(COMBINED, "combined log format"), common()):
        part = sum(reader.pattern.fullmatch(line) is not None for line in lines) / len(lines)
        if part > best[0]:
            best = part, reader
    if best[1] is None or best[0] < LEAST_PART:
        raise SourceError(f"{path}: its format can't be told from its content; name it with --format")
    return best[1]


def _seconds(header: str, lines: list[str]) -> bool:
    """Whether `time-taken` is in seconds: W3C's draft has them with a fraction, IIS whole milliseconds."""
    at = header.removeprefix("#Fields:").split().index("time-taken")
    values = [parts[at] for line in lines if len(parts := line.split()) > at]
    return any("." in value for value in values)


@dataclass
class _Held:
    """A record whose quotes are still open at the end of its line."""

    text: str = ""
    at: int = 0
    lines: int = 0


class Source:
    """One file and how it is read; `entries` may be called once more for another pass."""

    def __init__(
        self, path: Path, form: str | None = None, zone: timezone | None = None, fields: dict[str, str] | None = None
    ) -> None:
        self.path, self.name = path, str(path)
        self.reader = named(form, fields) if form else guess(path)
        self.guessed = form is None
        self.is_har = self.reader is None
        self._stamp = iso if zone is None else zoned(iso, zone)
        if self.reader and zone:
            self.reader.stamp = zoned(self.reader.stamp, zone)
        self.at_end = bool(self.reader and self.reader.at_end)
        self.counts = Counts()

    @property
    def kind(self) -> str:
        """The name of the source's format."""
        return self.reader.name if self.reader else "HAR 1.2"

    def entries(self, faults: Faults) -> Generator[Entry, None, None]:
        """Everything in it, in its own order.  Raises SourceError where it can't be opened, StrictError."""
        self.counts = Counts()
        with open_bytes(self.path) as source:
            try:
                yield from self._har(source, faults) if self.reader is None else self._lines(source, faults)
            except BROKEN_PACK:
                self._broken(faults, "its packing is broken or cut off")
            except OSError as error:
                self._broken(faults, f"can't be read: {error.strerror}")

    def _fault(self, faults: Faults, line: int, field: str, reason: str) -> None:
        self.counts.faults += 1
        faults.add(Fault(self.name, line, field, reason))

    def _broken(self, faults: Faults, reason: str) -> None:
        """The file can't be read any further; what came before that has been given."""
        self.counts.broken += 1
        faults.add(Fault(self.name, self.counts.lines + 1, "file", reason))

    def _har(self, source: IO[bytes], faults: Faults) -> Iterator[Entry]:
        counts = self.counts
        try:
            for data in har.raw_entries(source):
                counts.lines += 1
                try:
                    entry = har.read(data, counts.lines, self._stamp)
                except FaultyError as error:
                    self._fault(faults, counts.lines, error.field, error.reason)
                    continue
                if entry is None:
                    counts.left_out += 1
                else:
                    counts.entries += 1
                    yield entry
        except har.CutError as error:
            self._broken(faults, str(error))

    def _lines(self, source: IO[bytes], faults: Faults) -> Iterator[Entry]:
        assert self.reader
        counts, text, held = self.counts, text_of(source), _Held()
        is_w3c = isinstance(self.reader, Format) and self.reader.plus
        for raw in iter(lambda: text.readline(MOST_LINE), ""):
            counts.lines += 1
            if len(raw) >= MOST_LINE and raw[-1] != "\n":
                while (more := text.readline(MOST_LINE)) and more[-1] != "\n":
                    pass
                self._fault(faults, counts.lines, "line", "is longer than a mebibyte")
                continue
            line = raw.rstrip("\r\n")
            try:
                entry = self.reader.read(line, counts.lines)
            except FaultyError as error:
                self._drop(held, faults)
                self._fault(faults, counts.lines, error.field, error.reason)
                continue
            if entry is None and is_w3c and line[:1] == "#":
                self._directive(line, faults)
            elif entry is None and held.lines:
                entry = self._longer(held, line, faults)
            elif entry is None and not line.strip():
                counts.blank += 1
            elif entry is None and _open_quote(line):
                held.text, held.at, held.lines = line, counts.lines, 1
            elif entry is None:
                self._fault(faults, counts.lines, "line", "has not the form of the log")
            elif held.lines:
                self._drop(held, faults)
            if entry is not None:
                counts.entries += 1
                yield entry
        self._drop(held, faults, "ends inside of quotes")

    def _directive(self, line: str, faults: Faults) -> None:
        """W3C: a server that was set up anew says in mid-file what its fields are from here on."""
        self.counts.comments += 1
        if line.startswith("#Fields:") and isinstance(self.reader, Format):
            try:
                self.reader = w3c(line, "took_s" not in self.reader.fields)
            except FormatError as error:
                self.counts.comments -= 1
                self._fault(faults, self.counts.lines, "fields", str(error))

    def _longer(self, held: _Held, line: str, faults: Faults) -> Entry | None:
        """A record whose quotes were open goes on with this line."""
        assert self.reader
        held.text, held.lines = f"{held.text}\n{line}", held.lines + 1
        try:
            entry = self.reader.read(held.text, held.at)
        except FaultyError as error:
            self._drop(held, faults, error.reason, error.field)
            return None
        if entry is not None:
            self.counts.joined += held.lines - 1
            held.lines = 0
        elif held.lines >= MOST_JOINED or len(held.text) > MOST_LINE or not _open_quote(held.text):
            self._drop(held, faults)
        return entry

    def _drop(
        self, held: _Held, faults: Faults, reason: str = "has not the form of the log", field: str = "line"
    ) -> None:
        if held.lines:
            self.counts.joined += held.lines - 1
            held.lines = 0
            self._fault(faults, held.at, field, reason)


def _open_quote(line: str) -> bool:
    """Whether a quote is open at the line's end; escaped ones don't count."""
    return (line.count('"') - line.count('\\"')) % 2 == 1
