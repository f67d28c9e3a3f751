"""Runs the lease machines of one sidecar on its event loop: voter, candidate and claims.

`LeaseManager` owns the candidate, the claims, the timer of both machines and the callbacks of checkpoints.  Messages
are sent over the membership endpoint, records are written to the voter's disk (`voter_host`).  This module makes no
lease decisions.
"""

from __future__ import annotations

import asyncio
import json
import os
import struct
from collections.abc import Callable
from typing import Any, NamedTuple

from ..base.clock import BootClock
from ..base.log import log_event
from ..config.duties import Duties, is_valid_task_name
from ..leases import wire
from ..leases.candidate import Candidate
from ..leases.interface import (
    MAX_TASK_NAME_BYTES,
    Acquire,
    Action,
    CheckpointSaved,
    Event,
    FenceRaised,
    LeaseAcquired,
    LeaseLost,
    LogEvent,
    MessageReceived,
    SaveCheckpoint,
    SendMessage,
    StopWork,
    StoreRecord,
    Tick,
    VotersChanged,
    Withdraw,
    WorkEnded,
    Yield,
)
from ..leases.task_lease import NEVER_MS
from ..membership.interface import BroadcastReceived, DirectMessage, MemberChanged
from ..membership.udp import MembershipEndpoint
from .lease_claims import Claim, ClaimState, LeaseClaims
from .lease_report import VOTERS_TASK, report
from .voter_host import VoterHost, lease_settings

LEASE_MESSAGE = 1  # kind of the direct messages between members that carry lease messages
MIN_TIMER_S = 0.001
LEAVE_CHECK_S = 0.01
MIN_TOKEN_LENGTH = 16
MAX_TOKEN_LENGTH = 64
# Kinds of the log lines about lease changes; operators match on them.
LOG_KINDS = {
    LeaseAcquired: "duty held",
    FenceRaised: "duty raised",
    StopWork: "duty stop",
    LeaseLost: "duty lost",
}


class PendingCheckpoint(NamedTuple):
    """A checkpoint that a majority of voters has yet to store, and its callback."""

    value: bytes
    on_saved: Callable[[], None]


