"""What the module may hear of: proven endpoints alone, drains at once, nothing of an address that is not theirs."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from gateusher.discovery.lists import ListedEndpoint
from gateusher.policy.interface import Endpoint, EndpointState, UpdateKind
from gateusher.rehearsal.proofs import Challenge, ChallengeEnded, EndpointProofs, ListUpdate, Publish, Tick


def line(eid: int, state: EndpointState = EndpointState.READY, port: int = 80, booted: float = 0.0) -> ListedEndpoint:
    return ListedEndpoint(Endpoint(eid, state, 0, 0, 0, 1.0, booted), f"n{eid}", "127.0.0.1", port)


def told(actions: list[Any]) -> list[tuple[UpdateKind, list[tuple[int, EndpointState]]]]:
    return [
        (a.kind, [(x.endpoint.endpoint, x.endpoint.state) for x in a.lines])
        for a in actions
        if isinstance(a, Publish)
    ]


def asks(actions: list[Any]) -> list[tuple[int, int]]:
    return [(a.endpoint, a.address[1]) for a in actions if isinstance(a, Challenge)]


WHERE = ("127.0.0.1", 80)


def test_an_endpoint_is_told_ready_once_it_has_proven() -> None:
    proofs = EndpointProofs()
    first = proofs.handle(0.0, ListUpdate(UpdateKind.COMPLETE, 5, (line(1), line(2))))
    assert told(first) == [(UpdateKind.COMPLETE, [])] and asks(first) == [(1, 80), (2, 80)]
    assert told(proofs.handle(1.0, ChallengeEnded(1, WHERE, True))) == [
        (UpdateKind.CHANGES, [(1, EndpointState.READY)])
    ]
    assert proofs.handle(1.0, ChallengeEnded(2, WHERE, False)) == []
    assert proofs.ready == 1
    # it is asked again, and a list that says the same tells what has proven
    assert asks(proofs.handle(500.0, Tick())) == []
    assert asks(proofs.handle(1001.0, Tick())) == [(1, 80), (2, 80)]
    again = proofs.handle(1002.0, ListUpdate(UpdateKind.COMPLETE, 6, (line(1), line(2))))
    assert told(again) == [(UpdateKind.COMPLETE, [(1, EndpointState.READY)])]


def test_a_drain_waits_for_no_proof() -> None:
    proofs = EndpointProofs()
    proofs.handle(0.0, ListUpdate(UpdateKind.COMPLETE, 1, (line(1), line(2))))
    proofs.handle(1.0, ChallengeEnded(1, WHERE, True))
    changes = proofs.handle(
        2.0, ListUpdate(UpdateKind.CHANGES, 2, (line(1, EndpointState.DRAINING), line(2, EndpointState.REMOVED)))
    )
    assert told(changes) == [(UpdateKind.CHANGES, [(1, EndpointState.DRAINING), (2, EndpointState.REMOVED)])]
    assert proofs.handle(3.0, ChallengeEnded(2, WHERE, True)) == [] and proofs.ready == 0


def test_one_that_fails_later_is_gone_until_it_proves_it_again() -> None:
    proofs = EndpointProofs()
    proofs.handle(0.0, ListUpdate(UpdateKind.COMPLETE, 1, (line(1),)))
    proofs.handle(1.0, ChallengeEnded(1, WHERE, True))
    proofs.handle(1500.0, Tick())
    assert told(proofs.handle(1501.0, ChallengeEnded(1, WHERE, False))) == [
        (UpdateKind.CHANGES, [(1, EndpointState.REMOVED)])
    ]
    proofs.handle(3000.0, Tick())
    assert told(proofs.handle(3001.0, ChallengeEnded(1, WHERE, True))) == [
        (UpdateKind.CHANGES, [(1, EndpointState.READY)])
    ]


def test_a_proof_is_worth_nothing_at_another_address_or_after_a_new_start() -> None:
    proofs = EndpointProofs()
    proofs.handle(0.0, ListUpdate(UpdateKind.COMPLETE, 1, (line(1), line(2))))
    for eid in (1, 2):
        proofs.handle(1.0, ChallengeEnded(eid, WHERE, True))
    moved = proofs.handle(2.0, ListUpdate(UpdateKind.CHANGES, 2, (line(1, port=81), line(2, booted=5.0))))
    assert told(moved) == [(UpdateKind.CHANGES, [(1, EndpointState.REMOVED), (2, EndpointState.REMOVED)])]
    assert asks(moved) == [(1, 81), (2, 80)]
    assert proofs.handle(3.0, ChallengeEnded(1, WHERE, True)) == []  # of its old address
    assert told(proofs.handle(4.0, ChallengeEnded(1, ("127.0.0.1", 81), True))) == [
        (UpdateKind.CHANGES, [(1, EndpointState.READY)])
    ]


def test_a_failed_watch_is_the_module_s_to_know() -> None:
    assert told(EndpointProofs().handle(0.0, ListUpdate(UpdateKind.FAILED, 0, ()))) == [(UpdateKind.FAILED, [])]


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
def test_whatever_comes_nobody_is_ready_without_a_proof(events: list[Any]) -> None:
    """Against a model that keeps, for each address, whether its latest answer was a proof."""
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
                listed = {eid: at for eid, at in listed.items() if any(row[0] == eid for row in rows)}
            for eid, state, port, booted in rows:
                if state is not EndpointState.READY:
                    listed.pop(eid, None)
                else:
                    if listed.get(eid) != (port, booted):
                        proven[eid, port] = proven.get((eid, port), False) and listed.get(eid, (0, 9))[1] >= booted
                    listed[eid] = port, booted
            actions = proofs.handle(now, ListUpdate(kind, 1, tuple(line(e, s, p, b) for e, s, p, b in rows)))
        else:
            eid, port, ok = event
            proven[eid, port] = ok
            actions = proofs.handle(now, ChallengeEnded(eid, ("127.0.0.1", port), ok))
        for action in actions:
            if isinstance(action, Publish):
                named = {x.endpoint.endpoint: x for x in action.lines}
                if action.kind is not UpdateKind.CHANGES:
                    ready &= set(named)
                for eid, told_line in named.items():
                    if told_line.endpoint.state is EndpointState.READY:
                        assert listed[eid][0] == told_line.port
                        ready.add(eid)
                    else:
                        ready.discard(eid)
        assert ready <= set(listed)
        for eid in ready:
            assert proven.get((eid, listed[eid][0])), f"{eid} is ready and has not proven it"
    assert proofs.ready == len(ready)
