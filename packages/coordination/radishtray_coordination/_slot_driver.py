"""Keeps the platform object `keys/<service>` and the key owner in step.

One driver runs for the service of the node's own upstream. Every change is a
conditional put followed by a read, whatever the put answered, so a lost answer
needs no case of its own. Before a put that gives issue times away, the owner
promises to refuse them.

Rate at the target size (4,300 owners, 130 services, 890 restarts a day):
a poll per owner and minute makes 72 reads/s; a renewal per owner and 15 min
adds 4.8 writes/s and 4.8 reads/s; restarts add less than 0.1 writes/s.
docs/measurements/key_slopes.md has the calls of 33 simulated owners. Watches
are not used, because 4,300 waiting watches exceed 2,000 reads/s.
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
"""An interval is extended when this much of the horizon is used: 15 min."""

POLL_S: Final = 60.0
"""Time between reads; a table in which a member gains slots is pushed."""

CALL_TIMEOUT_S: Final = 5.0
"""A platform call without an answer counts as lost after this time."""

LEAVE_TIMEOUT_S: Final = 30.0
"""Longest hand-over at a planned stop while the platform is down."""

_JITTER: Final = 0.2
"""Polls vary by this part of the interval in both directions."""

_SPREAD_S_PER_MEMBER: Final = 0.5
_MAX_SPREAD_S: Final = 30.0
"""4,300 owners that start or rebalance at once make 270 calls/s."""

_FIRST_BACKOFF_S: Final = 0.2
_MAX_BACKOFF_S: Final = 30.0

_RECORDS_PER_MESSAGE: Final = 200
"""Keeps a message near 64 KiB with answers of 300 bytes."""

_LOG = logging.getLogger(__name__)


class StoredObject(Protocol):
    """An object as the platform returned it."""

    @property
    def version(self) -> Any:
        """Differs after every change; says nothing about order."""
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
        """Replaces the object at a version; None creates it."""
        ...


class _Read:
    """One state of the object.

    The version is the table's revision, or -1 if the object does not exist.
    The condition is the platform's version, or None without one.
    """

    __slots__ = ("condition", "table", "version")

    def __init__(
        self, version: int, table: SlotTable, condition: Any = None
    ) -> None:
        self.version = version
        self.table = table
        self.condition = condition


class SlotDriver:
    """Claims, extends, balances and hands over the slots of one service."""

    __slots__ = (
        "_address_bound",
        "_backoff_s",
        "_busy",
        "_clock",
        "_closed",
        "_dead",
        "_is_missing",
        "_is_refreshing",
        "_leaving",
        "_members",
        "_name",
        "_on_table",
        "_owner",
        "_platform",
        "_push_table",
        "_reactor",
        "_read",
        "_rng",
        "_send_records",
        "_service",
        "_timer",
        "_wake_again",
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
        """Connects one service's owner to the platform.

        Args:
            platform: Platform client.
            clock: Wall time of issue times.
            rng: Source of jitter.
            reactor: Timers.
            service: Service of this node's upstream.
            owner: Decides about keys; gets each table.
            members: Returns the serving members of the service.
            is_missing: Whether an error of `get` says that the object does not
                exist.
            send_records: Sends records; the Deferred fires when they are
                acknowledged.
            push_table: Tells a member of a table in which it gained slots.
            on_table: Gets each newer table, for routing.
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
        self._read = _Read(-1, SlotTable())
        self._dead: set[SlotOwner] = set()
        self._timer: IDelayedCall | None = None
        self._backoff_s = _FIRST_BACKOFF_S
        self._busy = False
        self._address_bound = False
        self._wake_again = False
        self._leaving = False
        self._closed = False
        self._is_refreshing = False

    @property
    def table(self) -> SlotTable:
        """The newest table seen."""
        return self._read.table

    @property
    def version(self) -> int:
        """Revision of the newest table seen; -1 before the first."""
        return self._read.version

    def start(self) -> None:
        """Schedules the first read."""
        self._schedule(self._spread())

    def close(self) -> None:
        """Stops all timers; slots stay granted until their horizon."""
        self._closed = True
        self._cancel_timer()

    def members_changed(self) -> None:
        """Rebalances soon if the newest table calls for it."""
        if self._read.version < 0 or self._plan(self._read) != self.table:
            self._schedule(self._spread())

    def refresh(self) -> None:
        """Reads the table soon, because a sender may know a newer one."""
        if self._timer is None or not self._is_refreshing:
            self._is_refreshing = True
            self._schedule(self._spread())

    def proven_dead(self, dead: SlotOwner) -> None:
        """Replaces an owner whose process has ended.

        Args:
            dead: The earlier incarnation; a newer one at the same address
                completed the handshake.
        """
        self._dead.add(dead)
        self._schedule(self._spread())

    def address_bound(self) -> None:
        """Replaces earlier incarnations of this node without a peer's proof.

        Call it after this process has bound the address that belongs to its
        node id. A service with one member has no peer to see the handshake.
        """
        self._address_bound = True

    def receive_table(self, version: int, table: SlotTable) -> None:
        """Uses a table that a peer pushed."""
        self._use(_Read(version, table))

    def leave(self, drained: Deferred[None]) -> Deferred[bool]:
        """Hands over slots, then records, and closes.

        Args:
            drained: Fires when no key runs any more.

        Returns:
            Fires with whether the successors hold the slots and the records.
        """
        self._owner.stop_accepting()
        self._leaving = True
        self._cancel_timer()
        return Deferred.fromCoroutine(self._leave(drained))

    async def _leave(self, drained: Deferred[None]) -> bool:
        deadline = self._clock.monotonic() + LEAVE_TIMEOUT_S
        handed_over = False
        while not handed_over and self._clock.monotonic() < deadline:
            handed_over = await self._settle()
            if not handed_over:
                await self._sleep(self._next_backoff())
        await drained
        sent = handed_over and await self._send_all_records()
        self.close()
        return sent

    async def _settle(self) -> bool:
        """Reads, writes what is due, and reads again.

        Returns:
            Whether the newest table needs no change.
        """
        read = await self._get()
        if read is None:
            return False
        self._use(read)
        planned = self._plan(read)
        if planned == read.table:
            self._backoff_s = _FIRST_BACKOFF_S
            return True
        if not await self._put(read, planned):
            return False
        settled = await self._get()
        if settled is None:
            return False
        self._use(settled)
        if settled.table == planned:
            self._tell_gainers(read.table, settled)
        return self._plan(settled) == settled.table

    def _plan(self, read: _Read) -> SlotTable:
        """Returns the table that should follow; equal if nothing is due."""
        members = self._members()
        me = self._owner.identity
        if self._leaving:
            return hand_over(read.table, me, members, self._highest)
        now_ms = self._clock.wall_ms()
        table = read.table
        for dead in sorted(self._dead | self._predecessors(table)):
            table = replace_dead_owner(table, dead, members, now_ms)
        if me in members:
            table = claim_free_slots(table, me, len(members), now_ms)
            table = rebalance(table, me, members, now_ms, self._highest)
        if table == read.table and not self._renewal_due(table, now_ms):
            return read.table
        return prune(extend_horizon(table, me, now_ms), now_ms)

    def _predecessors(self, table: SlotTable) -> set[SlotOwner]:
        """Returns earlier incarnations of this node that own intervals."""
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

    def _renewal_due(self, table: SlotTable, now_ms: int) -> bool:
        limit = now_ms + HORIZON_MS - RENEWAL_MS
        return any(
            slot
            and slot[-1].owner == self._owner.identity
            and slot[-1].until_ms <= limit
            for slot in table.slots
        )

    def _highest(self, slot: int) -> int:
        return self._owner.highest_accepted(self._service, slot)

    async def _put(self, read: _Read, planned: SlotTable) -> bool:
        """Writes conditionally, after the owner's promise.

        Returns:
            False if the write was not attempted or its answer is no success;
            the next read tells what holds.
        """
        cuts = transfer_boundaries(read.table, planned, self._owner.identity)
        if not self._owner.promise(self._service, read.version, cuts):
            return False
        revision = max(read.version, 0) + 1
        value = encode_slot_table(SlotTable(planned.slots, revision))
        result = await self._call(
            self._platform.put(self._name, value, read.condition)
        )
        return result is not None and result.is_ok()

    async def _get(self) -> _Read | None:
        """Reads the object; None if the platform did not answer."""
        result = await self._call(self._platform.get(self._name))
        if result is None:
            return None
        if result.is_error():
            if not self._is_missing(result.error):
                return None
            # After a deletion, the newest known table still holds the grants.
            return _Read(self._read.version, self._read.table)
        if result.ok.version == self._read.condition:
            return self._read
        decoded = decode_slot_table(result.ok.value)
        if decoded.is_error():
            _LOG.error("%s cannot be read: %s", self._name, decoded.error)
            return None
        table = decoded.ok
        return _Read(table.revision, table, result.ok.version)

    async def _call(
        self, call: Deferred[Result[Any, Any]]
    ) -> Result[Any, Any] | None:
        """Awaits a platform call; None if it failed or took too long."""
        call.addTimeout(CALL_TIMEOUT_S, self._reactor)
        call.addErrback(_log_failure)
        result: Result[Any, Any] | None = await call
        return result

    def _use(self, read: _Read) -> None:
        if read.version <= self._read.version:
            return
        self._read = read
        listed = {i.owner for slot in read.table.slots for i in slot}
        self._dead &= listed
        self._owner.set_table(self._service, read.version, read.table)
        self._on_table(read.version, read.table)

    def _tell_gainers(self, before: SlotTable, now: _Read) -> None:
        for member in self._members():
            gained = now.table.owned_count(member) > before.owned_count(member)
            if gained and member != self._owner.identity:
                self._push_table(member, now.version, now.table)

    async def _send_all_records(self) -> bool:
        """Sends each record to the owner that entry nodes will ask."""
        complete = True
        for slot in range(SLOT_COUNT):
            batches: dict[SlotOwner, list[KeyRecord[Any]]] = {}
            records = self._owner.export_records(self._service, slot)
            for record in records:
                heir = self.table.live_successor(
                    slot, record.key.issued_ms, self._is_successor
                )
                if heir is None:
                    complete = False
                    continue
                batches.setdefault(heir, []).append(record)
            for heir, batch in batches.items():
                complete &= await self._send_batch(heir, slot, batch)
        return complete

    async def _send_batch(
        self, heir: SlotOwner, slot: int, batch: list[KeyRecord[Any]]
    ) -> bool:
        for first in range(0, len(batch), _RECORDS_PER_MESSAGE):
            part = tuple(batch[first : first + _RECORDS_PER_MESSAGE])
            message = KeyRecords(self._service, slot, part)
            try:
                await self._send_records(heir, message)
            except Exception as error:
                # The keys stay refused as unknown at the heir.
                _LOG.warning("records not taken by %s: %s", heir, error)
                return False
        return True

    def _is_successor(self, owner: SlotOwner) -> bool:
        return owner != self._owner.identity and owner in self._members()

    def _schedule(self, delay_s: float) -> None:
        """Wakes at the earlier of the present timer and the delay."""
        if self._closed or self._leaving:
            return
        if self._busy:
            self._wake_again = True
            return
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= self._reactor.seconds() + delay_s:
                return
            self._timer.cancel()
        self._timer = self._reactor.callLater(delay_s, self._wake)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _wake(self) -> None:
        self._busy = True
        self._is_refreshing = False
        Deferred.fromCoroutine(self._settle()).addCallbacks(
            self._woken, self._failed
        )

    def _woken(self, settled: bool) -> None:
        self._busy = False
        if not settled:
            self._schedule(self._next_backoff())
            return
        again, self._wake_again = self._wake_again, False
        jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        self._schedule(self._spread() if again else POLL_S * jitter)

    def _failed(self, failure: Failure) -> None:
        _LOG.error("slot driver of %s: %s", self._name, failure)
        self._woken(False)

    def _spread(self) -> float:
        """Returns a delay that grows with the members acting at once."""
        spread_s = _SPREAD_S_PER_MEMBER * max(len(self._members()), 1)
        return self._rng.uniform(0, min(spread_s, _MAX_SPREAD_S))

    def _next_backoff(self) -> float:
        """Returns a jittered delay and doubles the next one."""
        limit_s = self._backoff_s
        self._backoff_s = min(2 * limit_s, _MAX_BACKOFF_S)
        return self._rng.uniform(limit_s / 2, limit_s)

    def _sleep(self, delay_s: float) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self._reactor.callLater(delay_s, done.callback, None)
        return done


def _log_failure(failure: Failure) -> None:
    _LOG.warning("platform call failed: %s", failure.value)
