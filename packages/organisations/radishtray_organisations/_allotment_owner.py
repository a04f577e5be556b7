"""Grants the allotments of organisations to the nodes that ask for them.

One node owns the allotment of an organisation. It hands out tokens, each worth
one request. A node may use a token for `TOKEN_LIFETIME_S`.

Tokens that are used in a window of W seconds were granted in a window of W
seconds plus their lifetime. With one owner these are at most
capacity + rate * (W + lifetime). The capacity of a bucket is therefore lower
than the burst by rate * lifetime, as far as the tolerance of the allotments
does not cover that, but at least half of the burst.
"""

from collections.abc import Callable, Iterable, Iterator
from math import ceil, floor

from radishtray_organisations._organisation import Organisation
from radishtray_state import Clock

TOKEN_LIFETIME_S = 0.5
# A bucket that is new on this node, and one whose node did not run for a while,
# starts with this share of its burst: another node may have granted meanwhile.
_INITIAL_SHARE = 0.5
# Share of the rate up to which tokens are regular.
_REGULAR_SHARE = 0.75
# A gap between two grants or ticks longer than this means that the process did
# not run.
_MAX_PAUSE_S = 0.75
_MAX_REQUESTED = 10_000
# Tokens ahead of need below which none are requested: demand that low is too
# irregular to use them.
_MIN_AHEAD = 2
_AHEAD_LIFETIME_SHARE = 0.25
# Time after a restart in which a node learns of the fleet, and the time after
# which one that has found no other node takes itself for the fleet.
_RESTART_S = 1.5
_LONE_START_S = 5.0


class AllotmentTolerance:
    """By how much the use of an allotment may exceed it in any window.

    Attributes:
        window_s: Length of the window in seconds.
        share: Share of what the allotment grants in a window.
        requests: Requests beyond that share.
    """

    __slots__ = ("requests", "share", "window_s")

    def __init__(
        self, window_s: float = 5.0, share: float = 0.0, requests: float = 0.0
    ) -> None:
        """Validates and stores the tolerance.

        Raises:
            ValueError: If a value is out of range.
        """
        if not (window_s > 0 and share >= 0 and requests >= 0):
            raise ValueError(
                "a tolerance needs a positive window and no negative share or "
                "number of requests"
            )
        self.window_s = window_s
        self.share = share
        self.requests = requests

    def tolerated(self, organisation: Organisation) -> float:
        """Returns the requests that an organisation may exceed its limit by."""
        granted = organisation.rate_per_s * self.window_s + organisation.burst
        return granted * self.share + self.requests


class Grant:
    """Tokens granted to one node.

    Attributes:
        requests: Number of tokens.
        regular: How many of them are within the regular share of the rate.
        retry_s: Seconds until a further token may be granted.
    """

    __slots__ = ("regular", "requests", "retry_s")

    def __init__(self, requests: int, regular: int, retry_s: float) -> None:
        """Stores the numbers."""
        self.requests = requests
        self.regular = regular
        self.retry_s = retry_s


class _Bucket:
    """Token bucket of one organisation.

    Attributes:
        granted: Tokens granted so far.
        denied: Tokens asked for and not granted so far.
    """

    __slots__ = (
        "_burst",
        "_rate_per_s",
        "_regular_tokens",
        "_tokens",
        "_tolerance",
        "_updated_at_s",
        "denied",
        "granted",
    )

    def __init__(
        self,
        organisation: Organisation,
        tolerance: AllotmentTolerance,
        now_s: float,
    ) -> None:
        self._tolerance = tolerance
        self.granted = 0
        self.denied = 0
        self._updated_at_s = now_s
        self._tokens = 0.0
        self._regular_tokens = 0.0
        self.set_limit(organisation)
        self.restart(now_s)

    def set_limit(self, organisation: Organisation) -> None:
        self._rate_per_s = organisation.rate_per_s
        # The other half of the tolerance is left for changes of the owner.
        covered = self._tolerance.tolerated(organisation) / 2
        reserved = max(0.0, self._rate_per_s * TOKEN_LIFETIME_S - covered)
        # At least half of the burst, so that tokens do not run over between
        # two requests for them where the burst is short of the rate.
        self._burst = max(
            1.0, organisation.burst / 2, organisation.burst - reserved
        )
        self._tokens = min(self._tokens, self._burst)

    def restart(self, now_s: float) -> None:
        """Forgets what has accumulated."""
        self._updated_at_s = now_s
        self._tokens = max(1.0, self._burst * _INITIAL_SHARE)
        self._regular_tokens = self._tokens

    def refill(self, now_s: float, scale: float) -> None:
        gained = max(0.0, now_s - self._updated_at_s) * self._rate_per_s * scale
        self._updated_at_s = now_s
        capacity = max(1.0, self._burst * scale)
        self._tokens = min(capacity, self._tokens + gained)
        self._regular_tokens = min(
            capacity, self._regular_tokens + gained * _REGULAR_SHARE
        )

    def take(self, requested: int, scale: float) -> Grant:
        """Grants up to the requested number of tokens."""
        requests = min(requested, floor(self._tokens))
        regular = max(0, min(requests, floor(self._regular_tokens)))
        self._tokens -= requests
        self._regular_tokens -= regular
        self.granted += requests
        self.denied += requested - requests
        missing = max(0.0, 1 - self._tokens) if requests < requested else 0.0
        rate_per_s = max(self._rate_per_s * scale, 1e-3)
        return Grant(requests, regular, missing / rate_per_s)


