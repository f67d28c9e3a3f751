"""Leases of singleton tasks: the voter and the candidate, two pure machines that decide which process may do a task.

No clock, no socket, no disk.  `duties` drives both machines and does the work.
"""
