"""The lease machines of one sidecar on an event loop: a handover that is reverted."""

import asyncio

from gateusher.base.clock import Clock
from gateusher.config.duties import Duties
from gateusher.config.membership import Membership
from gateusher.duties.lease_claims import Claim, ClaimState
from gateusher.duties.lease_manager import LeaseManager
from gateusher.membership.udp import MembershipEndpoint

from ..helpers import HANG_TIMEOUT_S
from ..net import run, unused_address

LEASE_MS = 200.0


async def hold(leases: LeaseManager, task: str) -> Claim:
    held = asyncio.Event()

    def on_change(claim: Claim) -> None:
        if claim.state is ClaimState.HELD:
            held.set()

    claim = leases.claim(task, on_change)
    await asyncio.wait_for(held.wait(), HANG_TIMEOUT_S)
    return claim


def test_a_successor_lost_while_the_leases_are_released_does_not_end_them() -> None:
    async def test() -> None:
        endpoint = MembershipEndpoint(Membership("a", unused_address(), (), (bytes(16),)), Clock())
        leases = LeaseManager(Duties("a", ("a",), lease_ms=LEASE_MS), endpoint)
        leases.open()
        claim = await hold(leases, "x")
        left: list[bool] = []
        leases.leave(lambda: left.append(True), within_s=0.1)
        await asyncio.sleep(0.01)
        assert claim.state is ClaimState.STOPPING and not left  # its work has not ended yet
        leases.resume()
        await asyncio.sleep(0.2)
        assert not left and not leases.has_left
        leases.end(claim)
        await hold(leases, "x")
        leases.leave(lambda: left.append(True), within_s=0.1)
        await asyncio.sleep(0.2)
        assert left == [True] and leases.has_left
        leases.close()
        endpoint.close()

    run(test())
