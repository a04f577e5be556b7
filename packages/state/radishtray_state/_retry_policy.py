"""Decides whether an attempt may be followed by another one, and when."""

import random
from collections.abc import Callable, Mapping
from enum import Enum
from types import MappingProxyType

from radishtray_state._refusal import RefusalReason

_THROTTLE_UNIT = 1000  # One retry, in thousandths: no float error adds up.
_MAX_DOUBLINGS = 16  # Keeps the back-off exponent small.
_CRASHES_TO_GIVE_UP = 2
_RETRYABLE_STATUSES = frozenset((502, 503, 504))


class RetryDenial(Enum):
    """Why a failed attempt is not retried; also the label of a counter."""

    FINAL = "final"
    """Another attempt would end the same way."""

    NOT_IDEMPOTENT = "not_idempotent"
    """The attempt may have run and the kind is not idempotent."""

    AT_MOST_ONCE = "at_most_once"
    """The attempt may have run and the kind runs at most once."""

    CRASHES = "crashes"
    """Two attempts of the call have ended with a crash of their upstream."""

    DEADLINE = "deadline"
    """Another attempt could not end before the deadline."""

    BUDGET = "budget"
    """The retry budget has no unit left."""

    THROTTLED = "throttled"
    """The node sends too many retries in relation to first attempts."""


class RetryAdvice:
    """What a rule says about one outcome, before any limit applies."""

    __slots__ = ("_backs_off", "_is_throttled")

    def __init__(self, backs_off: bool, is_throttled: bool) -> None:
        """Creates an advice to retry.

        Args:
            backs_off: Whether to wait before the next attempt.
            is_throttled: Whether the node-wide throttle applies. It does not
                apply where the attempt was not run for a reason other than
                overload, since such a retry adds no work.
        """
        self._backs_off = backs_off
        self._is_throttled = is_throttled

    @property
    def backs_off(self) -> bool:
        """Whether to wait before the next attempt."""
        return self._backs_off

    @property
    def is_throttled(self) -> bool:
        """Whether the node-wide throttle applies."""
        return self._is_throttled


class RetryVerdict:
    """Either a delay before the next attempt or the reason against one."""

    __slots__ = ("_delay_s", "_denial")

    def __init__(self, delay_s: float, denial: RetryDenial | None) -> None:
        """Creates a verdict.

        Args:
            delay_s: Time to wait before the next attempt, in seconds.
            denial: Reason against another attempt, or None.
        """
        self._delay_s = delay_s
        self._denial = denial

    @property
    def delay_s(self) -> float:
        """Time to wait before the next attempt, in seconds."""
        return self._delay_s

    @property
    def denial(self) -> RetryDenial | None:
        """Reason against another attempt; None if it is allowed."""
        return self._denial

    @property
    def allowed(self) -> bool:
        """Whether another attempt may be made."""
        return self._denial is None


_DENIED = {denial: RetryVerdict(0.0, denial) for denial in RetryDenial}

RetryRule = Callable[[RefusalReason], RetryAdvice | None]

_RULES: dict[RefusalReason, RetryAdvice | None] = {}

RETRY_RULES: Mapping[RefusalReason, RetryAdvice | None] = MappingProxyType(
    _RULES
)
"""The advice for every refusal reason; None means final."""


