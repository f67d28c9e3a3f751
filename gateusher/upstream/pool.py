"""The pool of HTTP/1.1 connections to all endpoints.

A `ConnectionPool` owns the endpoints' addresses, all connections with their descriptors, and the attempts' timeouts.
It assigns attempts to connections and closes connections that are idle for too long; `connection.py` handles a single
connection.  The pool never sends a request twice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from math import inf
from typing import Final

from ..base.clock import Clock
from ..base.diagnostics import Diagnostics
from ..base.errors import connect
from ..base.limits import MIN_PRESSED_CONNECTIONS, DescriptorBudget, MemoryBudget
from ..base.log import log_event
from ..base.machine import IllegalTransitionError
from ..base.read_buffer import ReadBuffer
from ..base.turn_queue import TurnQueue
from ..discovery.lists import ListedEndpoint
from ..policy.interface import NEVER_EXECUTED, EndpointState, Outcome, Settings
from .address_owners import AddressOwners
from .connection import Connection, EndpointConnections
from .interface import NO_RESPONSE, Attempt, EndpointResponse
from .states import END_MAY_HAVE_RUN, END_NOT_EXECUTED, END_REJECTED, ENDED

IDLE_TIMEOUT_FRACTION: Final = 0.8  # of the endpoints' own idle timeout
REUSE_DELAY_MS: Final = 4.0  # minimum time between a response and the next request on a connection

# Reasons for closing a connection to an endpoint, as shown in the diagnostics.
RECEIVED_WHILE_IDLE: Final = "closed or received data while idle"
ENDPOINT_CHANGED: Final = "endpoint restarted, moved or left meanwhile"
ENDPOINT_LEFT: Final = "endpoint restarted, moved, left or is silent"
DESCRIPTOR_NEEDED: Final = "descriptor limit reached"
IDLE_TIMEOUT: Final = "idle timeout"
ADDRESS_TAKEN: Final = "another endpoint has its address"  # a reason for an attempt that is not sent


class ConnectionPool:
    """Owns all endpoints and all connections to them.

    `served_statuses` are the statuses of responses that are delivered to clients; `parse_report` parses the text of a
    load report.
    """

    def __init__(
        self,
        settings: Settings,
        served_statuses: frozenset[int],
        clock: Clock,
        memory: MemoryBudget,
        descriptors: DescriptorBudget,
        parse_report: Callable[[bytes], tuple[float, ...]],
        diagnostics: Diagnostics | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = clock
        self.memory = memory
        self.read_buffer = ReadBuffer(memory)
        self.turn_queue = TurnQueue(self.loop.call_soon)
        self.diagnostics = diagnostics or Diagnostics()
        self.is_served_status = served_statuses.__contains__
        self.pulls_reports = settings.reports_pulled
        self._descriptors = descriptors
        self.on_connections_exhausted: Callable[[], None] = lambda: None  # called when there can be no new one
        self._parse_report = parse_report
        self._endpoints: dict[int, EndpointConnections] = {}
        self._addresses = AddressOwners()
        self._connections: set[Connection] = set()
        self.apply_settings(settings)
        descriptors.reclaimers.append(self._reclaim)

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings' timeouts for dials and idle connections from now on."""
        self._dial_timeout_s = settings.dial_timeout_ms / 1000
        self._idle_timeout_ms = settings.idle_ms * IDLE_TIMEOUT_FRACTION

    # -- the endpoint list

    def owns_id(self, entry: ListedEndpoint) -> bool:
        """Return whether no other endpoint has this entry's id: two names may have the same hash."""
        endpoint = self._endpoints.get(entry.endpoint.endpoint)
        return endpoint is None or endpoint.name == entry.name

    def update(self, entries: Iterable[ListedEndpoint], complete: bool) -> None:
        """Apply entries of the endpoint list; if the list is complete, remove endpoints that it lacks."""
        listed_ids = set()
        for entry in entries:
            listed_ids.add(entry.endpoint.endpoint)
            self._update_endpoint(entry)
        if complete:
            for endpoint_id in [known for known in self._endpoints if known not in listed_ids]:
                self._endpoints[endpoint_id].ready = False
                self._addresses.remove(self._endpoints[endpoint_id])
                self.close_idle_connections(endpoint_id)
                self._endpoints.pop(endpoint_id)

    def _update_endpoint(self, entry: ListedEndpoint) -> None:
        listed = entry.endpoint
        endpoint = self._endpoints.get(listed.endpoint)
        if endpoint is None:
            endpoint = self._endpoints[listed.endpoint] = EndpointConnections(listed.endpoint, entry.name)
        changed = endpoint.address != (entry.ip, entry.port) or endpoint.started_ms != listed.started_ms
        self._addresses.remove(endpoint)
        endpoint.ip, endpoint.port = entry.ip, entry.port
        endpoint.started_ms = listed.started_ms
        if listed.state is not EndpointState.REMOVED and endpoint.port:
            for replaced in self._addresses.add(endpoint):
                self.close_idle_connections(replaced.endpoint_id)
        endpoint.ready = listed.state is EndpointState.READY
        if changed or not endpoint.ready:
            self.close_idle_connections(listed.endpoint)
        if listed.state is EndpointState.REMOVED:
            self._endpoints.pop(listed.endpoint)

    # -- attempts

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt on an idle or a new connection; it ends at once if neither is available."""
        endpoint = attempt.endpoint_activity = self._endpoints.get(attempt.endpoint_id)
        connection = None
        if endpoint and endpoint.is_replaced:
            self.diagnostics.note("not sent", ADDRESS_TAKEN)
            self.end_attempt(attempt, Outcome.CONNECT_FAILED, b"")
            return
        if endpoint and (endpoint.ready or attempt.ignores_readiness):
            connection = self._acquire_connection(endpoint)
        if connection is None:
            self.end_attempt(attempt, Outcome.NOT_SENT, b"")
            return
        if attempt.write_by_ms < inf:
            self._start_attempt_timer(attempt, attempt.write_by_ms - attempt.sent_ms)
        connection.send(attempt)

    def on_upload_written(self, attempt: Attempt) -> None:
        """Start the attempt's timeout: the last byte of its upload was written."""
        now_ms = attempt.sent_ms = self.clock.now_ms()
        attempt.expires_ms = attempt.write_by_ms = min(now_ms + attempt.post_upload_ms, attempt.latest_ms)
        self._start_attempt_timer(attempt, max(0.0, attempt.expires_ms - now_ms))

    def abort_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt with this outcome, and close its connection; do nothing if it has ended."""
        if attempt.connection:
            attempt.connection.abort(outcome)

    def end_attempt(
        self, attempt: Attempt, outcome: Outcome, load_report: bytes, response: EndpointResponse = NO_RESPONSE
    ) -> None:
        """Report the attempt's outcome."""
        try:
            attempt.transition(_end_event(outcome))
        except IllegalTransitionError:
            if attempt.state == ENDED:
                return
            # A bug in this program.  The attempt ends as one that may have run, or its request would never end.
            attempt.state, outcome, response = ENDED, Outcome.RESET, NO_RESPONSE
        report = self._parse_report(load_report) if load_report else ()
        if attempt.ignores_readiness and self.pulls_reports and response.body and not report:
            report = self._parse_report(response.body.strip())
        attempt.on_ended(outcome, report, self.clock.now_ms() - attempt.sent_ms, response)

    def _start_attempt_timer(self, attempt: Attempt, timeout_ms: float) -> None:
        attempt.timer = self.loop.call_later(timeout_ms / 1000, self._on_attempt_timeout, attempt)

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        if attempt.write_by_ms < attempt.expires_ms:
            self._on_write_deadline(attempt)
            return
        connection = attempt.connection
        if connection and connection.is_response_arriving:
            # The timeout is meant for silent endpoints; no page limits the time between two parts of a response.
            is_progressing = connection.is_response_progressing
            if is_progressing and connection.start_streaming_early():
                return
            until_ms = attempt.response_awaited_until_ms(is_progressing)
            now_ms = self.clock.now_ms()
            if until_ms > now_ms:
                attempt.expires_ms = attempt.write_by_ms = until_ms
                self._start_attempt_timer(attempt, until_ms - now_ms)
                return
        # If nothing was received from the endpoint since the attempt, its other connections may be dead too.
        if attempt.endpoint_activity and attempt.endpoint_activity.last_received_ms < attempt.sent_ms:
            self.close_idle_connections(attempt.endpoint_id)
        self.abort_attempt(attempt, Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED)

    def _on_write_deadline(self, attempt: Attempt) -> None:
        """Abort an attempt that is still unwritten at the end of the deduplication window."""
        if not attempt.written:
            self.abort_attempt(attempt, Outcome.NOT_SENT)
            return
        attempt.write_by_ms = attempt.expires_ms
        self._start_attempt_timer(attempt, max(0.0, attempt.expires_ms - self.clock.now_ms()))

    # -- connections

    def _acquire_connection(self, endpoint: EndpointConnections) -> Connection | None:
        """Return the most recently used idle connection or a new one, or None if no descriptor is left.

        A connection that has just carried a response is not reused for REUSE_DELAY_MS, so that a duplicate of the
        response or stray bytes that arrive within that time are detected and not taken for the response to the next
        request.  The delay costs additional connections under bursts, and what arrives later is not detected.
        """
        reusable_since_ms = self.clock.now_ms() - REUSE_DELAY_MS
        for connection in reversed(tuple(endpoint.idle)):
            if connection.idle_since_ms <= reusable_since_ms:
                endpoint.idle.remove(connection)
                if connection.is_reusable():
                    return connection
                self.diagnostics.note("endpoint closed", RECEIVED_WHILE_IDLE)
                connection.close()
        if not self._memory_allows_dial:
            self.diagnostics.note("no connection", "close to the memory limit")
            self.on_connections_exhausted()
            return None
        if not self._descriptors.acquire():
            log_event("no connection", "all descriptors are in use")
            self.diagnostics.note("no connection", "all descriptors are in use")
            self.on_connections_exhausted()
            return None
        try:
            return self._start_dial(endpoint)
        except MemoryError as error:
            log_event("no connection", f"no memory for it: {error}")
            self._descriptors.release()
            return None

    @property
    def _memory_allows_dial(self) -> bool:
        """Whether the process is not at its memory limit, has few connections, or can close one instead."""
        return self.memory.allows_connection or len(self._connections) < MIN_PRESSED_CONNECTIONS or self._reclaim()

    def _start_dial(self, endpoint: EndpointConnections) -> Connection:
        connection = Connection(self, endpoint)
        self._connections.add(connection)
        self.memory.connection_opened()
        task = connection.dial_task = self.loop.create_task(self._dial(connection))
        connection.start_dial_timer(self._dial_timeout_s)
        # A task that is cancelled before its first step runs none of its code, so it can't release the descriptor.
        task.add_done_callback(lambda done: self._on_dial_ended(connection) if done.cancelled() else None)
        return connection

    def _on_dial_ended(self, connection: Connection) -> None:
        """Release a connection that was not up when its dial ended."""
        self.on_connection_lost(connection)
        connection.dispose()

    async def _dial(self, connection: Connection) -> None:
        def on_local_failure(error: OSError) -> None:
            if not connection.dial_failed_locally:
                log_event("no connection", error)
            connection.dial_failed_locally = True

        try:
            await connect(self.loop, lambda: connection, connection.endpoint.address, on_local_failure)
        except OSError:
            connection.dial_task = None
            if connection.attempt:
                connection.abort_after_connection_error()
            self._on_dial_ended(connection)

    def release(self, connection: Connection) -> None:
        """Take back a connection whose response is complete, unless its endpoint was removed or changed meanwhile."""
        endpoint = connection.endpoint
        if endpoint.ready and connection.leads_to_current_process():
            connection.become_idle()
            endpoint.idle.append(connection)
        else:
            self.diagnostics.note("endpoint closed", ENDPOINT_CHANGED)
            connection.close()

    def discard_idle(self, connection: Connection, reason: str = RECEIVED_WHILE_IDLE) -> None:
        """Close an idle connection."""
        self.diagnostics.note("endpoint closed", reason)
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
        connection.close()

    def on_connection_lost(self, connection: Connection) -> None:
        """Release the connection's descriptor; further calls do nothing."""
        if connection in self._connections:
            self._connections.discard(connection)
            self._descriptors.release()
            self.memory.connection_closed()
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close all idle connections to this endpoint."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint:
            idle, endpoint.idle = endpoint.idle, []
            for connection in idle:
                self.diagnostics.note("endpoint closed", ENDPOINT_LEFT)
                connection.close()

    def _reclaim(self) -> bool:
        """Close the connection that has been idle for the longest; return False if there is none."""
        with_idle = (endpoint for endpoint in self._endpoints.values() if endpoint.idle)
        endpoint = min(with_idle, key=lambda candidate: candidate.idle[0].idle_since_ms, default=None)
        if endpoint:
            self.discard_idle(endpoint.idle[0], DESCRIPTOR_NEEDED)
        return endpoint is not None

    def sweep(self) -> None:
        """Close the connections whose idle timeout is over; called periodically."""
        now_ms = self.clock.now_ms()
        for endpoint in self._endpoints.values():
            while endpoint.idle and now_ms - endpoint.idle[0].idle_since_ms > self._idle_timeout_ms:
                self.discard_idle(endpoint.idle[0], IDLE_TIMEOUT)

    def close(self) -> None:
        """Close all connections at once."""
        for connection in list(self._connections):
            connection.close()

    async def wait_closed(self) -> None:
        """Wait after `close` until all descriptors are free, which takes some iterations of the event loop."""
        while self._connections:
            await asyncio.sleep(0)


def _end_event(outcome: Outcome) -> str:
    """Return the event that ends an attempt with this outcome."""
    if outcome is Outcome.REJECTED:
        return END_REJECTED
    return END_NOT_EXECUTED if outcome in NEVER_EXECUTED else END_MAY_HAVE_RUN
