"""Server side of one HTTP/1.1 connection.

Requests are parsed by `httptools`, because `twisted.web` used too much CPU
time (docs/design.md, section 9).
"""

import itertools
import logging
from collections import deque

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from radishtray_transport._body_buffer import BodyBuffer
from radishtray_transport._channel_owner import ChannelOwner
from radishtray_transport._direct_writer import DirectWriter
from radishtray_transport._http_request import HttpRequest
from radishtray_transport._request_intake import RequestIntake
from radishtray_transport._response_backlog import ResponseBacklog

_LOG = logging.getLogger(__name__)
_BAD_REQUEST = b"400 Bad Request"
_REQUEST_TIMEOUT = b"408 Request Timeout"
_HEAD_TOO_LARGE = b"431 Request Header Fields Too Large"
_UNAVAILABLE = b"503 Service Unavailable"
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Allowed for each part of a body, for its chunk framing, in addition to the
# head limit for all framing and trailers.
_MAX_FRAMING_BYTES = 16
# Parsed requests that may wait for earlier responses on the same connection
# before reading from the socket is paused.
_MAX_PIPELINED_REQUESTS = 16
# Requests of one connection that the handler works on at the same time.
_MAX_CONCURRENT_REQUESTS = 8


# A client that sends the rest of its body has this long to read a rejection.
_LINGER_S = 2.0
# Idle time after which a connection may be closed for another one.
_REPLACED_IDLE_S = 1.0
# Time without progress after which a client that does not read its response is
# ended while there is little room: the longest time budget that callers state.
_TIGHT_UNREAD_S = 6.0
# Seconds after which a rejected request may come again, in turn, so that they
# do not come together.
_RETRY_AFTER_S = itertools.cycle(
    ("0.300", "0.600", "0.900", "0.400", "0.700", "1.000", "0.500", "0.800")
)


def _retry_after() -> str:
    return next(_RETRY_AFTER_S)


