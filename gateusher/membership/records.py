"""What one process holds of the others: a record a member, its suspicion, the numbers it has used, and the digest."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from math import log, log10

from .interface import Address, MemberState
from .wire import DIGEST_BUCKETS

WINDOW = 256  # numbers behind the highest that may still come late


class Window:
    """Which of a sender's numbers have come: each is taken once (the anti-replay window of RFC 4303, 3.4.3)."""

    __slots__ = ("_bits", "_top")

    def __init__(self, first: int) -> None:
        """`first` has come, and all before it count as come: their sender was not proven then."""
        self._top, self._bits = first, (1 << WINDOW) - 1

    def take(self, number: int) -> bool:
        """Whether this is the first time; a number that is too old to tell was there before."""
        ahead = number - self._top
        if ahead > 0:
            self._bits = (self._bits << min(ahead, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self._top = number
            return True
        if ahead <= -WINDOW or self._bits >> -ahead & 1:
            return False
        self._bits |= 1 << -ahead
        return True


@dataclass(slots=True)
class Suspicion:
    """How long a member has to object: from `most` down to `least` ms with each further witness (Lifeguard, IV-B)."""

    began: float
    least: float
    most: float
    wanted: int  # witnesses beyond the first that bring it down to `least`
    by: dict[bytes, None] = field(default_factory=dict)  # who suspects it, the first one first
    judged: bool = False  # others hold that it has failed: it gets the least time, and never less

    @property
    def until(self) -> float:
        more = min(len(self.by) - 1, self.wanted)
        if self.wanted <= 0 or self.judged:
            return self.began + self.least
        share = log(more + 1) / log(self.wanted + 1)
        return self.began + max(self.least, self.most - (self.most - self.least) * share)


def patience(alpha: float, beta: float, members: int, period_ms: float) -> tuple[float, float]:
    """Least and most ms that a suspicion lasts in a fleet of so many (Lifeguard, IV-B)."""
    least = alpha * max(1.0, log10(max(1, members))) * period_ms
    return least, beta * least


@dataclass(slots=True, eq=False)
class Member:
    """One other process.  `address` is where we may send; None: others speak of it, and our file doesn't name it."""

    key: bytes
    name: str
    address: Address | None
    fixed: bool  # named in our own file
    state: MemberState = MemberState.UNSEEN
    incarnation: int = 0
    instance: int = 0  # which process of that name, 0 for not known
    born: float = 0.0  # when it began, on our clock
    since: float = 0.0  # of the state
    health: int = 0  # its own, as it last said
    window: Window | None = None  # of the instance that has answered a probe of ours, None before that
    heard_at: float = -1e12  # its last datagram that counted
    tried_at: float = -1e12  # when it was last tried though it is not alive, or asked to prove itself
    tries: int = 0
    suspicion: Suspicion | None = None
    hashed: int = 0  # what it adds to the digest
    home: Address | None = None  # where our own file says that it is
    place: int = -1  # in the list of those that are spoken to
    asks: float = 4.0  # answers that it may still draw before it has proven itself, and as of when
    asked_at: float = -1e12

    @property
    def there(self) -> bool:
        """Alive as far as anybody has proven otherwise."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class Digest:
    """Sums of all records by parts, so that two tables are compared in 128 bytes.

    Only who is there counts: a suspicion passes by itself, and who is gone is forgotten by each at its own time.  The
    hash is cryptographic, as sums by exclusive or of linear ones (CRC) cancel out where many records change alike.
    """

    def __init__(self) -> None:
        self.sums = [0] * DIGEST_BUCKETS
        self._parts: list[dict[bytes, Member]] = [{} for _ in range(DIGEST_BUCKETS)]

    @staticmethod
    def part(key: bytes) -> int:
        return key[0] % DIGEST_BUCKETS

    def put(self, member: Member) -> None:
        """Count the record as it is now."""
        part = self.part(member.key)
        value = 0
        if member.there:
            text = b"%b%d,%d" % (member.key, member.incarnation, member.instance)
            value = int.from_bytes(blake2b(text, digest_size=4).digest(), "big")
        if member.state is not MemberState.UNSEEN:
            self._parts[part][member.key] = member
        self.sums[part] ^= member.hashed ^ value
        member.hashed = value

    def drop(self, member: Member) -> None:
        part = self.part(member.key)
        self.sums[part] ^= member.hashed
        member.hashed = 0
        self._parts[part].pop(member.key, None)

    def members(self, part: int) -> Iterator[Member]:
        return iter(list(self._parts[part].values()))
