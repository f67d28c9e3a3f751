"""Runs the lease machines on the event loop and does the holders' work: claims, loads, and the reports on both.

Each act carries its fence, and follows a check of the clock just before it.  Which process may hold a task is decided
in `leases`.
"""
