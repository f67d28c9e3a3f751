"""Stand-ins for outside systems, written from their public specifications only.

Nodes that count every effect, a discovery server, a store that checks fencing tokens, and a client of the daemon.
`gateusher try` and tests use them, including users' own tests.  No layer below the command line imports them.
"""
