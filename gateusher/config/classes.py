"""The table of request classes, which can be replaced at run time without changing the class of an open request.

The core identifies a class by its slot, a small integer.  A new configuration never overwrites a slot that a request
may still use: a class whose settings differ gets another slot, and the old slot is unchanged while requests with it
are open or may still arrive.  There is one exception: if the new settings are stricter about retries, requests of the
old slot are not retried any more.  Unreferenced slots are reused, so that reloads do not grow the table.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import NamedTuple

from ..policy.interface import ClassSettings, Effect
from .retry_rules import is_stricter


class RequestClass(NamedTuple):
    """A request class as defined by one configuration."""

    name: bytes
    settings: ClassSettings
    methods: frozenset[bytes]

    def fits(self, method: bytes, has_key: bool) -> bool:
        """Return whether the class allows a request with this method, with or without an idempotency key."""
        return method in self.methods and has_key is (self.settings.effect is Effect.KEYED)


class ClassTableChange(NamedTuple):
    """The changes that a new configuration makes to the table."""

    classes: tuple[RequestClass, ...]  # by slot, including former classes
    replaced: tuple[tuple[int, int | None], ...]  # new slots, each with the slot whose statistics it inherits
    live: tuple[int, ...]  # slots of the current configuration
    never_repeat: frozenset[int]  # slots whose requests must not be retried any more


class RequestClassTable:
    """The request classes by slot, and the slot of each class name."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.classes: list[RequestClass] = list(classes)
        self.current: dict[bytes, int] = {request_class.name: i for i, request_class in enumerate(classes)}
        self._never_repeat: set[int] = set()  # slots whose class a later configuration made stricter

    def add_former(self, request_class: RequestClass) -> int:
        """Return a new slot for a class that only requests from before this process have."""
        self.classes.append(request_class)
        return len(self.classes) - 1

    def unchanged(self) -> ClassTableChange:
        """Return the table as it is, as a change that replaces nothing."""
        return ClassTableChange(tuple(self.classes), (), tuple(self.current.values()), frozenset(self._never_repeat))

    def change(self, classes: Sequence[RequestClass], slots_in_use: Collection[int]) -> ClassTableChange:
        """Apply the classes of a new configuration.

        `slots_in_use` are the slots of open requests, and of classes that requests may still mean.
        """
        before = self.current
        replaced = self._assign_slots(classes, {*before.values(), *slots_in_use})
        self._forbid_retries(classes, {*before.values(), *slots_in_use} - set(self.current.values()))
        return self.unchanged()._replace(replaced=tuple(replaced))

    def _assign_slots(self, classes: Sequence[RequestClass], slots_taken: set[int]) -> list[tuple[int, int | None]]:
        """Assign a slot to each class.  Returns the new slots, each with the previous slot of the same name."""
        before = self.current
        after: dict[bytes, int] = {}
        replaced: list[tuple[int, int | None]] = []
        free = [slot for slot in range(len(self.classes)) if slot not in slots_taken]
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

    def _forbid_retries(self, classes: Sequence[RequestClass], old_slots: set[int]) -> None:
        """Mark old slots whose class is stricter under the new settings.

        Endpoints may use either configuration for a while, so the stricter one applies.
        """
        new_settings = {request_class.name: request_class.settings for request_class in classes}
        for slot in old_slots:
            new = new_settings.get(self.classes[slot].name)
            if new and is_stricter(new, self.classes[slot].settings):
                self._never_repeat.add(slot)
