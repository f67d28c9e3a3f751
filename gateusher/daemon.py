"""The daemon: one node and its listener on the running loop."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from .base.errors import retry_while_transient
from .base.log import log_event
from .config.model import Config
from .handover.channel import Inherited
from .handover.succession import Succession
from .listeners.admin import Admin, Forms
from .listeners.http import Server
from .node import SWEEP_S, Node

if TYPE_CHECKING:
    from .config.file import Load
    from .duties.loads import Turn
    from .duties.office import Office
    from .duties.parts import Part
    from .load.inside import Inside
    from .membership.peer_hints import PeerHints
    from .membership.udp import MembershipEndpoint

DRAIN_STEP_S = 0.02
LATE_STEP_S = 0.1  # a step that comes so late found the process standing still: what came meanwhile is still unread
GIVE_UP_S = 0.2  # after the end of the drain, for what is written to be read
HAND_ON_S = 1.0  # how long an upgrade waits for what is held alone to be let go
OPEN_ADMIN_S = 1.0  # how long opening the operators' address is tried again
HEAR_S = 0.5  # how long a successor waits for the list before it serves by the one that it was given


class _Door:
    """What changes hands in an upgrade: the clients' door, and with it this process's place among the members."""

    def __init__(self, sidecar: Sidecar) -> None:
        self._sidecar = sidecar

    @property
    def door(self) -> socket.socket | None:
        return self._sidecar.server.door

    def hand_over(self) -> None:
        self._sidecar.server.hand_over()
        members, office = self._sidecar.members, self._sidecar.office

        def rest() -> None:
            if office:
                office.pause()
            if members:
                members.pause()

        if office:
            # Clients are the successor's already; the members' address it gets when nothing is held here any more.
            office.leave(rest, HAND_ON_S)
        else:
            rest()

    def reclaim(self) -> None:
        self._sidecar.server.reclaim()
        if self._sidecar.members:
            self._sidecar.members.resume()
        if self._sidecar.office:
            self._sidecar.office.resume()


class Sidecar:
    """Serves from the moment it is made, or from `start` on with what it has inherited.

    Raises OSError where it can't listen.  `meeting` is where its own successor will come to, None for nowhere.
    """

    def __init__(self, config: Config, inherited: Inherited | None = None, meeting: str | None = None) -> None:
        if config.listen is None:
            raise OSError("no address to listen on")
        self._loop = asyncio.get_running_loop()
        self.config = config
        self._inherited, self._meeting = inherited, meeting
        self.node = Node(config)
        self.engine, self.discovery = self.node.engine, self.node.discovery
        try:
            self.server = Server(
                config.listen,
                config.names,
                self.engine,
                self.node.memory,
                self.node.descriptors,
                config.authority,
                inherited.door if inherited else None,
                meeting is not None,
            )
        except OSError:
            self.node.close()
            raise
        self.admin = Admin(
            {
                (b"GET", b"/_ready"): lambda: self.server.ready,
                (b"PUT", b"/_lameduck/on"): self.server.send_away,
                (b"PUT", b"/_lameduck/off"): self.server.take_back,
            },
            {b"/_members": self._members, b"/_duties": self._duties, b"/_diagnostics": self._diagnostics},
            self._forms(config),
        )
        self.members: MembershipEndpoint | None = None
        self.peer_hints: PeerHints | None = None
        if config.membership:
            from .membership.udp import MembershipEndpoint  # noqa: PLC0415 - the platform's daemon has none

            self.members = MembershipEndpoint(config.membership, self.node.clock)
            if config.membership.drain_hints:
                from .membership.peer_hints import PeerHints  # noqa: PLC0415

                self.peer_hints = PeerHints(self.members, self.node.clock, self.engine.deliver, config.seed)
                self.node.on_endpoint_list_update = self.peer_hints.on_endpoint_list
        self.office: Office | None = None
        if config.duties and self.members:
            from .duties.office import Office  # noqa: PLC0415

            self.office = Office(config.duties, self.members)
        self.succession = Succession(
            config.sockets, config.memory_mb, _Door(self), self.node.set_limits, lambda: self.node.descriptors.in_use
        )
        self.server.proves = self.node.gate is not None
        self.loads: list[Inside] = []
        self.turns: list[Turn] = []
        self.ended = asyncio.Event()
        self._drain_by = self._drain_due = 0.0
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)

    async def start(self) -> None:
        """Open the operators' address, where there is one, and take over.  Raises OSError where it can't listen."""
        if self.node.config.admin:
            await self._open_admin(self.node.config.admin)
        if self.node.config.control:
            await self.admin.start_local(self.node.config.control)
        if self.members:
            self.members.open(wait_for_address=self._inherited is not None)
        if self.office:
            self.office.open()
        if self._inherited:
            self.succession.inherit(self._inherited)
            # Clients lose nothing meanwhile, and the list that was handed in may be as old as the old process.
            self.discovery.watch()
            with suppress(TimeoutError):
                async with asyncio.timeout(HEAR_S):
                    await self.discovery.heard.wait()
            self.server.open()
            self.succession.serving()
        if self._meeting:
            self.succession.meet(self._meeting)
        if self.config.loads and self.node.gate:
            from .load.inside import Inside  # noqa: PLC0415 - only a daemon in rehearsal has one

            def inside(load: Load, part: Part | None = None) -> Inside:
                return Inside(
                    load,
                    self.engine,
                    self.node.memory,
                    self.node.names.classes,
                    lambda: self.node.gate.ready if self.node.gate else 0,
                    part,
                )

            self.loads = [inside(load) for load in self.config.loads if not load.duty]
            for load in self.loads:
                load.start()
            shared = [load for load in self.config.loads if load.duty]
            if shared and self.office:
                from .duties.loads import Turn  # noqa: PLC0415

                self.turns = [Turn(self.office, load, inside) for load in shared]
                for turn in self.turns:
                    turn.start()

    async def _open_admin(self, where: tuple[str, int]) -> None:
        await retry_while_transient("operators' address", lambda: self.admin.start(where), OPEN_ADMIN_S)

    def _diagnostics(self) -> bytes:
        return json.dumps(self.node.diagnostics.report()).encode()

    def _members(self) -> bytes:
        return json.dumps(self.members.report() if self.members else None).encode()

    def _duties(self) -> bytes:
        return json.dumps(self.office.report() if self.office else None).encode()

    def _forms(self, config: Config) -> Forms:
        if not config.duties:
            return {}

        def form(name: str) -> Callable[[dict[str, str]], bytes | None]:
            def call(words: dict[str, str]) -> bytes | None:
                return getattr(self.office, name)(words) if self.office else None

            return call

        return {
            (b"POST", b"/_duty/claim"): form("called"),
            (b"POST", b"/_duty/done"): form("done"),
            (b"POST", b"/_duty/give"): form("give"),
        }

    def _sweep(self) -> None:
        self.server.sweep()
        self.succession.tick()
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)

    def follow(self, config: Config) -> None:
        """Take up a new configuration, as far as the node can."""
        self.config = config
        self.node.apply_config(config)
        self.server.rename(self.node.names, self.node.classes.former)
        if self.members and config.membership:
            self.members.reload(config.membership)
        elif self.members or config.membership:
            log_event("membership", "begins or ends at the next start, not by a reload")
        if self.office and config.duties:
            self.office.follow(config.duties)
        elif self.office or config.duties:
            log_event("duties", "begin or end at the next start, not by a reload")

    def drain(self) -> None:
        """Begin the planned end; `ended` is set when nothing is in hand, in time before the kill."""
        if not self._drain_by:
            end_s = self.config.drain_s
            self._drain_by = self._loop.time() + end_s + GIVE_UP_S
            self.engine.end_by(self.node.clock.now_ms() + end_s * 1000)
            for load in self.loads:
                load.close()
            self.succession.ending()
            if self.office and self.members:
                self.office.leave(self.members.leave, end_s)
            elif self.members:
                self.members.leave()
            self.server.drain(end_s)
            self._drain_due = self._loop.time()
            self._drain_step()

    def _drain_step(self) -> None:
        now = self._loop.time()
        if now - self._drain_due > LATE_STEP_S:
            self._drain_by = max(self._drain_by, now + GIVE_UP_S)
        held = self.office is not None and not self.office.gone
        if (self.server.drained() and not held) or self._loop.time() >= self._drain_by:
            self.close()
            self.ended.set()
        else:
            self._drain_due = now + DRAIN_STEP_S
            self._loop.call_later(DRAIN_STEP_S, self._drain_step)

    def close(self) -> None:
        self._sweeping.cancel()
        for load in self.loads:
            load.close()
        for turn in self.turns:
            turn.close()
        self.admin.close()
        if self.peer_hints:
            self.peer_hints.close()
        if self.office:
            self.office.close()
        if self.members:
            self.members.close()
        self.engine.expire()  # before the connections on which the answers go
        self.server.close()
        self.node.close()
        self.succession.close()  # last: the successor takes all of the budget when this ends
