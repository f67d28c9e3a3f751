"""Which clients read slowly: counted while they are behind, by what the kernel has got rid of."""

import pytest

from gateusher.listeners.read_pace import MIN_PACE_BYTES_PER_S, Behind, ReadPace

STREAM, BUFFER = Behind.STREAM, Behind.WRITE_BUFFER
HELD_BYTES = 1 << 20  # of a long response in this end's kernel


def read_at(pace_bytes_per_s: float, seconds: float) -> float | None:
    """Return since when a client is slow that reads at this pace from time 0 on, and is behind all the time."""
    pace = ReadPace()
    pace.restart()
    pace.begin(STREAM, 0.0)
    pace.written(HELD_BYTES + int(pace_bytes_per_s * seconds))
    return pace.slow_since_s(seconds, HELD_BYTES)


@pytest.mark.parametrize("seconds", [0.6, 5.0, 120.0])
def test_the_pace_decides(seconds: float) -> None:
    assert read_at(1.01 * MIN_PACE_BYTES_PER_S, seconds) is None
    assert read_at(0.99 * MIN_PACE_BYTES_PER_S, seconds) == 0.0
    assert read_at(0.0, seconds) == 0.0


def test_bytes_ahead_in_the_client_s_kernel_count_for_a_steady_reader() -> None:
    """Guards against cutting a steady reader whose window stays closed until much of its buffer is free."""
    pace = ReadPace()
    pace.written(4 << 20)  # of which a receive buffer of 2 MiB took the first half at once
    pace.begin(STREAM, 0.0)
    assert pace.slow_since_s(30.0, 2 << 20) is None
    assert pace.slow_since_s(40.0, 2 << 20) == 0.0


def test_time_in_which_nothing_waits_for_the_client_does_not_count() -> None:
    """Guards against taking the pace of a slow endpoint for that of the client."""
    pace = ReadPace()
    for second in range(60):
        pace.written(10_000)
        pace.begin(STREAM, second + 0.9)
        assert pace.slow_since_s(second + 1.0, 0) is None
        pace.end(STREAM, second + 1.0)
    assert pace.slow_since_s(61.0, 0) is None, "it is not behind"


def test_it_is_behind_until_nothing_waits() -> None:
    pace = ReadPace()
    pace.begin(BUFFER, 1.0)
    pace.begin(STREAM, 2.0)
    pace.end(BUFFER, 3.0)
    pace.end(BUFFER, 3.5)
    assert pace.is_behind and pace.slow_since_s(4.0, 0) == 1.0
    pace.end(STREAM, 5.0)
    assert not pace.is_behind and pace.has_been_behind
    pace.begin(STREAM, 10.0)
    assert pace.slow_since_s(11.0, 0) == 6.0, "five seconds together"


def test_a_later_response_begins_anew() -> None:
    pace = ReadPace()
    pace.begin(STREAM, 0.0)
    pace.end(STREAM, 60.0)
    pace.restart()
    assert not pace.has_been_behind
    pace.written(MIN_PACE_BYTES_PER_S)
    pace.begin(STREAM, 61.0)
    assert pace.slow_since_s(61.5, 0) is None
