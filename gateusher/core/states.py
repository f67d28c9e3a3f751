"""The states of a request, of an attempt and of a connection, and what is outstanding in each.

Each state machine is owned by one object, and only that object applies events to it.

A *request* is owned by its front end while the front end reads, validates and builds it (**preparing**).  From
`Engine.submit` on it is **open**: a final response is outstanding, due by its deadline, and the bytes of its body and
its id are reserved.  Two events end this state.  Either the engine concludes the request, which delivers the final
response to the front end (**answered**), or its client disconnects, and no response is due any more
(**disconnected**).  The table has no transition between these two states and none back, so neither can happen twice.
After either, attempts may still be in flight.  No further attempt is started, and a response to one of them is
reported to the policy but not delivered.  The request's id stays reserved meanwhile, since an endpoint could not tell
another request with this id from a retry.  When the last attempt has ended, the request is **released**: its bytes
and id are freed, once, and the engine removes it.

An *attempt* is created by the engine for one endpoint and assigned to one connection, or to none if none is
available.  What matters is whether its last byte was written.  Until then the endpoint can't have begun to execute
the request: if the attempt ends, it never ran, and the request may go to another endpoint or be rejected, regardless
of its class.  From **sent** on it may run, even if the connection fails.  Only the endpoint's own statement that it
rejected the request proves otherwise, and the table has no other transition for this.  An attempt ends once, and its
outcome is then reported to the engine.

A *connection* carries one attempt at a time.  While it is **idle** no response is outstanding: a byte that arrives
then proves that the two sides disagree on which bytes belong to which request, so the connection is closed without
parsing it.  With an attempt it goes from **awaiting response** through **reading head** and **reading body** to
**complete**, and back to awaiting response after each 1xx.  If more data followed (**complete with extra data**), the
response is used only if that is the same response again, and the connection is never reused.  Data that can't be a
response, or that shows that a response can't be trusted, makes the connection **invalid**.  Its attempt ends as one
that may have run if its last byte was written, and as not executed otherwise.  **Closed** is final; the attempt has
ended by then, or ends in the same iteration of the event loop.

A connection whose response is too long to be buffered is **streaming**: its attempt has ended, the client has
received the beginning, and the request can't be retried.  The remainder is a `ResponseBodyStream`, which ends
complete, or truncated in a way that the client can detect.

The transition tables of attempts and connections are in `upstream/states.py`, the layer that owns both.
"""

from __future__ import annotations

from typing import Final

from ..base.machine import IllegalTransitionError, TransitionTable
from ..upstream.states import ATTEMPT, CONNECTION

PREPARING: Final = "preparing"  # owned by the front end
OPEN: Final = "open"  # owned by the engine: a final response is outstanding
ANSWERED: Final = "answered"  # the front end has the final response; attempts may be in flight
DISCONNECTED: Final = "disconnected"  # the client disconnected first; attempts may be in flight
RELEASED: Final = "released"  # nothing is in flight, nothing is reserved

SUBMIT: Final = "submit"  # by the engine, for a front end
CONCLUDE: Final = "conclude"  # by the engine: a response arrived, the policy gave up, or the deadline passed
DISCONNECT: Final = "disconnect"  # by the front end
RELEASE: Final = "release"  # by the engine: the last attempt has ended, or none was made

REQUEST = TransitionTable(
    "request",
    {
        PREPARING: {SUBMIT: OPEN},
        OPEN: {CONCLUDE: ANSWERED, DISCONNECT: DISCONNECTED},
        ANSWERED: {RELEASE: RELEASED},
        DISCONNECTED: {RELEASE: RELEASED},
        RELEASED: {},
    },
)

__all__ = ["ATTEMPT", "CONNECTION", "REQUEST", "IllegalTransitionError"]
