"""Requests from callers outside the system."""

from collections.abc import Callable

from radishtray_node._call_result import CallResult
from radishtray_node._call_router import CallRouter
from radishtray_node._outgoing_call import OutgoingCall
from radishtray_node._request_parts import forwarded_headers, parse_target
from radishtray_node._running_request import RunningRequest
from radishtray_protocol import Document, RequestKind
from radishtray_state import RefusalReason, RequestKey, fingerprint
from radishtray_transport import HttpRequest

DocumentSource = Callable[[], Document | None]
"""Returns the configuration in force; None before one was received."""


class _EntryRequest:
    """One caller's request, from its arrival to its answer."""

    __slots__ = (
        "_entry",
        "_http",
        "_is_disconnected",
        "_kind",
        "_request",
        "_started_s",
    )

    def __init__(
        self,
        entry: "Entry",
        http: HttpRequest,
        kind: RequestKind,
        request: RunningRequest,
        started_s: float,
    ) -> None:
        self._entry = entry
        self._http = http
        self._kind = kind
        self._request = request
        self._started_s = started_s
        self._is_disconnected = False
        http.on_disconnect = self._handle_disconnect

    def finish(self, result: CallResult) -> None:
        """Sends the result to the caller unless it has disconnected."""
        entry = self._entry
        entry.active -= 1
        if self._is_disconnected:
            return
        if result.refusal is not None:
            entry.router.metrics.count_delivered_refusal(result.refusal)
        entry.timer.record(entry.router.clock.monotonic() - self._started_s)
        self._http.respond(result.status, result.headers, result.body)

    def _handle_disconnect(self) -> None:
        """Cancels the calls of the request unless it has an idempotency key.

        A request with a key continues, so that a resend can get its answer. It
        counts as active until it ends, so that a drain waits for it.
        """
        self._is_disconnected = True
        if not self._kind.at_most_once:
            self._entry.active -= 1
            self._request.cancel_outgoing_calls()


class Entry:
    """Handles requests at the listener for callers.

    Attributes:
        router: Sends the calls.
        timer: Records the time from a request's arrival to its answer.
        active: Number of requests that have not been answered.
        is_draining: Whether new requests are refused.
    """

    __slots__ = (
        "_get_document",
        "_kind_counters",
        "active",
        "is_draining",
        "router",
        "timer",
    )

    def __init__(
        self,
        router: CallRouter,
        get_document: DocumentSource,
    ) -> None:
        """Creates a handler without requests.

        Args:
            router: Sends the calls.
            get_document: Returns the configuration in force.
        """
        self.router = router
        self.timer = router.metrics.create_stage_timer("entry")
        self.active = 0
        self.is_draining = False
        self._get_document = get_document
        self._kind_counters: dict[str, Callable[[], None]] = {}

    def handle(self, http: HttpRequest) -> None:
        """Determines the kind of a request and calls its service."""
        document = self._get_document()
        if self.is_draining:
            self._respond_refused(http, RefusalReason.DRAINING)
            return
        if document is None:
            self._respond_refused(http, RefusalReason.NO_CONFIGURATION)
            return
        target = parse_target(http.uri)
        if target is None:
            self._respond_refused(http, RefusalReason.BAD_REQUEST)
            return
        method = http.method.decode("latin-1")
        kind = document.classify(target.service, method, target.path)
        if kind is None:
            known = target.service in document.services
            self._respond_refused(
                http,
                RefusalReason.UNKNOWN_KIND
                if known
                else RefusalReason.UNKNOWN_SERVICE,
            )
            return
        key = self._read_key(http, kind)
        if isinstance(key, RefusalReason):
            self._respond_refused(http, key)
            return
        self._start_call(http, kind, method, target.path_and_query, key)

    def _start_call(
        self,
        http: HttpRequest,
        kind: RequestKind,
        method: str,
        path: str,
        key: RequestKey | None,
    ) -> None:
        router = self.router
        now_s = router.clock.monotonic()
        digest = fingerprint(kind.service, kind.name, path, http.body)
        request = RunningRequest.at_entry(
            kind,
            now_s,
            None if key is None else str(key),
            digest,
            kind.retry_budget,
        )
        self.active += 1
        self._count_request(kind.qualified_name)
        entry_request = _EntryRequest(self, http, kind, request, now_s)
        OutgoingCall(
            router,
            request,
            kind,
            method,
            path,
            forwarded_headers(http),
            http.body,
            key,
            http.header(b"Radishtray-Send") == b"first",
            digest,
            entry_request.finish,
        ).start()

    def _count_request(self, kind: str) -> None:
        counter = self._kind_counters.get(kind)
        if counter is None:
            counter = self.router.metrics.requests.labels(kind).inc
            self._kind_counters[kind] = counter
        counter()

    @staticmethod
    def _read_key(
        http: HttpRequest, kind: RequestKind
    ) -> RequestKey | RefusalReason | None:
        if not kind.at_most_once:
            return None
        value = http.header(b"Idempotency-Key")
        if value is None:
            return RefusalReason.KEY_MISSING
        parsed = RequestKey.parse(value.decode("latin-1"))
        return parsed.ok if parsed.is_ok() else RefusalReason.KEY_INVALID

    def _respond_refused(
        self, http: HttpRequest, reason: RefusalReason
    ) -> None:
        self.router.metrics.count_refusal(reason)
        self.router.metrics.count_delivered_refusal(reason)
        result = CallResult.refused(reason)
        http.respond(result.status, result.headers, result.body)
