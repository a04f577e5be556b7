"""Applies the reports of the upstream beside a gateway.

Reports that arrive soon after a restart of the node are confirmed by a health
check, as they may be older than the end of the upstream.
"""

import logging
from collections.abc import Callable, Mapping
from typing import Any

from radishtray_node._forwarding import Forwarding
from radishtray_node._local_upstream import Announcement, LocalUpstream
from radishtray_node._timers import TimerWheel
from radishtray_node._upstream_identity import UpstreamIdentity
from radishtray_state import (
    ReportVerdict,
    UpstreamReport,
    UpstreamReportTracker,
)
from radishtray_transport import HttpClient, HttpResponse, RequestFailure

_LOG = logging.getLogger(__name__)
_HEALTH_CHECK_TIMEOUT_S = 1.0
_OK = 200
# Reports may arrive seconds late.
_MAX_REPORT_DELAY_S = 10.0


class UpstreamReports:
    """Announces and withdraws the upstream as its reports say."""

    __slots__ = (
        "_forwarding",
        "_health_paths",
        "_identity",
        "_instance_header",
        "_reactor",
        "_started_s",
        "_timers",
        "_tracker",
        "_unconfirmed_report",
        "_upstream",
    )

    def __init__(
        self,
        reactor: Any,
        timers: TimerWheel,
        upstream: LocalUpstream,
        forwarding: Forwarding,
        instance_header: str,
        identity: UpstreamIdentity,
        *,
        is_restart: bool,
    ) -> None:
        """Starts without a report.

        Args:
            reactor: The Twisted reactor.
            timers: Timer of the health check.
            upstream: The upstream beside the node.
            forwarding: Reads what responses state about the upstream.
            instance_header: Name of the header with the id of the process in
                responses to health checks.
            identity: What the settings of the node say about the upstream.
            is_restart: Whether an earlier process of the node may have
                received reports.
        """
        self._reactor = reactor
        self._started_s = reactor.seconds()
        self._timers = timers
        self._upstream = upstream
        self._forwarding = forwarding
        self._instance_header = instance_header
        self._identity = identity
        self._tracker = UpstreamReportTracker(is_restart=is_restart)
        self._unconfirmed_report: UpstreamReport | None = None
        self._health_paths: Mapping[str, str] = {}

    @property
    def ended_process_count(self) -> int:
        """Processes that have stated that they end, without a report."""
        return self._tracker.ended_process_count

    def accept(self, report: UpstreamReport) -> ReportVerdict:
        """Applies a status report.

        Raises:
            ReportRejectedError: If it is a report of another upstream.
        """
        self._identity.check(
            service=report.service,
            failure_domain=report.failure_domain,
            address=(report.host, report.port),
        )
        age_s = self._reactor.seconds() - self._started_s
        verdict = self._tracker.apply_report(
            report, may_be_late=age_s < _MAX_REPORT_DELAY_S
        )
        if verdict is ReportVerdict.SERVING:
            self._announce(report)
        elif verdict is ReportVerdict.LEAVING:
            self._upstream.withdraw_announcement()
        elif verdict is ReportVerdict.UNCONFIRMED:
            self._unconfirmed_report = report
            self._check_unconfirmed()
        elif verdict is ReportVerdict.STALE:
            _LOG.info(
                "report ignored: a later one is known",
                extra={
                    "instance": report.instance,
                    "started_ms": report.started_ms,
                    "sequence": report.sequence,
                    "known_instance": self._tracker.instance,
                },
            )
        return verdict

    def accept_leave(
        self, instance: str, started_ms: int | None
    ) -> ReportVerdict:
        """Applies the statement of the upstream that it is leaving.

        Args:
            instance: Id of the upstream process.
            started_ms: Start time of the process; None if it was not stated.
        """
        known_instance = self._tracker.instance
        verdict = self._tracker.apply_leave(instance, started_ms)
        if verdict is ReportVerdict.LEAVING:
            self._upstream.withdraw_announcement()
        else:
            _LOG.info(
                "deregistration ignored: "
                + (
                    "a later process is known"
                    if instance == known_instance
                    else "no report of the process is known"
                ),
                extra={
                    "instance": instance,
                    "started_ms": started_ms,
                    "known_instance": known_instance,
                },
            )
        return verdict

    def set_health_paths(self, paths: Mapping[str, str]) -> None:
        """Replaces the paths of health checks, by service."""
        self._health_paths = paths
        self._check_unconfirmed()

    def _announce(self, report: UpstreamReport) -> None:
        self._upstream.accept_announcement(
            Announcement(
                report.service,
                report.host,
                report.port,
                report.slots,
                report.cold_left_s,
                report.instance,
                report.started_ms,
            )
        )

    def _check_unconfirmed(self) -> None:
        """Checks the upstream of an unconfirmed report once its path is known.

        An upstream that is not healthy is used after its next report.
        """
        report = self._unconfirmed_report
        path = self._health_paths.get(report.service) if report else None
        if report is None or path is None:
            return
        self._unconfirmed_report = None

        def handle_result(is_healthy: bool) -> None:
            _LOG.info(
                "upstream checked after a restart of this node",
                extra={"instance": report.instance, "healthy": is_healthy},
            )
            if (
                is_healthy
                and self._tracker.confirm(report) is ReportVerdict.SERVING
            ):
                self._announce(report)

        self._check_health(report, path, handle_result)

    def _check_health(
        self,
        report: UpstreamReport,
        path: str,
        on_result: Callable[[bool], None],
    ) -> None:
        """Requests the health path over a connection of its own.

        Args:
            report: A report of the upstream, with its address and instance.
            path: Path of the health check.
            on_result: Called once with whether the instance answered that it
                is healthy and not leaving.
        """
        client = HttpClient(self._reactor, report.host, report.port, 1)

        sent_at_s = self._reactor.seconds()

        def handle_response(response: HttpResponse) -> None:
            client.close()
            if response.header(self._instance_header) != report.instance:
                on_result(False)
                return
            statements = self._forwarding.read_statements(response)
            if statements.is_limit_readable:
                self._upstream.admission.stated_limit.record_answer(
                    statements.limit_per_s, sent_at_s
                )
            on_result(response.status == _OK and not statements.is_leaving)

        def handle_failure(_failure: RequestFailure) -> None:
            client.close()
            on_result(False)

        pending = client.request(
            "GET", path, [], b"", handle_response, handle_failure
        )
        self._timers.call_later(_HEALTH_CHECK_TIMEOUT_S, pending.cancel)
