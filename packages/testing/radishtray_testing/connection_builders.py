"""Builders of node connections without sockets, for tests."""

from collections.abc import Callable

from radishtray_protocol import ClusterKeys, encode_frame, wire
from radishtray_testing.memory_network import MemoryNetwork, MemoryTransport
from radishtray_transport import (
    CompressionTotals,
    NodeConnection,
    NodeIdentity,
    NodeListener,
    open_node_connection,
)

_KEYS = ClusterKeys({"k1": bytes(32)})


class RecordedEvents:
    """Records the events of one side of a connection.

    Attributes:
        connection: The connection, once it is ready.
        frames: Frames that arrived after the handshake.
        rejections: Reasons for which this side closed the connection.
        has_lost_connection: Whether the connection was closed.
        on_frame: Called with each frame.
    """

    def __init__(self) -> None:
        """Starts without events."""
        self.connection: NodeConnection | None = None
        self.frames: list[wire.Frame] = []
        self.rejections: list[str] = []
        self.has_lost_connection = False
        self.on_frame: Callable[[wire.Frame], None] = lambda _frame: None

    def connection_ready(self, connection: NodeConnection) -> None:
        """Stores the connection."""
        self.connection = connection

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Stores the frame."""
        del connection
        self.frames.append(frame)
        self.on_frame(frame)

    def read_finished(self, connection: NodeConnection) -> None:
        """Does nothing."""

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """Stores the pong as a frame."""
        del connection
        self.frames.append(wire.Frame(pong=wire.Pong(sequence=sequence)))

    def connection_rejected(self, reason: str) -> None:
        """Stores the reason."""
        self.rejections.append(reason)

    def connection_lost(self, connection: NodeConnection) -> None:
        """Stores that the connection was closed."""
        del connection
        self.has_lost_connection = True

    def connection_failed(
        self, connection: NodeConnection, *, is_refused: bool
    ) -> None:
        """Does nothing."""


class ConnectedNodes:
    """Two nodes with one authenticated connection between them.

    Attributes:
        opener: Events of the opening side.
        acceptor: Events of the accepting side.
        opener_end: The transport at the opening side.
        opener_bytes: Bytes that the opening side has sent.
        acceptor_bytes: Bytes that the accepting side has sent.
    """

    def __init__(
        self,
        opener_totals: CompressionTotals | None,
        acceptor_totals: CompressionTotals | None,
    ) -> None:
        """Connects the nodes.

        Args:
            opener_totals: Totals of the opening side; None for a node that
                does not compress.
            acceptor_totals: The same for the accepting side.
        """
        self.opener = RecordedEvents()
        self.acceptor = RecordedEvents()
        self.opener_bytes = bytearray()
        self.acceptor_bytes = bytearray()
        self._network = MemoryNetwork()
        self._network.on_connection = self._record_bytes
        listener = NodeListener(
            self._network,
            NodeIdentity("acceptor", 1),
            _KEYS,
            self.acceptor,
            compression=acceptor_totals,
        )
        listener.start("127.0.0.1", 0)
        open_node_connection(
            self._network,
            ("127.0.0.1", listener.port),
            NodeIdentity("opener", 1),
            1,
            _KEYS,
            self.opener,
            compression=opener_totals,
        )
        self.run()
        self.opener_end = self._network.connections[listener.port][0][0]

    def _record_bytes(
        self, opener_end: MemoryTransport, acceptor_end: MemoryTransport
    ) -> None:
        for end, sent in (
            (opener_end, self.opener_bytes),
            (acceptor_end, self.acceptor_bytes),
        ):
            end.writeSomeData = _recording(end, sent)  # type: ignore[assignment, method-assign]

    def run(self, duration_s: float = 0.1) -> None:
        """Delivers what was sent."""
        self._network.run(duration_s)

    def send(self, *frames: wire.Frame) -> None:
        """Sends frames from the opening side and delivers them."""
        assert self.opener.connection is not None
        for frame in frames:
            self.opener.connection.send(frame)
        self.run()

    def send_answers(self, *frames: wire.Frame) -> None:
        """Sends frames from the accepting side and delivers them."""
        assert self.acceptor.connection is not None
        for frame in frames:
            self.acceptor.connection.send(frame)
        self.run()

    def send_raw(self, data: bytes) -> None:
        """Sends bytes from the opening side and delivers them."""
        self.opener_end.writeSomeData(data)
        self.run()

    def send_stream(self, data: bytes) -> None:
        """Sends a part of a compressed stream from the opening side."""
        self.send_raw(encode_frame(wire.Frame(compressed=data)))


def _recording(end: MemoryTransport, sent: bytearray) -> Callable[[bytes], int]:
    write = end.writeSomeData

    def write_and_record(data: bytes) -> int:
        sent.extend(data)
        return write(data)

    return write_and_record
