"""Bad clients send long bodies in chunks of one byte: do the usual clients get their final answers in time?"""

from __future__ import annotations

import asyncio
import subprocess
import sys
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

BAD_CLIENTS = 16
USUAL_CLIENTS = 8
CALM_S = 2.0
FLOOD_S = 12.0
WORK_S = 0.02
DEADLINE_S = 1.2  # 48 in 100 of consign-issue's 2.5 s: the shortest that its clients wait
GRACE_S = 0.5  # later an answer is lost
PATIENCE_S = 8.0  # how long the test looks on
MAX_OWN_LAG_S = 0.1


class Usual:
    """The usual clients, and what became of their requests."""

    def __init__(self, sidecar: Sidecar, record: Record) -> None:
        self._sidecar, self._record = sidecar, record
        self.sent = 0
        self.lost = 0

    async def play(self, number: int, until_s: float) -> None:
        """Send one request after the other, as one client."""
        loop = asyncio.get_running_loop()
        client = Client(self._sidecar.port, self._record)
        while loop.time() < until_s:
            request_id = f"{number:04x}{self.sent:012x}"
            self.sent += 1
            is_first = client.writer is None
            began_s = loop.time()
            answer = await client.ask(
                "POST",
                "/consign-issue",
                request_id,
                body=b"sender 17, pallet 4",
                timeout_s=DEADLINE_S,
                patience_s=PATIENCE_S,
            )
            took_s = loop.time() - began_s
            was_closed_unread = not answer.status and is_first and took_s < PATIENCE_S
            if (took_s > DEADLINE_S + GRACE_S or not answer.whole) and not was_closed_unread:
                self.lost += 1
                self._record.note("client", f"LOST: {request_id}, {answer.status} after {took_s:.2f} s")
            await asyncio.sleep(WORK_S)
        client.close()


async def watch_own_lag(lags_s: list[float]) -> None:
    """Note how late the loop of the stand-ins is: what it causes is not the sidecar's."""
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + 0.01
        await asyncio.sleep(0.01)
        lags_s.append(loop.time() - due_s)


async def case(record: Record) -> int:
    """Play the case."""

    async def serve(connection: Connection, request: Request) -> None:
        await asyncio.sleep(WORK_S)
        connection.writer.write(encode_answer(request.request_id.encode()))

    discovery = DiscoveryServer()
    await start_endpoints(discovery, ("east", "east", "east"), record, serve)
    settings = make_settings([lane("consign-issue", "at_most_once", objective_ms=1200.0, give_up_ms=2500.0)])
    sidecar = Sidecar(discovery, settings, record)
    usual = Usual(sidecar, record)
    lags_s: list[float] = []
    watching = asyncio.create_task(watch_own_lag(lags_s))
    flood: subprocess.Popen[bytes] | None = None
    try:
        await sidecar.start()
        until_s = asyncio.get_running_loop().time() + CALM_S + FLOOD_S
        clients = [asyncio.create_task(usual.play(number, until_s)) for number in range(USUAL_CLIENTS)]
        await asyncio.sleep(CALM_S)
        if trouble():
            record.note("bad clients", f"{BAD_CLIENTS} begin to send")
            program = str(Path(__file__).with_name("flood.py"))
            flood = subprocess.Popen([sys.executable, program, str(sidecar.port), str(BAD_CLIENTS), str(FLOOD_S)])
        await asyncio.gather(*clients)
    finally:
        watching.cancel()
        if flood:
            flood.kill()
            flood.wait()
        sidecar.close()
        discovery.close()
    record.note("case", f"the stand-ins' own loop was {max(lags_s):.3f} s late at most")
    if max(lags_s) > MAX_OWN_LAG_S or not usual.sent:
        raise CouldNotRunError("the stand-ins were late themselves")
    record.note("case", f"{usual.lost} of {usual.sent} requests of usual clients had no final answer in time")
    return BROKEN if usual.lost else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, case)
