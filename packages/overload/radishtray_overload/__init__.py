"""Decisions under load, without I/O.

Each decision takes observations and the time, and returns a verdict. Clocks and
sources of randomness are passed in.
"""

from radishtray_overload._route_costs import (
    MAX_SERVICES,
    RouteCost,
    RouteCosts,
    ServiceUse,
    SlotFill,
    add_uses,
    run_uses,
)

__all__ = [
    "MAX_SERVICES",
    "RouteCost",
    "RouteCosts",
    "ServiceUse",
    "SlotFill",
    "add_uses",
    "run_uses",
]
