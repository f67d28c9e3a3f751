"""Which extra holds a module that a command needs and the plain package doesn't bring."""

from __future__ import annotations

import re
from importlib import metadata

EXTRA = re.compile(r"""extra\s*==\s*['"]([^'"]+)['"]""")
# Where a package's import name is not its own; of what the extras hold today.
NAMES = {"google_crc32c": "google-crc32c", "hdrh": "hdrhistogram", "mpl_toolkits": "matplotlib"}
USUAL = {
    "hdrhistogram": "load",
    "ijson": "load",
    "jinja2": "load",
    "matplotlib": "load",
    "zstandard": "load",
    "httpx": "httpx",
    "google-crc32c": "leases",
}


def extra_of(module: str) -> str | None:
    """The extra to install for a module; None for one that none of them holds.

    The package's own metadata say it; a checkout that was never installed has none, and the table above does.
    """
    package = NAMES.get(module.partition(".")[0], module.partition(".")[0]).lower().replace("_", "-")
    try:
        wanted = metadata.requires("gateusher") or []
    except metadata.PackageNotFoundError:
        return USUAL.get(package)
    for line in wanted:
        named = re.match(r"[A-Za-z0-9._-]+", line)
        extra = EXTRA.search(line)
        if named and extra and extra[1] != "dev" and named[0].lower().replace("_", "-") == package:
            return extra[1]
    return USUAL.get(package)
