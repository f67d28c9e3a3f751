"""Whether an attempt may be sent and a request rejected: each denial alone, and which of several is returned."""

from itertools import product

import pytest

from gateusher.policy.interface import Effect
from gateusher.policy.permission import Denial, RequestFacts, denied, endpoint_denied, may_reject

FREE = RequestFacts(
    open=True,
    effect=Effect.NOT_IDEMPOTENT,
    may_have_run=False,
    attempts=0,
    max_attempts=3,
    time_left_ms=100.0,
    min_time_ms=1.0,
    body_discarded=False,
)


def test_first_attempt_is_permitted() -> None:
    assert denied(FREE) is None


@pytest.mark.parametrize(
    ("facts", "why"),
    [
        (FREE._replace(open=False), Denial.OVER),
        (FREE._replace(attempts=3), Denial.NO_ATTEMPT_LEFT),
        (FREE._replace(attempts=4), Denial.NO_ATTEMPT_LEFT),
        (FREE._replace(may_have_run=True), Denial.MAY_HAVE_RUN),
        (FREE._replace(body_discarded=True), Denial.BODY_NOT_RETAINED),
        (FREE._replace(time_left_ms=0.9), Denial.NO_TIME_LEFT),
        (FREE._replace(time_left_ms=-5.0), Denial.NO_TIME_LEFT),
    ],
)
def test_each_denial_alone(facts: RequestFacts, why: Denial) -> None:
    assert denied(facts) is why


def test_request_that_may_have_executed_is_retried_unless_not_idempotent() -> None:
    sent = FREE._replace(may_have_run=True, attempts=1)
    allowed = {effect for effect in Effect if denied(sent._replace(effect=effect)) is None}
    assert allowed == {Effect.IDEMPOTENT, Effect.KEYED}


def test_no_facts_allow_an_unsafe_request_that_may_have_run() -> None:
    for is_open, attempts, left_ms, gone in product((False, True), (0, 1, 9), (-1.0, 0.0, 1e9), (False, True)):
        assert denied(RequestFacts(is_open, Effect.NOT_IDEMPOTENT, True, attempts, 3, left_ms, 1.0, gone)) is not None


@pytest.mark.parametrize(
    ("ready", "unchanged", "why"),
    [
        (True, True, None),
        (False, True, Denial.ENDPOINT_DRAINING),
        (True, False, Denial.ENDPOINT_CHANGED),
        (False, False, Denial.ENDPOINT_DRAINING),
    ],
)
def test_endpoint_of_an_established_connection(ready: bool, unchanged: bool, why: Denial | None) -> None:
    assert endpoint_denied(ready, unchanged) is why


@pytest.mark.parametrize(
    ("effect", "ran", "dropped", "refuses"),
    [
        (Effect.IDEMPOTENT, True, False, True),
        (Effect.KEYED, True, True, True),
        (Effect.KEYED, True, False, False),
        (Effect.NOT_IDEMPOTENT, True, True, False),
        (Effect.NOT_IDEMPOTENT, False, False, True),
        (Effect.KEYED, False, False, True),
    ],
)
def test_request_is_rejected_only_where_a_repeat_is_harmless(
    effect: Effect, ran: bool, dropped: bool, refuses: bool
) -> None:
    assert may_reject(effect, ran, dropped) is refuses
