"""Two nodes, three requests, one front end: everything that may happen next."""

from __future__ import annotations

from gateusher.listeners import server as server_module

from . import properties
from .client_events import ClientEvents
from .list_events import ListEvents
from .node_events import NodeEvents
from .setting import LIST_PORTS, PLAIN, SHUTDOWN_TIMEOUT_S, Setting
from .world_state import Event

__all__ = ["PLAIN", "Setting", "World"]

SHORT_STEP_S = 0.005


class World(ClientEvents, NodeEvents, ListEvents):
    """One execution; `events` names what may happen next in it."""

    def events(self) -> list[Event]:
        """Each possible event: its words, and what brings it about."""
        found: list[Event] = []
        asked = sum(not a.extra for a in self.story.asks.values())
        if asked < len(self.effects):
            found.append((f"{self.effects[asked]}-{asked} comes", lambda: self._ask(asked)))
        if self.setting.calm:
            return found + self._calm_events()
        if self.rich and self.bad < 2 and not self.setting.long:
            found.append(("a request that can't be taken comes", self._bad))
        for ask in self.story.asks.values():
            if not self.setting.long or any(s.served for s in self.story.of(ask)) or ask.coming:
                found += self._client_events(ask)
        found += self._dial_events()
        for at, transport in enumerate(self.transports):
            if not transport.closing:
                found += self._connection_events(f"connection {at} (n{transport.port - 1})", transport)
        if self.story.asks and not self.setting.long:
            found += self._list_events()
            found += self._node_events()
        if self.setting.operated and self.story.asks:
            found += self._operators_events()
        if self.loop.timers and not (self.setting.long and any(not d.established.done() for d in self.loop.dials)):
            found.append(("time passes to the next timer", self.loop.fire))
        long = self.setting.long
        if self.rich and self.story.asks and not long:
            found.append(("two seconds pass", self._long))
        if self.transports and (self.rich or self.setting.few):
            found.append(("a moment passes", self._moment))
        if self.rich and not self.scarce and self.story.asks and not long:
            found.append(("descriptors run out", self._run_out))
        # What an answer does that is on its way is the point there.
        begun = not long or any(s.served for s in self.story.sent)
        if not self.ended and self.story.asks and begun:
            found.append(("the process is told to end", self._end))
        return found

    def _calm_events(self) -> list[Event]:
        """Connections come up, and nodes serve what they have."""
        found = [e for e in self._dial_events() if e[0].endswith("comes up")]
        if self.transports and self.moved_on < 3:
            found.append(("a moment passes", self._calm_moment))
        for ask in self.story.asks.values():
            if ask.coming:
                found.append((f"the rest of {ask.name} comes", lambda a=ask: self._whole(a)))  # type: ignore[misc]
        for at, transport in enumerate(self.transports):
            sent = self.out(transport)
            name = f"connection {at} (n{transport.port - 1})"
            if transport.closing:
                continue
            if transport.unsent:
                found.append((f"the rest is written on {name}", lambda t=transport: self._drain(t)))  # type: ignore[misc]
            elif sent and sent.half:
                found.append((f"the rest of the answer comes on {name}", lambda s=sent: self._rest(s)))  # type: ignore[misc]
            elif sent and sent.ends:
                found.append((f"the stream ends on {name}", lambda t=transport: self._fin(t)))  # type: ignore[misc]
            elif sent and sent.whole:
                found.append((f"an answer begins on {name}", lambda s=sent: self._answer(s)))  # type: ignore[misc]
        return found

    def _calm_moment(self) -> None:
        self.moved_on += 1
        self._moment()

    def _moment(self) -> None:
        """A little more than a connection rests after an answer; what is due by then comes first."""
        until = self.loop.now + SHORT_STEP_S
        while self.loop.timers and self.loop.timers[0][0] <= until:
            self.loop.fire()
        self.loop.now = until

    def _long(self) -> None:
        """All that is due meanwhile comes in its order; no peer does anything."""
        until = self.loop.now + properties.GRACE_S + 0.1
        while self.loop.timers and self.loop.timers[0][0] <= until:
            self.loop.fire()
            self.loop.settle()
            self.story.wrong += properties.always(self)
        self.loop.now = until

    def _run_out(self) -> None:
        self.scarce = True
        self.node.descriptors.limit = 0

    def _end(self) -> None:
        self.ended = True
        if self.setting.drains and self.face == "daemon":
            self.end_s = self.loop.now + server_module.DEFAULT_DRAIN_S
            self.sidecar.drain()
        else:
            self.end_s = self.loop.now + SHUTDOWN_TIMEOUT_S
            self.engine.end_by(self.end_s * 1000)

    def at_work(self) -> bool:
        """Whether time alone can still bring something about: a timer is left, and something waits for one."""
        return bool(self.loop.timers) and bool(
            self.engine.requests
            or self.engine._policy_timers
            or any(c.attempt or c._stream for c in self.upstream._connections)
            or not all(t.done() for t in self.tasks.values())
            or any(d.port not in LIST_PORTS for d in self.loop.dials)
        )

    def rest(self) -> None:
        """Nothing new comes any more: clients read what they were sent, and half a request goes with its client."""
        if self.setting.calm:
            for _ in range(200):
                self.loop.settle()
                events = self.events()
                if not events:
                    return
                next(e for e in events if e[0] != "a moment passes" or len(events) == 1)[1]()
            self.story.wrong.append("a calm world never comes to rest")
        for ask in list(self.story.asks.values()):
            if ask.coming:
                self._leave(ask)
        for line in self.lines.values():
            self._read_on(line)
