"""Reports of upstreams about themselves, and the detection of stale ones."""

from collections import OrderedDict
from enum import Enum
from ipaddress import ip_address

_MAX_SLOTS = 100_000
_MAX_COLD_START_S = 3600.0
_MAX_ENDED_PROCESSES = 16


class UpstreamReport:
    """One report of an upstream about itself.

    Attributes:
        instance: Id of the upstream's process.
        started_ms: Start of the process, in milliseconds since the epoch.
        sequence: Increases with each report of the process.
        service: Service that the upstream belongs to.
        host: IP address.
        port: TCP port.
        slots: Requests that the upstream runs concurrently.
        is_leaving: Whether the upstream accepts no new requests.
        cold_left_s: Seconds that remain of its cold start, in which it is slow.
        failure_domain: Failure domain of its VM; None if it was not stated.
    """

    __slots__ = (
        "cold_left_s",
        "failure_domain",
        "host",
        "instance",
        "is_leaving",
        "port",
        "sequence",
        "service",
        "slots",
        "started_ms",
    )

    def __init__(
        self,
        instance: str,
        started_ms: int,
        sequence: int,
        service: str,
        host: str,
        port: int,
        slots: int,
        *,
        is_leaving: bool,
        cold_left_s: float,
        failure_domain: str | None = None,
    ) -> None:
        """Validates the fields; they are described in `Attributes`.

        Raises:
            ValueError: If a field is empty, malformed or out of range.
        """
        if not instance or not service:
            raise ValueError("instance and service must not be empty")
        ip_address(host)
        if not 0 < port < 65536:
            raise ValueError(f"port {port} is not within 1 and 65535")
        if not 0 < slots <= _MAX_SLOTS:
            raise ValueError(f"slots {slots} is not within 1 and {_MAX_SLOTS}")
        if not 0 <= cold_left_s <= _MAX_COLD_START_S:
            raise ValueError(f"cold_left_s {cold_left_s} is out of range")
        self.instance = instance
        self.started_ms = started_ms
        self.sequence = sequence
        self.service = service
        self.host = host
        self.port = port
        self.slots = slots
        self.is_leaving = is_leaving
        self.cold_left_s = cold_left_s
        self.failure_domain = failure_domain


class ReportVerdict(Enum):
    """What follows from a report or from a statement that a process ends."""

    STALE = "stale"
    """Nothing: a later report of the process or of its successor is known.

    Also for a statement that a process ends of which no report was received.
    """

    UNCONFIRMED = "unconfirmed"
    """Nothing yet: the upstream may have left before this node's restart."""

    SERVING = "serving"
    """The upstream accepts requests."""

    LEAVING = "leaving"
    """The upstream accepts no new requests from now on."""


class UpstreamReportTracker:
    """Orders the reports of the successive upstream processes beside one node.

    Reports may arrive late, out of order, or from a process that has ended. A
    process that started later replaces an earlier one. A process that has
    stated that it is leaving never serves again.

    A statement that a process ends names neither service nor address. That of a
    process without a report may be of another writer, and concerns only the
    later reports of that process.

    A restarted node does not know whether the upstream has left, and reports
    from before that may arrive late, several of them. Each report therefore
    needs other evidence, for `confirm`, until one cannot be as old.
    """

    __slots__ = (
        "_ended_processes",
        "_has_left",
        "_instance",
        "_is_unconfirmed",
        "_sequence",
        "_started_ms",
    )

    def __init__(self, *, is_restart: bool = False) -> None:
        """Starts without a known process.

        Args:
            is_restart: Whether an earlier process of the node may have
                received reports.
        """
        self._is_unconfirmed = is_restart
        self._instance = ""
        self._started_ms = -1
        self._sequence = -1
        self._has_left = False
        # Processes that have stated that they end, by id and start, without a
        # report before; the latest ones.
        self._ended_processes: OrderedDict[tuple[str, int], None] = (
            OrderedDict()
        )

    @property
    def instance(self) -> str:
        """Id of the process of the latest report; empty before the first."""
        return self._instance

    @property
    def ended_process_count(self) -> int:
        """Processes that have stated that they end, without a report."""
        return len(self._ended_processes)

    def apply_report(
        self, report: UpstreamReport, *, may_be_late: bool = True
    ) -> ReportVerdict:
        """Applies a report unless it is stale.

        Args:
            report: The report.
            may_be_late: Whether the report may have been sent before the start
                of this node.

        Returns:
            What follows.
        """
        if report.started_ms < self._started_ms:
            return ReportVerdict.STALE
        is_same_process = (
            report.started_ms == self._started_ms
            and report.instance == self._instance
        )
        if is_same_process and report.sequence <= self._sequence:
            return ReportVerdict.STALE
        if not is_same_process:
            process = (report.instance, report.started_ms)
            self._has_left = process in self._ended_processes
        self._instance = report.instance
        self._started_ms = report.started_ms
        self._sequence = report.sequence
        self._has_left = self._has_left or report.is_leaving
        if self._has_left:
            return ReportVerdict.LEAVING
        if self._is_unconfirmed and may_be_late:
            return ReportVerdict.UNCONFIRMED
        self._is_unconfirmed = False
        return ReportVerdict.SERVING

    def confirm(self, report: UpstreamReport) -> ReportVerdict:
        """Confirms the upstream of an unconfirmed report.

        Args:
            report: The report; stale if a later one has been applied.
        """
        if (
            not self._is_unconfirmed
            or self._has_left
            or report.sequence != self._sequence
            or report.instance != self._instance
        ):
            return ReportVerdict.STALE
        self._is_unconfirmed = False
        return ReportVerdict.SERVING

    def apply_leave(
        self, instance: str, started_ms: int | None
    ) -> ReportVerdict:
        """Applies a statement that a process ends, unless it is stale.

        Args:
            instance: Id of the process.
            started_ms: Start of the process, in milliseconds since the epoch;
                None if it was not stated.
        """
        if instance != self._instance:
            if started_ms is not None:
                self._record_ended(instance, started_ms)
            return ReportVerdict.STALE
        if started_ms is not None and started_ms < self._started_ms:
            return ReportVerdict.STALE
        if started_ms is not None and started_ms > self._started_ms:
            self._started_ms = started_ms
            self._sequence = -1
        self._has_left = True
        return ReportVerdict.LEAVING

    def _record_ended(self, instance: str, started_ms: int) -> None:
        self._ended_processes[instance, started_ms] = None
        self._ended_processes.move_to_end((instance, started_ms))
        if len(self._ended_processes) > _MAX_ENDED_PROCESSES:
            self._ended_processes.popitem(last=False)
