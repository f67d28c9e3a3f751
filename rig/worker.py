"""Claim the lease of a singleton task again and again, and write to the store while holding it.

`python -m rig.worker CONTROL PORT NAME DUTY`: CONTROL is the sidecar's control socket, PORT the store's port. Each
step checks the lease, takes some time as real work does, and writes: a process stopped between the check and the
write is caught by the fence alone. Each new lease is reported to the store by a write of its own, with the times at
which it was requested and granted by the machine's monotonic clock.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from contextlib import suppress

from gateusher.duties.remote import RemoteClaim, UnreachableError
from gateusher.standins.caller import HttpClient, NoResponseError

WORK_S = 0.02
PAUSE_S = 0.01
RETRY_DELAY_S = 0.1


async def _write(client: HttpClient, claim: RemoteClaim, writer: str, body: str) -> None:
    with suppress(NoResponseError):
        await client.request(
            "POST", f"/act/{claim.duty}?fence={claim.fence}&who={writer}", {}, body.encode(), timeout_s=5.0
        )


async def work(control: str, port: int, name: str, duty: str, stop: asyncio.Event) -> None:
    """Hold the lease and write to the store until `stop` is set."""
    client = HttpClient(port)
    while not stop.is_set():
        claim, requested_at = RemoteClaim(control, duty), time.monotonic()
        try:
            await claim.wait()
            writer = f"{name}.{claim.fence}"  # one lease: a worker must not write again with its old fence
            await _write(client, claim, writer, f"held {requested_at:.6f} {time.monotonic():.6f}")
            while claim.held and not stop.is_set():
                await asyncio.sleep(WORK_S)  # between the check and the write
                await _write(client, claim, writer, "act")
                await asyncio.sleep(PAUSE_S)
        except UnreachableError:
            pass
        finally:
            await claim.end()
        with suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), RETRY_DELAY_S)
    await client.close()


async def _main() -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    control, port, name, duty = sys.argv[1:]
    await work(control, int(port), name, duty, stop)


if __name__ == "__main__":
    asyncio.run(_main())
