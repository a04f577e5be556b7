"""Which calls belong to which running requests, and what the calls need."""

from radishtray_state._clock import Clock

_SEPARATOR = b"."
_THRESHOLD_MEMORY_S = 1.0
_DEPENDENCY_MEMORY_S = 10.0


class ChainParent:
    """A request that is running on this node's upstream.

    Attributes:
        kind: Kind of the request.
        priority_class: Class drawn where the chain began.
        level: Level drawn where the chain began.
        is_repeat: Whether the run may repeat an earlier one.
    """

    __slots__ = ("is_repeat", "kind", "level", "priority_class")

    def __init__(
        self, kind: str, priority_class: int, level: int, is_repeat: bool
    ) -> None:
        """Holds what the calls of the request inherit."""
        self.kind = kind
        self.priority_class = priority_class
        self.level = level
        self.is_repeat = is_repeat


class CallChains:
    """Finds the parent of a call, and learns which kinds call which.

    Upstreams whose calls carry hierarchical ids (the parent's id, a dot and a
    part of their own) have all calls of a chain judged by the rank of its
    first request. Calls with other ids are judged on their own.

    The lowest rank that the calls of a kind are admitted with is handed back
    along the chain, so that requests whose calls would be refused are refused
    where they begin, before any work is done for them.
    """

    __slots__ = ("_called", "_clock", "_running", "_thresholds")

    def __init__(self, clock: Clock) -> None:
        """Starts without requests."""
        self._clock = clock
        self._running: dict[bytes, ChainParent] = {}
        self._called: dict[str, dict[str, float]] = {}
        self._thresholds: dict[str, tuple[int, int, float]] = {}

    def __len__(self) -> int:
        """Requests that are running on the upstream."""
        return len(self._running)

    def started(self, request_id: bytes, parent: ChainParent) -> None:
        """Notes a request that begins to run on the upstream."""
        self._running[request_id] = parent

    def ended(self, request_id: bytes) -> None:
        """Forgets a request that has ended."""
        self._running.pop(request_id, None)

    def parent_of(self, request_id: bytes, kind: str) -> ChainParent | None:
        """Returns the running request that a call is made for, or None.

        Args:
            request_id: Id of the call.
            kind: Kind of the call; remembered as called by the parent's kind.
        """
        prefix = request_id.rpartition(_SEPARATOR)[0]
        parent = self._running.get(prefix) if prefix else None
        if parent is not None:
            called = self._called.setdefault(parent.kind, {})
            called[kind] = self._clock.monotonic() + _DEPENDENCY_MEMORY_S
        return parent

    def learned(self, kind: str, own: int, calls: int) -> None:
        """Notes what the last answer to a call of a kind stated.

        Args:
            kind: Kind of the call.
            own: Least rank that the node beside the upstream admits; 0 if
                every rank is admitted.
            calls: Least rank for which all calls further down are admitted.
        """
        if own or calls or kind in self._thresholds:
            until = self._clock.monotonic() + _THRESHOLD_MEMORY_S
            self._thresholds[kind] = (own, calls, until)

    def _known(self, kind: str) -> tuple[int, int]:
        known = self._thresholds.get(kind)
        if known is None or known[2] <= self._clock.monotonic():
            return 0, 0
        return known[0], known[1]

    def threshold(self, kind: str) -> int:
        """Returns the least rank for which the calls of a kind are admitted.

        The threshold of the kind's own service is not part of it: that differs
        from node to node and is known to the choice of a node.
        """
        return self._known(kind)[1]

    def threshold_of_calls(self, kind: str) -> int:
        """Returns the least rank for which all calls of a kind are admitted."""
        called = self._called.get(kind)
        if not called:
            return 0
        now = self._clock.monotonic()
        return max(
            (
                max(self._known(name))
                for name, until in called.items()
                if until > now
            ),
            default=0,
        )
