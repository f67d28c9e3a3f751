"""spokespoke: the decisions of a load balancer that every client process has a copy of."""

from .brain import Balancer

__all__ = ["Balancer"]
