"""Reports of requests that ended as `outcome_unknown`, for operators."""

import logging
from collections import deque

from radishtray_state import Clock, RefusalReason

_LOG = logging.getLogger(__name__)
MAX_KEPT_REPORTS = 1000


class UnknownOutcome:
    """Report of a request that may or may not have run.

    Attributes:
        wall_ms: Time of the report in milliseconds since the Unix epoch.
        request_id: Request id in hexadecimal.
        kind: Service and kind of the request.
        key: Idempotency key, or None.
        reason: Refusal reason that the caller got.
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
        """Creates a report."""
        self.wall_ms = wall_ms
        self.request_id = request_id
        self.kind = kind
        self.key = key
        self.reason = reason

    def to_json(self) -> dict[str, object]:
        """Returns the report as JSON fields for the operator API."""
        return {
            "wall_ms": self.wall_ms,
            "request_id": self.request_id,
            "kind": self.kind,
            "key": self.key,
            "reason": self.reason.value,
        }


class UnknownOutcomes:
    """Keeps and logs the latest `MAX_KEPT_REPORTS` reports of this node."""

    __slots__ = ("_clock", "_reports", "_total")

    def __init__(self, clock: Clock) -> None:
        """Creates an empty list of reports."""
        self._clock = clock
        self._reports: deque[UnknownOutcome] = deque(maxlen=MAX_KEPT_REPORTS)
        self._total = 0

    @property
    def total(self) -> int:
        """Number of reports since the start, including dropped ones."""
        return self._total

    def add(
        self,
        request_id: bytes,
        kind: str,
        key: str | None,
        reason: RefusalReason,
    ) -> None:
        """Logs a report and keeps it; the oldest one is dropped if full."""
        report = UnknownOutcome(
            self._clock.wall_ms(), request_id.hex(), kind, key, reason
        )
        self._total += 1
        self._reports.append(report)
        _LOG.warning("outcome unknown", extra={"report": report.to_json()})

    def to_json(self) -> list[dict[str, object]]:
        """Returns the kept reports, oldest first."""
        return [report.to_json() for report in self._reports]
