"""Voter, candidate and claims on the running loop, the members' channel and the disk: translates and decides
nothing."""

from __future__ import annotations

import asyncio
import json
import os
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..base.clock import BootClock
from ..base.log import log_event
from ..config.duties import Duties, good_duty
from ..leases import wire
from ..leases.candidate import Candidate
from ..leases.interface import (
    MAX_TASK_NAME_BYTES,
    Acquire,
    Action,
    CheckpointSaved,
    DiskFailed,
    Event,
    FenceRaised,
    LeaseAcquired,
    LeaseLost,
    LeaseSettings,
    LogEvent,
    MessageReceived,
    RecordStored,
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
from ..leases.voter import Remembered, Voter
from ..membership.interface import BroadcastReceived, DirectMessage, MemberChanged
from ..membership.udp import MembershipEndpoint
from .claims import Claim, Claims, Stage

if TYPE_CHECKING:
    from ..storage.writer import Writer

NOTE = 1  # kind of a note between members
LOCK_STEP_S = 0.1  # between two tries for a folder that the process before still has
COMPACT_AT = 1 << 20  # bytes of log that a snapshot replaces
VOTERS = "~voters"  # a duty that voters want, so that each step of a change of voters gets closed


def leases(config: Duties) -> LeaseSettings:
    return LeaseSettings(
        config.name,
        config.voters,
        config.before,
        config.step,
        config.lease_ms,
        config.drift,
        config.folder is not None,
    )


class Office:
    """One sidecar's part in duties, from `open` until `close`.

    Raises ModuleNotFoundError where this is a voter with a folder and the extra for its disk is not installed.
    """

    def __init__(self, config: Duties, endpoint: MembershipEndpoint) -> None:
        self.config, self._endpoint = config, endpoint
        self._clock = BootClock()
        self._loop = asyncio.get_running_loop()
        self.voter: Voter | None = None
        self.voting = "no voter" if not config.votes else "not begun"
        self._writer: Writer | None = None
        self._compacting = False
        self._timer: asyncio.TimerHandle | None = None
        self._opening: asyncio.Task[None] | None = None
        self._open = False
        self._left: Callable[[], None] | None = None
        self.gone = False  # whether a planned end is done here
        self._leave_by = 0.0
        if config.votes and config.folder:
            from ..storage import log  # noqa: F401, PLC0415 - a voter that can't read its disk should not start
        self._begin()
        endpoint.listeners.append(self._noted)

    def _begin(self) -> None:
        instance, seed = struct.unpack(">QQ", os.urandom(16))
        self.candidate = Candidate(
            leases(self.config), instance >> 1, seed, self._clock.wall_ms(), self._clock.now_ms()
        )
        self.claims = Claims(self.config.lease_ms, self._proof)
        self._marks: dict[str, tuple[bytes, Callable[[], None]]] = {}

    def _proof(self, duty: str, now: float) -> tuple[int, float] | None:
        proof = self.candidate.proof(duty, now)
        return (proof.fence, proof.until) if proof else None

    def open(self) -> None:
        """Begin.  A voter's folder is read beside the loop; until it is, and if it can't be, this sidecar casts no
        vote."""
        self._open = True
        if self.config.votes:
            self._opening = self._loop.create_task(self._open_folder())
            self._give_candidate(Acquire(VOTERS))

    async def _open_folder(self) -> None:
        config = self.config
        nonce = int.from_bytes(os.urandom(4), "big")
        if config.folder is None:
            self._start_voter(Remembered(False), nonce)
            return
        from ..storage.log import Found, Log, StorageError  # noqa: PLC0415 - needs the extra; a voter alone has one
        from ..storage.port import Folder, LockedError  # noqa: PLC0415
        from ..storage.writer import Writer  # noqa: PLC0415

        while True:
            log = None
            try:
                log = Log(await asyncio.to_thread(Folder, config.folder), config.name, config.folder)
                found = await asyncio.to_thread(log.open)
                break
            except LockedError as error:
                if self.voting != str(error):
                    self.voting = str(error)
                    log_event("vote", f"waits: {error}")
                await asyncio.sleep(LOCK_STEP_S)
            except (StorageError, OSError) as error:
                self.voting = f"no vote: {error}"
                log_event("vote", self.voting)
                if log:
                    log.close()
                return
        if found.found in (Found.TORN, Found.DAMAGED):
            log_event(
                "vote", f"{config.folder}: {found.found.value}, {found.lost} bytes can't be read; others are asked"
            )
        self._writer = Writer(log)
        self._writer.start()
        self._start_voter(Remembered(found.found is Found.CLEAN, found.state, tuple(found.records)), nonce)

    def _start_voter(self, memory: Remembered, nonce: int) -> None:
        self.voting = ""
        self.voter = Voter(leases(self.config), memory, self._clock.wall_ms(), nonce, self._clock.now_ms())
        self._give_voter(Tick())

    # -- in and out

    def _noted(self, event: MemberChanged | BroadcastReceived | DirectMessage) -> None:
        if isinstance(event, DirectMessage) and event.kind == NOTE and self._open:
            self._carry(event.name, event.data)

    def _carry(self, origin: str, data: bytes) -> None:
        message = wire.read(data)
        if isinstance(message, wire.TO_VOTER):
            self._give_voter(MessageReceived(origin, data))
        elif message is not None:
            self._give_candidate(MessageReceived(origin, data))

    def _give_voter(self, event: Event) -> None:
        if self.voter:
            self._perform(self.voter.handle(self._clock.now_ms(), event))
            self._arm()

    def _give_candidate(self, event: Event) -> None:
        self._perform(self.candidate.handle(self._clock.now_ms(), event))
        self._arm()

    def _give_all(self, events: list[Event]) -> None:
        for event in events:
            self._give_candidate(event)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                if action.to == self.config.name:
                    self._loop.call_soon(self._carry, action.to, action.data)
                else:
                    self._endpoint.send_direct(action.to, NOTE, action.data)
            elif isinstance(action, StoreRecord):
                self._store(action)
            elif isinstance(action, LogEvent):
                log_event(action.what, action.why)
            else:
                self._happened(action)

    def _happened(self, action: LeaseAcquired | FenceRaised | CheckpointSaved | StopWork | LeaseLost) -> None:
        if isinstance(action, CheckpointSaved):
            if (wait := self._marks.get(action.duty)) and wait[0] == action.value:
                del self._marks[action.duty]
                self._loop.call_soon(wait[1])
            return
        if action.duty == VOTERS:
            if isinstance(action, StopWork | LeaseLost):  # nobody works on it
                self._loop.call_soon(self._give_candidate, WorkEnded(VOTERS))
            return
        word = type(action).__name__.lower()
        why = f", fence {action.fence}" if isinstance(action, LeaseAcquired | FenceRaised) else f": {action.why}"
        log_event(f"duty {word}", f"{action.duty}{why}")
        # Later, since the machine is in the midst of its own answer.
        self._loop.call_soon(lambda: self._give_all(self.claims.told(self._clock.now_ms(), action)))

    def _store(self, action: StoreRecord) -> None:
        writer = self._writer
        if writer is None:
            return
        number = action.number

        def done(why: str) -> None:
            if writer is self._writer:  # not one of an earlier life
                self._give_voter(DiskFailed(why) if why else RecordStored(number))

        writer.append(action.record, done)
        if writer.size > COMPACT_AT and not self._compacting and self.voter and not self.voter.broken:
            self._compacting = True
            writer.compact(self.voter.snapshot(), self._compacted)

    def _compacted(self, why: str) -> None:
        self._compacting = False
        if why:
            self._give_voter(DiskFailed(why))

    def _arm(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._open:
            due = min(self.candidate.due, self.voter.due if self.voter else 1e18)
            wait = (due - self._clock.now_ms()) / 1000
            # The loop's clock stands still while the machine sleeps, and ours doesn't: it is looked at now and then.
            self._timer = self._loop.call_later(max(0.001, min(self.config.lease_ms / 4000, wait)), self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._clock.now_ms()
        if self.voter and self.voter.due <= now:
            self._perform(self.voter.handle(now, Tick()))
        if self.candidate.due <= now:
            self._perform(self.candidate.handle(now, Tick()))
        self._give_all(self.claims.silent(now))
        self._arm()

    # -- claims of this process

    def claim(self, duty: str, changed: Callable[[Claim], None]) -> Claim:
        """Have a duty as soon as it is free; `changed` is called when it is held, is to end, or is over.

        Raises ValueError for a name that is none.
        """
        check_name(duty)
        claim, events = self.claims.add(duty, "", changed)
        self._give_all(events)
        return claim

    def proof(self, claim: Claim) -> tuple[int, float] | None:
        """Fence and ms that are left; None where a claim can't be proven: look just before each act."""
        now = self._clock.now_ms()
        proof = self._proof(claim.duty, now) if claim.stage is Stage.HELD else None
        return (claim.fence, proof[1] - now) if proof else None

    def ends_in(self, claim: Claim) -> float:
        """Seconds that are left to a claim that is to end."""
        return (claim.until - self._clock.now_ms()) / 1000

    def mark(self, claim: Claim, value: bytes, lasts: Callable[[], None]) -> None:
        """Leave up to 32 bytes for the next holder; `lasts` is called when a majority of voters remembers them, and
        never for a mark that another one follows before that."""
        if claim.stage in (Stage.HELD, Stage.ENDING):
            self._marks[claim.duty] = value, lasts
            self._give_candidate(SaveCheckpoint(claim.duty, value))

    def end(self, claim: Claim) -> None:
        """The claim's work has ended, or is not to be."""
        self._give_all(self.claims.end(claim))

    # -- calls over the operators' address

    def called(self, words: dict[str, str]) -> bytes | None:
        duty, token = words.get("duty", ""), words.get("token", "")
        try:
            check_name(duty)
            if not 16 <= len(token) <= 64:
                return None
            said, events = self.claims.call(self._clock.now_ms(), duty, token)
        except ValueError:
            return None
        self._give_all(events)
        return json.dumps(said._asdict()).encode()

    def done(self, words: dict[str, str]) -> bytes | None:
        self._give_all(self.claims.done(words.get("token", "")))
        return b"{}"

    def give(self, words: dict[str, str]) -> bytes | None:
        """Have the holder let a duty go; says whom that was told."""
        duty = words.get("duty", "")
        try:
            check_name(duty)
        except ValueError:
            return None
        if self.candidate.proof(duty, self._clock.now_ms()):
            holder: str | None = self.config.name
            self._give_candidate(Yield(duty))
        else:
            holder = self._holder(duty)
            if holder:
                self._endpoint.send_direct(holder, NOTE, wire.write(wire.Plead(duty)))
        return json.dumps({"holder": holder}).encode()

    def _holder(self, duty: str) -> str | None:
        if self.voter and (holder := self.voter.holder(duty)):
            return holder
        d = self.candidate.duties.get(duty)
        return d.holder or None if d else None

    def report(self) -> dict[str, Any]:
        """All that `gateusher duty list` shows; times are seconds."""
        now, voter = self._clock.now_ms(), self.voter
        own = []
        for name, d in sorted(self.candidate.duties.items()):
            if name != VOTERS:
                proof = self.candidate.proof(name, now)
                own.append(
                    {
                        "duty": name,
                        "state": d.state.value,
                        "fence": d.fence,
                        "wanted": d.wanted,
                        "left_s": round((proof.until - now) / 1000, 3) if proof else None,
                        "holder": self.config.name if proof else d.holder or None,
                        "granted_by": sorted(d.granted),
                    }
                )
        granted = [
            {"duty": name, "holder": g.holder, "fence": g.fence, "left_s": round(left / 1000, 3)}
            for name, g, left in (voter.held() if voter else ())
            if name != VOTERS
        ]
        why = self.voting or (voter.broken if voter else "")
        if voter and not voter.votes and not why:
            wait = max(0.0, voter.free_from - now) / 1000
            why = (
                f"remembers nothing that it can trust; asks the others, {wait:.1f} s to wait"
                if not voter.trusted
                else "its memory is being written"
            )
        return {
            "name": self.config.name,
            "voters": list(self.config.voters),
            "before": list(self.config.before),
            "step": self.config.step,
            "lease_s": self.config.lease_ms / 1000,
            "votes": bool(voter and voter.votes),
            "why_not": why or None,
            "highest_fence": voter.top if voter else None,
            "voters_heard": {
                v: round(max(0.0, view.end - now) / 1000, 3) for v, view in self.candidate.views.items()
            },
            "own": own,
            "granted": granted,
        }

    # -- changes and the end

    def follow(self, config: Duties) -> None:
        """Take up another set of voters; lease, drift and folder hold from the start on."""
        if (config.voters, config.before, config.step) == (self.config.voters, self.config.before, self.config.step):
            return
        if config.step <= self.config.step:
            log_event("duties", f"voters change only with a higher step than {self.config.step}: the old ones stay")
            return
        began = self.config.votes
        self.config = self.config._replace(
            voters=config.voters, before=config.before, step=config.step, folder=self.config.folder or config.folder
        )
        self._give_candidate(VotersChanged(leases(self.config)))
        self._give_candidate(Acquire(VOTERS) if self.config.votes else Withdraw(VOTERS))
        if self.voter:
            self._give_voter(VotersChanged(leases(self.config)))
        elif self.config.votes and not began:
            self._opening = self._loop.create_task(self._open_folder())

    def leave(self, then: Callable[[], None], within_s: float) -> None:
        """Let go of all that is held, as its work ends; `then` is called when others have been told, or in time."""
        if self._left is None:
            self._left, self._leave_by = then, self._loop.time() + within_s
            self._give_all([*self.claims.close(), Withdraw(VOTERS)])
            self._look_left()

    def _look_left(self) -> None:
        if self._left and self._open:
            if (self.candidate.idle and not len(self.claims)) or self._loop.time() >= self._leave_by:
                then, self._left = self._left, None
                self.gone = True
                then()
            else:
                self._loop.call_later(0.01, self._look_left)

    def pause(self) -> None:
        """Let the folder go, without a word: a successor takes it."""
        self._stop()

    def resume(self) -> None:
        """Begin anew, as another life: a successor may have voted meanwhile."""
        if not self._open:
            self.gone = False
            self._begin()
            self.open()

    def _stop(self) -> None:
        self._open = False
        self.voter, self.voting = None, "ended"
        if self._opening:
            self._opening.cancel()
            self._opening = None
        if self._timer:
            self._timer.cancel()
            self._timer = None
        writer, self._writer = self._writer, None
        if writer:
            writer.close()

    def close(self) -> None:
        self._left = None
        self._stop()


def check_name(duty: str) -> None:
    """Raises ValueError for what is no duty's name."""
    if not good_duty(duty):
        raise ValueError(
            f"a duty's name is 1 to {MAX_TASK_NAME_BYTES} bytes of printable text that don't begin with '~', "
            f"found {duty!r}"[:300]
        )
