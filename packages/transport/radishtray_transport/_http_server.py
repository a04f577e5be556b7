"""A lean HTTP/1.1 listener on `twisted.web.http.HTTPChannel`."""

import logging
from collections.abc import Callable
from io import BytesIO

from twisted.internet.interfaces import IListeningPort, IReactorTCP
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure
from twisted.web.http import RESPONSES, HTTPChannel, Request

from radishtray_transport._direct_writer import DirectWriter
from radishtray_transport._http_exchange import HeaderList

_LOG = logging.getLogger(__name__)
_SWEEP_INTERVAL_S = 1.0
_HEAD_TOO_LARGE = b"431 Request Header Fields Too Large"
_DROPPED_ANSWER_HEADERS = frozenset(
    ("connection", "content-length", "transfer-encoding", "keep-alive")
)


class HttpLimits:
    """Bounds of one HTTP listener.

    Attributes:
        head_bytes: Longest request line and headers together.
        headers: Most headers of a request.
        body_bytes: Longest request body.
        connections: Most open connections.
        idle_s: Seconds without received bytes after which a connection that
            waits for a request, or for the rest of one, is closed.
        request_s: Seconds in which a whole request must arrive.
    """

    __slots__ = (
        "body_bytes",
        "connections",
        "head_bytes",
        "headers",
        "idle_s",
        "request_s",
    )

    def __init__(
        self,
        head_bytes: int = 16_384,
        headers: int = 100,
        body_bytes: int = 1024 * 1024,
        connections: int = 4096,
        idle_s: float = 60.0,
        request_s: float = 10.0,
    ) -> None:
        """Checks and holds the bounds.

        Raises:
            ValueError: If a bound is not positive.
        """
        self.head_bytes = head_bytes
        self.headers = headers
        self.body_bytes = body_bytes
        self.connections = connections
        self.idle_s = idle_s
        self.request_s = request_s
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be positive")


