"""Bugs that the explorer found in the program, as the stories that showed them."""

from checker.explore import play


def test_nothing_is_written_for_a_request_that_ended_while_its_connection_came_up() -> None:
    """The process ends, so the deadline comes before the attempt's own end; its dial was not given up."""
    assert play("library", ("unsafe",),
                "unsafe-0 comes",
                "the loop runs",
                "the draw is low",
                "the draw is low",
                "the process is told to end",
                "time passes to the next timer",
                "the loop runs",
                "the draw is low",
                "the draw is low",
                "a connection to n1 comes up",
                "in the same turn:",
                "time passes to the next timer",
                "the kernel takes all of it") == []
