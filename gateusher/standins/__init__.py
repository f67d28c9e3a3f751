"""Stand-ins for outside systems, written from their public specifications only.

Nodes that count every effect, discovery, a store that checks fencing tokens, and a client of the daemon; for
`gateusher try` and for tests, users' own included.  No layer below the command line imports them.
"""
