"""The states of a request, of an attempt and of a connection, and what is outstanding in each.

Each machine is owned by one object, which alone moves it.

A *request* belongs to its front end while that reads, validates and builds it (**preparing**).  From `Engine.submit`
on it is **open**: a final response is outstanding, due by its deadline, and the bytes of its body and its id are
reserved.  Two events end that.  The engine concludes it, which delivers the one final response to the front end
(**answered**); or its client disconnects, and nothing is due any more (**disconnected**).  The table has no
transition from one to the other and none back, so neither can happen twice.  After either, attempts may still be in
flight.  No further attempt follows them, and a response that one of them brings is reported to the policy and
delivered to nobody.  The request's id stays reserved meanwhile, since an endpoint could not tell another request with
this id from a retry.  When the last attempt has ended, the request is **released**: bytes and id are returned, once,
and the engine forgets it.

An *attempt* is created by the engine for one endpoint and assigned to one connection, or to none where none can be
had.  What matters about it is whether its last byte was written.  Until then the endpoint can't have begun to execute
the request: any end proves that it never ran, and the request may go to another endpoint or be rejected, whatever its
class.  From **sent** on it may run, whatever becomes of the connection.  Only the endpoint's own statement that it
rejected the request proves otherwise, and the table has no other transition that says so.  An attempt ends once,
which reports its outcome to the engine.

A *connection* carries one attempt at a time.  While it is **idle** no response is outstanding: a byte that arrives
then proves that both sides disagree on which bytes belong to which request, so the connection closes without parsing
it.  With an attempt it goes from **awaiting response** through **reading head** and **reading body** to **complete**,
and back to awaiting response after each 1xx.  A complete response counts even where more came after it in the same
read (**complete with extra data**), but such a connection is never reused: what came could pass for the response to
the next request.  What can't be a response makes the connection **invalid**.  Its attempt ends as one that may have
run if its last byte was written, and as not executed otherwise.  **Closed** is final; its attempt has ended by then,
or ends in the same turn of the event loop.

A response too long to be buffered is **streaming**: its attempt has ended, the client has received its beginning, and
the request can't be retried.  The remainder is a `ResponseBodyStream`, which ends complete, or cut so that the client
can detect it.

The tables of attempt and connection are in `upstream/states.py`, the layer that moves them.
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
CONCLUDE: Final = "conclude"  # by the engine: a response came, the policy gave up, or the deadline passed
DISCONNECT: Final = "disconnect"  # by the front end
RELEASE: Final = "release"  # by the engine: the last attempt has ended, or there was none

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
