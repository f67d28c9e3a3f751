"""An event loop, a clock and a datagram network in virtual time, for tests and simulations.

Nothing here depends on what is carried, and the daemon never imports it.
"""
