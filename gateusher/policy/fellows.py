"""What other sidecars' words may move: negative ones alone, for a short while, of a few servers at a time.

A fellow's list may be ahead of ours.  That a server drains, or was started anew, is believed where its list is the
newer one; that a server is there never is, since only the own list names whom we send to.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .interface import EndpointState, GossipHint, SetTimer

if TYPE_CHECKING:
    from .brain import Balancer
    from .records import Server

FELLOWS = -1  # timer token: a word has faded
HELD_MS = 10000.0  # a word holds so long: what discovery has to tell is told by then (6 s, PROTOCOL)
MOST_PART = 4  # one server in so many may be held back on words alone, or one at least


class Words:
    """Servers that are held back, or were made cold, on somebody's word: until when, and by which list's version."""

    def __init__(self) -> None:
        self.version = 0  # of the own list
        self.held: dict[int, tuple[float, int]] = {}  # drains
        self.chilled: dict[int, float] = {}  # starts

    def listed(self, server: Server) -> bool:
        """The own list says that this server is ready; whether that is newer than the word against it."""
        held = self.held.get(server.eid)
        if held and held[1] > self.version:
            return False
        self.held.pop(server.eid, None)
        return True


def warned(balancer: Balancer, event: GossipHint) -> None:
    """Take one word.

    It guards against a list that comes late, while fellows know already that a server drains or is cold.  It could
    harm where a fellow lies, or follows another list: it takes a quarter of our servers for ten seconds at the most,
    and never one that our own list has spoken of since.
    """
    words, server, now = balancer.words, balancer.servers.get(event.endpoint), balancer.now
    if server is None or event.version <= words.version:
        return
    if server.eid in words.held and event.state is not EndpointState.READY:
        words.held[server.eid] = now + HELD_MS, event.version
        balancer.acts.append(SetTimer(FELLOWS, HELD_MS))
    if not server.ready:
        return
    most = max(1, (len(balancer.ready) + len(words.held)) // MOST_PART)
    if event.state is not EndpointState.READY:
        if len(words.held) >= most or len(balancer.ready) < 2:
            return
        balancer._retire(server)
        words.held[server.eid] = now + HELD_MS, event.version
        balancer.acts.append(SetTimer(FELLOWS, HELD_MS))
    elif event.started_ms > max(server.info.started_ms, server.cold_from):
        words.chilled = {eid: until for eid, until in words.chilled.items() if until > now}
        if len(words.chilled) < most:
            words.chilled[server.eid] = now + HELD_MS
            balancer._chill(server, min(now, event.started_ms))


def faded(balancer: Balancer) -> None:
    """Words that the own list has not borne out by now are nothing; their servers are drawn again, seldom yet."""
    words = balancer.words
    for eid in [eid for eid, (until, _) in words.held.items() if until <= balancer.now]:
        del words.held[eid]
        server = balancer.servers.get(eid)
        if server and not server.ready and server.info.state is EndpointState.READY:
            server.ready = True
            balancer.ready.append(server)
            balancer._place(server, balancer.floor)
