"""Collects the body of a received message."""


class BodyBuffer:
    """The parts of a body that have been received.

    Most bodies arrive in one part, which is then not copied.

    Attributes:
        size: Number of received bytes.
    """

    __slots__ = ("_first_part", "_other_parts", "size")

    def __init__(self) -> None:
        """Creates an empty buffer."""
        self._first_part = b""
        self._other_parts = bytearray()
        self.size = 0

    def append(self, part: bytes) -> None:
        """Adds the next part."""
        self.size += len(part)
        if not self._first_part:
            self._first_part = part
        else:
            self._other_parts += part

    def take(self) -> bytes:
        """Returns the body and clears the buffer."""
        body = self._first_part
        if self._other_parts:
            body += self._other_parts
        self.clear()
        return body

    def clear(self) -> None:
        """Drops all parts."""
        self._first_part = b""
        if self._other_parts:
            self._other_parts = bytearray()
        self.size = 0
