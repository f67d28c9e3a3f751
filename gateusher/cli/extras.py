"""Finds the optional dependency group (extra) that provides a module which a command could not import."""

from __future__ import annotations

import re
from importlib import metadata
from typing import Final

EXTRA_MARKER: Final = re.compile(r"""extra\s*==\s*['"]([^'"]+)['"]""")
REQUIREMENT_NAME: Final = re.compile(r"[A-Za-z0-9._-]+")
# Distribution names that differ from the name of the module.
DISTRIBUTIONS: Final = {"google_crc32c": "google-crc32c", "hdrh": "hdrhistogram", "mpl_toolkits": "matplotlib"}
# Used in a checkout that was never installed, which has no package metadata.
EXTRAS_BY_DISTRIBUTION: Final = {
    "hdrhistogram": "load",
    "ijson": "load",
    "jinja2": "load",
    "matplotlib": "load",
    "zstandard": "load",
    "httpx": "httpx",
    "google-crc32c": "leases",
}


def extra_of(module: str) -> str | None:
    """Return the extra that provides a module, or None if there is none.

    The metadata of the installed package takes precedence over EXTRAS_BY_DISTRIBUTION.
    """
    distribution = _distribution_of(module)
    try:
        requirements = metadata.requires("gateusher") or []
    except metadata.PackageNotFoundError:
        return EXTRAS_BY_DISTRIBUTION.get(distribution)
    for requirement in requirements:
        name = REQUIREMENT_NAME.match(requirement)
        extra = EXTRA_MARKER.search(requirement)
        if name and extra and extra[1] != "dev" and _normalize(name[0]) == distribution:
            return extra[1]
    return EXTRAS_BY_DISTRIBUTION.get(distribution)


def _distribution_of(module: str) -> str:
    top_level = module.partition(".")[0]
    return _normalize(DISTRIBUTIONS.get(top_level, top_level))


def _normalize(name: str) -> str:
    return name.lower().replace("_", "-")
