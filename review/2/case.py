"""Other clients stop in the middle of a request and stay: each request of the usual clients gets its final answer."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from rig import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Discovery,
    Endpoint,
    Message,
    Record,
    Sidecar,
    answer,
    main,
    read_message,
    request,
    request_class,
    settings,
)

SEED = 64
MEMORY_MB = 96  # 32 to 192 by the pages
REQUESTS_PER_S = 60.0
SECONDS = 10.0
WORK_S = (0.05, 0.1)
HALF_CLIENTS = 110
HALVES_AT_S = (2.0, 6.0)
HALF_BODY_BYTES, HALF_SENT_BYTES = 250_000, 200_000
GRACE_S = 0.55  # half a second after its time a request only earns nothing; 50 ms more on real sockets
WAIT_S = 2.0  # for how much longer the clients wait, to tell a late answer from none
SHARES = (20, 10, 70)  # of the classes: this application mostly issues
CLASSES = {"pallet-lookup": 5.0, "booking-update": 6.0, "consign-issue": 2.5}  # each with its deadline


class Clients:
    """The application: one request at a time on a connection, which it keeps."""

    def __init__(self, port: int, record: Record, run: set[str]) -> None:
        self._port, self._record, self._run = port, record, run
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answered = 0
        self.lost = 0

    async def ask(self, cls: str, name: str, kept: bool = True) -> None:
        """Send a request and wait for its final answer.

        Where a kept connection turns out to be closed, the request is sent once more on a new one.
        """
        kept = kept and bool(self._idle)
        reader, writer = self._idle.pop() if kept else await asyncio.open_connection("127.0.0.1", self._port)
        deadline_s = CLASSES[cls]
        writer.write(request(cls, name, deadline_s, b"x" * 1000 if cls == "consign-issue" else None))
        began_s = time.monotonic()
        self._record.write(f"sent {name} {cls} on a {'kept' if kept else 'new'} connection")
        try:
            message = await asyncio.wait_for(read_message(reader), deadline_s + GRACE_S + WAIT_S)
        except TimeoutError:
            self.lost += 1
            ran = "it has run" if name in self._run else "it has not run"
            self._record.write(f"LOST {name}: no answer after {time.monotonic() - began_s:.1f} s; {ran}")
            writer.close()
            return
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            writer.close()
            self._record.write(f"{name}: the connection ended: {error!r}")
            if kept and name not in self._run:
                await self.ask(cls, name, kept=False)
            else:
                self.lost += 1
                self._record.write(f"LOST {name}: closed without an answer")
            return
        took_s = time.monotonic() - began_s
        self.answered += 1
        self._record.write(f"answered {name} {message.status} after {took_s:.3f} s")
        if took_s > deadline_s + GRACE_S:
            self.lost += 1
            self._record.write(f"LOST {name}: answered {took_s - deadline_s:.1f} s after its time")
        if message.fields.get("connection") == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))


async def stop_in_the_middle(port: int, name: str, record: Record) -> None:
    """Send a part of a request, and wait for the error or the close that such a client is owed within 3 s."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request("consign-issue", name, 2.5, b"x" * HALF_BODY_BYTES)[:HALF_SENT_BYTES])
    began_s = time.monotonic()
    record.write(f"half of {name} sent")
    try:
        seen = str((await asyncio.wait_for(read_message(reader), 10.0)).status)
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
        seen = repr(error)
    record.write(f"half of {name}: {seen} after {time.monotonic() - began_s:.2f} s")
    writer.close()


async def play(record: Record) -> int:
    """Start the fleet, send the usual requests and the halves, and judge the usual clients' requests alone."""
    chance = random.Random(SEED)
    run: set[str] = set()

    async def serve(
        endpoint: Endpoint, message: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        run.add(message.request_id)
        told = message.fields.get("x-deadline")
        record.write(f"run {message.request_id} at {endpoint.name}, X-Deadline {told}")
        await asyncio.sleep(chance.uniform(*WORK_S))
        writer.write(answer(message.request_id.encode()))

    endpoints = [Endpoint(f"s-{i}", serve) for i in range(6)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = Discovery(endpoints)
    await discovery.start()
    classes = [
        request_class("pallet-lookup", "idempotent", 2000.0, 5000.0),
        request_class("booking-update", "idempotent", 2000.0, 6000.0, worth=5.0),
        request_class("consign-issue", "at_most_once", 1200.0, 2500.0, worth=2.0),
    ]
    sidecar = Sidecar("n0", discovery, settings(classes), MEMORY_MB)
    sidecar.start()
    tasks: list[asyncio.Task[None]] = []
    halves = [at_s for at_s in HALVES_AT_S if TROUBLE]
    try:
        await sidecar.ready()
        clients = Clients(sidecar.port, record, run)
        start_s = time.monotonic()
        sent = 0
        while time.monotonic() < start_s + SECONDS:
            if halves and time.monotonic() > start_s + halves[0]:
                wave = int(halves.pop(0))
                names = [f"{0xFF00 + wave:08x}{i:08x}" for i in range(HALF_CLIENTS)]
                tasks += [asyncio.create_task(stop_in_the_middle(sidecar.port, name, record)) for name in names]
            cls = chance.choices(list(CLASSES), SHARES)[0]
            tasks.append(asyncio.create_task(clients.ask(cls, f"{SEED:08x}{sent:08x}")))
            sent += 1
            await asyncio.sleep(chance.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*tasks)
    finally:
        sidecar.end()
    record.write(f"sent {sent}, answered {clients.answered}, lost {clients.lost}")
    if not clients.answered:
        raise RuntimeError("nothing was answered")
    return BROKEN if clients.lost else HELD


if __name__ == "__main__":
    main(Path(__file__).with_name("record.txt"), play)
