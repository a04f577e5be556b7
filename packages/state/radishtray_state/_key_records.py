"""Decisions about idempotency keys, and the records that an owner keeps."""

from dataclasses import dataclass
from enum import Enum
from typing import Final, Generic, TypeVar

from radishtray_state._key_slots import MAX_AHEAD_MS
from radishtray_state._refusal import RefusalReason
from radishtray_state._request_key import SLOT_COUNT, RequestKey

AnswerT = TypeVar("AnswerT")

RECORD_OVERHEAD_BYTES: Final = 400
"""Memory of a record without its answer.

Measured in docs/measurements/key_slopes.md.
"""

NO_BOUNDARY_MS: Final = 1 << 62
"""Boundary of a slot without a promise; later than every issue time."""


@dataclass(frozen=True, slots=True)
class KeyBounds:
    """Limits of one owner's records."""

    max_records: int = 200_000
    """Maximum number of records of all services."""

    max_bytes: int = 32 << 20
    """Maximum size of all records, including the answers."""

    min_retention_s: float = 600.0
    """Time after its end during which a record is never evicted."""

    retention_s: float = 3600.0
    """Time after its end at which a record is removed."""

    max_ahead_ms: int = MAX_AHEAD_MS
    """How far an issue time may lie ahead of this node's wall clock."""

    def __post_init__(self) -> None:
        """Checks the limits.

        Raises:
            ValueError: If a limit is not positive, or `min_retention_s` is
                longer than `retention_s`.
        """
        if min(self.max_records, self.max_bytes, self.max_ahead_ms) <= 0:
            raise ValueError(f"limits must be positive: {self}")
        if not 0 < self.min_retention_s <= self.retention_s:
            raise ValueError(
                "min_retention_s must be positive and at most retention_s: "
                f"{self}"
            )


class KeyVerdict(Enum):
    """What the node does with a request that has a key."""

    RUN = "run"
    """Run it, then call `finish`, `unknown` or `not_run`."""

    JOIN = "join"
    """Another request with this key is running; wait for its outcome."""

    ANSWERED = "answered"
    """Send the recorded answer."""

    REFUSED = "refused"
    """Send the refusal."""


class KeyDecision(Generic[AnswerT]):
    """Verdict on one request, with its recorded answer or refusal reason."""

    __slots__ = ("answer", "reason", "verdict")

    def __init__(
        self,
        verdict: KeyVerdict,
        answer: AnswerT | None = None,
        reason: RefusalReason | None = None,
    ) -> None:
        """Creates a decision.

        Args:
            verdict: What the node does with the request.
            answer: The recorded answer, for `ANSWERED`.
            reason: The refusal reason, for `REFUSED`.
        """
        self.verdict = verdict
        self.answer = answer
        self.reason = reason

    def __repr__(self) -> str:
        """Returns the decision for logs and test output."""
        return f"KeyDecision({self.verdict}, {self.answer!r}, {self.reason})"


@dataclass(frozen=True, slots=True)
class KeyRecord(Generic[AnswerT]):
    """A record as a leaving owner sends it to its successor."""

    key: RequestKey
    """The recorded key."""

    digest: bytes
    """Digest of the first request with this key."""

    answer: AnswerT | None
    """The complete answer; None if the outcome is unknown."""


@dataclass(frozen=True, slots=True)
class KeyRecords(Generic[AnswerT]):
    """Records of one slot as a leaving owner sends them to its successor."""

    service: str
    """Service that the slot belongs to."""

    slot: int
    """Slot number."""

    records: tuple[KeyRecord[AnswerT], ...]
    """The records, in no particular order."""


class RecordState(Enum):
    """Progress of a key's run."""

    RUNNING = 0
    DONE = 1
    UNKNOWN = 2


class OwnedRecord(Generic[AnswerT]):
    """Record of one key; removed from its slot when it is evicted."""

    __slots__ = (
        "answer",
        "digest",
        "finished_at",
        "issued_ms",
        "raw",
        "size_bytes",
        "slot",
        "state",
    )

    def __init__(
        self, slot: "OwnedSlot[AnswerT]", key: RequestKey, digest: bytes
    ) -> None:
        self.slot = slot
        self.raw = key.raw
        self.issued_ms = key.issued_ms
        self.digest = digest
        self.state = RecordState.RUNNING
        self.answer: AnswerT | None = None
        self.finished_at = 0.0
        self.size_bytes = RECORD_OVERHEAD_BYTES


class OwnedSlot(Generic[AnswerT]):
    """This process's intervals and records in one slot of one service.

    Attributes:
        intervals: First issue time and end of each interval of this process.
        refused_from_ms: Lowest boundary of the promises in force.
        highest_accepted_ms: Highest issue time accepted, or -1.
        records: Records by the bytes of their key.
    """

    __slots__ = (
        "highest_accepted_ms",
        "intervals",
        "records",
        "refused_from_ms",
    )

    def __init__(self) -> None:
        self.intervals: tuple[tuple[int, int], ...] = ()
        self.refused_from_ms = NO_BOUNDARY_MS
        self.highest_accepted_ms = -1
        self.records: dict[bytes, OwnedRecord[AnswerT]] = {}


class OwnedService(Generic[AnswerT]):
    """Slots of one service and the version of the table they come from.

    Attributes:
        table_version: Version of the table, or -1 before the first.
        promise_version: Highest version that a promise was based on, or -1.
        slots: The slots by number.
    """

    __slots__ = ("promise_version", "slots", "table_version")

    def __init__(self) -> None:
        self.table_version = -1
        self.promise_version = -1
        self.slots: list[OwnedSlot[AnswerT]] = [
            OwnedSlot() for _ in range(SLOT_COUNT)
        ]
