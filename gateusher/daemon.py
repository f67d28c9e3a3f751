"""The daemon: a sidecar's process with its node, its listener for clients and its optional parts.

`Sidecar` owns, in the order of their start: the `Node` (engine, connections to endpoints, discovery), the clients'
`Server`, the operators' `Admin`, membership and singleton tasks if configured, the `ListenerTransfer` between
predecessor and successor, and the loads of a rehearsal.  Its lifecycle is `start`, `apply_config` (SIGHUP), `drain`
(SIGTERM, SIGINT) and `close`.
"""

from __future__ import annotations

import asyncio
import json
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from .base.errors import retry_while_transient
from .base.log import log_event
from .base.memory_monitor import MemoryMonitor, Watermarks
from .base.resident_memory import ResidentMemory
from .config.history_file import HistoryFile
from .config.model import Config
from .handover.channel import Inheritance
from .handover.transfer import ListenerTransfer
from .listeners.admin import Admin, Forms
from .listeners.server import Server
from .listeners.upload_deadline import CHECK_INTERVAL_S
from .node import Node

if TYPE_CHECKING:
    from .config.file import Load
    from .duties.lease_manager import LeaseManager
    from .duties.load_part import LoadPart
    from .duties.load_turns import LoadTask
    from .load.runner import LoadRunner
    from .membership.peer_hints import PeerHints
    from .membership.udp import MembershipEndpoint

LISTENER_SWEEP_INTERVAL_S = CHECK_INTERVAL_S
DRAIN_STEP_INTERVAL_S = 0.02
STALLED_DRAIN_STEP_S = 0.1  # a later step shows that the machine was paused, and input is still unread
DRAIN_OVERTIME_S = 0.2  # after the end of the drain, for clients to read what was written
HANDOVER_LEASE_RELEASE_S = 1.0  # how long a handover waits for the leases held here to be released
ADMIN_LISTEN_RETRY_S = 8.0  # how long listening on the operators' address is retried: a start must not end for it
FIRST_UPDATE_TIMEOUT_S = 0.5  # how long a successor waits for discovery before it uses the configured list


class _ListenerAndMembership:
    """What a successor takes over: the clients' listener and this process's membership."""

    def __init__(self, sidecar: Sidecar) -> None:
        self._sidecar = sidecar

    @property
    def listening_socket(self) -> socket.socket | None:
        """The clients' listening socket; None once it is closed."""
        return self._sidecar.server.listening_socket

    def hand_over(self) -> None:
        """Stop accepting clients.  The membership address is released once no lease is held here any more."""
        self._sidecar.server.hand_over()
        if self._sidecar.lease_manager:
            self._sidecar.lease_manager.leave(self._pause_membership, HANDOVER_LEASE_RELEASE_S)
        else:
            self._pause_membership()

    def _pause_membership(self) -> None:
        if self._sidecar.lease_manager:
            self._sidecar.lease_manager.pause()
        if self._sidecar.members:
            self._sidecar.members.pause()

    def reclaim(self) -> None:
        """Accept clients and resume membership after the successor was lost."""
        self._sidecar.server.reclaim()
        self._sidecar.save_configurations_again()
        if self._sidecar.members:
            self._sidecar.members.resume()
        if self._sidecar.lease_manager:
            self._sidecar.lease_manager.resume()


