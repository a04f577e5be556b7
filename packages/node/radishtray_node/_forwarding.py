"""Sends calls to the upstream beside the node and validates its responses.

Two implementations of `Forwarding` exist: `ContextForwarding` uses the
product's own upstream interface, and `HeaderForwarding` passes requests on
unchanged with their context in configurable headers.
"""

import itertools
import logging
from math import isfinite
from typing import Protocol

from radishtray_node._running_request import RunningRequest
from radishtray_protocol import wire
from radishtray_state import RefusalReason
from radishtray_transport import (
    FailureCallback,
    HttpClient,
    HttpResponse,
    PendingRequest,
    ResponseCallback,
    ResponseRules,
)

_LOG = logging.getLogger(__name__)
CONTEXT_HEADER = "Radishtray-Context"
DEADLINE_HEADER = "Radishtray-Deadline-Ms"
REQUEST_ID_HEADER = "Radishtray-Request-Id"
SEND_ID_HEADER = "Radishtray-Send-Id"
KEY_HEADER = "Idempotency-Key"
HOST_HEADER = "Host"
# Statuses that tell a caller that the request was not executed, so that it may
# safely send the request again.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED_REQUEST = 421


class UpstreamStatements:
    """What a response states about its upstream.

    Attributes:
        limit_per_s: Requests per second that the upstream takes, or None.
        is_limit_readable: Whether the limit, if one is stated, is a number.
        is_leaving: Whether the upstream is leaving.
    """

    __slots__ = ("is_leaving", "is_limit_readable", "limit_per_s")

    def __init__(
        self,
        limit_per_s: float | None = None,
        *,
        is_limit_readable: bool = True,
        is_leaving: bool = False,
    ) -> None:
        """Stores the statements."""
        self.limit_per_s = limit_per_s
        self.is_limit_readable = is_limit_readable
        self.is_leaving = is_leaving


_NO_STATEMENTS = UpstreamStatements()


class Forwarding(Protocol):
    """How a node sends calls to the upstream beside it.

    Attributes:
        response_rules: Rules for reading the upstream's HTTP responses.
        uses_handles: Whether each run gets a context handle, which the
            upstream states in the calls that it makes for the run.
    """

    response_rules: ResponseRules
    uses_handles: bool

    def send(
        self,
        client: HttpClient,
        call: wire.Call,
        request: RunningRequest,
        handle: str,
        left_ms: int,
        instance: str,
        on_response: ResponseCallback,
        on_failure: FailureCallback,
    ) -> PendingRequest:
        """Sends a call to the upstream.

        Args:
            client: Connections to the upstream.
            call: The call as received from the sending node.
            request: Context of the call.
            handle: Context handle that links calls made by the upstream to
                this run.
            left_ms: Milliseconds until the deadline of the call.
            instance: Id of the upstream process that the call is meant for.
            on_response: Called once with the complete response.
            on_failure: Called once if no complete response arrives.
        """
        ...

    def rejection_reason(self, response: HttpResponse) -> RefusalReason | None:
        """Returns why a response must not be delivered, or None."""
        ...

    def read_statements(self, response: HttpResponse) -> UpstreamStatements:
        """Returns what a response states about its upstream."""
        ...


class ContextForwarding:
    """Forwarding over the product's own upstream interface.

    Adds the context handle, the deadline, the request id and the id of the
    send as headers. If the upstream repeats the id of the send, a late answer
    to an earlier request on the same connection is detected.
    """

    __slots__ = ("_send_numbers", "response_rules", "uses_handles")

    def __init__(self) -> None:
        """Starts to number the sends of this process."""
        self._send_numbers = itertools.count(1)
        self.response_rules = ResponseRules(
            request_id_header=SEND_ID_HEADER, requires_request_id=False
        )
        self.uses_handles = True

    def send(
        self,
        client: HttpClient,
        call: wire.Call,
        request: RunningRequest,
        handle: str,
        left_ms: int,
        instance: str,
        on_response: ResponseCallback,
        on_failure: FailureCallback,
    ) -> PendingRequest:
        """Sends a call; see `Forwarding.send`."""
        del instance
        send_id = str(next(self._send_numbers))
        headers = [
            *call.headers,
            CONTEXT_HEADER,
            handle,
            DEADLINE_HEADER,
            str(left_ms),
            REQUEST_ID_HEADER,
            request.request_id.hex(),
            SEND_ID_HEADER,
            send_id,
        ]
        if request.key is not None:
            headers += [KEY_HEADER, request.key]
        return client.request(
            call.method,
            call.path,
            headers,
            call.body,
            on_response,
            on_failure,
            expected_request_id=send_id,
        )

    def rejection_reason(self, response: HttpResponse) -> RefusalReason | None:
        """Returns None: every complete response is delivered."""
        del response
        return None

    def read_statements(self, response: HttpResponse) -> UpstreamStatements:
        """Returns no statements: this interface has none."""
        del response
        return _NO_STATEMENTS


