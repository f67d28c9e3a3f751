"""The sizes of reads."""

from gateusher.base.limits import MIN_PRESSED_CONNECTIONS, MemoryBudget
from gateusher.base.read_buffer import MAX_READ_BYTES, MIN_READ_BYTES, PRESSED_READ_BYTES, ReadBuffer, ReadSize


def test_reads_grow_while_they_are_filled() -> None:
    size = ReadSize(ReadBuffer(MemoryBudget(1 << 20)))
    lengths = list[int]()
    for _ in range(7):
        lengths.append(len(size.part()))
        size.take(lengths[-1])
    assert lengths == [4096, 8192, 16384, 32768, MAX_READ_BYTES, MAX_READ_BYTES, MAX_READ_BYTES]


def test_reads_that_are_not_filled_stay_short() -> None:
    size = ReadSize(ReadBuffer(MemoryBudget(1 << 20)))
    for _ in range(3):
        size.take(100)
    assert len(size.part()) == MIN_READ_BYTES


def test_reads_of_costly_input_are_short_again() -> None:
    size = ReadSize(ReadBuffer(MemoryBudget(1 << 20)))
    size.take(MIN_READ_BYTES)
    size.reset()
    assert len(size.part()) == MIN_READ_BYTES


def test_reads_are_shortest_close_to_the_memory_limit() -> None:
    memory = MemoryBudget(1 << 20)
    size = ReadSize(ReadBuffer(memory))
    for _ in range(MIN_PRESSED_CONNECTIONS + 1):
        memory.connection_opened()
    memory.apply_headroom(0.0, is_pressed=True)
    assert len(size.part()) == PRESSED_READ_BYTES


def test_what_was_read_outlives_the_next_read() -> None:
    buffer = ReadBuffer(MemoryBudget(1 << 20))
    first, second = ReadSize(buffer), ReadSize(buffer)
    first.part()[:3] = b"one"
    data = first.take(3)
    second.part()[:3] = b"two"
    assert (data, second.take(3)) == (b"one", b"two")
