"""Imports modules without loading OpenSSL, which takes 4 to 5 MB that a process without TLS never uses.

The standard library works without `ssl` and `_hashlib`, as in a Python that was built without OpenSSL.  uvloop reads
names of `ssl` when it is imported, so a placeholder stands in their place meanwhile.
"""

from __future__ import annotations

import sys
import types
from collections.abc import Iterator
from contextlib import contextmanager


class _Unavailable(OSError):
    """Stands for every class of `ssl`; nothing raises it."""


def _placeholder_name(name: str) -> object:
    if name.startswith("__"):
        raise AttributeError(name)
    return 0 if name.isupper() else _Unavailable


@contextmanager
def without_openssl() -> Iterator[None]:
    """Import without `ssl` and `_hashlib` in the block, unless they are loaded already."""
    placeholder = types.ModuleType("ssl")
    placeholder.__getattr__ = _placeholder_name  # type: ignore[method-assign]
    replaced: dict[str, types.ModuleType | None] = {"ssl": placeholder, "_hashlib": None}
    added = [name for name in replaced if name not in sys.modules]
    for name in added:
        sys.modules[name] = replaced[name]  # type: ignore[assignment]
    try:
        yield
    finally:
        for name in added:
            del sys.modules[name]
