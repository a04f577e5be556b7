"""The upstream beside a node, as the settings of the node state it."""

from ipaddress import ip_address

from radishtray_node._report_rejection import (
    ReportRejectedError,
    ReportRejection,
)


class UpstreamIdentity:
    """Tells reports of the upstream beside a node from those of other writers.

    Other writers may send reports, too. These must not reach the order of the
    reports: a later start in one of them would make all reports of the upstream
    stale.
    """

    __slots__ = ("_address", "_failure_domain", "_service")

    def __init__(
        self,
        service: str,
        failure_domain: str,
        address: tuple[str, int] | None,
    ) -> None:
        """Takes what the settings state.

        Args:
            service: Service of the upstream.
            failure_domain: Failure domain of the VM.
            address: IP address and port of the upstream; None if the settings
                do not state them, so that any is accepted.

        Raises:
            ValueError: If the address is not an IP address.
        """
        self._service = service
        self._failure_domain = failure_domain
        self._address = _parse_address(address) if address else None

    def check(
        self,
        *,
        service: str | None = None,
        failure_domain: str | None = None,
        address: tuple[str, int] | None = None,
    ) -> None:
        """Checks what a report states; what it does not state is None.

        Raises:
            ReportRejectedError: If the report is of another upstream.
            ValueError: If the address is not an IP address.
        """
        if service is not None and service != self._service:
            raise ReportRejectedError(
                ReportRejection.OTHER_SERVICE,
                f"service {service!r} is not {self._service!r}",
            )
        if failure_domain is not None and (
            failure_domain != self._failure_domain
        ):
            raise ReportRejectedError(
                ReportRejection.OTHER_FAILURE_DOMAIN,
                f"failure domain {failure_domain!r} is not "
                f"{self._failure_domain!r}",
            )
        if (
            address is not None
            and self._address is not None
            and _parse_address(address) != self._address
        ):
            raise ReportRejectedError(
                ReportRejection.OTHER_ADDRESS,
                f"address {_format_address(address)} is not "
                f"{_format_address(self._address)}",
            )


def _parse_address(address: tuple[str, int]) -> tuple[object, int]:
    host, port = address
    return ip_address(host), port


def _format_address(address: tuple[object, int]) -> str:
    host, port = address
    return f"{host}:{port}"
