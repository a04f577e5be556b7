"""Guards against bytes that overtake others, and against copies of bodies."""

from typing import Any

import pytest
from twisted.internet.protocol import Factory, Protocol

from radishtray_testing.memory_network import MemoryNetwork, RawConnection
from radishtray_transport._piece_writer import PieceWriter


class Pair:
    """A writer and the connection that receives what it sends."""

    def __init__(self, max_write_bytes: int) -> None:
        self.network = MemoryNetwork()
        self.received = RawConnection()
        ends: list[Any] = []
        self.network.on_connection = lambda _client, server: ends.append(server)

        factory = Factory()
        factory.buildProtocol = lambda _address: Protocol()
        port = self.network.listenTCP(0, factory).getHost().port
        self.received = self.network.open_connection(port)
        self.transport = ends[0]
        self.transport.max_write_some_bytes = max_write_bytes
        self.queue_sizes: list[int] = []
        self.writer = PieceWriter(self.transport, self.queue_sizes.append)


@pytest.mark.parametrize("max_write_bytes", [0, 1, 100_000, 10_000_000])
def test_bytes_arrive_in_the_order_of_the_writes(max_write_bytes: int) -> None:
    pair = Pair(max_write_bytes)
    parts = [b"head", b"b" * 700_000, b"tail", b"next"]
    for part in parts[:3]:
        pair.writer.write(part)
    pair.network.run(1)
    assert pair.writer.has_sent_all
    pair.writer.write(parts[3])
    pair.network.run(1)
    assert pair.received.received == b"".join(parts)
    assert pair.writer.queued_bytes == 0
    assert not pair.queue_sizes or pair.queue_sizes[-1] == 0


def test_the_transport_gets_one_piece_of_a_large_body_at_a_time() -> None:
    pair = Pair(0)
    pair.writer.write(b"b" * 2_000_000)
    assert pair.transport._tempDataLen <= 256 * 1024


def test_the_queue_is_dropped_with_the_connection() -> None:
    pair = Pair(0)
    pair.writer.write(b"b" * 2_000_000)
    pair.writer.stopProducing()
    assert pair.writer.queued_bytes == 0
    assert not pair.writer.has_sent_all
