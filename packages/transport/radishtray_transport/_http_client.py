"""A small keep-alive HTTP/1.1 client with callbacks.

`twisted.web.client.Agent` costs more than a millisecond a call, so requests to
upstreams use this client on the public `twisted.web.http.HTTPClient`.
"""

from collections.abc import Callable
from enum import Enum

from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPClient

from radishtray_transport._direct_writer import DirectWriter

HeaderList = list[str]
"""Header names and values, alternating."""

_HOP_HEADERS = frozenset(
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
_VERSIONS = frozenset((b"HTTP/1.1", b"HTTP/1.0"))
_HEX_DIGITS = b"0123456789abcdefABCDEF"
_BODILESS_STATUSES = frozenset((204, 304))
DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024


class RequestFailure(Enum):
    """Why no whole answer was received."""

    NOT_CONNECTED = "not_connected"
    """No connection was made, so nothing was sent."""

    CONNECTION_LOST = "connection_lost"
    """The connection closed after the request had been handed to it."""

    CANCELLED = "cancelled"
    """The sender gave up; the connection was closed."""

    INVALID_ANSWER = "invalid_answer"
    """The answer was malformed or exceeded the size limit."""


class HttpAnswer:
    """A whole answer.

    Attributes:
        status: HTTP status code.
        headers: Names and values, alternating, without hop-by-hop headers.
        body: The whole body.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Holds the parts of an answer."""
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, compared without case."""
        wanted = name.lower()
        headers = self.headers
        for index in range(0, len(headers), 2):
            if headers[index].lower() == wanted:
                return headers[index + 1]
        return None


AnswerCallback = Callable[[HttpAnswer], None]
FailureCallback = Callable[[RequestFailure], None]


class PendingRequest:
    """One request of an `HttpClient`, until its answer or failure."""

    __slots__ = ("_connection", "_on_answer", "_on_failure", "data", "is_head")

    def __init__(
        self,
        data: bytes,
        is_head: bool,
        on_answer: AnswerCallback,
        on_failure: FailureCallback,
    ) -> None:
        """Holds an encoded request and what to call with its result.

        Args:
            data: The whole encoded request.
            is_head: Whether the answer has no body.
            on_answer: Called once with the whole answer.
            on_failure: Called once if there is none.
        """
        self.data = data
        self.is_head = is_head
        self._on_answer: AnswerCallback | None = on_answer
        self._on_failure: FailureCallback | None = on_failure
        self._connection: _Connection | None = None

    @property
    def is_settled(self) -> bool:
        """Whether the answer or the failure has been reported."""
        return self._on_answer is None

    @property
    def was_sent(self) -> bool:
        """Whether the request was handed to a connection."""
        return self._connection is not None

    def attach(self, connection: "_Connection") -> None:
        """Remembers the connection that carries the request."""
        self._connection = connection

    def answer(self, answer: HttpAnswer) -> None:
        """Reports the answer unless the request is settled."""
        callback = self._on_answer
        if callback is not None:
            self._on_answer = self._on_failure = None
            callback(answer)

    def fail(self, failure: RequestFailure) -> None:
        """Reports the failure unless the request is settled."""
        callback = self._on_failure
        if callback is not None:
            self._on_answer = self._on_failure = None
            callback(failure)

    def cancel(self) -> None:
        """Gives up; closes the connection, so that no answer can cross."""
        connection = self._connection
        self.fail(RequestFailure.CANCELLED)
        if connection is not None:
            connection.abandon()


class _Connection(HTTPClient):
    """One keep-alive connection with at most one request at a time."""

    MAX_LENGTH = 65536

    def __init__(self, client: "HttpClient") -> None:
        self._client = client
        self._pending: PendingRequest | None = None
        self._max_body_bytes = client.max_body_bytes
        self._reset()

    def _reset(self) -> None:
        self.firstLine = True
        self.length: int | None = None
        self._header = b""
        self._status = 0
        self._headers: HeaderList = []
        self._parts: list[bytes] = []
        self._received_bytes = 0
        self._is_chunked = False
        self._in_chunks = False
        self._is_chunk_end = False
        self._is_last_chunk = False
        self._keep_alive = True
        self._is_whole = False
        self._has_rest = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._writer = DirectWriter(self.transport)
        self._client.connected(self)

    def send(self, pending: PendingRequest) -> None:
        """Writes a request on this idle connection."""
        self._reset()
        self._pending = pending
        pending.attach(self)
        self._writer.write(pending.data)

    def abandon(self) -> None:
        """Closes the connection without waiting for an answer."""
        self._pending = None
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self._pending is None:
            # Bytes that belong to no request: the connection is unusable.
            self.abandon()
            return
        HTTPClient.dataReceived(self, data)
        # Only now is it known whether bytes follow the answer. A connection
        # that was reused before would take them for the next answer.
        if self._is_whole:
            self._release()

    def lineReceived(self, line: bytes) -> None:
        if self._pending is None:
            return
        if self._is_whole:
            self._has_rest = True
        elif self._in_chunks:
            self._chunk_line(line)
        else:
            try:
                HTTPClient.lineReceived(self, line)
            except (ValueError, IndexError):
                self._invalid()

    def handleStatus(
        self, version: bytes, status: bytes, message: bytes
    ) -> None:
        if version not in _VERSIONS:
            raise ValueError(f"unknown protocol version {version!r}")
        self._status = int(status)
        self._keep_alive = version == b"HTTP/1.1"

    def handleHeader(self, key: bytes, val: bytes) -> None:
        name = key.lower()
        if name not in _HOP_HEADERS:
            self._headers.append(key.decode("latin-1"))
            self._headers.append(val.decode("latin-1"))
        elif name == b"connection":
            self._keep_alive = b"close" not in val.lower()
        elif name == b"transfer-encoding":
            self._is_chunked = b"chunked" in val.lower()
        elif name == b"content-length":
            self._check_length(val.strip())

    def _check_length(self, value: bytes) -> None:
        """Raises ValueError unless there is one length without a sign."""
        if not value.isdigit() or self.length not in (None, int(value)):
            raise ValueError(f"unusable content length {value!r}")

    def handleEndHeaders(self) -> None:
        if 100 <= self._status < 200:
            # Nothing of an interim answer applies to the final one.
            self._reset()

    def setRawMode(self) -> None:
        """Chooses the body's framing; called after the headers."""
        if self.firstLine:
            return
        pending = self._pending
        is_bodiless = self._status in _BODILESS_STATUSES or (
            pending is not None and pending.is_head
        )
        if is_bodiless or (self.length == 0 and not self._is_chunked):
            self._complete()
        elif self._is_chunked:
            self._in_chunks = True
        elif self.length is None:
            # Without a length a truncated body looks like a whole one.
            self._invalid()
        elif self.length > self._max_body_bytes:
            self._invalid()
        else:
            HTTPClient.setRawMode(self)

    def _chunk_line(self, line: bytes) -> None:
        if self._is_last_chunk:
            if not line:
                self._complete()
            return
        if self._is_chunk_end:
            self._is_chunk_end = False
            if line:
                self._invalid()
            return
        digits = line.split(b";", 1)[0].strip()
        if not digits or digits.strip(_HEX_DIGITS):
            self._invalid()
            return
        size = int(digits, 16)
        if size == 0:
            self._is_last_chunk = True
            return
        if self._received_bytes + size > self._max_body_bytes:
            self._invalid()
            return
        self.length = size
        HTTPClient.setRawMode(self)

    def rawDataReceived(self, data: bytes) -> None:
        length = self.length or 0
        part, rest = data[:length], data[length:]
        self.length = length - len(part)
        self._received_bytes += len(part)
        self._parts.append(part)
        if self.length:
            return
        if self._in_chunks:
            self._is_chunk_end = True
            self.setLineMode(rest)
        else:
            self._complete()
            self._has_rest = bool(rest)
            self.line_mode = 1

    def _complete(self) -> None:
        self._is_whole = True
        self._in_chunks = False

    def _release(self) -> None:
        """Reports the answer and frees the connection if it is reusable."""
        pending = self._pending
        self._pending = None
        rest = self.clearLineBuffer()
        answer = HttpAnswer(self._status, self._headers, b"".join(self._parts))
        if self._has_rest or rest:
            self.abandon()
        elif self._keep_alive:
            self._client.idle(self)
        else:
            self.transport.loseConnection()
        if pending is not None:
            pending.answer(answer)

    def _invalid(self) -> None:
        pending = self._pending
        self.abandon()
        if pending is not None:
            pending.fail(RequestFailure.INVALID_ANSWER)

    def lineLengthExceeded(self, line: bytes) -> None:
        if self._is_whole:
            self._has_rest = True
        else:
            self._invalid()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._client.disconnected(self)
        pending = self._pending
        self._pending = None
        if pending is not None:
            pending.fail(RequestFailure.CONNECTION_LOST)


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, client: "HttpClient") -> None:
        self._client = client

    def buildProtocol(self, addr: object) -> _Connection:
        return _Connection(self._client)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self._client.connection_failed()


