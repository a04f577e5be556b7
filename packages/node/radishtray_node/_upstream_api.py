"""The loopback listener of the upstream: announcements and its own calls."""

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
    """Handler of the upstream listener.

    `PUT /announce` takes an announcement or heartbeat, `DELETE /announce` ends
    it, and `/call/<service>/<path>` makes a call on behalf of the request whose
    handle stands in `Radishtray-Context`.
    """

    __slots__ = ("_document", "_router", "_running", "_upstream")

    def __init__(
        self,
        router: CallRouter,
        document: DocumentSource,
        upstream: LocalUpstream,
        running: RunningRequests,
    ) -> None:
        """Joins what the handler needs.

        Args:
            router: Sends the calls.
            document: Source of the configuration in force.
            upstream: Takes announcements.
            running: Requests at the upstream, by handle.
        """
        self._router = router
        self._document = document
        self._upstream = upstream
        self._running = running

    def handle(self, http: HttpRequest) -> None:
        """Handles one request of the upstream."""
        uri: bytes = http.uri
        if uri.startswith(_CALL_PREFIX + b"/"):
            self._call(http, uri[len(_CALL_PREFIX) :])
        elif uri == b"/announce" and http.method == b"PUT":
            self._announce(http)
        elif uri == b"/announce" and http.method == b"DELETE":
            self._upstream.leave()
            http.respond(204, [], b"")
        else:
            http.respond(404, [], b"no such path\n")

    def _announce(self, http: HttpRequest) -> None:
        parsed = parse_announcement(http.body)
        if parsed.is_error():
            http.respond(400, [], f"{parsed.error}\n".encode())
            return
        self._upstream.announce(parsed.ok)
        http.respond(204, [], b"")

    def _call(self, http: HttpRequest, uri: bytes) -> None:
        document = self._document()
        target = parse_target(uri)
        if document is None:
            self._refuse(http, RefusalReason.NO_CONFIGURATION)
            return
        if target is None:
            self._refuse(http, RefusalReason.BAD_REQUEST)
            return
        method = http.method.decode("latin-1")
        kind = document.classify(target.service, method, target.path)
        if kind is None:
            self._refuse(http, _unknown(document, target.service))
            return
        handle = http.header(_CONTEXT_HEADER)
        parent = None
        if handle is not None:
            parent = self._running.get(handle.decode("latin-1"))
        self._send(http, kind, method, target.path_and_query, parent)

    def _send(
        self,
        http: HttpRequest,
        kind: RequestKind,
        method: str,
        path: str,
        parent: RunningRequest | None,
    ) -> None:
        router = self._router
        digest = fingerprint(kind.service, kind.name, path, http.body)
        key = self._key(http, kind, method, path, parent)
        if isinstance(key, RefusalReason):
            self._refuse(http, key)
            return
        if parent is None:
            # Without a context nothing is known of the chain: no retries.
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
    def _key(
        http: HttpRequest,
        kind: RequestKind,
        method: str,
        path: str,
        parent: RunningRequest | None,
    ) -> RequestKey | RefusalReason | None:
        """Derives the key of an at-most-once call from its parent's."""
        if not kind.at_most_once:
            return None
        text = http.header(b"Idempotency-Key")
        if parent is not None and parent.key is not None:
            text = parent.key.encode()
        if text is None:
            return RefusalReason.KEY_MISSING
        parsed = RequestKey.parse(text.decode("latin-1"))
        if parsed.is_error():
            return RefusalReason.KEY_INVALID
        if parent is None or parent.key is None:
            return parsed.ok
        name = http.header(b"Radishtray-Call-Name") or b""
        return RequestKey.derive(
            parsed.ok,
            kind.service,
            method,
            path,
            http.body,
            name.decode("latin-1"),
        )

    def _refuse(self, http: HttpRequest, reason: RefusalReason) -> None:
        self._router.metrics.count_refusal(reason)
        result = CallResult.refused(reason)
        http.respond(result.status, result.headers, result.body)


def _unknown(document: "Document", service: str) -> RefusalReason:
    if service in document.services:
        return RefusalReason.UNKNOWN_KIND
    return RefusalReason.UNKNOWN_SERVICE
