"""Inputs of the fuzz tests, and the world that they are fed to.

The explorer of the checker covers only a few byte sequences; these tests cover arbitrary ones.  The generated
examples are the same in every run.  Inputs that failed once are saved in `tests/data`, a file each.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

from checker import properties
from checker.explore import MAX_QUIESCENCE_STEPS
from checker.scheduler import Scheduler
from checker.world import Setting, World

DATA = Path(__file__).parents[1] / "data"

FUZZ_SETTINGS = settings(
    derandomize=True, database=None, deadline=None, max_examples=400, suppress_health_check=list(HealthCheck)
)


def saved_inputs(kind: str) -> list[bytes]:
    """Return the inputs in `tests/data` that have failed once."""
    return [path.read_bytes() for path in sorted((DATA / kind).iterdir())]


def make_world(interface: str = "daemon", effect: str = "safe", **setting: Any) -> World:
    return World(Scheduler([]), interface, (effect,), setting=Setting(**setting))


def split_at(data: bytes, cuts: list[int]) -> Iterator[bytes]:
    positions = sorted({c % (len(data) + 1) for c in cuts} | {0, len(data)})
    for start, end in zip(positions, positions[1:], strict=False):
        yield data[start:end]


def check_nothing_is_left(w: World) -> None:
    """Let all timers fire, and check that no error occurred and nothing is still held."""
    w.quiesce()
    w.loop.settle()
    for _ in range(MAX_QUIESCENCE_STEPS):
        if not w.has_pending_work():
            break
        w.loop.fire()
        w.loop.settle()
    assert not w.loop.errors
    assert not properties.nothing_retained(w)


def edited(base: bytes, edits: list[tuple[int, int, bytes]]) -> bytes:
    """Return `base` after these edits, each a position, a number of bytes to remove and the bytes to insert."""
    for position, removed, inserted in edits:
        start = position % (len(base) + 1)
        base = base[:start] + inserted + base[start + removed :]
    return base


INSERTIONS = st.sampled_from(
    [
        b"",
        b"\r\n",
        b"\n",
        b"\r",
        b" ",
        b"0",
        b"1",
        b":",
        b",",
        b"\x00",
        b"\xff",
        b"\r\n\r\n",
        b"chunked",
        b"Content-Length: 1\r\n",
        b"close",
    ]
)

EDITS = st.lists(st.tuples(st.integers(0, 1000), st.integers(0, 3), INSERTIONS), max_size=2)


UNEXPECTED_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 70000),
    st.floats(),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
    st.just(1e400),
    st.just("127.0.0.1:0"),
    st.just("::1:9"),
)
