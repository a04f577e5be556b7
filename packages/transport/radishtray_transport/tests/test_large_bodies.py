"""Guards against memory for bodies that grows with the open connections."""

import pytest

from radishtray_transport import LargeBodyLimit


class Readers:
    """Readers of large bodies, numbered from 0."""

    def __init__(self, places: int, count: int) -> None:
        """Has all readers ask for a place, in their order."""
        self.limit = LargeBodyLimit(places)
        self.reading: list[int] = []
        for number in range(count):
            self.enter(number)

    def enter(self, number: int) -> None:
        if self.limit.enter(number, lambda: self.reading.append(number)):
            self.reading.append(number)


def test_readers_without_a_place_wait_in_their_order() -> None:
    readers = Readers(2, 5)
    assert readers.reading == [0, 1]
    readers.limit.leave(1)
    readers.limit.leave(0)
    assert readers.reading == [0, 1, 2, 3]
    assert readers.limit.readers == 2


def test_a_reader_that_no_longer_waits_gets_no_place() -> None:
    readers = Readers(1, 3)
    readers.limit.leave(1)
    readers.limit.leave(0)
    assert readers.reading == [0, 2]


def test_a_reader_enters_and_leaves_once() -> None:
    readers = Readers(1, 1)
    assert readers.limit.enter(0, lambda: None)
    readers.limit.leave(0)
    readers.limit.leave(0)
    assert readers.limit.readers == 0


def test_there_must_be_a_place() -> None:
    with pytest.raises(ValueError, match="0 is not a positive number"):
        LargeBodyLimit(0)
