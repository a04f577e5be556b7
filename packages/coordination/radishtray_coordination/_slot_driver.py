"""Maintains the slot table of a service, the platform object `keys/<service>`.

The table assigns each key slot to node processes, by intervals of the keys'
issue times. Each owner extends its intervals before they end, as with a lease.
One driver runs in each node, for the service of its own upstream.

All drivers of a service update the table with compare-and-set writes
(optimistic concurrency). A read follows every write attempt, whatever its
result, so a lost answer needs no separate handling. Before a write that
transfers issue times to another owner, the key owner promises to refuse keys
with these issue times.

Load at the target size (4,300 owners, 130 services, 890 restarts per day):
a poll per owner and minute makes 72 reads/s; a renewal per owner and 15 min
adds 4.8 writes/s and 4.8 reads/s; restarts add less than 0.1 writes/s.
docs/measurements/key_slopes.md has the calls of 33 simulated owners. The
driver polls instead of watching, because 4,300 pending watches would cause
more than 2,000 reads/s.
"""

import logging
from collections.abc import Callable, Collection
from random import Random
from typing import Any, Final, Protocol

from expression import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.python.failure import Failure

from radishtray_protocol import decode_slot_table, encode_slot_table
from radishtray_state import (
    HORIZON_MS,
    SLOT_COUNT,
    Clock,
    KeyOwner,
    KeyRecord,
    KeyRecords,
    SlotOwner,
    SlotTable,
    claim_free_slots,
    extend_horizon,
    hand_over,
    prune,
    rebalance,
    replace_dead_owner,
    transfer_boundaries,
)

RENEWAL_MS: Final = 900_000
"""An interval is extended once this much of its horizon has passed: 15 min."""

POLL_S: Final = 60.0
"""Time between reads; a push informs a member that gains slots earlier."""

CALL_TIMEOUT_S: Final = 5.0
"""Time after which a platform call without an answer counts as failed."""

LEAVE_TIMEOUT_S: Final = 30.0
"""Time limit of the hand-over at a planned stop if the platform is down."""

_POLL_JITTER: Final = 0.2
"""Fraction of the poll interval by which polls vary in both directions."""

_SPREAD_S_PER_MEMBER: Final = 0.5
_MAX_SPREAD_S: Final = 30.0
"""4,300 owners that start or rebalance together make 270 calls/s then."""

_FIRST_BACKOFF_S: Final = 0.2
_MAX_BACKOFF_S: Final = 30.0

_RECORDS_PER_MESSAGE: Final = 200
"""Keeps a message near 64 KiB if the recorded answers have 300 bytes."""

_LOG = logging.getLogger(__name__)


class StoredObject(Protocol):
    """A platform object, as returned by a read."""

    @property
    def version(self) -> Any:
        """Version, different after every change and without an order."""
        ...

    @property
    def value(self) -> bytes:
        """The content."""
        ...


class ObjectStore(Protocol):
    """The part of the platform client that the driver uses."""

    def get(self, name: str) -> "Deferred[Result[Any, Any]]":
        """Reads a `StoredObject`."""
        ...

    def put(
        self, name: str, value: bytes, version: Any
    ) -> "Deferred[Result[Any, Any]]":
        """Writes if the version still matches; None creates the object."""
        ...


class _TableSnapshot:
    """A slot table as read from the platform or received from a peer.

    Attributes:
        version: Revision that the table carries; -1 before the first table.
        table: The table.
        object_version: Version of the platform object, which a write of the
            next table is conditional on; None if the object does not exist or
            the table came from a peer.
    """

    __slots__ = ("object_version", "table", "version")

    def __init__(
        self, version: int, table: SlotTable, object_version: Any = None
    ) -> None:
        self.version = version
        self.table = table
        self.object_version = object_version


