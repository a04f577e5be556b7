"""The at-most-once record of one slot owner.

The decision to run a key compares data only: the key's issue time and the
intervals granted to this process. The record is made before `offer` returns,
so a pause between decision and dispatch changes nothing.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Final, Generic

from radishtray_state._clock import Clock
from radishtray_state._key_records import (
    NO_CUT,
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
"""Old records removed per offer; two outpace the one that an offer adds."""


class KeyOwner(Generic[AnswerT]):
    """Decides for each key whether this process may run it, and records it."""

    __slots__ = (
        "_answer_size",
        "_bounds",
        "_bytes",
        "_clock",
        "_finished",
        "_join",
        "_low_water_ms",
        "_me",
        "_refused",
        "_run",
        "_running",
        "_services",
        "_stopped",
    )

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        clock: Clock,
        bounds: KeyBounds | None = None,
        answer_size: Callable[[AnswerT], int] | None = None,
    ) -> None:
        """Starts without tables, so every key is refused.

        Args:
            node_id: Identity of this node.
            incarnation: Incarnation of this process.
            clock: Wall time for issue times, monotonic time for retention.
            bounds: Limits; the defaults fit one node.
            answer_size: Returns the bytes of an answer; zero if absent.
        """
        self._me = SlotOwner(node_id, incarnation)
        self._clock = clock
        self._bounds = bounds or KeyBounds()
        self._answer_size = answer_size or _no_size
        self._services: dict[str, OwnedService[AnswerT]] = {}
        self._running: dict[bytes, OwnedRecord[AnswerT]] = {}
        self._finished: deque[OwnedRecord[AnswerT]] = deque()
        self._bytes = 0
        self._low_water_ms = 0
        self._stopped = False
        self._run: KeyDecision[AnswerT] = KeyDecision(KeyVerdict.RUN)
        self._join: KeyDecision[AnswerT] = KeyDecision(KeyVerdict.JOIN)
        self._refused: dict[RefusalReason, KeyDecision[AnswerT]] = {
            reason: KeyDecision(KeyVerdict.REFUSED, reason=reason)
            for reason in RefusalReason
        }

    @property
    def me(self) -> SlotOwner:
        """The process whose intervals this owner uses."""
        return self._me

    @property
    def record_count(self) -> int:
        """Running and finished records of all services."""
        return len(self._running) + len(self._finished)

    @property
    def record_bytes(self) -> int:
        """Bytes charged for all records."""
        return self._bytes

    @property
    def low_water_ms(self) -> int:
        """Unrecorded keys issued earlier are refused as `key_expired`."""
        return self._low_water_ms

    @property
    def running_count(self) -> int:
        """Keys whose run has not ended."""
        return len(self._running)

    def set_table(self, service: str, version: int, table: SlotTable) -> bool:
        """Uses a newer table of a service; an older or equal one is ignored.

        Args:
            service: Service name.
            version: Version of the platform object.
            table: The table at that version.

        Returns:
            Whether the table is in use now.
        """
        state = self._service(service)
        if version <= state.version:
            return False
        state.version = version
        # A later version settles the write that a promise belongs to: it is in
        # this table, or its condition can no longer hold.
        settled = version > state.cut_version
        for slot, intervals in zip(state.slots, table.slots, strict=True):
            slot.intervals = tuple(
                (i.from_ms, i.until_ms)
                for i in intervals
                if i.owner_id == self._me.node_id
                and i.incarnation == self._me.incarnation
            )
            if settled:
                slot.cut_ms = NO_CUT
        return True

    def promise(
        self, service: str, base_version: int, cuts: Mapping[int, int]
    ) -> bool:
        """Refuses issue times from a boundary on, before it is written.

        The promise holds until a table newer than `base_version` is set, even
        if the write's answer is lost.

        Args:
            service: Service name.
            base_version: Version that the write is conditional on.
            cuts: First refused issue time of each slot.

        Returns:
            False, without effect, if a key past a boundary was accepted.
        """
        state = self._service(service)
        for number, cut_ms in cuts.items():
            if state.slots[number].highest_ms >= cut_ms:
                return False
        state.cut_version = max(state.cut_version, base_version)
        for number, cut_ms in cuts.items():
            slot = state.slots[number]
            slot.cut_ms = min(slot.cut_ms, cut_ms)
        return True

    def offer(
        self, service: str, key: RequestKey, digest: bytes
    ) -> KeyDecision[AnswerT]:
        """Decides about one send and, for `RUN`, records the key first.

        Args:
            service: Service of the request.
            key: The caller's or a derived key.
            digest: Digest of service, method, path and body.

        Returns:
            The decision.
        """
        state = self._services.get(service)
        if state is None:
            return self._refused[RefusalReason.KEY_NOT_OWNED]
        slot = state.slots[key.slot]
        record = slot.records.get(key.raw)
        if record is not None:
            return self._recorded(record, digest)
        reason = self._refusal(slot, key)
        if reason is not None:
            return self._refused[reason]
        record = OwnedRecord(slot, key, digest)
        slot.records[record.raw] = record
        self._running[record.raw] = record
        self._bytes += record.size
        slot.highest_ms = max(slot.highest_ms, record.issued_ms)
        return self._run

    def finish(self, key: RequestKey, answer: AnswerT) -> bool:
        """Records the complete answer of a run.

        Args:
            key: The key that ran.
            answer: What resends get.

        Returns:
            False if the key is not running, for example already unknown.
        """
        record = self._running.pop(key.raw, None)
        if record is None:
            return False
        self._keep(record, answer)
        self._make_room(0)
        return True

    def unknown(self, key: RequestKey) -> bool:
        """Records that a run ended without a known outcome.

        Args:
            key: The key that ran.

        Returns:
            False if the key is not running.
        """
        record = self._running.pop(key.raw, None)
        if record is None:
            return False
        self._keep(record, None)
        return True

    def not_run(self, key: RequestKey) -> bool:
        """Removes the record of a key that was refused before it ran.

        Args:
            key: The key that will not run; a later send of it may.

        Returns:
            False if the key is not running.
        """
        record = self._running.pop(key.raw, None)
        if record is None:
            return False
        del record.slot.records[record.raw]
        self._bytes -= record.size
        return True

    def highest_accepted(self, service: str, slot: int) -> int:
        """Returns the highest issue time ever accepted in a slot, or -1."""
        state = self._services.get(service)
        return -1 if state is None else state.slots[slot].highest_ms

    def stop_accepting(self) -> None:
        """Refuses new keys from now on; recorded keys are still answered."""
        self._stopped = True

    def export_records(
        self, service: str, slot: int
    ) -> tuple[KeyRecord[AnswerT], ...]:
        """Returns a slot's records; one that is still running is unknown."""
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
        """Takes over records of a leaving owner.

        A record that finds no room is dropped. That is safe: the key lies in
        no interval of this process, so it is refused.

        Args:
            service: Service name.
            slot: Slot number.
            records: What the leaving owner exported.

        Returns:
            The number of records taken over.
        """
        held = self._service(service).slots[slot]
        taken = 0
        for moved in records:
            if moved.key.slot != slot or moved.key.raw in held.records:
                continue
            if not self._make_room(1):
                break
            record = OwnedRecord(held, moved.key, moved.digest)
            held.records[record.raw] = record
            self._bytes += record.size
            self._keep(record, moved.answer)
            taken += 1
        return taken

    def expire(self, limit: int = SLOT_COUNT) -> int:
        """Removes finished records older than the retention.

        Args:
            limit: Most records to remove, to keep the call short.

        Returns:
            The number of records removed.
        """
        oldest = self._clock.monotonic() - self._bounds.retention_s
        return self._evict(oldest, limit)

    def _service(self, service: str) -> OwnedService[AnswerT]:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = OwnedService()
        return state

    def _recorded(
        self, record: OwnedRecord[AnswerT], digest: bytes
    ) -> KeyDecision[AnswerT]:
        if record.digest != digest:
            return self._refused[RefusalReason.KEY_REUSED]
        if record.state is RecordState.RUNNING:
            return self._join
        if record.state is RecordState.DONE:
            return KeyDecision(KeyVerdict.ANSWERED, record.answer)
        return self._refused[RefusalReason.KEY_UNKNOWN]

    def _refusal(
        self, slot: OwnedSlot[AnswerT], key: RequestKey
    ) -> RefusalReason | None:
        """Returns why an unrecorded key may not run."""
        if not self._owns(slot, key.issued_ms):
            return RefusalReason.KEY_NOT_OWNED
        if key.issued_ms < self._low_water_ms:
            return RefusalReason.KEY_EXPIRED
        if self._stopped:
            return RefusalReason.DRAINING
        if self._too_new(key.issued_ms):
            return RefusalReason.KEY_TOO_NEW
        return self._room_refusal(key)

    def _room_refusal(self, key: RequestKey) -> RefusalReason | None:
        """Makes room for a record, or returns why there is none."""
        if key.raw in self._running:
            # The same key runs in another service of this node.
            return RefusalReason.KEY_REUSED
        self.expire(_EXPIRIES_PER_OFFER)
        if not self._make_room(1):
            return RefusalReason.KEY_STORE_FULL
        if key.issued_ms < self._low_water_ms:
            # Making room has raised the mark past this key.
            return RefusalReason.KEY_EXPIRED
        return None

    def _too_new(self, issued_ms: int) -> bool:
        return issued_ms > self._clock.wall_ms() + self._bounds.max_ahead_ms

    def _owns(self, slot: OwnedSlot[AnswerT], issued_ms: int) -> bool:
        if issued_ms >= slot.cut_ms:
            return False
        for from_ms, until_ms in slot.intervals:
            if from_ms <= issued_ms < until_ms:
                return True
        return False

    def _keep(
        self, record: OwnedRecord[AnswerT], answer: AnswerT | None
    ) -> None:
        """Marks a record as done, or as unknown without an answer."""
        record.finished_at = self._clock.monotonic()
        record.answer = answer
        record.state = (
            RecordState.UNKNOWN if answer is None else RecordState.DONE
        )
        if answer is not None:
            added = self._answer_size(answer)
            record.size += added
            self._bytes += added
        self._finished.append(record)

    def _make_room(self, records: int) -> bool:
        """Evicts what may be evicted until the records fit.

        Args:
            records: New records without an answer.

        Returns:
            Whether they fit.
        """
        youngest = self._clock.monotonic() - self._bounds.min_retention_s
        needed = records * RECORD_OVERHEAD_BYTES
        while (
            self.record_count + records > self._bounds.max_records
            or self._bytes + needed > self._bounds.max_bytes
        ):
            if not self._evict(youngest, 1):
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
            self._bytes -= record.size
            self._raise_low_water(record.issued_ms + 1)
            removed += 1
        return removed

    def _raise_low_water(self, issued_ms: int) -> None:
        self._low_water_ms = max(self._low_water_ms, issued_ms)


def _no_size(_answer: object) -> int:
    return 0
