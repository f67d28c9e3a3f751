"""Mapping of entries by the rules, client identities, and the plan with its times, copies and connections."""

from collections import Counter
from itertools import pairwise
from typing import Any

import pytest

from gateusher.load import rules
from gateusher.load.entry import Entry, FaultyError
from gateusher.load.plan import ConnectionAssigner, Pace, copy_of, plan, shift_of, worker_of
from gateusher.load.rules import Mapped, Mapper, RulesError

SAFE = {"effect": "safe", "aim": 0.5, "deadline": 1.0}
UNSAFE = {"effect": "unsafe", "aim": 0.5, "deadline": 2.0}
KEYED = {"effect": "keyed", "aim": 0.5, "deadline": 2.0, "window": 4.0}
RULES: dict[str, Any] = {
    "classes": {"look": SAFE, "issue": UNSAFE, "book": KEYED},
    "salt": "s",
    "identity": ["cookie:session", "forwarded", "address"],
    "rules": [
        {"method": "GET", "path": "/pallets/{sku}", "class": "look", "key": "{sku}"},
        {"host": "*.hengda.example", "path": "/consign/**", "class": "issue", "body": "source", "tenant": "h"},
        {"path": "/book", "class": "book", "key": "?depot", "body": 100},
    ],
}


def mapper(**more: Any) -> Mapper:
    return Mapper(rules.parse({**RULES, **more}))


def entry(method: str = "GET", target: str = "/pallets/7", **more: Any) -> Entry:
    return Entry(**{"at": 0.0, "method": method, "target": target, "address": "10.0.0.1", **more})


def test_entry_is_mapped_to_a_class_a_key_a_tenant_and_a_body() -> None:
    m = mapper()
    look = m.map(entry(target="/pallets/7?x=1"), "f")
    assert look and (m.names[look.cls], look.tenant, look.body) == ("look", "", 0)
    again = m.map(entry(target="/pallets/7"), "f")
    other = m.map(entry(target="/pallets/8"), "f")
    assert again and other and look.key == again.key != other.key
    assert "7" not in (look.key.strip("0123456789abcdef"),)
    issue = m.map(entry("POST", "/consign/a/b", host="api.hengda.example", body=b"xyz"), "f")
    assert issue and (m.names[issue.cls], issue.tenant, issue.body) == ("issue", "h", b"xyz")
    book = m.map(entry("PUT", "/book?depot=tpe"), "f")
    assert book and (m.names[book.cls], book.body) == ("book", 100)


@pytest.mark.parametrize(
    ("unmappable", "field"),
    [
        (entry("POST", "/consign/a", host="a.hengda.example"), "body"),
        (entry("POST", "/book"), "key"),
        (entry(address=""), "client"),
    ],
)
def test_entry_without_a_value_that_its_rule_needs_is_a_fault(unmappable: Entry, field: str) -> None:
    with pytest.raises(FaultyError) as error:
        mapper().map(unmappable, "f")
    assert error.value.field == field


def test_unmatched_requests_are_counted_by_pattern() -> None:
    m = mapper()
    for target in ("/admin/17/a9f3", "/admin/18/bb07", "/static/app.js", "/pallets/7/8"):
        assert m.map(entry(target=target), "f") is None
    assert m.unmatched == {"GET /admin/{}/{}": 2, "GET /static/app.js": 1, "GET /pallets/{}/{}": 1}


