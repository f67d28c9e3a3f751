"""Leases of singleton tasks: the voter and the candidate, two pure state machines that elect each task's holder.

They use no clock, socket or disk.  `duties` drives both and performs their actions.
"""
