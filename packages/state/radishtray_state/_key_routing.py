"""Routing of at-most-once requests at the node that a caller sends them to.

The router chooses the slot owner to forward a request to. If no owner can
answer, it refuses the request: as `not_run`, possibly with a fresh key, if it
is certain that no request with the key has left this node, and with an unknown
outcome otherwise.
"""

from collections import OrderedDict
from collections.abc import Callable
from random import Random
from typing import Final

from radishtray_state._clock import Clock
from radishtray_state._key_slots import (
    REPLACEMENT_MARGIN_MS,
    SlotOwner,
    SlotTable,
)
from radishtray_state._refusal import RefusalReason
from radishtray_state._request_key import SLOT_COUNT, RequestKey

MAX_FORWARDED_KEYS: Final = 50_000
"""Number of forwarded keys that the router keeps.

This covers 5 min of the 163 calls/s that one node handles at the target size.
"""

_RETRY_KEY_TRIES: Final = 4 * SLOT_COUNT
"""Keys generated in search of one in a slot with a live owner.

If only one slot has a live owner, one of them falls into it with probability
0.98. Generating a key takes about 6 us.
"""


class KeyForward:
    """Decision to forward the request to a slot owner."""

    __slots__ = ("is_first_send", "owner", "refreshed")

    def __init__(
        self, owner: SlotOwner, is_first_send: bool, refreshed: bool
    ) -> None:
        """Creates the decision.

        Args:
            owner: The process that decides whether the key may run.
            is_first_send: Whether the caller declared the request as `first`
                and this node has not forwarded the key before.
            refreshed: Whether the table was refreshed for this request.
        """
        self.owner = owner
        self.is_first_send = is_first_send
        self.refreshed = refreshed


class KeyRefresh:
    """Decision to refresh the table and call `route_after_refresh`."""

    __slots__ = ("is_first_send",)

    def __init__(self, is_first_send: bool) -> None:
        """Creates the decision.

        Args:
            is_first_send: As in `KeyForward`.
        """
        self.is_first_send = is_first_send


class KeyRefusal:
    """Decision to refuse the request."""

    __slots__ = ("reason", "retry_key")

    def __init__(
        self, reason: RefusalReason, retry_key: RequestKey | None = None
    ) -> None:
        """Creates the decision.

        Args:
            reason: The refusal reason.
            retry_key: A fresh key for `Radishtray-Retry-Key`; only with a
                `not_run` reason.
        """
        self.reason = reason
        self.retry_key = retry_key


KeyRoute = KeyForward | KeyRefresh | KeyRefusal


