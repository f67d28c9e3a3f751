"""Probes members and suspects those that don't answer (SWIM, 3.1 and 4; Lifeguard, IV-A).

Once a period one member is pinged.  If it doesn't answer in time, other members are requested to ping it over their
own links; if none of them gets an answer by the deadline, it is suspected.  Members that are absent or not yet
verified are pinged too, and are not suspected if they don't answer.

`FailureDetector` owns the outstanding probes and, for each, the number of helpers that have not replied.
"""

from __future__ import annotations

from typing import NamedTuple

from . import wire
from .context import Context, TimerKind
from .interface import Address
from .member import Member
from .member_frames import accusation_frame
from .member_table import MemberTable
from .probe_order import ProbeOrder
from .sender import Sender
from .state_changes import StateChanges
from .wire import Frame

MAX_INDIRECT_PROBES = 64  # outstanding probes on behalf of other members
NACK_TIMEOUT_RATIO = 0.8  # of the ack timeout, after which a helper sends a NACK (Lifeguard, IV-A)
PROBE_DEADLINE_RATIO = 0.95  # of the period, after which a probe and its indirect ones have failed
CONTACT_TIMEOUT_PERIODS = 2  # after which a probe that raises no suspicion is discarded
JOIN_CONTACTS = 3  # unseen members contacted in each gossip interval while no member is known
FAST_CONTACT_ATTEMPTS = 5  # of an unseen member, before it is contacted only by the retry timer


class Probe(NamedTuple):
    """A ping that has no answer yet."""

    target: bytes
    requested_by: bytes | None  # the member on whose behalf we probe, None for ourselves
    requested_number: int  # the probe's number at that member
    suspects_on_timeout: bool  # whether the target is suspected if it doesn't answer


