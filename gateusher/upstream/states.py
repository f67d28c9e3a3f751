"""The states of an attempt and of a connection, as transition tables.

`core/states.py` describes both state machines and that of the request.  The texts of states and events appear in the
log line of an illegal transition.
"""

from __future__ import annotations

from typing import Final

from ..base.machine import TransitionTable

# States of an attempt: how much of its request has been written.

CREATED: Final = "created"  # by the core; no connection has it yet
UNSENT: Final = "unsent"  # assigned to a connection, but the kernel has no byte of it
PARTIALLY_SENT: Final = "partially sent"  # the last byte is still in this process
SENT: Final = "sent"  # the kernel has the last byte: the endpoint may execute the request from here on
ENDED: Final = "ended"  # its outcome was reported

# Events of an attempt.

ASSIGN: Final = "assign to a connection"
WRITE_PART: Final = "write a part"  # the kernel accepted only a part
WRITE_ALL: Final = "write all"  # the kernel accepted everything, or the remainder
END_NOT_EXECUTED: Final = "end, not executed"  # with an outcome that proves this: the last byte was not written
END_REJECTED: Final = "end, rejected"  # the endpoint responded that it has not begun to execute it
END_MAY_HAVE_RUN: Final = "end, may have run"  # with any other outcome

ATTEMPT = TransitionTable(
    "attempt",
    {
        CREATED: {ASSIGN: UNSENT, END_NOT_EXECUTED: ENDED},
        UNSENT: {WRITE_PART: PARTIALLY_SENT, WRITE_ALL: SENT, END_NOT_EXECUTED: ENDED},
        PARTIALLY_SENT: {WRITE_ALL: SENT, END_NOT_EXECUTED: ENDED, END_REJECTED: ENDED},
        SENT: {END_MAY_HAVE_RUN: ENDED, END_REJECTED: ENDED},
        ENDED: {},
    },
)

# States of a connection: whether a response is outstanding, and how much of it has arrived.

CONNECTING: Final = "connecting"  # being dialed for its first attempt
IDLE: Final = "idle"  # open, without an attempt: any byte that arrives now belongs to no request
AWAITING_RESPONSE: Final = "awaiting response"  # it has an attempt, and no byte of a final response has arrived
READING_HEAD: Final = "reading head"
READING_BODY: Final = "reading body"  # the head of a final response is complete
STREAMING: Final = "streaming"  # the response was delivered with an incomplete body; the remainder follows
COMPLETE: Final = "complete"  # the response is complete, and nothing followed it
COMPLETE_WITH_EXTRA: Final = "complete with extra data"  # more data followed, perhaps the same response again
INVALID: Final = "invalid"  # the data is not a response to this request, or not that alone
CLOSED: Final = "closed"  # its descriptor is free once the event loop has called `connection_lost`

# Events of a connection.

CONNECTED: Final = "connected"
SEND_REQUEST: Final = "send request"
MESSAGE_BEGIN: Final = "message begins"
INTERIM_END: Final = "interim response ends"  # a 1xx; the final response follows (RFC 9110, 15.2)
HEAD_END: Final = "head ends"  # of a final response
START_STREAMING: Final = "start streaming"  # the attempt ends, the body continues
BODY_END: Final = "body ends"  # by its framing, or by the end of the stream where that delimits it
EXTRA_DATA: Final = "extra data"  # after a complete response
INVALIDATE: Final = "invalidate"  # the response can't be parsed, delivered or trusted
KEEP_ALIVE: Final = "keep alive"  # the connection returns to the pool
CLOSE: Final = "close"

CONNECTION = TransitionTable(
    "connection",
    {
        CONNECTING: {CONNECTED: AWAITING_RESPONSE, CLOSE: CLOSED},
        IDLE: {SEND_REQUEST: AWAITING_RESPONSE, CLOSE: CLOSED},
        AWAITING_RESPONSE: {MESSAGE_BEGIN: READING_HEAD, CLOSE: CLOSED},
        READING_HEAD: {
            HEAD_END: READING_BODY,
            INTERIM_END: AWAITING_RESPONSE,
            INVALIDATE: INVALID,
            CLOSE: CLOSED,
        },
        READING_BODY: {BODY_END: COMPLETE, START_STREAMING: STREAMING, INVALIDATE: INVALID, CLOSE: CLOSED},
        STREAMING: {BODY_END: COMPLETE, INVALIDATE: INVALID, CLOSE: CLOSED},
        COMPLETE: {KEEP_ALIVE: IDLE, EXTRA_DATA: COMPLETE_WITH_EXTRA, CLOSE: CLOSED},
        COMPLETE_WITH_EXTRA: {INVALIDATE: INVALID, CLOSE: CLOSED},
        INVALID: {CLOSE: CLOSED},
        CLOSED: {},
    },
)
