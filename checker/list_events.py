"""The events of the endpoint list and of operators: updates, another list, other settings, lameduck mode."""

from __future__ import annotations

import json
from dataclasses import replace
from functools import partial

from gateusher.policy.interface import Effect, Settings

from .observed_world import MIGRATED_PORT, ObservedWorld, void
from .setting import LIST_PORTS, SLOW_START_S
from .world_state import Event


class ListEvents(ObservedWorld):
    """The part of a world that produces the events of the endpoint list and of operators."""

    def _list_events(self) -> list[Event]:
        if self.list_changes and (self.list_changes > 2 or not self.all_events):
            return []
        changes = ["Terminating", "Gone", "with another id"]
        if self.all_events:
            changes += ["restarted", "at another address", "Ready again", "unchanged"]
        found: list[Event] = [
            (f"the endpoint list has n0 {change}", partial(self._update_list, change)) for change in changes
        ]
        if self.all_events and not self.has_reloaded:
            found.append(("SIGHUP configures another endpoint list", self._reload_list))
        if self.partial_update:
            found = [("the rest of the update arrives", self._send_rest_of_update)]
        if any(not w.closing for w in self.watches):
            found.append(("the watch is closed", lambda: [w for w in self.watches if not w.closing][-1].end(False)))
        return found

    def _operator_events(self) -> list[Event]:
        found: list[Event] = []
        if self.settings_changes < 3:
            found.append(("SIGHUP changes the settings", self._change_settings))
            found.append(
                ("SIGHUP makes every class unsafe, and a second one reverts it", self._change_settings_twice)
            )
        if self.lameduck_count < 2:
            found.append(("lameduck mode begins", self._enter_lameduck))
        if self.sidecar.server.lifecycle.is_closing_connections:
            found.append(("lameduck mode ends", lambda: void(self.sidecar.server.leave_lameduck())))
        return found

    def _change_settings(self) -> None:
        """Change every class and the attempt limit; open requests keep the class that they were accepted with."""
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
        """Make every class unsafe and revert that at once: open requests stay unsafe."""
        self.settings_changes += 1
        usual = self.config.settings.classes
        for classes in (tuple(replace(c, effect=Effect.NOT_IDEMPOTENT) for c in usual), usual):
            self._apply_settings(replace(self.config.settings, classes=classes))
        for request in self.history.requests.values():
            request.at_most_once = request.at_most_once or self.core_request(request) is not None
        self.node.class_history.forget()  # the grace period of earlier classes is not explored here

    def _enter_lameduck(self) -> None:
        self.lameduck_count += 1
        self.sidecar.server.enter_lameduck()

    def _update_list(self, change: str) -> None:
        self.list_changes += 1
        old, now, history = self.hosts[0], self.loop.now, self.history

        def on_delivered() -> None:
            if change in ("Terminating", "Gone", "at another address"):
                history.draining_since.setdefault(0, now)
            elif change != "unchanged":
                history.draining_since.pop(0, None)
            if change == "restarted" and self.setting.slow_start:
                history.slow_start[0] = now, now + SLOW_START_S

        new = dict(old)
        if change == "with another id":
            new["host"] = f"other{self.list_changes}"
        elif change == "restarted":
            new.update(born_ms=now * 1000, health="Ready")
        elif change == "at another address":
            new["dial"] = f"127.0.0.1:{MIGRATED_PORT}"
        elif change == "Ready again":
            new.update(health="Ready", dial="127.0.0.1:1")
        elif change != "unchanged":
            new["health"] = change
        self.hosts[0] = new
        self.listed_addresses.add(new["dial"])
        if not self.setting.watched_list:
            present = [h for h in self.hosts if h["health"] != "Gone"]
            on_delivered()
            self.node.discovery.replace({"hosts": present})  # type: ignore[union-attr]
            return
        hosts = [new] if new["host"] == old["host"] else [{**old, "health": "Gone"}, new]
        data = json.dumps({"seq": self.list_changes + 1, "whole": False, "hosts": hosts}).encode() + b"\n"
        watch = next((w for w in reversed(self.watches) if not w.closing), None)
        if watch is None:
            return  # the next poll or watch gets the complete list
        cut = (len(data), len(data) // 2)[self.choose("a complete update", "half an update")]
        if cut == len(data):
            on_delivered()
        self.partial_update = (data[cut:], on_delivered) if data[cut:] else None
        watch.feed(b"%x\r\n%b\r\n" % (cut, data[:cut]))

    def _send_rest_of_update(self) -> None:
        assert self.partial_update
        (data, on_delivered), self.partial_update = self.partial_update, None
        for watch in self.watches:
            if not watch.closing:
                on_delivered()
                watch.feed(b"%x\r\n%b\r\n" % (len(data), data))

    def _reload_list(self) -> None:
        self.has_reloaded = True
        if self.setting.watched_list:
            self.node.apply_config(self.config._replace(discovery=("127.0.0.1", LIST_PORTS[1])))
        else:
            self.node.apply_config(
                self.config._replace(known={"hosts": [h for h in self.hosts if h["health"] != "Gone"]})
            )