class FailureDetector:
    """Sends probes and evaluates their answers and timeouts."""

    def __init__(
        self,
        context: Context,
        table: MemberTable,
        sender: Sender,
        changes: StateChanges,
        probe_order: ProbeOrder,
    ) -> None:
        self._context = context
        self._table = table
        self._sender = sender
        self._changes = changes
        self._probe_order = probe_order
        self._probes: dict[int, Probe] = {}
        self._missing_helpers: dict[int, int] = {}  # by probe: helpers that have sent neither ACK nor NACK

    def outstanding(self) -> list[Probe]:
        """Return the probes that have no answer yet.  For the explorer (`checker/three.py`)."""
        return list(self._probes.values())

    def missing_helpers(self) -> list[int]:
        """Return, for each probe with helpers, how many helpers have not replied.

        For the explorer (`checker/three.py`).
        """
        return list(self._missing_helpers.values())

    def discard_probes(self) -> None:
        """Discard all outstanding probes, after a pause of this process."""
        self._probes.clear()
        self._missing_helpers.clear()

    # -- direct probes

    def probe_next(self) -> None:
        """Ping the next member of this round, or start the next round if none is left."""
        settings = self._context.settings
        while (identifier := self._probe_order.take_next()) is not None:
            member = self._table.get(identifier)
            if member and member.address and member.is_up:
                number = self._ping(member, suspects_on_timeout=True)
                scale = 1 + self._context.health_penalty
                self._context.schedule(settings.ack_timeout_ms * scale, TimerKind.ACK_TIMEOUT, number)
                self._context.schedule(
                    settings.probe_period_ms * scale * PROBE_DEADLINE_RATIO, TimerKind.PROBE_DEADLINE, number
                )
                return
        self._probe_order.start_round(self._table.reachable)

    def on_ack_timeout(self, number: int) -> None:
        """Request indirect probes from other members, as a probe has had no answer in time."""
        probe = self._probes.get(number)
        if probe is None:
            return
        if not probe.suspects_on_timeout:
            del self._probes[number]
            return
        helper_count = self._context.settings.indirect_probes
        candidates = self._context.pick(self._table.reachable, helper_count + 1)
        helpers = [member for member in candidates if member.id != probe.target][:helper_count]
        if helpers:
            self._missing_helpers[number] = len(helpers)
        for helper in helpers:
            self._sender.send(helper, wire.ping_req(number, probe.target))

    def on_probe_deadline(self, number: int) -> None:
        """Suspect the target of a probe that neither it nor a helper has answered.

        Helpers that have not sent a NACK either indicate a fault of our own link: each raises our health penalty.
        """
        probe = self._probes.pop(number, None)
        missing = self._missing_helpers.pop(number, None)
        if probe is None:
            return
        self._context.adjust_health_penalty(1 if missing is None else missing)
        member = self._table.get(probe.target)
        if member and member.is_up:
            self._changes.suspect(member, member.incarnation, self._context.own.id)

    def on_ack(self, relay: Member, frame: Frame) -> None:
        """Process an ACK from the target itself, or from a helper that has probed it on our behalf."""
        probe = self._probes.get(frame.probe)
        if probe is None or probe.target != frame.subject:
            self._context.drop("late answer")
            return
        del self._probes[frame.probe]
        self._missing_helpers.pop(frame.probe, None)
        from_target = frame.subject == relay.id
        if from_target:
            relay.health_penalty = frame.health
            relay.contact_attempts = 0
        if probe.requested_by is None:
            if probe.suspects_on_timeout:
                self._context.adjust_health_penalty(-1)
            return
        requester = self._table.get(probe.requested_by)
        if requester and from_target:
            answer = wire.ack(probe.requested_number, probe.target, frame.age_units, frame.health)
            self._sender.send(requester, answer)

    def is_answer_of(self, member: Member, frame: Frame) -> bool:
        """Return whether an ACK answers an outstanding probe of this member."""
        probe = self._probes.get(frame.probe)
        return probe is not None and probe.target == member.id

    # -- indirect probes

    def on_ping_req(self, relay: Member, frame: Frame) -> None:
        """Probe a third member on behalf of `relay`."""
        target = self._table.get(frame.subject)
        outstanding = sum(probe.requested_by is not None for probe in self._probes.values())
        if target is None or not target.address or outstanding >= MAX_INDIRECT_PROBES:
            self._context.drop("can't try")
            return
        settings = self._context.settings
        number = self._context.random.getrandbits(64)
        self._probes[number] = Probe(target.id, relay.id, frame.probe, suspects_on_timeout=False)
        self._sender.send(target, wire.ping(number, target.id))
        self._context.schedule(settings.ack_timeout_ms * NACK_TIMEOUT_RATIO, TimerKind.NACK, number)
        self._context.schedule(CONTACT_TIMEOUT_PERIODS * settings.probe_period_ms, TimerKind.ACK_TIMEOUT, number)

    def on_nack(self, frame: Frame) -> None:
        """Process a NACK: the helper has no answer from the target so far, but our link to the helper works."""
        if self._missing_helpers.get(frame.probe, 0) > 0:
            self._missing_helpers[frame.probe] -= 1

    def on_nack_timer(self, number: int) -> None:
        """Tell the requester of an indirect probe that there is no answer yet."""
        probe = self._probes.get(number)
        requester = self._table.get(probe.requested_by) if probe and probe.requested_by else None
        if probe and requester:
            self._sender.send(requester, wire.nack(probe.requested_number, probe.target))

    # -- members that are absent or not verified

    def contact(self, member: Member, address: Address | None = None) -> None:
        """Ping a member without suspecting it if it doesn't answer; `address` as in `Sender.send`."""
        member.contacted_at_ms = self._context.now_ms
        member.contact_attempts += 1
        number = self._ping(member, suspects_on_timeout=False, address=address)
        wait_ms = CONTACT_TIMEOUT_PERIODS * self._context.settings.probe_period_ms
        self._context.schedule(wait_ms, TimerKind.ACK_TIMEOUT, number)

    def contact_unseen(self) -> None:
        """Contact configured members that have never been heard from, several at once while no member is known."""
        settings = self._context.settings
        no_member_known = self._table.up_count == 0
        wait_ms = settings.ack_timeout_ms if no_member_known else settings.probe_period_ms
        due = [
            member
            for member in self._table.unseen
            if member.contact_attempts < FAST_CONTACT_ATTEMPTS
            and self._context.now_ms - member.contacted_at_ms >= wait_ms
        ]
        for member in self._context.pick(due, JOIN_CONTACTS if no_member_known else 1):
            self.contact(member)

    def retry_absent(self) -> None:
        """Contact one absent member, in case a partition has healed or it is back at its configured address."""
        absent = [member for member in self._table.members.values() if member.address and not member.is_up]
        if not self._context.settings.learn_addresses:
            absent = [member for member in absent if member.configured]
        member = self._context.pick_one(absent)
        if member:
            try_configured = self._context.random.random() < 0.5
            self.contact(member, member.configured_address if try_configured else None)

    def _ping(self, member: Member, suspects_on_timeout: bool, address: Address | None = None) -> int:
        number = self._context.random.getrandbits(64)
        self._probes[number] = Probe(member.id, None, number, suspects_on_timeout)
        frames = wire.ping(number, member.id) + accusation_frame(self._context, member)
        self._sender.send(member, frames, address=address)
        return number
