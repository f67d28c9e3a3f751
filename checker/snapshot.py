"""Snapshots that restore a world to its initial state: each object of the initial state gets its contents back.

Creating a new world costs half of a short execution.  The initial state has no connection, and so neither a parser
nor a running coroutine, which could not be restored.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from types import CellType, FunctionType, MethodType
from typing import Any

from .scheduler import Scheduler
from .world import World

_SET_CELL: Any = CellType.__dict__["cell_contents"].__set__
_PROJECT_MODULES = ("gateusher.", "checker.", "asyncio.events", "__main__")


class WorldSnapshot:
    """A world and the contents of all objects reachable from it."""

    def __init__(self, world: World) -> None:
        self.world = world
        # One list per type, since dispatching on the type would take half of a restore: objects with their contents,
        # and for slots and cells a setter, the object and the value.
        self._dicts: list[tuple[dict[Any, Any] | set[Any], Any]] = []
        self._lists: list[tuple[list[Any] | bytearray, Any]] = []
        self._deques: list[tuple[deque[Any], deque[Any]]] = []
        self._slots: list[tuple[Callable[[Any, Any], None], Any, Any]] = []
        self._visited: dict[int, Any] = {}
        self._record_reachable(world)

    def _record_reachable(self, root: Any) -> None:
        todo = [root]
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
                self._slots.append((_SET_CELL, x, x.cell_contents))
                todo.append(x.cell_contents)
            elif not isinstance(x, type) and type(x).__module__.startswith(_PROJECT_MODULES) and not _is_frozen(x):
                if hasattr(x, "__dict__"):
                    todo.append(x.__dict__)
                for slot in (c.__dict__[n] for c in type(x).__mro__ for n in _slot_names(c) if hasattr(x, n)):
                    value = slot.__get__(x)
                    self._slots.append((slot.__set__, x, value))
                    todo.append(value)

    def restore(self) -> World:
        """Restore the world and return it."""
        world = self.world
        # Coroutines are cancelled first: one that is merely dropped would end later, during another execution.
        for task in world.tasks.values():
            task.cancel()
        for connection in world.dialed:
            if connection.dial_task:
                connection.dial_task.cancel()
        world.loop.settle()
        for mapping, contents in self._dicts:
            mapping.clear()
            mapping.update(contents)
        for sequence, items in self._lists:
            sequence[:] = items
        for queue, entries in self._deques:
            queue.clear()
            queue.extend(entries)
        for set_value, owner, value in self._slots:
            set_value(owner, value)
        return world


def _is_frozen(x: Any) -> bool:
    return bool(getattr(getattr(x, "__dataclass_params__", None), "frozen", False))


def _slot_names(cls: type) -> tuple[str, ...]:
    slots = cls.__dict__.get("__slots__", ())
    return tuple(n for n in ((slots,) if isinstance(slots, str) else slots) if n not in ("__dict__", "__weakref__"))
