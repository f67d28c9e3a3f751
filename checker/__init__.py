"""The explorer: exhaustive and random orders of events, run through the real core, connections, parser and policy.

A development package: the program never imports it.  See docs/design/checker.md.
"""
