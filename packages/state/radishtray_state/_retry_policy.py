"""Retry policy: whether a failed attempt is retried, and after which delay.

Delays grow exponentially with full jitter. A node-wide token bucket limits the
ratio of retries to first attempts.
"""

import random
from collections.abc import Callable, Mapping
from enum import Enum
from types import MappingProxyType

from radishtray_state._refusal import RefusalReason

_TOKENS_PER_RETRY = 1000  # Whole tokens: no rounding errors accumulate.
_MAX_DOUBLINGS = 16  # Keeps the exponent of the backoff small.
_MAX_CRASHES = 2
_RETRYABLE_STATUSES = frozenset((502, 503, 504))


class RetryDenial(Enum):
    """Why a failed attempt is not retried; also the label of a counter."""

    FINAL = "final"
    """Another attempt would have the same outcome."""

    NOT_IDEMPOTENT = "not_idempotent"
    """The attempt may have run and the kind is not idempotent."""

    AT_MOST_ONCE = "at_most_once"
    """The attempt may have run and the kind must run at most once."""

    CRASHES = "crashes"
    """Two attempts of the call have ended with a crash of their upstream."""

    DEADLINE = "deadline"
    """Another attempt is not expected to end before the deadline."""

    BUDGET = "budget"
    """The retry budget has no unit left."""

    THROTTLED = "throttled"
    """The node sends too many retries in relation to first attempts."""


class RetryAdvice:
    """How to retry according to a retry rule, before limits apply."""

    __slots__ = ("_is_throttled", "_uses_backoff")

    def __init__(self, uses_backoff: bool, is_throttled: bool) -> None:
        """Creates an advice to retry.

        Args:
            uses_backoff: Whether to wait before the next attempt.
            is_throttled: Whether the node-wide throttle applies. It does not
                apply if the attempt was not run for a reason other than
                overload, since such a retry adds no work.
        """
        self._uses_backoff = uses_backoff
        self._is_throttled = is_throttled

    @property
    def uses_backoff(self) -> bool:
        """Whether to wait before the next attempt."""
        return self._uses_backoff

    @property
    def is_throttled(self) -> bool:
        """Whether the node-wide throttle applies."""
        return self._is_throttled


class RetryDecision:
    """Whether to retry: the delay before the next attempt or a denial."""

    __slots__ = ("_delay_s", "_denial")

    def __init__(self, delay_s: float, denial: RetryDenial | None) -> None:
        """Creates a decision.

        Args:
            delay_s: Time to wait before the next attempt, in seconds.
            denial: Why there is no further attempt; None if there is one.
        """
        self._delay_s = delay_s
        self._denial = denial

    @property
    def delay_s(self) -> float:
        """Time to wait before the next attempt, in seconds."""
        return self._delay_s

    @property
    def denial(self) -> RetryDenial | None:
        """Why there is no further attempt; None if one is allowed."""
        return self._denial

    @property
    def allowed(self) -> bool:
        """Whether another attempt may be made."""
        return self._denial is None


_DENIED = {denial: RetryDecision(0.0, denial) for denial in RetryDenial}

RetryRule = Callable[[RefusalReason], RetryAdvice | None]

_RULES: dict[RefusalReason, RetryAdvice | None] = {}

RETRY_RULES: Mapping[RefusalReason, RetryAdvice | None] = MappingProxyType(
    _RULES
)
"""The advice for every refusal reason; None if it must not be retried."""


def retry_rule(
    *reasons: RefusalReason,
) -> Callable[[RetryRule], RetryRule]:
    """Registers the decorated rule for refusal reasons.

    Args:
        *reasons: Reasons that the rule applies to. A reason has one rule.

    Returns:
        The decorator. It raises `ValueError` if a reason already has a rule.
    """

    def register(rule: RetryRule) -> RetryRule:
        for reason in reasons:
            if reason in _RULES:
                raise ValueError(f"{reason.value} already has a retry rule")
            _RULES[reason] = rule(reason)
        return rule

    return register


@retry_rule(
    RefusalReason.DRAINING,
    RefusalReason.UPSTREAM_REFUSED,
    RefusalReason.UPSTREAM_REPLACED,
    RefusalReason.NO_CONFIGURATION,
    RefusalReason.NEVER_ARRIVED,
    RefusalReason.KEY_NOT_OWNED,
)
def _retry_immediately(_: RefusalReason) -> RetryAdvice:
    """Retries at once: the cause lies in one node and is not overload."""
    return RetryAdvice(uses_backoff=False, is_throttled=False)


