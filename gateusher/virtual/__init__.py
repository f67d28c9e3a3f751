"""An event loop, a clock and a datagram network in virtual time, for tests and simulations.

The package does not depend on the protocols that run over it, and the daemon never imports it.
"""
