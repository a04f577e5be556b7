"""Estimates how often the upstream beside a node fails requests by itself.

The health check of an upstream may be good although it fails a part of its
requests, so only results count. The node beside the upstream sees all of them
and announces the estimate to the senders, each of which sees few.
"""

from radishtray_state._clock import Clock
from radishtray_state._decaying_share import DecayingShare

_PERCENT = 100
# Multiples of this are announced, so that small changes cause no gossip.
_STEP_PERCENT = 20
_TIME_CONSTANT_S = 1.5
# Successes that are assumed beside the recent outcomes, and failures that are
# ignored, so that one failure at a low rate of requests is no evidence.
_ASSUMED_SUCCESSES = 2.0
_IGNORED_FAILURES = 0.5
# The estimate must fall this far below the announced step before a lower one is
# announced.
_HYSTERESIS = 0.1
# Senders avoid an upstream that fails requests, so it may have too few outcomes
# to show that it has recovered. It is tried again after this time.
_HOLD_S = 5.0
_MIN_OUTCOMES_TO_RECOVER = 8.0


class FailureEstimator:
    """Weighs recent outcomes by their age."""

    __slots__ = ("_clock", "_failures", "_held_until_s", "_percent")

    def __init__(self, clock: Clock) -> None:
        """Starts without outcomes.

        Args:
            clock: Time source.
        """
        self._clock = clock
        self._failures = DecayingShare(clock, _TIME_CONSTANT_S)
        self._percent = 0
        self._held_until_s = 0.0

    def record(self, *, is_failure: bool) -> None:
        """Records the outcome of one request that the upstream has run."""
        self._failures.record(is_hit=is_failure)

    def reset(self) -> None:
        """Forgets all outcomes; to be called for a new upstream process."""
        self._failures.reset()
        self._percent = 0

    @property
    def share(self) -> float:
        """Share of the recent requests that failed, estimated cautiously."""
        failures = max(0.0, self._failures.hits - _IGNORED_FAILURES)
        return failures / (self._failures.total + _ASSUMED_SUCCESSES)

    @property
    def percent(self) -> int:
        """The share in percent to announce, a multiple of the step."""
        share = self.share
        step = _STEP_PERCENT / _PERCENT
        announced = self._percent / _PERCENT
        now_s = self._clock.monotonic()
        if share >= announced:
            self._percent = int(share / step) * _STEP_PERCENT
            self._held_until_s = now_s + _HOLD_S
        elif share < announced - _HYSTERESIS and (
            now_s >= self._held_until_s
            or self._failures.total >= _MIN_OUTCOMES_TO_RECOVER
        ):
            self._percent = int(share / step) * _STEP_PERCENT
        return self._percent
