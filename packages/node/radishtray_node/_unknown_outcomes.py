"""Requests whose outcome stayed unknown, for the operators' check."""

import logging
from collections import deque

from radishtray_state import Clock, RefusalReason

_LOG = logging.getLogger(__name__)
MAX_KEPT = 1000


class UnknownOutcome:
    """One request of unknown outcome.

    Attributes:
        wall_ms: Time of the report in milliseconds since the epoch.
        request_id: Hexadecimal request id.
        kind: Service and kind.
        key: Idempotency key, or None.
        reason: Refusal reason.
    """

    __slots__ = ("key", "kind", "reason", "request_id", "wall_ms")

    def __init__(
        self,
        wall_ms: int,
        request_id: str,
        kind: str,
        key: str | None,
        reason: RefusalReason,
    ) -> None:
        """Holds the parts of a report."""
        self.wall_ms = wall_ms
        self.request_id = request_id
        self.kind = kind
        self.key = key
        self.reason = reason

    def to_json(self) -> dict[str, object]:
        """Returns the report for the operators' API."""
        return {
            "wall_ms": self.wall_ms,
            "request_id": self.request_id,
            "kind": self.kind,
            "key": self.key,
            "reason": self.reason.value,
        }


class UnknownOutcomes:
    """The last reports of this node; each is also one log line."""

    __slots__ = ("_clock", "_reports", "_total")

    def __init__(self, clock: Clock) -> None:
        """Starts without reports."""
        self._clock = clock
        self._reports: deque[UnknownOutcome] = deque(maxlen=MAX_KEPT)
        self._total = 0

    @property
    def total(self) -> int:
        """Reports since the start."""
        return self._total

    def add(
        self,
        request_id: bytes,
        kind: str,
        key: str | None,
        reason: RefusalReason,
    ) -> None:
        """Adds and logs a report."""
        report = UnknownOutcome(
            self._clock.wall_ms(), request_id.hex(), kind, key, reason
        )
        self._total += 1
        self._reports.append(report)
        _LOG.warning("outcome unknown", extra={"report": report.to_json()})

    def to_json(self) -> list[dict[str, object]]:
        """Returns the kept reports, oldest first."""
        return [report.to_json() for report in self._reports]
