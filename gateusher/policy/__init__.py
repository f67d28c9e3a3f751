"""The decisions of a load balancer that every client process has a copy of; no I/O here.

`balancer.py` wires the parts, one module each, in the order of a request's life; `interface.py` holds the types of
events, actions and settings.
"""

from .balancer import Balancer

__all__ = ["Balancer"]
