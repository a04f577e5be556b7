"""A small keep-alive HTTP/1.1 client with callbacks.

`twisted.web.client.Agent` costs more than a millisecond a call, so requests to
upstreams use this client, whose connections are read by `httptools`.
"""

from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory

from radishtray_transport._http_connection import HttpConnection
from radishtray_transport._http_exchange import (
    AnswerCallback,
    AnswerRules,
    FailureCallback,
    HeaderList,
    PendingRequest,
    RequestFailure,
)

DEFAULT_MAX_BODY_BYTES = 2 * 1024 * 1024


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, client: "HttpClient") -> None:
        self._client = client

    def buildProtocol(self, addr: object) -> HttpConnection:
        return HttpConnection(self._client)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self._client.connection_failed()


class HttpClient:
    """Keep-alive connections to one address.

    Attributes:
        max_body_bytes: Longest accepted answer body.
        rules: How answers are read.
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
        "rules",
    )

    def __init__(
        self,
        reactor: IReactorTCP,
        host: str,
        port: int,
        max_connections: int,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        rules: AnswerRules | None = None,
    ) -> None:
        """Prepares a client; connections open when they are needed.

        Args:
            reactor: The Twisted reactor.
            host: IP address.
            port: TCP port.
            max_connections: Most connections open at one time.
            max_body_bytes: Longest accepted answer body.
            rules: How answers are read.
        """
        self.max_body_bytes = max_body_bytes
        self.rules = rules or AnswerRules()
        self._reactor = reactor
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._factory = _Factory(self)
        self._idle: list[HttpConnection] = []
        self._connections: set[HttpConnection] = set()
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
        *,
        host: str | None = None,
        expected_id: str = "",
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
            host: Value of the Host header; the server's address if None.
            expected_id: Id that the answer repeats; empty accepts any.

        Returns:
            The pending request, which can be cancelled.
        """
        parts = [f"{method} {path} HTTP/1.1\r\nHost: {host or self._host}\r\n"]
        for index in range(0, len(headers), 2):
            parts.append(f"{headers[index]}: {headers[index + 1]}\r\n")
        parts.append(f"Content-Length: {len(body)}\r\n\r\n")
        data = "".join(parts).encode("latin-1") + body
        pending = PendingRequest(
            data, method == "HEAD", on_answer, on_failure, expected_id
        )
        connection = None if self._is_closed else self._take_idle()
        if self._is_closed:
            pending.fail(RequestFailure.NOT_CONNECTED)
        elif connection is not None:
            connection.send(pending)
        else:
            self._waiting.append(pending)
            self._connect()
        return pending

    def _take_idle(self) -> HttpConnection | None:
        """Returns the connection that was used last, unless it is too old."""
        if not self._idle:
            return None
        now_s = self._reactor.seconds()
        newest = self._idle[-1]
        if now_s - newest.idle_since_s <= newest.idle_limit_s:
            return self._idle.pop()
        # The others have been idle for longer.
        for connection in list(self._idle):
            connection.transport.loseConnection()
        self._idle.clear()
        return None

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

    def connected(self, connection: HttpConnection) -> None:
        """Takes a new connection into use."""
        self._connecting -= 1
        self._connections.add(connection)
        self.idle(connection)

    def connection_failed(self) -> None:
        """Fails the waiting requests when no connection can be made."""
        self._connecting -= 1
        if not self._connections and not self._connecting:
            self._fail_waiting()

    def idle(self, connection: HttpConnection) -> None:
        """Gives a free connection its next request."""
        pending = self._next_waiting()
        if pending is not None:
            connection.send(pending)
        elif self._is_closed:
            connection.transport.loseConnection()
        else:
            connection.idle_since_s = self._reactor.seconds()
            self._idle.append(connection)

    def disconnected(self, connection: HttpConnection) -> None:
        """Forgets a closed connection."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting and not self._is_closed:
            self._connect()
