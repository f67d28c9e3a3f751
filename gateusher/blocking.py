"""The library for threaded code (WSGI, scripts): blocking calls over an event loop in a dedicated thread.

A `Gateway` owns the loop, its thread and an asynchronous gateway on it.
"""

from __future__ import annotations

import asyncio
import os
import threading
from collections.abc import Callable, Coroutine, Iterable
from concurrent.futures import Future
from types import TracebackType
from typing import Any

from . import client
from .client import Answer, Budget, InvalidRequest, Settled, Unusable, forked_error
from .config.model import Config
from .core.requests import MAX_LIBRARY_BODY_BYTES


class Gateway:
    """A blocking `gateusher.Gateway`, which any number of threads may use at once.

    :param config: the settings; `from_config` reads them from a file.
    :param on_settled: as for `gateusher.Gateway`, but called on the thread of the loop.
    :param budget: memory and descriptors shared with other gateways.
    :param loop_factory: creates the loop, for example `uvloop.new_event_loop`.
    """

    def __init__(
        self,
        config: Config,
        *,
        on_settled: Callable[[Settled], object] | None = None,
        budget: Budget | None = None,
        loop_factory: Callable[[], asyncio.AbstractEventLoop] = asyncio.new_event_loop,
    ) -> None:
        self._gateway = client.Gateway(config, on_settled=on_settled, budget=budget)
        self._loop_factory = loop_factory
        self._loop: asyncio.AbstractEventLoop | None = None
        self._thread: threading.Thread | None = None
        self._process_id = 0

    @classmethod
    def from_config(
        cls, path: str, *, on_settled: Callable[[Settled], object] | None = None, budget: Budget | None = None
    ) -> Gateway:
        """Create a gateway from a TOML file.  Raises `ConfigError`, which lists every fault in the file."""
        from .config.file import load  # noqa: PLC0415 - the library loads without the file reader

        return cls(load(path), on_settled=on_settled, budget=budget)

    def start(self) -> None:
        """Start the thread and open the gateway on its loop."""
        if self._thread:
            raise Unusable("this gateway has been started before")
        self._process_id = os.getpid()
        self._loop = self._loop_factory()
        self._thread = threading.Thread(target=self._run_loop, args=(self._loop,), name="gateusher", daemon=True)
        self._thread.start()
        self._run_on_loop(self._gateway.start())

    @staticmethod
    def _run_loop(loop: asyncio.AbstractEventLoop) -> None:
        try:
            loop.run_forever()
        finally:
            loop.close()

    def _run_on_loop(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop, and return its result or raise its error.

        Raises `Unusable` if the gateway is not open, was forked, has ended, or is called from its own loop.
        """
        loop, thread = self._loop, self._thread
        if loop is None or thread is None:
            work.close()
            raise Unusable("the gateway is not open: use `with` or `start`")
        if os.getpid() != self._process_id:
            work.close()
            raise forked_error(self._process_id)
        if loop.is_closed() or thread is threading.current_thread():
            work.close()
            raise Unusable("the gateway has ended, or is called from its own loop")
        future: Future[Any] = asyncio.run_coroutine_threadsafe(work, loop)
        try:
            return future.result()
        except BaseException:
            future.cancel()  # an interrupt of the waiting thread cancels the request
            raise

    def __enter__(self) -> Gateway:
        self.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Shut down gracefully, as `gateusher.Gateway.close` does, and end the thread."""
        loop, thread = self._loop, self._thread
        if loop is None or thread is None or os.getpid() != self._process_id or loop.is_closed():
            return
        try:
            self._run_on_loop(self._gateway.close())
        finally:
            loop.call_soon_threadsafe(loop.stop)
            thread.join()

    def request(
        self,
        cls: str,
        *,
        path: str | None = None,
        method: str | None = None,
        body: bytes | Iterable[bytes] = b"",
        headers: Iterable[tuple[str, str]] = (),
        deadline: float | None = None,
        request_id: str | None = None,
        idempotency_key: str | None = None,
        tenant: str | None = None,
        key: str | None = None,
    ) -> Answer:
        """Send a request as `gateusher.Gateway.request` does, under the inherited deadline of the calling thread."""
        if not isinstance(body, bytes):
            content = bytearray()
            for part in body:
                content += part
                if len(content) > MAX_LIBRARY_BODY_BYTES:
                    raise InvalidRequest(f"a body holds at most {MAX_LIBRARY_BODY_BYTES} bytes")
            body = bytes(content)
        answer: Answer = self._run_on_loop(
            self._gateway.request(
                cls,
                path=path,
                method=method,
                body=body,
                headers=headers,
                deadline=deadline,
                request_id=request_id,
                idempotency_key=idempotency_key,
                tenant=tenant,
                key=key,
            )
        )
        return answer
