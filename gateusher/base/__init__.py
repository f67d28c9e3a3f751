"""The lowest layer: clocks, logging, diagnostics, resource budgets, state machines and transient system call errors.

It makes no load-balancing decisions, implements no protocol and imports no other layer.
"""