class HeaderNames:
    """Names of the headers that carry a forwarded request's context.

    Attributes:
        request_id: Id of the request; the response must repeat it.
        deadline_ms: Milliseconds that the caller waits for the response.
        expected_instance: Id of the only upstream process that may run the
            request.
        caller_service: Service on whose VM the request began.
        not_run: Present in the response of an upstream that did not run the
            request.
        signature: Present in a complete response of an upstream that ran the
            request.
        instance: Id of the upstream process, in responses to health checks.
        limit: Requests per second that the upstream takes, while it needs such
            a limit.
        leaving: Present in the responses of an upstream that is leaving.
        organisation: Name of the organisation that the caller belongs to.
    """

    __slots__ = (
        "caller_service",
        "deadline_ms",
        "expected_instance",
        "instance",
        "leaving",
        "limit",
        "not_run",
        "organisation",
        "request_id",
        "signature",
    )

    def __init__(
        self,
        *,
        request_id: str,
        deadline_ms: str,
        expected_instance: str,
        caller_service: str,
        not_run: str,
        signature: str,
        instance: str,
        limit: str,
        leaving: str,
        organisation: str = "Radishtray-Organisation",
    ) -> None:
        """Stores the names unchecked."""
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.expected_instance = expected_instance
        self.caller_service = caller_service
        self.not_run = not_run
        self.signature = signature
        self.instance = instance
        self.limit = limit
        self.leaving = leaving
        self.organisation = organisation

    @property
    def set_by_nodes(self) -> frozenset[bytes]:
        """Lower-case names that nodes set and never copy from a caller."""
        names = (self.deadline_ms, self.expected_instance, self.caller_service)
        return frozenset(name.lower().encode() for name in names)


class HeaderForwarding:
    """Forwarding of unchanged requests with their context in headers."""

    __slots__ = ("_header_names", "response_rules", "uses_handles")

    def __init__(self, header_names: HeaderNames, idle_limit_s: float) -> None:
        """Builds the response rules for the given headers.

        Args:
            header_names: Names of the context headers.
            idle_limit_s: Seconds after which an idle connection to the
                upstream is not reused.
        """
        self._header_names = header_names
        self.uses_handles = False
        self.response_rules = ResponseRules(
            allows_close_delimited=True,
            request_id_header=header_names.request_id,
            idle_limit_s=idle_limit_s,
        )

    def send(
        self,
        client: HttpClient,
        call: wire.Call,
        request: RunningRequest,
        handle: str,
        left_ms: int,
        instance: str,
        on_response: ResponseCallback,
        on_failure: FailureCallback,
    ) -> PendingRequest:
        """Sends a call; see `Forwarding.send`."""
        del handle
        names = self._header_names
        host: str | None = None
        headers: list[str] = []
        for name, value in zip(
            call.headers[::2], call.headers[1::2], strict=True
        ):
            if name == HOST_HEADER:
                host = value
            else:
                headers += (name, value)
        headers += (names.deadline_ms, str(left_ms))
        headers += (names.expected_instance, instance)
        return client.request(
            call.method,
            call.path,
            headers,
            call.body,
            on_response,
            on_failure,
            host=host,
            expected_request_id=request.request_id.decode("latin-1"),
        )

    def rejection_reason(self, response: HttpResponse) -> RefusalReason | None:
        """Returns why a response must not be delivered, or None."""
        names = self._header_names
        if response.status == _MISDIRECTED_REQUEST:
            return RefusalReason.UPSTREAM_REPLACED
        if response.header(names.not_run) is not None:
            return RefusalReason.UPSTREAM_BUSY
        if response.header("Content-Encoding") is not None:
            return RefusalReason.UPSTREAM_LOST
        is_success = 200 <= response.status < 300
        if is_success and response.header(names.signature) is None:
            return RefusalReason.UPSTREAM_LOST
        if response.status in NOT_RUN_STATUSES:
            # Without the not-run header the request may have run, but a caller
            # would take this status to mean that it did not.
            return RefusalReason.UPSTREAM_LOST
        return None

    def read_statements(self, response: HttpResponse) -> UpstreamStatements:
        """Returns what a response states about its upstream."""
        names = self._header_names
        limit = response.header(names.limit)
        is_leaving = response.header(names.leaving) is not None
        if limit is None and not is_leaving:
            return _NO_STATEMENTS
        limit_per_s = None if limit is None else _parse_limit(limit)
        return UpstreamStatements(
            limit_per_s,
            is_limit_readable=limit is None or limit_per_s is not None,
            is_leaving=is_leaving,
        )


def _parse_limit(text: str) -> float | None:
    try:
        limit_per_s = float(text)
    except ValueError:
        limit_per_s = -1.0
    if isfinite(limit_per_s) and limit_per_s >= 0:
        return limit_per_s
    _LOG.warning(
        "upstream states a request rate that is not a number; ignoring it",
        extra={"text": text[:32]},
    )
    return None
