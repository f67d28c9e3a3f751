"""Planted faults: each is a small change of the program's text, made while its module is imported.

`python -m checker mutant N` plays one in a process of its own.  One that survives is a hole in the explorer.
"""

from __future__ import annotations

import importlib.machinery
import sys
from importlib.abc import MetaPathFinder
from types import ModuleType
from typing import Any, NamedTuple


class Mutant(NamedTuple):
    """A fault: its module, the text that is replaced, and what replaces it."""

    what: str
    module: str
    old: str
    new: str


ENGINE, HTTP, BRAIN = "gateusher.core.engine", "gateusher.upstream.http", "gateusher.policy.brain"
MUTANTS = (
    Mutant("a reset past the last byte counts as never sent", HTTP,
           "Outcome.RESET if self._written else Outcome.CONNECT_FAILED", "Outcome.CONNECT_FAILED"),
    Mutant("a spoilt answer counts as never sent", HTTP,
           "Outcome.ERROR if self._written else Outcome.CONNECT_FAILED", "Outcome.CONNECT_FAILED"),
    Mutant("a time-out past the last byte counts as never sent", HTTP,
           "Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED", "Outcome.CONNECT_FAILED"),
    Mutant("a partly written request counts as sent", HTTP, "PART if self._blocked else ALL", "ALL"),
    Mutant("any 503 counts as never run", HTTP, "elif status in (503, 504) and self._not_run:", "elif status >= 500:"),
    Mutant("a connection with more behind its answer is kept", HTTP,
           "if self._keep and attempt.written and self.state == WHOLE:",
           "if attempt.written:\n            self.state = WHOLE"),
    Mutant("noise on a quiet connection is passed over", HTTP,
           "            self._up.drop(self)  # quiet", "            pass  # quiet"),
    Mutant("a connection that has something unread is used", HTTP, "and not self._poller.poll(0))", ")"),
    Mutant("a lost connection keeps its descriptor", HTTP, "            self._fds.give()\n", "            pass\n"),
    Mutant("a descriptor is given back twice", HTTP, "            self._fds.give()\n",
           "            self._fds.give()\n            self._fds.give()\n"),
    Mutant("a dial that is cancelled unborn keeps its descriptor", HTTP,
           "self.lost(conn) if task.cancelled() else None", "None"),
    Mutant("the bytes of an answer are not given back", HTTP,
           "        self._up.memory.give(self._size)\n", "        pass\n"),
    Mutant("connections to a node that is gone are kept", HTTP,
           "            self._hosts[eid].ready = False\n            self.close_idle(eid)\n",
           "            self._hosts[eid].ready = False\n"),
    Mutant("an attempt lives on when the deadline has passed", ENGINE,
           "            self._abandon(call)\n\n    # -- actions", "            self.deliver(Departed(call.rid))\n\n    # -- actions"),
    Mutant("an unwritten attempt lives on when its client left", ENGINE,
           "            if not attempt.written:\n                self.upstream.give_up(attempt, Outcome.NOT_SENT)",
           "            pass"),
    Mutant("the module is not told that a client left", ENGINE,
           "        self.deliver(Departed(call.rid))\n        for attempt in list(call.attempts.values()):\n            if not",
           "        for attempt in list(call.attempts.values()):\n            if not"),
    Mutant("the body's bytes are kept", ENGINE, "            self._memory.give(len(call.body))\n            call.body",
           "            call.body"),
    Mutant("an id is never free again", ENGINE, "            self._names.discard(call.name)\n            self._memory",
           "            self._memory"),
    Mutant("a request settles while attempts are out", ENGINE,
           "if call.state in (ANSWERED, LEFT) and not call.attempts:", "if call.state in (ANSWERED, LEFT):"),
    Mutant("an outcome is kept from the module", ENGINE,
           "        self.deliver(AttemptEnded(call.rid, attempt.number, attempt.eid, elapsed_ms",
           "        outcome is Outcome.RESET or self.deliver(AttemptEnded(call.rid, attempt.number, attempt.eid, elapsed_ms"),
    Mutant("an outcome is told twice", ENGINE, "        self._release(call)\n        self.deliver(AttemptEnded(",
           "        self._release(call)\n        self.deliver(AttemptEnded(call.rid, attempt.number, attempt.eid, "
           "elapsed_ms, outcome, call.over, report))\n        self.deliver(AttemptEnded("),
    Mutant("nobody fails a request past its deadline", ENGINE, "        if call.state == OPEN:\n            self._finish(call, CONCLUDE)\n            call.client",
           "        if False:\n            self._finish(call, CONCLUDE)\n            call.client"),
    Mutant("an unsafe request that may have run is tried again", BRAIN,
           "            if effect is Effect.UNSAFE:\n", "            if False:\n"),
    Mutant("a reset counts as never run in the policy", BRAIN,
           "NEVER_RAN = (Outcome.FULL,", "NEVER_RAN = (Outcome.RESET, Outcome.FULL,"),
    Mutant("a refusal after it may have run", BRAIN, "harmless = not (work.maybe_ran or work.out) or",
           "harmless = True or"),
    Mutant("off by ten at the key's window", BRAIN, "if self.now >= work.home_at + settings.window_ms - self.s.tick_ms:",
           "if self.now >= work.home_at + 10 * settings.window_ms:"),
    Mutant("the policy forgets a request that it holds", BRAIN,
           "        self.acts.append(SetTimer(work.rid + HOLD, wait))", "        pass"),
)


class _Finder(MetaPathFinder):
    """Changes the text of one module as it is loaded."""

    def __init__(self, mutant: Mutant) -> None:
        self._mutant = mutant

    def find_spec(self, name: str, path: Any, target: ModuleType | None = None) -> Any:
        if name != self._mutant.module:
            return None
        spec = importlib.machinery.PathFinder.find_spec(name, path)
        assert spec and spec.origin
        spec.loader = _Loader(name, spec.origin, self._mutant)
        return spec


class _Loader(importlib.machinery.SourceFileLoader):
    def __init__(self, name: str, path: str, mutant: Mutant) -> None:
        super().__init__(name, path)
        self._mutant = mutant

    def get_code(self, fullname: str) -> Any:
        text = self.get_data(self.path).decode()
        assert text.count(self._mutant.old) >= 1, f"not in {fullname} any more: {self._mutant.old!r}"
        return compile(text.replace(self._mutant.old, self._mutant.new, 1), self.path, "exec")


def plant(mutant: Mutant) -> None:
    """From here on the program has this fault.  Its modules must not be imported yet."""
    assert mutant.module not in sys.modules
    sys.meta_path.insert(0, _Finder(mutant))
