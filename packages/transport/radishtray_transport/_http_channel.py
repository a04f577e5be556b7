"""One accepted HTTP/1.1 connection and its requests.

`httptools` parses, since `twisted.web` took too much processor time
(docs/design.md, section 9).
"""

import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol as TypingProtocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from radishtray_transport._direct_writer import DirectWriter
from radishtray_transport._http_request import HttpLimits, HttpRequest

_LOG = logging.getLogger(__name__)
_BAD_REQUEST = b"400 Bad Request"
_REQUEST_TIMEOUT = b"408 Request Timeout"
_HEAD_TOO_LARGE = b"431 Request Header Fields Too Large"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Requests sent ahead of their answers that are kept; reading stops beyond.
_MAX_PIPELINED = 16


class ChannelOwner(TypingProtocol):
    """The listener that accepted a connection.

    Attributes:
        reactor: Source of time.
        limits: Bounds of the listener.
        handler: Called with each whole request.
        on_rejected: Called with a reason for each rejected input.
    """

    reactor: IReactorTime
    limits: HttpLimits
    handler: Callable[[HttpRequest], None]
    on_rejected: Callable[[str], None]

    def opened(self, channel: "HttpChannel") -> None:
        """Registers a connection."""
        ...

    def closed(self, channel: "HttpChannel") -> None:
        """Forgets a connection."""
        ...


