"""A soak test of the daemon: many real processes on loopback, overlapping faults, and invariants held over all of it.

What belongs here: the fault library for system calls, the clients, endpoints and discovery of the soak, its schedule
and its judge.  What does not: membership and leases, which the rig's own days cover.
"""
