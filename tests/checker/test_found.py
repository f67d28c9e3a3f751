"""Bugs that the explorer found in the program, as the stories that showed them."""

from checker.explore import replay
from checker.world import Setting


def test_nothing_is_written_for_a_request_that_ended_while_its_connection_came_up() -> None:
    """The process ends, so the deadline comes before the attempt's own end; its dial was not given up."""
    assert (
        replay(
            "library",
            ("unsafe",),
            "unsafe-0 comes",
            "with patience",
            "the loop runs",
            "its body is there",
            "the draw gives n0 and n1",
            "the process is told to end",
            "time passes to the next timer",
            "the draw gives n0 and n1",
            "a connection to n1 comes up",
            "in the same turn:",
            "time passes to the next timer",
            "the kernel takes all of it",
        )
        == []
    )


def test_a_keyed_request_is_never_written_past_the_window_of_its_key() -> None:
    """Its repeat was decided inside the window, and its connection came up after it."""
    assert (
        replay(
            "library",
            ("keyed", "safe"),
            "keyed-0 comes",
            "with patience",
            "in the same turn:",
            "the list says Ready again of n0",
            "the loop runs",
            "its body is there",
            "the draw gives nobody",
            "a connection to n1 comes up",
            "the loop runs",
            "the kernel takes all of it",
            "noise comes on connection 0 (n1)",
            "the draw gives n0 and n1",
            "the loop runs",
            "time passes to the next timer",
            "the draw gives n0 and n1",
            "the loop runs",
            "descriptors run out",
            "safe-1 comes",
            "with patience",
            "the loop runs",
            "the draw gives n0 and n1",
            "the draw gives n0 and n1",
            "a connection to n1 comes up",
            "in the same turn:",
            "time passes to the next timer",
            "the draw gives n0 and n1",
            "the draw gives n0 and n1",
            "in the same turn:",
        )
        == []
    )


def test_an_answer_that_began_before_the_request_was_out_is_not_its_answer() -> None:
    """Its head was cut, the last byte left meanwhile, and the rest of the head passed for an answer to it."""
    assert (
        replay(
            "library",
            ("unsafe",),
            "unsafe-0 comes",
            "with patience",
            "the loop runs",
            "its body is there",
            "the draw gives n0 and n1",
            "a connection to n0 comes up",
            "the loop runs",
            "the kernel takes half of it",
            "an answer begins early on connection 0 (n0)",
            "one that is cut",
            "by its length",
            "and is kept",
            "cut in the headers",
            "the rest is written on connection 0 (n0)",
            "the rest of the answer comes on connection 0 (n0)",
            "the loop runs",
        )
        == []
    )


def test_an_end_answers_nobody_twice() -> None:
    """A client that didn't read its answer was sent a second one, 503, when the drain ended."""
    assert (
        replay(
            "daemon",
            ("unsafe",),
            "unsafe-0 comes",
            "with patience",
            "on a connection of its own",
            "at once",
            "the draw gives n0 and n1",
            "the loop runs",
            "the list says Terminating of n0",
            "unsafe-0's client stops reading",
            "two seconds pass",
            "the draw gives n1",
            "the draw gives n1",
            "the draw gives n1",
            "the process is told to end",
            "two seconds pass",
            "two seconds pass",
            setting=Setting(graceful_shutdown=True),
        )
        == []
    )
