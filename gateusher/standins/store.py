"""A store that the holder of a singleton task writes to; it checks fencing tokens and records every write.

`POST /act/DUTY?fence=N&who=NAME` responds with 200 where the write is accepted, and with 409 and the highest fence
where it isn't.  A fence belongs to the first writer that showed it: another writer with the same number is rejected.
`GET /acts` lists all writes.  `Store` owns the writes and the highest fence of each task.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote

from .wire import Asked, Peer, answer


class Act(NamedTuple):
    """One write in the order of arrival; `taken` tells whether it was accepted."""

    duty: str
    fence: int
    who: str
    body: bytes
    taken: bool


class Store:
    """Listens on the loopback address from `start` until `close`; `came` is called with each write."""

    def __init__(self, came: Callable[[Act], None] | None = None) -> None:
        self.acts: list[Act] = []
        self._highest_fences: dict[str, tuple[int, str]] = {}
        self._on_act = came
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on `port`, or on a free one for 0.  Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _StorePeer(self), "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def highest(self, duty: str) -> int:
        """Return the highest fence that was shown for a task; 0 for none."""
        return self._highest_fences.get(duty, (0, ""))[0]

    def act(self, duty: str, fence: int, who: str, body: bytes = b"") -> bool:
        """Record a write and return whether it is accepted: its fence is new and the highest, or the writer's own."""
        highest, owner = self._highest_fences.get(duty, (0, ""))
        taken = fence > highest or (fence == highest and who == owner)
        if taken:
            self._highest_fences[duty] = (fence, who)
        act = Act(duty, fence, who, body, taken)
        self.acts.append(act)
        if self._on_act:
            self._on_act(act)
        return taken

    @property
    def refused(self) -> list[Act]:
        """Writes under an outdated fence, which a lease without fencing would have let through."""
        return [act for act in self.acts if not act.taken]

    def serve(self, request: Asked) -> bytes:
        """Handle a request and return the bytes of its response."""
        path, _, query = request.target.partition("?")
        parameters = dict(parse_qsl(query))
        if request.method == "GET" and path == "/acts":
            return answer(200, self._acts_json())
        duty = unquote(path.removeprefix("/act/"))
        if request.method != "POST" or not path.startswith("/act/") or not duty:
            return answer(404)
        try:
            fence = int(parameters["fence"])
        except (KeyError, ValueError):
            return answer(400, b"fence=N is wanted")
        if self.act(duty, fence, parameters.get("who", ""), request.body):
            return answer(200, b"taken")
        return answer(409, str(self.highest(duty)).encode())

    def _acts_json(self) -> bytes:
        return json.dumps([[act.duty, act.fence, act.who, act.taken] for act in self.acts]).encode()

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server:
            self._server.close()


class _StorePeer(Peer):
    """A connection to the store."""

    def __init__(self, store: Store) -> None:
        super().__init__()
        self._store = store

    def asked(self, asked: Asked) -> None:
        self.write(self._store.serve(asked))
