"""Requests of outside callers."""

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
"""Returns the configuration in force, or None before the first one."""


class _EntryRequest:
    """One request of a caller, from its arrival to the answer."""

    __slots__ = (
        "_entry",
        "_http",
        "_is_gone",
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
        self._is_gone = False
        http.on_disconnect = self._disconnected

    def finish(self, result: CallResult) -> None:
        """Answers the caller, if it has not disconnected."""
        entry = self._entry
        entry.active -= 1
        if self._is_gone:
            return
        if result.refusal is not None:
            entry.router.metrics.count_delivered_refusal(result.refusal)
        entry.timer.record(entry.router.clock.monotonic() - self._started_s)
        self._http.respond(result.status, result.headers, result.body)

    def _disconnected(self) -> None:
        """Cancels the calls, but lets a keyed run go on for a resend.

        The keyed run counts as active until it ends, so a drain waits for it.
        """
        self._is_gone = True
        if not self._kind.at_most_once:
            self._entry.active -= 1
            self._request.cancel_calls()


class Entry:
    """Handler of the caller listener.

    Attributes:
        router: Sends the calls.
        timer: Time from a request's arrival to its answer.
        active: Requests that have not been answered.
        is_draining: Whether new requests are refused.
    """

    __slots__ = (
        "_document",
        "_kind_counters",
        "active",
        "is_draining",
        "router",
        "timer",
    )

    def __init__(
        self,
        router: CallRouter,
        document: DocumentSource,
    ) -> None:
        """Starts without requests.

        Args:
            router: Sends the calls.
            document: Source of the configuration in force.
        """
        self.router = router
        self.timer = router.metrics.create_stage_timer("entry")
        self.active = 0
        self.is_draining = False
        self._document = document
        self._kind_counters: dict[str, Callable[[], None]] = {}

    def handle(self, http: HttpRequest) -> None:
        """Classifies a request and sends it on its way."""
        document = self._document()
        if self.is_draining:
            self._refuse(http, RefusalReason.DRAINING)
            return
        if document is None:
            self._refuse(http, RefusalReason.NO_CONFIGURATION)
            return
        target = parse_target(http.uri)
        if target is None:
            self._refuse(http, RefusalReason.BAD_REQUEST)
            return
        method = http.method.decode("latin-1")
        kind = document.classify(target.service, method, target.path)
        if kind is None:
            known = target.service in document.services
            self._refuse(
                http,
                RefusalReason.UNKNOWN_KIND
                if known
                else RefusalReason.UNKNOWN_SERVICE,
            )
            return
        key = self._key_of(http, kind)
        if isinstance(key, RefusalReason):
            self._refuse(http, key)
            return
        self._call(http, kind, method, target.path_and_query, key)

    def _call(
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
        self._count(kind.qualified_name)
        exchange = _EntryRequest(self, http, kind, request, now_s)
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
            exchange.finish,
        ).start()

    def _count(self, kind: str) -> None:
        counter = self._kind_counters.get(kind)
        if counter is None:
            counter = self.router.metrics.requests.labels(kind).inc
            self._kind_counters[kind] = counter
        counter()

    @staticmethod
    def _key_of(
        http: HttpRequest, kind: RequestKind
    ) -> RequestKey | RefusalReason | None:
        if not kind.at_most_once:
            return None
        value = http.header(b"Idempotency-Key")
        if value is None:
            return RefusalReason.KEY_MISSING
        parsed = RequestKey.parse(value.decode("latin-1"))
        return parsed.ok if parsed.is_ok() else RefusalReason.KEY_INVALID

    def _refuse(self, http: HttpRequest, reason: RefusalReason) -> None:
        self.router.metrics.count_refusal(reason)
        self.router.metrics.count_delivered_refusal(reason)
        result = CallResult.refused(reason)
        http.respond(result.status, result.headers, result.body)
