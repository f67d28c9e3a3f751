"""A store that the holder of a singleton task writes to; it checks fencing tokens and records every write.

`POST /act/TASK?fence=N&who=NAME` responds with 200 if the write is accepted, otherwise with 409 and the highest
fence.  A fence belongs to the first writer that presented it; another writer with the same number is rejected.
`GET /acts` lists all writes.  `Store` owns the writes and the highest fence of each task.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote

from .wire import ReceivedRequest, ServerConnection, encode_response


class WriteRecord(NamedTuple):
    """One write, accepted or rejected."""

    task: str
    fence: int
    writer: str
    body: bytes
    accepted: bool


class Store:
    """A store on the loopback address; `on_write` is called with each write."""

    def __init__(self, on_write: Callable[[WriteRecord], None] | None = None) -> None:
        self.writes: list[WriteRecord] = []  # in order of arrival
        self._highest_fences: dict[str, tuple[int, str]] = {}
        self._on_write = on_write
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on `port`, or on a free one for 0.  Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _StoreConnection(self), "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def highest_fence(self, task: str) -> int:
        """Return the highest fence that was presented for a task, or 0."""
        return self._highest_fences.get(task, (0, ""))[0]

    def write(self, task: str, fence: int, writer: str, body: bytes = b"") -> bool:
        """Record a write and return whether it is accepted: its fence is a new highest, or the writer's own."""
        highest, owner = self._highest_fences.get(task, (0, ""))
        accepted = fence > highest or (fence == highest and writer == owner)
        if accepted:
            self._highest_fences[task] = (fence, writer)
        record = WriteRecord(task, fence, writer, body, accepted)
        self.writes.append(record)
        if self._on_write:
            self._on_write(record)
        return accepted

    @property
    def rejected(self) -> list[WriteRecord]:
        """Writes with an outdated fence, which a lease without fencing would have let through."""
        return [record for record in self.writes if not record.accepted]

    def serve(self, request: ReceivedRequest) -> bytes:
        """Handle a request and return the bytes of its response."""
        path, _, query = request.target.partition("?")
        parameters = dict(parse_qsl(query))
        if request.method == "GET" and path == "/acts":
            return encode_response(200, self._writes_json())
        task = unquote(path.removeprefix("/act/"))
        if request.method != "POST" or not path.startswith("/act/") or not task:
            return encode_response(404)
        try:
            fence = int(parameters["fence"])
        except (KeyError, ValueError):
            return encode_response(400, b"fence=N is wanted")
        if self.write(task, fence, parameters.get("who", ""), request.body):
            return encode_response(200, b"taken")
        return encode_response(409, str(self.highest_fence(task)).encode())

    def _writes_json(self) -> bytes:
        return json.dumps(
            [[record.task, record.fence, record.writer, record.accepted] for record in self.writes]
        ).encode()

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server:
            self._server.close()


class _StoreConnection(ServerConnection):
    """A connection to the store."""

    def __init__(self, store: Store) -> None:
        super().__init__()
        self._store = store

    def on_request(self, request: ReceivedRequest) -> None:
        self.write(self._store.serve(request))
