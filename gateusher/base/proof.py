"""How a stand-in tells that it is one: the answer to a challenge that no real node gives."""

from __future__ import annotations

from hashlib import blake2b

PATH = "/_standin"
MOST_NONCE = 64


def proof(nonce: str) -> str:
    """What a stand-in answers to this nonce."""
    return blake2b(nonce.encode(), digest_size=16, person=b"gateusher-stand").hexdigest()


def answer_to(query: str) -> str | None:
    """The answer to the query of a challenge, None where it holds no nonce."""
    for part in query.split("&"):
        name, _, value = part.partition("=")
        if name == "nonce" and 8 <= len(value) <= MOST_NONCE and value.isascii() and value.isalnum():
            return proof(value)
    return None
