"""Runs the lease machines on the event loop: claims of local processes, shared loads and reports.

Each write of a holder carries its fence and is preceded by a check that the lease is still valid.  The choice of the
holder is made in `leases`.
"""
