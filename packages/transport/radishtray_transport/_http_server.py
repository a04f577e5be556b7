"""A lean HTTP/1.1 listener."""

from collections.abc import Callable

from twisted.internet.interfaces import IListeningPort, IReactorTCP
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from radishtray_transport._http_channel import HttpChannel
from radishtray_transport._http_request import HttpLimits, HttpRequest

_SWEEP_INTERVAL_S = 1.0
_BACKLOG = 1024


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
        self._channels: set[HttpChannel] = set()
        self._factory = _ServerFactory(self)
        self._port: IListeningPort | None = None
        # One sweep of all connections replaces a timer for each request.
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
            port, self._factory, backlog=_BACKLOG, interface=host
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

    def opened(self, channel: HttpChannel) -> None:
        """Registers a connection."""
        self._channels.add(channel)

    def closed(self, channel: HttpChannel) -> None:
        """Forgets a connection."""
        self._channels.discard(channel)


class _ServerFactory(Factory):
    noisy = False

    def __init__(self, server: HttpServer) -> None:
        self._server = server

    def buildProtocol(self, addr: object) -> HttpChannel | None:
        if not self._server.has_room():
            return None
        return HttpChannel(self._server)
