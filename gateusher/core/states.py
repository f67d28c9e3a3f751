"""The life of a request, an attempt and a connection.

Three machines, each owned by one object and moved by that object alone, and what each owes in each state.

A *request* is a face's until the core takes it. From then on it is **open**: a final answer is owed, by its
deadline at the latest, and its bytes and its id are held. Two things end that. The core *concludes* it, which
tells the face its one answer; or its client *leaves*, and nothing is owed to anybody any more. Neither can
follow the other, and neither can happen twice: the table has no such row. After either, attempts may still be
out. They are never followed by another, an answer that one of them brings is heard by the module and served to
nobody, and the id stays taken, since a second request under it could not be told from a repeat. When the last
of them has ended the request *rests*: bytes and id are given back, once, and it is forgotten.

An *attempt* is made by the core for one endpoint and handed to one connection, or to none where there is none
to be had. What matters about it is one thing: whether its last byte has left. Until then the endpoint can't
have begun it, so any end is *void*: it never ran, and the request may go elsewhere or be refused, whatever its
class. From **sent** on it may run, whatever becomes of the connection; only the endpoint's own word that it
turned it away proves otherwise, and the table has no other end that promises so. An attempt ends once, and that
tells the core its outcome.

A *connection* carries one attempt at a time. **Quiet** is the dangerous state: nothing is owed, so the first
byte that comes proves that the endpoint and we no longer agree on what belongs to what, and the connection is
closed unheard. With an attempt on it, it goes from **waiting** through **begun** and **headed** to **whole**,
and back to waiting for each 1xx. A whole answer serves even if more comes behind it in the same read
(**extra**), but such a connection is never kept: what came might pass for the next request's answer. What can't
be an answer makes it **spoilt**, and its attempt ends as one that may have run. **Closed** is final; the
attempt that it had has ended then, or ends in the same turn.

An answer too long to be held is **passing**: its attempt has ended with it, the client has its beginning, and nothing
can be taken back or sent again. What is left is a `Rest`, which ends whole, or cut so that the client can tell.

The tables of the two below stand on the floor that moves them, `upstream/states.py`.
"""

from __future__ import annotations

from typing import Final

from ..base.machine import IllegalTransitionError, TransitionTable
from ..upstream.states import ATTEMPT, CONNECTION

MAKING: Final = "making"  # the face's: being read, checked, or its body still made
OPEN: Final = "open"  # the core's: a final answer is owed
ANSWERED: Final = "answered"  # the face was told; attempts may be out
LEFT: Final = "left"  # the client went first; attempts may be out
SETTLED: Final = "settled"  # nothing is out, nothing is held

TAKE: Final = "take"  # by the core, for a face
CONCLUDE: Final = "conclude"  # by the core: an answer came, the module gave up, or the deadline did
LEAVE: Final = "leave"  # by the face: the client is gone
REST: Final = "rest"  # by the core: the last attempt has ended, or there was none

REQUEST = TransitionTable(
    "request",
    {
        MAKING: {TAKE: OPEN},
        OPEN: {CONCLUDE: ANSWERED, LEAVE: LEFT},
        ANSWERED: {REST: SETTLED},
        LEFT: {REST: SETTLED},
        SETTLED: {},
    },
)

__all__ = ["ATTEMPT", "CONNECTION", "REQUEST", "IllegalTransitionError"]
