"""Where a head ends, in reads of every length."""

import pytest

from gateusher.base.head_boundary import HeadBoundary

HEAD = b"GET / HTTP/1.1\r\nA: b\r\n\r\n"


@pytest.mark.parametrize("size", range(1, len(HEAD) + 9))
@pytest.mark.parametrize("rest", [b"", b"\r\n", b"\r\n\r\nbody"])
def test_the_end_of_a_head_is_found_however_it_is_split(size: int, rest: bytes) -> None:
    """Guards against a head whose end is missed between two reads: the body behind it would not be measured."""
    boundary = HeadBoundary()
    for begin in range(0, len(HEAD + rest), size):
        data = (HEAD + rest)[begin : begin + size]
        end = boundary.find(data, 0)
        assert 0 < end <= len(data)
        if begin + end >= len(HEAD):
            assert begin + end == len(HEAD)
            return
        assert end == len(data)
    raise AssertionError("the end was not found")


def test_a_second_head_in_the_same_read_is_found_by_its_start() -> None:
    boundary = HeadBoundary()
    assert boundary.find(HEAD + HEAD, 0) == len(HEAD)
    assert boundary.find(HEAD + HEAD, len(HEAD)) == 2 * len(HEAD)
