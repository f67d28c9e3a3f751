"""How long a request was queued unread: late ticks, the kernel's measurement, and the bound used without one."""

import errno
import socket
from math import inf

import pytest

from gateusher.core.backlog import BACKLOG_MS, LATE_TICK_MS, MIN_UNREAD_MS, Backlog, queued_ms
from gateusher.listeners.sockets import AcceptFailure, accept_failure, ms_since_last_data


def test_timely_ticks_mean_no_backlog() -> None:
    backlog = Backlog(100.0)
    for tick in range(20):
        backlog.tick(tick * (100.0 + LATE_TICK_MS))
        assert backlog.max_queued_ms(tick * (100.0 + LATE_TICK_MS)) == 0.0


def test_input_read_after_a_stall_may_have_arrived_since_the_tick_before_it() -> None:
    backlog = Backlog(100.0)
    backlog.tick(1000.0)
    backlog.tick(1500.0)
    assert backlog.max_queued_ms(1500.0) == 500.0
    assert backlog.max_queued_ms(1510.0) == 510.0
    assert backlog.max_queued_ms(1500.0 + BACKLOG_MS + 1.0) == 0.0


def test_a_stall_that_follows_another_does_not_shorten_how_long_input_may_have_waited() -> None:
    """Guards against taking input for younger, as it was not read between the two stalls."""
    backlog = Backlog(100.0)
    backlog.tick(1000.0)
    backlog.tick(2500.0)
    assert backlog.longest_queued_ms(2700.0) == 1700.0, "the next tick is late"
    backlog.tick(2800.0)
    assert backlog.longest_queued_ms(2810.0) == 1810.0
    assert backlog.longest_queued_ms(2800.0 + BACKLOG_MS + 1.0) == 0.0
    for tick_ms in (2900.0, 3000.0, 4000.0):
        backlog.tick(tick_ms)
    assert backlog.longest_queued_ms(4000.0) == 1000.0, "all was read before this stall"


@pytest.mark.parametrize(
    ("max_queued_ms", "kernel_ms", "slack_ms", "result_ms"),
    [
        (0.0, 400.0, 0.0, 0.0),  # nothing can have been queued, whatever the kernel measured
        (500.0, 400.0, 0.0, 400.0),  # the kernel's measurement is more exact than the bound
        (
            300.0,
            400.0,
            0.0,
            300.0,
        ),  # data that arrived later on the connection can't raise the result above the bound
        (500.0, None, 100.0, 400.0),  # without a measurement: the bound less the slack
        (500.0, None, inf, 0.0),
        (500.0, MIN_UNREAD_MS - 1.0, 0.0, 0.0),
    ],
)
def test_queued_time(max_queued_ms: float, kernel_ms: float | None, slack_ms: float, result_ms: float) -> None:
    assert queued_ms(max_queued_ms, kernel_ms, slack_ms) == result_ms


def test_the_kernel_measures_only_open_tcp_connections() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as client:
        accepted, _ = server.accept()
        client.sendall(b"x")
        assert accepted.recv(1) == b"x"
        kernel_ms = ms_since_last_data(accepted)
        assert kernel_ms is not None and kernel_ms >= 0.0
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
def test_classification_of_accept_errors(name: str, failure: AcceptFailure) -> None:
    assert accept_failure(OSError(getattr(errno, name), name)) is failure


def test_input_read_before_the_late_tick_counts_too() -> None:
    """A process that resumes may read its sockets before its timers run."""
    backlog = Backlog(100.0)
    backlog.tick(1000.0)
    assert backlog.max_queued_ms(1500.0) == 500.0
    assert backlog.max_queued_ms(1000.0 + 100.0 + LATE_TICK_MS) == 0.0
