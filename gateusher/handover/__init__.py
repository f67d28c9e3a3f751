"""Zero-downtime restart: a process transfers its listening socket to its successor.

`machine` decides what predecessor and successor may hold, `messages` and `channel` carry it, `transfer` performs it.
Nothing that names a request or an endpoint belongs here.
"""