class HttpChannel(Protocol):
    """One accepted connection.

    Pipelined requests are handled one at a time, or a few at the same time if
    their repetition does no harm: should a response close the connection, the
    client sends again what was pipelined behind it. Responses leave in the
    order of the requests.

    Attributes:
        limits: Limits of the listener.
        writer: Sends bytes to the client.
    """

    def __init__(self, owner: ChannelOwner) -> None:
        """Creates the protocol of a connection that `owner` accepts."""
        self.limits = owner.limits
        self._owner = owner
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        self._incoming_request: HttpRequest | None = None
        self._is_parsing_head = False
        self._partial_head_bytes = 0
        # Bytes after the head, other than the body, that may still follow.
        self._framing_left = 0
        self._body = BodyBuffer()
        self._queued_requests: deque[HttpRequest] = deque()
        # Requests that the handler has received, without a sent response.
        self._active_requests: deque[HttpRequest] = deque()
        self._is_closing = False
        self._is_dispatching = False
        self._is_reading_paused = False
        self._intake = RequestIntake(
            owner.memory,
            owner.reactor.seconds,
            self._resume_after_wait,
            owner.budget_header,
        )
        self._owes_continue = False
        # Time until which the rest of a rejected body is read and dropped.
        self._lingers_until_s: float | None = None
        self._pending_rejection: tuple[bytes, str] | None = None
        self._is_closed = False
        self._request_started_s: float | None = None
        self.idle_since_s = owner.reactor.seconds()

    def connectionMade(self) -> None:
        """Prepares the transport and reports the channel to its owner."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = self._intake.read_bytes
        self.writer = DirectWriter(self.transport)
        self._backlog = ResponseBacklog(
            self._owner.memory, self.writer, self._abort_unread
        )
        self.transport.registerProducer(self, True)
        self._owner.channel_opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes and dispatches complete requests."""
        parser = self._parser
        if parser is None or self._pending_rejection is not None:
            return
        was_parsing_head = self._is_parsing_head
        if self._incoming_request is not None and not was_parsing_head:
            self._framing_left -= len(data)
        try:
            parser.feed_data(data)
        except HttpParserUpgrade:
            self._parser = None
        except HttpParserError:
            self._reject_malformed()
        if was_parsing_head and self._is_parsing_head:
            self._partial_head_bytes += len(data)
            if self._partial_head_bytes > self.limits.head_bytes:
                self._reject(_HEAD_TOO_LARGE, "head_too_large")
        elif (
            self._framing_left < 0
            and self._incoming_request is not None
            and not self._is_parsing_head
        ):
            self._reject(_BAD_REQUEST, "malformed_request")
        self._admit_incoming()
        self._dispatch()

    def _admit_incoming(self) -> None:
        """Takes memory for an incomplete request, or rejects it."""
        request = self._incoming_request
        if request is not None and not self._intake.admit(
            request,
            self._partial_head_bytes if self._is_parsing_head else 0,
            self.limits.body_bytes,
        ):
            self._reject(_UNAVAILABLE, "no_memory")
        self.transport.bufferSize = self._intake.read_bytes

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Starts a request, unless the connection accepts no more."""
        if self._parser is None:
            return
        self._incoming_request = HttpRequest(self)
        self._intake.begin()
        self._is_parsing_head = True
        self._partial_head_bytes = 0
        self._request_started_s = self._owner.reactor.seconds()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        request = self._incoming_request
        if request is not None:
            request.uri += url
            request.head_bytes += len(url)
            if request.head_bytes > self.limits.head_bytes:
                self._reject(_HEAD_TOO_LARGE, "head_too_large")

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Adds a header; rejects the request above the head limits.

        Trailers count toward the limits but are not added to the request.
        """
        request = self._incoming_request
        if request is None:
            return
        if self._is_parsing_head:
            request.add_header(name, value or b"")
        else:
            request.count_trailer(name, value or b"")
        if (
            request.head_bytes > self.limits.head_bytes
            or len(request.headers) + request.trailer_count
            > self.limits.headers
        ):
            self._reject(_HEAD_TOO_LARGE, "head_too_large")

    def on_headers_complete(self) -> None:
        """Evaluates the head and sends 100 Continue if it is expected."""
        request = self._incoming_request
        parser = self._parser
        self._is_parsing_head = False
        self._framing_left = self.limits.head_bytes
        if request is None or parser is None:
            return
        request.method = parser.get_method()
        is_http_1_1 = parser.get_http_version() == "1.1"
        request.is_persistent = is_http_1_1 and parser.should_keep_alive()
        if parser.should_upgrade():
            self._ignore_upgrade(request)
        length = request.header(b"content-length")
        request.is_too_large = (
            length is not None and int(length) > self.limits.body_bytes
        )
        expect = request.header(b"expect")
        expects_continue = (
            expect is not None and expect.lower() == b"100-continue"
        )
        if expects_continue and is_http_1_1 and not self._is_busy:
            if self._intake.expect_body(request, self.limits.body_bytes):
                self.writer.write(_CONTINUE_RESPONSE)
            else:
                self._owes_continue = True

    def _ignore_upgrade(self, request: HttpRequest) -> None:
        """Handles a request with an Upgrade header as plain HTTP/1.1.

        A request with a body is rejected, because the parser treats all bytes
        after the head as data of the new protocol and the body would be lost.
        """
        request.is_persistent = False
        if (
            request.header(b"content-length") is not None
            or request.header(b"transfer-encoding") is not None
        ):
            self._reject(_BAD_REQUEST, "malformed_request")

    @property
    def held_bytes(self) -> int:
        """Bytes of the bodies of requests without a response."""
        requests = (*self._active_requests, *self._queued_requests)
        return self._body.size + sum(len(r.body) for r in requests)

    @property
    def _is_busy(self) -> bool:
        return bool(self._active_requests or self._queued_requests)

    def on_body(self, part: bytes) -> None:
        """Stores a part of the body; drops the body above the limit."""
        self._framing_left += len(part) + _MAX_FRAMING_BYTES
        request = self._incoming_request
        if request is None or request.is_too_large:
            return
        if self._body.size + len(part) > self.limits.body_bytes:
            request.is_too_large = True
            self._body.clear()
        else:
            self._body.append(part)
            self._intake.count_part(len(part))

    def _resume_after_wait(self) -> None:
        if self._is_closed:
            return
        if self._owes_continue:
            self._owes_continue = False
            self.writer.write(_CONTINUE_RESPONSE)
        self._pause_or_resume_reading()

    def on_message_complete(self) -> None:
        """Queues the request, which is dispatched after the parser returns."""
        request = self._incoming_request
        self._incoming_request = None
        self._request_started_s = None
        self._owes_continue = False
        if request is None:
            return
        request.body = self._body.take()
        if not self._intake.complete(request):
            request.is_over_memory = True
            request.body = b""
        self._intake.begin()
        request.received_s = self._owner.reactor.seconds()
        self._queued_requests.append(request)
        if not request.is_persistent or self._is_closing:
            # Bytes after the last request of a connection are ignored.
            self._parser = None

    # Request handling.

    def _dispatch(self) -> None:
        """Passes queued requests to the handler as far as they may overlap.

        `response_ready` calls this method again. A call from within the loop
        returns at once.
        """
        if self._is_dispatching:
            return
        self._is_dispatching = True
        while self._can_dispatch():
            request = self._queued_requests.popleft()
            self._active_requests.append(request)
            now_s = self._owner.reactor.seconds()
            request.waited_s = now_s - request.received_s
            if request.is_over_memory:
                self._owner.on_rejected("no_memory")
                request.is_persistent = False
                request.respond(
                    503,
                    ["Retry-After", _retry_after()],
                    b"no memory for the request; it has not run\n",
                )
                continue
            if request.is_too_large:
                self._owner.on_rejected("body_too_large")
                request.is_persistent = False
                request.respond(413, [], b"request body exceeds the limit\n")
                continue
            try:
                self._owner.handler(request)
            except Exception:
                _LOG.exception("request handler raised; responding with 500")
                request.respond(500, [], b"internal error\n")
        self._is_dispatching = False
        if self._pending_rejection is not None and not self._is_busy:
            self._send_rejection()
        elif not self._is_closed:
            self._pause_or_resume_reading()

    def _can_dispatch(self) -> bool:
        """Returns whether the handler may receive the next queued request."""
        if (
            self._is_closed
            or not self._queued_requests
            or self._backlog.is_unread
        ):
            return False
        active = self._active_requests
        if not active:
            return True
        return (
            len(active) < _MAX_CONCURRENT_REQUESTS
            and self._may_overlap(active[-1])
            and self._may_overlap(self._queued_requests[0])
        )

    def _may_overlap(self, request: HttpRequest) -> bool:
        return (
            not request.is_too_large
            and not request.is_over_memory
            and self._owner.may_overlap(request)
        )

    def _pause_or_resume_reading(self) -> None:
        must_pause = (
            self._intake.is_waiting
            or len(self._queued_requests) >= _MAX_PIPELINED_REQUESTS
        )
        if must_pause == self._is_reading_paused:
            return
        self._is_reading_paused = must_pause
        if must_pause:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def response_ready(self) -> None:
        """Sends the responses whose turn it is; then closes or dispatches."""
        active = self._active_requests
        has_sent = False
        while (
            active
            and active[0].has_responded
            and not self._is_closed
            and not self._backlog.is_unread
        ):
            request = active.popleft()
            self._send_response(request)
            has_sent = True
        if active:
            self._count_unsent()
        if (
            has_sent
            and not self._is_closed
            and (self._queued_requests or self._pending_rejection is not None)
        ):
            self._dispatch()

    def _send_response(self, request: HttpRequest) -> None:
        self.idle_since_s = self._owner.reactor.seconds()
        if (
            self._is_closing
            and not self._is_busy
            and self._pending_rejection is None
        ):
            request.is_persistent = False
        request.channel = None
        self._intake.release(request)
        response, large_body = request.take_response()
        self.writer.write(response)
        if large_body:
            self.writer.write(large_body)
        if not request.is_persistent:
            self._close()

    def _reject_malformed(self) -> None:
        if self._parser is not None and self._pending_rejection is None:
            self._reject(_BAD_REQUEST, "malformed_request")

    def _reject(self, status: bytes, reason: str) -> None:
        """Stops parsing; the error response follows the queued requests'."""
        if self._pending_rejection is None:
            self._pending_rejection = (status, reason)
        self._parser = None
        self._drop_incoming_request()
        self._is_parsing_head = False
        self._request_started_s = None

    def _drop_incoming_request(self) -> None:
        request = self._incoming_request
        self._incoming_request = None
        if request is not None:
            self._intake.release(request)
            self._intake.begin()
            self._body.clear()

    def _send_rejection(self) -> None:
        if self._is_closed or self._pending_rejection is None:
            return
        status, reason = self._pending_rejection
        self._owner.on_rejected(reason)
        retry = b""
        if status is _UNAVAILABLE:
            retry = b"Retry-After: " + _retry_after().encode() + b"\r\n"
        self.writer.write(
            b"HTTP/1.1 " + status + b"\r\n" + retry + b"Connection: close\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        if status is _UNAVAILABLE and not self._owner.is_crowded:
            self._linger()
        else:
            self._close()

    def _linger(self) -> None:
        """Drops the rest of the body for a while, then closes.

        If unread data were left, the client would receive a reset, perhaps
        before it has read the response.
        """
        self._is_closed = True
        self._lingers_until_s = self._owner.reactor.seconds() + _LINGER_S
        if self._is_reading_paused:
            self._is_reading_paused = False
            self.transport.resumeProducing()

    # Calls of the transport (`IPushProducer`).

    def pauseProducing(self) -> None:
        """Sends and dispatches nothing more until the client reads.

        The memory that a slow client takes is bounded by the responses to the
        requests that are dispatched.
        """
        self._backlog.begin(self._owner.reactor.seconds())
        self._count_unsent()

    def _count_unsent(self) -> None:
        """Counts the responses that wait for the client or for earlier ones."""
        if not self._is_closed:
            self._backlog.count(
                sum(r.response_bytes for r in self._active_requests)
            )

    def _abort_unread(self) -> None:
        """Resets the connection of a client that does not read a response."""
        self._owner.on_rejected("unread_response")
        self.transport.abortConnection()

    def resumeProducing(self) -> None:
        """Sends what waits, after the client has read all before."""
        self._backlog.end()
        self.response_ready()
        self._dispatch()

    def stopProducing(self) -> None:
        """Does nothing; `connectionLost` follows."""

    # Connection lifetime.

    def enforce_timeouts(self, now_s: float) -> None:
        """Rejects a request that arrives too slowly; closes when idle.

        A connection whose client reads nothing of its responses for as long is
        reset.
        """
        max_unread_s = self.limits.request_s
        if self._owner.is_tight:
            max_unread_s = min(max_unread_s, _TIGHT_UNREAD_S)
        if self._backlog.has_stopped(now_s, max_unread_s):
            self._abort_unread()
            return
        if self._lingers_until_s is not None:
            if now_s > self._lingers_until_s:
                self.transport.abortConnection()
            return
        if self._request_started_s is not None:
            self._enforce_arrival(now_s, now_s - self._request_started_s)
        elif (
            not self._is_busy
            and self._incoming_request is None
            and (now_s - self.idle_since_s > self.limits.idle_s)
        ):
            self._close()

    def _enforce_arrival(self, now_s: float, elapsed_s: float) -> None:
        """Rejects a request that arrives too slowly or waits for too long."""
        intake = self._intake
        max_s = self.limits.request_s
        if self._is_parsing_head:
            max_s = min(max_s, self.limits.head_s)
        if elapsed_s > max_s:
            self._reject(_REQUEST_TIMEOUT, "slow_request")
        elif intake.has_waited_long(now_s):
            self._reject(_UNAVAILABLE, "no_memory")
        elif (
            not self._is_parsing_head
            and intake.is_slow(now_s)
            and self._owner.is_tight
        ):
            self._reject(_REQUEST_TIMEOUT, "slow_body")
        else:
            return
        self._dispatch()

    @property
    def is_closed(self) -> bool:
        """Whether the connection serves no more requests."""
        return self._is_closed

    def may_be_replaced(self, now_s: float) -> bool:
        """Returns whether another connection may take the place of this one.

        A client that has sent nothing for so long is not about to, as far as is
        known.
        """
        return (
            not self._is_closed
            and not self._is_busy
            and self._incoming_request is None
            and not self._backlog.is_unread
            and now_s - self.idle_since_s > _REPLACED_IDLE_S
        )

    def close_when_idle(self) -> None:
        """Closes now, or after the responses to all requests received.

        If there is none, a request that is arriving is still received.
        """
        self._is_closing = True
        if self._is_busy:
            self._parser = None
            self._drop_incoming_request()
            self._request_started_s = None
        elif self._incoming_request is None:
            self._close()

    def _close(self) -> None:
        self._is_closed = True
        self._parser = None
        for request in self._queued_requests:
            self._intake.release(request)
        self._queued_requests.clear()
        if not self._backlog.is_unread:
            self._backlog.begin(self._owner.reactor.seconds())
        # A transport with a producer does not close by itself.
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Notifies all requests without a response of the disconnect."""
        self._is_closed = True
        self._parser = None
        self._owner.channel_closed(self)
        self._backlog.release()
        self._drop_incoming_request()
        unanswered = [*self._active_requests, *self._queued_requests]
        self._active_requests.clear()
        self._queued_requests.clear()
        for request in unanswered:
            self._intake.release(request)
            request.notify_disconnect()
