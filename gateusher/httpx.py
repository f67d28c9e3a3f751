"""A transport for httpx: code that is written on it calls nodes through the gateway with one line changed.

client = httpx.AsyncClient(transport=GatewayTransport(gateway), base_url="http://nodes")
"""

from __future__ import annotations

from collections.abc import AsyncIterable, Callable

import httpx

from .client import Conflict, DeadlineExceeded, Failed, Gateway, InvalidRequest, Refused, Unusable

_OWN = frozenset(
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
    """The class of a request: the extension `gateusher_class`, else `X-Class`, else the path's first part."""
    named = request.extensions.get("gateusher_class") or request.headers.get("x-class")
    return str(named or request.url.path[1:].partition("/")[0])


class GatewayTransport(httpx.AsyncBaseTransport):
    """Sends what an `httpx.AsyncClient` is asked for through a gateway.

    - The class is what `classify` says. `X-Request-Id`, `Idempotency-Key` and `X-Tenant` of the request are
      taken as the gateway's parameters.
    - httpx's read timeout is the deadline for the whole answer, a body that is still being made included; None
      leaves the class's. Its other timeouts have nothing to bound here: dials and waits for a connection are
      the gateway's own, within the same deadline.
    - `Refused` is the response 503 with `Retry-After`, and `Conflict` 409, as a server would give them: code
      that retries on these does so harmlessly. `DeadlineExceeded` raises `httpx.ReadTimeout`, or
      `ConnectTimeout` where it can't have run; any other `Failed` likewise `ReadError` or `ConnectError`;
      `InvalidRequest` raises `LocalProtocolError` and `Unusable` `ConnectError`. The gateway's error is the
      cause of each and tells `may_have_run`.
    - Redirects are the client's to follow, as with any transport. A stream's answer is whole when the response
      comes; reading it never fails.

    The gateway stays its owner's: closing the client does not end it.
    """

    def __init__(self, gateway: Gateway, *, classify: Callable[[httpx.Request], str] = class_of) -> None:
        self._gateway, self._classify = gateway, classify

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        headers = request.headers
        try:
            answer = await self._gateway.request(
                self._classify(request),
                path=request.url.raw_path.decode("ascii"),
                method=request.method,
                body=self._body(request),
                deadline=request.extensions.get("timeout", {}).get("read"),
                headers=[(n, v) for n, v in headers.multi_items() if n.lower() not in _OWN],
                request_id=headers.get("x-request-id"),
                idempotency_key=headers.get("idempotency-key"),
                tenant=headers.get("x-tenant"),
            )
        except Refused as error:
            return httpx.Response(503, headers={"Retry-After": f"{error.retry_after:.3f}"}, request=request)
        except Conflict:
            return httpx.Response(409, request=request)
        except DeadlineExceeded as error:
            late = httpx.ReadTimeout if error.may_have_run else httpx.ConnectTimeout
            raise late(str(error), request=request) from error
        except Failed as error:
            broken = httpx.ReadError if error.may_have_run else httpx.ConnectError
            raise broken(str(error), request=request) from error
        except InvalidRequest as error:
            raise httpx.LocalProtocolError(str(error), request=request) from error
        except Unusable as error:
            raise httpx.ConnectError(str(error), request=request) from error
        return httpx.Response(
            answer.status, headers=list(answer.headers), request=request, stream=httpx.ByteStream(answer.body)
        )

    @staticmethod
    def _body(request: httpx.Request) -> bytes | AsyncIterable[bytes]:
        """What there is already, or what is still to be made, which is the gateway's to wait for."""
        try:
            return request.content
        except httpx.RequestNotRead:
            if isinstance(request.stream, httpx.AsyncByteStream):
                return request.stream
            raise InvalidRequest("a body that an async client can read is wanted") from None


__all__ = ["GatewayTransport", "class_of"]
