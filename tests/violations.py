"""A fixture that fails a test in which the program finds one of its own invariants violated.

A test that violates invariants on purpose names them: `@pytest.mark.expects_violation(Invariant.X, ...)`.  It fails
if other ones are violated, or not each of these.  Processes that a test starts are not observed.
"""

from collections.abc import Iterator

import pytest

from gateusher.base.diagnostics import Diagnostics, Invariant


@pytest.fixture(autouse=True)
def only_expected_violations(request: pytest.FixtureRequest) -> Iterator[None]:
    marker = request.node.get_closest_marker("expects_violation")
    expected = set[Invariant](marker.args if marker else ())
    recorded: set[Invariant] = set()
    original = Diagnostics.record_violation

    def record_violation(diagnostics: Diagnostics, invariant: Invariant, request_id: bytes = b"") -> None:
        recorded.add(invariant)
        original(diagnostics, invariant, request_id)

    with pytest.MonkeyPatch.context() as patch:  # of its own: a test may undo the patches of its `monkeypatch`
        patch.setattr(Diagnostics, "record_violation", record_violation)
        yield
    assert recorded == expected, f"violated: {_names(recorded)}; expected: {_names(expected)}"


def _names(invariants: set[Invariant]) -> list[str]:
    return sorted(invariant.name for invariant in invariants)
