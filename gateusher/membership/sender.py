"""Signs and sends datagrams within a limit of bytes a second, and piggybacks gossip on them (SWIM, 4.1).

`Sender` owns our sequence numbers, the rate limits and the counters of what was sent.  One quota of the limit is for
probes and their answers, so that gossip can't starve them, one for gossip and table records, and one for direct
messages if another module sends them.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

from . import wire
from .context import Context
from .interface import Address, SendDatagram
from .member import Member
from .member_frames import record_frame
from .member_table import MemberTable
from .token_bucket import TokenBucket
from .wire import FrameKind, Header

HELD_BACK = "held back"  # keys of the counters in `gateusher members`
BYTES = "bytes"
DATAGRAMS = "datagrams"
PIGGYBACK_DIVISOR = 4  # gossip takes at most one part in this many of a probe's datagram


class Traffic(Enum):
    """Which quota of the rate limit a datagram is charged to."""

    PROBES = 0
    GOSSIP = 1
    DIRECT = 2


class Sender:
    """Sends datagrams to members."""

    def __init__(self, context: Context, table: MemberTable) -> None:
        settings = context.settings
        self._context = context
        self._table = table
        self.sent: Counter[str] = Counter()
        self.sequence = 0
        quota_per_s = settings.bytes_per_s / (3 if settings.direct_messages else 2)
        self._limits = {
            Traffic.PROBES: TokenBucket(quota_per_s),
            Traffic.GOSSIP: TokenBucket(quota_per_s),
            Traffic.DIRECT: TokenBucket(quota_per_s if settings.direct_messages else 0.0),
        }

    @property
    def max_frames_bytes(self) -> int:
        """How many bytes of frames fit into one datagram."""
        return self._context.settings.max_datagram_bytes - wire.OVERHEAD_BYTES

    def may_gossip(self) -> bool:
        """Return whether a full datagram of gossip is within the limit now, and count one as held back if not."""
        available = self._limits[Traffic.GOSSIP].available(self._context.now_ms)
        if available < self._context.settings.max_datagram_bytes:
            self.sent[HELD_BACK] += 1
            return False
        return True

    def has_spare_probe_capacity(self) -> bool:
        """Return whether over half of the bytes that probes may use in a second are available."""
        limit = self._limits[Traffic.PROBES]
        return limit.available(self._context.now_ms) > limit.rate_per_s / 2

    def send(
        self,
        member: Member,
        frames: bytes,
        traffic: Traffic = Traffic.PROBES,
        address: Address | None = None,
        piggyback: bool = True,
    ) -> bool:
        """Send frames with piggybacked updates; return False if they exceed the rate limit.

        `address` is used in place of the member's if addresses are learned.  Without `piggyback` nothing but `frames`
        is sent.
        """
        context = self._context
        settings = context.settings
        destination = address if address and settings.learn_addresses else member.address
        if destination is None:
            return False
        limit = self._limits[traffic]
        capacity_bytes = min(
            self.max_frames_bytes - len(frames),
            int(limit.available(context.now_ms)) - wire.OVERHEAD_BYTES - len(frames),
        )
        if capacity_bytes < 0:
            self.sent[HELD_BACK] += 1
            return False
        if piggyback:
            frames += self._piggybacked(member, frames, traffic, capacity_bytes)
        self.sequence += 1
        header = Header(context.own.id, context.own.instance, context.own.incarnation, self.sequence)
        data = wire.seal(context.keys[0], header, frames)
        limit.take(context.now_ms, len(data))
        self.sent[BYTES] += len(data)
        self.sent[DATAGRAMS] += 1
        context.actions.append(SendDatagram(destination, data))
        return True

    def _piggybacked(self, member: Member, frames: bytes, traffic: Traffic, capacity_bytes: int) -> bytes:
        context = self._context
        if member.replay_window is None:
            if context.settings.learn_addresses and not frames.startswith(bytes((FrameKind.RECORD,))):
                own_record = record_frame(context, context.own)  # it has to learn our name before it can answer
                if len(own_record) <= capacity_bytes:
                    return own_record
            return b""
        if traffic is Traffic.GOSSIP or not len(context.gossip_queue):
            return b""
        max_bytes = min(capacity_bytes, context.settings.max_datagram_bytes // PIGGYBACK_DIVISOR)
        return context.gossip_queue.take(max_bytes, self._table.fleet_size, member.id)
