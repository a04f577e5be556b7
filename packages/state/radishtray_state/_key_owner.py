"""At-most-once execution: the idempotency records of one slot owner.

A key may run if its issue time lies in an interval granted to this process.
An issue time that this process may have accepted never moves to another owner,
and the record is made before `offer` returns. A pause of the process between
the decision and the dispatch therefore cannot make a key run twice.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Final, Generic

from radishtray_state._clock import Clock
from radishtray_state._key_records import (
    NO_BOUNDARY_MS,
    RECORD_OVERHEAD_BYTES,
    AnswerT,
    KeyBounds,
    KeyDecision,
    KeyRecord,
    KeyVerdict,
    OwnedRecord,
    OwnedService,
    OwnedSlot,
    RecordState,
)
from radishtray_state._key_slots import SlotOwner, SlotTable
from radishtray_state._refusal import RefusalReason
from radishtray_state._request_key import SLOT_COUNT, RequestKey

_EXPIRIES_PER_OFFER: Final = 2
"""Expired records removed per offer.

An offer adds at most one record, so with two the backlog shrinks.
"""


class KeyOwner(Generic[AnswerT]):
    """Decides whether this process may run a key, and records its outcome."""

    __slots__ = (
        "_answer_size",
        "_bounds",
        "_clock",
        "_finished",
        "_identity",
        "_is_stopped",
        "_join_decision",
        "_low_water_ms",
        "_record_bytes",
        "_refused_decisions",
        "_run_decision",
        "_running",
        "_services",
    )

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        clock: Clock,
        bounds: KeyBounds | None = None,
        answer_size: Callable[[AnswerT], int] | None = None,
    ) -> None:
        """Creates an owner without tables, which refuses every key.

        Args:
            node_id: Identity of this node.
            incarnation: Incarnation of this process.
            clock: Wall time for issue times, monotonic time for retention.
            bounds: Limits of the records; the defaults fit one node.
            answer_size: Returns the size of an answer in bytes. If absent,
                answers count as zero bytes.
        """
        self._identity = SlotOwner(node_id, incarnation)
        self._clock = clock
        self._bounds = bounds or KeyBounds()
        self._answer_size = answer_size or _zero_size
        self._services: dict[str, OwnedService[AnswerT]] = {}
        self._running: dict[bytes, OwnedRecord[AnswerT]] = {}
        self._finished: deque[OwnedRecord[AnswerT]] = deque()
        self._record_bytes = 0
        self._low_water_ms = 0
        self._is_stopped = False
        self._run_decision: KeyDecision[AnswerT] = KeyDecision(KeyVerdict.RUN)
        self._join_decision: KeyDecision[AnswerT] = KeyDecision(KeyVerdict.JOIN)
        self._refused_decisions: dict[RefusalReason, KeyDecision[AnswerT]] = {
            reason: KeyDecision(KeyVerdict.REFUSED, reason=reason)
            for reason in RefusalReason
        }

    @property
    def identity(self) -> SlotOwner:
        """Node id and incarnation of this process."""
        return self._identity

    @property
    def record_count(self) -> int:
        """Number of running and finished records of all services."""
        return len(self._running) + len(self._finished)

    @property
    def record_bytes(self) -> int:
        """Estimated memory of all records, in bytes."""
        return self._record_bytes

    @property
    def low_water_ms(self) -> int:
        """Issue time below which a key without a record is `key_expired`.

        The record of such a key may have been evicted.
        """
        return self._low_water_ms

    @property
    def running_count(self) -> int:
        """Number of keys that are running."""
        return len(self._running)

    def set_table(self, service: str, version: int, table: SlotTable) -> bool:
        """Applies a table unless one of the same or a later version is known.

        Args:
            service: Service name.
            version: Version of the platform object.
            table: The table at that version.

        Returns:
            Whether the table was applied.
        """
        state = self._service_state(service)
        if version <= state.table_version:
            return False
        state.table_version = version
        # A version after the promise's base version ends the promise: its
        # conditional write is part of this table or can no longer succeed.
        is_promise_over = version > state.promise_version
        for slot, intervals in zip(state.slots, table.slots, strict=True):
            slot.intervals = tuple(
                (i.from_ms, i.until_ms)
                for i in intervals
                if i.owner_id == self._identity.node_id
                and i.incarnation == self._identity.incarnation
            )
            if is_promise_over:
                slot.refused_from_ms = NO_BOUNDARY_MS
        return True

    def promise(
        self, service: str, base_version: int, boundaries: Mapping[int, int]
    ) -> bool:
        """Promises to refuse issue times that a planned write gives away.

        The promise is made before the write and holds until a table newer than
        `base_version` is set, because the write may take effect even if its
        response is lost.

        Args:
            service: Service name.
            base_version: Version that the write is conditional on.
            boundaries: First refused issue time of each slot.

        Returns:
            False, without effect, if a key at or after a boundary has already
            been accepted.
        """
        state = self._service_state(service)
        for number, boundary_ms in boundaries.items():
            if state.slots[number].highest_accepted_ms >= boundary_ms:
                return False
        state.promise_version = max(state.promise_version, base_version)
        for number, boundary_ms in boundaries.items():
            slot = state.slots[number]
            slot.refused_from_ms = min(slot.refused_from_ms, boundary_ms)
        return True

    def offer(
        self, service: str, key: RequestKey, digest: bytes
    ) -> KeyDecision[AnswerT]:
        """Decides about one request and, for `RUN`, records the key as running.

        Args:
            service: Service of the request.
            key: The caller's or a derived key.
            digest: Digest of service, method, path and body.

        Returns:
            The decision.
        """
        state = self._services.get(service)
        if state is None:
            return self._refused_decisions[RefusalReason.KEY_NOT_OWNED]
        slot = state.slots[key.slot]
        record = slot.records.get(key.raw)
        if record is not None:
            return self._recorded(record, digest)
        reason = self._refusal_reason(slot, key)
        if reason is not None:
            return self._refused_decisions[reason]
        record = OwnedRecord(slot, key, digest)
        slot.records[record.raw] = record
        self._running[record.raw] = record
        self._record_bytes += record.size_bytes
        slot.highest_accepted_ms = max(
            slot.highest_accepted_ms, record.issued_ms
        )
        return self._run_decision

    def finish(self, key: RequestKey, answer: AnswerT) -> bool:
        """Records the complete answer of a run.

        Args:
            key: The key that ran.
            answer: The answer that later requests with this key receive.

        Returns:
            False if the key is not running, for example because its outcome
            was already recorded as unknown.
        """
        record = self._running.pop(key.raw, None)
        if record is None:
            return False
        self._mark_finished(record, answer)
        self._evict_until_fits(0)
        return True

    def unknown(self, key: RequestKey) -> bool:
        """Records that the outcome of a run is unknown.

        Args:
            key: The key that ran.

        Returns:
            False if the key is not running.
        """
        record = self._running.pop(key.raw, None)
        if record is None:
            return False
        self._mark_finished(record, None)
        return True

    def not_run(self, key: RequestKey) -> bool:
        """Removes the record of a key that was refused before it ran.

        Args:
            key: The key that did not run; a later request with it may run.

        Returns:
            False if the key is not running.
        """
        record = self._running.pop(key.raw, None)
        if record is None:
            return False
        del record.slot.records[record.raw]
        self._record_bytes -= record.size_bytes
        return True

    def highest_accepted(self, service: str, slot: int) -> int:
        """Returns the highest issue time accepted in a slot, or -1 if none."""
        state = self._services.get(service)
        return -1 if state is None else state.slots[slot].highest_accepted_ms

    def stop_accepting(self) -> None:
        """Refuses new keys from now on; recorded keys still get answers."""
        self._is_stopped = True

    def export_records(
        self, service: str, slot: int
    ) -> tuple[KeyRecord[AnswerT], ...]:
        """Returns a slot's records; running ones carry no answer.

        The successor treats a record without an answer as an unknown outcome.
        """
        state = self._services.get(service)
        if state is None:
            return ()
        return tuple(
            KeyRecord(RequestKey(record.raw), record.digest, record.answer)
            for record in state.slots[slot].records.values()
        )

    def import_records(
        self,
        service: str,
        slot: int,
        records: Iterable[KeyRecord[AnswerT]],
    ) -> int:
        """Imports records that a leaving owner exported.

        If the limits are reached, the remaining records are dropped. That is
        safe: their keys lie in no interval of this process, so it refuses
        them.

        Args:
            service: Service name.
            slot: Slot number.
            records: Records exported by the leaving owner.

        Returns:
            The number of records imported.
        """
        owned_slot = self._service_state(service).slots[slot]
        imported = 0
        for exported in records:
            if (
                exported.key.slot != slot
                or exported.key.raw in owned_slot.records
            ):
                continue
            if not self._evict_until_fits(1):
                break
            record = OwnedRecord(owned_slot, exported.key, exported.digest)
            owned_slot.records[record.raw] = record
            self._record_bytes += record.size_bytes
            self._mark_finished(record, exported.answer)
            imported += 1
        return imported

    def expire(self, limit: int = SLOT_COUNT) -> int:
        """Removes finished records older than the retention.

        Args:
            limit: Maximum number of records to remove in this call.

        Returns:
            The number of records removed.
        """
        finished_before = self._clock.monotonic() - self._bounds.retention_s
        return self._evict(finished_before, limit)

    def _service_state(self, service: str) -> OwnedService[AnswerT]:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = OwnedService()
        return state

    def _recorded(
        self, record: OwnedRecord[AnswerT], digest: bytes
    ) -> KeyDecision[AnswerT]:
        if record.digest != digest:
            return self._refused_decisions[RefusalReason.KEY_REUSED]
        if record.state is RecordState.RUNNING:
            return self._join_decision
        if record.state is RecordState.DONE:
            return KeyDecision(KeyVerdict.ANSWERED, record.answer)
        return self._refused_decisions[RefusalReason.KEY_UNKNOWN]

    def _refusal_reason(
        self, slot: OwnedSlot[AnswerT], key: RequestKey
    ) -> RefusalReason | None:
        """Returns why a key without a record may not run, or None."""
        if not self._owns(slot, key.issued_ms):
            return RefusalReason.KEY_NOT_OWNED
        if key.issued_ms < self._low_water_ms:
            return RefusalReason.KEY_EXPIRED
        if self._is_stopped:
            return RefusalReason.DRAINING
        if self._too_new(key.issued_ms):
            return RefusalReason.KEY_TOO_NEW
        return self._storage_refusal_reason(key)

    def _storage_refusal_reason(self, key: RequestKey) -> RefusalReason | None:
        """Evicts records until a new one fits, or returns why none can fit."""
        if key.raw in self._running:
            # The same key is running for another service of this node.
            return RefusalReason.KEY_REUSED
        self.expire(_EXPIRIES_PER_OFFER)
        if not self._evict_until_fits(1):
            return RefusalReason.KEY_STORE_FULL
        if key.issued_ms < self._low_water_ms:
            # The eviction above raised the low-water mark past this key.
            return RefusalReason.KEY_EXPIRED
        return None

    def _too_new(self, issued_ms: int) -> bool:
        return issued_ms > self._clock.wall_ms() + self._bounds.max_ahead_ms

    def _owns(self, slot: OwnedSlot[AnswerT], issued_ms: int) -> bool:
        if issued_ms >= slot.refused_from_ms:
            return False
        for from_ms, until_ms in slot.intervals:
            if from_ms <= issued_ms < until_ms:
                return True
        return False

    def _mark_finished(
        self, record: OwnedRecord[AnswerT], answer: AnswerT | None
    ) -> None:
        """Marks a record as done, or as unknown if there is no answer."""
        record.finished_at = self._clock.monotonic()
        record.answer = answer
        record.state = (
            RecordState.UNKNOWN if answer is None else RecordState.DONE
        )
        if answer is not None:
            answer_bytes = self._answer_size(answer)
            record.size_bytes += answer_bytes
            self._record_bytes += answer_bytes
        self._finished.append(record)

    def _evict_until_fits(self, new_records: int) -> bool:
        """Evicts records past the minimum retention until new ones fit.

        Args:
            new_records: Number of records to add, without answers.

        Returns:
            Whether they fit.
        """
        finished_before = self._clock.monotonic() - self._bounds.min_retention_s
        needed_bytes = new_records * RECORD_OVERHEAD_BYTES
        while (
            self.record_count + new_records > self._bounds.max_records
            or self._record_bytes + needed_bytes > self._bounds.max_bytes
        ):
            if not self._evict(finished_before, 1):
                return False
        return True

    def _evict(self, finished_before: float, limit: int) -> int:
        """Removes the oldest finished records and raises the low-water mark."""
        finished = self._finished
        removed = 0
        while (
            removed < limit
            and finished
            and finished[0].finished_at <= finished_before
        ):
            record = finished.popleft()
            del record.slot.records[record.raw]
            self._record_bytes -= record.size_bytes
            self._raise_low_water(record.issued_ms + 1)
            removed += 1
        return removed

    def _raise_low_water(self, issued_ms: int) -> None:
        self._low_water_ms = max(self._low_water_ms, issued_ms)


def _zero_size(_answer: object) -> int:
    return 0
