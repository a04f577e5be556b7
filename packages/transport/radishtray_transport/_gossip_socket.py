"""UDP socket for signed gossip datagrams."""

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
    """Totals of one gossip socket since it was created."""

    __slots__ = (
        "dropped_by_fault",
        "oversized_messages",
        "received_bytes",
        "received_datagrams",
        "send_errors",
        "sent_bytes",
        "sent_datagrams",
    )

    def __init__(self) -> None:
        """Sets all counters to zero."""
        self.received_datagrams = 0
        """Valid datagrams received."""
        self.received_bytes = 0
        """Bytes of all datagrams received, including invalid ones."""
        self.dropped_by_fault = dict.fromkeys(DatagramFault, 0)
        """Received datagrams that were dropped, by fault."""
        self.sent_datagrams = 0
        """Datagrams passed to the operating system."""
        self.sent_bytes = 0
        """Bytes of the datagrams passed to the operating system."""
        self.oversized_messages = 0
        """Messages not sent because they exceed `MAX_DATAGRAM_BYTES`."""
        self.send_errors = 0
        """Datagrams not sent: closed socket, malformed address or OS error."""


class GossipSocket(DatagramProtocol):
    """Signs, sends, receives and verifies gossip datagrams."""

    def __init__(
        self,
        keys: ClusterKeys,
        on_message: Callable[[GossipMessage, str], Iterable[Datagram]],
    ) -> None:
        """Configures the socket; `start` opens it.

        Args:
            keys: Cluster keys; may be reloaded while the socket is open.
            on_message: Called with each valid message and its source address
                as ip:port; returns the datagrams to send in reply.
        """
        self._keys = keys
        self._on_message = on_message
        self._port: IListeningPort | None = None
        self.counters = GossipCounters()

    @property
    def address(self) -> str:
        """Local address as ip:port.

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
            reactor: The Twisted reactor.
            host: IP address of the interface.
            port: UDP port; 0 chooses a free one.
        """
        # Reading one byte more than the limit detects datagrams that exceed
        # it; the operating system truncates them to the size read.
        self._port = reactor.listenUDP(
            port, self, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES + 1
        )

    def close(self) -> Deferred[None]:
        """Closes the socket; has no effect if it is not open."""
        port, self._port = self._port, None
        if port is None:
            return maybeDeferred(lambda: None)
        return maybeDeferred(port.stopListening)

    def send(self, datagrams: Iterable[Datagram]) -> None:
        """Sends datagrams; failures are counted and not raised."""
        for datagram in datagrams:
            self._send_one(datagram)

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes a datagram, passes on its message and sends the replies."""
        self.counters.received_bytes += len(data)
        decoded = decode_datagram(data, self._keys)
        if decoded.is_error():
            self.counters.dropped_by_fault[decoded.error] += 1
            return
        self.counters.received_datagrams += 1
        self.send(self._on_message(decoded.ok, f"{addr[0]}:{addr[1]}"))

    def _send_one(self, datagram: Datagram) -> None:
        encoded = encode_datagram(datagram.message, self._keys)
        if encoded.is_error():
            self.counters.oversized_messages += 1
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
        self.counters.sent_datagrams += 1
        self.counters.sent_bytes += len(encoded.ok)
