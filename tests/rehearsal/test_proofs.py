"""`EndpointProofs` publishes only proven endpoints as ready, drains without delay, and binds proofs to addresses."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from gateusher.discovery.lists import ListedEndpoint
from gateusher.policy.interface import Endpoint, EndpointState, UpdateKind
from gateusher.rehearsal.proofs import Challenge, ChallengeEnded, EndpointProofs, ListUpdate, Publish, Tick


def listed_endpoint(
    endpoint_id: int, state: EndpointState = EndpointState.READY, port: int = 80, started_at_ms: float = 0.0
) -> ListedEndpoint:
    return ListedEndpoint(
        Endpoint(endpoint_id, state, 0, 0, 0, 1.0, started_at_ms), f"n{endpoint_id}", "127.0.0.1", port
    )


def published(actions: list[Any]) -> list[tuple[UpdateKind, list[tuple[int, EndpointState]]]]:
    return [
        (action.kind, [(entry.endpoint.endpoint, entry.endpoint.state) for entry in action.lines])
        for action in actions
        if isinstance(action, Publish)
    ]


def challenged(actions: list[Any]) -> list[tuple[int, int]]:
    return [(action.endpoint, action.address[1]) for action in actions if isinstance(action, Challenge)]


ADDRESS = ("127.0.0.1", 80)


def test_endpoint_is_published_as_ready_after_its_proof() -> None:
    proofs = EndpointProofs()
    first = proofs.handle(0.0, ListUpdate(UpdateKind.COMPLETE, 5, (listed_endpoint(1), listed_endpoint(2))))
    assert published(first) == [(UpdateKind.COMPLETE, [])] and challenged(first) == [(1, 80), (2, 80)]
    assert published(proofs.handle(1.0, ChallengeEnded(1, ADDRESS, True))) == [
        (UpdateKind.CHANGES, [(1, EndpointState.READY)])
    ]
    assert proofs.handle(1.0, ChallengeEnded(2, ADDRESS, False)) == []
    assert proofs.ready == 1
    # Challenges are repeated after a second, and an unchanged complete list contains the proven endpoints.
    assert challenged(proofs.handle(500.0, Tick())) == []
    assert challenged(proofs.handle(1001.0, Tick())) == [(1, 80), (2, 80)]
    again = proofs.handle(1002.0, ListUpdate(UpdateKind.COMPLETE, 6, (listed_endpoint(1), listed_endpoint(2))))
    assert published(again) == [(UpdateKind.COMPLETE, [(1, EndpointState.READY)])]


def test_drain_is_published_without_a_proof() -> None:
    proofs = EndpointProofs()
    proofs.handle(0.0, ListUpdate(UpdateKind.COMPLETE, 1, (listed_endpoint(1), listed_endpoint(2))))
    proofs.handle(1.0, ChallengeEnded(1, ADDRESS, True))
    changes = proofs.handle(
        2.0,
        ListUpdate(
            UpdateKind.CHANGES,
            2,
            (listed_endpoint(1, EndpointState.DRAINING), listed_endpoint(2, EndpointState.REMOVED)),
        ),
    )
    assert published(changes) == [(UpdateKind.CHANGES, [(1, EndpointState.DRAINING), (2, EndpointState.REMOVED)])]
    assert proofs.handle(3.0, ChallengeEnded(2, ADDRESS, True)) == [] and proofs.ready == 0


def test_endpoint_that_fails_a_challenge_is_removed_until_its_next_proof() -> None:
    proofs = EndpointProofs()
    proofs.handle(0.0, ListUpdate(UpdateKind.COMPLETE, 1, (listed_endpoint(1),)))
    proofs.handle(1.0, ChallengeEnded(1, ADDRESS, True))
    proofs.handle(1500.0, Tick())
    assert published(proofs.handle(1501.0, ChallengeEnded(1, ADDRESS, False))) == [
        (UpdateKind.CHANGES, [(1, EndpointState.REMOVED)])
    ]
    proofs.handle(3000.0, Tick())
    assert published(proofs.handle(3001.0, ChallengeEnded(1, ADDRESS, True))) == [
        (UpdateKind.CHANGES, [(1, EndpointState.READY)])
    ]


def test_proof_is_void_at_another_address_or_after_a_restart() -> None:
    proofs = EndpointProofs()
    proofs.handle(0.0, ListUpdate(UpdateKind.COMPLETE, 1, (listed_endpoint(1), listed_endpoint(2))))
    for endpoint_id in (1, 2):
        proofs.handle(1.0, ChallengeEnded(endpoint_id, ADDRESS, True))
    moved = proofs.handle(
        2.0, ListUpdate(UpdateKind.CHANGES, 2, (listed_endpoint(1, port=81), listed_endpoint(2, started_at_ms=5.0)))
    )
    assert published(moved) == [(UpdateKind.CHANGES, [(1, EndpointState.REMOVED), (2, EndpointState.REMOVED)])]
    assert challenged(moved) == [(1, 81), (2, 80)]
    assert proofs.handle(3.0, ChallengeEnded(1, ADDRESS, True)) == []  # a proof of its old address
    assert published(proofs.handle(4.0, ChallengeEnded(1, ("127.0.0.1", 81), True))) == [
        (UpdateKind.CHANGES, [(1, EndpointState.READY)])
    ]


def test_failed_watch_is_published() -> None:
    assert published(EndpointProofs().handle(0.0, ListUpdate(UpdateKind.FAILED, 0, ()))) == [(UpdateKind.FAILED, [])]


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(
                st.sampled_from([UpdateKind.COMPLETE, UpdateKind.CHANGES]),
                st.lists(
                    st.tuples(
                        st.integers(1, 4),
                        st.sampled_from(list(EndpointState)),
                        st.integers(80, 81),
                        st.integers(0, 1),
                    ),
                    max_size=4,
                ),
            ),
            st.tuples(st.integers(1, 4), st.integers(80, 81), st.booleans()),
            st.floats(0, 2000),
        ),
        max_size=40,
    )
)
def test_after_any_events_only_proven_endpoints_are_ready(events: list[Any]) -> None:
    """Compares with a model that holds for each address whether its last challenge was proven."""
    proofs, now = EndpointProofs(), 0.0
    ready: set[int] = set()
    listed: dict[int, tuple[int, float]] = {}
    proven: dict[tuple[int, int], bool] = {}
    for event in events:
        now += 1.0
        if isinstance(event, float):
            actions = proofs.handle(now := now + event, Tick())
        elif isinstance(event[0], UpdateKind):
            kind, rows = event
            rows = list({row[0]: row for row in rows}.values())
            if kind is UpdateKind.COMPLETE:
                listed = {
                    endpoint_id: place
                    for endpoint_id, place in listed.items()
                    if any(row[0] == endpoint_id for row in rows)
                }
            for endpoint_id, state, port, started_at_ms in rows:
                if state is not EndpointState.READY:
                    listed.pop(endpoint_id, None)
                else:
                    if listed.get(endpoint_id) != (port, started_at_ms):
                        previous_start_ms = listed.get(endpoint_id, (0, 9))[1]
                        proven[endpoint_id, port] = (
                            proven.get((endpoint_id, port), False) and previous_start_ms >= started_at_ms
                        )
                    listed[endpoint_id] = port, started_at_ms
            actions = proofs.handle(now, ListUpdate(kind, 1, tuple(listed_endpoint(*row) for row in rows)))
        else:
            endpoint_id, port, is_proven = event
            proven[endpoint_id, port] = is_proven
            actions = proofs.handle(now, ChallengeEnded(endpoint_id, ("127.0.0.1", port), is_proven))
        for action in actions:
            if isinstance(action, Publish):
                in_update = {entry.endpoint.endpoint: entry for entry in action.lines}
                if action.kind is not UpdateKind.CHANGES:
                    ready &= set(in_update)
                for endpoint_id, update in in_update.items():
                    if update.endpoint.state is EndpointState.READY:
                        assert listed[endpoint_id][0] == update.port
                        ready.add(endpoint_id)
                    else:
                        ready.discard(endpoint_id)
        assert ready <= set(listed)
        for endpoint_id in ready:
            assert proven.get((endpoint_id, listed[endpoint_id][0])), (
                f"endpoint {endpoint_id} is ready without a proof"
            )
    assert proofs.ready == len(ready)
