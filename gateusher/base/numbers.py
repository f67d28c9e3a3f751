"""Checks of numbers that were parsed from JSON or TOML."""

from __future__ import annotations

import sys
from typing import TypeGuard


def is_finite_number(value: object) -> TypeGuard[int | float]:
    """Return whether `value` is a number that a float can hold: no bool, NaN, infinity, or integer beyond its range.

    `math.isfinite` raises OverflowError for such an integer, as does every division or conversion of it.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return abs(value) <= sys.float_info.max  # False for NaN
