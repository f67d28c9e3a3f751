"""Planted faults: each still has its place, and a sample of them is found; `python -m checker faults` plays all."""

import pytest

from checker import faults

SAMPLE = [f for f in faults.FAULTS if not f.found.startswith("rig ")][::4]


@pytest.mark.parametrize("fault", faults.FAULTS, ids=lambda f: f.name)
def test_each_can_be_planted(fault: faults.Fault) -> None:
    assert faults.source(fault) != ""


@pytest.mark.parametrize("fault", SAMPLE, ids=lambda f: f.name)
def test_a_sample_is_found(fault: faults.Fault) -> None:
    assert faults.found(fault)


def test_what_cannot_be_planted_is_told() -> None:
    stale = faults.Fault("stale", "gateusher.membership.wire", "no such text", "", "")
    with pytest.raises(ValueError, match="stands 0 times"):
        faults.source(stale)
