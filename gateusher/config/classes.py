"""Classes of requests that change in service: a table of slots in which the class of a pending request never changes.

The core knows a class by its slot, a small number.  A new configuration never writes into a slot that a request may
still refer to: a class whose settings differ gets another slot, and its previous slot stays as it was for as long as
requests with it are pending, or may still come.  Only one change reaches those: where the new settings are stricter
about repeats, none of them is repeated any more.  Slots that nothing refers to are used again, so that the table
stays small over any number of reloads.
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

    classes: tuple[RequestClass, ...]  # all slots, previous classes among them
    replaced: tuple[tuple[int, int | None], ...]  # slots that are new, and whose estimates each may begin with
    live: tuple[int, ...]  # slots of the present configuration
    never_repeat: frozenset[int]  # slots whose requests may not be repeated any more


EFFECT_STRICTNESS = {Effect.IDEMPOTENT: 0, Effect.KEYED: 1, Effect.NOT_IDEMPOTENT: 2}
SCOPE_STRICTNESS = {DeduplicationScope.ALL: 0, DeduplicationScope.ZONE: 1, DeduplicationScope.CELL: 2}


def stricter(new: ClassSettings, old: ClassSettings) -> bool:
    """Whether a repeat that `old` allows may do harm by `new`."""
    if new.effect is Effect.KEYED and old.effect is Effect.KEYED:
        return SCOPE_STRICTNESS[new.scope] > SCOPE_STRICTNESS[old.scope] or new.window_ms < old.window_ms
    return EFFECT_STRICTNESS[new.effect] > EFFECT_STRICTNESS[old.effect]


class RequestClassTable:
    """The slots, and which of them each name means."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.classes: list[RequestClass] = list(classes)
        self.current: dict[bytes, int] = {request_class.name: slot for slot, request_class in enumerate(classes)}
        self.former: dict[bytes, int] = {}  # names that meant another slot, or any at all, in the last configuration
        self._never_repeat: set[int] = set()  # slots that a later configuration was stricter about

    def change(self, classes: Sequence[RequestClass], in_use: Collection[int]) -> ClassTableChange:
        """Take the classes of a new configuration; `in_use` are the slots of pending requests.

        What a name meant until now is kept as `former`: a request that was sent before its client could know of the
        change comes with the previous class's method and means that class.  Meanings before that are dropped.
        """
        before = self.current
        after: dict[bytes, int] = {}
        replaced: list[tuple[int, int | None]] = []
        referred_to = {*before.values(), *in_use}
        free = [slot for slot in range(len(self.classes)) if slot not in referred_to]
        for request_class in classes:
            old = before.get(request_class.name)
            if old is not None and self.classes[old] == request_class:
                after[request_class.name] = old
                continue
            if free:
                slot = free.pop(0)
                self.classes[slot] = request_class
            else:
                slot = len(self.classes)
                self.classes.append(request_class)
            after[request_class.name] = slot
            replaced.append((slot, old))
            self._never_repeat.discard(slot)
        self.current = after
        self.former = {name: slot for name, slot in before.items() if after.get(name) != slot}
        self._apply_stricter(classes, {*before.values(), *in_use} - set(after.values()))
        return ClassTableChange(
            tuple(self.classes), tuple(replaced), tuple(after.values()), frozenset(self._never_repeat)
        )

    def _apply_stricter(self, classes: Sequence[RequestClass], previous_slots: set[int]) -> None:
        """Forbid repeats in slots whose class became stricter.

        The endpoints may follow the new configuration already, or the old one still, so the stricter of both holds
        for requests that came by the old one.  Wrong where a class keeps its name and means other requests.
        """
        settings = {request_class.name: request_class.settings for request_class in classes}
        for slot in previous_slots:
            new = settings.get(self.classes[slot].name)
            if new and stricter(new, self.classes[slot].settings):
                self._never_repeat.add(slot)
