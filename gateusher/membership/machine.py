"""One process's membership state machine: events in, actions out, no clock and no socket.

The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", 2002) with Lifeguard's refinements (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
Accurate Failure Detection", 2018):

- Failure detection (SWIM, 3.1): each period one member is pinged, by other members too if it doesn't answer.  Without
  an answer it is suspected, and has some time to refute that by raising its incarnation (SWIM, 4.2).
  See `failure_detector`, `suspicion` and `state_changes`.
- Dissemination (SWIM, 4.1): updates are piggybacked on pings and sent in gossip rounds.  See `dissemination`.
- Anti-entropy: tables are compared by digests with one member at a time.  See `anti_entropy`.

Rules that limit what a faulty part of the fleet can do:

- A process that was paused suspects nobody for that time.  If an event is handled later than an ack timeout after it
  was due, all timers are postponed by the delay, all probes are discarded and the local health penalty is raised.  A
  process that is always late thus declares nobody failed, and leaves that to the others.
- A report that a member has failed gives it the shortest suspicion timeout to refute it (`state_changes`).
- Nothing that a process reports is used until it has answered a probe of ours, and each of its datagrams is accepted
  once (`verification`).
- The bytes sent per second are limited, with a separate quota for probes (`sender`).
- Of two processes with one name the newer one keeps it (`name_conflicts`).

This module wires these parts together and dispatches events, timers and frames to them; it owns no other state.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import cast

from ..config.membership import Membership
from . import wire
from .anti_entropy import AntiEntropy
from .context import Context, TimerKind
from .dissemination import Dissemination
from .failure_detector import FailureDetector
from .interface import (
    SERIAL_MODULUS,
    Action,
    Address,
    Broadcast,
    DatagramReceived,
    DirectMessage,
    Event,
    KeysChanged,
    Leave,
    MemberState,
    PeersChanged,
    SendDirect,
    Tick,
    is_newer,
    member_id,
)
from .member import Member
from .member_frames import accusation_frame, own_ack_frame
from .member_table import MemberTable
from .member_views import MemberView, member_views
from .name_conflicts import NameConflicts
from .probe_order import ProbeOrder
from .sender import Sender
from .state_changes import StateChanges
from .updates import UpdateHandler
from .verification import Verifier
from .wire import Frame, FrameKind, Header, WireError

MIN_REPEAT_MS = 1.0  # between two expirations of a timer whose interval the settings only require to be above 0
MIN_PAUSE_MS = 100.0  # a shorter delay of an event does not count as a pause of the process
NEVER_DUE_MS = 1e18


class MembershipMachine:
    """The membership state of one process.  The same events at the same times give the same actions.

    `incarnation` is the initial one, best taken from a wall clock so that it is newer than those of an earlier
    process; `instance` is a random number above 0 that distinguishes this process from any other of its name.
    """

    def __init__(self, settings: Membership, incarnation: int, instance: int, seed: int, now_ms: float) -> None:
        own = Member(
            id=member_id(settings.name),
            name=settings.name,
            address=settings.advertise,
            configured=True,
            state=MemberState.ALIVE,
            incarnation=incarnation % SERIAL_MODULUS,
            instance=instance,
            started_at_ms=now_ms,
            state_since_ms=now_ms,
        )
        self.settings = settings
        self.context = Context(settings, own, seed, now_ms)
        self.table = MemberTable(self.context)
        self.sender = Sender(self.context, self.table)
        self.probe_order = ProbeOrder(self.context)
        self._changes = StateChanges(self.context, self.table, self.probe_order)
        self.detector = FailureDetector(self.context, self.table, self.sender, self._changes, self.probe_order)
        name_conflicts = NameConflicts(self.context, self._changes)
        self._updates = UpdateHandler(self.context, self.table, self._changes, name_conflicts)
        self._verifier = Verifier(self.context, self.table, self.sender, self._changes, self.detector)
        self._dissemination = Dissemination(self.context, self.table, self.sender)
        self._anti_entropy = AntiEntropy(self.context, self.table, self.sender)
        self.table.set_peers(settings.peers)
        self._schedule_first_timers()

    @property
    def id(self) -> bytes:
        """Our own id on the wire."""
        return self.context.own.id

    @property
    def instance(self) -> int:
        """The number that distinguishes this process from others of its name."""
        return self.context.own.instance

    @property
    def incarnation(self) -> int:
        """Our own incarnation."""
        return self.context.own.incarnation

    @property
    def health_penalty(self) -> int:
        """Our local health score, 0 is healthy (Lifeguard, IV-A)."""
        return self.context.health_penalty

    @property
    def displaced(self) -> bool:
        """Whether a newer process owns our name, so that this one no longer participates."""
        return self.context.displaced

    @property
    def members(self) -> dict[bytes, Member]:
        """All other members by id."""
        return self.table.members

    @property
    def up_count(self) -> int:
        """How many other members are up."""
        return self.table.up_count

    @property
    def sent(self) -> Counter[str]:
        """Bytes and datagrams sent, and how many were held back by the rate limit."""
        return self.sender.sent

    @property
    def dropped(self) -> Counter[str]:
        """Dropped datagrams and frames, by reason."""
        return self.context.dropped

    @property
    def now_ms(self) -> float:
        """Time of the last event."""
        return self.context.now_ms

    @property
    def due_ms(self) -> float:
        """When the next Tick has to be handled."""
        return NEVER_DUE_MS if self.context.stopped else self.context.timers.next_at_ms

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions.  Raises ValueError for a message that is too long."""
        self.context.now_ms = max(self.context.now_ms, now_ms)
        self.context.actions = []
        late_ms = self.context.now_ms - self.due_ms
        if late_ms > max(MIN_PAUSE_MS, self.settings.ack_timeout_ms):
            self._on_pause(late_ms)
        self._dispatch(event)
        while not self.context.stopped:
            expired = self.context.timers.pop_due(self.context.now_ms)
            if expired is None:
                break
            self._on_timer(*expired)
        return self.context.actions

    def views(self) -> Iterator[MemberView]:
        """Yield a view of each member, our own first."""
        return member_views(self.context, self.table)

    def _dispatch(self, event: Event) -> None:
        match event:
            case DatagramReceived():
                self._on_datagram(event)
            case Broadcast():
                self._dissemination.broadcast(event)
            case SendDirect():
                self._dissemination.send_direct(event)
            case Leave():
                self._leave()
            case KeysChanged():
                self.context.keys = event.keys
            case PeersChanged():
                self.table.set_peers(event.peers)
            case Tick():
                pass

    def _leave(self) -> None:
        if not self.context.stopped:
            self._dissemination.announce_leave()
            self.context.leaving = True

    # -- time

    def _schedule_first_timers(self) -> None:
        """Start each periodic timer at a random time, so that processes that start together are not synchronized."""
        for kind, period_ms in (
            (TimerKind.PROBE, self.settings.probe_period_ms),
            (TimerKind.GOSSIP, self.settings.gossip_interval_ms),
            (TimerKind.SYNC, self.settings.probe_period_ms),
            (TimerKind.RETRY, self.settings.retry_interval_ms),
        ):
            self.context.schedule(period_ms * self.context.random.random(), kind)

    def _on_pause(self, late_ms: float) -> None:
        """Compensate for a pause of this process: no probe and no refutation by a member times out by it."""
        self.context.timers.postpone(late_ms)
        self.detector.discard_probes()
        for member in self.members.values():
            if member.suspicion:
                member.suspicion.started_at_ms += late_ms
        self.context.adjust_health_penalty(1)

    def _on_timer(self, kind: TimerKind, subject: int | bytes | None) -> None:
        match kind:
            case TimerKind.PROBE:
                self.context.schedule(
                    self.settings.probe_period_ms * (1 + self.context.health_penalty), TimerKind.PROBE
                )
                self.detector.probe_next()
            case TimerKind.GOSSIP:
                self.context.schedule(self.settings.gossip_interval_ms, TimerKind.GOSSIP)
                self.detector.contact_unseen()
                self._dissemination.gossip()
            case TimerKind.SYNC:
                self.context.schedule(max(MIN_REPEAT_MS, self._sync_wait_ms()), TimerKind.SYNC)
                self._anti_entropy.sync()
            case TimerKind.RETRY:
                wait_ms = self.settings.retry_interval_ms * (0.5 + self.context.random.random())
                self.context.schedule(max(MIN_REPEAT_MS, wait_ms), TimerKind.RETRY)
                self.detector.retry_absent()
                self.table.remove_expired()
            case TimerKind.ACK_TIMEOUT:
                self.detector.on_ack_timeout(cast(int, subject))
            case TimerKind.PROBE_DEADLINE:
                self.detector.on_probe_deadline(cast(int, subject))
            case TimerKind.NACK:
                self.detector.on_nack_timer(cast(int, subject))
            case TimerKind.SUSPICION:
                self._changes.end_suspicion(cast(bytes, subject))

    def _sync_wait_ms(self) -> float:
        if self.table.up_count == 0:
            return self.settings.probe_period_ms
        return self.settings.sync_interval_ms * (0.5 + self.context.random.random())

    # -- datagrams

    def _on_datagram(self, event: DatagramReceived) -> None:
        if self.context.stopped:
            self.context.drop("over")
            return
        try:
            header, body = wire.unseal(self.context.keys, event.data)
        except WireError as error:
            self.context.drop(str(error))
            return
        if header.sender == self.id:
            self._verifier.on_own_name(header, event.source)
            return
        try:
            frames, unknown = wire.parse_frames(body)
        except WireError as error:
            self.context.drop(str(error))
            return
        if unknown:
            self.context.dropped["newer frames"] += unknown
        member = self._verifier.find_sender(header, frames, event.source)
        if member is None:
            self.context.drop("stranger")
            return
        if member.replay_window is None or member.instance != header.instance:
            if self._verifier.verify(member, header, frames, event.source):
                self._on_frames(member, header, frames, event.source)
            return
        if not member.replay_window.accept(header.sequence):
            self.context.drop("replay")
            return
        self._on_frames(member, header, frames, event.source)

    def _on_frames(self, member: Member, header: Header, frames: list[Frame], source: Address) -> None:
        """Process the frames of a verified process."""
        if self.settings.learn_addresses and member.address != source:
            self.table.set_address(member, source)
        if member.state is MemberState.UNSEEN or is_newer(header.incarnation, member.incarnation):
            self._changes.mark_alive(member, header.incarnation, header.instance)
        member.heard_at_ms = self.context.now_ms
        for frame in frames:
            self._on_frame(member, frame)

    def _on_frame(self, relay: Member, frame: Frame) -> None:
        match frame.kind:
            case FrameKind.PING:
                self._on_ping(relay, frame)
            case FrameKind.ACK:
                self.detector.on_ack(relay, frame)
            case FrameKind.PING_REQ:
                self.detector.on_ping_req(relay, frame)
            case FrameKind.NACK:
                self.detector.on_nack(frame)
            case FrameKind.RECORD:
                self._updates.on_record(relay, frame)
            case FrameKind.ALIVE:
                self._updates.on_alive(frame)
            case FrameKind.SUSPECT | FrameKind.FAILED:
                self._updates.on_accusation(frame)
            case FrameKind.LEFT:
                self._updates.on_left(frame)
            case FrameKind.DIGEST:
                self._anti_entropy.on_digest(relay, frame)
            case FrameKind.BROADCAST:
                self._dissemination.on_broadcast(relay, frame)
            case FrameKind.DIRECT:
                self.context.actions.append(DirectMessage(relay.name, frame.message_kind, frame.data))

    def _on_ping(self, relay: Member, frame: Frame) -> None:
        if frame.subject != self.id:
            self.context.drop("not for us")
            return
        self.sender.send(relay, own_ack_frame(self.context, frame.probe) + accusation_frame(self.context, relay))
