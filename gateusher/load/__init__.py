"""Replays HAR files and access logs as load: reads, maps and plans their requests, and sends them to stand-ins.

Missing values of a source are never guessed and its credentials are not retained.  A replay is sent only to a target
that has proven to be a stand-in or that an allow list names.
"""
