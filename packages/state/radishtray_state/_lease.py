"""Leader election for roles by leases, renewed by conditional writes.

Lease times are measured only on the monotonic clock of the observing node.
"""

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
    """Raised at every change of holder."""


class LeaseAction(Enum):
    """Next action of an observer."""

    READ = "read"
    """Read the object, because its current version is not known."""

    RENEW = "renew"
    """Write this node's record again if the object still has the version."""

    TAKE_OVER = "take_over"
    """Write this node's record with a new term if the version is unchanged."""

    WAIT = "wait"
    """Do nothing for the time that the decision states."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDecision:
    """An action and its arguments."""

    action: LeaseAction
    """Action to take."""

    record: LeaseRecord | None
    """Record to write; None unless the action writes."""

    version: int | None
    """Version that the write expects; None to create the object."""

    wait_s: float
    """Seconds until the next decision; 0 unless the action is WAIT."""


class LeaseObserver:
    """Decides when one node reads, renews or takes over one lease.

    The lease of another holder may be taken over when its version has not
    changed for the lease time on the clock of this node, so clocks of
    different VMs are never compared. A holder counts its lease time from before
    the write is sent, so a holder that was paused stops before others take
    over. A holder that did not notice its pause is fenced: the platform rejects
    its conditional write.
    """

    __slots__ = (
        "_clock",
        "_holder",
        "_incarnation",
        "_is_object_known",
        "_last_read_at",
        "_lease_s",
        "_pending_write",
        "_record",
        "_renewed_at",
        "_unchanged_since",
        "_version",
    )

    def __init__(
        self, clock: Clock, holder: str, incarnation: int, lease_s: float
    ) -> None:
        """Initializes an observer that has not read the lease.

        Args:
            clock: Source of monotonic time.
            holder: Node id of this node.
            incarnation: Incarnation of this node.
            lease_s: Lease time in seconds, positive.

        Raises:
            ValueError: If lease_s is not positive.
        """
        if lease_s <= 0:
            raise ValueError(f"lease time must be positive, not {lease_s} s")
        self._clock = clock
        self._holder = holder
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._is_object_known = False
        self._record: LeaseRecord | None = None
        self._version: int | None = None
        self._unchanged_since: float | None = None
        self._last_read_at = 0.0
        self._renewed_at: float | None = None
        self._pending_write: tuple[float, LeaseRecord] | None = None

    @property
    def holds(self) -> bool:
        """Whether the role may be exercised now."""
        return self.remaining_s > 0

    @property
    def remaining_s(self) -> float:
        """Seconds for which the role may still be exercised; 0 if not held."""
        if self._renewed_at is None:
            return 0.0
        expiry = self._renewed_at + self._lease_s
        return max(0.0, expiry - self._clock.monotonic())

    @property
    def version(self) -> int | None:
        """Last known version of the object; None if there was no object."""
        return self._version

    @property
    def record(self) -> LeaseRecord | None:
        """Last known content of the object; None if there was no object."""
        return self._record

    def read_succeeded(
        self, record: LeaseRecord | None, version: int | None
    ) -> None:
        """Processes the result of a read.

        Args:
            record: Content of the object; None if there is no object.
            version: Version of the object; None if there is no object.

        Raises:
            ValueError: If only one of record and version is None.
        """
        if (record is None) != (version is None):
            raise ValueError(
                "lease record and version must both be given or both be None"
            )
        now = self._clock.monotonic()
        self._last_read_at = now
        # A renewal writes the same record again, so only the version shows
        # whether a write whose answer was lost took effect.
        if self._unchanged_since is None or version != self._version:
            self._resolve_lost_write(record)
            self._unchanged_since = now
        self._is_object_known = True
        self._record = record
        self._version = version
        self._pending_write = None

    def decide(self) -> LeaseDecision:
        """Returns the action to take now."""
        now = self._clock.monotonic()
        if not self._is_object_known:
            return LeaseDecision(LeaseAction.READ, None, None, 0.0)
        if self._record is None:
            return self._write_decision(LeaseAction.TAKE_OVER, 1)
        if not self._record.holder:
            return self._write_decision(
                LeaseAction.TAKE_OVER, self._record.term + 1
            )
        if self._is_own_lease(self._record):
            return self._decide_own_lease(self._record, now)
        return self._decide_lease_of_other(self._record, now)

    def write_started(self, record: LeaseRecord) -> None:
        """Records that a write of the record is about to be sent."""
        self._pending_write = (self._clock.monotonic(), record)

    def write_succeeded(self, version: int) -> None:
        """Processes the answer to a write that took effect."""
        if self._pending_write is None:
            return
        self._renewed_at, self._record = self._pending_write
        self._version = version
        self._pending_write = None

    def write_rejected(self) -> None:
        """Stops holding the lease, because another node changed the object."""
        self._renewed_at = None
        self._pending_write = None
        self._is_object_known = False

    def write_outcome_unknown(self) -> None:
        """Records that the answer to a write was lost.

        The next read shows whether the write took effect.
        """
        self._is_object_known = False

    def lease_released(self) -> None:
        """Stops holding the lease, because this node gives up its record."""
        self.write_rejected()

    def _is_own_lease(self, record: LeaseRecord) -> bool:
        return (record.holder, record.incarnation) == (
            self._holder,
            self._incarnation,
        )

    def _resolve_lost_write(self, record: LeaseRecord | None) -> None:
        if record is None or not self._is_own_lease(record):
            self._renewed_at = None
        elif (
            self._pending_write is not None and record == self._pending_write[1]
        ):
            self._renewed_at = self._pending_write[0]

    def _decide_own_lease(
        self, record: LeaseRecord, now: float
    ) -> LeaseDecision:
        if self._renewed_at is None:
            return self._write_decision(LeaseAction.RENEW, record.term)
        renewal_due = self._renewed_at + self._lease_s / 3
        if now >= renewal_due:
            return self._write_decision(LeaseAction.RENEW, record.term)
        return LeaseDecision(LeaseAction.WAIT, None, None, renewal_due - now)

    def _decide_lease_of_other(
        self, record: LeaseRecord, now: float
    ) -> LeaseDecision:
        assert self._unchanged_since is not None
        expiry = self._unchanged_since + self._lease_s
        if now >= expiry:
            # The version must be unchanged in a read at or after the expiry.
            # An earlier read would miss a renewal that followed it.
            if self._last_read_at < expiry:
                return LeaseDecision(LeaseAction.READ, None, None, 0.0)
            return self._write_decision(LeaseAction.TAKE_OVER, record.term + 1)
        return LeaseDecision(LeaseAction.WAIT, None, None, expiry - now)

    def _write_decision(self, action: LeaseAction, term: int) -> LeaseDecision:
        record = LeaseRecord(self._holder, self._incarnation, term)
        return LeaseDecision(action, record, self._version, 0.0)
