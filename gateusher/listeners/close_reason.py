"""Why the listener closes a client's connection: the reasons that its diagnostics count."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a connection was closed; the values appear under "client closed" in the diagnostics."""

    LAST_RESPONSE = "last response written"
    IDLE = "keep-alive timeout"
    UNUSED = "no request was ever sent"
    RESPONSE_NOT_READ = "response not read"
    LINGERED = "input continues behind the last response"
    CLIENT_DISCONNECTED = "client disconnected"
    TOO_MANY_IDLE = "too many idle connections"
    RECLAIMED = "its descriptor is needed"
    LAMEDUCK = "lameduck or handover"
    SHUTDOWN = "process ends"
    RESPONSE_INTERRUPTED = "streamed response interrupted"
    ERROR = "its input could not be handled"
    NO_MEMORY = "no memory for it"
    NOT_ATTACHED = "event loop could not attach it"


# With these no response can reach the client any more, so none is outstanding.
UNREACHABLE_CLIENT = frozenset(
    {CloseReason.CLIENT_DISCONNECTED, CloseReason.RESPONSE_NOT_READ, CloseReason.RESPONSE_INTERRUPTED}
)
