"""Hashes of the member table by buckets, so that two tables are compared in 128 bytes.

Only members that are up are hashed: a suspicion ends by itself, and each process removes absent members at its own
time.  The hash of a record is cryptographic: linear hashes (CRC) combined by exclusive or cancel out when many
records change in the same way.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b

from .interface import MemberState
from .member import Member
from .wire import DIGEST_BUCKETS


class TableDigest:
    """The hash of each bucket, and the records that belong to it."""

    def __init__(self) -> None:
        self.hashes = [0] * DIGEST_BUCKETS
        self._buckets: list[dict[bytes, Member]] = [{} for _ in range(DIGEST_BUCKETS)]

    @staticmethod
    def bucket_of(member_id: bytes) -> int:
        """Return the index of a member's bucket."""
        return member_id[0] % DIGEST_BUCKETS

    def update(self, member: Member) -> None:
        """Add the record's hash, in place of its earlier one."""
        bucket = self.bucket_of(member.id)
        value = 0
        if member.is_up:
            text = b"%b%d,%d" % (member.id, member.incarnation, member.instance)
            value = int.from_bytes(blake2b(text, digest_size=4).digest(), "big")
        if member.state is not MemberState.UNSEEN:
            self._buckets[bucket][member.id] = member
        self.hashes[bucket] ^= member.digest_value ^ value
        member.digest_value = value

    def remove(self, member: Member) -> None:
        """Remove the record and its hash."""
        bucket = self.bucket_of(member.id)
        self.hashes[bucket] ^= member.digest_value
        member.digest_value = 0
        self._buckets[bucket].pop(member.id, None)

    def members(self, bucket: int) -> Iterator[Member]:
        """Iterate over a snapshot of a bucket's members."""
        return iter(list(self._buckets[bucket].values()))
