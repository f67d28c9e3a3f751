"""The text of load reports, as the policy gets it."""

import pytest

from gateusher.upstream.reports import make_report_parser


@pytest.mark.parametrize(
    ("fields", "text", "report"),
    [
        ((), b"TEXT queue=3", ()),
        (("waiting",), b"", ()),
        (("waiting",), b"TEXT ", ()),
        (("waiting",), b"TEXT queue=", ()),
        (("waiting",), b"TEXT queue=nan", ()),
        (("waiting",), b"TEXT queue=-1", ()),
        (("waiting",), b"TEXT queue=3", (3.0,)),
        (("waiting", "cpu"), b"TEXT queue=3", ()),
        (("cpu", "waiting"), b"TEXT queue=3, util=0.5", (0.5, 3.0)),
    ],
)
def test_a_report_has_all_fields_of_the_settings_or_none(
    fields: tuple[str, ...], text: bytes, report: tuple[float, ...]
) -> None:
    assert make_report_parser(fields)(text) == report


@pytest.mark.parametrize("fields", [("waiting", "waiting"), ("waiting", "cpu", "waiting"), ("waiting", "queue")])
def test_a_metric_that_the_settings_name_twice_has_its_value_in_both_positions(fields: tuple[str, ...]) -> None:
    values = {"waiting": 3.0, "queue": 3.0, "cpu": 0.5}
    report = make_report_parser(fields)(b"TEXT queue=3, util=0.5")
    assert report == tuple(values[field] for field in fields)
