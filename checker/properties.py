"""What may never happen, one plain function each, with the sentence it stands for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateusher.core.engine import OVERDUE_MS
from gateusher.core.states import OPEN

if TYPE_CHECKING:
    from .world import Sent, World

GRACE_S = 2.0
SLACK_S = 0.001


def sending(world: World, sent: Sent) -> list[str]:
    """At each write of a request."""
    return [*nothing_after_the_answer(world, sent), *no_effect_twice(world, sent), *drains_kept(world, sent),
            *quiet_was_quiet(world, sent)]


def telling(world: World, rid: str, outcome: str, body: bytes) -> list[str]:
    """At each final answer."""
    return [*one_answer(world, rid), *refusals_are_harmless(world, rid, outcome),
            *served_is_its_own(world, rid, outcome, body)]


def always(world: World) -> list[str]:
    """Whenever the loop has nothing ready."""
    return [*answered_in_time(world), *given_up_is_answered(world), *nothing_let_through(world)]


def at_rest(world: World) -> list[str]:
    """When nothing is left that could happen by itself."""
    return [*all_answered(world), *nothing_held(world), *one_outcome_each(world)]


def one_answer(world: World, rid: str) -> list[str]:
    """1. "Exactly one final answer" (BRIEF 11): no second one, and none for a client that has left."""
    if len(world.story.told[rid]) > 1:
        return [f"{rid} is answered twice: {[t[1] for t in world.story.told[rid]]}"]
    if rid in world.story.left and world.face == "daemon":
        return [f"{rid} is answered after its client has left"]
    return []


def nothing_after_the_answer(world: World, sent: Sent) -> list[str]:
    """1. "It sends nothing more for that request afterwards" (BRIEF 11)."""
    call = world.call(sent.rid)
    if call is None or call.state != OPEN:
        return [f"{sent.rid} is sent to n{sent.node} while it is {call.state if call else 'settled'}"]
    return []


def answered_in_time(world: World) -> list[str]:
    """1. "... before the client's time runs out" (BRIEF 11), and the stated grace."""
    late = OVERDUE_MS / 1000 + SLACK_S
    return [f"{c.name.decode()} is open past its deadline" for c in world.node.engine.calls.values()
            if c.state == OPEN and world.loop.now > min(c.deadline / 1000, world.end_s) + late]


def no_effect_twice(world: World, sent: Sent) -> list[str]:
    """2. "An unsafe request gets another attempt only when every earlier attempt is known not to have run";
    "a keyed request that may have run is sent again only ... while they still remember it" (BRIEF 12, 13)."""
    before = [s for s in world.story.sent if s.rid == sent.rid and s.may_have_run]
    if before and sent.rid.startswith("unsafe"):
        return [f"{sent.rid} is sent again though it may have run on n{before[0].node}"]
    if before and sent.rid.startswith("keyed") and sent.at > before[0].at + 0.3 + SLACK_S:
        return [f"{sent.rid} is sent again past the window of its key"]
    return []


def refusals_are_harmless(world: World, rid: str, outcome: str) -> list[str]:
    """2. "A refusal tells the client that trying again is harmless" (BRIEF 13)."""
    if outcome == "refused" and rid.startswith("unsafe") \
            and any(s.may_have_run for s in world.story.sent if s.rid == rid):
        return [f"{rid} is refused though it may have run"]
    return []


def drains_kept(world: World, sent: Sent) -> list[str]:
    """3. "Nothing new goes to an endpoint later than a stated grace after ... drains or is gone" (BRIEF 14)."""
    since = world.story.drained.get(sent.node)
    if since is not None and sent.at > since + GRACE_S:
        return [f"{sent.rid} is sent to n{sent.node}, {sent.at - since:.2f} s after it was told to drain"]
    return []


def given_up_is_answered(world: World) -> list[str]:
    """5. "A request that the module has given up on gets its final answer at once" (GROWTH)."""
    engine = world.node.engine
    works = engine._balancer.work
    return [f"{c.name.decode()} is open and the module has forgotten it" for c in engine.calls.values()
            if c.state == OPEN and (c.rid not in works or works[c.rid].ended
                                    or not (c.attempts or engine._timers))]


def served_is_its_own(world: World, rid: str, outcome: str, body: bytes) -> list[str]:
    """6. "Serving a client with anything but the answer made for its request loses it" (DAYS)."""
    if outcome == "served" and body != rid.encode():
        return [f"{rid} is served with {body!r}"]
    if outcome == "served" and not any(s.whole for s in world.story.sent if s.rid == rid):
        return [f"{rid} is served and no node ever had it whole"]
    return []


def quiet_was_quiet(world: World, sent: Sent) -> list[str]:
    """6. "Other answers ... bring more than belongs to them" (DAYS): what came unasked must never meet a request."""
    if sent.transport.tainted:
        return [f"{sent.rid} is sent on a connection where something came that nobody asked for"]
    return []


def all_answered(world: World) -> list[str]:
    """1. "No request is lost" (BRIEF 11)."""
    return [f"{rid} was never answered" for rid in world.story.asked
            if rid not in world.story.told and rid not in world.story.left]


def nothing_held(world: World) -> list[str]:
    """7. At rest nothing is held: bytes, ids, calls, attempts, the module's records, descriptors."""
    node = world.node
    engine, upstream = node.engine, node.upstream
    held = {"calls": len(engine.calls), "ids": len(engine._names), "bytes": node.memory.held,
            "records": len(engine._balancer.work), "out": sum(s.out for s in engine._balancer.servers.values()),
            "attempts": sum(c.attempt is not None for c in upstream._conns),
            "descriptors": node.descriptors.used - sum(not t.closing for t in world.transports),
            "connections that nobody can use": sum(
                not any(c in h.idle for h in upstream._hosts.values()) for c in upstream._conns)}
    return [f"{what} held at rest: {n}" for what, n in held.items() if n]


def one_outcome_each(world: World) -> list[str]:
    """8. The module hears exactly one outcome for each send."""
    return [f"the module hears {n} outcomes of attempt {key[1]} of request {key[0]}"
            for key, n in world.story.sends.items() if n != 1]


def nothing_let_through(world: World) -> list[str]:
    """No callback raises, and no move is made that a table doesn't hold."""
    errors, world.loop.errors = world.loop.errors, []
    return [f"a callback raised: {e}" for e in errors]


__all__ = ["always", "at_rest", "sending", "telling"]
