"""`[duties]`: invalid values and the resulting settings."""

from typing import Any

import pytest

from gateusher.config.duties import Duties
from gateusher.config.file import parse
from gateusher.config.model import ConfigError

from ..membership.test_config import VALID_CONFIG


def config_with(**changes: Any) -> dict[str, Any]:
    return {**VALID_CONFIG, "duties": {"voters": ["s1", "s2", "s3"], "folder": "/x", **changes}}


def test_a_valid_table_is_converted_to_milliseconds() -> None:
    config = parse(config_with(lease=2.5))
    assert config.duties == Duties("s1", ("s1", "s2", "s3"), (), 1, 2500.0, 0.01, "/x") and config.duties.votes
    assert config.membership and config.membership.direct_messages
    without_duties = parse(VALID_CONFIG)
    assert (
        without_duties.duties is None and without_duties.membership and not without_duties.membership.direct_messages
    )
    joint = parse(config_with(voters=["s2"], before=["s3"], step=2)).duties
    assert joint and joint.before == ("s3",) and not joint.votes


@pytest.mark.parametrize(
    ("changes", "message"),
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
def test_each_fault_is_reported_with_its_path(changes: dict[str, Any], message: str) -> None:
    data = config_with(**changes)
    data["duties"] = {k: v for k, v in data["duties"].items() if v is not None}
    with pytest.raises(ConfigError) as raised:
        parse(data)
    assert any(message in fault for fault in raised.value.faults), raised.value.faults


def test_voters_must_be_members() -> None:
    data = config_with()
    del data["membership"]
    with pytest.raises(ConfigError, match=r"wants a \[membership\] table"):
        parse(data)
    learnt = config_with(voters=["s1", "far", "away"])
    learnt["membership"] = {**VALID_CONFIG["membership"], "addresses": "learnt"}
    assert parse(learnt).duties
