"""UDP socket for gossip."""

from collections.abc import Callable, Iterable

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.interfaces import IListeningPort, IReactorUDP
from twisted.internet.protocol import DatagramProtocol

from radishtray_protocol import ClusterKeys
from radishtray_state import Datagram, GossipMessage
from radishtray_transport._gossip_codec import (
    MAX_DATAGRAM_BYTES,
    DatagramFault,
    decode_datagram,
    encode_datagram,
)


class GossipCounters:
    """Totals since the start, for metrics."""

    __slots__ = (
        "dropped",
        "received",
        "received_bytes",
        "send_errors",
        "sent",
        "sent_bytes",
        "unsendable",
    )

    def __init__(self) -> None:
        """Starts at zero."""
        self.received = 0
        """Valid datagrams received."""
        self.received_bytes = 0
        """Bytes of all datagrams received, invalid ones included."""
        self.dropped = dict.fromkeys(DatagramFault, 0)
        """Received datagrams dropped, by fault."""
        self.sent = 0
        """Datagrams handed to the operating system."""
        self.sent_bytes = 0
        """Their bytes."""
        self.unsendable = 0
        """Messages that exceed the size of a datagram."""
        self.send_errors = 0
        """Datagrams that the operating system refused."""


class GossipSocket(DatagramProtocol):
    """Signs, sends, receives and verifies gossip datagrams."""

    def __init__(
        self,
        keys: ClusterKeys,
        on_message: Callable[[GossipMessage, str], Iterable[Datagram]],
    ) -> None:
        """Prepares the socket without opening it.

        Args:
            keys: Cluster keys; may be reloaded at any time.
            on_message: Gets each valid message and its source address, and
                returns what to send in answer.
        """
        self._keys = keys
        self._on_message = on_message
        self._port: IListeningPort | None = None
        self.counters = GossipCounters()

    @property
    def address(self) -> str:
        """Address in use as ip:port.

        Raises:
            RuntimeError: If the socket is not open.
        """
        if self._port is None:
            raise RuntimeError("the gossip socket is not open")
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    def start(self, reactor: IReactorUDP, host: str, port: int) -> None:
        """Opens the socket.

        Args:
            reactor: Twisted's reactor.
            host: IP number of the interface.
            port: Port, or 0 for any.
        """
        # One byte more than allowed, so that longer datagrams are noticed.
        self._port = reactor.listenUDP(
            port, self, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES + 1
        )

    def close(self) -> Deferred[None]:
        """Closes the socket."""
        port, self._port = self._port, None
        if port is None:
            return maybeDeferred(lambda: None)
        return maybeDeferred(port.stopListening)

    def send(self, datagrams: Iterable[Datagram]) -> None:
        """Sends datagrams; a failed one counts as lost."""
        for datagram in datagrams:
            self._send_one(datagram)

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Verifies a datagram, passes it on and sends the answers."""
        self.counters.received_bytes += len(data)
        decoded = decode_datagram(data, self._keys)
        if decoded.is_error():
            self.counters.dropped[decoded.error] += 1
            return
        self.counters.received += 1
        self.send(self._on_message(decoded.ok, f"{addr[0]}:{addr[1]}"))

    def _send_one(self, datagram: Datagram) -> None:
        encoded = encode_datagram(datagram.message, self._keys)
        if encoded.is_error():
            self.counters.unsendable += 1
            return
        if self.transport is None:
            self.counters.send_errors += 1
            return
        host, _, port = datagram.address.rpartition(":")
        try:
            self.transport.write(encoded.ok, (host, int(port)))
        except (OSError, ValueError):
            # Twisted raises ValueError subclasses for malformed addresses.
            self.counters.send_errors += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(encoded.ok)
