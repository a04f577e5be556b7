"""Client side of one keep-alive HTTP/1.1 connection."""

import re
from typing import Protocol as TypingProtocol

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from radishtray_transport._body_buffer import BodyBuffer
from radishtray_transport._http_exchange import (
    HeaderList,
    HttpResponse,
    PendingRequest,
    RequestFailure,
    ResponseFault,
    ResponseRules,
)
from radishtray_transport._keep_alive import enable_keep_alive
from radishtray_transport._memory_account import (
    SMALL_BODY_BYTES,
    MemoryAccount,
    MemoryPriority,
    MemoryPurpose,
)
from radishtray_transport._piece_writer import PieceWriter

# Hop-by-hop headers and Content-Length are not part of the reported response.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"content-length",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
    )
)
_FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
# Bytes that a server may send for one request in addition to bodies: heads of
# interim, other and final responses, chunk framing and trailers.
_MAX_OVERHEAD_BYTES = 65536
# Added to the overhead for each part of a body, for its chunk framing.
_MAX_FRAMING_BYTES = 16
_MAX_HEADERS = 500
_BODILESS_STATUSES = frozenset((204, 304))
_SERVICE_UNAVAILABLE = 503
_STATUSES = range(100, 600)
_PROTOCOL_PREFIX = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")
# Request ids that a connection remembers, the newest ones.
_MAX_REMEMBERED_IDS = 64
# A connection is not reused after this fraction of the idle timeout that the
# server states. A request that is sent while the server closes the connection
# has an unknown outcome.
_KEEP_ALIVE_FRACTION = 0.7


class ConnectionPool(TypingProtocol):
    """The pool that assigns requests to its connections.

    Attributes:
        max_body_bytes: Maximum size of a response body.
        rules: How responses are read.
        memory: Account for large bodies that are being read; None for no limit.
        uses_keep_alive: Whether silent connections are to be ended.
        may_read_slowly: Whether a server that reads nothing for seconds is not
            taken for silent.
    """

    max_body_bytes: int
    may_read_slowly: bool
    memory: MemoryAccount | None
    rules: ResponseRules
    uses_keep_alive: bool

    def connection_opened(self, connection: "HttpConnection") -> None:
        """Adds a new connection to the pool."""
        ...

    def connection_idle(self, connection: "HttpConnection") -> None:
        """Sends the next request on an idle connection, or keeps it idle."""
        ...

    def connection_closed(self, connection: "HttpConnection") -> None:
        """Removes a closed connection from the pool."""
        ...

    def report_fault(self, fault: ResponseFault) -> None:
        """Reports a fault in what the server sent."""
        ...


