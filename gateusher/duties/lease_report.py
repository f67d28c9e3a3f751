"""The report of one sidecar for `gateusher duty list`, as JSON values.  Pure; times are seconds."""

from __future__ import annotations

from typing import Any

from ..config.duties import Duties
from ..leases.candidate import Candidate
from ..leases.voter import Voter

VOTERS_TASK = "~voters"  # acquired by every voter, so that each step of a change to the voters gets closed


def report(
    config: Duties, candidate: Candidate, voter: Voter | None, no_voter_reason: str, now: float
) -> dict[str, Any]:
    """Return the report at `now` (ms); `no_voter_reason` says why there is no voter, or ""."""
    views = candidate.sessions.by_voter
    return {
        "name": config.name,
        "voters": list(config.voters),
        "before": list(config.before),
        "step": config.step,
        "lease_s": config.lease_ms / 1000,
        "votes": bool(voter and voter.can_vote),
        "why_not": _reason_not_to_vote(voter, no_voter_reason, now) or None,
        "highest_fence": voter.state.highest_fence if voter else None,
        "voters_heard": {name: round(max(0.0, view.end_ms - now) / 1000, 3) for name, view in views.items()},
        "own": _own_tasks(config.name, candidate, now),
        "granted": _granted_tasks(voter) if voter else [],
    }


def _own_tasks(own_name: str, candidate: Candidate, now: float) -> list[dict[str, Any]]:
    own = []
    for name, lease in sorted(candidate.tasks.items()):
        if name == VOTERS_TASK:
            continue
        valid_lease = candidate.valid_lease(name, now)
        own.append(
            {
                "duty": name,
                "state": lease.state.value,
                "fence": lease.fence,
                "wanted": lease.wanted,
                "left_s": round((valid_lease.until_ms - now) / 1000, 3) if valid_lease else None,
                "holder": own_name if valid_lease else lease.last_known_holder or None,
                "granted_by": sorted(lease.grants),
            }
        )
    return own


def _granted_tasks(voter: Voter) -> list[dict[str, Any]]:
    return [
        {
            "duty": held.task,
            "holder": held.grant.holder,
            "fence": held.grant.fence,
            "left_s": round(held.remaining_ms / 1000, 3),
        }
        for held in voter.held_grants()
        if held.task != VOTERS_TASK
    ]


def _reason_not_to_vote(voter: Voter | None, no_voter_reason: str, now: float) -> str:
    reason = no_voter_reason or (voter.disk_error if voter else "")
    if reason or voter is None or voter.can_vote:
        return reason
    if voter.state.trusted:
        return "its state is being written to disk"
    wait_s = max(0.0, voter.grants_from_ms - now) / 1000
    return f"quarantined: no trusted state; requesting it from the other voters, at least {wait_s:.1f} s"
