"""Pure state machines of the overload control layer.

No module of this package does I/O. Clocks, randomness and sends are passed in.
"""

from radishtray_state._clock import Clock, ManualClock, SystemClock
from radishtray_state._key_owner import (
    KeyBounds,
    KeyDecision,
    KeyOwner,
    KeyRecord,
    KeyRecords,
    KeyVerdict,
)
from radishtray_state._key_routing import (
    KeyForward,
    KeyRefresh,
    KeyRefusal,
    KeyRoute,
    KeyRouter,
)
from radishtray_state._key_slots import (
    HORIZON_MS,
    REPLACEMENT_MARGIN_MS,
    SlotInterval,
    SlotOwner,
    SlotTable,
    boundaries,
    claim_free,
    extend_horizon,
    hand_over,
    prune,
    rebalance,
    replace_dead,
)
from radishtray_state._refusal import OutcomeFamily, RefusalReason
from radishtray_state._request_key import (
    SLOT_COUNT,
    KeyFault,
    KeyParseError,
    RequestKey,
)

__all__ = [
    "HORIZON_MS",
    "REPLACEMENT_MARGIN_MS",
    "SLOT_COUNT",
    "Clock",
    "KeyBounds",
    "KeyDecision",
    "KeyFault",
    "KeyForward",
    "KeyOwner",
    "KeyParseError",
    "KeyRecord",
    "KeyRecords",
    "KeyRefresh",
    "KeyRefusal",
    "KeyRoute",
    "KeyRouter",
    "KeyVerdict",
    "ManualClock",
    "OutcomeFamily",
    "RefusalReason",
    "RequestKey",
    "SlotInterval",
    "SlotOwner",
    "SlotTable",
    "SystemClock",
    "boundaries",
    "claim_free",
    "extend_horizon",
    "hand_over",
    "prune",
    "rebalance",
    "replace_dead",
]
