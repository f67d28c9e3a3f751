"""Following the list over virtual sockets and time: when calls begin, which one is kept, invalid responses."""

import asyncio
import json
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from gateusher.config.model import Names
from gateusher.discovery import call as call_module
from gateusher.discovery import catalog, lists
from gateusher.discovery.catalog import Discovery
from gateusher.policy.interface import EndpointListUpdate, EndpointState, UpdateKind
from gateusher.virtual.loop import Dial, Select, Transport, VirtualLoop

NAMES = Names(*({} for _ in Names._fields))  # type: ignore[call-arg]
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SERVICE_UNAVAILABLE = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
ADDRESS, OTHER_ADDRESS = ("127.0.0.1", 9), ("127.0.0.1", 10)
SWEEP_S = 0.1


def entry(name: str, health: str = "Ready", dial: str = "127.0.0.1:1") -> dict[str, Any]:
    return {
        "host": name,
        "dial": dial,
        "site": "a",
        "class": "m",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def encode_list(seq: int, *hosts: dict[str, Any], complete: bool = False) -> bytes:
    return json.dumps({"seq": seq, "whole": complete, "hosts": list(hosts)}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Call:
    """A call as the service sees it."""

    def __init__(self, dial: Dial, began_s: float) -> None:
        self.dial, self.began_s = dial, began_s

    @property
    def transport(self) -> Transport:
        assert self.dial.transport
        return self.dial.transport

    @property
    def requested_targets(self) -> list[str]:
        return [line.split()[1] for line in bytes(self.transport.sent).decode().split("\r\n") if line[:4] == "GET "]

    @property
    def is_open(self) -> bool:
        return not self.dial.established.done() or not self.transport.closing


class Harness:
    """A `Discovery` in virtual time, and the calls that it has made."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.updates, self.calls = loop, list[EndpointListUpdate](), list[Call]()
        self.seen_dials: set[int] = set()
        self.discovery = Discovery(
            ADDRESS, NAMES, self.updates.append, lambda entries, complete: None, lambda entry: True
        )

    def settle(self) -> None:
        self.loop.settle()
        for dial in self.loop.dials:
            if id(dial) not in self.seen_dials:
                self.seen_dials.add(id(dial))
                self.calls.append(Call(dial, self.loop.now))

    def establish(self, call: Call) -> Call:
        call.dial.established.set_result(None)
        self.settle()
        return call

    def feed(self, call: Call, data: bytes) -> None:
        call.transport.feed(data)
        self.settle()

    def advance_until(self, condition: Callable[[], bool], within_s: float) -> float:
        """Let time pass until the condition holds, for `within_s` at most, and return the elapsed seconds."""
        start_s = self.loop.now
        while not condition():
            assert self.loop.now - start_s <= within_s, "the condition did not hold in time"
            self.loop.now += SWEEP_S
            self.discovery.sweep()
            self.settle()
        return self.loop.now - start_s

    def await_call(self, number: int, within_s: float) -> Call:
        self.advance_until(lambda: len(self.calls) >= number, within_s)
        assert len(self.calls) == number
        return self.calls[-1]

    def kinds(self) -> list[UpdateKind]:
        return [UpdateKind(update.kind) for update in self.updates]


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[Harness]:
    monkeypatch.setattr(call_module, "select", Select)
    loop = VirtualLoop()
    asyncio._set_running_loop(loop)
    try:
        harness = Harness(loop)
        harness.discovery.start({"seq": 1, "hosts": [entry("e0"), entry("e1")]})
        yield harness
        harness.discovery.stop()
        loop.settle()
        assert loop.errors == []
    finally:
        asyncio._set_running_loop(None)


def active_watch(harness: Harness) -> Call:
    """Return a watch that has sent a heartbeat."""
    harness.discovery.watch()
    harness.settle()
    call = harness.establish(harness.calls[0])
    harness.feed(call, HEAD + chunk(b"\n"))
    return call


def test_a_silent_call_after_a_silent_watch_leaves_time_for_a_third(harness: Harness) -> None:
    """A third call that began too late received a drain after 9.6 s, while it counts as notified after 6 s."""
    active_watch(harness)
    start_s = harness.loop.now
    second = harness.establish(harness.await_call(2, 2.8))
    third = harness.establish(harness.await_call(3, 1.8))
    harness.advance_until(lambda: harness.loop.now - start_s >= 5.7, 6.0)
    assert second.is_open and third.is_open
    harness.feed(third, HEAD + chunk(encode_list(2, entry("e0", "Terminating"))))
    assert harness.updates[-1].entries[0].state is EndpointState.DRAINING
    assert not second.is_open and not harness.calls[0].is_open


@pytest.mark.parametrize("rest", [b"", b"not a chunk\r\n"], ids=["end of stream", "invalid chunk"])
def test_the_end_of_a_silent_watch_does_not_delay_the_third_call(harness: Harness, rest: bytes) -> None:
    """A third call that began 3.2 s after the second was 5.8 s after the last heartbeat: no time for the queue."""
    first = active_watch(harness)
    start_s = harness.loop.now
    second = harness.establish(harness.await_call(2, 2.8))
    if rest:
        harness.feed(first, rest)
    else:
        first.transport.end(reset=False)
        harness.settle()
    assert not first.is_open and second.is_open
    harness.establish(harness.await_call(3, 1.8))
    assert harness.loop.now - start_s <= 4.5
    assert second.is_open


@pytest.mark.parametrize("active", ["first", "second"])
def test_after_a_changed_address_a_silent_call_stays_open_beside_its_hedge(harness: Harness, active: str) -> None:
    """A call that was given up after 1.5 s and made again went to the end of the service's queue."""
    active_watch(harness)
    harness.discovery.change_address(OTHER_ADDRESS)
    harness.settle()
    first = harness.establish(harness.await_call(2, 0.0))
    second = harness.establish(harness.await_call(3, 2.0))
    harness.advance_until(lambda: harness.loop.now - first.began_s >= 3.7, 4.0)
    assert (
        first.is_open
        and second.is_open
        and first.requested_targets == second.requested_targets == ["/catalog/members"]
    )
    kept, other = (first, second) if active == "first" else (second, first)
    body = encode_list(7, entry("e1"), complete=True)
    harness.feed(kept, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    assert harness.kinds()[-1] is UpdateKind.COMPLETE and harness.discovery.list_version == 7
    assert not other.is_open and kept.requested_targets == ["/catalog/members", "/catalog/members?watch=1&from=7"]
    harness.feed(kept, HEAD + chunk(b"\n"))
    assert len(harness.calls) == 3


def test_a_dial_that_hangs_is_hedged(harness: Harness) -> None:
    harness.discovery.watch()
    harness.settle()
    harness.await_call(1, 0.0)
    second = harness.establish(harness.await_call(2, 3.4))
    harness.feed(second, HEAD + chunk(encode_list(2)))
    assert harness.discovery.list_version == 2
    assert harness.loop.dials == []


@pytest.mark.parametrize("end", ["refused", "503", "reset", "end of stream", "end without a list"])
def test_after_any_end_of_a_call_the_next_begins_in_time_without_a_request(harness: Harness, end: str) -> None:
    """The balancer's own delays grow to half of the settings' poll interval, which may be longer than the bound."""
    harness.discovery.watch()
    harness.settle()
    if end == "refused":
        harness.calls[0].dial.established.set_exception(ConnectionRefusedError())
    else:
        call = harness.establish(harness.calls[0])
        if end == "503":
            harness.feed(call, SERVICE_UNAVAILABLE)
        elif end == "end without a list":
            harness.feed(call, HEAD + b"0\r\n\r\n")
        else:
            call.transport.end(end == "reset")
    harness.settle()
    assert harness.kinds()[-1] is UpdateKind.FAILED
    harness.await_call(2, 2.5)


def test_a_start_without_a_request_calls_in_time(harness: Harness) -> None:
    harness.settle()
    harness.await_call(1, 3.1)


def test_a_service_that_refuses_after_three_seconds_receives_one_call_at_a_time(harness: Harness) -> None:
    harness.discovery.watch()
    harness.settle()
    for number in range(1, 6):
        call = harness.establish(harness.await_call(number, 2.5))
        harness.advance_until(lambda call=call: harness.loop.now - call.began_s >= 3.0, 3.2)  # type: ignore[misc]
        assert len(harness.calls) == number
        harness.feed(call, SERVICE_UNAVAILABLE)


@pytest.fixture
def log_lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Collect the logged lines, without the rate limit of the log."""
    lines: list[str] = []
    for module in (call_module, catalog, lists):
        monkeypatch.setattr(module, "log_event", lambda event, reason: lines.append(f"{event}: {reason}"))
    return lines


@pytest.mark.parametrize(
    "invalid",
    [
        encode_list(0, entry("e0"), complete=True),
        encode_list(0),
        encode_list(2)[:-9] + b"\n" + encode_list(3),
        b"{]\n",
        b"[]\n",
        b'{"seq": 2, "whole": 1, "hosts": []}\n',
        b'{"seq": -2, "whole": true, "hosts": []}\n',
        b"\xff\xfe\n",
        b"[" * 50_000 + b"]" * 50_000 + b"\n",
    ],
    ids=[
        "older and complete",
        "older",
        "two fragments",
        "not JSON",
        "not an object",
        "whole is not a bool",
        "negative version",
        "not UTF-8",
        "deeply nested",
    ],
)
def test_an_invalid_first_list_is_logged_once_and_the_complete_list_is_polled(
    harness: Harness, invalid: bytes, log_lines: list[str]
) -> None:
    harness.discovery.watch()
    harness.settle()
    call = harness.establish(harness.calls[0])
    harness.feed(call, HEAD + chunk(invalid))
    assert len(log_lines) == 1 and "\n" not in log_lines[0]
    assert not call.is_open and harness.discovery.list_version == 1
    poll = harness.establish(harness.await_call(2, 2.5))
    assert poll.requested_targets == ["/catalog/members"]
    body = encode_list(0, entry("e1"), complete=True)
    harness.feed(poll, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    # The service's versions start from 0 again, which the poll confirms.
    assert harness.kinds()[-1] is UpdateKind.COMPLETE and harness.discovery.list_version == 0


def test_an_incremental_update_requested_before_the_complete_list_became_necessary_is_ignored(
    harness: Harness,
) -> None:
    """Two calls are open; one sends a line that can't be parsed, the other only the changes since a version."""
    active_watch(harness)
    second = harness.establish(harness.await_call(2, 2.8))
    harness.feed(harness.calls[0], chunk(b"{]\n"))
    assert second.is_open
    harness.feed(second, HEAD + chunk(encode_list(2, entry("e0", "Terminating"))))
    assert harness.discovery.list_version == 1 and not second.is_open
    assert harness.establish(harness.await_call(3, 2.5)).requested_targets == ["/catalog/members"]


@pytest.mark.parametrize("dial", ["nowhere", "127.0.0.1:0", "127.0.0.1:70000", "", None, 7, ["127.0.0.1:1"]])
def test_an_invalid_address_skips_its_entry_and_is_logged_once(
    harness: Harness, dial: Any, log_lines: list[str]
) -> None:
    call = active_watch(harness)
    harness.feed(
        call, chunk(encode_list(2, entry("e1", "Terminating", dial), entry("e9", "Ready", dial), entry("e8")))
    )
    assert [listed.state for listed in harness.updates[-1].entries] == [
        EndpointState.DRAINING,
        EndpointState.READY,
    ]  # the drain is applied despite its invalid address
    assert len(log_lines) == 1 and call.is_open


@pytest.mark.parametrize("key", ["block", "share", "born_ms"])
def test_a_number_too_large_for_a_float_skips_its_entry_and_hides_no_drain(
    harness: Harness, key: str, log_lines: list[str]
) -> None:
    call = active_watch(harness)
    too_large = {key: 10**400}
    harness.feed(
        call, chunk(encode_list(2, {**entry("e1", "Terminating"), **too_large}, {**entry("e9"), **too_large}))
    )
    assert [listed.state for listed in harness.updates[-1].entries] == [EndpointState.DRAINING]
    assert len(log_lines) == 1 and call.is_open and harness.discovery.list_version == 2


def test_endless_bytes_do_not_delay_the_detection_of_silence(harness: Harness) -> None:
    """Unread data postpones one sweep; data that is unread in every sweep and completes no list is silence."""
    call = active_watch(harness)
    call.transport.unread = b"x"
    harness.await_call(2, 3.0)
    assert call.is_open


def test_requests_are_byte_identical_to_commit_ccd77f2(harness: Harness) -> None:
    """The literals were sent by ccd77f2 in the same sequence of calls."""
    harness.discovery.watch()
    harness.settle()
    watch = harness.establish(harness.await_call(1, 0.0))
    assert bytes(watch.transport.sent) == b"GET /catalog/members?watch=1&from=1 HTTP/1.1\r\nHost: 127.0.0.1:9\r\n\r\n"
    harness.feed(watch, HEAD + chunk(encode_list(5, entry("e1"), complete=True)))
    harness.discovery.change_address(OTHER_ADDRESS)
    harness.settle()
    complete = harness.establish(harness.await_call(2, 0.0))
    request = b"GET /catalog/members HTTP/1.1\r\nHost: 127.0.0.1:10\r\n\r\n"
    assert bytes(complete.transport.sent) == request
    body = encode_list(7, entry("e1"), complete=True)
    harness.feed(complete, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    request += b"GET /catalog/members?watch=1&from=7 HTTP/1.1\r\nHost: 127.0.0.1:10\r\n\r\n"
    assert bytes(complete.transport.sent) == request
