"""Soak test of the daemon: many real processes on loopback, overlapping faults, and invariants checked over the run.

The package holds the fault library for system calls, the clients, endpoints and discovery services of the soak, its
fault schedule and its invariants.  Membership and leases are outside it: the rig's own scenarios cover them.
"""
