"""Decides which targets may get a replay: one that proves to be a stand-in, or one that an allow list names."""

from __future__ import annotations

from pathlib import Path

from ..config.addresses import address
from ..rehearsal.challenge import NoStandInError, challenge

__all__ = ["NoStandInError", "allowed", "challenge"]


def allowed(path: Path, target: tuple[str, int]) -> bool:
    """Return whether an allow list names the target: a text file of `ip:port` lines, `#` begins a comment.

    Raises NoStandInError for a list that can't be read completely.
    """
    try:
        lines = [line.partition("#")[0].strip() for line in path.read_text().splitlines()]
        return target in [address(line) for line in lines if line]
    except (OSError, UnicodeDecodeError) as error:
        raise NoStandInError(f"{path}: can't be read: {error}") from None
    except ValueError as error:
        raise NoStandInError(f"{path}: {error}") from None
