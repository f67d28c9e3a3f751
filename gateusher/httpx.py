"""A transport for httpx that sends the requests of an `httpx.AsyncClient` through a gateway.

    client = httpx.AsyncClient(transport=GatewayTransport(gateway), base_url="http://endpoints")

The transport does not own the gateway: its creator starts and closes it.
"""

from __future__ import annotations

from collections.abc import AsyncIterable, Callable

import httpx

from .client import Conflict, DeadlineExceeded, Failed, Gateway, InvalidRequest, Refused, Unusable

# Headers that become parameters of `Gateway.request`, or that the gateway writes itself.
_RESERVED_HEADERS = frozenset(
    {
        "x-request-id",
        "idempotency-key",
        "x-tenant",
        "x-class",
        "x-deadline",
        "content-length",
        "transfer-encoding",
        "connection",
    }
)


def class_of(request: httpx.Request) -> str:
    """Return a request's class: the extension `gateusher_class`, else `X-Class`, else the first path segment."""
    class_name = request.extensions.get("gateusher_class") or request.headers.get("x-class")
    return str(class_name or request.url.path[1:].partition("/")[0])


class GatewayTransport(httpx.AsyncBaseTransport):
    """An httpx transport over a gateway.

    - The class is what `classify` returns. `X-Request-Id`, `Idempotency-Key` and `X-Tenant` of the request become the
      gateway's parameters.
    - httpx's read timeout is the deadline for the complete response, including the time that an iterated body takes;
      None leaves the class's. Its other timeouts are not used: dials and waits for a connection are bounded by the
      gateway, within the same deadline.
    - `Refused` becomes the response 503 with `Retry-After`, and `Conflict` 409: a retry after either is harmless.
      `DeadlineExceeded` raises `httpx.ReadTimeout`, or `ConnectTimeout` where the request can't have run; any other
      `Failed` likewise `ReadError` or `ConnectError`; `InvalidRequest` raises `LocalProtocolError` and `Unusable`
      `ConnectError`. The gateway's error is the cause of each and has `may_have_run`.
    - Redirects are left to the client, as with any transport. A streamed response is complete when it is
      returned; reading it never fails.

    Closing the client does not close the gateway.

    :param gateway: started and closed by its owner.
    :param classify: returns the class of a request.
    """

    def __init__(self, gateway: Gateway, *, classify: Callable[[httpx.Request], str] = class_of) -> None:
        self._gateway, self._classify = gateway, classify

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return its response.  Raises httpx's exceptions, as the class describes."""
        headers = request.headers
        try:
            answer = await self._gateway.request(
                self._classify(request),
                path=request.url.raw_path.decode("ascii"),
                method=request.method,
                body=self._body(request),
                deadline=request.extensions.get("timeout", {}).get("read"),
                headers=[
                    (name, value) for name, value in headers.multi_items() if name.lower() not in _RESERVED_HEADERS
                ],
                request_id=headers.get("x-request-id"),
                idempotency_key=headers.get("idempotency-key"),
                tenant=headers.get("x-tenant"),
            )
        except Refused as error:
            return httpx.Response(503, headers={"Retry-After": f"{error.retry_after:.3f}"}, request=request)
        except Conflict:
            return httpx.Response(409, request=request)
        except DeadlineExceeded as error:
            timeout_type = httpx.ReadTimeout if error.may_have_run else httpx.ConnectTimeout
            raise timeout_type(str(error), request=request) from error
        except Failed as error:
            error_type = httpx.ReadError if error.may_have_run else httpx.ConnectError
            raise error_type(str(error), request=request) from error
        except InvalidRequest as error:
            raise httpx.LocalProtocolError(str(error), request=request) from error
        except Unusable as error:
            raise httpx.ConnectError(str(error), request=request) from error
        return httpx.Response(
            answer.status, headers=list(answer.headers), request=request, stream=httpx.ByteStream(answer.body)
        )

    @staticmethod
    def _body(request: httpx.Request) -> bytes | AsyncIterable[bytes]:
        """Return the body if it is complete, else its iterator, which the gateway reads within the deadline."""
        try:
            return request.content
        except httpx.RequestNotRead:
            if isinstance(request.stream, httpx.AsyncByteStream):
                return request.stream
            raise InvalidRequest("the body is not an asynchronous stream") from None


__all__ = ["GatewayTransport", "class_of"]
