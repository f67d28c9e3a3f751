"""A pytest plugin that applies the mutant named by `GATEUSHER_MUTANT` before the tests import the program."""

from __future__ import annotations

import os

from . import mutate

if name := os.environ.get("GATEUSHER_MUTANT"):
    mutate.plant(name)
