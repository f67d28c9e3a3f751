"""Verifies the processes that send to us: nothing they report is used until they have answered a probe.

Old datagrams stay correctly signed forever; a process that can't answer a probe has ended, or isn't the one it claims
to be.  Once a process is verified, its replay window accepts each of its datagrams once.
"""

from __future__ import annotations

from . import wire
from .context import Context
from .failure_detector import FailureDetector
from .interface import Address, is_newer, member_id
from .member import MAX_UNVERIFIED_PINGS, Member
from .member_frames import own_ack_frame, record_frame
from .member_table import MemberTable
from .name_conflicts import is_older
from .replay_window import ReplayWindow
from .sender import Sender
from .state_changes import StateChanges
from .wire import Frame, FrameKind, Header

UNVERIFIED_PINGS_PER_PERIOD = 10.0
CONFLICT_PERIODS = 3  # a process that was heard from within these is considered running


class Verifier:
    """Decides whether a datagram's sender is the process that owns its name now; it owns no state of its own."""

    def __init__(
        self,
        context: Context,
        table: MemberTable,
        sender: Sender,
        changes: StateChanges,
        detector: FailureDetector,
    ) -> None:
        self._context = context
        self._table = table
        self._sender = sender
        self._changes = changes
        self._detector = detector

    def on_own_name(self, header: Header, source: Address) -> None:
        """Drop a datagram that has our own name; the records of verified members decide which process owns it."""
        if header.instance == self._context.own.instance:
            self._context.drop("self")
            self._context.log_once("own address", f"{source[0]}:{source[1]} is an address of this process itself")
            return
        self._context.drop("namesake")
        name = self._context.own.name
        self._context.log_once("name", f"another process uses {name!r} from {source[0]}:{source[1]}")

    def find_sender(self, header: Header, frames: list[Frame], source: Address) -> Member | None:
        """Return the sender's record, None if it has none with an address.

        If addresses are learned, an unknown sender is added with its source address.
        """
        member = self._table.get(header.sender)
        if member and member.address:
            return member
        if not self._context.settings.learn_addresses:
            return None
        if member is None:
            name = _reported_name(header, frames)
            if not name or not self._table.ensure_capacity(evict_unverified=True):
                return None
            member = self._table.add(header.sender, name, source)
        self._table.set_address(member, source)
        return member

    def verify(self, member: Member, header: Header, frames: list[Frame], source: Address) -> bool:
        """Return whether this datagram verifies the sender, by answering a probe of ours.

        Otherwise a ping is answered with no more bytes than it had, a few at once and UNVERIFIED_PINGS_PER_PERIOD
        after that, and the sender is probed.
        """
        for frame in frames:
            if (
                frame.kind == FrameKind.ACK
                and frame.subject == member.id
                and self._detector.is_answer_of(member, frame)
            ):
                return self._accept_process(member, header, frame, source)
        self._context.drop("unproven")
        self._answer_unverified(member, frames, source)
        return False

    def _answer_unverified(self, member: Member, frames: list[Frame], source: Address) -> None:
        context = self._context
        settings = context.settings
        refill = (
            UNVERIFIED_PINGS_PER_PERIOD * (context.now_ms - member.unverified_pings_at_ms) / settings.probe_period_ms
        )
        member.unverified_pings_left = min(MAX_UNVERIFIED_PINGS, member.unverified_pings_left + refill)
        member.unverified_pings_at_ms = context.now_ms
        if member.unverified_pings_left < 1.0:
            return
        for frame in frames:
            if frame.kind == FrameKind.PING and frame.subject == context.own.id:
                member.unverified_pings_left -= 1.0
                self._sender.send(member, own_ack_frame(context, frame.probe), address=source, piggyback=False)
                break
        wait_ms = min(settings.ack_timeout_ms, settings.gossip_interval_ms)
        if context.now_ms - member.contacted_at_ms >= wait_ms and self._sender.has_spare_probe_capacity():
            self._detector.contact(member, source)

    def _accept_process(self, member: Member, header: Header, answer: Frame, source: Address) -> bool:
        """Record the process that answered as the owner of its name; return False if another one keeps the name."""
        context = self._context
        started_at_ms = context.now_ms - answer.age_units * wire.AGE_UNIT_MS
        is_other_process = member.instance not in (0, header.instance)
        if is_other_process and self._owner_still_runs(member):
            context.log_once("name", f"two processes use {member.name!r}; the newer one keeps it")
            if is_older(started_at_ms, header.instance, member.started_at_ms, member.instance):
                self._send_record(member, source)
                return False
        if is_other_process and not is_newer(header.incarnation, member.incarnation):
            # The wall clock that its first incarnation came from was set back after the earlier process started.
            # Others would consider the old record the newer one, so it first has to raise its incarnation above that.
            self._send_record(member, source)
            return False
        member.replay_window = ReplayWindow(header.sequence)
        member.started_at_ms = started_at_ms
        member.unverified_pings_left = MAX_UNVERIFIED_PINGS
        if context.settings.learn_addresses:
            self._table.set_address(member, source)
        self._changes.mark_alive(
            member, header.incarnation, header.instance, verified=True, restarted=is_other_process
        )
        return True

    def _owner_still_runs(self, member: Member) -> bool:
        if member.replay_window is None or not member.is_up:
            return False
        return self._context.now_ms - member.heard_at_ms < CONFLICT_PERIODS * self._context.settings.probe_period_ms

    def _send_record(self, member: Member, source: Address) -> None:
        frame = record_frame(self._context, member)
        self._sender.send(member, frame, address=source, piggyback=False)


def _reported_name(header: Header, frames: list[Frame]) -> str:
    """Return the sender's name from its own record among the frames, "" if there is none."""
    for frame in frames:
        if frame.kind == FrameKind.RECORD and member_id(frame.name) == header.sender:
            return frame.name
    return ""
