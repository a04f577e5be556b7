"""One keep-alive HTTP/1.1 connection to a server."""

from typing import Protocol as TypingProtocol

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

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
_LENGTH_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
_MAX_HEAD_BYTES = 65536
_BODILESS_STATUSES = frozenset((204, 304))
# Part of the idle time stated by a server after which a connection is not
# used again: a request that crosses the server's close has an unknown outcome.
_KEEP_ALIVE_SHARE = 0.7


class ConnectionOwner(TypingProtocol):
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


class HttpConnection(Protocol):
    """One keep-alive connection with at most one request at a time."""

    def __init__(self, client: ConnectionOwner) -> None:
        """Prepares a connection that is not yet open."""
        self.idle_since_s = 0.0
        self._client = client
        self._rules = client.rules
        self._idle_limit_s = client.rules.idle_limit_s
        self._max_body_bytes = client.max_body_bytes
        self._parser: HttpResponseParser | None = HttpResponseParser(self)
        self._pending: PendingRequest | None = None
        # Whether bytes have arrived that belong to no request.
        self._is_in_doubt = False
        # Whether the answer can't be read.
        self._is_broken = False
        self._is_whole = False
        self._has_rest = False
        self._begin_answer()

    def _begin_answer(self) -> None:
        self._status = 0
        self._headers: HeaderList = []
        self._parts: list[bytes] = []
        self._received_bytes = 0
        self._partial_head_bytes = 0
        self._is_in_head = True
        self._has_length = False
        self._keep_alive = True
        self._is_close_delimited = False

    @property
    def idle_limit_s(self) -> float:
        """Seconds after which the connection is not used again once idle."""
        return self._idle_limit_s

    def connectionMade(self) -> None:
        """Takes the connection into use."""
        self.transport.setTcpNoDelay(True)
        self._writer = DirectWriter(self.transport)
        self._client.connected(self)

    def send(self, pending: PendingRequest) -> None:
        """Writes a request on this idle connection."""
        self._is_whole = False
        self._begin_answer()
        self._pending = pending
        pending.attach(self)
        self._writer.write(pending.data)

    def abandon(self) -> None:
        """Closes the connection without waiting for an answer."""
        self._pending = None
        self._parser = None
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes and reports the answer they complete."""
        parser = self._parser
        if self._pending is None or parser is None:
            # Bytes that belong to no request: the connection is unusable.
            self.abandon()
            return
        was_in_head = self._is_in_head
        try:
            parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            # After a whole answer, these are bytes that do not belong to it.
            self._has_rest = True
            self._is_broken = self._is_broken or not self._is_whole
        if was_in_head and self._is_in_head:
            self._partial_head_bytes += len(data)
            if self._partial_head_bytes > _MAX_HEAD_BYTES:
                self._is_broken = True
        # Only now is it known whether bytes follow the answer. A connection
        # that was reused before would take them for the next answer.
        if self._is_broken:
            self._invalid()
        elif self._is_whole:
            self._release()

    # Events of the parser.

    def on_message_begin(self) -> None:
        """Begins an answer, or notes bytes beyond the one awaited."""
        if self._is_whole:
            self._has_rest = True
        else:
            self._begin_answer()

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Takes a header; those of one connection only are not passed on."""
        if self._is_whole:
            return
        lowered = name.lower()
        if lowered not in _HOP_HEADERS:
            self._headers.append(name.decode("latin-1"))
            self._headers.append((value or b"").decode("latin-1"))
        elif lowered in _LENGTH_HEADERS:
            self._has_length = True
        elif lowered == b"keep-alive":
            self._note_keep_alive(value or b"")

    def _note_keep_alive(self, value: bytes) -> None:
        """Takes the server's idle time, in whole seconds, if it states one."""
        for part in value.split(b","):
            key, _, seconds = part.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                stated_s = int(seconds) * _KEEP_ALIVE_SHARE
                self._idle_limit_s = min(stated_s, self._rules.idle_limit_s)

    def on_headers_complete(self) -> None:
        """Chooses how the end of the answer is found."""
        parser = self._parser
        if self._is_whole or parser is None:
            return
        self._is_in_head = False
        self._status = status = parser.get_status_code()
        if status < 200:
            return
        if parser.get_http_version() not in ("1.0", "1.1"):
            self._is_broken = True
        pending = self._pending
        if pending is not None and pending.is_head:
            # The parser would wait for the body that the length announces.
            self._keep_alive = False
            self._complete()
        elif not self._has_length and status not in _BODILESS_STATUSES:
            # Without a length a truncated body looks like a whole one.
            self._is_close_delimited = self._rules.ends_with_connection
            self._is_broken = not self._is_close_delimited

    def on_body(self, part: bytes) -> None:
        """Takes a part of the body."""
        if self._is_whole:
            self._has_rest = True
            return
        self._received_bytes += len(part)
        if self._received_bytes > self._max_body_bytes:
            self._is_broken = True
        else:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        """Ends an answer."""
        parser = self._parser
        if self._is_whole or self._is_broken or parser is None:
            return
        if 100 <= self._status < 200:
            # Nothing of an interim answer applies to the final one.
            self._begin_answer()
            return
        self._keep_alive = self._keep_alive and parser.should_keep_alive()
        self._complete()

    def _complete(self) -> None:
        pending = self._pending
        if pending is not None and self._belongs_elsewhere(pending):
            # Drops an answer to an earlier request and waits for the right
            # one; the connection is closed after that.
            self._is_in_doubt = True
            self._is_broken = not self._keep_alive
            self._begin_answer()
            return
        self._is_whole = True

    def _belongs_elsewhere(self, pending: PendingRequest) -> bool:
        """Whether the answer states the id of another request."""
        if not self._rules.id_header or not pending.expected_id:
            return False
        answer = HttpAnswer(self._status, self._headers, b"")
        stated = answer.header(self._rules.id_header)
        return stated is not None and stated != pending.expected_id

    # The end of an exchange.

    def _release(self) -> None:
        """Reports the answer and frees the connection if it is reusable."""
        pending = self._pending
        self._pending = None
        answer = self._answer()
        if self._has_rest or self._is_in_doubt:
            self.abandon()
        elif self._keep_alive:
            self._client.idle(self)
        else:
            self.transport.loseConnection()
        if pending is not None:
            pending.answer(answer)

    def _answer(self) -> HttpAnswer:
        parts = self._parts
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        return HttpAnswer(self._status, self._headers, body)

    def _invalid(self) -> None:
        pending = self._pending
        self.abandon()
        if pending is not None:
            pending.fail(RequestFailure.INVALID_ANSWER)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports an answer that ends with its connection, or the failure."""
        self._client.disconnected(self)
        self._parser = None
        pending = self._pending
        self._pending = None
        if pending is None:
            return
        if (
            self._is_close_delimited
            and reason.check(ConnectionDone)
            and not self._belongs_elsewhere(pending)
        ):
            pending.answer(self._answer())
        else:
            pending.fail(RequestFailure.CONNECTION_LOST)
