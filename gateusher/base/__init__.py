"""The lowest layer: clocks, the log, resource budgets, transition tables and errors of system calls.

Nothing here decides anything or names a request, an endpoint or a protocol.
"""
