"""gateusher: a client-side load balancer that tolerates faults and never executes a non-idempotent request twice.

It runs beside each client as a daemon (`python -m gateusher`) or inside it as a library.  The names in `__all__` are
the library's public interface; everything else may change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .client import Answer as Answer
    from .client import Budget as Budget
    from .client import Conflict as Conflict
    from .client import DeadlineExceeded as DeadlineExceeded
    from .client import Failed as Failed
    from .client import Gateway as Gateway
    from .client import GatewayError as GatewayError
    from .client import InvalidRequest as InvalidRequest
    from .client import Refused as Refused
    from .client import Settled as Settled
    from .client import Unusable as Unusable
    from .config.model import Config as Config
    from .config.model import ConfigError as ConfigError
    from .duties.remote import DutyLost as DutyLost

__version__ = "0.2.0"
__all__ = [
    "Answer",
    "Budget",
    "Config",
    "ConfigError",
    "Conflict",
    "DeadlineExceeded",
    "DutyLost",
    "Failed",
    "Gateway",
    "GatewayError",
    "InvalidRequest",
    "Refused",
    "Settled",
    "Unusable",
]


def __getattr__(name: str) -> object:
    """Import a public name on first use, so that the daemon starts without loading the library."""
    if name in ("Config", "ConfigError"):
        from .config import model  # noqa: PLC0415

        return getattr(model, name)
    if name == "DutyLost":
        from .duties.remote import DutyLost  # noqa: PLC0415

        return DutyLost
    if name in __all__:
        from . import client  # noqa: PLC0415

        return getattr(client, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
