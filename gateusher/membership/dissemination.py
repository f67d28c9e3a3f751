"""Sends queued updates in gossip rounds, and messages of other modules to all members or to one.

`Dissemination` owns the sequence number of our own broadcasts and the ids of recently received ones.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from . import wire
from .context import Context
from .interface import Broadcast, BroadcastReceived, SendDirect, member_id
from .member import Member
from .member_table import MemberTable
from .sender import Sender, Traffic
from .wire import Frame

MAX_SEEN_BROADCASTS = 4096  # an older one that arrives again is delivered again
DIRECT_NOT_SENT = "notes not sent"  # key of a counter in `gateusher members`


class BroadcastId(NamedTuple):
    """The unique id of a broadcast."""

    origin: bytes
    instance: int
    sequence: int


class Dissemination:
    """Gossip rounds, broadcasts and direct messages."""

    def __init__(self, context: Context, table: MemberTable, sender: Sender) -> None:
        self._context = context
        self._table = table
        self._sender = sender
        self._broadcasts_sent = 0
        self._seen: OrderedDict[BroadcastId, None] = OrderedDict()

    def gossip(self) -> None:
        """Send queued updates to a few random members."""
        queue = self._context.gossip_queue
        if not len(queue):
            return
        for member in self._context.pick(self._table.reachable, self._context.settings.gossip_fanout):
            if not self._sender.may_gossip():
                return
            frames = queue.take(self._sender.max_frames_bytes, self._table.fleet_size, member.id)
            if frames:
                self._sender.send(member, frames, Traffic.GOSSIP)

    def broadcast(self, message: Broadcast) -> None:
        """Queue a message to all members.  Raises ValueError if it is too long."""
        if self._context.stopped:
            return
        own = self._context.own
        self._broadcasts_sent += 1
        broadcast_id = BroadcastId(own.id, own.instance, self._broadcasts_sent)
        frame = wire.broadcast(*broadcast_id, message.kind, message.data)
        self._is_new(broadcast_id)
        self._context.gossip_queue.put(broadcast_id, frame)

    def on_broadcast(self, relay: Member, frame: Frame) -> None:
        """Deliver and relay a broadcast if it is new and comes from the known instance of its origin."""
        origin = self._table.get(frame.subject)
        if origin is None or origin.instance != frame.instance:
            self._context.drop("word of nobody")
            return
        broadcast_id = BroadcastId(frame.subject, frame.instance, frame.sequence)
        if self._is_new(broadcast_id):
            copy = wire.broadcast(*broadcast_id, frame.message_kind, frame.data)
            self._context.gossip_queue.put(broadcast_id, copy)
            received = BroadcastReceived(origin.name, relay.name, frame.message_kind, frame.data)
            self._context.actions.append(received)

    def send_direct(self, message: SendDirect) -> None:
        """Send a message to one verified member.  Raises ValueError if it is too long."""
        frame = wire.direct(message.kind, message.data)
        member = self._table.get(member_id(message.name))
        if member is None or member.replay_window is None or self._context.stopped:
            self._sender.sent[DIRECT_NOT_SENT] += 1
            return
        self._sender.send(member, frame, Traffic.DIRECT, piggyback=False)

    def announce_leave(self) -> None:
        """Announce to some members that this process leaves; they gossip it to the others."""
        own = self._context.own
        frame = wire.left(own.id, own.incarnation)
        for member in self._context.pick(self._table.reachable, 2 * self._context.settings.gossip_fanout):
            self._sender.send(member, frame, piggyback=False)

    def _is_new(self, broadcast_id: BroadcastId) -> bool:
        """Record a broadcast; return whether it was not seen before."""
        if broadcast_id in self._seen:
            return False
        self._seen[broadcast_id] = None
        if len(self._seen) > MAX_SEEN_BROADCASTS:
            self._seen.popitem(last=False)
        return True