def retry_rule(
    *reasons: RefusalReason,
) -> Callable[[RetryRule], RetryRule]:
    """Registers a rule for refusal reasons.

    Args:
        *reasons: Reasons that the rule decides. A reason has one rule.

    Returns:
        The decorator.
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
def _retry_elsewhere(_: RefusalReason) -> RetryAdvice:
    """Retries at once: the fault is that of one node, not of load."""
    return RetryAdvice(backs_off=False, is_throttled=False)


@retry_rule(RefusalReason.NO_UPSTREAM, RefusalReason.KEY_STORE_FULL)
def _retry_later(_: RefusalReason) -> RetryAdvice:
    """Retries after a pause, in which the state may change."""
    return RetryAdvice(backs_off=True, is_throttled=False)


@retry_rule(
    RefusalReason.SHED,
    RefusalReason.QUEUE_FULL,
    RefusalReason.DEADLINE_EXPECTED,
    RefusalReason.UPSTREAM_BUSY,
    RefusalReason.NODE_LOST,
    RefusalReason.UPSTREAM_LOST,
)
def _retry_under_throttle(_: RefusalReason) -> RetryAdvice:
    """Retries with a pause; an overload or a loss may hit every node."""
    return RetryAdvice(backs_off=True, is_throttled=True)


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
    RefusalReason.KEY_MISSING,
    RefusalReason.KEY_INVALID,
    RefusalReason.KEY_REUSED,
    RefusalReason.KEY_TOO_NEW,
    RefusalReason.KEY_OWNER_SILENT,
    RefusalReason.KEY_EXPIRED,
    RefusalReason.KEY_OWNER_GONE,
    RefusalReason.KEY_UNKNOWN,
)
def _final(_: RefusalReason) -> None:
    """Never retries: every node would give the same answer."""


_STATUS_ADVICE = RetryAdvice(backs_off=True, is_throttled=True)


class RetryThrottle:
    """Limits the ratio of retries to first attempts of the whole node.

    Every first attempt adds a fraction of a retry to an allowance, up to a
    maximum. It bounds the load of retries when many requests fail at once,
    which the budgets of single requests do not.
    """

    __slots__ = ("_allowance", "_allowance_max", "_deposit")

    def __init__(self, ratio: float = 0.1, burst: int = 100) -> None:
        """Starts with the full allowance.

        Args:
            ratio: Retries per first attempt in the long run, from 0 to 1.
            burst: Retries that may be made without any first attempt.

        Raises:
            ValueError: If an argument is out of range.
        """
        if not 0 <= ratio <= 1:
            raise ValueError(f"retry ratio {ratio} is not within 0..1")
        if burst < 0:
            raise ValueError(f"retry burst {burst} is negative")
        self._deposit = round(ratio * _THROTTLE_UNIT)
        self._allowance_max = burst * _THROTTLE_UNIT
        self._allowance = self._allowance_max

    def count_first_attempt(self) -> None:
        """Adds to the allowance for one first attempt."""
        self._allowance = min(
            self._allowance + self._deposit, self._allowance_max
        )

    def take_retry(self) -> bool:
        """Takes one retry from the allowance if there is one."""
        if self._allowance < _THROTTLE_UNIT:
            return False
        self._allowance -= _THROTTLE_UNIT
        return True


class RetryPolicy:
    """Applies the rule of an outcome and the limits of the request.

    The caller still needs a grant of the request's `RetryLedger`.
    """

    __slots__ = ("_base_delay_s", "_max_delay_s", "_random", "_throttle")

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
            throttle: The node's throttle.
            base_delay_s: Longest pause before the first retry, in seconds.
            max_delay_s: Longest pause before any retry, in seconds.

        Raises:
            ValueError: Unless 0 < base_delay_s <= max_delay_s.
        """
        if not 0 < base_delay_s <= max_delay_s:
            raise ValueError(
                f"back-off {base_delay_s} s to {max_delay_s} s is not valid"
            )
        self._random = rng
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
        expected_s: float = 0.0,
    ) -> RetryVerdict:
        """Decides about one failed attempt.

        A refusal of the family `not_run` must have been stated by the
        receiver, or the attempt must never have been handed to a socket.

        Args:
            outcome: Refusal reason, or the HTTP status of an upstream's
                answer.
            is_idempotent: Whether running the request twice does no harm.
            is_at_most_once: Whether the kind needs an idempotency key.
            deadline_s: Time left to answer, in seconds.
            budget: Units that remain in the request's ledger.
            retries: Retries of this call so far.
            crashes: Attempts of this call that ended with a crash.
            expected_s: Expected duration of an attempt, in seconds.

        Returns:
            The verdict. An allowed retry has been counted by the throttle.
        """
        advice, is_not_run = self._advice(outcome)
        if advice is None:
            denial = RetryDenial.FINAL
        elif not is_not_run and is_at_most_once:
            denial = RetryDenial.AT_MOST_ONCE
        elif not is_not_run and not is_idempotent:
            denial = RetryDenial.NOT_IDEMPOTENT
        elif crashes >= _CRASHES_TO_GIVE_UP:
            denial = RetryDenial.CRASHES
        elif budget <= 0:
            denial = RetryDenial.BUDGET
        else:
            return self._schedule(advice, retries, deadline_s - expected_s)
        return _DENIED[denial]

    def _schedule(
        self, advice: RetryAdvice, retries: int, time_left_s: float
    ) -> RetryVerdict:
        """Applies the deadline and the throttle to an advice to retry."""
        delay_s = self._delay_s(retries) if advice.backs_off else 0.0
        if delay_s >= time_left_s:
            return _DENIED[RetryDenial.DEADLINE]
        if advice.is_throttled and not self._throttle.take_retry():
            return _DENIED[RetryDenial.THROTTLED]
        return RetryVerdict(delay_s, None)

    @staticmethod
    def _advice(
        outcome: RefusalReason | int,
    ) -> tuple[RetryAdvice | None, bool]:
        """Returns the advice and whether the attempt was not run."""
        if isinstance(outcome, RefusalReason):
            return _RULES[outcome], outcome.is_not_run
        if outcome in _RETRYABLE_STATUSES:
            return _STATUS_ADVICE, False
        return None, False

    def _delay_s(self, retries: int) -> float:
        """Returns a pause drawn evenly from zero to an exponential limit."""
        doublings = min(retries, _MAX_DOUBLINGS)
        limit_s = min(self._base_delay_s * 2.0**doublings, self._max_delay_s)
        return self._random.random() * limit_s


_RETRIES_PER_HOP = 3


class PerHopRetryPolicy:
    """Retries any failure three times at each hop, at once.

    A baseline for measurements: it has no budget, no throttle and no pause,
    so retries multiply along the chain. At-most-once kinds still wait for a
    confirmed `not_run`.
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
        expected_s: float = 0.0,
    ) -> RetryVerdict:
        """Decides about one failed attempt; see `RetryPolicy.decide`."""
        del budget, crashes, expected_s
        is_not_run = isinstance(outcome, RefusalReason) and outcome.is_not_run
        if not is_not_run and (is_at_most_once or not is_idempotent):
            return RetryVerdict(0.0, RetryDenial.NOT_IDEMPOTENT)
        if retries >= _RETRIES_PER_HOP or deadline_s <= 0:
            return RetryVerdict(0.0, RetryDenial.BUDGET)
        return RetryVerdict(0.0, None)
