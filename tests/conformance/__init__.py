"""Each scenario is written once and run against the daemon, the library, the ASGI middleware and httpx.

`python -m tests.conformance` prints what came out of each on each face.
"""
