"""The table of request classes, which changes in service without changing what an open request has.

A class is known to the core by its slot, a small number.  A new configuration never writes into a slot that a request
may still use: a class whose settings differ gets another slot, and the old one stays as it was while requests with it
are open or may still come.  One thing reaches old slots: where new settings are stricter about repeats, requests of
the old slot are not repeated any more.  A slot that nothing refers to is used again, so that reloads take no memory.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import NamedTuple

from ..policy.interface import ClassSettings, DeduplicationScope, Effect


class RequestClass(NamedTuple):
    """A class of requests as one configuration defines it."""

    name: bytes
    settings: ClassSettings
    methods: frozenset[bytes]


class ClassTableChange(NamedTuple):
    """What a new configuration changes in the table."""

    classes: tuple[RequestClass, ...]  # all slots, those of former classes included
    replaced: tuple[tuple[int, int | None], ...]  # new slots, each with the slot whose statistics it may begin with
    live: tuple[int, ...]  # slots of the present configuration
    never_repeat: frozenset[int]  # slots whose requests must not be repeated any more


EFFECT_STRICTNESS = {Effect.IDEMPOTENT: 0, Effect.KEYED: 1, Effect.NOT_IDEMPOTENT: 2}
SCOPE_STRICTNESS = {DeduplicationScope.ALL: 0, DeduplicationScope.ZONE: 1, DeduplicationScope.CELL: 2}


def is_stricter(new: ClassSettings, old: ClassSettings) -> bool:
    """Whether a repeat that `old` allows may do harm under `new`."""
    if new.effect is Effect.KEYED and old.effect is Effect.KEYED:
        return SCOPE_STRICTNESS[new.scope] > SCOPE_STRICTNESS[old.scope] or new.window_ms < old.window_ms
    return EFFECT_STRICTNESS[new.effect] > EFFECT_STRICTNESS[old.effect]


class RequestClassTable:
    """The slots, and the slot that each class name stands for."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.classes: list[RequestClass] = list(classes)
        self.current: dict[bytes, int] = {request_class.name: i for i, request_class in enumerate(classes)}
        self.former: dict[bytes, int] = {}  # names as the configuration before had them, where they differ
        self._never_repeat: set[int] = set()  # slots about which a later configuration was stricter

    def change(self, classes: Sequence[RequestClass], slots_in_use: Collection[int]) -> ClassTableChange:
        """Apply the classes of a new configuration.  `slots_in_use` are those of open requests.

        What a name stood for until now is kept in `former`: a request that was sent before its client could know of
        the change comes with the old class's method and means the old class.
        """
        before = self.current
        replaced = self._assign_slots(classes, {*before.values(), *slots_in_use})
        self.former = {name: slot for name, slot in before.items() if self.current.get(name) != slot}
        self._forbid_repeats(classes, {*before.values(), *slots_in_use} - set(self.current.values()))
        return ClassTableChange(
            tuple(self.classes), tuple(replaced), tuple(self.current.values()), frozenset(self._never_repeat)
        )

    def _assign_slots(self, classes: Sequence[RequestClass], taken: set[int]) -> list[tuple[int, int | None]]:
        """Give each class its slot; the new slots, each with the one that its name had before."""
        before = self.current
        after: dict[bytes, int] = {}
        replaced: list[tuple[int, int | None]] = []
        free = [slot for slot in range(len(self.classes)) if slot not in taken]
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
        return replaced

    def _forbid_repeats(self, classes: Sequence[RequestClass], old_slots: set[int]) -> None:
        """Mark old slots about whose name the new settings are stricter.

        Endpoints may follow either configuration for a while, so the stricter one of both holds.
        """
        new_settings = {request_class.name: request_class.settings for request_class in classes}
        for slot in old_slots:
            new = new_settings.get(self.classes[slot].name)
            if new and is_stricter(new, self.classes[slot].settings):
                self._never_repeat.add(slot)