class HttpChannel(Protocol):
    """One connection of a listener; answers requests one after the other.

    Attributes:
        limits: Bounds of the listener.
        is_persistent: Cleared once the connection is to be closed after the
            answer of the request in progress.
        writer: Sends bytes to the peer.
    """

    def __init__(self, owner: ChannelOwner) -> None:
        """Begins a connection."""
        self.limits = owner.limits
        self.is_persistent = True
        self._owner = owner
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        self._arriving: HttpRequest | None = None
        self._is_in_head = False
        self._partial_head_bytes = 0
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._waiting: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._is_dispatching = False
        self._is_paused = False
        self._rejection: tuple[bytes, str] | None = None
        self._is_closed = False
        self._receiving_since_s: float | None = None
        self._idle_since_s = owner.reactor.seconds()

    def connectionMade(self) -> None:
        """Registers the connection."""
        self.transport.setTcpNoDelay(True)
        self.writer = DirectWriter(self.transport)
        self._owner.opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes and handles the requests they complete."""
        parser = self._parser
        if parser is None or self._rejection is not None:
            return
        was_in_head = self._is_in_head
        try:
            parser.feed_data(data)
        except HttpParserUpgrade:
            self._parser = None
        except HttpParserError:
            self._note_malformed()
        if was_in_head and self._is_in_head:
            self._partial_head_bytes += len(data)
            if self._partial_head_bytes > self.limits.head_bytes:
                self._reject(_HEAD_TOO_LARGE, "head_too_large")
        self._dispatch()

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Begins a request, unless the connection takes no more."""
        if self._parser is None:
            return
        self._arriving = HttpRequest(self)
        self._is_in_head = True
        self._partial_head_bytes = 0
        self._receiving_since_s = self._owner.reactor.seconds()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the request target."""
        request = self._arriving
        if request is not None:
            request.uri += url
            request.head_bytes += len(url)
            if request.head_bytes > self.limits.head_bytes:
                self._reject(_HEAD_TOO_LARGE, "head_too_large")

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Takes a header."""
        request = self._arriving
        if request is None:
            return
        request.add_header(name, value or b"")
        if (
            request.head_bytes > self.limits.head_bytes
            or len(request.headers) > self.limits.headers
        ):
            self._reject(_HEAD_TOO_LARGE, "head_too_large")

    def on_headers_complete(self) -> None:
        """Takes the request line, and asks for the body if that is awaited."""
        request = self._arriving
        parser = self._parser
        self._is_in_head = False
        if request is None or parser is None:
            return
        request.method = parser.get_method()
        is_current = parser.get_http_version() == "1.1"
        request.is_persistent = is_current and parser.should_keep_alive()
        if parser.should_upgrade():
            self._decline_upgrade(request)
        length = request.header(b"content-length")
        request.is_too_large = (
            length is not None and int(length) > self.limits.body_bytes
        )
        expected = request.header(b"expect")
        awaits = expected is not None and expected.lower() == b"100-continue"
        if awaits and is_current and not self._is_busy:
            self.writer.write(_CONTINUE)

    def _decline_upgrade(self, request: HttpRequest) -> None:
        """Serves the request as if it asked for no other protocol.

        The parser takes what follows the head for that protocol, so a body
        would be lost.
        """
        request.is_persistent = False
        if (
            request.header(b"content-length") is not None
            or request.header(b"transfer-encoding") is not None
        ):
            self._reject(_BAD_REQUEST, "malformed_request")

    @property
    def _is_busy(self) -> bool:
        return self._current is not None or bool(self._waiting)

    def on_body(self, part: bytes) -> None:
        """Takes a part of the body, up to the limit."""
        request = self._arriving
        if request is None or request.is_too_large:
            return
        self._body_bytes += len(part)
        if self._body_bytes > self.limits.body_bytes:
            request.is_too_large = True
            self._body_parts.clear()
            return
        self._body_parts.append(part)

    def on_message_complete(self) -> None:
        """Queues a whole request; it is handled after the parser's turn."""
        request = self._arriving
        self._arriving = None
        self._receiving_since_s = None
        if request is None:
            return
        parts = self._body_parts
        if parts:
            request.body = parts[0] if len(parts) == 1 else b"".join(parts)
            self._body_parts = []
        self._body_bytes = 0
        self._waiting.append(request)
        if not request.is_persistent:
            # Nothing that follows belongs to a request.
            self._parser = None

    # Handling of requests.

    def _dispatch(self) -> None:
        """Hands requests over, each after the answer of the one before."""
        if self._is_dispatching:
            return
        self._is_dispatching = True
        while self._current is None and self._waiting and not self._is_closed:
            request = self._waiting.popleft()
            self._current = request
            if request.is_too_large:
                self._owner.on_rejected("body_too_large")
                request.is_persistent = False
                request.respond(413, [], b"request body exceeds the limit\n")
                continue
            try:
                self._owner.handler(request)
            except Exception:
                _LOG.exception("request handler failed")
                request.respond(500, [], b"internal error\n")
        self._is_dispatching = False
        if self._rejection is not None and not self._is_busy:
            self._send_rejection()
        elif not self._is_closed:
            self._limit_reading()

    def _limit_reading(self) -> None:
        is_full = len(self._waiting) >= _MAX_PIPELINED
        if is_full and not self._is_paused:
            self.transport.pauseProducing()
        elif self._is_paused and not is_full:
            self.transport.resumeProducing()
        self._is_paused = is_full

    def request_answered(self, request: HttpRequest) -> None:
        """Continues with the next request on the connection."""
        self._idle_since_s = self._owner.reactor.seconds()
        if request is not self._current:
            return
        self._current = None
        request.channel = None
        if not request.is_persistent:
            self._close()
        elif self._waiting or self._rejection is not None:
            self._dispatch()

    def _note_malformed(self) -> None:
        if self._parser is not None and self._rejection is None:
            self._reject(_BAD_REQUEST, "malformed_request")

    def _reject(self, status: bytes, reason: str) -> None:
        """Takes no more input; answers after what has been begun."""
        if self._rejection is None:
            self._rejection = (status, reason)
        self._parser = None
        self._arriving = None
        self._is_in_head = False
        self._receiving_since_s = None

    def _send_rejection(self) -> None:
        if self._is_closed or self._rejection is None:
            return
        status, reason = self._rejection
        self._owner.on_rejected(reason)
        self.writer.write(
            b"HTTP/1.1 " + status + b"\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self._close()

    # The connection.

    def check_time(self, now_s: float) -> None:
        """Closes a connection that is idle or sends a request too slowly."""
        since_s = self._receiving_since_s
        if since_s is not None and now_s - since_s > self.limits.request_s:
            self._reject(_REQUEST_TIMEOUT, "slow_request")
            self._dispatch()
        elif (
            not self._is_busy
            and self._arriving is None
            and (now_s - self._idle_since_s > self.limits.idle_s)
        ):
            self._close()

    def close_when_idle(self) -> None:
        """Closes now, or after the answer of the request in progress."""
        if self._is_busy or self._arriving is not None:
            self.is_persistent = False
        else:
            self._close()

    def _close(self) -> None:
        self._is_closed = True
        self._parser = None
        self._waiting.clear()
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tells the requests that nobody waits for their answers."""
        self._is_closed = True
        self._parser = None
        self._owner.closed(self)
        waiting = [self._current, *self._waiting]
        self._current = None
        self._waiting.clear()
        for request in waiting:
            if request is not None:
                request.disconnected()
