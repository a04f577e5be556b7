"""One keep-alive HTTP/1.1 connection to a server."""

from typing import Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPClient

from radishtray_transport._direct_writer import DirectWriter
from radishtray_transport._http_exchange import (
    AnswerRules,
    HeaderList,
    HttpAnswer,
    PendingRequest,
    RequestFailure,
)

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
# Part of the idle time stated by a server after which a connection is not
# used again: a request that crosses the server's close has an unknown outcome.
_KEEP_ALIVE_SHARE = 0.7


class ConnectionOwner(Protocol):
    """Gives a connection its requests.

    Attributes:
        max_body_bytes: Longest accepted answer body.
        rules: How answers are read.
    """

    max_body_bytes: int
    rules: AnswerRules

    def connected(self, connection: "HttpConnection") -> None:
        """Takes a new connection into use."""
        ...

    def idle(self, connection: "HttpConnection") -> None:
        """Gives a free connection its next request."""
        ...

    def disconnected(self, connection: "HttpConnection") -> None:
        """Forgets a closed connection."""
        ...


class HttpConnection(HTTPClient):
    """One keep-alive connection with at most one request at a time."""

    MAX_LENGTH = 65536

    def __init__(self, client: ConnectionOwner) -> None:
        self._client = client
        self._pending: PendingRequest | None = None
        self._max_body_bytes = client.max_body_bytes
        self._rules = client.rules
        self._idle_limit_s = client.rules.idle_limit_s
        self.idle_since_s = 0.0
        self._is_in_doubt = False
        self._reset()

    @property
    def idle_limit_s(self) -> float:
        """Seconds after which the connection is not used again once idle."""
        return self._idle_limit_s

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
        self._raw_rest = b""
        self._is_close_delimited = False

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
        elif name == b"keep-alive":
            self._note_keep_alive(val)

    def _note_keep_alive(self, value: bytes) -> None:
        """Takes the server's idle time, in whole seconds, if it states one."""
        for part in value.split(b","):
            key, _, seconds = part.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                stated_s = int(seconds) * _KEEP_ALIVE_SHARE
                self._idle_limit_s = min(stated_s, self._rules.idle_limit_s)

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
            if self._rules.ends_with_connection:
                self._is_close_delimited = True
                self._keep_alive = False
                HTTPClient.setRawMode(self)
                return
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
        if self._is_close_delimited:
            self._received_bytes += len(data)
            self._parts.append(data)
            if self._received_bytes > self._max_body_bytes:
                self._invalid()
            return
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
            self._raw_rest = rest
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
        if pending is not None and self._belongs_elsewhere(pending, answer):
            self._skip(pending, self._raw_rest + rest)
            return
        if self._has_rest or rest or self._is_in_doubt:
            self.abandon()
        elif self._keep_alive:
            self._client.idle(self)
        else:
            self.transport.loseConnection()
        if pending is not None:
            pending.answer(answer)

    def _belongs_elsewhere(
        self, pending: PendingRequest, answer: HttpAnswer
    ) -> bool:
        """Whether an answer states the id of another request."""
        if not self._rules.id_header or not pending.expected_id:
            return False
        stated = answer.header(self._rules.id_header)
        return stated is not None and stated != pending.expected_id

    def _skip(self, pending: PendingRequest, rest: bytes) -> None:
        """Drops an answer to an earlier request and waits for the right one.

        The connection is closed after that one.
        """
        if not self._keep_alive:
            self._pending = pending
            self._invalid()
            return
        self._reset()
        self._is_in_doubt = True
        self._pending = pending
        self.line_mode = 1
        if rest:
            self.dataReceived(rest)

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
        if pending is None:
            return
        if self._is_close_delimited and reason.check(ConnectionDone):
            answer = HttpAnswer(
                self._status, self._headers, b"".join(self._parts)
            )
            if not self._belongs_elsewhere(pending, answer):
                pending.answer(answer)
                return
        pending.fail(RequestFailure.CONNECTION_LOST)
