"""What the endpoint list and the operators say: changes, another list, other settings, lameduck."""

from __future__ import annotations

import json
from dataclasses import replace

from gateusher.policy.interface import Effect, Settings

from .observed_world import MOVED_PORT, ObservedWorld, void
from .setting import LIST_PORTS, SLOW_START_S
from .world_state import Event


class ListEvents(ObservedWorld):
    """The events of the endpoint list and of operators."""

    def _list_events(self) -> list[Event]:
        if self.turned and (self.turned > 2 or not self.rich):
            return []
        healths = ["Terminating", "Gone", "another id"]
        if self.rich:
            healths += ["started anew", "another address", "Ready again", "the same again"]
        found: list[Event] = [
            (f"the list says {health} of n0", lambda h=health: self._list(h))  # type: ignore[misc]
            for health in healths
        ]
        if self.rich and not self.reloaded:
            found.append(("SIGHUP names another list", self._reload))
        if self.half_line:
            found = [("the rest of the line comes", self._line_rest)]
        if any(not w.closing for w in self.watches):
            found.append(("the watch ends", lambda: [w for w in self.watches if not w.closing][-1].end(False)))
        return found

    def _operators_events(self) -> list[Event]:
        found: list[Event] = []
        if self.retuned < 3:
            found.append(("SIGHUP brings other settings", self._retune))
            found.append(("SIGHUP makes all unsafe, and another as it was", self._tighten))
        if self.sent_away < 2:
            found.append(("clients are sent away", self._send_away))
        if self.sidecar.server.lifecycle.is_closing_connections:
            found.append(("clients are taken back", lambda: void(self.sidecar.server.leave_lameduck())))
        return found

    def _retune(self) -> None:
        """Every class is another one now, with fewer attempts or more: what is open keeps its own."""
        self.retuned += 1
        classes = tuple(
            replace(c, priority_weight=c.priority_weight + self.retuned) for c in self.config.settings.classes
        )
        settings = replace(self.config.settings, max_attempts=(3, 1, 2, 3)[self.retuned], classes=classes)
        self._follow(settings)

    def _follow(self, settings: Settings) -> None:
        self.sidecar.apply_config(
            self.config._replace(settings=settings, known={"hosts": [h for h in self.hosts if h["health"] != "Gone"]})
        )

    def _tighten(self) -> None:
        """The stricter of both words holds for what is open, however soon the old one is back."""
        self.retuned += 1
        usual = self.config.settings.classes
        for classes in (tuple(replace(c, effect=Effect.NOT_IDEMPOTENT) for c in usual), usual):
            self._follow(replace(self.config.settings, classes=classes))
        for ask in self.story.asks.values():
            ask.once = ask.once or self.call(ask) is not None
        self.sidecar.server.previous_classes = {}  # their grace period is another matter

    def _send_away(self) -> None:
        self.sent_away += 1
        self.sidecar.server.enter_lameduck()

    def _list(self, health: str) -> None:
        self.turned += 1
        entry, now, story = self.hosts[0], self.loop.now, self.story

        def told() -> None:
            if health in ("Terminating", "Gone", "another address"):
                story.drained.setdefault(0, now)
            elif health != "the same again":
                story.drained.pop(0, None)
            if health == "started anew" and self.setting.cold:
                story.cold[0] = now, now + SLOW_START_S

        change = dict(entry)
        if health == "another id":
            change["host"] = f"other{self.turned}"
        elif health == "started anew":
            change.update(born_ms=now * 1000, health="Ready")
        elif health == "another address":
            change["dial"] = f"127.0.0.1:{MOVED_PORT}"
        elif health == "Ready again":
            change.update(health="Ready", dial="127.0.0.1:1")
        elif health != "the same again":
            change["health"] = health
        old, self.hosts[0] = entry, change
        self.given.add(change["dial"])
        if not self.setting.listed:
            left = [h for h in self.hosts if h["health"] != "Gone"]
            told()
            self.node.discovery.replace({"hosts": left})  # type: ignore[union-attr]
            return
        lines = [change] if change["host"] == old["host"] else [{**old, "health": "Gone"}, change]
        data = json.dumps({"seq": self.turned + 1, "whole": False, "hosts": lines}).encode() + b"\n"
        watch = next((w for w in reversed(self.watches) if not w.closing), None)
        if watch is None:
            return  # whoever asks next is told
        cut = (len(data), len(data) // 2)[self.choose("a whole line", "half a line")]
        if cut == len(data):
            told()
        self.half_line = (data[cut:], told) if data[cut:] else None
        watch.feed(b"%x\r\n%b\r\n" % (cut, data[:cut]))

    def _line_rest(self) -> None:
        assert self.half_line
        (data, told), self.half_line = self.half_line, None
        for watch in self.watches:
            if not watch.closing:
                told()
                watch.feed(b"%x\r\n%b\r\n" % (len(data), data))

    def _reload(self) -> None:
        self.reloaded = True
        if self.setting.listed:
            self.node.apply_config(self.config._replace(discovery=("127.0.0.1", LIST_PORTS[1])))
        else:
            self.node.apply_config(
                self.config._replace(known={"hosts": [h for h in self.hosts if h["health"] != "Gone"]})
            )
