"""Pure state machines of the overload control layer.

No module of this package does I/O. Clocks, randomness and sends are passed in.
"""

from radishtray_state._admission import (
    ADMISSION_POLICIES,
    AdmissionController,
    AdmissionPolicy,
    Ticket,
    admission_policy,
)
from radishtray_state._clock import (
    Clock,
    ManualClock,
    SystemClock,
)
from radishtray_state._key_owner import (
    KeyBounds,
    KeyDecision,
    KeyOwner,
    KeyRecord,
    KeyRecords,
    KeyVerdict,
)
from radishtray_state._key_slots import (
    SlotInterval,
    SlotOwner,
    SlotTable,
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
from radishtray_state._selection import (
    SELECTION_POLICIES,
    Candidate,
    UpstreamSelector,
    selection_policy,
)

__all__ = [
    "ADMISSION_POLICIES",
    "SELECTION_POLICIES",
    "SLOT_COUNT",
    "AdmissionController",
    "AdmissionPolicy",
    "Candidate",
    "Clock",
    "KeyBounds",
    "KeyDecision",
    "KeyFault",
    "KeyOwner",
    "KeyParseError",
    "KeyRecord",
    "KeyRecords",
    "KeyVerdict",
    "ManualClock",
    "OutcomeFamily",
    "RefusalReason",
    "RequestKey",
    "SlotInterval",
    "SlotOwner",
    "SlotTable",
    "SystemClock",
    "Ticket",
    "UpstreamSelector",
    "admission_policy",
    "claim_free",
    "extend_horizon",
    "hand_over",
    "prune",
    "rebalance",
    "replace_dead",
    "selection_policy",
]