class SlotDriver:
    """Claims, extends, balances and hands over one node's slots."""

    __slots__ = (
        "_address_bound",
        "_backoff_s",
        "_clock",
        "_closed",
        "_dead_owners",
        "_is_missing",
        "_is_refreshing",
        "_leaving",
        "_members",
        "_name",
        "_newest",
        "_on_table",
        "_owner",
        "_platform",
        "_push_table",
        "_reactor",
        "_reconciling",
        "_rng",
        "_send_records",
        "_service",
        "_timer",
        "_wake_after_reconcile",
    )

    def __init__(
        self,
        platform: ObjectStore,
        clock: Clock,
        rng: Random,
        *,
        reactor: IReactorTime,
        service: str,
        owner: KeyOwner[Any],
        members: Callable[[], Collection[SlotOwner]],
        is_missing: Callable[[Any], bool],
        send_records: Callable[[SlotOwner, KeyRecords[Any]], Deferred[Any]],
        push_table: Callable[[SlotOwner, int, SlotTable], None],
        on_table: Callable[[int, SlotTable], None],
    ) -> None:
        """Creates the driver without starting it.

        Args:
            platform: Client of the platform.
            clock: Wall time, in which issue times are given, and monotonic
                time.
            rng: Random source of jitter.
            reactor: Schedules timers.
            service: Service of this node's upstream.
            owner: Accepts or refuses keys by the newest table, which it gets
                from the driver.
            members: Returns the serving members of the service.
            is_missing: Returns whether an error of `get` means that the object
                does not exist.
            send_records: Sends key records to another owner; the Deferred
                fires when they are acknowledged.
            push_table: Sends a table to a member that gained slots in it.
            on_table: Called with the version and content of each newer table,
                for routing.
        """
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._reactor = reactor
        self._service = service
        self._name = f"keys/{service}"
        self._owner = owner
        self._members = members
        self._is_missing = is_missing
        self._send_records = send_records
        self._push_table = push_table
        self._on_table = on_table
        self._newest = _TableSnapshot(-1, SlotTable())
        self._dead_owners: set[SlotOwner] = set()
        self._timer: IDelayedCall | None = None
        self._backoff_s = _FIRST_BACKOFF_S
        self._reconciling = False
        self._address_bound = False
        self._wake_after_reconcile = False
        self._leaving = False
        self._closed = False
        self._is_refreshing = False

    @property
    def table(self) -> SlotTable:
        """The newest table seen."""
        return self._newest.table

    @property
    def version(self) -> int:
        """Revision of the newest table seen; -1 before the first one."""
        return self._newest.version

    def start(self) -> None:
        """Schedules the first read."""
        self._schedule(self._spread_delay_s())

    def close(self) -> None:
        """Stops all timers; the node keeps its slots until they expire."""
        self._closed = True
        self._cancel_timer()

    def members_changed(self) -> None:
        """Schedules an update if the newest table does not fit the members."""
        if (
            self._newest.version < 0
            or self._planned_table(self._newest) != self.table
        ):
            self._schedule(self._spread_delay_s())

    def refresh(self) -> None:
        """Schedules a read, because a peer may have a newer table."""
        if self._timer is None or not self._is_refreshing:
            self._is_refreshing = True
            self._schedule(self._spread_delay_s())

    def replace_dead_owner(self, dead: SlotOwner) -> None:
        """Schedules the transfer of the slots of a process that has ended.

        Args:
            dead: Earlier incarnation of a node. It has ended, since a newer
                incarnation completed the handshake at its address.
        """
        self._dead_owners.add(dead)
        self._schedule(self._spread_delay_s())

    def confirm_address_bound(self) -> None:
        """Lets the driver replace earlier incarnations of its own node.

        Call it after this process has bound the address of its node id, which
        proves that the earlier incarnations have ended. A service with one
        member has no peer that could see a handshake as proof.
        """
        self._address_bound = True

    def receive_table(self, version: int, table: SlotTable) -> None:
        """Adopts a table that a peer pushed, if it is newer."""
        self._adopt(_TableSnapshot(version, table))

    def leave(self, drained: Deferred[None]) -> Deferred[bool]:
        """Hands over the slots, then the key records, and closes the driver.

        Args:
            drained: Fires when no request with a key is running any more.

        Returns:
            Fires with whether the successors have all slots and key records.
        """
        self._owner.stop_accepting()
        self._leaving = True
        self._cancel_timer()
        return Deferred.fromCoroutine(self._leave(drained))

    async def _leave(self, drained: Deferred[None]) -> bool:
        deadline = self._clock.monotonic() + LEAVE_TIMEOUT_S
        handed_over = False
        while not handed_over and self._clock.monotonic() < deadline:
            handed_over = await self._reconcile()
            if not handed_over:
                await self._sleep(self._next_backoff_s())
        await drained
        sent = handed_over and await self._send_all_records()
        self.close()
        return sent

    async def _reconcile(self) -> bool:
        """Reads the table, writes the changes that are due, and reads again.

        Returns:
            Whether the newest table needs no further change.
        """
        snapshot = await self._get()
        if snapshot is None:
            return False
        self._adopt(snapshot)
        planned = self._planned_table(snapshot)
        if planned == snapshot.table:
            self._backoff_s = _FIRST_BACKOFF_S
            return True
        if not await self._put(snapshot, planned):
            return False
        after_write = await self._get()
        if after_write is None:
            return False
        self._adopt(after_write)
        if after_write.table == planned:
            self._push_to_gaining_members(snapshot.table, after_write)
        return self._planned_table(after_write) == after_write.table

    def _planned_table(self, snapshot: _TableSnapshot) -> SlotTable:
        """Returns the table to write next; an equal one if nothing is due."""
        members = self._members()
        me = self._owner.identity
        if self._leaving:
            return hand_over(
                snapshot.table, me, members, self._highest_accepted
            )
        now_ms = self._clock.wall_ms()
        table = snapshot.table
        for dead in sorted(
            self._dead_owners | self._earlier_incarnations(table)
        ):
            table = replace_dead_owner(table, dead, members, now_ms)
        if me in members:
            table = claim_free_slots(table, me, len(members), now_ms)
            table = rebalance(
                table, me, members, now_ms, self._highest_accepted
            )
        if table == snapshot.table and not self._is_renewal_due(table, now_ms):
            return snapshot.table
        return prune(extend_horizon(table, me, now_ms), now_ms)

    def _earlier_incarnations(self, table: SlotTable) -> set[SlotOwner]:
        """Returns earlier incarnations of this node that own intervals.

        The set is empty until `confirm_address_bound` has been called.
        """
        if not self._address_bound:
            return set()
        me = self._owner.identity
        return {
            interval.owner
            for slot in table.slots
            for interval in slot
            if interval.owner_id == me.node_id
            and interval.incarnation < me.incarnation
        }

    def _is_renewal_due(self, table: SlotTable, now_ms: int) -> bool:
        limit = now_ms + HORIZON_MS - RENEWAL_MS
        return any(
            slot
            and slot[-1].owner == self._owner.identity
            and slot[-1].until_ms <= limit
            for slot in table.slots
        )

    def _highest_accepted(self, slot: int) -> int:
        return self._owner.highest_accepted(self._service, slot)

    async def _put(self, snapshot: _TableSnapshot, planned: SlotTable) -> bool:
        """Writes a table after the key owner's promise.

        Returns:
            False if the owner could not promise, or if the write failed or its
            result is unknown; the next read gives the actual table.
        """
        refused_from_ms = transfer_boundaries(
            snapshot.table, planned, self._owner.identity
        )
        if not self._owner.promise(
            self._service, snapshot.version, refused_from_ms
        ):
            return False
        revision = max(snapshot.version, 0) + 1
        value = encode_slot_table(SlotTable(planned.slots, revision))
        result = await self._await_result(
            self._platform.put(self._name, value, snapshot.object_version)
        )
        return result is not None and result.is_ok()

    async def _get(self) -> _TableSnapshot | None:
        """Reads the table; None if it could not be read or decoded."""
        result = await self._await_result(self._platform.get(self._name))
        if result is None:
            return None
        if result.is_error():
            if not self._is_missing(result.error):
                return None
            # Even if the object was deleted, the intervals of the newest known
            # table stay granted, so the next table is based on that table.
            return _TableSnapshot(self._newest.version, self._newest.table)
        if result.ok.version == self._newest.object_version:
            return self._newest
        decoded = decode_slot_table(result.ok.value)
        if decoded.is_error():
            _LOG.error(
                "slot table %s cannot be decoded; retrying: %s",
                self._name,
                decoded.error,
            )
            return None
        table = decoded.ok
        return _TableSnapshot(table.revision, table, result.ok.version)

    async def _await_result(
        self, pending: Deferred[Result[Any, Any]]
    ) -> Result[Any, Any] | None:
        """Awaits a platform call; None if it failed or timed out."""
        pending.addTimeout(CALL_TIMEOUT_S, self._reactor)
        pending.addErrback(_log_failure)
        result: Result[Any, Any] | None = await pending
        return result

    def _adopt(self, snapshot: _TableSnapshot) -> None:
        if snapshot.version <= self._newest.version:
            return
        self._newest = snapshot
        listed = {
            interval.owner for slot in snapshot.table.slots for interval in slot
        }
        self._dead_owners &= listed
        self._owner.set_table(self._service, snapshot.version, snapshot.table)
        self._on_table(snapshot.version, snapshot.table)

    def _push_to_gaining_members(
        self, before: SlotTable, after: _TableSnapshot
    ) -> None:
        for member in self._members():
            gained = after.table.owned_count(member) > before.owned_count(
                member
            )
            if gained and member != self._owner.identity:
                self._push_table(member, after.version, after.table)

    async def _send_all_records(self) -> bool:
        """Sends each key record to the owner that entry nodes will ask.

        Returns:
            Whether every record had a successor that acknowledged it.
        """
        complete = True
        for slot in range(SLOT_COUNT):
            batches: dict[SlotOwner, list[KeyRecord[Any]]] = {}
            records = self._owner.export_records(self._service, slot)
            for record in records:
                successor = self.table.live_successor(
                    slot, record.key.issued_ms, self._is_successor
                )
                if successor is None:
                    complete = False
                    continue
                batches.setdefault(successor, []).append(record)
            for successor, batch in batches.items():
                complete &= await self._send_batch(successor, slot, batch)
        return complete

    async def _send_batch(
        self, successor: SlotOwner, slot: int, batch: list[KeyRecord[Any]]
    ) -> bool:
        for start in range(0, len(batch), _RECORDS_PER_MESSAGE):
            part = tuple(batch[start : start + _RECORDS_PER_MESSAGE])
            message = KeyRecords(self._service, slot, part)
            try:
                await self._send_records(successor, message)
            except Exception as error:
                # The successor goes on to refuse the keys as unknown.
                _LOG.warning(
                    "key records were not accepted by %s, "
                    "which will refuse their keys as unknown: %s",
                    successor,
                    error,
                )
                return False
        return True

    def _is_successor(self, owner: SlotOwner) -> bool:
        return owner != self._owner.identity and owner in self._members()

    def _schedule(self, delay_s: float) -> None:
        """Schedules an update unless one is scheduled earlier."""
        if self._closed or self._leaving:
            return
        if self._reconciling:
            self._wake_after_reconcile = True
            return
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= self._reactor.seconds() + delay_s:
                return
            self._timer.cancel()
        self._timer = self._reactor.callLater(delay_s, self._start_reconcile)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _start_reconcile(self) -> None:
        self._reconciling = True
        self._is_refreshing = False
        Deferred.fromCoroutine(self._reconcile()).addCallbacks(
            self._reconcile_finished, self._reconcile_failed
        )

    def _reconcile_finished(self, up_to_date: bool) -> None:
        self._reconciling = False
        if not up_to_date:
            self._schedule(self._next_backoff_s())
            return
        wake_again, self._wake_after_reconcile = (
            self._wake_after_reconcile,
            False,
        )
        jitter = self._rng.uniform(1 - _POLL_JITTER, 1 + _POLL_JITTER)
        self._schedule(
            self._spread_delay_s() if wake_again else POLL_S * jitter
        )

    def _reconcile_failed(self, failure: Failure) -> None:
        _LOG.error(
            "unexpected error while updating slot table %s; retrying: %s",
            self._name,
            failure,
        )
        self._reconcile_finished(False)

    def _spread_delay_s(self) -> float:
        """Returns a random delay, whose bound grows with the member count."""
        spread_s = _SPREAD_S_PER_MEMBER * max(len(self._members()), 1)
        return self._rng.uniform(0, min(spread_s, _MAX_SPREAD_S))

    def _next_backoff_s(self) -> float:
        """Returns a jittered delay and doubles the bound of the next one."""
        bound_s = self._backoff_s
        self._backoff_s = min(2 * bound_s, _MAX_BACKOFF_S)
        return self._rng.uniform(bound_s / 2, bound_s)

    def _sleep(self, delay_s: float) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self._reactor.callLater(delay_s, done.callback, None)
        return done


def _log_failure(failure: Failure) -> None:
    _LOG.warning("platform call failed or timed out: %s", failure.value)
