"""Decisions about keys, and the records that a key owner keeps."""

from dataclasses import dataclass
from enum import Enum
from typing import Final, Generic, TypeVar

from radishtray_state._key_slots import MAX_AHEAD_MS
from radishtray_state._refusal import RefusalReason
from radishtray_state._request_key import SLOT_COUNT, RequestKey

AnswerT = TypeVar("AnswerT")

RECORD_OVERHEAD_BYTES: Final = 400
"""Memory of a record besides its answer; docs/measurements/key_slopes.md."""

NO_CUT: Final = 1 << 62


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


class RecordState(Enum):
    RUNNING = 0
    DONE = 1
    UNKNOWN = 2


class OwnedRecord(Generic[AnswerT]):
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
        self, slot: "OwnedSlot[AnswerT]", key: RequestKey, digest: bytes
    ) -> None:
        self.slot = slot
        self.raw = key.raw
        self.issued_ms = key.issued_ms
        self.digest = digest
        self.state = RecordState.RUNNING
        self.answer: AnswerT | None = None
        self.finished_at = 0.0
        self.size = RECORD_OVERHEAD_BYTES


class OwnedSlot(Generic[AnswerT]):
    """Own intervals and records of one slot of one service."""

    __slots__ = ("cut_ms", "highest_ms", "intervals", "records")

    def __init__(self) -> None:
        self.intervals: tuple[tuple[int, int], ...] = ()
        self.cut_ms = NO_CUT
        self.highest_ms = -1
        self.records: dict[bytes, OwnedRecord[AnswerT]] = {}


class OwnedService(Generic[AnswerT]):
    """Slots of one service and the version of the table they come from."""

    __slots__ = ("cut_version", "slots", "version")

    def __init__(self) -> None:
        self.version = -1
        self.cut_version = -1
        self.slots: list[OwnedSlot[AnswerT]] = [
            OwnedSlot() for _ in range(SLOT_COUNT)
        ]
