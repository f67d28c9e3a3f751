"""The traffic of a page in a real Chromium, exported as a HAR and replayed to stand-ins."""

import asyncio
import tomllib
from collections import Counter
from pathlib import Path

import pytest

from gateusher.load import rules
from gateusher.load.entry import Faults
from gateusher.load.plan import Pace, plan
from gateusher.load.reading import Reading
from gateusher.load.rules import Mapper
from gateusher.load.sources.files import Source
from gateusher.standins.nodes import Fleet, Node

from ..net import Reader, Writer, read_message, run
from .chromium import CHROMIUM, Chromium
from .target import RULES
from .test_player import outcomes, play

PAGE = b"""<!doctype html><title>loading</title><script>
const request = async (path, options) => (await fetch(path, options)).text();
(async () => {
  for (let i = 0; i < 6; i++) await request('/pallets/' + i);
  await Promise.all([6, 7, 8].map(i => request('/pallets/' + i)));
  for (let i = 0; i < 2; i++) await request('/consign', {method: 'POST', body: 'scan ' + i});
  document.title = 'done';
})()</script>"""


@pytest.mark.skipif(CHROMIUM is None, reason="no Chromium on this machine")
def test_requests_of_a_page_are_read_and_replayed(tmp_path: Path) -> None:
    async def test() -> None:
        received: list[tuple[str, str]] = []
        all_parallel_received = asyncio.Barrier(3)

        async def serve(reader: Reader, writer: Writer) -> None:
            try:
                while True:
                    head, _ = await read_message(reader)
                    method, target, _ = head.decode().split("\r\n")[0].split(" ")
                    received.append((method, target))
                    if target in ("/pallets/6", "/pallets/7", "/pallets/8"):
                        await all_parallel_received.wait()  # so that the three requests overlap for 50 ms
                        await asyncio.sleep(0.05)
                    body = PAGE if target == "/" else b"ok"
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nCache-Control: no-store\r\nContent-Type: text/html\r\n"
                        b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                    )
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with Chromium(tmp_path) as browser:
            await browser.open(f"http://127.0.0.1:{port}/", "done")
            (tmp_path / "a.har").write_text(browser.har())
        server.close()
        source = Source(tmp_path / "a.har")
        assert source.is_har
        mapping = rules.parse({**tomllib.loads(RULES), "identity": ["agent"]})
        reading = Reading([source], Mapper(mapping), Faults(), 1)
        planned = list(plan(reading.requests(), Pace(speed=10)))
        assert not reading.faults.first
        expected = [(m, t) for m, t in received if t.startswith(("/pallets", "/consign"))]
        assert len(planned) == len(expected) == 11
        assert reading.mapper.unmatched.keys() <= {"GET /", "GET /favicon.ico"}
        assert max(item.connection_index for item in planned) >= 2  # three requests overlapped
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        player = await play(("127.0.0.1", node.port), *planned)
        assert outcomes(player) == {"SERVED": 11}
        assert Counter(fleet.effects.values()) == {1: 11}
        classes = [fleet.requests[f"replay-test1-{i}"][0].headers["x-class"] for i in range(11)]
        assert classes == ["look"] * 9 + ["issue"] * 2
        node.kill()

    run(test())
