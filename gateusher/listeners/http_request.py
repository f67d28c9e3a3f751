"""One HTTP/1.1 request of a client, with its place in the order of its connection's responses.

`HttpRequest` extends the core's `ClientRequest` by what the connection needs to frame and order the response.  Its
connection owns it until the response is written.
"""

from __future__ import annotations

from typing import Protocol

from ..base.limits import MemoryBudget, Reservation
from ..core.requests import ClientCallbacks, ClientRequest
from ..upstream.interface import Headers, ResponseBodyStream
from ..upstream.upload import Upload


class RequestConnection(ClientCallbacks, Protocol):
    """The connection of a request, as far as the request uses it."""

    def forward_body(self, request: HttpRequest, data: bytes) -> None:
        """Write more of a streamed response body."""

    def finish_body(self, request: HttpRequest, is_complete: bool) -> None:
        """End a streamed response body."""


class HttpRequest(ClientRequest):
    """A request and the state of its response.  It is also the `BodySink` of a streamed response."""

    __slots__ = (
        "is_chunked",
        "keep_alive",
        "is_http_1_0",
        "unwritten_response",
        "body_stream",
        "upload",
        "head_memory",
        "sent_s",
    )
    accepts_streaming = True
    client: RequestConnection

    def __init__(
        self,
        client: RequestConnection,
        memory: MemoryBudget,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes | bytearray,
        keep_alive: bool,
        is_http_1_0: bool = False,
        sent_s: float = 0.0,
    ) -> None:
        super().__init__(client, method, target, headers, body)
        self.head_memory = Reservation(memory)
        self.keep_alive = keep_alive  # the connection stays open after the response
        self.sent_s = sent_s  # its client sent its first byte then or later, on the event loop's clock
        self.is_http_1_0 = is_http_1_0  # its client does not support the chunked transfer coding
        self.unwritten_response: bytes | None = None  # None until there is one, b"" once it is written
        self.body_stream: ResponseBodyStream | None = None  # the rest of a streamed response
        self.is_chunked = False  # the response uses the chunked transfer coding (RFC 9112, section 7.1)
        self.upload: Upload | None = None  # a body that is forwarded while it is received

    def feed(self, data: bytes) -> None:
        """Forward more of the response body from the endpoint."""
        self.client.forward_body(self, data)

    def end(self, whole: bool) -> None:
        """End the response body; `whole` is False if the endpoint interrupted it."""
        self.client.finish_body(self, whole)
