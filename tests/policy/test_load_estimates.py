"""The expected latency of an endpoint."""

from ..helpers import make_balancer, make_settings


def test_expected_latency_follows_load_and_slowness() -> None:
    balancer = make_balancer(2, make_settings(report_fields=("waiting",)))
    idle, busy = balancer.control_set.ready
    for endpoint in balancer.control_set.ready:
        endpoint.reported_at_ms = 0.0
    busy.reported_load = 4.0
    assert balancer.estimates.expected_latency_ms(idle, 0) < balancer.estimates.expected_latency_ms(busy, 0)
    idle.slowness = 9.0
    assert balancer.estimates.expected_latency_ms(idle, 0) > balancer.estimates.expected_latency_ms(busy, 0)
