"""The queue of turns on an event loop whose iterations the test runs."""

from collections.abc import Callable

from gateusher.base.turn_queue import MAX_TURNS_PER_ITERATION, TurnQueue


class Iterations:
    """Runs what is scheduled for the next iteration."""

    def __init__(self) -> None:
        self.scheduled = list[Callable[[], None]]()
        self.queue = TurnQueue(self.scheduled.append)
        self.ran = list[int]()

    def turn(self, number: int) -> Callable[[], None]:
        return lambda: self.ran.append(number)

    def run_one(self) -> list[int]:
        """Run an iteration, and return the turns in it."""
        callbacks = self.scheduled[:]
        self.scheduled.clear()
        before = len(self.ran)
        for callback in callbacks:
            callback()
        return self.ran[before:]


def test_a_single_turn_runs_in_the_next_iteration() -> None:
    loop = Iterations()
    loop.queue.schedule(loop.turn(1))
    assert loop.run_one() == [1]


def test_many_turns_are_shared_out_over_iterations_in_their_order() -> None:
    loop = Iterations()
    count = 5 * MAX_TURNS_PER_ITERATION
    for number in range(count):
        loop.queue.schedule(loop.turn(number))
    iterations = list[list[int]]()
    while loop.scheduled:
        iterations.append(loop.run_one())
    assert sum(iterations, []) == list(range(count))
    assert max(map(len, iterations)) <= MAX_TURNS_PER_ITERATION


def test_turns_without_a_place_in_the_queue_are_limited_too() -> None:
    loop = Iterations()
    admitted = [loop.queue.try_admit() for _ in range(MAX_TURNS_PER_ITERATION + 1)]
    assert admitted == [True] * MAX_TURNS_PER_ITERATION + [False]
    loop.run_one()
    assert loop.queue.try_admit()


def test_nobody_overtakes_a_turn_that_waits() -> None:
    loop = Iterations()
    for number in range(2 * MAX_TURNS_PER_ITERATION + 1):
        loop.queue.schedule(loop.turn(number))
    loop.run_one()
    assert not loop.queue.try_admit()


def test_a_cancelled_turn_neither_runs_nor_is_kept() -> None:
    loop = Iterations()
    turns = [loop.turn(number) for number in range(MAX_TURNS_PER_ITERATION + 2)]
    for turn in turns:
        loop.queue.schedule(turn)
    loop.queue.cancel(turns[-1])
    loop.queue.cancel(turns[-1])
    while loop.scheduled:
        loop.run_one()
    assert loop.ran == list(range(MAX_TURNS_PER_ITERATION + 1))
