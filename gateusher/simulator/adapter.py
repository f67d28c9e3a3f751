"""Runs isolated balancers over the simulator's protocol on stdin and stdout; makes no decisions.

Owns the balancers of the process and the registered endpoint lists.
"""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from ..policy import Balancer
from ..policy.interface import Endpoint, EndpointListUpdate, Event, UpdateKind
from . import wire
from .settings import parse_settings


class BalancerHost:
    """Keeps the independent balancers of one process and the endpoint lists that updates refer to."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}  # by instance number
        self._lists: dict[int, tuple[Endpoint, ...]] = {}  # by the number under which a list was registered

    def answer(self, frame: bytes) -> bytes:
        """Return the reply to one batch.  Raises FrameError, KeyError or ValueError if the batch is malformed."""
        batch_number, _, count, now_ms = wire.BATCH.unpack_from(frame)
        tail_start = wire.BATCH.size + count * wire.EVENT_SIZE
        reply = wire.Reply()
        instance = -1
        for start in range(wire.BATCH.size, tail_start, wire.EVENT_SIZE):
            code = frame[start]
            decode = wire.EVENTS.get(code)
            if decode:
                self._deliver(now_ms, instance, decode(frame, start), reply)
            elif code == wire.SELECT_INSTANCE:
                instance = wire.read_select_instance(frame, start)
            elif code == wire.REGISTER_LIST:
                number, entries = wire.read_register_list(frame, start, tail_start)
                self._lists[number] = entries
            elif code == wire.LIST_UPDATE:
                kind, version, number = wire.read_list_update(frame, start)
                entries = () if kind == UpdateKind.FAILED else self._lists[number]
                update = EndpointListUpdate(UpdateKind(kind), version, entries)
                self._deliver(now_ms, instance, update, reply)
            elif code == wire.PEER_MESSAGE:
                self._deliver(now_ms, instance, wire.read_peer_message(frame, start, tail_start), reply)
            elif code == wire.STOP_INSTANCE:
                self._balancers.pop(instance, None)
            elif code == wire.START_INSTANCE:
                seed, settings = wire.read_start_instance(frame, start, tail_start)
                self._start(instance, seed, settings, reply)
            else:
                raise wire.FrameError(f"unknown event code {code}")
        return reply.frame(batch_number)

    def _start(self, instance: int, seed: int, settings: bytes, reply: wire.Reply) -> None:
        try:
            self._balancers[instance] = Balancer(parse_settings(settings), seed)
        except Exception:
            reply.add_crash(instance, traceback.format_exc())

    def _deliver(self, now_ms: float, instance: int, event: Event, reply: wire.Reply) -> None:
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise wire.FrameError(f"event for instance {instance}, which was not started")
        try:
            actions = balancer.handle(now_ms, event)
        except Exception:
            reply.add_crash(instance, traceback.format_exc())
            return
        if actions:
            reply.add_actions(instance, actions)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Reply to frames until the input ends; return the exit status, which is 1 for malformed input."""
    host = BalancerHost()
    try:
        frame = wire.read_frame(source)
        while frame is not None:
            sink.write(host.answer(frame))
            sink.flush()
            frame = wire.read_frame(source)
    except (wire.FrameError, KeyError, ValueError) as error:
        print(f"gateusher: malformed input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    gc.freeze()
    gc.set_threshold(50000, 20, 100)
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
