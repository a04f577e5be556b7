"""Limits how many large bodies are read at the same time."""

from collections import OrderedDict
from collections.abc import Callable

# Bytes of a body that are read in any case.
FREE_BODY_BYTES = 64 * 1024


class LargeBodyLimit:
    """Places for bodies that are longer than `FREE_BODY_BYTES`.

    A reader without a place stops reading, so that its peer has to wait. Places
    are given in the order of the requests for them.
    """

    __slots__ = ("_places", "_readers", "_waiting")

    def __init__(self, places: int) -> None:
        """Creates a limit without readers.

        Args:
            places: Number of large bodies that may be read at the same time.

        Raises:
            ValueError: If there is no place.
        """
        if places <= 0:
            raise ValueError(f"{places} is not a positive number of places")
        self._places = places
        self._readers: set[object] = set()
        self._waiting: OrderedDict[object, Callable[[], None]] = OrderedDict()

    @property
    def readers(self) -> int:
        """Number of readers that have a place."""
        return len(self._readers)

    def enter(self, reader: object, resume: Callable[[], None]) -> bool:
        """Takes a place, or waits for one.

        Args:
            reader: The reader; it may have a place or wait already.
            resume: Called once a reader that had to wait has a place.

        Returns:
            Whether the reader has a place.
        """
        if reader in self._readers:
            return True
        if reader in self._waiting:
            return False
        if len(self._readers) < self._places:
            self._readers.add(reader)
            return True
        self._waiting[reader] = resume
        return False

    def leave(self, reader: object) -> None:
        """Gives up the place of a reader, or its wait for one, if any."""
        if self._waiting.pop(reader, None) is not None:
            return
        if reader not in self._readers:
            return
        self._readers.discard(reader)
        if self._waiting:
            next_reader, resume = self._waiting.popitem(last=False)
            self._readers.add(next_reader)
            resume()
