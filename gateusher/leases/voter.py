"""A voter (acceptor): grants each task to one process at a time, and each fence to at most one process.

A grant of a task under a fence is like a vote in a term (Raft): each fence is granted to one process at most, the
highest fence is on the disk before the reply is sent, and a majority of grants makes a holder.  Grants expire with
their session; there is one session for each process that holds a task (`voter_sessions`).

Safety depends on these rules:

* A session starts when the voter receives the message.  The holder counts from before it sent the message, and its
  lease is shorter by the largest difference in clock rate (PaxosLease, 2012).  So it expires at the holder before it
  does at any voter of its majority.
* For one lease after its start a voter makes no new grants; by then all grants of an earlier incarnation have
  expired.  A process whose grant is in the stored state may renew it at once.
* A voter whose stored state is missing, damaged, truncated or older than other voters have seen is quarantined
  (`voter_recovery`).
* The grants of a task are discarded only by raising the fence floor, up to which no fence is granted.
* After a disk error this incarnation writes nothing and stops voting; its earlier grants stay valid (`voter_output`).

`Voter` owns the durable state (`voter_state`), the sessions and the queues of waiting candidates.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .interface import (
    MAX_TASK_NAME_BYTES,
    Action,
    DiskFailed,
    Event,
    LeaseSettings,
    MessageReceived,
    RecordStored,
    Tick,
    VotersChanged,
)
from .voter_output import VoterOutput
from .voter_recovery import PeerStatuses
from .voter_sessions import Session, SessionTable
from .voter_state import NO_CHECKPOINT, Grant, RecoveredState, StoredCheckpoint, VoterState
from .wire import (
    CheckpointWritten,
    DropSession,
    LeaseRequest,
    Message,
    PreVote,
    ReleaseAcknowledged,
    ReleaseLease,
    RenewSession,
    SessionRenewed,
    TaskReleased,
    Verdict,
    VoteReply,
    VoterStatus,
    WriteCheckpoint,
    decode,
)

MAX_WAITERS_PER_TASK = 8  # candidates notified when a busy task is released
MAX_TASKS_WITH_WAITERS = 4096
NONCE_BITS = 20  # low bits of an incarnation, random so that two runs with the same start count differ
STATUS_REQUESTS_PER_LEASE = 4  # sent by a quarantined voter
NO_INSTANCE = -1  # a pre-vote has no instance; matches no process


class Decision(NamedTuple):
    """The reply to a lease request or pre-vote, and the record that must be stored before it is sent."""

    verdict: Verdict
    wait_ms: float = 0.0
    after_record: int = 0


class HeldGrant(NamedTuple):
    """A task held under this voter's grant, which expires after `remaining_ms`."""

    task: str
    grant: Grant
    remaining_ms: float


