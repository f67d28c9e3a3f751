"""Classes of requests that change in service: a table of slots in which nothing open ever changes under way.

A class is known to the core by its slot, a small number.  A new configuration never writes into a slot that a request
may still hold: a class whose settings differ gets another slot, and the one that it had stays as it was for as long
as requests with it are open, or may still come.  Only one thing reaches these: where the new word is stricter about
repeats, none of them is repeated any more.  Slots that nobody can mean any more are used again, so that a
thousand reloads take no more room than two.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import NamedTuple

from ..policy.interface import ClassSettings, DeduplicationScope, Effect


class RequestClass(NamedTuple):
    """A class as one configuration has it."""

    name: bytes
    settings: ClassSettings
    methods: frozenset[bytes]


class ClassTableChange(NamedTuple):
    """What a new configuration does to the table."""

    classes: tuple[RequestClass, ...]  # all slots, former classes among them
    replaced: tuple[tuple[int, int | None], ...]  # slots that are new, and whose experience each may begin with
    live: tuple[int, ...]  # slots of the present configuration
    never_repeat: frozenset[int]  # slots whose requests may not be repeated any more


RANK = {Effect.IDEMPOTENT: 0, Effect.KEYED: 1, Effect.NOT_IDEMPOTENT: 2}
REACH = {DeduplicationScope.ALL: 0, DeduplicationScope.ZONE: 1, DeduplicationScope.CELL: 2}


def stricter(new: ClassSettings, old: ClassSettings) -> bool:
    """Whether a repeat that `old` allows may do harm by `new`."""
    if new.effect is Effect.KEYED and old.effect is Effect.KEYED:
        return REACH[new.scope] > REACH[old.scope] or new.window_ms < old.window_ms
    return RANK[new.effect] > RANK[old.effect]


class RequestClassTable:
    """The slots, and which of them each name means."""

    def __init__(self, kinds: Sequence[RequestClass]) -> None:
        self.classes: list[RequestClass] = list(kinds)
        self.current: dict[bytes, int] = {kind.name: i for i, kind in enumerate(kinds)}
        self.former: dict[bytes, int] = {}  # names that meant something else, or anything at all, before
        self._once: set[int] = set()  # slots that a later configuration was stricter about

    def change(self, kinds: Sequence[RequestClass], held: Collection[int]) -> ClassTableChange:
        """Take up these classes.  `held`: slots of open requests.

        What a name meant until now is kept as `former`: a request that was sent before its client could know comes
        with that one's method and means that one.  What it meant before that is nobody's any more.
        """
        before, after, fresh = self.current, dict[bytes, int](), list[tuple[int, int | None]]()
        taken = {*before.values(), *held}
        free = [slot for slot in range(len(self.classes)) if slot not in taken]
        for kind in kinds:
            old = before.get(kind.name)
            if old is not None and self.classes[old] == kind:
                after[kind.name] = old
                continue
            if free:
                slot = free.pop(0)
                self.classes[slot] = kind
            else:
                slot = len(self.classes)
                self.classes.append(kind)
            after[kind.name] = slot
            fresh.append((slot, old))
            self._once.discard(slot)
        self.current = after
        self.former = {name: slot for name, slot in before.items() if after.get(name) != slot}
        # The endpoints may go by the new word already, or by the old one still: the stricter of both holds for what
        # came by the old one.  It could harm what is safe to repeat by both, where a class changes in name only.
        meaning = {kind.name: kind.settings for kind in kinds}
        for slot in {*before.values(), *held} - set(after.values()):
            new = meaning.get(self.classes[slot].name)
            if new and stricter(new, self.classes[slot].settings):
                self._once.add(slot)
        return ClassTableChange(tuple(self.classes), tuple(fresh), tuple(after.values()), frozenset(self._once))
