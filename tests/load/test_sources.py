"""Reading of logs and HAR files: entries of each format, faults of invalid input, and counts of all lines."""

import gzip
import io
import json
import tracemalloc
from contextlib import suppress
from pathlib import Path

import pytest
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from gateusher.load.entry import Entry, Faults, FaultyError, StrictError
from gateusher.load.sources import files, har, stamps
from gateusher.load.sources.files import Source, SourceError
from gateusher.load.sources.formats import FormatError, apache, nginx, w3c

from .lines import BROKEN, COMBINED, SAMPLES, T0

KEYS = st.sampled_from(["request", "method", "url", "startedDateTime", "time", "postData"])
HARS = Path(__file__).parents[1] / "data" / "har"


def read(path: Path, log_format: str | None = None, zone: str | None = None) -> tuple[Source, list[Entry], Faults]:
    source, faults = Source(path, log_format, stamps.zone_of(zone) if zone else None), Faults()
    entries = list(source.entries(faults))
    counts = source.counts
    if not source.is_har:
        assert counts.lines == counts.blank + counts.comments + counts.joined + counts.entries + counts.faults
    assert (counts.entries, counts.faults + counts.broken) == (len(entries), faults.count)
    return source, entries, faults


@pytest.mark.parametrize("name", SAMPLES)
def test_line_of_each_format_is_parsed(name: str, tmp_path: Path) -> None:
    sample = SAMPLES[name]
    path = tmp_path / "a.log"
    path.write_text(f"{sample.header}{sample.line}\n\n{sample.line}\n")
    source, entries, faults = read(path, sample.format, sample.zone)
    assert not faults.first
    assert source.kind == sample.kind or sample.format
    assert len(entries) == 2
    (entry, _) = entries
    assert entry.at == pytest.approx(T0 + sample.at, abs=1e-6)
    assert (entry.method, entry.target, entry.address) == (sample.method, sample.target, sample.address)
    assert entry.took == pytest.approx(sample.took)
    assert entry.agent == sample.agent


@pytest.mark.parametrize("name", BROKEN)
def test_invalid_line_is_reported_with_its_place_and_skipped(name: str, tmp_path: Path) -> None:
    line, field = BROKEN[name]
    path = tmp_path / "a.log"
    path.write_text(f"{COMBINED}\n{line}\n{COMBINED}\n")
    _, entries, faults = read(path, "common" if "line" not in field else "combined")
    (fault,) = [f for f in faults.first if f.line == 2]
    assert (fault.file, fault.field) == (str(path), field)
    assert all(entry.line != 2 for entry in entries)
    with pytest.raises(StrictError):
        list(Source(path, "combined").entries(Faults(strict=True)))


def test_faults_are_counted_by_reason_and_written_to_the_file_after_the_first_ten() -> None:
    overflow = io.StringIO()
    faults = Faults(overflow)
    for i in range(25):
        faults.add(files.Fault("a", i, "time", "has no zone"))
    assert len(faults.first) == 10
    assert [json.loads(line)["line"] for line in overflow.getvalue().splitlines()] == list(range(10, 25))
    assert list(faults.rows()) == [("time", "has no zone", 25)]


@pytest.mark.parametrize("compression", ["gz", "zst", "cut gz", "cut zst"])
def test_compressed_files_are_detected_by_their_content(compression: str, tmp_path: Path) -> None:
    data = (COMBINED + "\n").encode() * 5000
    frames = zstandard.compress(data[:60000]) + zstandard.compress(data[60000:])
    compressed = gzip.compress(data) if "gz" in compression else frames
    path = tmp_path / "a.log"
    path.write_bytes(compressed[:-9] if "cut" in compression else compressed)
    _, entries, faults = read(path, "combined")
    if "cut" in compression:
        assert len(entries) < 5000
        assert faults.first[-1].reason == "its packing is broken or cut off"
    else:
        assert len(entries) == 5000


def test_lines_after_an_overlong_or_undecodable_line_are_read(tmp_path: Path) -> None:
    path = tmp_path / "a.log"
    path.write_bytes(
        COMBINED.encode()
        + b"\n"
        + b"x" * (3 << 20)
        + b"\n"
        + b'\xff\xfe "\x00\n'
        + COMBINED.encode().replace(b"frank", b"\xe5\x8f")
        + b"\r\n"
        + COMBINED.encode()
    )
    _, entries, faults = read(path, "combined")
    assert len(entries) == 3
    assert [f.reason for f in faults.first] == ["is longer than a mebibyte", "has not the form of the log"]


def test_long_log_is_read_in_bounded_memory(tmp_path: Path) -> None:
    path = tmp_path / "a.log"
    path.write_text((COMBINED + "\n") * 40_000)
    source = Source(path)
    tracemalloc.start()
    try:
        count = sum(1 for _ in source.entries(Faults()))
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert count == 40_000
    assert peak < 4 << 20  # the file has 6 MiB


@pytest.mark.parametrize(
    ("compile_format", "text"),
    [
        (nginx, '$remote_addr$status $time_local "$request"'),
        (nginx, "$remote_addr [$time_local]"),
        (nginx, '$remote_addr "$request"'),
        (apache, '%h%u %t "%r"'),
        (apache, "%h %u"),
        (w3c, "#Fields: date time c-ip"),
        (w3c, "#Fields: cs-method cs-uri-stem"),
    ],
)
def test_invalid_format_is_a_format_error(compile_format: object, text: str) -> None:
    with pytest.raises(FormatError):
        compile_format(text)  # type: ignore[operator]


