"""Follows the endpoint list of a discovery service.

`Discovery` owns the open calls and the version of the current list.  `calls` decides when a call begins and ends,
`call` is one connection, and `lists` parses received lists; their entries and updates are passed to the node.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import Any

from ..base.log import log_event
from ..config.model import Names
from ..policy.interface import EndpointListUpdate, UpdateKind
from .call import DiscoveryCall
from .calls import (
    POLLED_POLICY,
    AllCallsFailed,
    CallEnded,
    CallScheduler,
    CloseCall,
    CompleteListReceived,
    ConfigReloaded,
    Event,
    ListUnwanted,
    ListWanted,
    ListWantedLater,
    OpenCall,
    Tick,
    WatchActive,
    pushed_policy,
)
from .lists import EndpointListError, ListedEndpoint, read_list

LIST_TIMEOUT_S = 1.0  # from the first byte of a list until it must be complete
MIN_LIST_TIMEOUT_S = 0.1
GRACE_DIVISOR = 4  # the same is at most this fraction of the settings' grace


class Discovery:
    """Follows the list while the balancer requests it, or from `start` on if lists are pushed.

    `on_update` receives updates for the balancer, `on_entries` the entries of each list and whether it is complete.
    `accepts` returns whether an entry's id belongs to its endpoint.  `pushed` lists come from an agent on this
    machine without a request of the balancer.  `grace_ms` is how long the settings let a sidecar use an endpoint
    after a drain was notified; `seed` spreads the backoffs of a fleet.
    """

    def __init__(
        self,
        address: tuple[str, int],
        names: Names,
        on_update: Callable[[EndpointListUpdate], None],
        on_entries: Callable[[list[ListedEndpoint], bool], None],
        accepts: Callable[[ListedEndpoint], bool],
        pushed: bool = False,
        grace_ms: float = 4000.0,
        seed: int = 0,
    ) -> None:
        self._address = address
        self._names = names
        self._on_update = on_update
        self._on_entries = on_entries
        self._accepts = accepts
        self._pushed = pushed
        grace_s = grace_ms / 1000
        self.list_timeout_s = min(LIST_TIMEOUT_S, max(MIN_LIST_TIMEOUT_S, grace_s / GRACE_DIVISOR))
        self._loop = asyncio.get_running_loop()
        self.scheduler = CallScheduler(pushed_policy(grace_s) if pushed else POLLED_POLICY, Random(seed).random)
        self._open_calls: dict[int, DiscoveryCall] = {}
        self._sweep_postponed = False  # the last sweep found unread data
        self._last_logged = ""
        self.list_version = 0  # of the current list
        self.list_received = asyncio.Event()  # the service has sent a list since the start
        self.needs_complete_list = False  # the next call polls the complete list first, whatever its version

    def start(self, known: dict[str, Any]) -> None:
        """Start from the list that this sidecar had last."""
        try:
            self.list_version, _, entries = read_list({**known, "whole": True}, self._names)
        except EndpointListError as error:
            log_event("known list not used", error)
            entries = []
        self._publish(UpdateKind.CACHED, entries)
        self._handle(ListWanted() if self._pushed else ListWantedLater())

    def watch(self) -> None:
        """Request the list now; do nothing while a call is open."""
        self._handle(ListWanted())

    def change_address(self, address: tuple[str, int]) -> None:
        """Follow the list at this address after SIGHUP; the current list stays until the service responds.

        Versions of two services can't be compared, so another address begins with the complete list.
        """
        changed = address != self._address
        if changed:
            self._address = address
            self.needs_complete_list = True
        self._handle(ConfigReloaded(changed))

    def stop(self) -> None:
        """End all calls without notifying the balancer, as the list is not needed any more."""
        self._handle(ListUnwanted())

    def sweep(self) -> None:
        """End calls whose list is overdue, and begin the next call if it is due; called at short intervals."""
        now_s = self._loop.time()
        overdue = [call for call in self._open_calls.values() if now_s > call.list_due_s]
        if not overdue and now_s < self.scheduler.due_s:
            return
        # In an iteration of the event loop timers run before reads, so after a pause of the machine data may be
        # unread.  It is read before the next sweep; only one sweep is postponed, however much data arrives.
        if not self._sweep_postponed and any(call.has_unread_data for call in self._open_calls.values()):
            self._sweep_postponed = True
            return
        self._sweep_postponed = False
        for call in overdue:
            self.call_failed(call, "a list was not completed in time")
        if now_s >= self.scheduler.due_s:
            if self._open_calls:
                self._log("watch silent", f"one more call is opened beside {len(self._open_calls)}")
            self._handle(Tick())

    def catch_up(self) -> None:
        """Read now the data that the service has sent and the event loop has not delivered yet."""
        for call in list(self._open_calls.values()):
            call.read_now()

    # -- called by calls

    def call_failed(self, call: DiscoveryCall, reason: object) -> None:
        """Handle the end of a call, unless it was closed here."""
        if self._open_calls.get(call.number) is call:
            self._log("watch ended", reason)
            call.close()
            del self._open_calls[call.number]
            self._handle(CallEnded(call.number))

    def watch_active(self, call: DiscoveryCall) -> None:
        """Handle a complete head, heartbeat or list from a watch."""
        self._handle(WatchActive(call.number))

    def complete_list_received(self, call: DiscoveryCall) -> None:
        """Handle the end of a poll whose list was applied."""
        self._handle(CompleteListReceived(call.number))

    def receive_list(self, data: bytes, from_poll: bool) -> None:
        """Apply one list; the response to a poll is applied whatever its version.  Raises EndpointListError."""
        if self.needs_complete_list and not from_poll:
            raise EndpointListError("requested before the complete list became necessary")
        try:
            version, complete, entries = read_list(json.loads(data), self._names)
        except (ValueError, RecursionError) as error:
            self.needs_complete_list = True
            raise EndpointListError(f"line can't be read: {error}") from None
        if from_poll and not complete:
            raise EndpointListError("requested the complete list and got a part")
        if version < self.list_version and not from_poll:
            self.needs_complete_list = True
            raise EndpointListError(f"version went back from {self.list_version} to {version}")
        self.list_version = version
        self._last_logged = ""
        self.list_received.set()
        if from_poll:
            self.needs_complete_list = False
        self._publish(UpdateKind.COMPLETE if complete else UpdateKind.CHANGES, entries)

    def _publish(self, kind: UpdateKind, entries: list[ListedEndpoint]) -> None:
        accepted = []
        for entry in entries:
            if self._accepts(entry):
                accepted.append(entry)
            else:
                log_event("entry skipped", f"{entry.name}: its id belongs to another endpoint")
        self._on_entries(accepted, kind is not UpdateKind.CHANGES)
        self._on_update(EndpointListUpdate(kind, self.list_version, tuple(entry.endpoint for entry in accepted)))

    def _handle(self, event: Event) -> None:
        for action in self.scheduler.handle(self._loop.time(), event):
            match action:
                case OpenCall(number):
                    self._open_calls[number] = DiscoveryCall(self, number)
                    self._open_calls[number].connect(self._loop, self._address)
                case CloseCall(number):
                    self._open_calls.pop(number).close()
                case AllCallsFailed():
                    if not self._pushed:
                        self._on_update(EndpointListUpdate(UpdateKind.FAILED, 0, ()))

    def _log(self, event: str, reason: object) -> None:
        """Log an event; repeats are omitted if lists are pushed, since an agent that is down is called often."""
        line = f"{event}: {reason}"
        if not self._pushed or line != self._last_logged:
            log_event(event, reason)
        self._last_logged = line
