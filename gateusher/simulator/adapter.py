"""Hosts isolated balancers behind the simulator's wire; translates and decides nothing."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from ..policy import Balancer
from ..policy.interface import Endpoint, EndpointListUpdate, Event, UpdateKind
from . import wire
from .settings import parse_settings


class Host:
    """The instances of one process, each on its own."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def answer(self, frame: bytes) -> bytes:
        """One reply for one batch."""
        number, _, count, now = wire.BATCH.unpack_from(frame)
        tail = wire.BATCH.size + count * wire.EVENT_SIZE
        reply, instance = wire.Reply(), -1
        for at in range(wire.BATCH.size, tail, wire.EVENT_SIZE):
            code = frame[at]
            decode = wire.EVENTS.get(code)
            if decode:
                self._deliver(now, instance, decode(frame, at), reply)
            elif code == wire.ABOUT:
                instance = wire.read_instance(frame, at)
            elif code == wire.REGISTER:
                ref, entries = wire.read_register(frame, at, tail)
                self._lists[ref] = entries
            elif code == wire.LIST:
                kind, version, ref = wire.read_list(frame, at)
                entries = () if kind == UpdateKind.FAILED else self._lists[ref]
                self._deliver(now, instance, EndpointListUpdate(UpdateKind(kind), version, entries), reply)
            elif code == wire.HEARD:
                self._deliver(now, instance, wire.read_heard(frame, at, tail), reply)
            elif code == wire.DOWN:
                self._balancers.pop(instance, None)
            elif code == wire.NEW:
                self._start(instance, *wire.read_new(frame, at, tail), reply)
            else:
                raise wire.FrameError(f"unknown event code {code}")
        return reply.frame(number)

    def _start(self, instance: int, seed: int, conf: bytes, reply: wire.Reply) -> None:
        try:
            self._balancers[instance] = Balancer(parse_settings(conf), seed)
        except Exception:
            reply.fault(instance, traceback.format_exc())

    def _deliver(self, now: float, instance: int, event: Event, reply: wire.Reply) -> None:
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise wire.FrameError(f"an event for instance {instance}, which was not started")
        try:
            actions = balancer.handle(now, event)
        except Exception:
            reply.fault(instance, traceback.format_exc())
            return
        if actions:
            reply.add(instance, actions)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers frames until the input ends; the exit status."""
    host = Host()
    try:
        while (frame := wire.read_frame(source)) is not None:
            sink.write(host.answer(frame))
            sink.flush()
    except (wire.FrameError, KeyError, ValueError) as error:
        print(f"gateusher: malformed input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    gc.freeze()
    gc.set_threshold(50000, 20, 100)
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
