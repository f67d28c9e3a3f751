"""Cluster membership: which other sidecars are up, by SWIM, and messages between them.

`machine` is the pure state machine, `udp` its socket, `peer_hints` its use for hints of draining endpoints.  Nothing
here chooses an endpoint for a request or reads an endpoint list by itself.
"""
