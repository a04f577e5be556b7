"""HTTP interface of the node for its upstream: announcements and calls."""

import logging
from typing import TYPE_CHECKING

from radishtray_node._call_result import CallResult
from radishtray_node._call_router import CallRouter
from radishtray_node._entry import DocumentSource
from radishtray_node._forwarding import CONTEXT_HEADER
from radishtray_node._local_upstream import LocalUpstream, parse_announcement
from radishtray_node._outgoing_call import OutgoingCall
from radishtray_node._request_parts import forwarded_headers, parse_target
from radishtray_node._running_request import RunningRequest, RunningRequests
from radishtray_protocol import RequestKind
from radishtray_state import RefusalReason, RequestKey, fingerprint
from radishtray_transport import HttpRequest

if TYPE_CHECKING:
    from radishtray_protocol import Document

_LOG = logging.getLogger(__name__)
_CALL_PREFIX = b"/call"
_CONTEXT_HEADER = CONTEXT_HEADER.encode()


class UpstreamApi:
    """Handles requests at the loopback listener for the upstream.

    `PUT /announce` registers the upstream or renews its registration, `DELETE
    /announce` withdraws it, and `/call/<service>/<path>` makes a call on behalf
    of the request whose handle is in the `Radishtray-Context` header.
    """

    __slots__ = ("_get_document", "_router", "_running_requests", "_upstream")

    def __init__(
        self,
        router: CallRouter,
        get_document: DocumentSource,
        upstream: LocalUpstream,
        running_requests: RunningRequests,
    ) -> None:
        """Creates the handler.

        Args:
            router: Sends the calls.
            get_document: Returns the configuration in force.
            upstream: Receives the announcements.
            running_requests: Requests that the upstream is running, by handle.
        """
        self._router = router
        self._get_document = get_document
        self._upstream = upstream
        self._running_requests = running_requests

    def handle(self, http: HttpRequest) -> None:
        """Dispatches one request by its path and method."""
        uri: bytes = http.uri
        if uri.startswith(_CALL_PREFIX + b"/"):
            self._handle_call(http, uri[len(_CALL_PREFIX) :])
        elif uri == b"/announce" and http.method == b"PUT":
            self._handle_announcement(http)
        elif uri == b"/announce" and http.method == b"DELETE":
            self._upstream.withdraw_announcement()
            http.respond(204, [], b"")
        else:
            http.respond(404, [], b"no such path\n")

    def _handle_announcement(self, http: HttpRequest) -> None:
        parsed = parse_announcement(http.body)
        if parsed.is_error():
            http.respond(400, [], f"{parsed.error}\n".encode())
            return
        self._upstream.accept_announcement(parsed.ok)
        http.respond(204, [], b"")

    def _handle_call(self, http: HttpRequest, uri: bytes) -> None:
        document = self._get_document()
        target = parse_target(uri)
        if document is None:
            self._respond_refused(http, RefusalReason.NO_CONFIGURATION)
            return
        if target is None:
            self._respond_refused(http, RefusalReason.BAD_REQUEST)
            return
        method = http.method.decode("latin-1")
        kind = document.classify(target.service, method, target.path)
        if kind is None:
            self._respond_refused(
                http, _unclassified_reason(document, target.service)
            )
            return
        handle = http.header(_CONTEXT_HEADER)
        parent = None
        if handle is not None:
            parent = self._running_requests.get(handle.decode("latin-1"))
        self._start_call(http, kind, method, target.path_and_query, parent)

    def _start_call(
        self,
        http: HttpRequest,
        kind: RequestKind,
        method: str,
        path: str,
        parent: RunningRequest | None,
    ) -> None:
        router = self._router
        digest = fingerprint(kind.service, kind.name, path, http.body)
        key = self._resolve_key(http, kind, method, path, parent)
        if isinstance(key, RefusalReason):
            self._respond_refused(http, key)
            return
        if parent is None:
            # Without a context the retry budget of the chain is unknown, so
            # this call gets no retries.
            parent = RunningRequest.at_entry(
                kind, router.clock.monotonic(), None, digest, 0
            )
        router.metrics.upstream_calls.inc()

        def finish(result: CallResult) -> None:
            http.respond(result.status, result.headers, result.body)

        call = OutgoingCall(
            router,
            parent,
            kind,
            method,
            path,
            forwarded_headers(http),
            http.body,
            key,
            False,
            digest,
            finish,
        )
        if not kind.at_most_once:
            http.on_disconnect = call.cancel
        call.start()

    @staticmethod
    def _resolve_key(
        http: HttpRequest,
        kind: RequestKind,
        method: str,
        path: str,
        parent: RunningRequest | None,
    ) -> RequestKey | RefusalReason | None:
        """Returns the key of an at-most-once call, or why it has none.

        If the parent request has a key, the key is derived from it, so that a
        resend of the parent makes its calls with the same keys again.
        Otherwise it is the `Idempotency-Key` header of the call.
        """
        if not kind.at_most_once:
            return None
        key_text = http.header(b"Idempotency-Key")
        if parent is not None and parent.key is not None:
            key_text = parent.key.encode()
        if key_text is None:
            return RefusalReason.KEY_MISSING
        parsed = RequestKey.parse(key_text.decode("latin-1"))
        if parsed.is_error():
            return RefusalReason.KEY_INVALID
        if parent is None or parent.key is None:
            return parsed.ok
        call_name = http.header(b"Radishtray-Call-Name") or b""
        return RequestKey.derive(
            parsed.ok,
            kind.service,
            method,
            path,
            http.body,
            call_name.decode("latin-1"),
        )

    def _respond_refused(
        self, http: HttpRequest, reason: RefusalReason
    ) -> None:
        self._router.metrics.count_refusal(reason)
        result = CallResult.refused(reason)
        http.respond(result.status, result.headers, result.body)


def _unclassified_reason(document: "Document", service: str) -> RefusalReason:
    if service in document.services:
        return RefusalReason.UNKNOWN_KIND
    return RefusalReason.UNKNOWN_SERVICE
