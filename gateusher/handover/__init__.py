"""Zero-downtime restart: a process transfers its listening socket to its successor.

`machine` decides the limits of predecessor and successor, `messages` and `channel` transmit them, `transfer` applies
them.  Nothing here depends on requests or endpoints.
"""
