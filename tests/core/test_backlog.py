"""How long a request was queued unread: late ticks, the kernel's measure, and the bound where it has none."""

import errno
import socket
from math import inf

import pytest

from gateusher.core.backlog import BACKLOG_MS, LATE_TICK_MS, MIN_UNREAD_MS, Backlog, queued_ms
from gateusher.listeners.sockets import AcceptFailure, accept_failure, ms_since_last_data


def test_a_loop_that_turns_has_no_backlog() -> None:
    backlog = Backlog(100.0)
    for tick in range(20):
        backlog.tick(tick * (100.0 + LATE_TICK_MS))
        assert backlog.max_queued_ms(tick * (100.0 + LATE_TICK_MS)) == 0.0


def test_what_is_read_after_a_stall_came_since_the_beat_before_it() -> None:
    backlog = Backlog(100.0)
    backlog.tick(1000.0)
    backlog.tick(1500.0)
    assert backlog.max_queued_ms(1500.0) == 500.0
    assert backlog.max_queued_ms(1510.0) == 510.0
    assert backlog.max_queued_ms(1500.0 + BACKLOG_MS + 1.0) == 0.0


@pytest.mark.parametrize(
    ("most", "told", "slack", "result"),
    [
        (0.0, 400.0, 0.0, 0.0),  # nothing can have waited, whatever the kernel says
        (500.0, 400.0, 0.0, 400.0),  # the kernel knows better
        (300.0, 400.0, 0.0, 300.0),  # data that came later on the same connection can't make it older than the bound
        (500.0, None, 100.0, 400.0),  # nobody knows: the bound, but for what needs no stall
        (500.0, None, inf, 0.0),
        (500.0, MIN_UNREAD_MS - 1.0, 0.0, 0.0),
    ],
)
def test_what_is_taken_off(most: float, told: float | None, slack: float, result: float) -> None:
    assert queued_ms(most, told, slack) == result


def test_the_kernel_tells_of_a_connection_and_of_nothing_else() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as client:
        accepted, _ = server.accept()
        client.sendall(b"x")
        assert accepted.recv(1) == b"x"
        told = ms_since_last_data(accepted)
        assert told is not None and told >= 0.0
        accepted.close()
        assert ms_since_last_data(accepted) is None
    left, right = socket.socketpair()
    assert ms_since_last_data(left) is None
    left.close()
    right.close()


@pytest.mark.parametrize(
    ("name", "failure"),
    [
        ("EAGAIN", AcceptFailure.EMPTY),
        ("ECONNABORTED", AcceptFailure.NEXT),
        ("EPROTO", AcceptFailure.NEXT),
        ("EINTR", AcceptFailure.NEXT),
        ("EPERM", AcceptFailure.NEXT),
        ("EHOSTUNREACH", AcceptFailure.NEXT),
        ("EMFILE", AcceptFailure.PAUSE),
        ("ENFILE", AcceptFailure.PAUSE),
        ("ENOBUFS", AcceptFailure.PAUSE),
        ("ENOMEM", AcceptFailure.PAUSE),
        ("EIO", AcceptFailure.PAUSE),
    ],
)
def test_what_an_error_of_accept_means(name: str, failure: AcceptFailure) -> None:
    assert accept_failure(OSError(getattr(errno, name), name)) is failure


def test_what_is_read_before_the_late_beat_itself_counts_too() -> None:
    """A stopped process may come to its sockets before its timers."""
    backlog = Backlog(100.0)
    backlog.tick(1000.0)
    assert backlog.max_queued_ms(1500.0) == 500.0
    assert backlog.max_queued_ms(1000.0 + 100.0 + LATE_TICK_MS) == 0.0
