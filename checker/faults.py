"""Injected faults in the distributed components (membership, leases, storage, hints), each one source replacement.

`python -m checker faults` runs the tests that have to find each fault, one process per fault, and prints the results;
the rig injects them too.  A fault whose source text is missing or not unique is an error: it has to be updated.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

from . import mutate
from .mutate import ROOT


class Fault(NamedTuple):
    """A replacement of `before` by `after` in `module`; `found`: the tests that find it, or "rig SCENARIO"."""

    name: str
    module: str
    before: str
    after: str
    found: str


TESTS = "tests/membership/test_machine.py::"
VOTER, CANDIDATE = "gateusher.leases.voter", "gateusher.leases.candidate"
STORAGE = "tests/storage/test_log.py"
WALKS, HOLDERS = "tests/leases/test_lease_exploration.py", "tests/leases/test_lease_simulation.py"
FORGOT = HOLDERS + "::test_a_voter_without_state_votes_only_after_enough_reports_of_other_voters"
FAULTS = (
    Fault(
        "a refutation keeps its incarnation",
        "gateusher.membership.state_changes",
        "            self._table.set_own_incarnation((incarnation + 1) % SERIAL_MODULUS)\n",
        "            pass\n",
        TESTS + "test_two_halves_rejoin_after_a_partition",
    ),
    Fault(
        "a suspicion is never confirmed",
        "gateusher.membership.suspicion",
        "confirmations = min(len(self.suspected_by) - 1, self.expected_confirmations)",
        "confirmations = 0",
        TESTS + "test_a_crashed_member_is_detected_by_all_and_can_return",
    ),
    Fault(
        "the replay window is off by one",
        "gateusher.membership.replay_window",
        "if ahead <= -REPLAY_WINDOW or",
        "if ahead < -REPLAY_WINDOW or",
        "tests/membership/test_replay_window.py::test_numbers_below_the_window_are_rejected",
    ),
    Fault(
        "a word that one failed is obeyed at once",
        "gateusher.membership.state_changes",
        "        if not member.suspicion or is_newer(incarnation, member.incarnation):\n"
        "            self.suspect(member, incarnation, suspected_by)\n",
        "        self.mark_failed(member, suspected_by)\n        return\n",
        TESTS + "test_two_halves_rejoin_after_a_partition",
    ),
    Fault(
        "a pause is not noticed",
        "gateusher.membership.machine",
        "        if late_ms > max(MIN_PAUSE_MS, self.settings.ack_timeout_ms):\n",
        "        if False:\n",
        TESTS + "test_a_member_that_is_paused_repeatedly_declares_nobody_failed",
    ),
    Fault(
        "what is unproven counts",
        "gateusher.membership.machine",
        "            if self._verifier.verify(member, header, frames, event.source):\n"
        "                self._on_frames(member, header, frames, event.source)\n"
        "            return\n",
        "            from .replay_window import ReplayWindow\n"
        "            member.replay_window = ReplayWindow(header.sequence - 1)\n"
        "            member.instance = header.instance\n",
        TESTS + "test_replayed_datagrams_revive_nobody_at_a_new_process",
    ),
    Fault(
        "a datagram counts as often as it comes",
        "gateusher.membership.machine",
        "        if not member.replay_window.accept(header.sequence):\n",
        "        if member.replay_window.accept(header.sequence) is None:\n",
        "tests/checker/test_three.py::test_exploration_finds_no_violation",
    ),
    Fault(
        "any answer proves its sender",
        "gateusher.membership.failure_detector",
        "        return probe is not None and probe.target == member.id\n",
        "        return True\n",
        TESTS + "test_an_ack_of_another_process_s_probe_verifies_nobody",
    ),
    Fault(
        "the dead are never tried again",
        "gateusher.membership.failure_detector",
        "        member = self._context.pick_one(absent)\n",
        "        member = self._context.pick_one([])\n",
        TESTS + "test_two_halves_rejoin_after_a_partition",
    ),
    Fault(
        "nobody else is asked to try",
        "gateusher.membership.failure_detector",
        "            self._sender.send(helper, wire.ping_req(number, probe.target))\n",
        "            pass\n",
        TESTS + "test_a_one_way_link_failure_marks_nobody_failed",
    ),
    Fault(
        "bytes are not counted",
        "gateusher.membership.token_bucket",
        "        self._tokens -= count\n",
        "        pass\n",
        TESTS + "test_sent_bytes_stay_within_the_rate_limit",
    ),
    Fault(
        "hearsay drives out whoever is there",
        "gateusher.membership.updates",
        "        if not self._table.ensure_capacity(evict_unverified=False):",
        "        if not self._table.ensure_capacity(evict_unverified=True):",
        TESTS + "test_a_member_that_reports_unlimited_members_fills_only_the_table",
    ),
    Fault(
        "the older of two processes has the name",
        "gateusher.membership.name_conflicts",
        "    return started_at_ms < other_started_at_ms\n",
        "    return started_at_ms > other_started_at_ms\n",
        TESTS + "test_of_two_processes_with_one_name_the_newer_one_keeps_it",
    ),
    Fault(
        "one record of our name is a rival",
        "gateusher.membership.name_conflicts",
        "RIVAL_RECORDS = 3 ",
        "RIVAL_RECORDS = 1 ",
        TESTS + "test_only_repeated_newer_records_of_our_name_displace_us",
    ),
    Fault(
        "the second key is not taken",
        "gateusher.membership.wire",
        "tag) for key in keys):\n",
        "tag) for key in keys[:1]):\n",
        TESTS + "test_keys_are_rotated_during_a_partition",
    ),
    Fault(
        "a word counts each time it comes",
        "gateusher.membership.dissemination",
        "        if self._is_new(broadcast_id):\n",
        "        if True:\n",
        TESTS + "test_a_broadcast_is_delivered_once_to_every_member",
    ),
    Fault(
        "words of drains are not heeded",
        "gateusher.membership.peer_hints",
        "            self._deliver(hint)\n",
        "            pass\n",
        "rig drain",
    ),
    Fault(
        "a word about a server holds for ever",
        "gateusher.policy.gossip_hints",
        "if hint.expires_at_ms <= latest_expiry_ms]:",
        "if False]:",
        "tests/membership/test_drain_hints.py",
    ),
    Fault(
        "a word is believed against a newer list",
        "gateusher.policy.gossip_hints",
        "        if hint.version <= self.list_version:\n",
        "        if False:\n",
        "tests/membership/test_drain_hints.py",
    ),
    Fault(
        "words may hold back every server",
        "gateusher.policy.gossip_hints",
        "            if len(self.draining) >= max_hinted or ready < 2:\n",
        "            if False:\n",
        "tests/membership/test_drain_hints.py",
    ),
    Fault(
        "a lease is counted from the answer",
        CANDIDATE,
        "end_ms=sent_ms + self._settings.holder_lease_ms",
        "end_ms=self.now + self._settings.holder_lease_ms",
        WALKS,
    ),
    Fault(
        "a grant is told before it lasts",
        "gateusher.leases.voter_output",
        "        if self.is_stored(after):\n",
        "        if True:\n",
        WALKS,
    ),
    Fault(
        "a vote is kept only in memory",
        VOTER,
        '        return self.output.store("grant", task, fence, origin, request.instance, state.min_epoch)\n',
        "        return 0\n",
        WALKS,
    ),
    Fault(
        "a fence is granted twice",
        VOTER,
        "        if fence <= highest:\n",
        "        if fence < highest:\n",
        WALKS,
    ),
    Fault(
        "whoever forgot is trusted after its next start",
        VOTER,
        "        self.state.trusted = self.state.trusted and settings.durable",
        "        self.state.trusted = settings.durable",
        FORGOT,
    ),
    Fault(
        "a voter grants at once after its start",
        VOTER,
        "self.grants_from_ms = now + settings.lease_ms",
        "self.grants_from_ms = now",
        WALKS,
    ),
    Fault(
        "a duty is let go before its work has ended",
        CANDIDATE,
        "        self.timers.set(lease, lease.work_ends_ms + self._voter_margin_ms())\n",
        "        self._finish_stop(lease)\n",
        WALKS,
    ),
    Fault("the clock is not looked at", CANDIDATE, "until_ms) if now < until_ms else None", "until_ms)", WALKS),
    Fault(
        "a duty that is held is granted to another",
        VOTER,
        "        if session and not is_own:\n",
        "        if False:\n",
        WALKS,
    ),
    Fault(
        "grants of an earlier session count in the next",
        "gateusher.leases.candidate_sessions",
        "        if session == self.session:\n",
        "        if session <= self.session:\n",
        "tests/leases/test_candidate.py::test_a_new_session_does_not_extend_grants_of_the_previous_session",
    ),
    Fault(
        "two other voters' memory is taken for enough by one of five",
        "gateusher.leases.voter_recovery",
        "            if voting <= len(voters) // 2 and len(others) < len(voters) - 1:\n",
        "            if voting < 2 and len(others) < len(voters) - 1:\n",
        FORGOT,
    ),
    Fault(
        "clocks are taken to agree",
        "gateusher.leases.interface",
        "return self.wire_lease_ms * (1 - self.drift) / (1 + self.drift)",
        "return self.wire_lease_ms",
        HOLDERS + "::test_clock_rates_within_and_beyond_the_assumed_drift[holder-0.99]",
    ),
    Fault(
        "any step of a change of voters is allowed",
        VOTER,
        "        return epoch <= state.closed_epoch or (",
        "        return True or (",
        HOLDERS + "::test_a_partition_that_missed_the_joint_step_does_not_hold_beside_the_new_voters",
    ),
    Fault(
        "a duty that is forgotten leaves no floor",
        VOTER,
        "                state.raise_floor(grant.fence)\n",
        "",
        HOLDERS + "::test_a_voter_limited_to_ten_tasks_discards_those_not_held",
    ),
    Fault(
        "fences rest on memory alone",
        CANDIDATE,
        "max(highest + 1, wall_ms)",
        "highest + 1",
        HOLDERS + "::test_fences_keep_rising_when_all_voters_lose_their_state_at_once",
    ),
    Fault(
        "a mark is told before it lasts",
        VOTER,
        '            after_record = self.output.store("mark", task',
        '            self.output.store("mark", task',
        WALKS,
    ),
    Fault(
        "one voter is enough for a mark",
        "gateusher.leases.candidate_checkpoints",
        "        if not settings.is_majority(self.saved_by):\n",
        "        if not self.saved_by:\n",
        WALKS,
    ),
    Fault(
        "the last grant's mark is taken for the newest",
        "gateusher.leases.candidate_checkpoints",
        "newest = max((self.fence, self.number, self.value), (fence, number, value))",
        "newest = (fence, number, value)",
        WALKS,
    ),
    Fault(
        "a failed fsync is tried again",
        "gateusher.storage.log",
        "        self.write_error = error.strerror or str(error)\n",
        "",
        STORAGE,
    ),
    Fault(
        "a checksum is not compared",
        "gateusher.storage.record_format",
        ") + payload) != checksum:",
        ") + payload) < 0:",
        STORAGE,
    ),
    Fault(
        "a snapshot takes its name before it lasts",
        "gateusher.storage.log",
        "            self._disk.sync(NEW_SNAPSHOT)\n",
        "",
        STORAGE,
    ),
    Fault(
        "a record that the disk lost is taken for a torn end",
        "gateusher.storage.log",
        "record and record.batch_start > next_number",
        "False",
        STORAGE,
    ),
)


def by_name(name: str) -> Fault:
    """Return the fault of this name.  Raises KeyError if there is none."""
    return {fault.name: fault for fault in FAULTS}[name]


def source(fault: Fault) -> str:
    """Return the module's source with the fault.  Raises ValueError unless `before` occurs exactly once."""
    path = ROOT.joinpath(*fault.module.split(".")).with_suffix(".py")
    text = path.read_text()
    if text.count(fault.before) != 1:
        raise ValueError(f"{fault.name}: its source text stands {text.count(fault.before)} times in {path}")
    return text.replace(fault.before, fault.after)


