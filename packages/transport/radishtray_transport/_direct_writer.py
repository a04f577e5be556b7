"""Writes to a TCP socket without waiting for the next reactor iteration."""

from typing import Any


class DirectWriter:
    """Writes to the socket directly until its send buffer is full.

    `transport.write` only queues the bytes and sends them in the next reactor
    iteration, which adds 0.1 ms to each of the five writes of a call.
    """

    __slots__ = ("_has_failed", "_is_queueing", "_transport")

    def __init__(self, transport: Any) -> None:
        """Wraps a connected TCP transport that has no queued bytes."""
        self._transport = transport
        self._is_queueing = False
        self._has_failed = False

    @property
    def has_sent_all(self) -> bool:
        """Whether the operating system has accepted all bytes so far."""
        # Twisted keeps the bytes of the newest writes apart.
        newest_bytes = int(self._transport._tempDataLen)
        return not (self._has_failed or self.unsent_bytes or newest_bytes)

    @property
    def held_bytes(self) -> int:
        """Bytes that the transport holds in memory, also those just sent."""
        transport = self._transport
        return len(transport.dataBuffer) + int(transport._tempDataLen)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the transport is sending and the peer has not read."""
        transport = self._transport
        return len(transport.dataBuffer) - int(transport.offset)

    def write(self, data: bytes) -> None:
        """Sends bytes in the order of calls.

        After the first partial write, all bytes go through the transport's
        queue.
        """
        transport = self._transport
        if self._is_queueing or not transport.connected:
            transport.write(data)
            return
        sent = transport.writeSomeData(data)
        if sent == len(data):
            return
        # Queued bytes would be overtaken by further direct writes.
        self._is_queueing = True
        if not isinstance(sent, int):
            # The error is reported once, so a later read finds an orderly end.
            self._has_failed = True
        elif sent > 0:
            data = data[sent:]
        transport.write(data)
