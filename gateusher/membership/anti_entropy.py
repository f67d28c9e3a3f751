"""Anti-entropy: compares member tables with one member at a time, which recovers updates that gossip has lost.

`AntiEntropy` owns the index of the bucket at which the next reply starts.
"""

from __future__ import annotations

from . import wire
from .context import Context
from .member import Member
from .member_frames import record_frame
from .member_table import MemberTable
from .sender import Sender, Traffic
from .wire import Frame

MAX_SYNC_DATAGRAMS = 4  # in reply to one digest


class AntiEntropy:
    """Sends digests of the member table, and answers received ones with the records that differ."""

    def __init__(self, context: Context, table: MemberTable, sender: Sender) -> None:
        self._context = context
        self._table = table
        self._sender = sender
        self._first_bucket = 0

    def sync(self) -> None:
        """Send our digest to a random member."""
        member = self._context.pick_one(self._table.reachable)
        if member:
            self._send_digest(member, wants_reply=True)

    def on_digest(self, relay: Member, frame: Frame) -> None:
        """Send the records of all buckets that differ, as far as the limits allow."""
        own_hashes = self._table.digest.hashes
        differing = [bucket for bucket, value in enumerate(frame.hashes) if value != own_hashes[bucket]]
        if not differing:
            return
        if frame.wants_reply:
            self._send_digest(relay, wants_reply=False)
        self._first_bucket += 1  # the limits may cut off the last buckets, so each reply starts at another
        start = self._first_bucket % len(differing)
        self._send_records(relay, differing[start:] + differing[:start])

    def _send_digest(self, member: Member, wants_reply: bool) -> None:
        frame = wire.digest(self._table.digest.hashes, wants_reply)
        self._sender.send(member, frame, Traffic.GOSSIP)

    def _send_records(self, member: Member, buckets: list[int]) -> None:
        frames = b""
        datagrams = 0
        for bucket in buckets:
            records = list(self._table.digest.members(bucket))
            self._context.random.shuffle(records)
            for other in records:
                frame = record_frame(self._context, other)
                if len(frames) + len(frame) > self._sender.max_frames_bytes:
                    if datagrams + 1 >= MAX_SYNC_DATAGRAMS or not self._sender.send(member, frames, Traffic.GOSSIP):
                        return
                    datagrams += 1
                    frames = b""
                frames += frame
        if frames:
            self._sender.send(member, frames, Traffic.GOSSIP)
