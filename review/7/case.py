"""An answer whose length doesn't fit, being too short: is a part of it served as if it were the whole?"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from stage import (
    BROKEN,
    HELD,
    Client,
    Connection,
    CouldNotRunError,
    Record,
    Request,
    Sidecar,
    encode_answer,
    lane,
    main,
    make_settings,
    start_endpoints,
    trouble,
)

from gateusher.standins.wire import DiscoveryServer

SPOILT_SHARE = 0.1
CLIENTS = 4
PLAY_S = 8.0


def body_of(request_id: str) -> bytes:
    """Return the body that an endpoint makes for a request."""
    return f'{{"request":"{request_id}","pallet":4711,"bay":"12-C","weight_kg":1250}}'.encode()


async def case(record: Record) -> int:
    """Play the case."""
    random = Random()

    async def serve(connection: Connection, request: Request) -> None:
        body = body_of(request.request_id)
        length = None
        if trouble() and random.random() < SPOILT_SHARE:
            length = len(body) - random.randint(2, 30)
            record.note("endpoint", f"says {length} of the {len(body)} bytes of its answer to {request.request_id}")
        connection.writer.write(encode_answer(body, length))

    discovery = DiscoveryServer()
    await start_endpoints(discovery, ("east", "east", "west", "west"), record, serve)
    sidecar = Sidecar(discovery, make_settings([lane("pallet-lookup", "idempotent")]), record)
    wrong: list[str] = []
    served = 0

    async def play(number: int) -> None:
        nonlocal served
        client = Client(sidecar.port, record)
        until_s = asyncio.get_running_loop().time() + PLAY_S
        while asyncio.get_running_loop().time() < until_s:
            request_id = f"{number:02x}{random.getrandbits(56):014x}"
            answer = await client.ask("GET", "/pallet-lookup", request_id)
            if answer.status == 200 and answer.whole:
                served += 1
                if answer.body != body_of(request_id):
                    wrong.append(request_id)
                    record.note("client", f"WRONG: {request_id} was served whole with {answer.body!r}")
            await asyncio.sleep(0.01)
        client.close()

    try:
        await sidecar.start()
        await asyncio.gather(*(play(number) for number in range(CLIENTS)))
    finally:
        sidecar.close()
        discovery.close()
    if not served:
        raise CouldNotRunError("nothing was served")
    record.note("case", f"{served} served, {len(wrong)} of them with a part of the answer")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, case)
