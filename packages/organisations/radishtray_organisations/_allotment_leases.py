"""Tokens of organisations' allotments that an entry node holds.

A request of an organisation with an allotment needs a token. A node with much
demand asks the owner for tokens ahead of need, one with little demand asks for
each request.
"""

from collections import deque
from collections.abc import Callable
from math import exp

from radishtray_organisations._allotment_owner import (
    TOKEN_LIFETIME_S,
    Grant,
    tokens_to_request,
)
from radishtray_state import Clock

_DEMAND_TIME_CONSTANT_S = 0.5
# Share of the tokens' lifetime, in demand, below which more are requested while
# some are left.
_LOW_WATER_LIFETIME_SHARE = 0.1
# With less demand, tokens are requested only when a request needs one.
_MIN_LOW_WATER = 1
# Time after a denial in which an organisation counts as short of tokens.
_SHORTAGE_MEMORY_S = 1.0
_MAX_WAITING = 256
_MAX_ORGANISATIONS = 10_000
# Retry-After if no owner answered.
_UNANSWERED_RETRY_S = 0.3


class TokenVerdict:
    """Whether a request may be sent, as far as its organisation is concerned.

    Attributes:
        is_granted: Whether there was a token.
        is_regular: Whether the token is within the regular share of the rate.
        is_answered: Whether an owner decided. Otherwise the request is refused
            because no owner could be reached.
        retry_s: Seconds until a further token may be granted.
    """

    __slots__ = ("is_answered", "is_granted", "is_regular", "retry_s")

    def __init__(
        self,
        *,
        is_granted: bool,
        is_regular: bool = False,
        is_answered: bool = True,
        retry_s: float = 0.0,
    ) -> None:
        """Stores the verdict."""
        self.is_granted = is_granted
        self.is_regular = is_regular
        self.is_answered = is_answered
        self.retry_s = retry_s


TokenCallback = Callable[[TokenVerdict], None]
_REGULAR = TokenVerdict(is_granted=True, is_regular=True)
_EXCESS = TokenVerdict(is_granted=True)


class TokenWait:
    """A request that waits for a token.

    Attributes:
        on_verdict: Called once with the verdict, unless the wait is cancelled.
    """

    __slots__ = ("on_verdict",)

    def __init__(self, on_verdict: TokenCallback) -> None:
        """Creates a wait."""
        self.on_verdict: TokenCallback | None = on_verdict

    @property
    def is_pending(self) -> bool:
        """Whether the verdict has not been reported."""
        return self.on_verdict is not None

    def cancel(self) -> None:
        """Ends the wait without a call; a token that it gets is kept."""
        self.on_verdict = None

    def finish(self, verdict: TokenVerdict) -> bool:
        """Reports the verdict; False if the wait was cancelled."""
        callback, self.on_verdict = self.on_verdict, None
        if callback is None:
            return False
        callback(verdict)
        return True


class _Lease:
    """Tokens of one organisation, and the requests that wait for some."""

    __slots__ = (
        "_demand_per_s",
        "_demand_updated_s",
        "_denied_until_s",
        "_expires_at_s",
        "_regular",
        "_short_until_s",
        "_tokens",
        "requested",
        "waiting",
    )

    def __init__(self, now_s: float) -> None:
        self.waiting: deque[TokenWait] = deque()
        # Tokens that the owner has been asked for; 0 while it is not asked.
        self.requested = 0
        self._tokens = 0
        self._regular = 0
        self._expires_at_s = 0.0
        self._denied_until_s = 0.0
        self._short_until_s = 0.0
        self._demand_per_s = 0.0
        self._demand_updated_s = now_s

    def count_demand(self, now_s: float) -> None:
        self._demand_per_s = (
            self.demand_per_s(now_s) + 1 / _DEMAND_TIME_CONSTANT_S
        )
        self._demand_updated_s = now_s

    def demand_per_s(self, now_s: float) -> float:
        age_s = now_s - self._demand_updated_s
        return self._demand_per_s * exp(-age_s / _DEMAND_TIME_CONSTANT_S)

    def take(self, now_s: float) -> TokenVerdict | None:
        if now_s >= self._expires_at_s:
            self._tokens = self._regular = 0
        if not self._tokens:
            return None
        self._tokens -= 1
        if self._regular:
            self._regular -= 1
            return _REGULAR
        return _EXCESS

    def put_back(self, *, is_regular: bool, now_s: float) -> None:
        if now_s < self._expires_at_s:
            self._tokens += 1
            self._regular += is_regular

    def add(self, grant: Grant, expires_at_s: float, now_s: float) -> None:
        if grant.requests < self.requested:
            self._short_until_s = now_s + _SHORTAGE_MEMORY_S
        if not grant.requests:
            self._denied_until_s = now_s + grant.retry_s
            return
        if now_s >= self._expires_at_s:
            self._tokens = self._regular = 0
        if now_s >= expires_at_s:
            return
        # The tokens of both grants expire with the earlier ones, so none is
        # used too late.
        if self._tokens:
            expires_at_s = min(expires_at_s, self._expires_at_s)
        self._tokens += grant.requests
        self._regular += min(grant.regular, grant.requests)
        self._expires_at_s = expires_at_s

    def is_short(self, now_s: float) -> bool:
        """Returns whether the owner has recently denied tokens.

        Other nodes need them then, so none are requested ahead of need.
        """
        return now_s < self._short_until_s

    def tokens_to_request(self, now_s: float) -> int:
        if self.is_short(now_s):
            return len(self.waiting)
        return tokens_to_request(len(self.waiting), self.demand_per_s(now_s))

    def denied_s(self, now_s: float) -> float:
        """Returns for how long the owner is known to grant nothing."""
        return self._denied_until_s - now_s

    def needs_more(self, now_s: float) -> bool:
        if self.denied_s(now_s) > 0:
            return False
        if self.is_short(now_s):
            return len(self.waiting) > 0
        low_water = (
            self.demand_per_s(now_s)
            * TOKEN_LIFETIME_S
            * _LOW_WATER_LIFETIME_SHARE
        )
        return len(self.waiting) > 0 or (
            low_water >= _MIN_LOW_WATER and self._tokens < low_water
        )

    def is_idle(self, now_s: float) -> bool:
        return (
            not self.waiting
            and not self.requested
            and now_s >= self._expires_at_s
            and self.demand_per_s(now_s) < 0.01
        )