class AllotmentOwner:
    """Grants tokens of the organisations that this node owns.

    Several nodes may take themselves for the owner while their views of the
    fleet differ; see `grantable_share`.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_is_ready",
        "_last_run_s",
        "_limits",
        "_scale",
        "_tolerance",
    )

    def __init__(
        self,
        clock: Clock,
        scale: Callable[[], float],
        tolerance: AllotmentTolerance | None = None,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        """Starts without allotments.

        Args:
            clock: Time source.
            scale: Returns the share of the allotments that this node may
                grant, above 0 and at most 1.
            tolerance: By how much allotments may be exceeded; None for not at
                all.
            is_ready: Returns whether this node knows enough of the fleet to own
                allotments. Many nodes that restart together would otherwise
                each take themselves for the owner.
        """
        self._is_ready = is_ready
        self._tolerance = tolerance or AllotmentTolerance()
        self._clock = clock
        self._scale = scale
        self._limits: dict[str, Organisation] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._last_run_s = clock.monotonic()

    def apply(self, organisations: Iterable[Organisation]) -> None:
        """Applies the limits of a new configuration."""
        self._limits = {o.name: o for o in organisations if o.is_limited}
        for name in list(self._buckets):
            organisation = self._limits.get(name)
            if organisation is None:
                del self._buckets[name]
            else:
                self._buckets[name].set_limit(organisation)

    def tick(self) -> None:
        """Detects that the process did not run; call it about four times a s.

        Another node has owned the allotments meanwhile, so what has accumulated
        here is forgotten.
        """
        now_s = self._clock.monotonic()
        if now_s - self._last_run_s > _MAX_PAUSE_S:
            for bucket in self._buckets.values():
                bucket.restart(now_s)
        self._last_run_s = now_s

    def grant(self, name: str, requested: int) -> Grant | None:
        """Grants tokens of an organisation.

        Args:
            name: Name of the organisation.
            requested: Number of tokens asked for.

        Returns:
            The grant, or None if this node grants nothing: it is not ready, or
            the organisation has no allotment in its configuration.
        """
        self.tick()
        organisation = self._limits.get(name)
        if organisation is None or not self._is_ready():
            return None
        now_s = self._clock.monotonic()
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = _Bucket(
                organisation, self._tolerance, now_s
            )
        scale = self._scale()
        bucket.refill(now_s, scale)
        return bucket.take(max(0, min(requested, _MAX_REQUESTED)), scale)

    def usage(self) -> Iterator[tuple[str, float, int, int]]:
        """Yields name, limit per second, granted and denied tokens."""
        for name, bucket in self._buckets.items():
            limit = self._limits[name].rate_per_s
            yield name, limit, bucket.granted, bucket.denied


def grantable_share(seen: int, fleet_size: int) -> float:
    """Returns the share of the allotments that an owner may grant.

    Nodes that an owner does not see may have ended, or be cut off with an owner
    of their own. It cannot tell, so the parts of a fleet grant what corresponds
    to their size and together not more than the limit.

    >>> grantable_share(60, 100), grantable_share(40, 100)
    (0.6, 0.4)

    Args:
        seen: Nodes that the owner sees, itself included.
        fleet_size: The largest number that it has seen recently.
    """
    return seen / max(seen, fleet_size)


def is_ready_to_own(seen: int, age_s: float, *, is_first_start: bool) -> bool:
    """Returns whether a node knows enough of the fleet to own allotments.

    >>> is_ready_to_own(1, 0.0, is_first_start=True)
    True
    >>> is_ready_to_own(40, 1.0, is_first_start=False)
    False

    Args:
        seen: Nodes that it sees, itself included.
        age_s: Seconds since its start.
        is_first_start: Whether no earlier process of any node has run, so that
            nothing has been granted.
    """
    if is_first_start or age_s >= _LONE_START_S:
        return True
    return age_s >= _RESTART_S and seen > 1


def tokens_to_request(waiting: int, demand_per_s: float) -> int:
    """Returns how many tokens a node asks for at once.

    A node with much demand asks for what it needs in a part of the tokens'
    lifetime; one with little asks only for the requests that wait, since tokens
    that expire unused are lost to the organisation.

    >>> tokens_to_request(1, 0.5), tokens_to_request(1, 40)
    (1, 6)
    """
    ahead = demand_per_s * TOKEN_LIFETIME_S * _AHEAD_LIFETIME_SHARE
    return waiting + (ceil(ahead) if ahead >= _MIN_AHEAD else 0)
