"""Injected faults: each still applies to the source, and a sample of them is detected.

`python -m checker faults` runs all of them.
"""

import pytest

from checker import faults

SAMPLE = [f for f in faults.FAULTS if not f.found.startswith("rig ")][::4]


@pytest.mark.parametrize("fault", faults.FAULTS, ids=lambda f: f.name)
def test_each_fault_can_be_injected(fault: faults.Fault) -> None:
    assert faults.source(fault) != ""


@pytest.mark.parametrize("fault", SAMPLE, ids=lambda f: f.name)
def test_a_sample_of_faults_is_detected(fault: faults.Fault) -> None:
    assert faults.found(fault)


def test_a_fault_that_cannot_be_injected_is_reported() -> None:
    stale = faults.Fault("stale", "gateusher.membership.wire", "no such text", "", "")
    with pytest.raises(ValueError, match="stands 0 times"):
        faults.source(stale)
