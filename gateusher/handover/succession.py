"""One process's part in a handover: lines and timers in, what `machine` decides out."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from ..base.log import log_event
from .channel import VERSION, Inherited, Line, Meeting, Message
from .machine import Action, Asked, Decline, Give, Hold, Leave, Lend, New, Old, Return


class Door(Protocol):
    """The clients' listener, as far as it can change hands."""

    @property
    def door(self) -> socket.socket | None:
        """What it listens on; None where it has stopped for good."""

    def hand_over(self) -> None:
        """Accept nobody any more, keep the socket, and end each connection with its next answer."""

    def reclaim(self) -> None:
        """Accept again."""


class Succession:
    """From the start of a process to its end: a successor to the one before it, then the old one to the next."""

    def __init__(
        self, sockets: int, memory_mb: float, door: Door, hold: Callable[[int, float], None], used: Callable[[], int]
    ) -> None:
        self._old = Old(sockets, memory_mb)
        self._limits = sockets, memory_mb
        self._door, self._hold, self._used = door, hold, used
        self._new: New | None = None
        self._up: Line | None = None  # to the process before this one
        self._down: Line | None = None  # to the one after it
        self._meeting: Meeting | None = None

    # -- as a successor

    def inherit(self, inherited: Inherited) -> None:
        """Live on what was lent from here on."""
        self._new = New(*self._limits, inherited.sockets, inherited.memory_mb)
        self._perform([self._new.held])
        self._up = Line(inherited.line, self._lent, self._alone)

    def _lent(self, message: Message) -> None:
        sockets = message.get("sockets")
        if self._new and isinstance(sockets, int) and not isinstance(sockets, bool):
            self._perform(self._new.lent(sockets))

    def _alone(self) -> None:
        self._up = None
        if self._new:
            self._perform(self._new.alone())

    def serving(self) -> None:
        """This process takes clients."""
        if self._up:
            self._up.tell({"serving": True})

    # -- as the old one

    def meet(self, path: str) -> None:
        """Be found by the next process.  Without it an upgrade is a restart, so a fault is told and no more."""
        try:
            self._meeting = Meeting(path, self._came)
        except OSError as error:
            log_event("handover", f"no successor can come: {error}")

    def _came(self, sock: socket.socket) -> None:
        if self._down or not self._door.door:
            sock.close()
            return
        self._down = Line(sock, self._heard, self._lost)

    def _heard(self, message: Message) -> None:
        if message.get("take") == VERSION:
            self._event(Asked.ASKED)
        elif message.get("serving") is True:
            self._event(Asked.SERVING)

    def _lost(self) -> None:
        self._down = None
        self._event(Asked.LOST)

    def tick(self) -> None:
        """Now and then: lend what has come free."""
        if self._down:
            self._event(Asked.TICK)

    def ending(self) -> None:
        """This process is on its way out."""
        self._old.ending = True

    def _event(self, event: Asked) -> None:
        self._perform(self._old.handle(event, self._used()))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Hold(sockets, memory_mb):
                    self._hold(sockets, memory_mb)
                case Give(sockets, memory_mb):
                    if self._down and self._door.door:
                        self._down.tell({"sockets": sockets, "memory_mb": memory_mb}, self._door.door)
                case Lend(sockets):
                    if self._down:
                        self._down.tell({"sockets": sockets})
                case Leave():
                    log_event("handover", "a successor serves")
                    self._door.hand_over()
                case Return():
                    log_event("handover", "the successor is gone: serving again")
                    self._door.reclaim()
                case Decline():
                    if self._down:
                        self._down.close()
                        self._down = None

    def close(self) -> None:
        for end in (self._meeting, self._down, self._up):
            if end:
                end.close()
        self._meeting = self._down = self._up = None