class LeaseManager:
    """The lease machines of one sidecar, from `open` until `close`.

    Raises ModuleNotFoundError for a voter with a folder if the extra for its disk is not installed.
    """

    def __init__(self, config: Duties, endpoint: MembershipEndpoint) -> None:
        self.config = config
        self._endpoint = endpoint
        self._clock = BootClock()
        self._loop = asyncio.get_running_loop()
        self._host = VoterHost(config, self._clock, self._perform_and_set_timer)
        self._timer: asyncio.TimerHandle | None = None
        self._is_open = False
        self._on_left: Callable[[], None] | None = None
        self._leave_by_s = 0.0  # on the loop's clock
        self.has_left = False  # whether `leave` has completed
        self._start_candidate()
        endpoint.listeners.append(self._on_member_event)

    def _start_candidate(self) -> None:
        instance, seed = struct.unpack(">QQ", os.urandom(16))
        settings = lease_settings(self.config)
        self.candidate = Candidate(settings, instance >> 1, seed, self._clock.wall_ms(), self._clock.now_ms())
        self.claims = LeaseClaims(self.config.lease_ms, self._valid_lease)
        self._pending_checkpoints: dict[str, PendingCheckpoint] = {}  # by task

    def _valid_lease(self, task: str, now: float) -> tuple[int, float] | None:
        lease = self.candidate.valid_lease(task, now)
        return (lease.fence, lease.until_ms) if lease else None

    def open(self) -> None:
        """Start the machines.  A voter's folder is read without blocking the loop."""
        self._is_open = True
        if self.config.votes:
            self._host.open()
            self._handle(Acquire(VOTERS_TASK))

    # -- events and actions

    def _on_member_event(self, event: MemberChanged | BroadcastReceived | DirectMessage) -> None:
        if isinstance(event, DirectMessage) and event.kind == LEASE_MESSAGE and self._is_open:
            self._deliver(event.name, event.data)

    def _deliver(self, origin: str, data: bytes) -> None:
        message = wire.decode(data)
        if isinstance(message, wire.VOTER_MESSAGES):
            self._host.handle(MessageReceived(origin, data))
        elif message is not None:
            self._handle(MessageReceived(origin, data))

    def _handle(self, event: Event) -> None:
        """Pass an event to the candidate."""
        self._perform_and_set_timer(self.candidate.handle(self._clock.now_ms(), event))

    def _handle_all(self, events: list[Event]) -> None:
        for event in events:
            self._handle(event)

    def _perform_and_set_timer(self, actions: list[Action]) -> None:
        self._perform(actions)
        self._set_timer()

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(action)
            elif isinstance(action, StoreRecord):
                self._host.store(action)
            elif isinstance(action, LogEvent):
                log_event(action.kind, action.message)
            elif isinstance(action, CheckpointSaved):
                self._on_checkpoint_saved(action)
            else:
                self._on_lease_change(action)

    def _send(self, action: SendMessage) -> None:
        if action.to == self.config.name:
            self._loop.call_soon(self._deliver, action.to, action.data)
        else:
            self._endpoint.send_direct(action.to, LEASE_MESSAGE, action.data)

    def _on_checkpoint_saved(self, action: CheckpointSaved) -> None:
        pending = self._pending_checkpoints.get(action.task)
        if pending and pending.value == action.value:
            del self._pending_checkpoints[action.task]
            self._loop.call_soon(pending.on_saved)

    def _on_lease_change(self, action: LeaseAcquired | FenceRaised | StopWork | LeaseLost) -> None:
        if action.task == VOTERS_TASK:
            if isinstance(action, StopWork | LeaseLost):  # no work to stop
                self._loop.call_soon(self._handle, WorkEnded(VOTERS_TASK))
            return
        if isinstance(action, LeaseAcquired | FenceRaised):
            text = f"{action.task}, fence {action.fence}"
        else:
            text = f"{action.task}: {action.reason}"
        log_event(LOG_KINDS[type(action)], text)
        # Deferred: the candidate's other actions are still being performed.
        self._loop.call_soon(self._pass_to_claims, action)

    def _pass_to_claims(self, action: LeaseAcquired | FenceRaised | StopWork | LeaseLost) -> None:
        self._handle_all(self.claims.on_lease_change(self._clock.now_ms(), action))

    # -- the timer

    def _set_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._is_open:
            voter = self._host.voter
            due_ms = min(self.candidate.due, voter.due if voter else NEVER_MS)
            wait_s = (due_ms - self._clock.now_ms()) / 1000
            # The loop's clock stops while the machine sleeps, the boot clock doesn't: check four times a lease.
            max_wait_s = self.config.lease_ms / 4000
            self._timer = self._loop.call_later(max(MIN_TIMER_S, min(max_wait_s, wait_s)), self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._clock.now_ms()
        voter = self._host.voter
        if voter and voter.due <= now:
            self._perform(voter.handle(now, Tick()))
        if self.candidate.due <= now:
            self._perform(self.candidate.handle(now, Tick()))
        self._handle_all(self.claims.end_unresponsive(now))
        self._set_timer()

    # -- claims of this process

    def claim(self, task: str, on_change: Callable[[Claim], None]) -> Claim:
        """Add a claim to a task; `on_change` is called when it is held, has to stop, or has ended.

        Raises ValueError for an invalid name, or too many claims.
        """
        check_name(task)
        claim, events = self.claims.add(task, "", on_change)
        self._handle_all(events)
        return claim

    def valid_lease(self, claim: Claim) -> tuple[int, float] | None:
        """Return fence and remaining ms of the lease, to be checked just before each write; None if invalid."""
        now = self._clock.now_ms()
        lease = self._valid_lease(claim.task, now) if claim.state is ClaimState.HELD else None
        return (claim.fence, lease[1] - now) if lease else None

    def stop_remaining_s(self, claim: Claim) -> float:
        """Return the seconds left to a claim that has to stop."""
        return (claim.stop_by_ms - self._clock.now_ms()) / 1000

    def save_checkpoint(self, claim: Claim, value: bytes, on_saved: Callable[[], None]) -> None:
        """Store up to 32 bytes for the next holder.

        `on_saved` is called when a majority of voters has stored them, and not if a newer value replaces them first.
        """
        if claim.state in (ClaimState.HELD, ClaimState.STOPPING):
            self._pending_checkpoints[claim.task] = PendingCheckpoint(value, on_saved)
            self._handle(SaveCheckpoint(claim.task, value))

    def end(self, claim: Claim) -> None:
        """End a claim: its work has ended, or won't begin."""
        self._handle_all(self.claims.end(claim))

    # -- calls over the admin address; None: the call is malformed

    def claim_call(self, parameters: dict[str, str]) -> bytes | None:
        """Handle POST /_duty/claim: add or keep alive a claim and return its status."""
        task = parameters.get("duty", "")
        token = parameters.get("token", "")
        try:
            check_name(task)
            if not MIN_TOKEN_LENGTH <= len(token) <= MAX_TOKEN_LENGTH:
                return None
            status, events = self.claims.call(self._clock.now_ms(), task, token)
        except ValueError:
            return None
        self._handle_all(events)
        return json.dumps(status.to_json()).encode()

    def done_call(self, parameters: dict[str, str]) -> bytes | None:
        """Handle POST /_duty/done: end a claim."""
        self._handle_all(self.claims.end_remote(parameters.get("token", "")))
        return b"{}"

    def give_call(self, parameters: dict[str, str]) -> bytes | None:
        """Handle POST /_duty/give: request that the holder yield a task, and return the holder."""
        task = parameters.get("duty", "")
        try:
            check_name(task)
        except ValueError:
            return None
        holder: str | None
        if self.candidate.valid_lease(task, self._clock.now_ms()):
            holder = self.config.name
            self._handle(Yield(task))
        else:
            holder = self._known_holder(task)
            if holder:
                self._endpoint.send_direct(holder, LEASE_MESSAGE, wire.encode(wire.YieldRequest(task)))
        return json.dumps({"holder": holder}).encode()

    def _known_holder(self, task: str) -> str | None:
        holder = self._host.voter.holder(task) if self._host.voter else ""
        if holder:
            return holder
        lease = self.candidate.tasks.get(task)
        return lease.last_known_holder or None if lease else None

    def report(self) -> dict[str, Any]:
        """Return the report that `gateusher duty list` shows; times are seconds."""
        return report(self.config, self.candidate, self._host.voter, self._host.reason, self._clock.now_ms())

    # -- reconfiguration and shutdown

    def change_voters(self, config: Duties) -> None:
        """Change the set of voters; lease, drift and folder stay as they were at the start."""
        current = self.config
        if (config.voters, config.before, config.step) == (current.voters, current.before, current.step):
            return
        if config.step <= current.step:
            log_event("duties", f"voters change only with a step above {current.step}: keeping the current voters")
            return
        self.config = current._replace(
            voters=config.voters, before=config.before, step=config.step, folder=current.folder or config.folder
        )
        self._host.config = self.config
        self._handle(VotersChanged(lease_settings(self.config)))
        self._handle(Acquire(VOTERS_TASK) if self.config.votes else Withdraw(VOTERS_TASK))
        if self._host.voter:
            self._host.handle(VotersChanged(lease_settings(self.config)))
        elif self.config.votes and not current.votes:
            self._host.open()

    def leave(self, on_left: Callable[[], None], within_s: float) -> None:
        """Release all leases as their work ends; call `on_left` once voters acknowledged, or after `within_s`."""
        if self._on_left is None:
            self._on_left = on_left
            self._leave_by_s = self._loop.time() + within_s
            self._handle_all([*self.claims.close(), Withdraw(VOTERS_TASK)])
            self._check_left()

    def _check_left(self) -> None:
        on_left = self._on_left
        if on_left is None or not self._is_open:
            return
        is_idle = self.candidate.idle and not len(self.claims)
        if is_idle or self._loop.time() >= self._leave_by_s:
            self._on_left = None
            self.has_left = True
            on_left()
        else:
            self._loop.call_later(LEAVE_CHECK_S, self._check_left)

    def pause(self) -> None:
        """Unlock the folder for a successor process, without releasing leases."""
        self._stop()

    def resume(self) -> None:
        """Restart after `pause` as another incarnation, or cancel a `leave` that has not completed.

        After a pause a successor may have voted in the meantime.
        """
        if not self._is_open:
            self.has_left = False
            self._start_candidate()
            self.open()
        elif self._on_left:
            self._on_left = None
            self.claims.reopen()
            if self.config.votes:
                self._handle(Acquire(VOTERS_TASK))

    def _stop(self) -> None:
        self._is_open = False
        self._host.close()
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Stop at once; leases expire."""
        self._on_left = None
        self._stop()


def check_name(task: str) -> None:
    """Raise ValueError if an application's task can't have this name."""
    if not is_valid_task_name(task):
        raise ValueError(
            f"a duty's name must be 1 to {MAX_TASK_NAME_BYTES} bytes of printable text not beginning with '~', "
            f"found {task!r}"[:300]
        )
