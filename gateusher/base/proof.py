"""Proof that an endpoint is a stand-in: its response to a challenge, which no production endpoint gives."""

from __future__ import annotations

from hashlib import blake2b

CHALLENGE_PATH = "/_standin"
MIN_NONCE_CHARS = 8
MAX_NONCE_CHARS = 64


def proof(nonce: str) -> str:
    """Return the response of a stand-in to this nonce, in hexadecimal."""
    return blake2b(nonce.encode(), digest_size=16, person=b"gateusher-stand").hexdigest()


def answer_challenge(query: str) -> str | None:
    """Return the response to a challenge's query string, or None if it contains no valid nonce."""
    for part in query.split("&"):
        name, _, value = part.partition("=")
        if (
            name == "nonce"
            and MIN_NONCE_CHARS <= len(value) <= MAX_NONCE_CHARS
            and value.isascii()
            and value.isalnum()
        ):
            return proof(value)
    return None