class HttpRequest(Request):
    """A whole request, answered once with `respond`.

    Attributes:
        body: The whole body.
        on_disconnect: Called if the peer disconnects before the answer.
    """

    def __init__(self, channel: "_Channel", queued: int = 0) -> None:
        """Begins a request on a connection."""
        Request.__init__(self, channel)
        channel.request_started()
        self.channel: _Channel | None = channel
        self.body = b""
        self.on_disconnect: Callable[[], None] | None = None
        self._is_too_large = False
        self._is_answered = False
        self._max_body_bytes = channel.limits.body_bytes

    def parseCookies(self) -> None:
        """Leaves cookies to the upstream."""

    def gotLength(self, length: int | None) -> None:
        """Keeps bodies in memory; the base class would use a file."""
        self.content = BytesIO()
        self._is_too_large = (
            length is not None and length > self._max_body_bytes
        )

    def handleContentChunk(self, data: bytes) -> None:
        """Adds a part of the body, up to the limit."""
        if self._is_too_large:
            return
        if self.content.tell() + len(data) > self._max_body_bytes:
            self._is_too_large = True
            return
        self.content.write(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Hands the whole request to the listener's handler."""
        self.method, self.uri, self.clientproto = command, path, version
        self.body = self.content.getvalue()
        channel = self.channel
        if channel is None:
            return
        channel.request_complete()
        if self._is_too_large:
            channel.count_rejected("body_too_large")
            channel.persistent = False
            self.respond(413, [], b"request body exceeds the limit\n")
            return
        try:
            channel.handler(self)
        except Exception:
            _LOG.exception("request handler failed")
            self.respond(500, [], b"internal error\n")

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        values = self.requestHeaders.getRawHeaders(name)
        return values[0] if values else None

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Sends the answer.

        Args:
            status: HTTP status code.
            headers: Names and values, alternating.
            body: The whole body.
        """
        if self._is_answered:
            return
        self._is_answered = True
        self.on_disconnect = None
        channel = self.channel
        if channel is None or self._disconnected:
            return
        reason = RESPONSES.get(status, b"Unknown").decode("latin-1")
        parts = [f"HTTP/1.1 {status} {reason}\r\n"]
        for index in range(0, len(headers), 2):
            name = headers[index]
            if name.lower() not in _DROPPED_ANSWER_HEADERS:
                parts.append(f"{name}: {headers[index + 1]}\r\n")
        if not channel.persistent:
            parts.append("Connection: close\r\n")
        parts.append(f"Content-Length: {len(body)}\r\n\r\n")
        head = "".join(parts).encode("latin-1", "replace")
        channel.writer.write(head if self.method == b"HEAD" else head + body)
        channel.requestDone(self)

    def connectionLost(self, reason: Failure) -> None:
        """Reports a disconnect before the answer."""
        self._disconnected = True
        self.channel = None
        callback = self.on_disconnect
        self.on_disconnect = None
        if callback is not None:
            callback()


class _Channel(HTTPChannel):
    """One connection of an `HttpServer`."""

    requestFactory = HttpRequest

    def __init__(self, server: "HttpServer") -> None:
        HTTPChannel.__init__(self)
        self._server = server
        self.limits = server.limits
        self.handler = server.handler
        self.MAX_LENGTH = server.limits.head_bytes
        self.totalHeadersSize = server.limits.head_bytes
        self.maxHeaders = server.limits.headers
        # One sweep of the server replaces a timer for each request.
        self.timeOut = None
        self._receiving_since_s: float | None = None
        self._idle_since_s = server.reactor.seconds()

    def request_started(self) -> None:
        """Notes that the head of a request begins to arrive."""
        self._receiving_since_s = self._server.reactor.seconds()

    def request_complete(self) -> None:
        """Notes that the whole request has arrived."""
        self._receiving_since_s = None

    def requestDone(self, request: HttpRequest) -> None:
        """Continues with the next request on the connection."""
        self._idle_since_s = self._server.reactor.seconds()
        HTTPChannel.requestDone(self, request)

    def getPeer(self) -> object:
        """Returns the address that was read when the connection opened."""
        return self._peer

    def getHost(self) -> object:
        """Returns the address that was read when the connection opened."""
        return self._host

    def check_time(self, now_s: float) -> None:
        """Closes a connection that is idle or sends a request too slowly."""
        if not self.requests:
            self._note_partial_line(now_s)
        since_s = self._receiving_since_s
        if since_s is not None and now_s - since_s > self.limits.request_s:
            self._receiving_since_s = None
            self._reject(b"408 Request Timeout", "slow_request")
        elif not self.requests and (
            now_s - self._idle_since_s > self.limits.idle_s
        ):
            self.loseConnection()

    def _note_partial_line(self, now_s: float) -> None:
        """Times a first line, which begins before its request exists."""
        if not self._buffer:
            self._receiving_since_s = None
        elif self._receiving_since_s is None:
            self._receiving_since_s = now_s

    def count_rejected(self, reason: str) -> None:
        """Counts input that was rejected."""
        self._server.on_rejected(reason)

    def connectionMade(self) -> None:
        self._server.opened(self)
        self._peer = self.transport.getPeer()
        self._host = self.transport.getHost()
        self.writer = DirectWriter(self.transport)
        HTTPChannel.connectionMade(self)

    def connectionLost(self, reason: Failure) -> None:
        self._server.closed(self)
        HTTPChannel.connectionLost(self, reason)

    def _reject(self, status: bytes, reason: str) -> None:
        self.count_rejected(reason)
        self.writer.write(
            b"HTTP/1.1 " + status + b"\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self.loseConnection()

    def _send100Continue(self) -> None:
        # The base class queues these bytes; the answer would overtake them.
        self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _respondToBadRequestAndDisconnect(self) -> None:
        if (
            self._receivedHeaderSize > self.totalHeadersSize
            or self._receivedHeaderCount > self.maxHeaders
        ):
            self._reject(_HEAD_TOO_LARGE, "head_too_large")
        else:
            self._reject(b"400 Bad Request", "malformed_request")

    def lineLengthExceeded(self, line: bytes) -> None:
        self._reject(_HEAD_TOO_LARGE, "head_too_large")

    def close_when_idle(self) -> None:
        """Closes now, or after the answer of the request in progress."""
        if self.requests:
            self.persistent = False
        else:
            self.loseConnection()


class HttpServer:
    """A listener that hands whole requests to one handler.

    Attributes:
        reactor: The Twisted reactor.
        limits: Bounds of the listener.
        handler: Called with each whole request.
        on_rejected: Called with a reason for each rejected input.
    """

    __slots__ = (
        "_channels",
        "_factory",
        "_port",
        "_sweep",
        "handler",
        "limits",
        "on_rejected",
        "reactor",
    )

    def __init__(
        self,
        reactor: IReactorTCP,
        handler: Callable[[HttpRequest], None],
        limits: HttpLimits,
        on_rejected: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Prepares a listener that is not yet open."""
        self.reactor = reactor
        self.handler = handler
        self.limits = limits
        self.on_rejected = on_rejected
        self._channels: set[_Channel] = set()
        self._factory = _ServerFactory(self)
        self._port: IListeningPort | None = None
        self._sweep = LoopingCall(self._check_times)
        self._sweep.clock = reactor

    @property
    def connection_count(self) -> int:
        """Open connections."""
        return len(self._channels)

    @property
    def port(self) -> int:
        """The TCP port, once started."""
        assert self._port is not None
        return int(self._port.getHost().port)

    def start(self, host: str, port: int) -> None:
        """Opens the listener.

        Args:
            host: IP address.
            port: TCP port; 0 chooses a free one.
        """
        self._port = self.reactor.listenTCP(
            port, self._factory, backlog=1024, interface=host
        )
        self._sweep.start(_SWEEP_INTERVAL_S, now=False)

    def _check_times(self) -> None:
        now_s = self.reactor.seconds()
        for channel in list(self._channels):
            channel.check_time(now_s)

    def close(self) -> None:
        """Stops accepting; each connection closes after its answer."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        if self._sweep.running:
            self._sweep.stop()
        for channel in list(self._channels):
            channel.close_when_idle()

    def has_room(self) -> bool:
        """Whether one more connection may be accepted; counts refusals."""
        if len(self._channels) < self.limits.connections:
            return True
        self.on_rejected("too_many_connections")
        return False

    def opened(self, channel: _Channel) -> None:
        """Registers a connection."""
        self._channels.add(channel)

    def closed(self, channel: _Channel) -> None:
        """Forgets a connection."""
        self._channels.discard(channel)


class _ServerFactory(Factory):
    noisy = False

    def __init__(self, server: HttpServer) -> None:
        self._server = server

    def buildProtocol(self, addr: object) -> _Channel | None:
        if not self._server.has_room():
            return None
        return _Channel(self._server)
