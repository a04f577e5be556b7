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
from radishtray_state._clock import Clock, ManualClock, SystemClock
from radishtray_state._refusal import OutcomeFamily, RefusalReason
from radishtray_state._selection import (
    SELECTION_POLICIES,
    Candidate,
    UpstreamSelector,
    selection_policy,
)

__all__ = [
    "ADMISSION_POLICIES",
    "SELECTION_POLICIES",
    "AdmissionController",
    "AdmissionPolicy",
    "Candidate",
    "Clock",
    "ManualClock",
    "OutcomeFamily",
    "RefusalReason",
    "SystemClock",
    "Ticket",
    "UpstreamSelector",
    "admission_policy",
    "selection_policy",
]
