"""Bugs that the explorer found in the program, as the stories that showed them."""

from checker.explore import replay
from checker.world import Setting


def test_nothing_is_written_for_a_request_that_ended_while_its_connection_came_up() -> None:
    """The process ends, so the deadline comes before the attempt's own end; its dial was not given up."""
    assert (
        replay(
            "library",
            ("unsafe",),
            "unsafe-0 is submitted",
            "with the usual timeout",
            "the event loop runs",
            "with a complete body",
            "the draw yields n0 and n1",
            "shutdown begins",
            "the next timer fires",
            "the draw yields n0 and n1",
            "a connection to n1 is established",
            "in the same loop iteration:",
            "the next timer fires",
            "the kernel accepts all of it",
        )
        == []
    )


def test_a_keyed_request_is_never_written_past_the_window_of_its_key() -> None:
    """Its repeat was decided inside the window, and its connection came up after it."""
    assert (
        replay(
            "library",
            ("keyed", "safe"),
            "keyed-0 is submitted",
            "with the usual timeout",
            "in the same loop iteration:",
            "the endpoint list has n0 Ready again",
            "the event loop runs",
            "with a complete body",
            "the draw yields no endpoint",
            "a connection to n1 is established",
            "the event loop runs",
            "the kernel accepts all of it",
            "garbage arrives on connection 0 (n1)",
            "the draw yields n0 and n1",
            "the event loop runs",
            "the next timer fires",
            "the draw yields n0 and n1",
            "the event loop runs",
            "descriptors are exhausted",
            "safe-1 is submitted",
            "with the usual timeout",
            "the event loop runs",
            "the draw yields n0 and n1",
            "the draw yields n0 and n1",
            "a connection to n1 is established",
            "in the same loop iteration:",
            "the next timer fires",
            "the draw yields n0 and n1",
            "the draw yields n0 and n1",
            "in the same loop iteration:",
        )
        == []
    )


def test_an_answer_that_began_before_the_request_was_out_is_not_its_answer() -> None:
    """Its head was cut, the last byte left meanwhile, and the rest of the head passed for an answer to it."""
    assert (
        replay(
            "library",
            ("unsafe",),
            "unsafe-0 is submitted",
            "with the usual timeout",
            "the event loop runs",
            "with a complete body",
            "the draw yields n0 and n1",
            "a connection to n0 is established",
            "the event loop runs",
            "the kernel accepts half of it",
            "a generated response arrives early on connection 0 (n0)",
            "truncated",
            "with Content-Length",
            "keep-alive",
            "truncated in the headers",
            "the kernel accepts the rest on connection 0 (n0)",
            "the rest of the response arrives on connection 0 (n0)",
            "the event loop runs",
        )
        == []
    )


def test_an_end_answers_nobody_twice() -> None:
    """A client that didn't read its answer was sent a second one, 503, when the drain ended."""
    assert (
        replay(
            "daemon",
            ("unsafe",),
            "unsafe-0 is submitted",
            "with the usual timeout",
            "on a new connection",
            "in one part",
            "the draw yields n0 and n1",
            "the event loop runs",
            "the endpoint list has n0 Terminating",
            "unsafe-0's client stops reading",
            "two seconds pass",
            "the draw yields n1",
            "the draw yields n1",
            "the draw yields n1",
            "shutdown begins",
            "two seconds pass",
            "two seconds pass",
            setting=Setting(graceful_shutdown=True),
        )
        == []
    )
