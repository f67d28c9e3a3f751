"""A simulated world of a sidecar, its clients, nodes and endpoint list, and the events that can occur in it next."""

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
MAX_FAULT_FREE_EVENTS = 200


class World(ClientEvents, NodeEvents, ListEvents):
    """One execution.  `events` lists the events that can occur next."""

    def events(self) -> list[Event]:
        """Return the events that can occur next, each with its description and its action."""
        streamed = self.setting.streamed_responses
        found: list[Event] = []
        index = sum(not request.extra for request in self.history.requests.values())
        if index < len(self.effects):
            found.append((f"{self.request_id(index)} is submitted", partial(self._submit_request, index)))
        if self.setting.fault_free:
            return found + self._fault_free_events()
        if self.all_events and self.invalid_count < 2 and not streamed:
            found.append(("an invalid request is submitted", self._submit_invalid))
        for request in self.history.requests.values():
            if not streamed or any(a.served for a in self.history.attempts_of(request)) or request.unsent:
                found += self._client_events(request)
        found += self._dial_events()
        for number, transport in enumerate(self.transports):
            if not transport.closing:
                found += self._connection_events(f"connection {number} (n{transport.port - 1})", transport)
        if self.history.requests and not streamed:
            found += self._list_events()
            found += self._node_events()
        if self.setting.operator_events and self.history.requests:
            found += self._operator_events()
        if self.loop.timers and not (streamed and any(not d.established.done() for d in self.loop.dials)):
            found.append(("the next timer fires", self.loop.fire))
        if self.all_events and self.history.requests and not streamed:
            found.append(("two seconds pass", self._advance_two_seconds))
        if self.transports and (self.all_events or self.setting.restricted_events):
            found.append(("5 ms pass", self._advance_short_step))
        if self.all_events and not self.descriptors_exhausted and self.history.requests and not streamed:
            found.append(("descriptors are exhausted", self._exhaust_descriptors))
        # With streamed responses only a shutdown during a response is of interest.
        may_shut_down = not streamed or any(a.served for a in self.history.attempts)
        if not self.shutting_down and self.history.requests and may_shut_down:
            found.append(("shutdown begins", self._shut_down))
        return found

    def _fault_free_events(self) -> list[Event]:
        """Return the events of a world without faults: connections are established and nodes respond."""
        found = [e for e in self._dial_events() if e[0].endswith("is established")]
        if self.transports and self.short_steps < 3:
            found.append(("5 ms pass", self._advance_short_step_counted))
        for request in self.history.requests.values():
            if request.unsent:
                found.append((f"the rest of {request.name} is sent", partial(self._send_rest, request)))
        for number, transport in enumerate(self.transports):
            attempt = self.unanswered_attempt(transport)
            name = f"connection {number} (n{transport.port - 1})"
            if transport.closing:
                continue
            if transport.unsent:
                found.append(
                    (f"the kernel accepts the rest on {name}", partial(self._accept_unsent_bytes, transport))
                )
            elif attempt and attempt.rest_of_response:
                found.append(
                    (f"the rest of the response arrives on {name}", partial(self._send_rest_of_response, attempt))
                )
            elif attempt and attempt.ends_at_close:
                found.append((f"the stream ends on {name}", partial(self._end_stream, transport)))
            elif attempt and attempt.fully_sent:
                found.append(
                    (f"a generated response arrives on {name}", partial(self._send_generated_response, attempt))
                )
        return found

    def _advance_short_step_counted(self) -> None:
        self.short_steps += 1
        self._advance_short_step()

    def _advance_short_step(self) -> None:
        """Advance by slightly more than the reuse delay of a connection; timers that are due by then fire first."""
        until = self.loop.now + SHORT_STEP_S
        while self.loop.timers and self.loop.timers[0][0] <= until:
            self.loop.fire()
        self.loop.now = until

    def _advance_two_seconds(self) -> None:
        """Advance past the grace period; timers fire in order, and no client or node acts."""
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
        """Return whether timers alone can still change the state: one is set, and work depends on one."""
        return bool(self.loop.timers) and bool(
            self.engine.requests
            or self.engine._policy_timers
            or any(c.attempt or c._stream for c in self.upstream._connections)
            or not all(t.done() for t in self.tasks.values())
            or any(d.port not in LIST_PORTS for d in self.loop.dials)
        )

    def quiesce(self) -> None:
        """Stop all input: clients read their responses, and the client of a partial request disconnects."""
        if self.setting.fault_free:
            for _ in range(MAX_FAULT_FREE_EVENTS):
                self.loop.settle()
                events = self.events()
                if not events:
                    return
                next(e for e in events if e[0] != "5 ms pass" or len(events) == 1)[1]()
            self.history.violations.append("a world without faults does not quiesce")
        for request in list(self.history.requests.values()):
            if request.unsent:
                self._disconnect(request)
        for connection in self.daemon_connections.values():
            self._resume_reading(connection)
