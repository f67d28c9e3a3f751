"""The preferred endpoints of an affinity key."""

from ..helpers import make_balancer, make_settings


def test_affinity_key_maps_to_the_same_endpoints_at_every_client() -> None:
    """Caches help only if all clients prefer the same endpoints for a key; keys must also be distributed evenly."""
    configuration = make_settings(caches_by_key=True)
    first, second = make_balancer(40, configuration, seed=1), make_balancer(40, configuration, seed=2)
    keys_by_endpoint = dict.fromkeys(first.endpoint_list.endpoints, 0)
    for key in range(1, 2001):
        preferred = [endpoint.endpoint_id for endpoint in first.affinity.endpoints_for(key)]
        assert preferred == [endpoint.endpoint_id for endpoint in second.affinity.endpoints_for(key)]
        keys_by_endpoint[preferred[0]] += 1
    assert max(keys_by_endpoint.values()) < 2.5 * 50
    assert first.affinity.endpoints_for(0) == []
