"""Pure state machines of the overload control layer.

No module of this package does I/O. Clocks, randomness and sends are passed in.
"""

from radishtray_state._attempts import (
    AttemptBounds,
    AttemptPhase,
    AttemptState,
    AttemptTable,
    ConnectionRejection,
    ConnectionToken,
)
from radishtray_state._clock import Clock, ManualClock, SystemClock
from radishtray_state._crash_suspects import (
    CrashSuspect,
    CrashSuspects,
    SuspectVerdict,
    fingerprint,
    suspect_hosts,
)
from radishtray_state._outstanding_attempts import (
    AttemptVerdict,
    OutstandingAttempts,
    Reopened,
    SettledAttempt,
)
from radishtray_state._refusal import OutcomeFamily, RefusalReason
from radishtray_state._retry_budget import AttemptGrant, RetryLedger
from radishtray_state._retry_policy import (
    RETRY_RULES,
    RetryAdvice,
    RetryDenial,
    RetryPolicy,
    RetryThrottle,
    RetryVerdict,
    retry_rule,
)

__all__ = [
    "RETRY_RULES",
    "AttemptBounds",
    "AttemptGrant",
    "AttemptPhase",
    "AttemptState",
    "AttemptTable",
    "AttemptVerdict",
    "Clock",
    "ConnectionRejection",
    "ConnectionToken",
    "CrashSuspect",
    "CrashSuspects",
    "ManualClock",
    "OutcomeFamily",
    "OutstandingAttempts",
    "RefusalReason",
    "Reopened",
    "RetryAdvice",
    "RetryDenial",
    "RetryLedger",
    "RetryPolicy",
    "RetryThrottle",
    "RetryVerdict",
    "SettledAttempt",
    "SuspectVerdict",
    "SystemClock",
    "fingerprint",
    "retry_rule",
    "suspect_hosts",
]