def plant(name: str) -> None:
    """Inject a fault into its module, which must not be imported yet.  Raises KeyError, ValueError."""
    fault = by_name(name)
    mutate.replace(fault.module, source(fault))


def pytest_configure() -> None:
    """Inject the fault that GATEUSHER_FAULT names; for use as a pytest plugin (`-p checker.faults`)."""
    if name := os.environ.get("GATEUSHER_FAULT"):
        plant(name)


def found(fault: Fault) -> bool:
    """Return whether the tests or the rig scenario find the fault: they fail, and not on importing the module."""
    if fault.found.startswith("rig "):
        with tempfile.TemporaryDirectory(prefix="gr", dir="/tmp") as folder:
            path = Path(folder) / "day.toml"
            day = (ROOT / "rig" / "days" / fault.found.split()[1]).with_suffix(".toml").read_text()
            path.write_text(day.replace("seconds = ", "settle = 8.0\nseconds = ", 1))
            command = [sys.executable, "-m", "rig", "play", str(path), "--fault", fault.name]
            played = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
            return played.returncode == 1 and "BROKEN" in played.stdout
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-x", "-p", "checker.faults", "-p", "no:cacheprovider", fault.found],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, "GATEUSHER_FAULT": fault.name},
        check=False,
    )
    return done.returncode == 1 and " failed" in done.stdout


def play(faults: Iterable[Fault] = FAULTS, workers: int = 4) -> list[Fault]:
    """Run the tests of each fault, print the results, and return the faults that were not found."""
    missed = []
    chosen = list(faults)
    with ThreadPoolExecutor(workers) as pool:
        for fault, is_found in zip(chosen, pool.map(found, chosen), strict=True):
            print(f"{'found ' if is_found else 'MISSED'} {fault.name}: {fault.found}", flush=True)
            if not is_found:
                missed.append(fault)
    return missed
