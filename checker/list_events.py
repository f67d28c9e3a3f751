"""What the endpoint list and the operators say: changes, another list, other settings, lameduck."""

from __future__ import annotations

import json
from dataclasses import replace

from gateusher.policy.interface import Effect, Settings

from .observed_world import MIGRATED_PORT, ObservedWorld, void
from .setting import LIST_PORTS, SLOW_START_S
from .world_state import Event


class ListEvents(ObservedWorld):
    """The events of the endpoint list and of operators."""

    def _list_events(self) -> list[Event]:
        if self.list_changes and (self.list_changes > 2 or not self.all_events):
            return []
        healths = ["Terminating", "Gone", "another id"]
        if self.all_events:
            healths += ["started anew", "another address", "Ready again", "the same again"]
        found: list[Event] = [
            (f"the list says {health} of n0", lambda h=health: self._update_list(h))  # type: ignore[misc]
            for health in healths
        ]
        if self.all_events and not self.has_reloaded:
            found.append(("SIGHUP names another list", self._reload_list))
        if self.partial_update:
            found = [("the rest of the line comes", self._send_rest_of_update)]
        if any(not w.closing for w in self.watches):
            found.append(("the watch ends", lambda: [w for w in self.watches if not w.closing][-1].end(False)))
        return found

    def _operator_events(self) -> list[Event]:
        found: list[Event] = []
        if self.settings_changes < 3:
            found.append(("SIGHUP brings other settings", self._change_settings))
            found.append(("SIGHUP makes all unsafe, and another as it was", self._change_settings_twice))
        if self.lameduck_count < 2:
            found.append(("clients are sent away", self._enter_lameduck))
        if self.sidecar.server.lifecycle.is_closing_connections:
            found.append(("clients are taken back", lambda: void(self.sidecar.server.leave_lameduck())))
        return found

    def _change_settings(self) -> None:
        """Every class is another one now, with fewer attempts or more: what is open keeps its own."""
        self.settings_changes += 1
        classes = tuple(
            replace(c, priority_weight=c.priority_weight + self.settings_changes)
            for c in self.config.settings.classes
        )
        settings = replace(self.config.settings, max_attempts=(3, 1, 2, 3)[self.settings_changes], classes=classes)
        self._apply_settings(settings)

    def _apply_settings(self, settings: Settings) -> None:
        self.sidecar.apply_config(
            self.config._replace(settings=settings, known={"hosts": [h for h in self.hosts if h["health"] != "Gone"]})
        )

    def _change_settings_twice(self) -> None:
        """The stricter of both words holds for what is open, however soon the old one is back."""
        self.settings_changes += 1
        usual = self.config.settings.classes
        for classes in (tuple(replace(c, effect=Effect.NOT_IDEMPOTENT) for c in usual), usual):
            self._apply_settings(replace(self.config.settings, classes=classes))
        for request in self.history.requests.values():
            request.at_most_once = request.at_most_once or self.core_request(request) is not None
        self.sidecar.server.previous_classes = {}  # their grace period is another matter

    def _enter_lameduck(self) -> None:
        self.lameduck_count += 1
        self.sidecar.server.enter_lameduck()

    def _update_list(self, health: str) -> None:
        self.list_changes += 1
        entry, now, history = self.hosts[0], self.loop.now, self.history

        def told() -> None:
            if health in ("Terminating", "Gone", "another address"):
                history.draining_since.setdefault(0, now)
            elif health != "the same again":
                history.draining_since.pop(0, None)
            if health == "started anew" and self.setting.slow_start:
                history.slow_start[0] = now, now + SLOW_START_S

        change = dict(entry)
        if health == "another id":
            change["host"] = f"other{self.list_changes}"
        elif health == "started anew":
            change.update(born_ms=now * 1000, health="Ready")
        elif health == "another address":
            change["dial"] = f"127.0.0.1:{MIGRATED_PORT}"
        elif health == "Ready again":
            change.update(health="Ready", dial="127.0.0.1:1")
        elif health != "the same again":
            change["health"] = health
        old, self.hosts[0] = entry, change
        self.listed_addresses.add(change["dial"])
        if not self.setting.watched_list:
            left = [h for h in self.hosts if h["health"] != "Gone"]
            told()
            self.node.discovery.replace({"hosts": left})  # type: ignore[union-attr]
            return
        lines = [change] if change["host"] == old["host"] else [{**old, "health": "Gone"}, change]
        data = json.dumps({"seq": self.list_changes + 1, "whole": False, "hosts": lines}).encode() + b"\n"
        watch = next((w for w in reversed(self.watches) if not w.closing), None)
        if watch is None:
            return  # whoever asks next is told
        cut = (len(data), len(data) // 2)[self.choose("a whole line", "half a line")]
        if cut == len(data):
            told()
        self.partial_update = (data[cut:], told) if data[cut:] else None
        watch.feed(b"%x\r\n%b\r\n" % (cut, data[:cut]))

    def _send_rest_of_update(self) -> None:
        assert self.partial_update
        (data, told), self.partial_update = self.partial_update, None
        for watch in self.watches:
            if not watch.closing:
                told()
                watch.feed(b"%x\r\n%b\r\n" % (len(data), data))

    def _reload_list(self) -> None:
        self.has_reloaded = True
        if self.setting.watched_list:
            self.node.apply_config(self.config._replace(discovery=("127.0.0.1", LIST_PORTS[1])))
        else:
            self.node.apply_config(
                self.config._replace(known={"hosts": [h for h in self.hosts if h["health"] != "Gone"]})
            )