class HttpClient:
    """Keep-alive connections to one address.

    Attributes:
        max_body_bytes: Longest accepted answer body.
    """

    __slots__ = (
        "_connecting",
        "_connections",
        "_factory",
        "_host",
        "_idle",
        "_is_closed",
        "_max_connections",
        "_port",
        "_reactor",
        "_waiting",
        "max_body_bytes",
    )

    def __init__(
        self,
        reactor: IReactorTCP,
        host: str,
        port: int,
        max_connections: int,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        """Prepares a client; connections open when they are needed.

        Args:
            reactor: The Twisted reactor.
            host: IP address.
            port: TCP port.
            max_connections: Most connections open at one time.
            max_body_bytes: Longest accepted answer body.
        """
        self.max_body_bytes = max_body_bytes
        self._reactor = reactor
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._factory = _Factory(self)
        self._idle: list[_Connection] = []
        self._connections: set[_Connection] = set()
        self._connecting = 0
        self._waiting: list[PendingRequest] = []
        self._is_closed = False

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self._host, self._port

    def request(
        self,
        method: str,
        path: str,
        headers: HeaderList,
        body: bytes,
        on_answer: AnswerCallback,
        on_failure: FailureCallback,
    ) -> PendingRequest:
        """Sends a request.

        Args:
            method: HTTP method.
            path: Request target.
            headers: Names and values, alternating; Host and Content-Length
                are added.
            body: The whole body.
            on_answer: Called once with the whole answer.
            on_failure: Called once if there is none.

        Returns:
            The pending request, which can be cancelled.
        """
        parts = [f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n"]
        for index in range(0, len(headers), 2):
            parts.append(f"{headers[index]}: {headers[index + 1]}\r\n")
        parts.append(f"Content-Length: {len(body)}\r\n\r\n")
        data = "".join(parts).encode("latin-1") + body
        pending = PendingRequest(data, method == "HEAD", on_answer, on_failure)
        if self._is_closed:
            pending.fail(RequestFailure.NOT_CONNECTED)
        elif self._idle:
            self._idle.pop().send(pending)
        else:
            self._waiting.append(pending)
            self._connect()
        return pending

    def close(self) -> None:
        """Closes each connection after its answer.

        Requests that wait for a connection fail as not connected.
        """
        self._is_closed = True
        self._fail_waiting()
        for connection in list(self._idle):
            connection.transport.loseConnection()

    def _connect(self) -> None:
        if len(self._connections) + self._connecting < self._max_connections:
            self._connecting += 1
            self._reactor.connectTCP(
                self._host, self._port, self._factory, timeout=5
            )

    def _next_waiting(self) -> PendingRequest | None:
        while self._waiting:
            pending = self._waiting.pop(0)
            if not pending.is_settled:
                return pending
        return None

    def _fail_waiting(self) -> None:
        waiting = self._waiting
        self._waiting = []
        for pending in waiting:
            pending.fail(RequestFailure.NOT_CONNECTED)

    def connected(self, connection: _Connection) -> None:
        """Takes a new connection into use."""
        self._connecting -= 1
        self._connections.add(connection)
        self.idle(connection)

    def connection_failed(self) -> None:
        """Fails the waiting requests when no connection can be made."""
        self._connecting -= 1
        if not self._connections and not self._connecting:
            self._fail_waiting()

    def idle(self, connection: _Connection) -> None:
        """Gives a free connection its next request."""
        pending = self._next_waiting()
        if pending is not None:
            connection.send(pending)
        elif self._is_closed:
            connection.transport.loseConnection()
        else:
            self._idle.append(connection)

    def disconnected(self, connection: _Connection) -> None:
        """Forgets a closed connection."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting and not self._is_closed:
            self._connect()