class AllotmentLeases:
    """The tokens that this node holds, by organisation.

    The owner of the object sends the requests for tokens: each `request` call
    must be followed by `apply_grant` or `apply_failure`.
    """

    __slots__ = ("_clock", "_leases", "_request")

    def __init__(
        self, clock: Clock, request: Callable[[str, int], None]
    ) -> None:
        """Starts without tokens.

        Args:
            clock: Time source.
            request: Asks the owner of an organisation, by name, for a number of
                tokens.
        """
        self._clock = clock
        self._request = request
        self._leases: dict[str, _Lease] = {}

    def __len__(self) -> int:
        """Organisations with demand on this node."""
        return len(self._leases)

    def acquire(self, name: str, on_verdict: TokenCallback) -> TokenWait | None:
        """Gets a token for one request.

        Args:
            name: Name of the organisation.
            on_verdict: Called once with the verdict; before this method returns
                if the verdict is known.

        Returns:
            The wait, or None if `on_verdict` has been called.
        """
        now_s = self._clock.monotonic()
        lease = self._lease(name, now_s)
        lease.count_demand(now_s)
        verdict = None if lease.waiting else lease.take(now_s)
        if verdict is not None:
            self._request_more(name, lease, now_s)
            on_verdict(verdict)
            return None
        denied_s = lease.denied_s(now_s)
        if denied_s > 0 and not lease.requested:
            on_verdict(TokenVerdict(is_granted=False, retry_s=denied_s))
            return None
        if len(lease.waiting) >= _MAX_WAITING:
            on_verdict(_unanswered())
            return None
        wait = TokenWait(on_verdict)
        lease.waiting.append(wait)
        self._request_more(name, lease, now_s)
        return wait if wait.is_pending else None

    def release(self, name: str, verdict: TokenVerdict) -> None:
        """Returns the token of a request that has not run."""
        lease = self._leases.get(name)
        if lease is not None and verdict.is_granted:
            lease.put_back(
                is_regular=verdict.is_regular, now_s=self._clock.monotonic()
            )

    def apply_grant(self, name: str, grant: Grant, asked_at_s: float) -> None:
        """Applies what an owner has granted.

        Requests that wait and get no token are refused if the owner granted
        less than it was asked for, else tokens are requested for them.

        Args:
            name: Name of the organisation.
            grant: The grant.
            asked_at_s: Monotonic time at which the tokens were asked for.
        """
        now_s = self._clock.monotonic()
        lease = self._lease(name, now_s)
        is_all_granted = grant.requests >= lease.requested
        lease.add(grant, asked_at_s + TOKEN_LIFETIME_S, now_s)
        lease.requested = 0
        self._serve_waiting(lease, now_s)
        if is_all_granted:
            self._request_more(name, lease, now_s)
            return
        refused, lease.waiting = lease.waiting, deque()
        for wait in refused:
            wait.finish(TokenVerdict(is_granted=False, retry_s=grant.retry_s))

    def apply_failure(self, name: str) -> None:
        """Refuses the requests that wait, because no owner answered."""
        lease = self._leases.get(name)
        if lease is None:
            return
        lease.requested = 0
        refused, lease.waiting = lease.waiting, deque()
        for wait in refused:
            wait.finish(_unanswered())

    def drop_idle(self) -> None:
        """Drops organisations without demand; call it about once a second."""
        now_s = self._clock.monotonic()
        for name, lease in list(self._leases.items()):
            if lease.is_idle(now_s):
                del self._leases[name]

    def _lease(self, name: str, now_s: float) -> _Lease:
        lease = self._leases.get(name)
        if lease is None:
            if len(self._leases) >= _MAX_ORGANISATIONS:
                self.drop_idle()
            lease = self._leases[name] = _Lease(now_s)
        return lease

    def _serve_waiting(self, lease: _Lease, now_s: float) -> None:
        while lease.waiting:
            verdict = lease.take(now_s)
            if verdict is None:
                return
            wait = lease.waiting.popleft()
            if not wait.finish(verdict):
                lease.put_back(is_regular=verdict.is_regular, now_s=now_s)

    def _request_more(self, name: str, lease: _Lease, now_s: float) -> None:
        if lease.requested or not lease.needs_more(now_s):
            return
        lease.requested = lease.tokens_to_request(now_s)
        if lease.requested:
            self._request(name, lease.requested)


def _unanswered() -> TokenVerdict:
    return TokenVerdict(
        is_granted=False, is_answered=False, retry_s=_UNANSWERED_RETRY_S
    )
