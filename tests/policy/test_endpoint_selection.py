"""The selection of an endpoint for an attempt."""

from gateusher.policy.interface import (
    Request,
)

from ..helpers import make_balancer, make_settings


def test_stalled_endpoint_is_avoided_before_its_attempt_times_out() -> None:
    """Its last load report says that it is idle, so it would be selected until the first attempt times out."""
    balancer = make_balancer(2, make_settings(report_fields=("waiting",)))
    stalled, busy = balancer.control_set.ready
    for endpoint in balancer.control_set.ready:
        endpoint.inclusion_probability = 0.98
        endpoint.reported_at_ms, endpoint.reported_load = 100.0, 0.0
    busy.reported_load = 6.0
    stalled.in_flight, stalled.awaiting_response, stalled.silent_since_ms = 3, True, 100.0
    balancer.handle(101.0, Request(1, 0, 3000))
    assert balancer.requests.pending[1].attempts[0][0] is stalled
    balancer.context.now_ms = 600.0
    for endpoint in balancer.control_set.ready:
        endpoint.reported_at_ms = 600.0
    stalled.awaiting_response, stalled.silent_since_ms = True, 101.0
    balancer.handle(600.0, Request(2, 0, 3000))
    assert balancer.requests.pending[2].attempts[0][0] is busy
