"""The life of an attempt and of a connection, as tables.  `core/states.py` tells the whole story."""

from __future__ import annotations

from typing import Final

from ..base.machine import TransitionTable

# -- an attempt: how far its request has got

MADE: Final = "made"  # the core has made it; no connection knows it
UNSENT: Final = "unsent"  # a connection has it, and nothing of it was handed to the kernel
PARTLY: Final = "partly sent"  # some of it is still here: the endpoint can't have the last byte
SENT: Final = "sent"  # the last byte is in the kernel's hands: it may run from here on
ENDED: Final = "ended"  # its one outcome was told

HAND: Final = "hand over"  # by the connections, to one of theirs
PART: Final = "write a part"  # by the connection: the kernel took less than all
ALL: Final = "write all"  # by the connection: all of it, or the rest of it
VOID: Final = "end, never run"  # by the connection, with an outcome that proves it: not all of it was written
TURN: Final = "end, turned away"  # by the connection, when its endpoint says that it has not begun it
DONE: Final = "end, may have run"  # by the connection, with any other

ATTEMPT = TransitionTable(
    "attempt",
    {
        MADE: {HAND: UNSENT, VOID: ENDED},
        UNSENT: {PART: PARTLY, ALL: SENT, VOID: ENDED},
        PARTLY: {ALL: SENT, VOID: ENDED, TURN: ENDED},
        SENT: {DONE: ENDED, TURN: ENDED},  # nothing on our side proves any more that it never ran
        ENDED: {},
    },
)

# -- a connection: what its endpoint owes, and how much of it has come

DIALLING: Final = "dialling"  # not up; its first attempt waits for it
QUIET: Final = "quiet"  # up and kept, nothing is owed: whatever comes now was not asked for
WAITING: Final = "waiting"  # an attempt is on it, and no byte of a final answer has come
BEGUN: Final = "begun"  # a head has begun
HEADED: Final = "headed"  # a final head is whole, the body is coming
PASSING: Final = "passing"  # too long to be held: it was handed on as far as it came, and the rest follows
WHOLE: Final = "whole"  # the answer is whole, and nothing came behind it
EXTRA: Final = "extra"  # the answer is whole, and more came behind it: it serves, and the connection ends
SPOILT: Final = "spoilt"  # what came is no answer to this request, nor the beginning of one
CLOSED: Final = "closed"  # given up or lost; its descriptor is free when the loop says so

UP: Final = "come up"  # by the loop
CARRY: Final = "carry"  # by the connections: the next attempt
BEGIN: Final = "begin"  # by the parser: a message begins
INTERIM: Final = "pass interim"  # by the parser: a 1xx is over, the real answer follows (RFC 9110, 15.2)
HEAD: Final = "end head"  # by the parser: a final head is whole
PASS: Final = "pass on"  # by the connection: the attempt ends here, the body doesn't
END: Final = "end body"  # by the parser, or by the end of the stream where that delimits
MORE: Final = "get more"  # by the parser: a message begins, or noise comes, behind a whole answer
SPOIL: Final = "spoil"  # by the connection: it can't be read, or served
KEEP: Final = "keep"  # by the connections: free for the next attempt
CLOSE: Final = "close"  # by anybody

CONNECTION = TransitionTable(
    "connection",
    {
        DIALLING: {UP: WAITING, CLOSE: CLOSED},
        QUIET: {CARRY: WAITING, CLOSE: CLOSED},
        WAITING: {BEGIN: BEGUN, SPOIL: SPOILT, CLOSE: CLOSED},
        BEGUN: {HEAD: HEADED, INTERIM: WAITING, SPOIL: SPOILT, CLOSE: CLOSED},
        HEADED: {END: WHOLE, PASS: PASSING, SPOIL: SPOILT, CLOSE: CLOSED},
        PASSING: {END: WHOLE, SPOIL: SPOILT, CLOSE: CLOSED},
        WHOLE: {KEEP: QUIET, MORE: EXTRA, CLOSE: CLOSED},
        EXTRA: {CLOSE: CLOSED},
        SPOILT: {CLOSE: CLOSED},
        CLOSED: {},
    },
)
