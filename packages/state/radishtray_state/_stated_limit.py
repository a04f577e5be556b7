"""The request rate that an upstream states, and how it is kept.

An upstream in need states in its answers how many requests a second it takes.
All requests to it pass through the node beside it, which therefore keeps the
rate for all senders.
"""

from math import inf, isfinite

from radishtray_state._clock import Clock

# Requests that may be sent at once after a pause, in seconds of the rate.
_BURST_S = 0.25
# An upstream that states a lower rate would not get the requests whose answers
# show that the limit has ended.
_MIN_RATE_PER_S = 0.5
# Applies until the first answer if an earlier process of the node may have
# known a limit.
_UNVERIFIED_RATE_PER_S = 1.0
_UNVERIFIED_BURST = 2.0


class StatedLimit:
    """Token bucket with the rate that the upstream has stated last.

    The limit ends with an answer that states none, if its request was sent
    after the last answer that stated one.
    """

    __slots__ = (
        "_burst",
        "_clock",
        "_is_verified",
        "_rate_per_s",
        "_stated_at_s",
        "_tokens",
        "_updated_at_s",
    )

    def __init__(self, clock: Clock, *, is_restart: bool = False) -> None:
        """Starts without a limit.

        Args:
            clock: Time source.
            is_restart: Whether an earlier process of the node may have known a
                limit. A low rate is then kept until the first answer.
        """
        self._clock = clock
        self._is_verified = not is_restart
        self._rate_per_s = _UNVERIFIED_RATE_PER_S if is_restart else inf
        self._burst = _UNVERIFIED_BURST
        self._tokens = self._burst
        self._stated_at_s = -inf
        self._updated_at_s = clock.monotonic()

    @property
    def rate_per_s(self) -> float:
        """Requests per second that the upstream takes; infinite if any."""
        return self._rate_per_s

    @property
    def is_limited(self) -> bool:
        """Whether a limit is in force."""
        return self._rate_per_s != inf

    def record_answer(
        self, stated_per_s: float | None, sent_at_s: float
    ) -> bool:
        """Applies what an answer of the upstream states.

        Args:
            stated_per_s: Requests per second that the answer states, or None.
            sent_at_s: Monotonic time at which its request was sent.

        Returns:
            Whether the rate has changed.

        Raises:
            ValueError: If the rate is negative or not finite.
        """
        if stated_per_s is None:
            if self._is_verified and sent_at_s <= self._stated_at_s:
                return False
            return self._set_rate(inf)
        if not isfinite(stated_per_s) or stated_per_s < 0:
            raise ValueError(f"{stated_per_s} is not a number of requests")
        self._stated_at_s = self._clock.monotonic()
        return self._set_rate(max(stated_per_s, _MIN_RATE_PER_S))

    def reset(self) -> None:
        """Ends the limit, because another process of the upstream serves."""
        self._stated_at_s = -inf
        self._set_rate(inf)

    def _set_rate(self, rate_per_s: float) -> bool:
        self._is_verified = True
        if rate_per_s == self._rate_per_s:
            return False
        self._refill()
        was_limited = self.is_limited
        self._rate_per_s = rate_per_s
        if self.is_limited:
            self._burst = max(1.0, rate_per_s * _BURST_S)
            self._tokens = (
                min(self._tokens, self._burst) if was_limited else 0.0
            )
        return True

    def try_take(self) -> bool:
        """Takes the permission to send one request, if there is one."""
        if not self.is_limited:
            return True
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Gives back a permission that was taken and not used."""
        if self.is_limited:
            self._tokens += 1.0

    def _refill(self) -> None:
        now_s = self._clock.monotonic()
        if self.is_limited:
            gained = (now_s - self._updated_at_s) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at_s = now_s