@retry_rule(RefusalReason.NO_UPSTREAM, RefusalReason.KEY_STORE_FULL)
def _retry_with_backoff(_: RefusalReason) -> RetryAdvice:
    """Retries after a delay, during which the cause may disappear."""
    return RetryAdvice(uses_backoff=True, is_throttled=False)


@retry_rule(
    RefusalReason.SHED,
    RefusalReason.QUEUE_FULL,
    RefusalReason.DEADLINE_EXPECTED,
    RefusalReason.UPSTREAM_BUSY,
    RefusalReason.NODE_LOST,
    RefusalReason.UPSTREAM_LOST,
)
def _retry_throttled(_: RefusalReason) -> RetryAdvice:
    """Retries after a delay and within the throttle.

    Overload or the loss of upstreams may affect every node of the service.
    """
    return RetryAdvice(uses_backoff=True, is_throttled=True)


@retry_rule(
    RefusalReason.DEADLINE_QUEUED,
    RefusalReason.DEADLINE_RUNNING,
    RefusalReason.CANCELLED_QUEUED,
    RefusalReason.CANCELLED_RUNNING,
    RefusalReason.UNKNOWN_SERVICE,
    RefusalReason.UNKNOWN_KIND,
    RefusalReason.BAD_REQUEST,
    RefusalReason.TOO_LARGE,
    RefusalReason.TOO_DEEP,
    RefusalReason.CRASH_SUSPECT,
    RefusalReason.UNAUTHENTICATED,
    RefusalReason.CONFIGURATION_STALE,
    RefusalReason.ALLOTMENT_EXHAUSTED,
    RefusalReason.ALLOTMENT_UNKNOWN,
    RefusalReason.KEY_MISSING,
    RefusalReason.KEY_INVALID,
    RefusalReason.KEY_REUSED,
    RefusalReason.KEY_TOO_NEW,
    RefusalReason.KEY_OWNER_SILENT,
    RefusalReason.KEY_EXPIRED,
    RefusalReason.KEY_OWNER_GONE,
    RefusalReason.KEY_UNKNOWN,
)
def _never_retry(_: RefusalReason) -> None:
    """Does not retry: every node would give the same answer."""


_STATUS_ADVICE = RetryAdvice(uses_backoff=True, is_throttled=True)


class RetryThrottle:
    """Token bucket that limits the ratio of retries to first attempts.

    Every first attempt of the node adds tokens worth a fraction of a retry, up
    to a maximum. This bounds the load of retries when many requests fail at
    once, which the budgets of single requests do not.
    """

    __slots__ = ("_max_tokens", "_tokens", "_tokens_per_first_attempt")

    def __init__(self, ratio: float = 0.1, burst: int = 100) -> None:
        """Starts with a full bucket.

        Args:
            ratio: Sustained retries per first attempt, from 0 to 1.
            burst: Retries that a full bucket allows.

        Raises:
            ValueError: If an argument is out of range.
        """
        if not 0 <= ratio <= 1:
            raise ValueError(f"retry ratio {ratio} is not within 0..1")
        if burst < 0:
            raise ValueError(f"retry burst {burst} is negative")
        self._tokens_per_first_attempt = round(ratio * _TOKENS_PER_RETRY)
        self._max_tokens = burst * _TOKENS_PER_RETRY
        self._tokens = self._max_tokens

    def count_first_attempt(self) -> None:
        """Adds the tokens of one first attempt to the bucket."""
        self._tokens = min(
            self._tokens + self._tokens_per_first_attempt, self._max_tokens
        )

    def try_take_retry(self) -> bool:
        """Takes the tokens of one retry and returns whether it could."""
        if self._tokens < _TOKENS_PER_RETRY:
            return False
        self._tokens -= _TOKENS_PER_RETRY
        return True