class HttpConnection(Protocol):
    """One keep-alive connection with at most one request in flight.

    A connection that received bytes that belong to no request, a response to
    another request or one without the id of its request is closed, as its next
    response can't be trusted.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        """Creates the protocol of a connection that `pool` opens."""
        self.idle_since_s = 0.0
        self._pool = pool
        self._rules = pool.rules
        self._id_header = pool.rules.request_id_header.encode("latin-1")
        self._idle_limit_s = pool.rules.idle_limit_s
        self._max_body_bytes = pool.max_body_bytes
        self._memory = pool.memory
        self._has_large_body = False
        self._is_reading_paused = False
        self._parser: HttpResponseParser | None = HttpResponseParser(self)
        self._pending: PendingRequest | None = None
        # Keys are the ids of the newest requests; a dict keeps their order.
        self._sent_ids: dict[str, None] = {}
        # Whether a response to another request was received and dropped.
        self._dropped_other_response = False
        # Whether the response is malformed or exceeds a limit.
        self._is_invalid = False
        self._is_complete = False
        self._has_extra_bytes = False
        # Bytes other than bodies that the server may still send.
        self._overhead_left = 0
        # Bodies of responses to other requests.
        self._dropped_body_bytes = 0
        self._body = BodyBuffer()
        self._reset_response()

    def _reset_response(self) -> None:
        self._status = 0
        self._headers: HeaderList = []
        self._body.clear()
        self._end_large_body()
        self._is_parsing_head = True
        self._has_framing_header = False
        self._stated_length: int | None = None
        self._reason_phrase = b""
        self._keep_alive = True
        self._is_close_delimited = False
        self._stated_id: str | None = None
        self._has_two_ids = False
        self._is_for_other_request = False
        self._is_unidentified = False

    @property
    def idle_limit_s(self) -> float:
        """Idle seconds after which the connection is not reused."""
        return self._idle_limit_s

    @property
    def held_bytes(self) -> int:
        """Bytes of the body of a response that has not been read whole."""
        return self._body.size

    def has_sent(self, pending: PendingRequest) -> bool:
        """Returns whether a recent request on this connection had this id.

        A second response to that request would pass as one to `pending`.
        """
        return pending.expected_request_id in self._sent_ids

    def connectionMade(self) -> None:
        """Prepares the transport and adds the connection to its pool."""
        self.transport.setTcpNoDelay(True)
        if self._pool.uses_keep_alive:
            enable_keep_alive(
                self.transport, limits_transit=not self._pool.may_read_slowly
            )
        self._writer = PieceWriter(self.transport)
        self._pool.connection_opened(self)

    def send(self, pending: PendingRequest) -> None:
        """Sends a request; the connection must be idle."""
        self._is_complete = False
        self._overhead_left = _MAX_OVERHEAD_BYTES
        self._dropped_body_bytes = 0
        self._pending = pending
        pending.attach(self)
        self._remember_id(pending.expected_request_id)
        data, body = pending.take_data()
        self._writer.write(data)
        if body:
            self._writer.write(body)

    def _remember_id(self, request_id: str) -> None:
        if not request_id:
            return
        self._sent_ids[request_id] = None
        if len(self._sent_ids) > _MAX_REMEMBERED_IDS:
            del self._sent_ids[next(iter(self._sent_ids))]

    def abort(self) -> None:
        """Closes the connection without waiting for a response."""
        self._pending = None
        self._parser = None
        self._end_large_body()
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes and reports a complete response."""
        parser = self._parser
        if self._pending is None or parser is None:
            # No request is in flight, so these bytes can't be a response.
            if parser is not None:
                self._pool.report_fault(ResponseFault.UNSOLICITED_BYTES)
            self.abort()
            return
        self._overhead_left -= len(data)
        try:
            parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            # An error after a complete response is caused by extra bytes and
            # does not make the response invalid.
            self._has_extra_bytes = True
            self._is_invalid = self._is_invalid or not self._is_complete
        if not self._is_complete and self._overhead_left < 0:
            self._is_invalid = True
        # The response is reported only after all received bytes were parsed.
        # If the connection were reused earlier, extra bytes after the response
        # would be read as the response to the next request.
        if self._is_invalid:
            self._report_invalid()
        elif self._is_complete:
            self._report_response()

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Records that extra bytes follow a complete response."""
        if self._is_complete:
            self._has_extra_bytes = True

    def on_status(self, part: bytes) -> None:
        """Stores a part of the reason phrase."""
        if not self._is_complete:
            self._reason_phrase += part

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Stores an end-to-end header; evaluates the hop-by-hop ones.

        Trailers are ignored; they could replace the signature or the id.
        """
        if self._is_complete or not self._is_parsing_head:
            return
        value = value or b""
        # Otherwise the status or headers of a truncated head would be combined
        # with the rest of the response that follows it.
        if _PROTOCOL_PREFIX in value and _STATUS_LINE.search(value):
            self._is_invalid = True
        lowered = name.lower()
        if lowered not in _HOP_BY_HOP_HEADERS:
            if len(self._headers) >= 2 * _MAX_HEADERS:
                self._is_invalid = True
                return
            text = value.decode("latin-1")
            self._headers.append(name.decode("latin-1"))
            self._headers.append(text)
            if lowered == self._id_header:
                self._store_id(text.strip())
        elif lowered in _FRAMING_HEADERS:
            self._has_framing_header = True
            if lowered == b"content-length" and value.strip().isdigit():
                self._stated_length = int(value)
        elif lowered == b"keep-alive":
            self._apply_keep_alive_timeout(value)

    def _store_id(self, stated_id: str) -> None:
        if self._stated_id is None:
            self._stated_id = stated_id
        elif self._stated_id != stated_id:
            self._has_two_ids = True

    def _apply_keep_alive_timeout(self, value: bytes) -> None:
        """Reduces the idle limit to the timeout of a Keep-Alive header.

        A timeout that is not a number of whole seconds is ignored.
        """
        for part in value.split(b","):
            key, _, seconds = part.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                limit_s = int(seconds) * _KEEP_ALIVE_FRACTION
                self._idle_limit_s = min(limit_s, self._rules.idle_limit_s)

    def on_headers_complete(self) -> None:
        """Determines how the end of the response is detected."""
        parser = self._parser
        if self._is_complete or parser is None:
            return
        self._is_parsing_head = False
        self._status = status = parser.get_status_code()
        reason = self._reason_phrase
        if _PROTOCOL_PREFIX in reason and _STATUS_LINE.search(reason):
            self._is_invalid = True
        if status not in _STATUSES:
            self._is_invalid = True
        if status < 200:
            return
        if parser.get_http_version() not in ("1.0", "1.1"):
            self._is_invalid = True
        pending = self._pending
        if pending is not None:
            self._check_request_id(pending)
        if pending is not None and pending.is_head_request:
            # The parser does not know that a response to HEAD has no body and
            # would wait for Content-Length bytes.
            self._keep_alive = False
            self._complete_response()
        elif not self._has_framing_header and status not in _BODILESS_STATUSES:
            # Without a framing header a truncated body can't be distinguished
            # from a complete one.
            self._is_close_delimited = (
                self._rules.allows_close_delimited and not self._is_unidentified
            )
            if not self._is_close_delimited:
                self._is_invalid = True

    def _check_request_id(self, pending: PendingRequest) -> None:
        """Determines whether the response answers the request in flight.

        A response without an id may be extra bytes after an earlier one. Only
        a 503 without a body is accepted, which a server may send before it
        reads the request.
        """
        expected_id = pending.expected_request_id
        if not self._id_header or not expected_id:
            return
        if self._stated_id is None:
            self._is_unidentified = self._rules.requires_request_id
            if self._is_unidentified and self._status != _SERVICE_UNAVAILABLE:
                self._is_invalid = True
        else:
            self._is_for_other_request = (
                self._has_two_ids or self._stated_id != expected_id
            )

    def on_body(self, part: bytes) -> None:
        """Stores a part of the body, up to the size limit.

        The limit applies to all responses to other requests together.
        """
        if self._is_complete:
            self._has_extra_bytes = True
            return
        size = len(part)
        self._overhead_left += size + _MAX_FRAMING_BYTES
        if self._is_for_other_request:
            self._dropped_body_bytes += size
            if self._dropped_body_bytes > self._max_body_bytes:
                self._is_invalid = True
            return
        if (
            self._body.size + size > self._max_body_bytes
            or self._is_unidentified
        ):
            self._is_invalid = True
        else:
            self._body.append(part)

        if self._body.size > SMALL_BODY_BYTES and not self._has_large_body:
            self._begin_large_body()

    def _begin_large_body(self) -> None:
        """Stops reading unless there is memory for another large body."""
        self._has_large_body = True
        size = self._max_body_bytes
        if self._stated_length is not None:
            size = min(size, self._stated_length)
        if self._memory is not None and not self._memory.take_or_wait(
            self,
            size,
            MemoryPurpose.UPSTREAM_RESPONSES,
            MemoryPriority.LARGE,
            self._resume_reading,
        ):
            self._is_reading_paused = True
            self.transport.pauseProducing()

    def _resume_reading(self) -> None:
        if self._is_reading_paused:
            self._is_reading_paused = False
            self.transport.resumeProducing()

    def _end_large_body(self) -> None:
        """Lets another large body be read, if this response had one."""
        if self._has_large_body and self._memory is not None:
            self._has_large_body = False
            self._memory.release(self)
            self._resume_reading()

    def on_message_complete(self) -> None:
        """Completes the response, or discards an interim (1xx) one."""
        parser = self._parser
        if self._is_complete or self._is_invalid or parser is None:
            return
        if 100 <= self._status < 200:
            # Headers of an interim response do not apply to the final one.
            self._reset_response()
            return
        self._keep_alive = self._keep_alive and parser.should_keep_alive()
        self._complete_response()

    def _complete_response(self) -> None:
        if self._is_for_other_request:
            # Drops a response to an earlier request and waits for the expected
            # one, after which the connection is closed.
            self._pool.report_fault(ResponseFault.OTHER_REQUEST)
            self._dropped_other_response = True
            if not self._keep_alive:
                self._is_invalid = True
            self._reset_response()
            return
        self._is_complete = True

    # End of a request.

    def _report_response(self) -> None:
        """Reports the response; returns the connection if it is reusable."""
        pending = self._pending
        self._pending = None
        response = self._build_response()
        is_unidentified = self._is_unidentified
        keep_alive = self._keep_alive
        # An idle connection must not hold its last response.
        self._reset_response()
        if self._has_extra_bytes:
            self._pool.report_fault(ResponseFault.EXTRA_BYTES)
        if is_unidentified:
            self._pool.report_fault(ResponseFault.NO_REQUEST_ID)
        if (
            self._has_extra_bytes
            or self._dropped_other_response
            or is_unidentified
            # Its request is still being sent.
            or self._writer.queued_bytes
        ):
            self.abort()
        elif keep_alive:
            self._pool.connection_idle(self)
        else:
            self.transport.loseConnection()
        if pending is not None:
            pending.succeed(response)

    def _build_response(self) -> HttpResponse:
        if self._is_unidentified:
            # Its headers may describe another request.
            return HttpResponse(self._status, [], b"")
        return HttpResponse(self._status, self._headers, self._body.take())

    def _report_invalid(self) -> None:
        self._pool.report_fault(
            ResponseFault.NO_REQUEST_ID
            if self._is_unidentified
            else ResponseFault.MALFORMED
        )
        pending = self._pending
        self.abort()
        if pending is not None:
            pending.fail(RequestFailure.INVALID_ANSWER)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports a close-delimited response, or else the lost connection."""
        self._pool.connection_closed(self)
        self._parser = None
        self._end_large_body()
        pending = self._pending
        self._pending = None
        if pending is None:
            return
        if (
            not self._is_close_delimited
            or not reason.check(ConnectionDone)
            or self._is_for_other_request
            # A server that closes before it has the request has broken off.
            or not self._writer.has_sent_all
        ):
            pending.fail(RequestFailure.CONNECTION_LOST)
        else:
            pending.succeed(self._build_response())
