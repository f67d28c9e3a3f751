"""The digest of a request's id, which is the same in every process."""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

DIGEST_BYTES: Final = 8


def digest(request_id: bytes) -> bytes:
    """Return the digest, DIGEST_BYTES long."""
    return blake2b(request_id, digest_size=DIGEST_BYTES).digest()