def test_undetectable_format_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "a.log"
    for text in ("", "one\ntwo\n", "{}\n{}\n"):
        path.write_text(text)
        with pytest.raises(SourceError, match="--format"):
            Source(path)
    with pytest.raises(SourceError, match="no format"):
        Source(path, "nginx")
    with pytest.raises(SourceError, match="No such file"):
        Source(tmp_path / "none")


# -- HAR


@pytest.mark.parametrize(
    ("writer", "targets", "left_out", "reasons"),
    [
        ("chromium", ["/pallets/7?depot=a", "/consign"], 2, ["is not of HTTP"]),
        ("firefox", ["/pallets/8", "/consign", "/pallets/9"], 0, []),
        ("safari", ["/pallets/1"], 1, []),
        ("charles", ["/consign"], 0, ["is no base64"]),
        ("mitmproxy", ["/pallets/5"], 0, ["has no zone"]),
    ],
)
def test_har_of_each_writer_is_read(writer: str, targets: list[str], left_out: int, reasons: list[str]) -> None:
    source, entries, faults = read(HARS / f"{writer}.har")
    assert source.is_har
    assert [e.target for e in entries] == targets
    assert (source.counts.left_out, [f.reason for f in faults.first]) == (left_out, reasons)
    assert all(e.host == "api.example" for e in entries)


def test_fields_of_har_entries() -> None:
    _, (lookup, issue), _ = read(HARS / "chromium.har")
    assert (lookup.at, lookup.took, lookup.cookie) == (T0 + 0.125, 0.0415, "session=s1; theme=dark")
    assert (issue.body, issue.size, issue.status) == (b'{"a": 12}', 9, 201)
    _, (first, without_body, _), _ = read(HARS / "firefox.har")
    assert first.at == T0 + 0.25
    assert (without_body.body, without_body.size, without_body.took) == (None, 4096, -1.0)
    _, (base64_encoded,), _ = read(HARS / "charles.har")
    assert base64_encoded.body == bytes(range(6))


@pytest.mark.parametrize("cut", [3, 40, 700])
def test_truncated_har_yields_its_complete_entries(cut: int, tmp_path: Path) -> None:
    path = tmp_path / "cut.har"
    path.write_bytes((HARS / "firefox.har").read_bytes()[:-cut])
    _, entries, faults = read(path, "har")
    assert len(entries) == {3: 3, 40: 2, 700: 1}[cut]
    assert [f.field for f in faults.first] == ["file"]


def test_invalid_utf_8_in_a_har_affects_only_its_own_string(tmp_path: Path) -> None:
    path = tmp_path / "a.har"
    path.write_bytes((HARS / "chromium.har").read_bytes().replace(b"theme=dark", b"theme=\xff\xc3("))
    _, entries, _ = read(path)
    assert entries[0].cookie == "session=s1; theme=��("


def test_har_is_read_as_a_stream(tmp_path: Path) -> None:
    """Each entry has a response body of 1 MiB; memory is needed for one entry, independent of their number."""
    entry = json.loads((HARS / "safari.har").read_text())["log"]["entries"][0]
    entry["response"]["content"]["text"] = "x" * (1 << 20)
    path = tmp_path / "a.har"
    path.write_text('{"log": {"version": "1.2", "entries": [' + ",".join([json.dumps(entry)] * 24) + "]}}")
    tracemalloc.start()
    try:
        count = sum(1 for _ in Source(path).entries(Faults()))
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert count == 24
    assert peak < 10 << 20


# -- arbitrary input


@settings(max_examples=300, deadline=None)
@given(
    st.sampled_from(sorted(SAMPLES)),
    st.lists(
        st.one_of(st.just("sample"), st.binary(max_size=80), st.tuples(st.integers(0, 300), st.binary(max_size=3))),
        max_size=12,
    ),
)
def test_any_bytes_are_read_or_reported(
    tmp_path_factory: pytest.TempPathFactory, name: str, parts: list[object]
) -> None:
    """Valid lines, random bytes and partly overwritten lines cause no exception, and the counts cover every line."""
    sample = SAMPLES[name]
    data = sample.header.encode()
    for part in parts:
        if isinstance(part, bytes):
            data += part
        elif isinstance(part, tuple):
            offset, replacement = part
            line = sample.line.encode()
            data += line[:offset] + replacement + line[offset + len(replacement) :]
        else:
            data += sample.line.encode()
        data += b"\n"
    path = tmp_path_factory.mktemp("fuzz") / "a.log"
    path.write_bytes(data)
    read(
        path,
        sample.format or {"caddy": "caddy", "traefik": "traefik", "nginx json": "nginx-json"}.get(name, name),
        sample.zone,
    )


@settings(max_examples=200, deadline=None)
@given(
    st.sampled_from(["chromium", "firefox", "charles"]),
    st.integers(0, 3000),
    st.binary(max_size=6),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=8),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4),
        max_leaves=8,
    ),
)
def test_any_har_is_read_or_reported(
    tmp_path_factory: pytest.TempPathFactory, writer: str, offset: int, replacement: bytes, entry: object
) -> None:
    data = (HARS / f"{writer}.har").read_bytes()
    path = tmp_path_factory.mktemp("fuzz") / "a.har"
    path.write_bytes(data[:offset] + replacement + data[offset + len(replacement) :])
    read(path, "har")
    with suppress(FaultyError):
        har.read(entry, 1)
