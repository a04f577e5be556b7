"""Decisions under load, without I/O.

Each decision takes observations and the time, and returns a verdict. Clocks and
sources of randomness are passed in.
"""

from radishtray_overload._capacity import LearnedCapacity
from radishtray_overload._entry_order import (
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_MAX_SHARE,
    EntryOrder,
    ReturnDetector,
)
from radishtray_overload._entry_wait import EntryWait, WaitingRequest
from radishtray_overload._return_schedule import ReturnSchedule
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
    "MIN_RETRY_AFTER_S",
    "RETRY_AFTER_MAX_SHARE",
    "EntryOrder",
    "EntryWait",
    "LearnedCapacity",
    "ReturnDetector",
    "ReturnSchedule",
    "RouteCost",
    "RouteCosts",
    "ServiceUse",
    "SlotFill",
    "WaitingRequest",
    "add_uses",
    "run_uses",
]
