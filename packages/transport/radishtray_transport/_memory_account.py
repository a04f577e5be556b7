"""Accounts for the memory of a process that its peers can fill."""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from enum import Enum, IntEnum

SMALL_BODY_BYTES = 64 * 1024
"""Largest body that is admitted as a small one."""

_Resume = Callable[[], None]
# Shares of the memory for requests up to which a holder of each priority is
# admitted. The rest is left to holders of the priorities above it.
_LARGE_SHARE = 0.86
_SMALL_SHARE = 0.92
_STARTED_SHARE = 0.96
# Slow peers are ended from this share on, so that uploads do not have to wait.
_TIGHT_SHARE = 0.75


class MemoryPurpose(Enum):
    """What memory is used for; each has a gauge."""

    CONNECTIONS = "connections"
    """Open connections of callers, without their contents."""

    HEADS = "heads"
    """Heads of requests that are arriving."""

    ARRIVING_BODIES = "arriving_bodies"
    """Requests whose bodies are arriving; admitted ones with their length."""

    REQUESTS = "requests"
    """Complete requests of callers until the response."""

    NODE_CALLS = "node_calls"
    """Calls of other nodes until the answer."""

    NODE_QUEUES = "node_queues"
    """Incomplete frames of other nodes, and unsent calls."""

    NODE_ANSWERS = "node_answers"
    """Unsent answers to other nodes."""

    UNREAD_RESPONSES = "unread_responses"
    """Responses that callers have not read."""

    UPSTREAM_RESPONSES = "upstream_responses"
    """Large responses that are being read from the upstream."""


class MemoryPriority(IntEnum):
    """How much of the memory for requests a holder may fill up."""

    LARGE = 0
    """A body that is longer than `SMALL_BODY_BYTES`."""

    SMALL = 1
    """A body that does not arrive with its head in one read."""

    STARTED = 2
    """What was read before a body is admitted, and heads that are arriving."""

    MINIMAL = 3
    """A request that arrives in one read; it may use all of the memory."""


class _Holding:
    """Memory of one holder."""

    __slots__ = ("priority", "purpose", "size")

    def __init__(
        self, size: int, purpose: MemoryPurpose, priority: MemoryPriority
    ) -> None:
        self.size = size
        self.purpose = purpose
        self.priority = priority


class _Pool:
    """Memory that the holders of some purposes share, and who waits for it."""

    __slots__ = ("ceilings", "large_count", "used_bytes", "waiting")

    def __init__(self, ceilings: dict[MemoryPriority, int]) -> None:
        self.ceilings = ceilings
        self.used_bytes = 0
        self.large_count = 0
        self.waiting: dict[
            MemoryPriority, OrderedDict[Hashable, tuple[_Holding, _Resume]]
        ] = {priority: OrderedDict() for priority in MemoryPriority}


