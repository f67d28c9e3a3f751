"""A bad client says too short a length: is a part of its body passed on as a request, and served?"""

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
    encode_answer,
    lane,
    main,
    make_settings,
    start_endpoints,
    trouble,
)

from gateusher.standins.wire import DiscoveryServer

REQUESTS = 20
BODY = b'{"sender":"17","pallets":40,"to":"Taichung","cash_on_delivery":1250}'
MISSING_BYTES = 30


async def case(record: Record) -> int:
    """Play the case."""
    ran: dict[str, bytes] = {}

    async def serve(connection: Connection, request: Request) -> None:
        ran[request.request_id] = request.body
        record.note("endpoint", f"runs {request.request_id} with the body {request.body!r}")
        connection.writer.write(encode_answer(b"done"))

    discovery = DiscoveryServer()
    await start_endpoints(discovery, ("east", "east", "west"), record, serve)
    sidecar = Sidecar(discovery, make_settings([lane("consign-issue", "at_most_once")]), record)
    served_wrongly: list[str] = []
    answered = 0
    try:
        await sidecar.start()
        for number in range(REQUESTS):
            is_wrong = trouble() and number % 2 == 1
            request_id = f"{number:016x}"
            fields = f"Content-Length: {len(BODY) - MISSING_BYTES}\r\n" if is_wrong else ""
            client = Client(sidecar.port, record)
            answer = await client.ask("POST", "/consign-issue", request_id, fields, BODY)
            client.close()
            answered += answer.status == 200
            if is_wrong and (answer.status == 200 or request_id in ran):
                served_wrongly.append(request_id)
                record.note(
                    "client", f"WRONG: {request_id} was answered {answer.status}, ran {ran.get(request_id)!r}"
                )
            await asyncio.sleep(0.05)
    finally:
        sidecar.close()
        discovery.close()
    if not answered:
        raise CouldNotRunError("nothing was served")
    record.note("case", f"{len(served_wrongly)} requests with a wrong length were passed on")
    return BROKEN if served_wrongly else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, case)
