"""Cluster membership: detects with SWIM which other sidecars are up, and carries messages between them.

`machine` is the pure state machine and `udp` runs it on a socket; `peer_hints` gossips hints of draining endpoints.
Nothing here chooses an endpoint for a request or reads an endpoint list by itself.
"""
