"""Call chains: the parent request of each call, and the thresholds below it.

A call chain is a request together with the calls that upstreams make to serve
it. The rank of a request is its priority: class * 128 + level.
"""

from radishtray_state._clock import Clock
from radishtray_state._rank_queue import LEVELS_PER_CLASS

# Levels of first requests are below this. The levels above are for calls.
FIRST_LEVELS = 32
# Added to the level of a call, so that chains in progress take precedence over
# new ones: for each hop, and for each earlier call of the same run that was
# served. The less is left of a chain, the fewer repeats it takes to end well.
_HOP_LEVELS = 8
_SERVED_CALL_LEVELS = 20
_ID_SEPARATOR = b"."
_THRESHOLD_TTL_S = 1.0
_DEPENDENCY_TTL_S = 10.0


class ParentRequest:
    """A request that is running on this node's upstream.

    Attributes:
        kind: Kind of the request.
        priority_class: Priority class given to the first request of the chain.
        level: Level given to the first request of the chain.
        is_repeat: Whether the request may have been run before.
        open_calls: Calls made for the request that have no answer yet.
        served_calls: Calls made for the request that were served.
        has_failed_call: Whether such a call was refused or failed.
        waited_s: Time in which such calls were open, without those that are
            open now.
        service_uses: Slot time in microseconds and fill in percent, by scarce
            service, that the answers to its calls stated; None if none did.
    """

    __slots__ = (
        "_waits_since_s",
        "has_failed_call",
        "is_repeat",
        "kind",
        "level",
        "open_calls",
        "priority_class",
        "served_calls",
        "service_uses",
        "waited_s",
    )

    def __init__(
        self, kind: str, priority_class: int, level: int, is_repeat: bool
    ) -> None:
        """Creates the record whose values the request's calls inherit."""
        self.kind = kind
        self.priority_class = priority_class
        self.level = level
        self.is_repeat = is_repeat
        self.open_calls = 0
        self.served_calls = 0
        self.has_failed_call = False
        self.waited_s = 0.0
        self.service_uses: dict[str, tuple[int, int]] | None = None
        self._waits_since_s = 0.0

    def begin_call(self, now_s: float) -> None:
        """Records that a call made for the request has begun.

        Args:
            now_s: Present monotonic time.
        """
        if not self.open_calls:
            self._waits_since_s = now_s
        self.open_calls += 1

    def end_call(self, now_s: float) -> None:
        """Records that a call made for the request has ended.

        Args:
            now_s: Present monotonic time.
        """
        self.open_calls -= 1
        if not self.open_calls:
            self.waited_s += now_s - self._waits_since_s

    @property
    def call_level(self) -> int:
        """Level of the request's next call, in the request's class."""
        level = self.level + _HOP_LEVELS
        level += self.served_calls * _SERVED_CALL_LEVELS
        return min(level, LEVELS_PER_CLASS - 1)

    @property
    def explains_failure(self) -> bool:
        """Whether a failure of the request may be due to one of its calls."""
        return self.has_failed_call or self.open_calls > 0


class CallChains:
    """Finds the parent of a call, and records which kinds call which.

    If an upstream gives its calls hierarchical ids (the parent's id, a dot and
    a suffix), all calls of a chain are admitted by the rank of its first
    request. A call with another id is admitted by a rank of its own.

    The chain threshold of a kind is the lowest rank with which all calls that
    its requests cause are admitted. Each node states it in its answers, so that
    a request whose calls would be refused is refused where the chain begins,
    before any work is done for it.
    """

    __slots__ = (
        "_callees",
        "_clock",
        "_received_thresholds",
        "_running_requests",
    )

    def __init__(self, clock: Clock) -> None:
        """Starts without running requests and known thresholds.

        Args:
            clock: Time source.
        """
        self._clock = clock
        # A resend may run while an earlier run with its id has not ended.
        self._running_requests: dict[bytes, tuple[ParentRequest, ...]] = {}
        self._callees: dict[str, dict[str, float]] = {}
        self._received_thresholds: dict[str, tuple[int, int, float]] = {}

    def __len__(self) -> int:
        """Requests that are running on the upstream."""
        return sum(map(len, self._running_requests.values()))

    def add_request(self, request_id: bytes, request: ParentRequest) -> None:
        """Adds a request that starts to run on the upstream.

        Args:
            request_id: Id of the request.
            request: Values that its calls inherit.
        """
        running = self._running_requests.get(request_id, ())
        self._running_requests[request_id] = (*running, request)

    def remove_request(self, request_id: bytes, request: ParentRequest) -> None:
        """Removes a request that has ended, if it is known.

        Args:
            request_id: Id of the request.
            request: The object that was added; others with the id remain.
        """
        running = self._running_requests.get(request_id, ())
        others = tuple(other for other in running if other is not request)
        if others:
            self._running_requests[request_id] = others
        else:
            self._running_requests.pop(request_id, None)

    def find_parent(self, request_id: bytes, kind: str) -> ParentRequest | None:
        """Returns the running request that makes a call, or None.

        If several run with the parent's id, it is the one that started last.

        Args:
            request_id: Id of the call.
            kind: Kind of the call; recorded as called by the parent's kind.
        """
        parent_id = request_id.rpartition(_ID_SEPARATOR)[0]
        running = self._running_requests.get(parent_id) if parent_id else None
        parent = running[-1] if running else None
        if parent is not None:
            callees = self._callees.setdefault(parent.kind, {})
            callees[kind] = self._clock.monotonic() + _DEPENDENCY_TTL_S
        return parent

    def record_thresholds(
        self, kind: str, threshold: int, chain_threshold: int
    ) -> None:
        """Records the thresholds that an answer to a call stated.

        Args:
            kind: Kind of the call.
            threshold: Lowest rank that the node beside the upstream admits; 0
                if it admits every rank.
            chain_threshold: Lowest rank with which all calls that the called
                upstream makes are admitted.
        """
        if threshold or chain_threshold or kind in self._received_thresholds:
            expires_at = self._clock.monotonic() + _THRESHOLD_TTL_S
            self._received_thresholds[kind] = (
                threshold,
                chain_threshold,
                expires_at,
            )

    def _unexpired_thresholds(self, kind: str) -> tuple[int, int]:
        known = self._received_thresholds.get(kind)
        if known is None or known[2] <= self._clock.monotonic():
            return 0, 0
        return known[0], known[1]

    def received_chain_threshold(self, kind: str) -> int:
        """Returns the chain threshold that the last answer of a kind stated.

        The threshold of the kind's own service is not part of it: it differs
        between nodes, and the selection of a node takes it into account.
        """
        return self._unexpired_thresholds(kind)[1]

    def compute_chain_threshold(self, kind: str) -> int:
        """Returns the chain threshold of a kind that runs on this upstream.

        It is the highest threshold or chain threshold of the kinds that
        requests of this kind have recently called.
        """
        callees = self._callees.get(kind)
        if not callees:
            return 0
        now = self._clock.monotonic()
        return max(
            (
                max(self._unexpired_thresholds(callee))
                for callee, expires_at in callees.items()
                if expires_at > now
            ),
            default=0,
        )