class MemoryAccount:
    """Memory of a process for what its peers send and do not read.

    Responses of the upstream have memory of their own: requests that wait for
    them would otherwise use up what is needed to read them.
    """

    __slots__ = ("_evictable", "_holdings", "_requests", "_responses", "_used")

    def __init__(self, request_bytes: int, response_bytes: int) -> None:
        """Creates an account of which nothing is used.

        Args:
            request_bytes: Bytes for everything but responses of the upstream.
                A single large body that exceeds them is read while there is no
                other.
            response_bytes: Bytes for responses of the upstream.

        Raises:
            ValueError: If a number of bytes is not positive.
        """
        for size in (request_bytes, response_bytes):
            if size <= 0:
                raise ValueError(f"{size} is not a positive number of bytes")
        self._requests = _Pool(
            {
                MemoryPriority.LARGE: int(request_bytes * _LARGE_SHARE),
                MemoryPriority.SMALL: int(request_bytes * _SMALL_SHARE),
                MemoryPriority.STARTED: int(request_bytes * _STARTED_SHARE),
                MemoryPriority.MINIMAL: request_bytes,
            }
        )
        self._responses = _Pool(dict.fromkeys(MemoryPriority, response_bytes))
        self._holdings: dict[Hashable, _Holding] = {}
        self._used = dict.fromkeys(MemoryPurpose, 0)
        # Holders that may be ended, the one without progress for longest first.
        self._evictable: OrderedDict[Hashable, _Resume] = OrderedDict()

    @property
    def used_bytes(self) -> int:
        """Bytes that are in use."""
        return self._requests.used_bytes + self._responses.used_bytes

    @property
    def is_tight(self) -> bool:
        """Whether slow peers should be ended."""
        pool = self._requests
        return (
            any(pool.waiting.values())
            or pool.used_bytes
            > pool.ceilings[MemoryPriority.MINIMAL] * _TIGHT_SHARE
        )

    def used_by_purpose(self) -> dict[MemoryPurpose, int]:
        """Returns the bytes in use for each purpose."""
        return dict(self._used)

    def max_by_purpose(self) -> dict[MemoryPurpose, int]:
        """Returns the bytes that each purpose may use if no other uses any."""
        return {
            purpose: self._pool(purpose).ceilings[MemoryPriority.MINIMAL]
            for purpose in MemoryPurpose
        }

    def _pool(self, purpose: MemoryPurpose) -> _Pool:
        # While answers are unsent, no more large responses are read.
        if purpose in (
            MemoryPurpose.UPSTREAM_RESPONSES,
            MemoryPurpose.NODE_ANSWERS,
        ):
            return self._responses
        return self._requests

    def try_take(
        self,
        holder: Hashable,
        size: int,
        purpose: MemoryPurpose,
        priority: MemoryPriority,
    ) -> bool:
        """Sets the memory of a holder if there is enough.

        Args:
            holder: The holder; what it has counts toward `size`.
            size: Bytes that it will have.
            purpose: What they are used for.
            priority: How much of the memory it may fill up.

        Returns:
            Whether the holder has the memory; otherwise nothing has changed.
        """
        pool = self._pool(purpose)
        known = self._holdings.get(holder)
        held = known.size if known is not None else 0
        others = pool.used_bytes - held
        ceiling = pool.ceilings[priority]
        is_only_large_one = (
            priority is MemoryPriority.LARGE
            and not pool.large_count
            and others <= ceiling
        )
        if others + size > ceiling and size > held and not is_only_large_one:
            return False
        self._set(holder, size, purpose, priority)
        return True

    def take_or_wait(
        self,
        holder: Hashable,
        size: int,
        purpose: MemoryPurpose,
        priority: MemoryPriority,
        resume: Callable[[], None],
    ) -> bool:
        """Sets the memory of a holder, or has it wait for it.

        Holders of one priority are given memory in the order in which they have
        asked for it. A waiting one keeps what it has.

        Args:
            holder: The holder; what it has counts toward `size`.
            size: Bytes that it will have.
            purpose: What they are used for.
            priority: How much of the memory it may fill up.
            resume: Called once a holder that had to wait has the memory.

        Returns:
            Whether the holder has the memory.
        """
        waiting = self._pool(purpose).waiting[priority]
        if not waiting and self.try_take(holder, size, purpose, priority):
            return True
        waiting[holder] = (_Holding(size, purpose, priority), resume)
        return False

    def charge(
        self,
        holder: Hashable,
        size: int,
        purpose: MemoryPurpose,
        evict: Callable[[], None] | None = None,
    ) -> None:
        """Sets the memory of a holder that can't be made to wait.

        Args:
            holder: The holder; what it has is replaced. It keeps its priority.
            size: Bytes that it has.
            purpose: What they are used for.
            evict: Ends the holder, which releases its memory. Holders with this
                function are ended if large bodies would find no memory, the one
                without progress for longest first.
        """
        known = self._holdings.get(holder)
        priority = known.priority if known else MemoryPriority.MINIMAL
        self._set(holder, size, purpose, priority)
        if known is not None and size < known.size:
            self._resume_waiting(self._pool(purpose))
        if evict is None:
            return
        self._evictable[holder] = evict
        pool = self._pool(purpose)
        while (
            pool.used_bytes > pool.ceilings[MemoryPriority.LARGE]
            and self._evictable
        ):
            oldest, end = next(iter(self._evictable.items()))
            self.release(oldest)
            end()

    def stop_waiting(self, holder: Hashable) -> None:
        """Ends the wait of a holder, which keeps what it has."""
        for pool in (self._requests, self._responses):
            for waiting in pool.waiting.values():
                waiting.pop(holder, None)

    def record_progress(self, holder: Hashable) -> None:
        """Makes a holder the last one to be ended."""
        if holder in self._evictable:
            self._evictable.move_to_end(holder)

    def release(self, holder: Hashable) -> None:
        """Gives back the memory of a holder, or ends its wait, if any."""
        self.stop_waiting(holder)
        self._evictable.pop(holder, None)
        self._remove(holder)
        for pool in (self._requests, self._responses):
            self._resume_waiting(pool)

    def _remove(self, holder: Hashable) -> None:
        holding = self._holdings.pop(holder, None)
        if holding is None:
            return
        pool = self._pool(holding.purpose)
        pool.used_bytes -= holding.size
        pool.large_count -= holding.priority is MemoryPriority.LARGE
        self._used[holding.purpose] -= holding.size

    def _set(
        self,
        holder: Hashable,
        size: int,
        purpose: MemoryPurpose,
        priority: MemoryPriority,
    ) -> None:
        self._remove(holder)
        self._holdings[holder] = _Holding(size, purpose, priority)
        pool = self._pool(purpose)
        pool.used_bytes += size
        pool.large_count += priority is MemoryPriority.LARGE
        self._used[purpose] += size

    def _resume_waiting(self, pool: _Pool) -> None:
        """Gives memory to the first ones that wait, small ones before large."""
        for priority in reversed(MemoryPriority):
            waiting = pool.waiting[priority]
            while waiting:
                holder, (wanted, resume) = next(iter(waiting.items()))
                if not self.try_take(
                    holder, wanted.size, wanted.purpose, priority
                ):
                    break
                del waiting[holder]
                resume()
