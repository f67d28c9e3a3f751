"""The decisions of a load balancer that every client process has a copy of; no I/O here."""

from .brain import Balancer

__all__ = ["Balancer"]
