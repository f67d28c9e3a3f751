"""An upload, over any order of what its source, its targets and the memory budget do."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gateusher.base.limits import MemoryBudget
from gateusher.upstream import upload as upload_module
from gateusher.upstream.upload import MAX_REPLAY_BYTES, Upload

ROOM = 4 * MAX_REPLAY_BYTES
DATA = bytes(range(256)) * (MAX_REPLAY_BYTES // 64)  # four times what is kept


class Client:
    """Gives nothing while it is held."""

    def __init__(self) -> None:
        self.held = False

    def pause(self) -> None:
        assert not self.held
        self.held = True

    def resume(self) -> None:
        assert self.held
        self.held = False


class Node:
    """One attempt: what it got, and whether that was all."""

    def __init__(self) -> None:
        self.got, self.whole = bytearray(), False

    def write(self, data: bytes) -> None:
        assert not self.whole
        self.got += data

    def finish(self) -> None:
        assert not self.whole
        self.whole = True


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("feed"), st.integers(1, MAX_REPLAY_BYTES)),
        st.tuples(st.just("feed"), st.just(MAX_REPLAY_BYTES // 2)),
        st.tuples(st.just("attach"), st.just(0)),
        st.tuples(st.just("detach"), st.just(0)),
        st.tuples(st.just("full"), st.just(0)),
        st.tuples(st.just("room"), st.just(0)),
        st.tuples(st.just("others"), st.integers(0, ROOM)),
        st.tuples(st.just("finish"), st.just(0)),
    ),
    max_size=40,
)


@settings(max_examples=400, deadline=None)
@given(STEPS, st.integers(0, 70000))
def test_every_taker_gets_all_of_it_from_the_first_byte_on(steps: list[tuple[str, int]], begun: int) -> None:
    client, memory = Client(), MemoryBudget(ROOM)
    memory.acquire(begun)
    upload = Upload(client, bytearray(DATA[:begun]), -1, 1000.0, memory)
    given_, taker, others = begun, None, 0
    for step, n in steps:
        if step == "feed" and not client.held and not upload.is_complete and given_ + n <= len(DATA):
            upload.feed(DATA[given_ : given_ + n])
            given_ += n
        elif step == "attach" and taker is None and not upload.is_discarded:
            taker = Node()
            upload.attach(taker)
            assert not client.held or upload.is_complete
        elif step == "detach" and taker:
            upload.detach()
            taker = None
            assert not (upload.is_discarded and client.held), "its client never gets to read why"
        elif step == "full" and taker:
            upload.pause()
        elif step == "room" and taker:
            upload.resume()
            assert not client.held
        elif step == "others":  # bodies and answers of other requests
            memory.release(others)
            others = min(n, max(0, ROOM - memory.in_use))
            memory.acquire(others)
        elif step == "finish" and not client.held and not upload.is_complete:
            upload.finish()
        if taker:
            assert taker.got == DATA[:given_] and taker.whole is upload.is_complete
        kept = memory.in_use - others
        # A piece more than is kept at most, where there was nobody to give it to.
        assert kept <= (2 * MAX_REPLAY_BYTES if taker is None else MAX_REPLAY_BYTES)
        assert kept == (0 if upload.is_discarded else given_)
        if not upload.is_discarded and taker is None and given_ > MAX_REPLAY_BYTES:
            assert client.held or upload.is_complete
        assert not (upload.is_complete and client.held)
    upload.release()
    assert memory.in_use == others and upload.is_discarded


def test_where_room_is_scarce_nothing_more_is_taken_before_there_is_a_taker() -> None:
    client, memory = Client(), MemoryBudget(1000)
    memory.acquire(400)
    upload = Upload(client, bytearray(100), 5000, 1000.0, memory)
    upload.on_request_submitted()
    assert not client.held
    memory.acquire(200)
    upload.on_request_submitted()
    assert client.held
    taker = Node()
    upload.attach(taker)
    assert not client.held and len(taker.got) == 100
    upload.feed(bytes(10))
    assert (
        upload.is_discarded and len(taker.got) == 110
    )  # what has gone through is not kept where others need the room
    assert upload_module.MAX_REPLAY_BYTES == 1 << 20
