"""Writes to a TCP socket with one copied piece at a time."""

from collections import deque
from collections.abc import Callable
from typing import Any

# Bytes of the queue that are copied to the transport at a time.
_PIECE_BYTES = 256 * 1024


class PieceWriter:
    """Writes directly to the socket; queues what it does not take.

    The transport copies what it queues, so that a body which is being sent on
    would be held twice or more. This queue refers to the bytes that it was
    given, and gives the transport a piece only after that before has been sent.

    Like `DirectWriter`, it writes without waiting for the reactor.
    """

    __slots__ = (
        "_has_failed",
        "_is_direct",
        "_on_queue_changed",
        "_queue",
        "_transport",
        "queued_bytes",
    )

    def __init__(
        self,
        transport: Any,
        on_queue_changed: Callable[[int], None] = lambda _: None,
    ) -> None:
        """Wraps a connected TCP transport, without a producer or queued bytes.

        Args:
            transport: The transport.
            on_queue_changed: Called with the bytes in the queue when they have
                changed.
        """
        self.queued_bytes = 0
        self._transport = transport
        self._on_queue_changed = on_queue_changed
        self._queue: deque[memoryview] = deque()
        self._is_direct = True
        self._has_failed = False

    @property
    def has_sent_all(self) -> bool:
        """Whether the operating system has accepted all bytes so far."""
        transport = self._transport
        unsent = len(transport.dataBuffer) - int(transport.offset)
        return not (
            self._has_failed
            or self._queue
            or unsent
            or int(transport._tempDataLen)
        )

    def write(self, data: bytes) -> None:
        """Sends bytes in the order of calls."""
        transport = self._transport
        if not transport.connected:
            self._has_failed = True
            return
        left = memoryview(data)
        if self._is_direct:
            sent = transport.writeSomeData(data)
            if sent == len(data):
                return
            if isinstance(sent, int):
                left = left[max(sent, 0) :]
            else:
                # The error is reported once, so a later read finds an orderly
                # end.
                self._has_failed = True
        self._queue.append(left)
        self._change_queue(len(left))
        if self._is_direct:
            self._is_direct = False
            transport.registerProducer(self, False)

    def _change_queue(self, size: int) -> None:
        self.queued_bytes += size
        self._on_queue_changed(self.queued_bytes)

    # Calls of the transport (`IPullProducer`).

    def resumeProducing(self) -> None:
        """Passes the next piece to the transport, which has sent all before."""
        if not self._queue:
            self._is_direct = True
            self._transport.unregisterProducer()
            return
        pieces = []
        left = _PIECE_BYTES
        while self._queue and left:
            first = self._queue.popleft()
            pieces.append(first[:left])
            if len(first) > left:
                self._queue.appendleft(first[left:])
            left -= len(pieces[-1])
        piece = b"".join(pieces)
        self._transport.write(piece)
        self._change_queue(-len(piece))

    def stopProducing(self) -> None:
        """Drops the queue, since the connection is lost."""
        self._has_failed = self._has_failed or bool(self._queue)
        self._queue.clear()
        self._change_queue(-self.queued_bytes)
