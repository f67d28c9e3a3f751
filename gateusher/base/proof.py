"""How a stand-in endpoint proves that it is one: the answer to a challenge that no production endpoint gives."""

from __future__ import annotations

from hashlib import blake2b

PATH = "/_standin"
MIN_NONCE = 8  # characters
MAX_NONCE = 64


def proof(nonce: str) -> str:
    """The answer of a stand-in to this nonce, in hexadecimal."""
    return blake2b(nonce.encode(), digest_size=16, person=b"gateusher-stand").hexdigest()


def answer_to(query: str) -> str | None:
    """The answer to a challenge's query string; None if it holds no valid nonce."""
    for part in query.split("&"):
        name, _, value = part.partition("=")
        if name == "nonce" and MIN_NONCE <= len(value) <= MAX_NONCE and value.isascii() and value.isalnum():
            return proof(value)
    return None
