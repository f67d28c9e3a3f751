"""The load balancing policy, of which every client process runs its own copy.  It performs no I/O.

`balancer.py` connects the components, one module each; `interface.py` defines events, actions and settings.
"""

from .balancer import Balancer

__all__ = ["Balancer"]