def test_client_is_a_salted_hash_of_the_first_identity_present() -> None:
    m, other = mapper(), mapper(salt="t")
    by_cookie = m.client_of(entry(cookie="a=b; session=x1", forwarded="192.0.2.1"), "f")
    assert by_cookie == m.client_of(entry(cookie="session=x1", address="10.9.9.9"), "f")
    assert by_cookie != m.client_of(entry(cookie="session=x2"), "f")
    assert by_cookie != other.client_of(entry(cookie="session=x1"), "f")
    assert m.client_of(entry(forwarded="192.0.2.1"), "f") != m.client_of(entry(address="192.0.2.1"), "f")
    assert m.client_of(entry(forwarded="10.0.0.1"), "f") == m.client_of(entry(forwarded="10.0.0.1", address="x"), "f")


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"classes": {}}, "at least one"),
        ({"rules": [{"path": "/a", "class": "lok"}]}, "one of look, issue, book"),
        ({"rules": [{"path": "a", "class": "look"}]}, "begins with"),
        ({"identity": ["cooky"]}, "identity[0]"),
        ({"rules": [{"path": "/{a}", "class": "look", "key": "{b}"}]}, "names a"),
        ({"clases": {}}, "did you mean"),
        ({"rules": [{"path": "/{a}/{a}", "class": "look"}]}, "path"),
        ({"rules": [{"path": "/a"}]}, "class: missing"),
        ({"rules": [{"path": "/a", "class": "look", "body": 70000}]}, "body"),
    ],
)
def test_each_fault_of_the_rules_is_reported(change: dict[str, Any], message: str) -> None:
    with pytest.raises(RulesError) as error:
        rules.parse({**RULES, **change})
    assert any(message in fault for fault in error.value.faults), error.value.faults


# -- the plan


def mapped(*at: float, took: float = -1.0, client: int = 1) -> list[Mapped]:
    return [Mapped(entry(at=t, took=took), client, 0, "", "", 0) for t in at]


def test_times_start_at_the_first_request_and_are_divided_by_the_speed() -> None:
    items = list(plan(mapped(3600.0, 3602.0, 3610.0), Pace(speed=4)))
    assert [i.at for i in items] == [0.0, 0.5, 2.5]
    assert [i.number for i in items] == [0, 1, 2]
    assert [i.at for i in plan(mapped(5.0, 9.0), Pace(begin=4.0))] == [1.0, 5.0]


def test_copies_are_separate_clients_with_separate_shifts() -> None:
    source = sorted((m for c in range(50) for m in mapped(*range(0, 40, 2), client=c)), key=lambda m: m.entry.at)
    items = list(plan(source, Pace(speed=2, copies=5, shift_s=10)))
    assert len(items) == 5 * len(source)
    assert all(a.at <= b.at for a, b in pairwise(items))
    assert [i.number for i in items] == list(range(len(items)))
    by_client = Counter(i.client for i in items)
    assert len(by_client) == 250 and set(by_client.values()) == {20}
    firsts = {c: min(i.at for i in items if i.client == c) for c in by_client}
    for client in range(50):
        shifts = [firsts[copy_of(client, copy)] for copy in range(5)]
        assert shifts[0] == 0.0 and len(set(shifts)) == 5 and max(shifts) <= 5.0
        assert shifts[1] == pytest.approx(shift_of(1, client, 1, 10) / 2)
    assert items == list(plan(source, Pace(speed=2, copies=5, shift_s=10)))


def test_overlapping_requests_use_separate_connections_and_keep_their_think_times() -> None:
    assigner = ConnectionAssigner()
    assert [assigner.assign(1, at, 1.0) for at in (0.0, 0.5, 0.75, 1.25, 9.0)] == [
        (0, -1.0),
        (1, -1.0),
        (2, -1.0),
        (0, 0.25),
        (0, 6.75),
    ]
    assert assigner.assign(1, 9.5, -1.0) == (-1, -1.0)
    assert assigner.assign(1, 9.999, 0.5) == (0, 0.0)  # an overlap of 1 ms is a rounding error of the times
    bounded = ConnectionAssigner(max_clients=2)
    for client in range(5):
        bounded.assign(client, 0.0, 1.0)
    assert bounded.forgotten == 3


def test_all_requests_of_a_client_go_to_one_worker() -> None:
    items = list(plan([m for c in range(40) for m in mapped(0.0, client=c)], Pace()))
    parts = [[item for item in items if worker_of(item, 3) == w] for w in range(3)]
    assert sorted(i.number for part in parts for i in part) == list(range(40))
    assert not {i.client for i in parts[0]} & {i.client for i in parts[1]}
