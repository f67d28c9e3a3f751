"""plumrack: the real sidecar, real sockets around the decisions of spokespoke."""
