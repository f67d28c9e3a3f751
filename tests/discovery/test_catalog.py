"""The list followed over sockets in virtual time: when calls begin, which of several is kept, and bad answers."""

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
BUSY = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
HERE, THERE = ("127.0.0.1", 9), ("127.0.0.1", 10)
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


def told(seq: int, *hosts: dict[str, Any], whole: bool = False) -> bytes:
    return json.dumps({"seq": seq, "whole": whole, "hosts": list(hosts)}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Call:
    """One call as the service sees it."""

    def __init__(self, dial: Dial, at: float) -> None:
        self.dial, self.at = dial, at

    @property
    def transport(self) -> Transport:
        assert self.dial.transport
        return self.dial.transport

    @property
    def asked(self) -> list[str]:
        return [line.split()[1] for line in bytes(self.transport.sent).decode().split("\r\n") if line[:4] == "GET "]

    @property
    def open(self) -> bool:
        return not self.dial.established.done() or not self.transport.closing


class Side:
    """A sidecar's end, and the calls that it has made."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.news, self.calls = loop, list[EndpointListUpdate](), list[Call]()
        self.seen: set[int] = set()
        self.discovery = Discovery(HERE, NAMES, self.news.append, lambda lines, whole: None, lambda line: True)

    def settle(self) -> None:
        self.loop.settle()
        for dial in self.loop.dials:
            if id(dial) not in self.seen:
                self.seen.add(id(dial))
                self.calls.append(Call(dial, self.loop.now))

    def up(self, call: Call) -> Call:
        call.dial.established.set_result(None)
        self.settle()
        return call

    def feed(self, call: Call, data: bytes) -> None:
        call.transport.feed(data)
        self.settle()

    def until(self, true: Callable[[], bool], within_s: float) -> float:
        """Let time pass until this holds; how long it took.  It must hold within so many seconds."""
        start = self.loop.now
        while not true():
            assert self.loop.now - start <= within_s, "it did not come in time"
            self.loop.now += SWEEP_S
            self.discovery.sweep()
            self.settle()
        return self.loop.now - start

    def call(self, number: int, within_s: float) -> Call:
        self.until(lambda: len(self.calls) >= number, within_s)
        assert len(self.calls) == number
        return self.calls[-1]

    def kinds(self) -> list[UpdateKind]:
        return [UpdateKind(news.kind) for news in self.news]


@pytest.fixture
def side(monkeypatch: pytest.MonkeyPatch) -> Iterator[Side]:
    monkeypatch.setattr(call_module, "select", Select)
    loop = VirtualLoop()
    asyncio._set_running_loop(loop)
    try:
        side = Side(loop)
        side.discovery.start({"seq": 1, "hosts": [entry("e0"), entry("e1")]})
        yield side
        side.discovery.stop()
        loop.settle()
        assert loop.errors == []
    finally:
        asyncio._set_running_loop(None)


def watched(side: Side) -> Call:
    """A watch that has spoken."""
    side.discovery.watch()
    side.settle()
    call = side.up(side.calls[0])
    side.feed(call, HEAD + chunk(b"\n"))
    return call


def test_a_silent_call_behind_a_silent_watch_leaves_time_for_the_third(side: Side) -> None:
    """It was found after 9.6 s, and counts as told after 6."""
    watched(side)
    start = side.loop.now
    second = side.up(side.call(2, 2.8))
    third = side.up(side.call(3, 1.8))
    side.until(lambda: side.loop.now - start >= 5.7, 6.0)
    assert second.open and third.open
    side.feed(third, HEAD + chunk(told(2, entry("e0", "Terminating"))))
    assert side.news[-1].entries[0].state is EndpointState.DRAINING
    assert not second.open and not side.calls[0].open


@pytest.mark.parametrize("rest", [b"", b"not a chunk\r\n"], ids=["its end", "nonsense"])
def test_a_silent_watch_that_ends_behind_its_silence_takes_no_time_from_the_third(side: Side, rest: bytes) -> None:
    """The next came 3.2 s after the second: 5.8 s after the last word, with nothing left for the queue."""
    first = watched(side)
    start = side.loop.now
    second = side.up(side.call(2, 2.8))
    if rest:
        side.feed(first, rest)
    else:
        first.transport.end(reset=False)
        side.settle()
    assert not first.open and second.open
    side.up(side.call(3, 1.8))
    assert side.loop.now - start <= 4.5
    assert second.open


@pytest.mark.parametrize("which", ["the first", "the second"])
def test_after_a_move_the_first_keeps_its_turn_beside_a_second(side: Side, which: str) -> None:
    """Each call was given up after 1.5 s, and began anew at the end of the service's line."""
    watched(side)
    side.discovery.change_address(THERE)
    side.settle()
    first = side.up(side.call(2, 0.0))
    second = side.up(side.call(3, 2.0))
    side.until(lambda: side.loop.now - first.at >= 3.7, 4.0)
    assert first.open and second.open and first.asked == second.asked == ["/catalog/members"]
    kept, left = (first, second) if which == "the first" else (second, first)
    body = told(7, entry("e1"), whole=True)
    side.feed(kept, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    assert side.kinds()[-1] is UpdateKind.COMPLETE and side.discovery.list_version == 7
    assert not left.open and kept.asked == ["/catalog/members", "/catalog/members?watch=1&from=7"]
    side.feed(kept, HEAD + chunk(b"\n"))
    assert len(side.calls) == 3


def test_a_dial_that_never_comes_up_has_another_beside_it(side: Side) -> None:
    side.discovery.watch()
    side.settle()
    side.call(1, 0.0)
    second = side.up(side.call(2, 3.4))
    side.feed(second, HEAD + chunk(told(2)))
    assert side.discovery.list_version == 2
    assert side.loop.dials == []


@pytest.mark.parametrize("end", ["refused", "503", "reset", "end", "end without a list"])
def test_whatever_ends_a_call_the_next_begins_in_time_though_nobody_asks(side: Side, end: str) -> None:
    """The module's own waits grow to half of what the settings give for asking, which may be longer than that."""
    side.discovery.watch()
    side.settle()
    if end == "refused":
        side.calls[0].dial.established.set_exception(ConnectionRefusedError())
    else:
        call = side.up(side.calls[0])
        if end == "503":
            side.feed(call, BUSY)
        elif end == "end without a list":
            side.feed(call, HEAD + b"0\r\n\r\n")
        else:
            call.transport.end(end == "reset")
    side.settle()
    assert side.kinds()[-1] is UpdateKind.FAILED
    side.call(2, 2.5)


def test_a_start_for_which_nobody_asks_calls_in_time(side: Side) -> None:
    side.settle()
    side.call(1, 3.1)


def test_a_service_that_refuses_after_three_seconds_gets_one_call_at_a_time(side: Side) -> None:
    side.discovery.watch()
    side.settle()
    for number in range(1, 6):
        call = side.up(side.call(number, 2.5))
        side.until(lambda call=call: side.loop.now - call.at >= 3.0, 3.2)  # type: ignore[misc]
        assert len(side.calls) == number
        side.feed(call, BUSY)


@pytest.fixture
def said(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The lines of log; the log itself leaves some out where there are many."""
    found: list[str] = []
    for module in (call_module, catalog, lists):
        monkeypatch.setattr(module, "log_event", lambda what, why: found.append(f"{what}: {why}"))
    return found


@pytest.mark.parametrize(
    "bad",
    [
        told(0, entry("e0"), whole=True),
        told(0),
        told(2)[:-9] + b"\n" + told(3),
        b"{]\n",
        b"[]\n",
        b'{"seq": 2, "whole": 1, "hosts": []}\n',
        b'{"seq": -2, "whole": true, "hosts": []}\n',
        b"\xff\xfe\n",
        b"[" * 50_000 + b"]" * 50_000 + b"\n",
    ],
    ids=[
        "older and whole",
        "older",
        "cut in two",
        "no JSON",
        "no object",
        "no bool",
        "no version",
        "no text",
        "deep",
    ],
)
def test_a_first_answer_that_cannot_be_used_costs_one_line_of_log_and_the_whole_list_is_asked_for(
    side: Side, bad: bytes, said: list[str]
) -> None:
    side.discovery.watch()
    side.settle()
    call = side.up(side.calls[0])
    side.feed(call, HEAD + chunk(bad))
    assert len(said) == 1 and "\n" not in said[0]
    assert not call.open and side.discovery.list_version == 1
    again = side.up(side.call(2, 2.5))
    assert again.asked == ["/catalog/members"]
    body = told(0, entry("e1"), whole=True)
    side.feed(again, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    assert (
        side.kinds()[-1] is UpdateKind.COMPLETE and side.discovery.list_version == 0
    )  # it says so twice: it counts anew


def test_what_was_asked_for_before_track_was_lost_is_not_taken(side: Side) -> None:
    """Two calls are out; one brings a line that can't be read, and the other only what has changed since."""
    watched(side)
    second = side.up(side.call(2, 2.8))
    side.feed(side.calls[0], chunk(b"{]\n"))
    assert second.open
    side.feed(second, HEAD + chunk(told(2, entry("e0", "Terminating"))))
    assert side.discovery.list_version == 1 and not second.open
    assert side.up(side.call(3, 2.5)).asked == ["/catalog/members"]


@pytest.mark.parametrize("dial", ["nowhere", "127.0.0.1:0", "127.0.0.1:70000", "", None, 7, ["127.0.0.1:1"]])
def test_an_address_that_is_none_costs_its_entry_and_one_line_of_log(side: Side, dial: Any, said: list[str]) -> None:
    call = watched(side)
    side.feed(call, chunk(told(2, entry("e1", "Terminating", dial), entry("e9", "Ready", dial), entry("e8"))))
    assert [e.state for e in side.news[-1].entries] == [
        EndpointState.DRAINING,
        EndpointState.READY,
    ]  # a drain counts all the same
    assert len(said) == 1 and call.open


def test_bytes_that_never_stop_put_no_silence_off(side: Side) -> None:
    """What is unread is no silence; what is unread each time, and never a word, is."""
    call = watched(side)
    call.transport.unread = b"x"
    side.call(2, 3.0)
    assert call.open


def test_requests_are_the_bytes_that_commit_ccd77f2_sent(side: Side) -> None:
    """Literals written by ccd77f2 in this same sequence of calls."""
    side.discovery.watch()
    side.settle()
    watch = side.up(side.call(1, 0.0))
    assert bytes(watch.transport.sent) == b"GET /catalog/members?watch=1&from=1 HTTP/1.1\r\nHost: 127.0.0.1:9\r\n\r\n"
    side.feed(watch, HEAD + chunk(told(5, entry("e1"), whole=True)))
    side.discovery.change_address(THERE)
    side.settle()
    complete = side.up(side.call(2, 0.0))
    request = b"GET /catalog/members HTTP/1.1\r\nHost: 127.0.0.1:10\r\n\r\n"
    assert bytes(complete.transport.sent) == request
    body = told(7, entry("e1"), whole=True)
    side.feed(complete, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    request += b"GET /catalog/members?watch=1&from=7 HTTP/1.1\r\nHost: 127.0.0.1:10\r\n\r\n"
    assert bytes(complete.transport.sent) == request
