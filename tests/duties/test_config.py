"""`[duties]`: every fault of the table at once, and what the rest becomes."""

from typing import Any

import pytest

from gateusher.config.duties import Duties
from gateusher.config.file import parse
from gateusher.config.model import ConfigError

from ..membership.test_config import GOOD


def with_(**more: Any) -> dict[str, Any]:
    return {**GOOD, "duties": {"voters": ["s1", "s2", "s3"], "folder": "/x", **more}}


def test_a_table_becomes_settings_in_milliseconds() -> None:
    got = parse(with_(lease=2.5))
    assert got.duties == Duties("s1", ("s1", "s2", "s3"), (), 1, 2500.0, 0.01, "/x") and got.duties.votes
    assert got.membership and got.membership.direct_messages
    plain = parse(GOOD)
    assert plain.duties is None and plain.membership and not plain.membership.direct_messages
    joint = parse(with_(voters=["s2"], before=["s3"], step=2)).duties
    assert joint and joint.before == ("s3",) and not joint.votes


@pytest.mark.parametrize(
    ("more", "said"),
    [
        ({"voters": []}, "duties.voters:"),
        ({"voters": ["s1", "s2"]}, "duties.voters: 1, 3, 5 or 7 names wanted, found 2"),
        ({"voters": ["s1", "s2", "s2"]}, "duties.voters: a name stands twice"),
        ({"voters": ["s1", "s2", "s9"]}, "duties.voters[2]: neither this sidecar's name nor a peer's, 's9'"),
        ({"before": ["s1"]}, "duties.step: 2 or more where `before` is set"),
        ({"folder": None, "diskless": False}, "duties.folder"),
        ({"diskless": True}, "duties.diskless: not beside a folder"),
        ({"lease": 0.1}, "duties.lease:"),
        ({"drift": 0.5}, "duties.drift:"),
        ({"voter": ["s1"]}, "duties.voter: unknown; did you mean 'voters'?"),
        ({"step": 0}, "duties.step:"),
    ],
)
def test_each_fault_is_told_with_its_path(more: dict[str, Any], said: str) -> None:
    data = with_(**more)
    data["duties"] = {k: v for k, v in data["duties"].items() if v is not None}
    with pytest.raises(ConfigError) as told:
        parse(data)
    assert any(said in fault for fault in told.value.faults), told.value.faults


def test_voters_are_members() -> None:
    data = with_()
    del data["membership"]
    with pytest.raises(ConfigError, match=r"wants a \[membership\] table"):
        parse(data)
    learnt = with_(voters=["s1", "far", "away"])
    learnt["membership"] = {**GOOD["membership"], "addresses": "learnt"}
    assert parse(learnt).duties
