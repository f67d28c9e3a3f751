"""`python -m rig.worker CONTROL PORT NAME DUTY`: wants a duty for ever and acts on the store while it has it.

It looks at the clock, takes a moment as any act does, and acts: what stops it between the two, only the fence covers.
Each hold is told to the store's record as an act of its own, with when it was asked for and got on the machine's
clock.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from contextlib import suppress

from gateusher.duties.remote import RemoteClaim, UnreachableError
from gateusher.standins.caller import HttpClient, NoResponseError

ACT_S = 0.02
PAUSE_S = 0.01
AGAIN_S = 0.1


async def _act(caller: HttpClient, claim: RemoteClaim, name: str, body: str) -> None:
    with suppress(NoResponseError):
        await caller.request(
            "POST", f"/act/{claim.duty}?fence={claim.fence}&who={name}", {}, body.encode(), timeout_s=5.0
        )


async def work(control: str, port: int, name: str, duty: str, stop: asyncio.Event) -> None:
    caller = HttpClient(port)
    while not stop.is_set():
        claim, asked = RemoteClaim(control, duty), time.monotonic()
        try:
            await claim.wait()
            who = f"{name}.{claim.fence}"  # one hold: the same process may not come back under its old fence
            await _act(caller, claim, who, f"held {asked:.6f} {time.monotonic():.6f}")
            while claim.held and not stop.is_set():
                await asyncio.sleep(ACT_S)  # between look and act
                await _act(caller, claim, who, "act")
                await asyncio.sleep(PAUSE_S)
        except UnreachableError:
            pass
        finally:
            await claim.end()
        with suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), AGAIN_S)
    await caller.close()


async def _main() -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    control, port, name, duty = sys.argv[1:]
    await work(control, int(port), name, duty, stop)


if __name__ == "__main__":
    asyncio.run(_main())
