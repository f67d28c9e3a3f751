"""A world put back to its beginning in place of a new one: each object that it began with gets back what it held.

A new world costs half of a short execution.  At its beginning it holds no connection, so neither a parser nor a
running coroutine, which could not be put back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from types import CellType, FunctionType, MethodType
from typing import Any

from .scheduler import Scheduler
from .world import World

_CELL: Any = CellType.__dict__["cell_contents"].__set__
_OURS = ("gateusher.", "checker.", "asyncio.events", "__main__")


class WorldSnapshot:
    """One world and what it began with."""

    def __init__(self, world: World) -> None:
        self.world = world
        # By kind, since this is half of what it costs: what it held, or of slots and cells how to put that back.
        self._dicts: list[tuple[dict[Any, Any] | set[Any], Any]] = []
        self._lists: list[tuple[list[Any] | bytearray, Any]] = []
        self._deques: list[tuple[deque[Any], deque[Any]]] = []
        self._slots: list[tuple[Callable[[Any, Any], None], Any, Any]] = []
        self._visited: dict[int, Any] = {}
        self._record_reachable(world)

    def _record_reachable(self, first: Any) -> None:
        todo = [first]
        while todo:
            x = todo.pop()
            if id(x) in self._visited or isinstance(x, Scheduler):
                continue
            self._visited[id(x)] = x
            if isinstance(x, list):
                self._lists.append((x, x.copy()))
                todo += x
            elif isinstance(x, bytearray):
                self._lists.append((x, x.copy()))
            elif isinstance(x, set):
                self._dicts.append((x, x.copy()))
                todo += x
            elif isinstance(x, deque):
                self._deques.append((x, x.copy()))
                todo += x
            elif isinstance(x, dict):
                self._dicts.append((x, x.copy()))
                todo += x.values()
            elif isinstance(x, tuple):
                todo += x
            elif isinstance(x, MethodType):
                todo += [x.__self__, x.__func__]
            elif isinstance(x, FunctionType):
                todo += x.__closure__ or ()
            elif isinstance(x, CellType):
                self._slots.append((_CELL, x, x.cell_contents))
                todo.append(x.cell_contents)
            elif not isinstance(x, type) and type(x).__module__.startswith(_OURS) and not _frozen(x):
                if hasattr(x, "__dict__"):
                    todo.append(x.__dict__)
                for slot in (c.__dict__[n] for c in type(x).__mro__ for n in _slots(c) if hasattr(x, n)):
                    value = slot.__get__(x)
                    self._slots.append((slot.__set__, x, value))
                    todo.append(value)

    def restore(self) -> World:
        """The world as it was when this object was made."""
        world = self.world
        # What still runs ends first: a coroutine that is merely forgotten ends later, in the middle of another life.
        for task in world.tasks.values():
            task.cancel()
        for conn in world.dialed:
            if conn.dial_task:
                conn.dial_task.cancel()
        world.loop.settle()
        for x, held in self._dicts:
            x.clear()
            x.update(held)
        for line, had in self._lists:
            line[:] = had
        for row, were in self._deques:
            row.clear()
            row.extend(were)
        for put, of, value in self._slots:
            put(of, value)
        return world


def _frozen(x: Any) -> bool:
    return bool(getattr(getattr(x, "__dataclass_params__", None), "frozen", False))


def _slots(of: type) -> tuple[str, ...]:
    found = of.__dict__.get("__slots__", ())
    return tuple(n for n in ((found,) if isinstance(found, str) else found) if n not in ("__dict__", "__weakref__"))
