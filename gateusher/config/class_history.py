"""The classes of former configurations, which requests may still mean just after a reload.

A client learns of new settings some time after the reload, and a request may be read long after it was sent.  Until
then it may mean any configuration that was in use since it was sent, so its retries are bound by the strictest rules
of all these configurations.  A method or an idempotency key that a configuration does not allow for the class shows
that its client does not mean that one: what only the current configuration allows has the current rules at once.

`ClassHistory` owns the former configurations and the attempt limit of the current one; the slots of classes belong to
`RequestClassTable`.  Times are seconds of the event loop's clock.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace
from math import inf
from typing import Final, NamedTuple

from ..policy.interface import Effect, RetryRules
from .classes import ClassTableChange, RequestClass, RequestClassTable
from .retry_rules import is_stricter, strictest

CLIENTS_LEARN_S: Final = 1.2  # after a reload clients go by the new settings (DAYS, New settings)
UNNOTICED_DELAY_S: Final = 0.2  # by which a request may be read late without a sign of that (`core.backlog`)
RETENTION_S: Final = 60.0  # how long a request may take to arrive that was sent before clients knew


@dataclass(frozen=True, slots=True)
class FormerConfiguration:
    """The classes of a configuration that is not current any more."""

    classes: Mapping[bytes, RequestClass]
    max_attempts: int
    ended_s: float  # when another configuration replaced it; inf if none has

    def may_be_meant(self, sent_s: float) -> bool:
        """Return whether a request sent at `sent_s` may mean this configuration."""
        return sent_s <= self.ended_s + CLIENTS_LEARN_S + UNNOTICED_DELAY_S

    def is_same(self, other: FormerConfiguration) -> bool:
        """Return whether both are the same settings, whenever they were in use."""
        return self.classes == other.classes and self.max_attempts == other.max_attempts


class ClassMeaning(NamedTuple):
    """The class that a request belongs to."""

    class_index: int
    rules: RetryRules | None  # None: those of the class, if method and key fit it


class ClassHistory:
    """The current classes together with those that requests sent before a reload may mean."""

    def __init__(self, table: RequestClassTable, max_attempts: int) -> None:
        self._table = table
        self._max_attempts = max_attempts
        self._former: list[FormerConfiguration] = []  # the oldest first
        self._dropped: dict[bytes, int] = {}  # slots of classes that the current configuration does not have

    def change(
        self, classes: Sequence[RequestClass], max_attempts: int, slots_in_use: Collection[int], now_s: float
    ) -> ClassTableChange:
        """Apply a new configuration.  `slots_in_use` are the slots of open requests."""
        table = self._table
        before = dict(table.current)
        ended = self._current(now_s)
        names = {request_class.name for request_class in classes}
        self._dropped = {name: slot for name, slot in (self._dropped | before).items() if name not in names}
        change = table.change(classes, {*slots_in_use, *self._dropped.values()})
        if table.current != before or max_attempts != self._max_attempts:
            self._former = [former for former in self._former if not former.is_same(ended)] + [ended]
        self._max_attempts = max_attempts
        return change

    def _current(self, ended_s: float) -> FormerConfiguration:
        table = self._table
        classes = {name: table.classes[slot] for name, slot in table.current.items()}
        return FormerConfiguration(classes, self._max_attempts, ended_s)

    # -- between two processes

    def configurations(self) -> list[FormerConfiguration]:
        """Return what a process that takes over has to know: the current configuration is last, and has not ended."""
        return [*self._former, self._current(inf)]

    def inherit(self, configurations: Sequence[FormerConfiguration]) -> ClassTableChange:
        """Begin with the configurations of the process before this one, the oldest first.

        What has not ended there ends with `take_over`.
        """
        current = self._current(inf)
        self._former = [former for former in configurations if not former.is_same(current)]
        dropped = {
            name: request_class
            for former in self._former
            for name, request_class in former.classes.items()
            if name not in self._table.current
        }
        self._dropped = {name: self._table.add_former(request_class) for name, request_class in dropped.items()}
        replaced = tuple((slot, None) for slot in self._dropped.values())
        return self._table.unchanged()._replace(replaced=replaced)

    def take_over(self, now_s: float) -> None:
        """This process serves from now on, by its own configuration."""
        self._former = [replace(former, ended_s=min(former.ended_s, now_s)) for former in self._former]

    # -- requests

    def meaning(self, name: bytes, method: bytes, has_key: bool, sent_s: float) -> ClassMeaning | None:
        """Return the class of a request sent at `sent_s` or later, or None if no configuration has it.

        `has_key` says whether it has an idempotency key.  If it fits no configuration that it may mean, the latest
        class of that name is returned without rules, which the request then does not fit either.
        """
        slot = self._table.current.get(name)
        if not self._former or not self._former[-1].may_be_meant(sent_s):
            return None if slot is None else ClassMeaning(slot, None)
        rules: RetryRules | None = None
        is_known = slot is not None
        for request_class, max_attempts in self._candidates(name, sent_s):
            is_known = True
            class_rules = RetryRules.of_class(request_class.settings, max_attempts)
            if request_class.fits(method, has_key):
                rules = strictest(rules, class_rules) if rules else class_rules
            elif rules and is_stricter(class_rules, rules):
                rules = rules._replace(effect=Effect.NOT_IDEMPOTENT)  # endpoints may use the newer settings already
        if not is_known:
            return None
        return ClassMeaning(self._dropped[name] if slot is None else slot, rules)

    def _candidates(self, name: bytes, sent_s: float) -> list[tuple[RequestClass, int]]:
        """Return what this name may mean, the current class last, each with its configuration's attempt limit."""
        found = [
            (former.classes[name], former.max_attempts)
            for former in self._former
            if name in former.classes and former.may_be_meant(sent_s)
        ]
        slot = self._table.current.get(name)
        if slot is not None:
            found.append((self._table.classes[slot], self._max_attempts))
        return found

    def forget(self) -> None:
        """Forget all former configurations: every request means the current one."""
        self._former = []
        self._dropped = {}

    def prune(self, oldest_sent_s: float) -> None:
        """Forget what no request can mean any more that was sent at `oldest_sent_s` or later, and arrives now."""
        if not self._former:
            return
        self._former = [former for former in self._former if former.may_be_meant(oldest_sent_s - RETENTION_S)]
        if not self._former:
            self.forget()