class Sidecar:
    """A sidecar's process.  Serves from its construction on, or from `start` on if its listener is inherited."""

    def __init__(
        self, config: Config, inheritance: Inheritance | None = None, successor_path: str | None = None
    ) -> None:
        """Raises OSError if the clients' address is missing or not available.

        `successor_path` is the socket that a successor will connect to, or None if there can be no successor.
        """
        if config.listen is None:
            raise OSError("no address to listen on")
        self._loop = asyncio.get_running_loop()
        self.config = config
        self._inheritance = inheritance
        self._successor_path = successor_path
        self.node = Node(config)
        self._history_file = HistoryFile(f"{successor_path}.settings") if successor_path else None
        if self._history_file:
            self.node.inherit_configurations(self._history_file.load(self._loop.time()))
        self.engine = self.node.engine
        self.discovery = self.node.discovery
        self.server = self._make_server(config.listen)
        self.node.upstream.on_connections_exhausted = self.server.make_room
        self.server.is_rehearsal = self.node.gate is not None
        self.memory_monitor = self._make_memory_monitor()
        self.admin = self._make_admin()
        self.members: MembershipEndpoint | None = None
        self.peer_hints: PeerHints | None = None
        self._make_members()
        self.lease_manager: LeaseManager | None = None
        self._make_lease_manager()
        self.transfer = ListenerTransfer(
            config.sockets,
            config.memory_mb,
            _ListenerAndMembership(self),
            self._set_limits,
            lambda: self.node.descriptors.in_use,
            self.engine.ids,
        )
        self.loads: list[LoadRunner] = []
        self.load_turns: list[LoadTask] = []
        self.ended = asyncio.Event()
        self._drain_deadline_s = 0.0  # 0 until a drain begins
        self._drain_step_due_s = 0.0
        self._sweep_timer = self._loop.call_later(LISTENER_SWEEP_INTERVAL_S, self._sweep)

    def _make_server(self, address: tuple[str, int]) -> Server:
        try:
            return Server(
                address,
                self.config.names,
                self.node.class_history,
                self.engine,
                self.node.memory,
                self.node.descriptors,
                self.config.authority,
                self._inheritance.listening_socket if self._inheritance else None,
                shared=self._successor_path is not None,
            )
        except OSError:
            self.node.close()
            raise

    def _make_memory_monitor(self) -> MemoryMonitor | None:
        """Return None where the process's memory is not known, or belongs to more than this sidecar."""
        if not self.config.resident_mb:
            return None
        return MemoryMonitor(
            self.node.memory,
            ResidentMemory(),
            Watermarks.of_limit(self.config.memory_mb, self.config.resident_mb),
            self._loop.time,
            self.server.shed,
            self.node.diagnostics,
        )

    def _set_limits(self, descriptors: int, memory_mb: float) -> None:
        """Apply the part of the limits that this process has beside a predecessor or successor."""
        self.node.set_limits(descriptors, memory_mb)
        if self.memory_monitor:
            self.memory_monitor.resize(Watermarks.of_limit(memory_mb, self.config.resident_mb))

    def _make_admin(self) -> Admin:
        commands = {
            (b"GET", b"/_ready"): lambda: self.server.is_ready,
            (b"PUT", b"/_lameduck/on"): self.server.enter_lameduck,
            (b"PUT", b"/_lameduck/off"): self.server.leave_lameduck,
        }
        pages = {
            b"/_members": self._members_page,
            b"/_duties": self._tasks_page,
            b"/_diagnostics": self._diagnostics_page,
        }
        forms: Forms = {}
        if self.config.duties:
            forms = {
                (b"POST", b"/_duty/claim"): self._claim_task,
                (b"POST", b"/_duty/done"): self._complete_task,
                (b"POST", b"/_duty/give"): self._release_task,
            }
        return Admin(commands, pages, forms)

    def _make_members(self) -> None:
        if not self.config.membership:
            return
        from .membership.udp import MembershipEndpoint  # noqa: PLC0415 - the platform's daemon does not need it

        self.members = MembershipEndpoint(self.config.membership, self.node.clock)
        if self.config.membership.drain_hints:
            from .membership.peer_hints import PeerHints  # noqa: PLC0415

            self.peer_hints = PeerHints(self.members, self.node.clock, self.engine.deliver, self.config.seed)
            self.node.on_endpoint_list_update = self.peer_hints.on_endpoint_list

    def _make_lease_manager(self) -> None:
        if self.config.duties and self.members:
            from .duties.lease_manager import LeaseManager  # noqa: PLC0415

            self.lease_manager = LeaseManager(self.config.duties, self.members)

    # -- start

    async def start(self) -> None:
        """Listen for operators and members, take over from a predecessor, and await a successor.

        Raises OSError if an address is not available, ConfigError if a load is unusable.
        """
        await self._listen_for_operators()
        if self.members:
            self.members.open(wait_for_address=self._inheritance is not None)
        if self.lease_manager:
            self.lease_manager.open()
        if self._inheritance:
            await self._take_over(self._inheritance)
        self.node.class_history.take_over(self._loop.time())
        self.save_configurations()
        if self._successor_path:
            self.transfer.listen_for_successor(self._successor_path)
        if self.config.loads and self.node.gate:
            self._start_loads()

    async def _listen_for_operators(self) -> None:
        config = self.node.config
        if config.admin:
            address = config.admin
            await retry_while_transient("operators' address", lambda: self.admin.start(address), ADMIN_LISTEN_RETRY_S)
        if config.control:
            await self.admin.start_local(config.control)

    async def _take_over(self, inheritance: Inheritance) -> None:
        """Serve in place of the predecessor, which continues to serve until it is notified.

        The inherited configuration may be outdated, so a list from discovery is awaited first.
        """
        self.transfer.inherit(inheritance)
        self.discovery.watch()
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_UPDATE_TIMEOUT_S):
                await self.discovery.list_received.wait()
        self.server.start_accepting()
        self.transfer.announce_serving()

    def _start_loads(self) -> None:
        """Start the loads of a rehearsal; those of a singleton task run only while this process holds its lease."""
        self.loads = [self._make_load(load) for load in self.config.loads if not load.duty]
        for load in self.loads:
            load.start()
        shared_loads = [load for load in self.config.loads if load.duty]
        if shared_loads and self.lease_manager:
            from .duties.load_turns import LoadTask  # noqa: PLC0415

            self.load_turns = [LoadTask(self.lease_manager, load, self._make_load) for load in shared_loads]
            for task in self.load_turns:
                task.start()

    def _make_load(self, load: Load, part: LoadPart | None = None) -> LoadRunner:
        from .load.runner import LoadRunner  # noqa: PLC0415 - only needed in a rehearsal

        return LoadRunner(load, self.engine, self.node.memory, self.node.classes, self._ready_standins, part)

    def _ready_standins(self) -> int:
        return self.node.gate.ready if self.node.gate else 0

    # -- operators

    def _diagnostics_page(self) -> bytes:
        memory, descriptors = self.node.memory, self.node.descriptors
        resources = {
            "message_bytes": memory.in_use,
            "message_bytes_limit": memory.limit,
            "connections": memory.connection_count,
            "descriptors": descriptors.in_use,
        }
        if self.memory_monitor:
            resources |= {
                "resident_bytes": self.memory_monitor.resident_bytes,
                "peak_resident_bytes": self.memory_monitor.peak_bytes,
                "memory_pressure": self.memory_monitor.pressure,
            }
        return json.dumps({**self.node.diagnostics.report(), "resources": resources}).encode()

    def _members_page(self) -> bytes:
        return json.dumps(self.members.report() if self.members else None).encode()

    def _tasks_page(self) -> bytes:
        return json.dumps(self.lease_manager.report() if self.lease_manager else None).encode()

    def _claim_task(self, parameters: dict[str, str]) -> bytes | None:
        return self.lease_manager.claim_call(parameters) if self.lease_manager else None

    def _complete_task(self, parameters: dict[str, str]) -> bytes | None:
        return self.lease_manager.done_call(parameters) if self.lease_manager else None

    def _release_task(self, parameters: dict[str, str]) -> bytes | None:
        return self.lease_manager.give_call(parameters) if self.lease_manager else None

    # -- periodic work

    def _sweep(self) -> None:
        self._sweep_timer = self._loop.call_later(LISTENER_SWEEP_INTERVAL_S, self._sweep)
        if self.memory_monitor:
            self.memory_monitor.check()
        self.server.sweep()
        self.transfer.tick()

    # -- reload

    def apply_config(self, config: Config) -> None:
        """Apply a new configuration on SIGHUP, as far as that is possible without a restart."""
        self.config = config
        self.node.apply_config(config)
        self.save_configurations()
        if self.members and config.membership:
            self.members.reload(config.membership)
        elif self.members or config.membership:
            log_event("membership", "starts or stops with the next start, not by a reload")
        if self.lease_manager and config.duties:
            self.lease_manager.change_voters(config.duties)
        elif self.lease_manager or config.duties:
            log_event("duties", "start or stop with the next start, not by a reload")

    def save_configurations(self) -> None:
        """Leave the configurations to a process that takes over, unless one has."""
        if self._history_file and not self.server.lifecycle.is_handed_over:
            self._history_file.save(self.node.class_history.configurations())

    def save_configurations_again(self) -> None:
        """Leave them although they are the same: a successor that was lost has written the file."""
        if self._history_file:
            self._history_file.forget_saved()
        self.save_configurations()

    # -- graceful shutdown

    def drain(self) -> None:
        """Begin the graceful shutdown on SIGTERM, once; `ended` is set when it is complete, in time before SIGKILL.

        In this order:

        1. the deadlines of all requests, open and new, are bounded by the end of the drain;
        2. the loads of a rehearsal stop; a load with a singleton task stops with the task's lease;
        3. no successor is accepted any more, and no listener is taken back;
        4. the release of leases begins and runs concurrently with the rest; when it is complete, or at the end of the
           drain, the other members are notified;
        5. the listener closes idle connections, ends the others with their next response, and stops listening;
        6. every `DRAIN_STEP_INTERVAL_S` the listener continues with that, until all connections are closed or the
           drain ends;
        7. `close` ends what is left.
        """
        if self._drain_deadline_s:
            return
        drain_s = self.config.drain_s
        self._drain_deadline_s = self._loop.time() + drain_s + DRAIN_OVERTIME_S
        self.engine.end_by(self.node.clock.now_ms() + drain_s * 1000)
        for load in self.loads:
            load.close()
        self.transfer.begin_shutdown()
        self._leave_members(drain_s)
        self.server.drain(drain_s)
        self._drain_step_due_s = self._loop.time()
        self._drain_step()

    def _leave_members(self, drain_s: float) -> None:
        if self.lease_manager and self.members:
            self.lease_manager.leave(self.members.leave, drain_s)
        elif self.members:
            self.members.leave()

    def _drain_step(self) -> None:
        now_s = self._loop.time()
        if now_s - self._drain_step_due_s > STALLED_DRAIN_STEP_S:
            self._drain_deadline_s = max(self._drain_deadline_s, now_s + DRAIN_OVERTIME_S)
        is_drained = self.server.advance_drain()
        holds_lease = self.lease_manager is not None and not self.lease_manager.has_left
        if (is_drained and not holds_lease) or self._loop.time() >= self._drain_deadline_s:
            self.close()
            self.ended.set()
        else:
            self._drain_step_due_s = now_s + DRAIN_STEP_INTERVAL_S
            self._loop.call_later(DRAIN_STEP_INTERVAL_S, self._drain_step)

    def close(self) -> None:
        """Shut down at once.  Final responses are delivered before the clients' connections close.

        The transfer is closed last: a successor then takes the total budget.
        """
        self._sweep_timer.cancel()
        for load in self.loads:
            load.close()
        for task in self.load_turns:
            task.close()
        self.admin.close()
        if self.peer_hints:
            self.peer_hints.close()
        if self.lease_manager:
            self.lease_manager.close()
        if self.members:
            self.members.close()
        self.engine.expire()
        self.server.close()
        self.node.close()
        self.transfer.close()
