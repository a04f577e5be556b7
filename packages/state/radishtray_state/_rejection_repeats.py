"""Decides which rejected requests the same upstream gets once more.

An upstream may reject requests, without running them, although it has free
slots. Repeats of rejected requests are bounded for the service as a whole. If
they went to all requests alike, hardly any chain of several calls would reach
its end. So they go to the requests of highest rank, which all calls of a chain
share: few chains are carried to their end.
"""

from collections import deque

from radishtray_state._arrival_budget import (
    SlidingWindowCounter,
    validate_repeat_bound,
)
from radishtray_state._clock import Clock
from radishtray_state._decaying_share import DecayingShare

# Parts of the service's bound: what is granted at most, and what is granted
# together with the repeats of other nodes. The rest is left to repeats that
# other nodes grant, and to arrivals that move from one node to another: each
# node applies the ratio to its own peak.
OWN_SHARE = 0.65
_TOTAL_SHARE = 0.8
# Repeats that are left are spent within about this time, since rejections by a
# whole service may last as long as the window.
_SPEND_TIME_S = 4.0
_REJECTION_TIME_CONSTANT_S = 0.5
_RECENT_ARRIVALS = 256
_RANK_INTERVAL_S = 0.05
_MAX_REJECTED_SHARE = 0.95


class RejectionRepeats:
    """Grants repeats of requests that this node's upstream rejected.

    The node beside an upstream sees all arrivals there. It applies the ratio to
    them and takes an equal part of the slack, so that nodes need not exchange
    messages.

    Attributes:
        node_count: Nodes of the service, which share the slack.
    """

    __slots__ = (
        "_clock",
        "_own_repeats",
        "_rank",
        "_rank_at_s",
        "_ratio",
        "_recent_ranks",
        "_rejections",
        "_repeats",
        "_requests",
        "_slack",
        "node_count",
    )

    def __init__(
        self, clock: Clock, ratio: float, slack: float, window_s: float
    ) -> None:
        """Starts with one node and empty windows.

        Args:
            clock: Time source.
            ratio: Repeats allowed per request.
            slack: Repeats allowed to the whole service in a window without
                requests.
            window_s: Length of the window in seconds.

        Raises:
            ValueError: If the ratio or the slack is negative or the window is
                not positive.
        """
        validate_repeat_bound(ratio, slack, window_s)
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._requests = SlidingWindowCounter(window_s)
        self._repeats = SlidingWindowCounter(window_s)
        self._own_repeats = SlidingWindowCounter(window_s)
        self._recent_ranks: deque[int] = deque(maxlen=_RECENT_ARRIVALS)
        self._rejections = DecayingShare(clock, _REJECTION_TIME_CONSTANT_S)
        self._rank = 0
        self._rank_at_s = 0.0
        self.node_count = 1

    def count_arrival(self, rank: int, *, is_repeat: bool) -> None:
        """Counts a request that is sent to the upstream for the first time.

        Args:
            rank: Priority class and level of the request in one number.
            is_repeat: Whether it counts as a repeat at the service.
        """
        now_s = self._clock.monotonic()
        if is_repeat:
            self._repeats.add(now_s)
        else:
            self._requests.add(now_s)
            self._recent_ranks.append(rank)

    def count_outcome(self, *, is_rejected: bool) -> None:
        """Counts an answer of the upstream, or a rejection."""
        self._rejections.record(is_hit=is_rejected)

    @property
    def rejected_share(self) -> float:
        """Share of the recent arrivals that the upstream rejected."""
        total = self._rejections.total
        return self._rejections.hits / total if total >= 1 else 0.0

    def try_take(self, rank: int) -> bool:
        """Takes one repeat for a rejected request, if the bound leaves one.

        Args:
            rank: Priority class and level of the request in one number.
        """
        now_s = self._clock.monotonic()
        left = self._repeats_left(now_s)
        if left < 1 or rank < self._lowest_rank(now_s, left):
            return False
        self._own_repeats.add(now_s)
        return True

    def _repeats_left(self, now_s: float) -> float:
        """Returns how many more repeats this node may grant now.

        The ratio applies to the peak of the requests: while a service rejects,
        fewer of them are sent, as the chains that fail make no further calls.
        """
        bound = (
            self._ratio * self._requests.peak_total(now_s)
            + self._slack / self.node_count
        )
        own = self._own_repeats.total(now_s)
        others = self._repeats.total(now_s)
        return min(OWN_SHARE * bound, _TOTAL_SHARE * bound - others) - own

    def _lowest_rank(self, now_s: float, left: float) -> int:
        """Returns the lowest rank whose rejected requests are repeated.

        A request that is repeated until it is accepted takes p / (1 - p)
        repeats if the share p of the arrivals is rejected.

        Args:
            now_s: Monotonic time.
            left: Repeats that this node may still grant.
        """
        if now_s - self._rank_at_s < _RANK_INTERVAL_S:
            return self._rank
        self._rank_at_s = now_s
        rejected = min(self.rejected_share, _MAX_REJECTED_SHARE)
        needed = self._requests.rate_per_s(now_s) * rejected / (1 - rejected)
        affordable = left / _SPEND_TIME_S
        if needed <= affordable or not self._recent_ranks:
            self._rank = 0
        else:
            ranks = sorted(self._recent_ranks)
            skipped = len(ranks) * (1 - affordable / needed)
            self._rank = ranks[min(int(skipped), len(ranks) - 1)]
        return self._rank
