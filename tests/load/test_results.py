"""Recorded results: merging of workers, bounded latency curves, client deciles, and a sender that falls behind."""

from gateusher.load import results
from gateusher.load.plan import Planned
from gateusher.load.results import Curve, Recorder, summary
from gateusher.load.wire import Outcome


def item(number: int, client: int, cls: int = 0) -> Planned:
    return Planned(number, number / 10, client, -1, -1.0, cls, "", "", 0)


def record(recorder: Recorder, number: int) -> None:
    planned = item(number, number % 40, number % 2)
    recorder.planned(planned)
    recorder.sent(planned, planned.at + 0.001, planned.at, 100)
    outcome = Outcome.REFUSED if number % 5 == 0 else Outcome.SERVED
    recorder.ended(planned, outcome, planned.at + 0.01, 0.001 * (number % 9 + 1), 0.005)


def test_merged_results_of_two_workers_equal_those_of_one() -> None:
    single, parts, merged = Recorder(2), [Recorder(2), Recorder(2)], Recorder(2)
    for number in range(400):
        record(single, number)
        record(parts[number % 40 % 2], number)
    for part in parts:
        merged.merge(part.dump())
    assert summary(merged, ["a", "b"]) == summary(single, ["a", "b"])
    assert summary(single, ["a", "b"])["outcomes"]["refused"] == 80


def test_long_curve_doubles_its_step_and_keeps_all_samples() -> None:
    curve, other = Curve(), Curve()
    for second in range(1000):
        curve.add(second, 1000 + second)
        other.add(second / 10, 500)
    assert len(curve.steps) <= results.MAX_CURVE_STEPS and curve.step_s == 8
    assert sum(histogram.total_count for histogram in curve.steps.values()) == 1000
    curve.merge(other.dump())
    assert sum(histogram.total_count for histogram in curve.steps.values()) == 2000


def test_deciles_group_clients_only_by_their_number_of_requests() -> None:
    recorder = Recorder(1)
    for client in range(100):  # one request each; that of every second client is refused
        recorder.ended(item(0, client), Outcome.REFUSED if client % 2 else Outcome.SERVED, 0.0, 0.001, 1.0)
    recorder.ended(item(1, 7), Outcome.SERVED, 0.0, 0.001, 1.0)
    deciles = recorder.deciles()
    assert [d["clients"] for d in deciles] == [10] * 10
    assert deciles[0]["requests"] == 11
    assert all(4 <= d["refused"] <= 6 for d in deciles)


def test_sender_that_fell_behind_is_reported() -> None:
    recorder = Recorder(1)
    for number in range(1000):
        recorder.sent(item(number, 1), number / 10 + (0.02 if number % 50 == 0 else 0.0), number / 10, 10)
    assert "fell behind" in recorder.fell_behind()
    assert not Recorder(1).fell_behind()
    recorder = Recorder(1)
    # The target was slow to accept the connection; the sender was not late.
    recorder.sent(item(0, 1), 2.0, 0.0, 10, connecting_s=2.0)
    assert not recorder.fell_behind()
