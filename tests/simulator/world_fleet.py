"""The endpoints of a world under the planned troubles: which are listed, and what each trouble changes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import NamedTuple

from gateusher.policy.interface import Endpoint, EndpointState, UpdateKind

from .world_endpoints import Condition, SimulatedEndpoint
from .world_plan import PlannedEndpoint, PlannedTrouble, Trouble, draw_endpoint

CHANGED_SHARE = 0.3  # share of the endpoints that `SOME_CHANGED` drains or restarts
DRAINED_SHARE = 0.5  # share of those that it drains
RESTARTED_SHARE = 0.5  # share of the endpoints that are restarted before they are listed again
LEAVING_SHARE = 0.5  # share of the time of `ONE_BY_ONE` in which the endpoints leave
CONDITIONS = {
    Trouble.ALL_UNREACHABLE: Condition.UNREACHABLE,
    Trouble.ALL_SILENT: Condition.SILENT,
    Trouble.ALL_REJECTING: Condition.REJECTING,
    Trouble.ALL_FAILING: Condition.FAILING,
}


class Announcement(NamedTuple):
    """Changed entries of the list, and the kind of update that tells of them."""

    changed: tuple[Endpoint, ...]
    told_by: UpdateKind


Change = Callable[[float], Announcement | None]  # changes the fleet at the time that it is given


class DelayedChange(NamedTuple):
    """A change that happens after a delay."""

    delay_ms: float
    change: Change


class Fleet:
    """Owns the endpoints, by id, and the version of their list."""

    def __init__(self, planned: Iterable[PlannedEndpoint], rng: Random) -> None:
        self.endpoints = {each.endpoint: SimulatedEndpoint(each) for each in planned}
        self.version = 1
        self._rng = rng

    def listed(self) -> tuple[Endpoint, ...]:
        """Return the complete list."""
        removed = EndpointState.REMOVED
        return tuple(endpoint.entry() for endpoint in self.endpoints.values() if endpoint.state is not removed)

    def trouble(self, trouble: PlannedTrouble) -> list[DelayedChange]:
        """Return the changes that a trouble of the endpoints makes."""
        kind, told_by = trouble.kind, trouble.told_by
        if kind is Trouble.ONE_BY_ONE:
            return self._leave_one_by_one(trouble)
        changes: dict[Trouble, Change] = {
            Trouble.ALL_DRAINED: partial(self._set_states, EndpointState.DRAINING, told_by),
            Trouble.ALL_REMOVED: partial(self._set_states, EndpointState.REMOVED, UpdateKind.CHANGES),
            Trouble.EMPTY_LIST: partial(self._set_states, EndpointState.REMOVED, UpdateKind.COMPLETE),
            Trouble.ALL_RESTARTED: partial(self._restart_all, told_by),
            Trouble.ALL_REPLACED: partial(self._replace_all, told_by),
            Trouble.SOME_CHANGED: partial(self._change_some, told_by),
        }
        change = partial(self._set_conditions, CONDITIONS[kind]) if kind in CONDITIONS else changes[kind]
        return [DelayedChange(0.0, change)]

    def recovery(self, trouble: PlannedTrouble) -> Change:
        """Return the change that ends a trouble: all endpoints work and are listed again, some of them restarted."""
        return partial(self._recover, trouble)

    def _announce(self, changed: Iterable[SimulatedEndpoint], told_by: UpdateKind) -> Announcement:
        self.version += 1
        return Announcement(tuple(endpoint.entry() for endpoint in changed), told_by)

    def _set_conditions(self, condition: Condition, now_ms: float) -> None:
        for endpoint in self.endpoints.values():
            endpoint.condition = condition

    def _set_states(self, state: EndpointState, told_by: UpdateKind, now_ms: float) -> Announcement:
        for endpoint in self.endpoints.values():
            endpoint.state = state
        return self._announce(self.endpoints.values(), told_by)

    def _leave_one_by_one(self, trouble: PlannedTrouble) -> list[DelayedChange]:
        endpoints = list(self.endpoints.values())
        self._rng.shuffle(endpoints)
        gap_ms = LEAVING_SHARE * trouble.lasts_ms / len(endpoints)
        return [
            DelayedChange(number * gap_ms, partial(self._leave, endpoint))
            for number, endpoint in enumerate(endpoints)
        ]

    def _leave(self, endpoint: SimulatedEndpoint, now_ms: float) -> Announcement:
        endpoint.state = self._rng.choice([EndpointState.DRAINING, EndpointState.REMOVED])
        return self._announce([endpoint], UpdateKind.CHANGES)

    def _restart(self, endpoint: SimulatedEndpoint, now_ms: float) -> None:
        endpoint.state, endpoint.started_ms = EndpointState.READY, now_ms
        endpoint.condition = Condition.NORMAL

    def _restart_all(self, told_by: UpdateKind, now_ms: float) -> Announcement:
        for endpoint in self.endpoints.values():
            self._restart(endpoint, now_ms)
        return self._announce(self.endpoints.values(), told_by)

    def _replace_all(self, told_by: UpdateKind, now_ms: float) -> Announcement:
        old = list(self.endpoints.values())
        kinds = 1 + max(endpoint.plan.kind for endpoint in old)
        zones = 1 + max(endpoint.plan.zone for endpoint in old)
        for endpoint in old:
            endpoint.state = EndpointState.REMOVED
            self._add(draw_endpoint(self._rng, zones, kinds, endpoint.plan.mean_latency_ms), now_ms)
        return self._announce(self.endpoints.values(), told_by)

    def _change_some(self, told_by: UpdateKind, now_ms: float) -> Announcement:
        """Drain some endpoints, restart others and add one."""
        rng = self._rng
        changed = [endpoint for endpoint in self.endpoints.values() if rng.random() < CHANGED_SHARE]
        for endpoint in changed:
            if rng.random() < DRAINED_SHARE:
                endpoint.state = EndpointState.DRAINING
            else:
                self._restart(endpoint, now_ms)
        some = rng.choice(list(self.endpoints.values())).plan
        added = self._add(draw_endpoint(rng, some.zone + 1, some.kind + 1, some.mean_latency_ms), now_ms)
        return self._announce([*changed, added], told_by)

    def _add(self, planned: PlannedEndpoint, now_ms: float) -> SimulatedEndpoint:
        endpoint = self.endpoints[planned.endpoint] = SimulatedEndpoint(planned, started_ms=now_ms)
        return endpoint

    def _recover(self, trouble: PlannedTrouble, now_ms: float) -> Announcement | None:
        changed = []
        for endpoint in self.endpoints.values():
            if trouble.kind is Trouble.ALL_REPLACED and endpoint.state is EndpointState.REMOVED:
                continue
            endpoint.condition = Condition.NORMAL
            if endpoint.state is not EndpointState.READY:
                endpoint.state = EndpointState.READY
                if self._rng.random() < RESTARTED_SHARE:
                    endpoint.started_ms = now_ms
                changed.append(endpoint)
        return self._announce(changed, trouble.told_by) if changed else None