class Voter:
    """One voter.  Pure: the same events at the same times produce the same actions.

    The incarnation differs from any earlier one: its high bits count the starts if there is a disk, otherwise they
    are the wall clock's milliseconds (`wall_ms`); its low bits are `nonce`, a random number.
    """

    def __init__(
        self, settings: LeaseSettings, recovered: RecoveredState, wall_ms: int, nonce: int, now: float
    ) -> None:
        self.settings = settings
        self.now = now
        self.state = VoterState.recover(recovered)
        # A complete folder may still belong to a quarantined voter.
        self.state.trusted = self.state.trusted and settings.durable and recovered.complete
        self._nonce = nonce % (1 << NONCE_BITS)
        previous_count = self.state.incarnation >> NONCE_BITS
        count = previous_count + 1 if settings.durable else wall_ms
        self.state.incarnation = (count << NONCE_BITS) | self._nonce
        self.sessions = SessionTable(self.state, first_number=self.state.incarnation)
        self.output = VoterOutput(settings.durable)
        self.peers = PeerStatuses()
        self.waiters: dict[str, dict[str, None]] = {}  # candidates to notify by task, in arrival order
        self.grants_from_ms = now + settings.lease_ms
        self._closed_at_ms = now
        self._status_request_at_ms = now
        self._start_record = 0  # must be stored before this incarnation votes; 0 before the first event

    def snapshot(self) -> bytes:
        """Return the whole state as one record."""
        return self.state.snapshot()

    @property
    def disk_error(self) -> str:
        """Return the error that stopped the use of the disk; "" for none."""
        return self.output.disk_error

    @property
    def can_vote(self) -> bool:
        """Return whether this voter may make or renew grants."""
        if not self.state.trusted or self.disk_error:
            return False
        return self._start_record > 0 and self.output.is_stored(self._start_record)

    @property
    def due(self) -> float:
        """Return when the next Tick is due."""
        if not self._start_record:
            return self.now
        if self.state.trusted or self.disk_error:
            return self.now + self.settings.lease_ms
        if self.now < self.grants_from_ms:
            return min(self._status_request_at_ms, self.grants_from_ms)
        return self._status_request_at_ms

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the resulting actions."""
        self.now = max(self.now, now)
        if not self._start_record:
            self._start()
        if isinstance(event, MessageReceived):
            message = decode(event.data)
            if message:
                self._receive(event.origin, message)
        elif isinstance(event, RecordStored):
            self.output.on_stored(event.number)
        elif isinstance(event, DiskFailed):
            self.output.on_disk_failed(event.reason)
            self.output.log("vote", f"voting is disabled until the next start: {event.reason}")
        elif isinstance(event, VotersChanged):
            self._change_voters(event.settings)
        elif isinstance(event, Tick):
            self.sessions.end_expired(self.now)
        if not self.state.trusted and not self.disk_error:
            if self.now >= self._status_request_at_ms:
                self._request_statuses()
            self._leave_quarantine()
        return self.output.take()

    def _receive(self, origin: str, message: Message) -> None:
        if isinstance(message, VoterStatus):
            self._on_voter_status(origin, message)
        elif isinstance(message, PreVote):
            self._on_pre_vote(origin, message)
        elif isinstance(message, LeaseRequest):
            self._on_lease_request(origin, message)
        elif isinstance(message, RenewSession):
            self._on_renew_session(origin, message)
        elif isinstance(message, ReleaseLease):
            self._on_release_lease(origin, message)
        elif isinstance(message, WriteCheckpoint):
            self._on_write_checkpoint(origin, message)
        elif isinstance(message, DropSession):
            self.sessions.end((origin, message.instance))

    # -- start, quarantine and changes to the set of voters

    def _start(self) -> None:
        self.output.store("trust", self.state.trusted)
        self._start_record = self.output.store("life", self.state.incarnation)
        self._request_statuses()

    def _request_statuses(self) -> None:
        self._status_request_at_ms = self.now + self.settings.lease_ms / STATUS_REQUESTS_PER_LEASE
        for name in self.settings.all_voters:
            if name != self.settings.name:
                self.output.send(name, self._status_for(name, wants_reply=True), self._start_record)

    def _status_for(self, voter: str, wants_reply: bool) -> VoterStatus:
        state = self.state
        return VoterStatus(
            incarnation=state.incarnation,
            seen_incarnation=state.seen_incarnations.get(voter, 0),
            votes=self.can_vote,
            highest_fence=state.highest_fence,
            min_epoch=state.min_epoch,
            closed_epoch=state.closed_epoch,
            wants_reply=wants_reply,
        )

    def _on_voter_status(self, origin: str, status: VoterStatus) -> None:
        state = self.state
        if origin not in self.settings.all_voters or origin == self.settings.name:
            return
        after_record = self._start_record
        if status.incarnation > state.seen_incarnations.get(origin, 0):
            state.seen_incarnations[origin] = status.incarnation
            after_record = self.output.store("seen", origin, status.incarnation)
        if status.wants_reply:
            self.output.send(origin, self._status_for(origin, wants_reply=False), after_record)
        if status.seen_incarnation == state.incarnation:
            self.peers.by_voter[origin] = status
            self._leave_quarantine()
        elif status.seen_incarnation >> NONCE_BITS >= state.incarnation >> NONCE_BITS:
            # The folder is an older copy, or another process votes under the same name.
            self.output.log(
                "vote", f"{origin} has seen a later incarnation of this voter: its stored state is outdated"
            )
            state.trusted = False
            count = (status.seen_incarnation >> NONCE_BITS) + 1
            state.incarnation = (count << NONCE_BITS) | self._nonce
            self.sessions.renumber(state.incarnation)
            self.peers.by_voter.clear()
            self._start()

    def _leave_quarantine(self) -> None:
        """Resume voting once the other voters have reported enough to replace lost state."""
        state, settings, peers = self.state, self.settings, self.peers
        if state.trusted or self.now < self.grants_from_ms or not peers.are_sufficient(settings):
            return
        self._raise_floor(max(state.fence_floor, state.highest_fence, peers.highest_fence()))
        state.min_epoch = max(state.min_epoch, peers.min_epoch())
        self._close_epoch(max(state.closed_epoch, peers.closed_epoch()))
        if state.closed_epoch < settings.epoch - 1:
            if settings.epoch > 1 and not settings.previous_voters:
                self.output.log(
                    "voters", f"step {settings.epoch} must follow a completed step with `before`: not voting"
                )
                return
            self._close_epoch(settings.epoch - 1)
        state.trusted = True
        self._start_record = self.output.store("trust", True)
        if len(settings.all_voters) > 1 and not peers.include_voting_peer(settings):
            self.output.log("vote", "all voters have lost their state: new fences are based on the wall clock")

    def _raise_floor(self, fence: int) -> None:
        if fence > self.state.fence_floor:
            self.state.raise_floor(fence)
            self.output.store("floor", "", fence)

    def _close_epoch(self, epoch: int) -> None:
        if epoch > self.state.closed_epoch:
            self.state.closed_epoch = epoch
            self._closed_at_ms = self.now
            self.output.store("epoch", self.state.min_epoch, epoch)

    def _change_voters(self, settings: LeaseSettings) -> None:
        self.settings = settings
        self.output.durable = settings.durable
        text = f"step {settings.epoch}: {', '.join(settings.voters)}"
        if settings.previous_voters:
            text += f", and before {', '.join(settings.previous_voters)}"
        self.output.log("voters", text)

    # -- decisions

    def _is_epoch_allowed(self, epoch: int) -> bool:
        """Return whether requests of this epoch are granted.

        An epoch begins one lease after the previous one was closed: all leases under an earlier epoch have expired.
        """
        state = self.state
        if epoch < state.min_epoch:
            return False
        is_next = epoch == state.closed_epoch + 1
        return epoch <= state.closed_epoch or (is_next and self.now >= self._closed_at_ms + self.settings.lease_ms)

    def _decide_availability(self, origin: str, instance: int, epoch: int, task: str) -> Decision:
        """Decide whether a task may be granted to this process under a new fence."""
        if not self.can_vote or not 0 < len(task.encode()) <= MAX_TASK_NAME_BYTES:
            return Decision(Verdict.ABSTAIN)
        if not self._is_epoch_allowed(epoch):
            return Decision(Verdict.WRONG_EPOCH)
        is_own = self.state.is_granted_to(task, origin, instance)
        session = self._live_session(task)
        if session and not is_own:
            return Decision(Verdict.BUSY, session.expires_ms - self.now)
        if self.now < self.grants_from_ms and not (is_own and session):
            return Decision(Verdict.BUSY, self.grants_from_ms - self.now)
        return Decision(Verdict.WOULD_GRANT)

    def _live_session(self, task: str) -> Session | None:
        return self.sessions.live(self.state.grants.get(task), self.now)

    def _on_pre_vote(self, origin: str, pre_vote: PreVote) -> None:
        task = pre_vote.task
        decision = self._decide_availability(origin, NO_INSTANCE, pre_vote.epoch, task)
        if decision.verdict is Verdict.BUSY:
            self._add_waiter(task, origin)
        reply = VoteReply(
            round=pre_vote.round,
            verdict=decision.verdict,
            session=0,
            fence=self.state.highest_fence_of(task),
            wait_ms=round(decision.wait_ms) + 1,
            task=task,
            holder=self.holder(task),
        )
        self.output.send(origin, reply)

    def _on_lease_request(self, origin: str, request: LeaseRequest) -> None:
        task = request.task
        highest = self.state.highest_fence_of(task)
        decision = self._decide_request(origin, request, highest)
        if decision.verdict is Verdict.GRANTED:
            session = self.sessions.get((origin, request.instance))
            session_number = session.number if session else 0
            fence = request.fence
            checkpoint = self.state.checkpoints.get(task, NO_CHECKPOINT)
        else:
            session_number = 0
            fence = highest
            checkpoint = NO_CHECKPOINT
        reply = VoteReply(
            round=request.round,
            verdict=decision.verdict,
            session=session_number,
            fence=fence,
            wait_ms=round(decision.wait_ms),
            task=task,
            holder="",
            checkpoint_fence=checkpoint.fence,
            checkpoint_number=checkpoint.number,
            checkpoint=checkpoint.value,
        )
        self.output.send(origin, reply, decision.after_record)

    def _decide_request(self, origin: str, request: LeaseRequest, highest: int) -> Decision:
        """Decide on a lease request, and make the grant if it is accepted."""
        task, fence = request.task, request.fence
        if request.lease_ms > self.settings.lease_ms:
            self.output.log("vote", f"{origin} requested a lease longer than the configured lease of this voter")
            return Decision(Verdict.ABSTAIN)
        if not self.can_vote or not task:
            return Decision(Verdict.ABSTAIN)
        if not self._is_epoch_allowed(request.epoch):
            return Decision(Verdict.WRONG_EPOCH)
        if self._is_duplicate(origin, request, highest):
            # The grant's record is among those so far, but may not be on the disk yet.
            after_record = self.output.last_number
            self._attach_session(request)
            return Decision(Verdict.GRANTED, after_record=after_record)
        if fence <= highest:
            return Decision(Verdict.STALE_FENCE)
        decision = self._decide_availability(origin, request.instance, request.epoch, task)
        if decision.verdict is not Verdict.WOULD_GRANT:
            return decision
        if task not in self.state.grants and not self._ensure_capacity():
            return Decision(Verdict.ABSTAIN)
        return Decision(Verdict.GRANTED, after_record=self._grant(origin, request))

    def _is_duplicate(self, origin: str, request: LeaseRequest, highest: int) -> bool:
        """Return whether the process already has the requested grant."""
        grant = self.state.grants.get(request.task)
        if grant is None or grant.released or not self.state.is_granted_to(request.task, origin, request.instance):
            return False
        return request.fence == highest == grant.fence

    def _grant(self, origin: str, request: LeaseRequest) -> int:
        """Grant a task and return the number of its record."""
        state, task, fence = self.state, request.task, request.fence
        self.sessions.detach(task)
        state.min_epoch = max(state.min_epoch, request.epoch)
        state.grants[task] = Grant(fence, origin, request.instance)
        state.highest_fence = max(state.highest_fence, fence)
        self._attach_session(request)
        self._remove_waiter(task, origin)
        return self.output.store("grant", task, fence, origin, request.instance, state.min_epoch)

    def _attach_session(self, request: LeaseRequest) -> None:
        self.sessions.attach(request.task, self.now, request.lease_ms)
        self._close_reported_epoch(request.closed_epoch)

    def _close_reported_epoch(self, epoch: int) -> None:
        """Close the epoch that a holder reported as closed, unless it is newer than the settings."""
        if epoch <= self.settings.epoch:
            self._close_epoch(epoch)

    def _ensure_capacity(self) -> bool:
        """Return whether one more task fits; if needed, discard one not held and raise the floor to its fence."""
        state = self.state
        if len(state.grants) < self.settings.max_remembered_tasks:
            return True
        for task, grant in state.grants.items():
            if not self.sessions.live(grant, self.now):
                self.sessions.detach(task)
                del state.grants[task]
                state.checkpoints.pop(task, None)
                state.raise_floor(grant.fence)
                self.output.store("floor", task, state.fence_floor)
                return True
        self.output.log(
            "vote", f"{self.settings.max_remembered_tasks} duties are held, which is the limit: rejecting a new one"
        )
        return False

    # -- messages from holders

    def _on_renew_session(self, origin: str, renewal: RenewSession) -> None:
        key = (origin, renewal.instance)
        session = self.sessions.get(key)
        if session is None or session.expires_ms <= self.now:
            self.sessions.end(key)
            self.output.send(origin, SessionRenewed(renewal.round, 0, 0))
            return
        too_long = renewal.lease_ms > self.settings.lease_ms
        if not self.can_vote or too_long or renewal.epoch < self.state.min_epoch:
            return  # the session is not extended and expires
        session.expires_ms = max(session.expires_ms, self.now + renewal.lease_ms)
        self._close_reported_epoch(renewal.closed_epoch)
        self.output.send(origin, SessionRenewed(renewal.round, session.number, len(session.tasks)))

    def _on_release_lease(self, origin: str, release: ReleaseLease) -> None:
        """Release a grant for good: a delayed request under its fence must not renew it."""
        state, task, fence = self.state, release.task, release.fence
        grant = state.grants.get(task)
        if grant and state.is_granted_to(task, origin, release.instance) and fence >= grant.fence:
            was_held = self._live_session(task) is not None
            self.sessions.detach(task)
            state.grants[task] = Grant(fence, origin, release.instance, session=0, released=True)
            state.highest_fence = max(state.highest_fence, fence)
            if was_held:
                self._notify_waiters(task)
        self.output.send(origin, ReleaseAcknowledged(fence, task))

    def _on_write_checkpoint(self, origin: str, message: WriteCheckpoint) -> None:
        """Store a checkpoint from the process with the highest fence; ignore other processes'."""
        state, task = self.state, message.task
        grant = state.grants.get(task)
        if not self.can_vote or grant is None or not state.is_granted_to(task, origin, message.instance):
            return
        if message.fence != grant.fence or grant.released:
            return
        after_record = self.output.last_number
        stored = state.checkpoints.get(task, NO_CHECKPOINT)
        if (message.fence, message.number) > (stored.fence, stored.number):
            checkpoint = StoredCheckpoint(message.fence, message.number, message.value)
            state.checkpoints[task] = checkpoint
            after_record = self.output.store("mark", task, *checkpoint)
        self.output.send(origin, CheckpointWritten(message.fence, message.number, task), after_record)

    # -- candidates waiting for a task

    def _add_waiter(self, task: str, candidate: str) -> None:
        if task not in self.waiters and len(self.waiters) >= MAX_TASKS_WITH_WAITERS:
            return
        queue = self.waiters.setdefault(task, {})
        if len(queue) < MAX_WAITERS_PER_TASK:
            queue.setdefault(candidate)

    def _remove_waiter(self, task: str, candidate: str) -> None:
        queue = self.waiters.get(task)
        if queue:
            queue.pop(candidate, None)
            if not queue:
                del self.waiters[task]

    def _notify_waiters(self, task: str) -> None:
        for position, candidate in enumerate(self.waiters.pop(task, {})):
            self.output.send(candidate, TaskReleased(self.state.highest_fence_of(task), position, task))

    # -- reporting

    def holder(self, task: str) -> str:
        """Return the process that holds a task under this voter's grant; "" for none."""
        grant = self.state.grants.get(task)
        return grant.holder if grant and self._live_session(task) else ""

    def held_grants(self) -> Iterable[HeldGrant]:
        """Yield the tasks held under this voter's grants, sorted by name."""
        for task in sorted(self.state.grants):
            session = self._live_session(task)
            if session:
                yield HeldGrant(task, self.state.grants[task], session.expires_ms - self.now)
