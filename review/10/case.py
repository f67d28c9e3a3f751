"""A link between the data centres is cut while long answers are passed on: does what the endpoint gives arrive?"""

from __future__ import annotations

import asyncio
from pathlib import Path

from stage import (
    BROKEN,
    HELD,
    Client,
    Connection,
    CouldNotRunError,
    Record,
    Request,
    Sidecar,
    lane,
    main,
    make_settings,
    start_endpoints,
    trouble,
)

from gateusher.standins.wire import DiscoveryServer

ANSWER_BYTES = 4 << 20
PIECE_BYTES = 16384
PIECE_INTERVAL_S = 0.02  # 256 pieces: some 5 s for an answer
CUT_AFTER_S = 2.0
CUT_S = 14.0
REQUESTS = 6
PATIENCE_S = 60.0


def body_of(request_id: str) -> bytes:
    """Return the body that an endpoint makes for a request."""
    line = f"{request_id} pallet, bay, weight\n".encode()
    return (line * (ANSWER_BYTES // len(line) + 1))[:ANSWER_BYTES]


async def case(record: Record) -> int:
    """Play the case."""

    async def serve(connection: Connection, request: Request) -> None:
        body = body_of(request.request_id)
        connection.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        try:
            for at in range(0, len(body), PIECE_BYTES):
                connection.writer.write(body[at : at + PIECE_BYTES])
                await connection.writer.drain()
                await asyncio.sleep(PIECE_INTERVAL_S)
        except OSError as error:
            record.note("endpoint", f"can't give the rest of its answer to {request.request_id}: {error}")
            raise
        record.note("endpoint", f"has given all of its answer to {request.request_id}")

    discovery = DiscoveryServer()
    links = await start_endpoints(discovery, ("west", "west", "west"), record, serve)
    sidecar = Sidecar(discovery, make_settings([lane("pallet-lookup", "idempotent")]), record)
    lost: list[str] = []

    async def ask(number: int) -> bool:
        request_id = f"{number:016x}"
        answer = await Client(sidecar.port, record).ask("GET", "/pallet-lookup", request_id, patience_s=PATIENCE_S)
        if answer.status == 200 and not (answer.whole and answer.body == body_of(request_id)):
            lost.append(request_id)
            record.note("client", f"LOST: {request_id} ended after {len(answer.body)} of {ANSWER_BYTES} bytes")
        return answer.status == 200

    async def cut() -> None:
        await asyncio.sleep(CUT_AFTER_S)
        if trouble():
            record.note("network", f"the data centres are cut off from each other for {CUT_S} s")
            for link in links:
                link.open_again.clear()
            await asyncio.sleep(CUT_S)
            for link in links:
                link.open_again.set()
            record.note("network", "the cut is over")

    try:
        await sidecar.start()
        begun, _ = await asyncio.gather(asyncio.gather(*(ask(number) for number in range(REQUESTS))), cut())
        await asyncio.sleep(1.0)  # for what the endpoints see of it
    finally:
        sidecar.close()
        discovery.close()
    if not all(begun):
        raise CouldNotRunError("an answer did not begin before the cut")
    record.note("case", f"{len(lost)} of {REQUESTS} answers were cut off")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, case)
