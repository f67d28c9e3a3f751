"""Scenarios that are written once and run against the daemon, the library, the ASGI middleware and httpx.

`python -m tests.conformance` prints the result of each scenario on each interface.
"""
