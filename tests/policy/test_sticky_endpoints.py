"""Where requests with one affinity key meet."""

from ..helpers import make_balancer, make_settings


def test_affinity_key_maps_to_the_same_endpoints_at_every_client() -> None:
    """Cached keys pay only where all clients agree on the endpoints, and keys must be distributed evenly."""
    conf = make_settings(caches_by_key=True)
    one, two = make_balancer(40, conf, seed=1), make_balancer(40, conf, seed=2)
    load = dict.fromkeys(one.endpoint_list.endpoints, 0)
    for key in range(1, 2001):
        homes = [s.endpoint_id for s in one.affinity.endpoints_for(key)]
        assert homes == [s.endpoint_id for s in two.affinity.endpoints_for(key)]
        load[homes[0]] += 1
    assert max(load.values()) < 2.5 * 50
    assert one.affinity.endpoints_for(0) == []
