"""Pure state machines of the overload control layer.

No module of this package does I/O. Clocks, randomness and sends are passed in.
"""

from radishtray_state._clock import Clock, ManualClock, SystemClock
from radishtray_state._gossip import (
    Datagram,
    GossipKind,
    GossipMessage,
    SuspectNote,
    ViewSummary,
)
from radishtray_state._lease import (
    LeaseAction,
    LeaseDecision,
    LeaseObserver,
    LeaseRecord,
)
from radishtray_state._member import MemberChange, MemberRecord, MemberState
from radishtray_state._membership import Membership
from radishtray_state._membership_parameters import MembershipParameters
from radishtray_state._refusal import OutcomeFamily, RefusalReason
from radishtray_state._release import ReleasePullPlan, ReleaseTracker

__all__ = [
    "Clock",
    "Datagram",
    "GossipKind",
    "GossipMessage",
    "LeaseAction",
    "LeaseDecision",
    "LeaseObserver",
    "LeaseRecord",
    "ManualClock",
    "MemberChange",
    "MemberRecord",
    "MemberState",
    "Membership",
    "MembershipParameters",
    "OutcomeFamily",
    "RefusalReason",
    "ReleasePullPlan",
    "ReleaseTracker",
    "SuspectNote",
    "SystemClock",
    "ViewSummary",
]