class RetryPolicy:
    """Applies the retry rule of an outcome and the limits on retries.

    A retry also needs a grant of the request's `RetryLedger`.
    """

    __slots__ = ("_base_delay_s", "_max_delay_s", "_rng", "_throttle")

    def __init__(
        self,
        rng: random.Random,
        throttle: RetryThrottle,
        base_delay_s: float = 0.01,
        max_delay_s: float = 0.5,
    ) -> None:
        """Creates a policy.

        Args:
            rng: Source of the jitter.
            throttle: The node-wide throttle.
            base_delay_s: Longest delay before the first retry, in seconds.
            max_delay_s: Longest delay before any retry, in seconds.

        Raises:
            ValueError: Unless 0 < base_delay_s <= max_delay_s.
        """
        if not 0 < base_delay_s <= max_delay_s:
            raise ValueError(
                f"backoff from {base_delay_s} s to {max_delay_s} s is invalid:"
                " it must be positive and not decrease"
            )
        self._rng = rng
        self._throttle = throttle
        self._base_delay_s = base_delay_s
        self._max_delay_s = max_delay_s

    def decide(
        self,
        outcome: RefusalReason | int,
        *,
        is_idempotent: bool,
        is_at_most_once: bool,
        deadline_s: float,
        budget: int,
        retries: int = 0,
        crashes: int = 0,
        expected_attempt_s: float = 0.0,
    ) -> RetryDecision:
        """Decides whether a failed attempt is retried.

        The outcome may be a refusal of the family `not_run` only if the
        receiver stated it or the attempt was never handed to a socket.

        Args:
            outcome: Refusal reason, or the HTTP status of an upstream's
                answer.
            is_idempotent: Whether the request may be run twice.
            is_at_most_once: Whether the kind needs an idempotency key.
            deadline_s: Time left until the deadline, in seconds.
            budget: Units that remain in the request's ledger.
            retries: Retries of this call so far.
            crashes: Attempts of this call that ended with a crash of their
                upstream.
            expected_attempt_s: Expected duration of an attempt, in seconds.

        Returns:
            The decision. If the throttle applies to an allowed retry, its
            tokens have been taken.
        """
        advice, is_not_run = self._find_advice(outcome)
        if advice is None:
            denial = RetryDenial.FINAL
        elif not is_not_run and is_at_most_once:
            denial = RetryDenial.AT_MOST_ONCE
        elif not is_not_run and not is_idempotent:
            denial = RetryDenial.NOT_IDEMPOTENT
        elif crashes >= _MAX_CRASHES:
            denial = RetryDenial.CRASHES
        elif budget <= 0:
            denial = RetryDenial.BUDGET
        else:
            return self._apply_limits(
                advice, retries, deadline_s - expected_attempt_s
            )
        return _DENIED[denial]

    def _apply_limits(
        self, advice: RetryAdvice, retries: int, time_left_s: float
    ) -> RetryDecision:
        """Applies the deadline and the throttle to an advice to retry."""
        delay_s = self._backoff_s(retries) if advice.uses_backoff else 0.0
        if delay_s >= time_left_s:
            return _DENIED[RetryDenial.DEADLINE]
        if advice.is_throttled and not self._throttle.try_take_retry():
            return _DENIED[RetryDenial.THROTTLED]
        return RetryDecision(delay_s, None)

    @staticmethod
    def _find_advice(
        outcome: RefusalReason | int,
    ) -> tuple[RetryAdvice | None, bool]:
        """Returns the advice and whether the attempt was not run."""
        if isinstance(outcome, RefusalReason):
            return _RULES[outcome], outcome.is_not_run
        if outcome in _RETRYABLE_STATUSES:
            return _STATUS_ADVICE, False
        return None, False

    def _backoff_s(self, retries: int) -> float:
        """Returns a delay with full jitter.

        It is drawn uniformly between zero and a limit that doubles with each
        retry, up to the longest delay.
        """
        doublings = min(retries, _MAX_DOUBLINGS)
        limit_s = min(self._base_delay_s * 2.0**doublings, self._max_delay_s)
        return self._rng.random() * limit_s


_RETRIES_PER_HOP = 3


class PerHopRetryPolicy:
    """Retries any failure at once, up to three times at each hop.

    A baseline for measurements: it has no budget, throttle or backoff, so
    retries multiply along the call chain. Kinds that must run at most once are
    still retried only after a confirmed `not_run`, as are kinds that are not
    idempotent.
    """

    __slots__ = ()

    def decide(
        self,
        outcome: RefusalReason | int,
        *,
        is_idempotent: bool,
        is_at_most_once: bool,
        deadline_s: float,
        budget: int,
        retries: int = 0,
        crashes: int = 0,
        expected_attempt_s: float = 0.0,
    ) -> RetryDecision:
        """Decides whether to retry; see `RetryPolicy.decide`."""
        del budget, crashes, expected_attempt_s
        is_not_run = isinstance(outcome, RefusalReason) and outcome.is_not_run
        if not is_not_run and (is_at_most_once or not is_idempotent):
            return RetryDecision(0.0, RetryDenial.NOT_IDEMPOTENT)
        if retries >= _RETRIES_PER_HOP or deadline_s <= 0:
            return RetryDecision(0.0, RetryDenial.BUDGET)
        return RetryDecision(0.0, None)
