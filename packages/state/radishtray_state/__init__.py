"""State machines of the overload control layer, without I/O.

Clocks, sources of randomness and functions that send are passed in.
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
from radishtray_state._call_chain import (
    FIRST_LEVELS,
    CallChains,
    ParentRequest,
)
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
from radishtray_state._ended_processes import EndedProcesses, digest_63_bits
from radishtray_state._failure_estimator import FailureEstimator
from radishtray_state._gossip import (
    MAX_CRASH_IDS,
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
    claim_free_slots,
    extend_horizon,
    hand_over,
    prune,
    rebalance,
    replace_dead_owner,
    transfer_boundaries,
)
from radishtray_state._lease import (
    LeaseAction,
    LeaseDecision,
    LeaseObserver,
    LeaseRecord,
)
from radishtray_state._limit_learner import LimitLearner, ObservedRun
from radishtray_state._member import (
    MemberChange,
    MemberRecord,
    MemberState,
)
from radishtray_state._membership import Membership
from radishtray_state._membership_parameters import MembershipParameters
from radishtray_state._outstanding_attempts import (
    AttemptSequence,
    AttemptVerdict,
    OpenResult,
    OutstandingAttempts,
    SettledAttempt,
)
from radishtray_state._rank_queue import LEVELS_PER_CLASS, Ticket
from radishtray_state._refusal import OutcomeFamily, RefusalReason
from radishtray_state._rejection_repeats import RejectionRepeats
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
    RetryDecision,
    RetryDenial,
    RetryPolicy,
    RetryThrottle,
    retry_rule,
)
from radishtray_state._selection import (
    SELECTION_POLICIES,
    Candidate,
    UpstreamSelector,
    selection_policy,
)
from radishtray_state._service_rejections import ServiceRejections
from radishtray_state._split_rotation import WeightedRoundRobin
from radishtray_state._stated_limit import StatedLimit
from radishtray_state._upstream_reports import (
    ReportVerdict,
    UpstreamReport,
    UpstreamReportTracker,
)

__all__ = [
    "ADMISSION_POLICIES",
    "FIRST_LEVELS",
    "HORIZON_MS",
    "LEVELS_PER_CLASS",
    "MAX_CRASH_IDS",
    "REPLACEMENT_MARGIN_MS",
    "RETRY_RULES",
    "SELECTION_POLICIES",
    "SLOT_COUNT",
    "AdmissionController",
    "AdmissionPolicy",
    "ArrivalBudget",
    "AttemptBounds",
    "AttemptGrant",
    "AttemptPhase",
    "AttemptSequence",
    "AttemptState",
    "AttemptTable",
    "AttemptVerdict",
    "CallChains",
    "Candidate",
    "Clock",
    "ConnectionRejection",
    "ConnectionToken",
    "CrashSuspect",
    "CrashSuspectEntry",
    "CrashSuspects",
    "CrashTally",
    "Datagram",
    "EndedProcesses",
    "FailureEstimator",
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
    "LimitLearner",
    "ManualClock",
    "MemberChange",
    "MemberRecord",
    "MemberState",
    "Membership",
    "MembershipParameters",
    "ObservedRun",
    "OpenResult",
    "OutcomeFamily",
    "OutstandingAttempts",
    "ParentRequest",
    "PerHopRetryPolicy",
    "RefusalReason",
    "RejectionRepeats",
    "ReleasePullPlan",
    "ReleaseTracker",
    "ReportVerdict",
    "RequestKey",
    "RetryAdvice",
    "RetryDecision",
    "RetryDenial",
    "RetryLedger",
    "RetryPolicy",
    "RetryThrottle",
    "ServiceRejections",
    "SettledAttempt",
    "SlotInterval",
    "SlotOwner",
    "SlotTable",
    "StatedLimit",
    "SuspectVerdict",
    "SystemClock",
    "Ticket",
    "UpstreamReport",
    "UpstreamReportTracker",
    "UpstreamSelector",
    "ViewSummary",
    "WeightedRoundRobin",
    "admission_policy",
    "claim_free_slots",
    "digest_63_bits",
    "extend_horizon",
    "fingerprint",
    "hand_over",
    "prune",
    "rebalance",
    "replace_dead_owner",
    "retry_rule",
    "selection_policy",
    "suspect_host",
    "suspect_hosts",
    "transfer_boundaries",
]
