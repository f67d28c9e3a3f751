"""Property tests of an upload over arbitrary orders of events from its source, its targets and the memory budget."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gateusher.base.limits import MemoryBudget
from gateusher.upstream import upload as upload_module
from gateusher.upstream.upload import MAX_REPLAY_BYTES, Upload

MEMORY_BYTES = 4 * MAX_REPLAY_BYTES
DATA = bytes(range(256)) * (MAX_REPLAY_BYTES // 64)  # four times MAX_REPLAY_BYTES


class Source:
    """A client that delivers nothing while it is paused."""

    def __init__(self) -> None:
        self.paused = False

    def pause(self) -> None:
        assert not self.paused
        self.paused = True

    def resume(self) -> None:
        assert self.paused
        self.paused = False


class Target:
    """An attempt that records the bytes it received and whether the body is complete.

    Its first write fills its socket, and so pauses `full_for` if that is given.
    """

    def __init__(self, full_for: Upload | None = None) -> None:
        self.received, self.complete = bytearray(), False
        self._full_for = full_for

    def write(self, data: bytes) -> None:
        assert not self.complete
        self.received += data
        if self._full_for:
            self._full_for.pause()
            self._full_for = None

    def finish(self) -> None:
        assert not self.complete
        self.complete = True


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("feed"), st.integers(1, MAX_REPLAY_BYTES)),
        st.tuples(st.just("feed"), st.just(MAX_REPLAY_BYTES // 2)),
        st.tuples(st.just("attach"), st.integers(0, 1)),
        st.tuples(st.just("detach"), st.just(0)),
        st.tuples(st.just("pause"), st.just(0)),
        st.tuples(st.just("resume"), st.just(0)),
        st.tuples(st.just("other requests"), st.integers(0, MEMORY_BYTES)),
        st.tuples(st.just("finish"), st.just(0)),
    ),
    max_size=40,
)


@settings(max_examples=400, deadline=None)
@given(STEPS, st.integers(0, 70000))
def test_every_target_receives_the_body_from_its_first_byte_on(
    steps: list[tuple[str, int]], initial_bytes: int
) -> None:
    source, memory = Source(), MemoryBudget(MEMORY_BYTES)
    memory.acquire(initial_bytes)
    upload = Upload(source, bytearray(DATA[:initial_bytes]), -1, 1000.0, memory)
    fed_bytes, target, other_bytes = initial_bytes, None, 0
    for step, n in steps:
        if step == "feed" and not source.paused and not upload.is_complete and fed_bytes + n <= len(DATA):
            upload.feed(DATA[fed_bytes : fed_bytes + n])
            fed_bytes += n
        elif step == "attach" and target is None and not upload.is_discarded:
            target = Target(full_for=upload if n else None)
            upload.attach(target)
            assert source.paused == bool(n and fed_bytes and not upload.is_complete)
        elif step == "detach" and target:
            upload.detach()
            target = None
            assert not (upload.is_discarded and source.paused), "the client never gets to reading its response"
        elif step == "pause" and target:
            upload.pause()
        elif step == "resume" and target:
            upload.resume()
            assert not source.paused
        elif step == "other requests":  # memory of their bodies and responses
            memory.release(other_bytes)
            other_bytes = min(n, max(0, MEMORY_BYTES - memory.in_use))
            memory.acquire(other_bytes)
        elif step == "finish" and not upload.is_complete:  # of a paused source too: in the read that led to the pause
            upload.finish()
        if target:
            assert target.received == DATA[:fed_bytes] and target.complete is upload.is_complete
        retained_bytes = memory.in_use - other_bytes
        # Without a target, one more feed than MAX_REPLAY_BYTES may be retained before the source is paused.
        assert retained_bytes <= (2 * MAX_REPLAY_BYTES if target is None else MAX_REPLAY_BYTES)
        assert retained_bytes == (0 if upload.is_discarded else fed_bytes)
        if not upload.is_discarded and target is None and fed_bytes > MAX_REPLAY_BYTES:
            assert source.paused or upload.is_complete
        assert not (upload.is_complete and source.paused)
    upload.release()
    assert memory.in_use == other_bytes and upload.is_discarded
    assert not source.paused, "the client's next request is never read"


def test_scarce_memory_pauses_the_source_until_there_is_a_target() -> None:
    source, memory = Source(), MemoryBudget(1000)
    memory.acquire(400)
    upload = Upload(source, bytearray(100), 5000, 1000.0, memory)
    upload.on_request_submitted()
    assert not source.paused
    memory.acquire(200)
    upload.on_request_submitted()
    assert source.paused
    target = Target()
    upload.attach(target)
    assert not source.paused and len(target.received) == 100
    upload.feed(bytes(10))
    # While memory is scarce, forwarded bytes are not retained.
    assert upload.is_discarded and len(target.received) == 110
    assert upload_module.MAX_REPLAY_BYTES == 1 << 20
