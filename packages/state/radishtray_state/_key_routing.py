"""The entry node's side of at-most-once requests.

The router chooses the owner to forward a key to and, when no owner can answer,
decides between a truthful `not_run` with a fresh key and an unknown outcome.
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
"""Remembered keys; 5 min of the 163 calls/s of one node at the target size."""

_RETRY_KEY_TRIES: Final = 4 * SLOT_COUNT
"""Finds the only live slot with probability 0.98; a try takes about 6 us."""


class KeyForward:
    """Forward the request to an owner."""

    __slots__ = ("owner", "pristine", "refreshed")

    def __init__(
        self, owner: SlotOwner, pristine: bool, refreshed: bool
    ) -> None:
        """Takes the destination.

        Args:
            owner: The process that decides about the key.
            pristine: Declared `first` and never forwarded before this send.
            refreshed: The table was refreshed for this send.
        """
        self.owner = owner
        self.pristine = pristine
        self.refreshed = refreshed


class KeyRefresh:
    """Refresh the service's table, then call `route_again`."""

    __slots__ = ("pristine",)

    def __init__(self, pristine: bool) -> None:
        """Takes the state of the send.

        Args:
            pristine: Declared `first` and never forwarded before this send.
        """
        self.pristine = pristine


class KeyRefusal:
    """Refuse the request."""

    __slots__ = ("reason", "retry_key")

    def __init__(
        self, reason: RefusalReason, retry_key: RequestKey | None = None
    ) -> None:
        """Takes the refusal.

        Args:
            reason: Why the key cannot be decided.
            retry_key: A fresh key for `Radishtray-Retry-Key`; only with a
                `not_run` reason.
        """
        self.reason = reason
        self.retry_key = retry_key


KeyRoute = KeyForward | KeyRefresh | KeyRefusal


class KeyRouter:
    """Cached slot tables and the keys that this node has forwarded."""

    __slots__ = (
        "_alive",
        "_clock",
        "_forwarded_before_ms",
        "_max_forwarded",
        "_rng",
        "_sends",
        "_tables",
    )

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        alive: Callable[[SlotOwner], bool],
        max_forwarded: int = MAX_FORWARDED_KEYS,
    ) -> None:
        """Starts without tables.

        Args:
            clock: Wall time of fresh keys.
            rng: Source of fresh keys.
            alive: Whether a process is believed to answer; a wrong belief
                costs availability only.
            max_forwarded: Keys to remember.

        Raises:
            ValueError: If max_forwarded is not positive.
        """
        if max_forwarded <= 0:
            raise ValueError(f"max_forwarded is {max_forwarded}")
        self._clock = clock
        self._rng = rng
        self._alive = alive
        self._max_forwarded = max_forwarded
        self._tables: dict[str, tuple[int, SlotTable]] = {}
        self._sends: OrderedDict[bytes, _Sends] = OrderedDict()
        # An earlier process at this address may have forwarded any key that an
        # owner could accept until now.
        self._forwarded_before_ms = clock.wall_ms() + REPLACEMENT_MARGIN_MS

    def set_table(self, service: str, version: int, table: SlotTable) -> bool:
        """Uses a newer table; an older or equal one is ignored."""
        if version <= self.version(service):
            return False
        self._tables[service] = (version, table)
        return True

    def version(self, service: str) -> int:
        """Returns the version of the cached table, or -1."""
        return self._tables.get(service, (-1, None))[0]

    def route(
        self, service: str, key: RequestKey, declared_first: bool
    ) -> KeyRoute:
        """Decides about a send that has not been forwarded.

        Args:
            service: Service of the request.
            key: Its key.
            declared_first: The caller sent `Radishtray-Send: first`.

        Returns:
            Where to forward it, a request to refresh the table, or a refusal.
        """
        first_here = self._remember(key)
        pristine = declared_first and first_here
        owner = self.owner(service, key)
        if owner is None:
            return KeyRefresh(pristine)
        return KeyForward(owner, pristine, refreshed=False)

    def route_again(
        self, service: str, key: RequestKey, pristine: bool
    ) -> KeyRoute:
        """Decides after the one refresh of the table.

        Args:
            service: Service of the request.
            key: Its key.
            pristine: From the earlier decision about this send.

        Returns:
            Where to forward it, or a refusal.
        """
        owner = self.owner(service, key)
        if owner is None:
            return self._refuse(service, key, pristine)
        return KeyForward(owner, pristine, refreshed=True)

    def not_taken(
        self, service: str, key: RequestKey, sent: KeyForward
    ) -> KeyRoute:
        """Decides after the owner confirmed that it did not run the send.

        This covers `key_not_owned` and `draining`, as well as an attempt that
        never arrived.

        Args:
            service: Service of the request.
            key: Its key.
            sent: The forward that was not taken.

        Returns:
            A request to refresh the table, or a refusal.
        """
        if not sent.refreshed:
            return KeyRefresh(sent.pristine)
        return self._refuse(service, key, sent.pristine)

    def lost(self) -> KeyRefusal:
        """Decides after a forwarded send whose fate is not known."""
        return KeyRefusal(RefusalReason.NODE_LOST)

    def retry_key(self, service: str) -> RequestKey | None:
        """Returns a fresh key that a live owner would accept, if any.

        It may replace a caller's key only. A derived key must not be replaced:
        another attempt of the parent derives the old one again.
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
            if interval is not None and self._alive(interval.owner)
        }

    def _table(self, service: str) -> SlotTable | None:
        cached = self._tables.get(service)
        return None if cached is None else cached[1]

    def owner(self, service: str, key: RequestKey) -> SlotOwner | None:
        """Returns the live process that answers for the key."""
        table = self._table(service)
        if table is None:
            return None
        interval = table.interval_of(key.slot, key.issued_ms)
        if interval is None:
            return None
        if self._alive(interval.owner):
            return interval.owner
        return table.heir(key.slot, key.issued_ms, self._alive)

    def _remember(self, key: RequestKey) -> bool:
        """Notes a send before it can leave this node.

        Returns:
            Whether no earlier send of the key can have left this node.
        """
        sends = self._sends.get(key.raw)
        if sends is not None:
            sends.count += 1
            return False
        self._sends[key.raw] = _Sends(key.issued_ms)
        if len(self._sends) > self._max_forwarded:
            _, oldest = self._sends.popitem(last=False)
            self._forwarded_before_ms = max(
                self._forwarded_before_ms, oldest.issued_ms + 1
            )
        return key.issued_ms >= self._forwarded_before_ms

    def _refuse(
        self, service: str, key: RequestKey, pristine: bool
    ) -> KeyRefusal:
        sends = self._sends.get(key.raw)
        # Another send of the key may have left this node in the meantime.
        if pristine and sends is not None and sends.count == 1:
            del self._sends[key.raw]
            reason = RefusalReason.KEY_OWNER_SILENT
            return KeyRefusal(reason, self.retry_key(service))
        table = self._table(service)
        if table is not None and _is_pruned(table, key):
            return KeyRefusal(RefusalReason.KEY_EXPIRED)
        return KeyRefusal(RefusalReason.KEY_OWNER_GONE)


class _Sends:
    """Sends of one key through this node."""

    __slots__ = ("count", "issued_ms")

    def __init__(self, issued_ms: int) -> None:
        self.issued_ms = issued_ms
        self.count = 1


def _is_pruned(table: SlotTable, key: RequestKey) -> bool:
    """Whether the key was issued before the slot's first listed interval."""
    intervals = table.slots[key.slot]
    return bool(intervals) and key.issued_ms < intervals[0].from_ms
