"""HTTP/1.1 server."""

from collections.abc import Callable

from twisted.internet.interfaces import IListeningPort, IReactorTCP
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from radishtray_transport._http_channel import HttpChannel
from radishtray_transport._http_request import HttpLimits, HttpRequest
from radishtray_transport._large_bodies import LargeBodyLimit

_TIMEOUT_CHECK_INTERVAL_S = 1.0
_LISTEN_BACKLOG = 1024


class HttpServer:
    """A listener that passes complete requests to one handler.

    Attributes:
        reactor: The Twisted reactor.
        limits: Limits of the listener.
        handler: Called with each complete request.
        may_overlap: Whether a pipelined request may be handled together with
            others of which this is true as well.
        on_rejected: Called with the reason for each rejected request or
            connection.
        large_bodies: Limits the memory for large bodies of requests; None for
            no limit.
    """

    __slots__ = (
        "_channels",
        "_factory",
        "_port",
        "_timeout_check",
        "handler",
        "large_bodies",
        "limits",
        "may_overlap",
        "on_rejected",
        "reactor",
    )

    def __init__(
        self,
        reactor: IReactorTCP,
        handler: Callable[[HttpRequest], None],
        limits: HttpLimits,
        on_rejected: Callable[[str], None] = lambda _: None,
        may_overlap: Callable[[HttpRequest], bool] = lambda _: False,
        large_bodies: LargeBodyLimit | None = None,
    ) -> None:
        """Configures a listener; `start` opens it."""
        self.large_bodies = large_bodies
        self.reactor = reactor
        self.handler = handler
        self.may_overlap = may_overlap
        self.limits = limits
        self.on_rejected = on_rejected
        self._channels: set[HttpChannel] = set()
        self._factory = _ServerFactory(self)
        self._port: IListeningPort | None = None
        # Checking all connections periodically avoids a timer per request.
        self._timeout_check = LoopingCall(self._enforce_timeouts)
        self._timeout_check.clock = reactor

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._channels)

    @property
    def port(self) -> int:
        """The TCP port of the open listener."""
        assert self._port is not None
        return int(self._port.getHost().port)

    def start(self, host: str, port: int) -> None:
        """Opens the listener.

        Args:
            host: IP address.
            port: TCP port; 0 chooses a free one.
        """
        self._port = self.reactor.listenTCP(
            port, self._factory, backlog=_LISTEN_BACKLOG, interface=host
        )
        self._timeout_check.start(_TIMEOUT_CHECK_INTERVAL_S, now=False)

    def _enforce_timeouts(self) -> None:
        now_s = self.reactor.seconds()
        for channel in list(self._channels):
            channel.enforce_timeouts(now_s)

    def close(self) -> None:
        """Stops accepting; each connection closes after its last response.

        Idle connections close at once.
        """
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        if self._timeout_check.running:
            self._timeout_check.stop()
        for channel in list(self._channels):
            channel.close_when_idle()

    def admit_connection(self) -> bool:
        """Returns whether a new connection is below the limit.

        Reports a connection above it to `on_rejected`.
        """
        if len(self._channels) < self.limits.connections:
            return True
        self.on_rejected("too_many_connections")
        return False

    def channel_opened(self, channel: HttpChannel) -> None:
        """Adds a channel to the open connections."""
        self._channels.add(channel)

    def channel_closed(self, channel: HttpChannel) -> None:
        """Removes a channel from the open connections."""
        self._channels.discard(channel)


class _ServerFactory(Factory):
    noisy = False

    def __init__(self, server: HttpServer) -> None:
        self._server = server

    def buildProtocol(self, addr: object) -> HttpChannel | None:
        if not self._server.admit_connection():
            return None
        return HttpChannel(self._server)
