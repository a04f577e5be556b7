"""Writes to a TCP transport without waiting for the next loop iteration."""

from typing import Any


class DirectWriter:
    """Sends bytes at once while the socket takes them whole.

    `transport.write` only queues; the bytes leave after another poll of the
    loop, which cost 0.1 ms for each of the five writes of a call.
    """

    __slots__ = ("_is_buffered", "_transport")

    def __init__(self, transport: Any) -> None:
        """Takes a connected TCP transport that nothing was written to."""
        self._transport = transport
        self._is_buffered = False

    def write(self, data: bytes) -> None:
        """Writes bytes in order; queues them once the socket is full."""
        transport = self._transport
        if self._is_buffered or not transport.connected:
            transport.write(data)
            return
        sent = transport.writeSomeData(data)
        if sent == len(data):
            return
        # From here on the transport's queue keeps the order.
        self._is_buffered = True
        if isinstance(sent, int) and sent > 0:
            data = data[sent:]
        transport.write(data)
