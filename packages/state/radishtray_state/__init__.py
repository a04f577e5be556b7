"""Pure state machines of the overload control layer.

No module of this package does I/O. Clocks, randomness and sends are passed in.
"""

from radishtray_state._admission import AdmissionController
from radishtray_state._admission_policy import (
    ADMISSION_POLICIES,
    AdmissionPolicy,
    admission_policy,
)
from radishtray_state._arrival_budget import ArrivalBudget
from radishtray_state._attempt_records import (
    AttemptBounds,
    AttemptPhase,
    AttemptState,
    ConnectionRejection,
    ConnectionToken,
)
from radishtray_state._attempts import AttemptTable
from radishtray_state._call_chain import CallChains, ChainParent
from radishtray_state._clock import (
    Clock,
    ManualClock,
    SystemClock,
)
from radishtray_state._crash_suspects import (
    CrashSuspect,
    CrashSuspects,
    SuspectVerdict,
    fingerprint,
    suspect_host,
    suspect_hosts,
)
from radishtray_state._crash_tally import CrashTally
from radishtray_state._gossip import (
    CrashSuspectEntry,
    Datagram,
    GossipKind,
    GossipMessage,
    ViewSummary,
)
from radishtray_state._key_owner import KeyOwner
from radishtray_state._key_records import (
    KeyBounds,
    KeyDecision,
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
from radishtray_state._lease import (
    LeaseAction,
    LeaseDecision,
    LeaseObserver,
    LeaseRecord,
)
from radishtray_state._member import (
    MemberChange,
    MemberRecord,
    MemberState,
)
from radishtray_state._membership import Membership
from radishtray_state._membership_parameters import MembershipParameters
from radishtray_state._outstanding_attempts import (
    SALT_BITS,
    AttemptVerdict,
    OutstandingAttempts,
    Reopened,
    SettledAttempt,
    attempt_id,
)
from radishtray_state._rank_queue import Ticket
from radishtray_state._refusal import OutcomeFamily, RefusalReason
from radishtray_state._release import (
    ReleasePullPlan,
    ReleaseTracker,
)
from radishtray_state._request_key import (
    SLOT_COUNT,
    KeyFault,
    KeyParseError,
    RequestKey,
)
from radishtray_state._retry_budget import AttemptGrant, RetryLedger
from radishtray_state._retry_policy import (
    RETRY_RULES,
    PerHopRetryPolicy,
    RetryAdvice,
    RetryDenial,
    RetryPolicy,
    RetryThrottle,
    RetryVerdict,
    retry_rule,
)
from radishtray_state._selection import (
    SELECTION_POLICIES,
    Candidate,
    UpstreamSelector,
    selection_policy,
)
from radishtray_state._split_rotation import SplitRotation
from radishtray_state._upstream_reports import (
    ReportVerdict,
    UpstreamReport,
    UpstreamReports,
)

__all__ = [
    "ADMISSION_POLICIES",
    "HORIZON_MS",
    "REPLACEMENT_MARGIN_MS",
    "RETRY_RULES",
    "SALT_BITS",
    "SELECTION_POLICIES",
    "SLOT_COUNT",
    "AdmissionController",
    "AdmissionPolicy",
    "ArrivalBudget",
    "AttemptBounds",
    "AttemptGrant",
    "AttemptPhase",
    "AttemptState",
    "AttemptTable",
    "AttemptVerdict",
    "CallChains",
    "Candidate",
    "ChainParent",
    "Clock",
    "ConnectionRejection",
    "ConnectionToken",
    "CrashSuspect",
    "CrashSuspectEntry",
    "CrashSuspects",
    "CrashTally",
    "Datagram",
    "GossipKind",
    "GossipMessage",
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
    "OutstandingAttempts",
    "PerHopRetryPolicy",
    "RefusalReason",
    "ReleasePullPlan",
    "ReleaseTracker",
    "Reopened",
    "ReportVerdict",
    "RequestKey",
    "RetryAdvice",
    "RetryDenial",
    "RetryLedger",
    "RetryPolicy",
    "RetryThrottle",
    "RetryVerdict",
    "SettledAttempt",
    "SlotInterval",
    "SlotOwner",
    "SlotTable",
    "SplitRotation",
    "SuspectVerdict",
    "SystemClock",
    "Ticket",
    "UpstreamReport",
    "UpstreamReports",
    "UpstreamSelector",
    "ViewSummary",
    "admission_policy",
    "attempt_id",
    "boundaries",
    "claim_free",
    "extend_horizon",
    "fingerprint",
    "hand_over",
    "prune",
    "rebalance",
    "replace_dead",
    "retry_rule",
    "selection_policy",
    "suspect_host",
    "suspect_hosts",
]
