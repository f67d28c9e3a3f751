"""Two nodes, three requests, one front end: everything that may happen next."""

from __future__ import annotations

from functools import partial

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
        asked = sum(not a.extra for a in self.history.requests.values())
        if asked < len(self.effects):
            found.append((f"{self.effects[asked]}-{asked} comes", lambda: self._submit_request(asked)))
        if self.setting.fault_free:
            return found + self._fault_free_events()
        if self.all_events and self.invalid_count < 2 and not self.setting.streamed_responses:
            found.append(("a request that can't be taken comes", self._submit_invalid))
        for request in self.history.requests.values():
            if (
                not self.setting.streamed_responses
                or any(s.served for s in self.history.attempts_of(request))
                or request.unsent
            ):
                found += self._client_events(request)
        found += self._dial_events()
        for at, transport in enumerate(self.transports):
            if not transport.closing:
                found += self._connection_events(f"connection {at} (n{transport.port - 1})", transport)
        if self.history.requests and not self.setting.streamed_responses:
            found += self._list_events()
            found += self._node_events()
        if self.setting.operator_events and self.history.requests:
            found += self._operator_events()
        if self.loop.timers and not (
            self.setting.streamed_responses and any(not d.established.done() for d in self.loop.dials)
        ):
            found.append(("time passes to the next timer", self.loop.fire))
        long = self.setting.streamed_responses
        if self.all_events and self.history.requests and not long:
            found.append(("two seconds pass", self._advance_two_seconds))
        if self.transports and (self.all_events or self.setting.restricted_events):
            found.append(("a moment passes", self._advance_short_step))
        if self.all_events and not self.descriptors_exhausted and self.history.requests and not long:
            found.append(("descriptors run out", self._exhaust_descriptors))
        # What an answer does that is on its way is the point there.
        begun = not long or any(s.served for s in self.history.attempts)
        if not self.shutting_down and self.history.requests and begun:
            found.append(("the process is told to end", self._shut_down))
        return found

    def _fault_free_events(self) -> list[Event]:
        """Connections come up, and nodes serve what they have."""
        found = [e for e in self._dial_events() if e[0].endswith("comes up")]
        if self.transports and self.short_steps < 3:
            found.append(("a moment passes", self._advance_short_step_counted))
        for request in self.history.requests.values():
            if request.unsent:
                found.append((f"the rest of {request.name} comes", partial(self._send_rest, request)))
        for at, transport in enumerate(self.transports):
            attempt = self.unanswered_attempt(transport)
            name = f"connection {at} (n{transport.port - 1})"
            if transport.closing:
                continue
            if transport.unsent:
                found.append((f"the rest is written on {name}", partial(self._accept_unsent_bytes, transport)))
            elif attempt and attempt.rest_of_response:
                found.append(
                    (f"the rest of the answer comes on {name}", partial(self._send_rest_of_response, attempt))
                )
            elif attempt and attempt.ends_at_close:
                found.append((f"the stream ends on {name}", partial(self._end_stream, transport)))
            elif attempt and attempt.fully_sent:
                found.append((f"an answer begins on {name}", partial(self._send_generated_response, attempt)))
        return found

    def _advance_short_step_counted(self) -> None:
        self.short_steps += 1
        self._advance_short_step()

    def _advance_short_step(self) -> None:
        """A little more than a connection rests after an answer; what is due by then comes first."""
        until = self.loop.now + SHORT_STEP_S
        while self.loop.timers and self.loop.timers[0][0] <= until:
            self.loop.fire()
        self.loop.now = until

    def _advance_two_seconds(self) -> None:
        """All that is due meanwhile comes in its order; no peer does anything."""
        until = self.loop.now + properties.DRAIN_GRACE_S + 0.1
        while self.loop.timers and self.loop.timers[0][0] <= until:
            self.loop.fire()
            self.loop.settle()
            self.history.violations += properties.on_idle(self)
        self.loop.now = until

    def _exhaust_descriptors(self) -> None:
        self.descriptors_exhausted = True
        self.node.descriptors.limit = 0

    def _shut_down(self) -> None:
        self.shutting_down = True
        if self.setting.graceful_shutdown and self.interface == "daemon":
            self.shutdown_at_s = self.loop.now + server_module.DEFAULT_DRAIN_S
            self.sidecar.drain()
        else:
            self.shutdown_at_s = self.loop.now + SHUTDOWN_TIMEOUT_S
            self.engine.end_by(self.shutdown_at_s * 1000)

    def has_pending_work(self) -> bool:
        """Whether time alone can still bring something about: a timer is left, and something waits for one."""
        return bool(self.loop.timers) and bool(
            self.engine.requests
            or self.engine._policy_timers
            or any(c.attempt or c._stream for c in self.upstream._connections)
            or not all(t.done() for t in self.tasks.values())
            or any(d.port not in LIST_PORTS for d in self.loop.dials)
        )

    def quiesce(self) -> None:
        """Nothing new comes any more: clients read what they were sent, and half a request goes with its client."""
        if self.setting.fault_free:
            for _ in range(200):
                self.loop.settle()
                events = self.events()
                if not events:
                    return
                next(e for e in events if e[0] != "a moment passes" or len(events) == 1)[1]()
            self.history.violations.append("a calm world never comes to rest")
        for request in list(self.history.requests.values()):
            if request.unsent:
                self._disconnect(request)
        for line in self.daemon_connections.values():
            self._resume_reading(line)
