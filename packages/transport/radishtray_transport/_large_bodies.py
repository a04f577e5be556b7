"""Limits the memory for large bodies of all connections together."""

from collections import OrderedDict
from collections.abc import Callable, Hashable

# Bytes of a body that are read in any case.
FREE_BODY_BYTES = 64 * 1024


class LargeBodyLimit:
    """Memory for bodies that are longer than `FREE_BODY_BYTES`.

    A reader without memory stops reading, so that its peer has to wait. Memory
    is given in the order in which readers have asked for it.
    """

    __slots__ = ("_holders", "_max_bytes", "_used_bytes", "_waiting")

    def __init__(self, max_bytes: int) -> None:
        """Creates a limit of which nothing is used.

        Args:
            max_bytes: Bytes of all large bodies together. A single body that is
                larger is read while there is no other.

        Raises:
            ValueError: If the number of bytes is not positive.
        """
        if max_bytes <= 0:
            raise ValueError(f"{max_bytes} is not a positive number of bytes")
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._holders: dict[Hashable, int] = {}
        self._waiting: OrderedDict[Hashable, tuple[int, Callable[[], None]]] = (
            OrderedDict()
        )

    @property
    def used_bytes(self) -> int:
        """Bytes that are in use."""
        return self._used_bytes

    def try_take(self, holder: Hashable, size: int) -> bool:
        """Takes memory for a body if there is enough.

        Args:
            holder: The holder of the body, which has taken none yet.
            size: Bytes of the body.
        """
        if self._holders and self._used_bytes + size > self._max_bytes:
            return False
        self._holders[holder] = size
        self._used_bytes += size
        return True

    def take_or_wait(
        self, holder: Hashable, size: int, resume: Callable[[], None]
    ) -> bool:
        """Takes memory for a body, or waits for it.

        Args:
            holder: The holder of the body, which has taken none yet.
            size: Bytes of the body.
            resume: Called once a holder that had to wait has the memory.

        Returns:
            Whether the holder has the memory.
        """
        if not self._waiting and self.try_take(holder, size):
            return True
        self._waiting[holder] = (size, resume)
        return False

    def release(self, holder: Hashable) -> None:
        """Gives back the memory of a holder, or ends its wait, if any."""
        self._waiting.pop(holder, None)
        self._used_bytes -= self._holders.pop(holder, 0)
        while self._waiting:
            next_holder, (size, resume) = next(iter(self._waiting.items()))
            if not self.try_take(next_holder, size):
                return
            del self._waiting[next_holder]
            resume()
