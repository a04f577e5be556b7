"""The at-most-once record of one slot owner.

The decision to run a key compares data only: the key's issue time and the
intervals granted to this process. The record is made before `offer` returns,
so a pause between decision and dispatch changes nothing.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final, Generic, TypeVar

from radishtray_state._clock import Clock
from radishtray_state._key_slots import MAX_AHEAD_MS, SlotOwner, SlotTable
from radishtray_state._refusal import RefusalReason
from radishtray_state._request_key import SLOT_COUNT, RequestKey

AnswerT = TypeVar("AnswerT")

RECORD_OVERHEAD_BYTES: Final = 400
"""Memory of a record besides its answer; docs/measurements/key_slopes.md."""

_EXPIRIES_PER_OFFER: Final = 2
"""Old records removed per offer; two outpace the one that an offer adds."""

_NO_CUT: Final = 1 << 62


@dataclass(frozen=True, slots=True)
class KeyBounds:
    """Limits of one owner's records."""

    max_records: int = 200_000
    """Records of all services."""

    max_bytes: int = 32 << 20
    """Bytes of records and recorded answers."""

    min_retention_s: float = 600.0
    """A finished record younger than this is never evicted."""

    retention_s: float = 3600.0
    """A finished record older than this is removed."""

    max_ahead_ms: int = MAX_AHEAD_MS
    """How far past the own clock an issue time may lie."""

    def __post_init__(self) -> None:
        """Checks the limits.

        Raises:
            ValueError: If a limit is not positive or the retentions disagree.
        """
        if min(self.max_records, self.max_bytes, self.max_ahead_ms) <= 0:
            raise ValueError(f"limits must be positive: {self}")
        if not 0 < self.min_retention_s <= self.retention_s:
            raise ValueError(f"retentions are out of order: {self}")


class KeyVerdict(Enum):
    """What the node does with an offered request."""

    RUN = "run"
    """Run it, then call `finish`, `unknown` or `not_run`."""

    JOIN = "join"
    """The first send is running; wait for its outcome."""

    ANSWERED = "answered"
    """Send the recorded answer."""

    REFUSED = "refused"
    """Send the refusal."""


class KeyDecision(Generic[AnswerT]):
    """Verdict on one offer, with the answer or reason that belongs to it."""

    __slots__ = ("answer", "reason", "verdict")

    def __init__(
        self,
        verdict: KeyVerdict,
        answer: AnswerT | None = None,
        reason: RefusalReason | None = None,
    ) -> None:
        """Takes the verdict.

        Args:
            verdict: What to do.
            answer: The recorded answer, for `ANSWERED`.
            reason: The reason, for `REFUSED`.
        """
        self.verdict = verdict
        self.answer = answer
        self.reason = reason

    def __repr__(self) -> str:
        """Returns the decision for logs and test output."""
        return f"KeyDecision({self.verdict}, {self.answer!r}, {self.reason})"


@dataclass(frozen=True, slots=True)
class KeyRecord(Generic[AnswerT]):
    """A record on its way to a successor."""

    key: RequestKey
    """The recorded key."""

    digest: bytes
    """Digest of the first request with this key."""

    answer: AnswerT | None
    """The complete answer; None if the outcome is unknown."""


@dataclass(frozen=True, slots=True)
class KeyRecords(Generic[AnswerT]):
    """Records of one slot on their way to a successor."""

    service: str
    """The service whose slot it is."""

    slot: int
    """Slot number."""

    records: tuple[KeyRecord[AnswerT], ...]
    """The records, in no particular order."""


class _State(Enum):
    RUNNING = 0
    DONE = 1
    UNKNOWN = 2


class _Record(Generic[AnswerT]):
    """One key's state; removed from its slot when evicted."""

    __slots__ = (
        "answer",
        "digest",
        "finished_at",
        "issued_ms",
        "raw",
        "size",
        "slot",
        "state",
    )

    def __init__(
        self, slot: "_Slot[AnswerT]", key: RequestKey, digest: bytes
    ) -> None:
        self.slot = slot
        self.raw = key.raw
        self.issued_ms = key.issued_ms
        self.digest = digest
        self.state = _State.RUNNING
        self.answer: AnswerT | None = None
        self.finished_at = 0.0
        self.size = RECORD_OVERHEAD_BYTES


class _Slot(Generic[AnswerT]):
    """Own intervals and records of one slot of one service."""

    __slots__ = ("cut_ms", "highest_ms", "intervals", "records")

    def __init__(self) -> None:
        self.intervals: tuple[tuple[int, int], ...] = ()
        self.cut_ms = _NO_CUT
        self.highest_ms = -1
        self.records: dict[bytes, _Record[AnswerT]] = {}


class _Service(Generic[AnswerT]):
    """Slots of one service and the version of the table they come from."""

    __slots__ = ("cut_version", "slots", "version")

    def __init__(self) -> None:
        self.version = -1
        self.cut_version = -1
        self.slots: list[_Slot[AnswerT]] = [_Slot() for _ in range(SLOT_COUNT)]


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
        self._services: dict[str, _Service[AnswerT]] = {}
        self._running: dict[bytes, _Record[AnswerT]] = {}
        self._finished: deque[_Record[AnswerT]] = deque()
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
                slot.cut_ms = _NO_CUT
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
        record = _Record(slot, key, digest)
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
            record = _Record(held, moved.key, moved.digest)
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

    def _service(self, service: str) -> _Service[AnswerT]:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service()
        return state

    def _recorded(
        self, record: _Record[AnswerT], digest: bytes
    ) -> KeyDecision[AnswerT]:
        if record.digest != digest:
            return self._refused[RefusalReason.KEY_REUSED]
        if record.state is _State.RUNNING:
            return self._join
        if record.state is _State.DONE:
            return KeyDecision(KeyVerdict.ANSWERED, record.answer)
        return self._refused[RefusalReason.KEY_UNKNOWN]

    def _refusal(
        self, slot: _Slot[AnswerT], key: RequestKey
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

    def _owns(self, slot: _Slot[AnswerT], issued_ms: int) -> bool:
        if issued_ms >= slot.cut_ms:
            return False
        for from_ms, until_ms in slot.intervals:
            if from_ms <= issued_ms < until_ms:
                return True
        return False

    def _keep(self, record: _Record[AnswerT], answer: AnswerT | None) -> None:
        """Marks a record as done, or as unknown without an answer."""
        record.finished_at = self._clock.monotonic()
        record.answer = answer
        record.state = _State.UNKNOWN if answer is None else _State.DONE
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
