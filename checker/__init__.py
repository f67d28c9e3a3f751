"""Every order of events in small configurations, played through the real core, connections, parser and policy.

A development package: the program never imports it.  See docs/design/checker.md.
"""