class KeyRouter:
    """Routes keys by cached slot tables and records those forwarded."""

    __slots__ = (
        "_clock",
        "_is_alive",
        "_max_forwarded",
        "_maybe_forwarded_before_ms",
        "_rng",
        "_send_counts",
        "_tables",
    )

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        is_alive: Callable[[SlotOwner], bool],
        max_forwarded: int = MAX_FORWARDED_KEYS,
    ) -> None:
        """Creates a router without tables.

        Args:
            clock: Source of the issue times of fresh keys.
            rng: Source of the random bits of fresh keys.
            is_alive: Returns whether a process is expected to answer. A wrong
                result reduces availability but cannot make a key run twice.
            max_forwarded: Number of forwarded keys to keep.

        Raises:
            ValueError: If max_forwarded is not positive.
        """
        if max_forwarded <= 0:
            raise ValueError(
                f"max_forwarded must be positive, not {max_forwarded}"
            )
        self._clock = clock
        self._rng = rng
        self._is_alive = is_alive
        self._max_forwarded = max_forwarded
        self._tables: dict[str, tuple[int, SlotTable]] = {}
        self._send_counts: OrderedDict[bytes, _SendCount] = OrderedDict()
        # An earlier process of this node may have forwarded any key that an
        # owner could have accepted by now.
        self._maybe_forwarded_before_ms = (
            clock.wall_ms() + REPLACEMENT_MARGIN_MS
        )

    def set_table(self, service: str, version: int, table: SlotTable) -> bool:
        """Caches a table unless one of the same or a later version is known.

        Returns:
            Whether the table was cached.
        """
        if version <= self.version(service):
            return False
        self._tables[service] = (version, table)
        return True

    def is_settled(self, service: str, key: RequestKey) -> bool:
        """Returns whether the cached table decides about the key.

        It does not if it names no owner for the key, because it may be older
        than the owner, nor if there is none. The owner may be dead, and the
        interval of an old key may have been pruned.
        """
        table = self._table(service)
        return table is not None and (
            table.interval_of(key.slot, key.issued_ms) is not None
            or _is_pruned(table, key)
        )

    def version(self, service: str) -> int:
        """Returns the version of the cached table, or -1 if there is none."""
        return self._tables.get(service, (-1, None))[0]

    def route(
        self, service: str, key: RequestKey, declared_first: bool
    ) -> KeyRoute:
        """Routes a request that has not been forwarded yet.

        Args:
            service: Service of the request.
            key: Key of the request.
            declared_first: Whether the caller sent `Radishtray-Send: first`.

        Returns:
            Where to forward the request, or a refresh of the table.
        """
        is_first_here = self._record_send(key)
        is_first_send = declared_first and is_first_here
        owner = self.owner(service, key)
        if owner is None:
            return KeyRefresh(is_first_send)
        return KeyForward(owner, is_first_send, refreshed=False)

    def route_after_refresh(
        self, service: str, key: RequestKey, is_first_send: bool
    ) -> KeyRoute:
        """Routes a request after the table was refreshed once.

        Args:
            service: Service of the request.
            key: Key of the request.
            is_first_send: Value of the earlier decision about this request.

        Returns:
            Where to forward the request, or a refusal.
        """
        owner = self.owner(service, key)
        if owner is None:
            return self._refuse(service, key, is_first_send)
        return KeyForward(owner, is_first_send, refreshed=True)

    def route_after_not_run(
        self, service: str, key: RequestKey, sent: KeyForward
    ) -> KeyRoute:
        """Decides after a forwarded request certainly did not run.

        The owner refused it as `key_not_owned` or `draining`, or the attempt
        never arrived.

        Args:
            service: Service of the request.
            key: Key of the request.
            sent: The decision by which the request was forwarded.

        Returns:
            A refresh of the table, or a refusal.
        """
        if not sent.refreshed:
            return KeyRefresh(sent.is_first_send)
        return self._refuse(service, key, sent.is_first_send)

    def lost(self) -> KeyRefusal:
        """Returns the refusal for a forwarded request of unknown outcome."""
        return KeyRefusal(RefusalReason.NODE_LOST)

    def retry_key(self, service: str) -> RequestKey | None:
        """Returns a fresh key in a slot with a live owner, or None.

        It may replace only a key that the caller chose. A derived key must not
        be replaced, because another attempt of the parent request derives the
        old key again.
        """
        table = self._table(service)
        if table is None:
            return None
        live = self._live_slots(table)
        for _ in range(_RETRY_KEY_TRIES if live else 0):
            key = RequestKey.generate(self._clock, self._rng)
            if key.slot in live:
                return key
        return None

    def _live_slots(self, table: SlotTable) -> set[int]:
        """Returns the slots where a key issued now has a live owner."""
        now_ms = self._clock.wall_ms()
        intervals = (
            (slot, table.interval_of(slot, now_ms))
            for slot in range(SLOT_COUNT)
        )
        return {
            slot
            for slot, interval in intervals
            if interval is not None and self._is_alive(interval.owner)
        }

    def _table(self, service: str) -> SlotTable | None:
        cached = self._tables.get(service)
        return None if cached is None else cached[1]

    def owner(self, service: str, key: RequestKey) -> SlotOwner | None:
        """Returns the live process that decides about the key, or None.

        This is the owner of the key's interval or, if that is not alive, the
        successor that may have its records.
        """
        table = self._table(service)
        if table is None:
            return None
        interval = table.interval_of(key.slot, key.issued_ms)
        if interval is None:
            return None
        if self._is_alive(interval.owner):
            return interval.owner
        return table.live_successor(key.slot, key.issued_ms, self._is_alive)

    def _record_send(self, key: RequestKey) -> bool:
        """Counts a request with the key before it can leave this node.

        Returns:
            Whether no earlier request with the key can have left this node.
        """
        sends = self._send_counts.get(key.raw)
        if sends is not None:
            sends.count += 1
            return False
        self._send_counts[key.raw] = _SendCount(key.issued_ms)
        if len(self._send_counts) > self._max_forwarded:
            _, oldest = self._send_counts.popitem(last=False)
            self._maybe_forwarded_before_ms = max(
                self._maybe_forwarded_before_ms, oldest.issued_ms + 1
            )
        return key.issued_ms >= self._maybe_forwarded_before_ms

    def _refuse(
        self, service: str, key: RequestKey, is_first_send: bool
    ) -> KeyRefusal:
        sends = self._send_counts.get(key.raw)
        # Another request with the key may have left this node since the first
        # decision, or its record may have been evicted.
        if is_first_send and sends is not None and sends.count == 1:
            del self._send_counts[key.raw]
            reason = RefusalReason.KEY_OWNER_SILENT
            return KeyRefusal(reason, self.retry_key(service))
        table = self._table(service)
        if table is not None and _is_pruned(table, key):
            return KeyRefusal(RefusalReason.KEY_EXPIRED)
        return KeyRefusal(RefusalReason.KEY_OWNER_GONE)


class _SendCount:
    """Number of requests with one key that this node has routed."""

    __slots__ = ("count", "issued_ms")

    def __init__(self, issued_ms: int) -> None:
        self.issued_ms = issued_ms
        self.count = 1


def _is_pruned(table: SlotTable, key: RequestKey) -> bool:
    """Whether the key is older than the slot's first interval in the table.

    If the key had an interval, `prune` has removed it.
    """
    intervals = table.slots[key.slot]
    return bool(intervals) and key.issued_ms < intervals[0].from_ms
