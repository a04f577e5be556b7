"""Leases on roles, decided on the observer's own monotonic clock."""

import dataclasses
from enum import Enum

from radishtray_state._clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Content of the object `leases/<role>`."""

    holder: str
    """Node id of the holder; empty once the holder released the lease."""

    incarnation: int
    """Incarnation of the holder."""

    term: int
    """Raised by every change of holder."""


class LeaseAction(Enum):
    """What an observer should do now."""

    READ = "read"
    """Read the object; its version is not known."""

    RENEW = "renew"
    """Write the own record again, conditional on the version."""

    TAKE_OVER = "take_over"
    """Write the own record with a new term, conditional on the version."""

    WAIT = "wait"
    """Do nothing until the time that the decision states."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDecision:
    """An action and what it needs."""

    action: LeaseAction
    """What to do."""

    record: LeaseRecord | None
    """Record to write; None unless the action writes."""

    version: int | None
    """Version that the write is conditional on; None to create the object."""

    wait_s: float
    """Seconds until the next decision; 0 unless the action is WAIT."""


class LeaseObserver:
    """Decides about one lease on behalf of one node.

    A foreign lease may be taken over when its version has not changed for the
    lease time on the own clock, so clocks of different VMs are never compared.
    The own lease counts as held from the moment before the write was sent, so
    a holder that was paused stops before others take over. A write that the
    platform rejects by version fences a holder that did not notice its pause.
    """

    __slots__ = (
        "_clock",
        "_holder",
        "_incarnation",
        "_known",
        "_lease_s",
        "_read_at",
        "_record",
        "_renewed_at",
        "_unchanged_since",
        "_version",
        "_write",
    )

    def __init__(
        self, clock: Clock, holder: str, incarnation: int, lease_s: float
    ) -> None:
        """Starts without knowledge of the lease.

        Args:
            clock: Source of monotonic time.
            holder: Own node id.
            incarnation: Own incarnation.
            lease_s: Lease time in seconds, positive.

        Raises:
            ValueError: If lease_s is not positive.
        """
        if lease_s <= 0:
            raise ValueError(f"lease time of {lease_s} s is not positive")
        self._clock = clock
        self._holder = holder
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._known = False
        self._record: LeaseRecord | None = None
        self._version: int | None = None
        self._unchanged_since: float | None = None
        self._read_at = 0.0
        self._renewed_at: float | None = None
        self._write: tuple[float, LeaseRecord] | None = None

    @property
    def holds(self) -> bool:
        """Whether the role may be exercised now."""
        return self.remaining_s > 0

    @property
    def remaining_s(self) -> float:
        """Seconds for which the role may still be exercised; 0 if it is not."""
        if self._renewed_at is None:
            return 0.0
        end = self._renewed_at + self._lease_s
        return max(0.0, end - self._clock.monotonic())

    @property
    def version(self) -> int | None:
        """Last known version of the object."""
        return self._version

    @property
    def record(self) -> LeaseRecord | None:
        """Last known content of the object."""
        return self._record

    def observed(self, record: LeaseRecord | None, version: int | None) -> None:
        """Takes the result of a read; record None if there is no object.

        Raises:
            ValueError: If only one of record and version is None.
        """
        if (record is None) != (version is None):
            raise ValueError("a lease has a version exactly if it exists")
        now = self._clock.monotonic()
        self._read_at = now
        # A renewal writes the same record again, so only the version tells
        # whether a write with a lost answer took effect.
        if self._unchanged_since is None or version != self._version:
            self._resolve_lost_write(record)
            self._unchanged_since = now
        self._known = True
        self._record = record
        self._version = version
        self._write = None

    def decide(self) -> LeaseDecision:
        """Returns what to do now."""
        now = self._clock.monotonic()
        if not self._known:
            return LeaseDecision(LeaseAction.READ, None, None, 0.0)
        if self._record is None:
            return self._writing(LeaseAction.TAKE_OVER, 1)
        if not self._record.holder:
            return self._writing(LeaseAction.TAKE_OVER, self._record.term + 1)
        if self._is_own(self._record):
            return self._decide_own(self._record, now)
        return self._decide_foreign(self._record, now)

    def write_started(self, record: LeaseRecord) -> None:
        """Notes that a write of the record is about to be sent."""
        self._write = (self._clock.monotonic(), record)

    def write_succeeded(self, version: int) -> None:
        """Takes the new version of a write that took effect."""
        if self._write is None:
            return
        self._renewed_at, self._record = self._write
        self._version = version
        self._write = None

    def write_rejected(self) -> None:
        """Notes a conflict: someone else holds the lease now."""
        self._renewed_at = None
        self._write = None
        self._known = False

    def write_unknown(self) -> None:
        """Notes a lost answer; the next read tells whether it took effect."""
        self._known = False

    def released(self) -> None:
        """Notes that the own record was removed or given up."""
        self.write_rejected()

    def _is_own(self, record: LeaseRecord) -> bool:
        return (record.holder, record.incarnation) == (
            self._holder,
            self._incarnation,
        )

    def _resolve_lost_write(self, record: LeaseRecord | None) -> None:
        if record is None or not self._is_own(record):
            self._renewed_at = None
        elif self._write is not None and record == self._write[1]:
            self._renewed_at = self._write[0]

    def _decide_own(self, record: LeaseRecord, now: float) -> LeaseDecision:
        if self._renewed_at is None:
            return self._writing(LeaseAction.RENEW, record.term)
        due = self._renewed_at + self._lease_s / 3
        if now >= due:
            return self._writing(LeaseAction.RENEW, record.term)
        return LeaseDecision(LeaseAction.WAIT, None, None, due - now)

    def _decide_foreign(self, record: LeaseRecord, now: float) -> LeaseDecision:
        assert self._unchanged_since is not None
        expiry = self._unchanged_since + self._lease_s
        if now >= expiry:
            # The version must have been seen unchanged at the expiry; a read
            # from before it says nothing about a renewal since.
            if self._read_at < expiry:
                return LeaseDecision(LeaseAction.READ, None, None, 0.0)
            return self._writing(LeaseAction.TAKE_OVER, record.term + 1)
        return LeaseDecision(LeaseAction.WAIT, None, None, expiry - now)

    def _writing(self, action: LeaseAction, term: int) -> LeaseDecision:
        record = LeaseRecord(self._holder, self._incarnation, term)
        return LeaseDecision(action, record, self._version, 0.0)
