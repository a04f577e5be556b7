"""How a call is written to the upstream, and what its answer states."""

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

CONTEXT_HEADER = "Radishtray-Context"
DEADLINE_HEADER = "Radishtray-Deadline-Ms"
REQUEST_ID_HEADER = "Radishtray-Request-Id"
KEY_HEADER = "Idempotency-Key"
HOST_HEADER = "Host"
# Statuses that promise callers that a request has not run.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421


class Forwarding(Protocol):
    """The interface of an upstream.

    Attributes:
        answer_rules: How answers are read.
        uses_handles: Whether the upstream names its requests by handles.
    """

    answer_rules: ResponseRules
    uses_handles: bool

    def send(
        self,
        client: HttpClient,
        call: wire.Call,
        request: RunningRequest,
        handle: str,
        left_ms: int,
        instance: str,
        on_answer: ResponseCallback,
        on_failure: FailureCallback,
    ) -> PendingRequest:
        """Sends a call to the upstream.

        Args:
            client: Connections to the upstream.
            call: The call as received.
            request: Context of the call.
            handle: Names the run for calls that the upstream makes.
            left_ms: Milliseconds until the answer is due.
            instance: The upstream's process that the call is meant for.
            on_answer: Called once with the whole answer.
            on_failure: Called once if there is none.
        """
        ...

    def fault_in(self, answer: HttpResponse) -> RefusalReason | None:
        """Returns why an answer must not be delivered, or None."""
        ...


class ContextForwarding:
    """The product's own interface: a context handle and a deadline."""

    __slots__ = ("answer_rules", "uses_handles")

    def __init__(self) -> None:
        """Uses the default rules for answers."""
        self.answer_rules = ResponseRules()
        self.uses_handles = True

    def send(
        self,
        client: HttpClient,
        call: wire.Call,
        request: RunningRequest,
        handle: str,
        left_ms: int,
        instance: str,
        on_answer: ResponseCallback,
        on_failure: FailureCallback,
    ) -> PendingRequest:
        """Sends a call; see `Forwarding.send`."""
        del instance
        headers = [
            *call.headers,
            CONTEXT_HEADER,
            handle,
            DEADLINE_HEADER,
            str(left_ms),
            REQUEST_ID_HEADER,
            request.request_id.hex(),
        ]
        if request.key is not None:
            headers += [KEY_HEADER, request.key]
        return client.request(
            call.method, call.path, headers, call.body, on_answer, on_failure
        )

    def fault_in(self, answer: HttpResponse) -> RefusalReason | None:
        """Every whole answer is delivered."""
        del answer
        return None


class HeaderNames:
    """Names of the headers that carry a forwarded request's context.

    Attributes:
        request_id: Id of the request; repeated by the answer.
        deadline_ms: Milliseconds that the caller waits.
        expected_instance: Process of the upstream that may run the request.
        caller_service: Service on whose VM the request began.
        not_run: Marks an answer of an upstream that did not run the request.
        signature: Marks a whole answer of an upstream that ran the request.
    """

    __slots__ = (
        "caller_service",
        "deadline_ms",
        "expected_instance",
        "not_run",
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
    ) -> None:
        """Holds the names."""
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.expected_instance = expected_instance
        self.caller_service = caller_service
        self.not_run = not_run
        self.signature = signature

    @property
    def set_by_nodes(self) -> frozenset[bytes]:
        """Names in lower case that are never taken over from a caller."""
        names = (self.deadline_ms, self.expected_instance, self.caller_service)
        return frozenset(name.lower().encode() for name in names)


class HeaderForwarding:
    """Requests forwarded unchanged, with their context in headers."""

    __slots__ = ("_names", "answer_rules", "uses_handles")

    def __init__(self, names: HeaderNames, idle_limit_s: float) -> None:
        """Takes the names of the headers.

        Args:
            names: Names of the headers.
            idle_limit_s: Seconds after which an idle connection to the
                upstream is not used again.
        """
        self._names = names
        self.uses_handles = False
        self.answer_rules = ResponseRules(
            allows_close_delimited=True,
            request_id_header=names.request_id,
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
        on_answer: ResponseCallback,
        on_failure: FailureCallback,
    ) -> PendingRequest:
        """Sends a call; see `Forwarding.send`."""
        del handle
        names = self._names
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
            on_answer,
            on_failure,
            host=host,
            expected_request_id=request.request_id.decode("latin-1"),
        )

    def fault_in(self, answer: HttpResponse) -> RefusalReason | None:
        """Returns why an answer must not be delivered, or None."""
        names = self._names
        if answer.status == _MISDIRECTED:
            return RefusalReason.UPSTREAM_REPLACED
        if answer.header(names.not_run) is not None:
            return RefusalReason.UPSTREAM_BUSY
        if answer.header("Content-Encoding") is not None:
            return RefusalReason.UPSTREAM_LOST
        is_success = 200 <= answer.status < 300
        if is_success and answer.header(names.signature) is None:
            return RefusalReason.UPSTREAM_LOST
        if answer.status in PROMISING_STATUSES:
            # Passed on, the status would promise that nothing has run.
            return RefusalReason.UPSTREAM_LOST
        return None
