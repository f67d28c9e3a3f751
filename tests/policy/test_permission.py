"""Whether an attempt may be sent and a request may be rejected."""

from itertools import product

import pytest

from gateusher.policy.interface import Effect
from gateusher.policy.permission import Denial, RequestFacts, denied, endpoint_denied, may_reject

PERMITTED = RequestFacts(
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
    assert denied(PERMITTED) is None


@pytest.mark.parametrize(
    ("facts", "denial"),
    [
        (PERMITTED._replace(open=False), Denial.OVER),
        (PERMITTED._replace(attempts=3), Denial.NO_ATTEMPT_LEFT),
        (PERMITTED._replace(attempts=4), Denial.NO_ATTEMPT_LEFT),
        (PERMITTED._replace(may_have_run=True), Denial.MAY_HAVE_RUN),
        (PERMITTED._replace(body_discarded=True), Denial.BODY_NOT_RETAINED),
        (PERMITTED._replace(time_left_ms=0.9), Denial.NO_TIME_LEFT),
        (PERMITTED._replace(time_left_ms=-5.0), Denial.NO_TIME_LEFT),
    ],
)
def test_each_denial(facts: RequestFacts, denial: Denial) -> None:
    assert denied(facts) is denial


def test_request_that_may_have_executed_is_retried_unless_not_idempotent() -> None:
    sent = PERMITTED._replace(may_have_run=True, attempts=1)
    allowed = {effect for effect in Effect if denied(sent._replace(effect=effect)) is None}
    assert allowed == {Effect.IDEMPOTENT, Effect.KEYED}


def test_not_idempotent_request_that_may_have_run_is_never_retried() -> None:
    for is_open, attempts, left_ms, discarded in product((False, True), (0, 1, 9), (-1.0, 0.0, 1e9), (False, True)):
        assert (
            denied(RequestFacts(is_open, Effect.NOT_IDEMPOTENT, True, attempts, 3, left_ms, 1.0, discarded))
            is not None
        )


@pytest.mark.parametrize(
    ("ready", "unchanged", "denial"),
    [
        (True, True, None),
        (False, True, Denial.ENDPOINT_DRAINING),
        (True, False, Denial.ENDPOINT_CHANGED),
        (False, False, Denial.ENDPOINT_DRAINING),
    ],
)
def test_endpoint_of_an_established_connection(ready: bool, unchanged: bool, denial: Denial | None) -> None:
    assert endpoint_denied(ready, unchanged) is denial


@pytest.mark.parametrize(
    ("effect", "may_have_run", "dropped_everywhere", "allowed"),
    [
        (Effect.IDEMPOTENT, True, False, True),
        (Effect.KEYED, True, True, True),
        (Effect.KEYED, True, False, False),
        (Effect.NOT_IDEMPOTENT, True, True, False),
        (Effect.NOT_IDEMPOTENT, False, False, True),
        (Effect.KEYED, False, False, True),
    ],
)
def test_request_is_rejected_only_if_a_retry_is_safe(
    effect: Effect, may_have_run: bool, dropped_everywhere: bool, allowed: bool
) -> None:
    assert may_reject(effect, may_have_run, dropped_everywhere) is allowed
