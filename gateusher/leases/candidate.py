"""A candidate (proposer): acquires the leases of tasks from a majority of voters, renews and releases them.

Acquiring a task begins with a pre-vote, which changes no state at the voters.  A lease request follows only if a
majority would grant the task.  Its fence is above every fence that the voters have seen, and not below the wall
clock's milliseconds, so that fences rise even if all voters lose their state at once.  A majority of grants makes the
candidate the holder (PaxosLease, 2012).  The lease expires with the first session whose expiry leaves no majority;
each session counts from the time at which the request was sent that its voter replied to.

`valid_lease` is called just before each write with the current time, so that a process that was suspended detects
there that its lease has expired.  A task is released only when its work has ended or its lease has expired, and is
not acquired again at once; a candidate that loses it repeatedly waits longer each time, up to four leases.

`Candidate` owns the tasks (`task_lease`, with the table of states) and changes their states.  Periodic renewals are
in `candidate_renewals`, backoff delays in `candidate_backoff`, the voters' sessions in `candidate_sessions`.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from random import Random

from .candidate_backoff import Backoff
from .candidate_output import CandidateOutput
from .candidate_renewals import Renewals
from .candidate_sessions import SessionViews
from .candidate_timers import TaskTimers
from .interface import (
    MAX_CHECKPOINT_BYTES,
    MAX_FENCE,
    MAX_TASK_NAME_BYTES,
    Acquire,
    Action,
    CheckpointSaved,
    Event,
    FenceRaised,
    LeaseAcquired,
    LeaseLost,
    LeaseSettings,
    LogEvent,
    MessageReceived,
    SaveCheckpoint,
    StopWork,
    VotersChanged,
    Withdraw,
    WorkEnded,
    Yield,
)
from .task_lease import NEVER_MS, NO_GRANT, GrantSet, State, TaskLease, ValidLease, VoterGrant
from .wire import (
    CheckpointWritten,
    Message,
    ReleaseAcknowledged,
    SessionRenewed,
    TaskReleased,
    Verdict,
    VoteReply,
    YieldRequest,
    decode,
)

MAX_CONTENDING_TASKS = 64  # in PRE_VOTE or REQUESTING at a time; other tasks wait for a slot


class Candidate:
    """The candidate of one process.  Pure: the same events at the same times produce the same actions.

    `instance` is a random number that distinguishes this process from others of the same name; `wall_ms` is the wall
    clock at `now`.
    """

    def __init__(self, settings: LeaseSettings, instance: int, seed: int, wall_ms: int, now: float) -> None:
        self._settings = settings
        self.now = now
        self._started_ms = now
        self._started_wall_ms = wall_ms
        self.tasks: dict[str, TaskLease] = {}
        self.sessions = SessionViews(settings)
        self.timers = TaskTimers()
        self.output = CandidateOutput(settings, instance)
        self.backoff = Backoff(settings, Random(seed))
        self._ready: deque[str] = deque()  # tasks waiting for a pre-vote slot
        self._contending: set[str] = set()  # tasks in PRE_VOTE or REQUESTING
        self._active: set[str] = set()  # tasks that are not WAITING
        self._held_grant_sets: Counter[GrantSet] = Counter()  # number of held tasks by set of grants
        self.renewals = Renewals(settings, self.tasks, self._active, self.sessions, self.output)

    # -- interface

    def valid_lease(self, task: str, now: float) -> ValidLease | None:
        """Return the task's lease if it is valid at `now`, the time just before a write; otherwise None."""
        lease = self.tasks.get(task)
        if lease is None or lease.state is not State.HELD:
            return None
        until_ms = self.sessions.expiry_ms(lease.grant_set)
        return ValidLease(lease.fence, until_ms) if now < until_ms else None

    @property
    def idle(self) -> bool:
        """Return whether no task is held or being requested, and every release is acknowledged."""
        return not self._active and not self.renewals.unacknowledged_releases

    @property
    def due(self) -> float:
        """Return when the next Tick is due."""
        first_expiry_ms = min(
            (self.sessions.expiry_ms(grant_set) for grant_set in self._held_grant_sets), default=NEVER_MS
        )
        return min(self.timers.next_ms(), self.renewals.next_ms, first_expiry_ms)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the resulting actions.

        Raises ValueError for a task name or a checkpoint that is too long.
        """
        self.now = max(self.now, now)
        self._drop_expired_leases()  # first: the process may have been suspended
        self._dispatch(event)
        lease = self.timers.pop_due(self.now, self.tasks)
        while lease:
            self._on_timer(lease)
            lease = self.timers.pop_due(self.now, self.tasks)
        self._begin_ready_pre_votes()
        if self.now >= self.renewals.next_ms:
            self.renewals.renew(self.now)
        return self.output.take()

    def _dispatch(self, event: Event) -> None:
        if isinstance(event, MessageReceived):
            self._receive(event.origin, decode(event.data))
        elif isinstance(event, Acquire):
            self._acquire(event.task)
        elif isinstance(event, Withdraw):
            self._withdraw(event.task)
        elif isinstance(event, Yield):
            self._yield(event.task)
        elif isinstance(event, SaveCheckpoint):
            self._save_checkpoint(event)
        elif isinstance(event, WorkEnded):
            self._on_work_ended(event.task)
        elif isinstance(event, VotersChanged):
            self._change_voters(event.settings)

    def _receive(self, origin: str, message: Message | None) -> None:
        if isinstance(message, YieldRequest):
            self._yield(message.task)  # accepted from any process; other messages only from voters
        elif origin not in self.sessions.by_voter:
            return
        elif isinstance(message, VoteReply):
            self._on_vote_reply(origin, message)
        elif isinstance(message, SessionRenewed):
            self._on_session_renewed(origin, message)
        elif isinstance(message, ReleaseAcknowledged):
            self.renewals.acknowledge_release(origin, message.fence, message.task)
        elif isinstance(message, TaskReleased):
            self._on_task_released(origin, message)
        elif isinstance(message, CheckpointWritten):
            self._on_checkpoint_written(origin, message)

    # -- timers and expiry

    def _on_timer(self, lease: TaskLease) -> None:
        if lease.state is State.WAITING and lease.wanted:
            self._ready.append(lease.name)
        elif lease.state is State.PRE_VOTE:
            self._fail_pre_vote(lease)
        elif lease.state is State.REQUESTING:
            self._abandon_request(lease)
        elif lease.state is State.STOPPING:
            self._finish_stop(lease)

    def _drop_expired_leases(self) -> None:
        expired = {grant_set for grant_set in self._held_grant_sets if self.sessions.expiry_ms(grant_set) <= self.now}
        if not expired:
            return
        for lease in [self.tasks[name] for name in self._active]:
            if lease.state is State.HELD and lease.grant_set in expired:
                self._expire(lease)

    # -- acquiring and withdrawing tasks

    def _acquire(self, name: str) -> None:
        if not 0 < len(name.encode()) <= MAX_TASK_NAME_BYTES:
            raise ValueError(f"a task's name must have 1 to {MAX_TASK_NAME_BYTES} bytes, found {name!r}"[:200])
        lease = self.tasks.get(name)
        if lease is None:
            lease = TaskLease(name, self.now)
            self.tasks[name] = lease
            self.timers.set(lease, self.now)
        elif not lease.wanted:
            lease.wanted = True
            if lease.state is State.WAITING:
                self.timers.set(lease, max(self.now, lease.not_before_ms))

    def _withdraw(self, name: str) -> None:
        lease = self.tasks.get(name)
        if lease is None:
            return
        lease.wanted = False
        if lease.state is State.HELD:
            self._stop(lease, "withdrawn")
        elif lease.state is State.REQUESTING:
            self._abandon_request(lease)
        elif lease.state in (State.WAITING, State.PRE_VOTE):
            self._remove(lease)

    def _yield(self, name: str) -> None:
        lease = self.tasks.get(name)
        if lease and lease.state is State.HELD:
            lease.not_before_ms = self.now + self._settings.lease_ms
            self._stop(lease, "given")

    def _remove(self, lease: TaskLease) -> None:
        self._active.discard(lease.name)
        self._contending.discard(lease.name)
        self.tasks.pop(lease.name, None)

    def _enter_waiting(self, lease: TaskLease, until_ms: float) -> None:
        """Schedule the next attempt, or remove a task that is no longer wanted."""
        lease.state = State.WAITING
        self._active.discard(lease.name)
        self._contending.discard(lease.name)
        lease.released_by.clear()
        if lease.wanted:
            self.timers.set(lease, max(until_ms, lease.not_before_ms))
        else:
            self._remove(lease)

    # -- pre-vote and request

    def _begin_ready_pre_votes(self) -> None:
        while self._ready and len(self._contending) < MAX_CONTENDING_TASKS:
            lease = self.tasks.get(self._ready.popleft())
            if lease and lease.state is State.WAITING and lease.wanted:
                self._begin_pre_vote(lease)

    def _begin_round(self, lease: TaskLease, state: State) -> None:
        """Begin a pre-vote or request round of this task."""
        lease.state = state
        lease.round = self.sessions.begin_round(self.now)
        lease.replies = {}
        self._active.add(lease.name)
        self._contending.add(lease.name)

    def _begin_pre_vote(self, lease: TaskLease) -> None:
        self._begin_round(lease, State.PRE_VOTE)
        lease.released_by.clear()
        self.output.send_pre_votes(lease)
        self.timers.set(lease, self.now + self.backoff.reply_timeout_ms)

    def _count_pre_votes(self, lease: TaskLease) -> None:
        in_favor = [voter for voter, r in lease.replies.items() if r.verdict is Verdict.WOULD_GRANT]
        if self._settings.is_majority(in_favor):
            self._begin_request(lease)
        elif len(lease.replies) == len(self._settings.all_voters):
            self._fail_pre_vote(lease)

    def _fail_pre_vote(self, lease: TaskLease) -> None:
        """Retry when enough voters may be able to grant the task, at the latest after about one lease."""
        lease.attempts += 1
        self._enter_waiting(lease, self.backoff.next_pre_vote_at_ms(lease, self.now))

    def _begin_request(self, lease: TaskLease) -> None:
        seen_fences = [reply.fence for reply in lease.replies.values()]
        highest = max([lease.highest_seen_fence, *seen_fences, *lease.released_by.values()])
        wall_ms = int(self._started_wall_ms + (self.now - self._started_ms))
        lease.fence = lease.target_fence = max(highest + 1, wall_ms)
        if lease.fence > MAX_FENCE:
            self.output.add(LogEvent("duty", f"{lease.name}: cannot request a fence above {highest}"))
            self._enter_waiting(lease, self.now + self._settings.lease_ms)
            return
        self._begin_round(lease, State.REQUESTING)
        lease.grants = {}
        lease.stale_voters.clear()
        for voter in self._settings.all_voters:
            self.output.send_request(voter, lease, lease.round)
        self.timers.set(lease, self.now + 2 * self.backoff.reply_timeout_ms)
        self.renewals.schedule(self.now)

    def _abandon_request(self, lease: TaskLease) -> None:
        lease.attempts += 1
        self.renewals.release(lease, self.now)
        self._enter_waiting(lease, self.now + self.backoff.after_failures_ms(lease))

    def _on_vote_reply(self, voter: str, reply: VoteReply) -> None:
        lease = self.tasks.get(reply.task)
        if reply.verdict is Verdict.GRANTED:
            self._on_grant_reply(voter, reply, lease)
            return
        if lease is None:
            return
        lease.highest_seen_fence = max(lease.highest_seen_fence, reply.fence)
        if reply.holder:
            lease.last_known_holder = reply.holder
        if lease.state is State.PRE_VOTE and reply.round == lease.round:
            lease.replies[voter] = reply
            self._count_pre_votes(lease)
        elif lease.state is State.REQUESTING and reply.round == lease.round:
            lease.replies[voter] = reply
            undecided = [name for name in self._settings.all_voters if name not in lease.replies]
            if not self._settings.is_majority(undecided):
                self._abandon_request(lease)
        elif lease.state is State.HELD and reply.verdict is Verdict.STALE_FENCE:
            granted_session = lease.grants.get(voter, NO_GRANT).session
            if reply.fence >= lease.target_fence and granted_session != self.sessions.by_voter[voter].session:
                lease.stale_voters.add(voter)

    def _on_grant_reply(self, voter: str, reply: VoteReply, lease: TaskLease | None) -> None:
        if not self._confirm_session(voter, reply.session, reply.round):
            return
        is_current = (
            lease is not None
            and lease.state in (State.REQUESTING, State.HELD)
            and reply.fence in (lease.fence, lease.target_fence)
        )
        if lease is not None and is_current:
            if lease.state is State.REQUESTING:
                lease.checkpoint.merge(reply.checkpoint_fence, reply.checkpoint_number, reply.checkpoint)
            self._add_grant(lease, voter, reply.fence)
            self._drop_expired_leases()
        elif lease is None or lease.state is not State.STOPPING:
            # A grant for a delayed request that no held lease uses: release it.
            self.renewals.release_unused_grant(voter, reply.fence, reply.task, self.now)

    def _on_task_released(self, voter: str, released: TaskReleased) -> None:
        lease = self.tasks.get(released.task)
        if lease is None or lease.state is not State.WAITING or not lease.wanted or self.now < lease.not_before_ms:
            return
        lease.released_by[voter] = released.fence
        lease.highest_seen_fence = max(lease.highest_seen_fence, released.fence)
        if released.queue_position:
            # Candidates earlier in the queue go first.
            delay_ms = released.queue_position * self.backoff.reply_timeout_ms / 4
            self.timers.set(lease, min(lease.timer_at_ms, self.now + delay_ms))
        elif self._settings.is_majority(lease.released_by):
            self._begin_request(lease)

    # -- holding

    def _count_grant_set(self, lease: TaskLease, change: int) -> None:
        """Update `_held_grant_sets`; called before and after the grants of a held task change."""
        if lease.state is State.HELD:
            grant_set = lease.grant_set
            self._held_grant_sets[grant_set] += change
            if not self._held_grant_sets[grant_set]:
                del self._held_grant_sets[grant_set]

    def _add_grant(self, lease: TaskLease, voter: str, fence: int) -> None:
        session = self.sessions.by_voter[voter].session
        previous = lease.grants.get(voter, NO_GRANT)
        granted_fence = max(fence, previous.fence) if previous.session == session else fence
        self._count_grant_set(lease, -1)
        lease.grants[voter] = VoterGrant(granted_fence, session)
        self._count_grant_set(lease, +1)
        lease.stale_voters.discard(voter)
        has_majority = self._settings.is_majority(lease.voters_granting(lease.target_fence))
        if lease.state is State.REQUESTING:
            if has_majority and self.sessions.expiry_ms(lease.grant_set) > self.now:
                self._become_holder(lease)
        elif lease.state is State.HELD and has_majority and lease.fence != lease.target_fence:
            lease.fence = lease.target_fence
            self.output.add(FenceRaised(lease.name, lease.fence))
        elif lease.state is State.HELD and previous.session != session:
            self._repeat_checkpoint(lease, (voter,))

    def _become_holder(self, lease: TaskLease) -> None:
        lease.state = State.HELD
        lease.attempts = 0
        lease.held_since_ms = self.now
        lease.timer_at_ms = NEVER_MS
        lease.checkpoint.unsaved_number = 0
        self._contending.discard(lease.name)
        self.output.closed_epoch = max(self.output.closed_epoch, self._settings.epoch)
        self._count_grant_set(lease, +1)
        self.renewals.add_missing_voters(lease)
        self.output.add(LeaseAcquired(lease.name, lease.fence, lease.checkpoint.value))
        self._repeat_checkpoint(lease, lease.grants)

    def _stop(self, lease: TaskLease, reason: str) -> None:
        """Request the end of the work within the remaining lease, which is no longer extended."""
        lease.work_ends_ms = self.sessions.expiry_ms(lease.grant_set)
        self._count_grant_set(lease, -1)
        lease.state = State.STOPPING
        self.output.add(StopWork(lease.name, lease.work_ends_ms, reason))
        self.timers.set(lease, lease.work_ends_ms + self._voter_margin_ms())

    def _expire(self, lease: TaskLease) -> None:
        """Report the lease as lost; the next attempt is delayed longer after repeated losses."""
        lease.not_before_ms = self.now + self.backoff.after_loss_ms(lease, self.now)
        self._count_grant_set(lease, -1)
        lease.work_ends_ms = self.now
        lease.state = State.STOPPING
        self.output.add(LeaseLost(lease.name, "not renewed by a majority of voters"))
        self.timers.set(lease, self.now + self._voter_margin_ms())

    def _voter_margin_ms(self) -> float:
        """Return how long a voter may keep a grant after the holder's lease has expired."""
        return self._settings.lease_ms - self._settings.holder_lease_ms

    def _on_work_ended(self, name: str) -> None:
        lease = self.tasks.get(name)
        if lease and lease.state is State.STOPPING:
            self._finish_stop(lease)

    def _finish_stop(self, lease: TaskLease) -> None:
        self.renewals.release(lease, self.now)
        self._enter_waiting(lease, self.now + self.backoff.after_stop_ms())

    # -- checkpoints

    def _save_checkpoint(self, event: SaveCheckpoint) -> None:
        if len(event.value) > MAX_CHECKPOINT_BYTES:
            raise ValueError(f"checkpoint of {len(event.value)} bytes; {MAX_CHECKPOINT_BYTES} at most")
        lease = self.tasks.get(event.task)
        if lease and lease.state in (State.HELD, State.STOPPING):
            lease.checkpoint.write(lease.fence, event.value)
            self.output.send_unsaved_checkpoint(lease)

    def _repeat_checkpoint(self, lease: TaskLease, voters: Iterable[str]) -> None:
        """Send the checkpoint to voters with a new grant, which may not have stored it."""
        if lease.checkpoint.value:
            lease.checkpoint.fence = max(lease.checkpoint.fence, lease.fence)
            self.output.send_checkpoint(lease, voters)

    def _on_checkpoint_written(self, voter: str, written: CheckpointWritten) -> None:
        lease = self.tasks.get(written.task)
        if lease is None or voter not in lease.grants:
            return
        if lease.checkpoint.on_stored(voter, written.number, self._settings):
            self.output.add(CheckpointSaved(lease.name, lease.checkpoint.value))

    # -- sessions

    def _confirm_session(self, voter: str, session: int, round_number: int) -> bool:
        """Extend a session on a reply; return False for a reply of an earlier session or to an unknown round."""
        sent_ms = self.sessions.sent_ms(round_number)
        current = self.sessions.by_voter[voter].session
        if session < current or sent_ms is None:
            return False
        if session > current:
            self.renewals.begin_session(voter, session)
        self.sessions.extend(voter, round_number, end_ms=sent_ms + self._settings.holder_lease_ms)
        return True

    def _on_session_renewed(self, voter: str, reply: SessionRenewed) -> None:
        view = self.sessions.by_voter[voter]
        if not reply.session:
            if reply.round > view.last_round and view.is_confirmed:
                self.renewals.begin_session(voter, view.session + 1)
            return
        if not self._confirm_session(voter, reply.session, reply.round):
            return
        if not self.sessions.is_count_check_due(voter, self.now):
            return
        known = sum(self.tasks[name].grants.get(voter, NO_GRANT).session == reply.session for name in self._active)
        known += sum(releasing == voter for releasing, _ in self.renewals.unacknowledged_releases)
        if self.sessions.has_unknown_grants(voter, reply.grant_count, known):
            # The voter keeps grants that this process doesn't use, which blocks other candidates.
            self.renewals.begin_session(voter, view.session + 1)
            self.sessions.discard_previous(voter)
            self.output.send_drop_session(voter)
            self._drop_expired_leases()

    # -- changes to the set of voters

    def _change_voters(self, settings: LeaseSettings) -> None:
        """Stop all work: held tasks must be granted again by majorities of the new sets."""
        if settings.epoch == self._settings.epoch:
            return
        active = [self.tasks[name] for name in self._active]
        held = [lease for lease in active if lease.state is State.HELD]
        for lease in held:
            self._count_grant_set(lease, -1)
        self._settings = settings
        self.sessions.change_voters(settings)
        self.renewals.change_voters(settings)
        self.output.settings = settings
        self.backoff.settings = settings
        voters = self.sessions.by_voter
        for lease in active:
            lease.grants = {voter: grant for voter, grant in lease.grants.items() if voter in voters}
        for lease in held:
            self._count_grant_set(lease, +1)
        for lease in held:
            self._stop(lease, "the set of voters is changing")
