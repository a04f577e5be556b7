"""Guards against memory for bodies that grows with the open connections."""

from collections.abc import Callable

import pytest

from radishtray_transport import (
    MemoryAccount,
    MemoryPriority,
    MemoryPurpose,
)


class Readers:
    """Readers of bodies, numbered from 0, of which 10 bytes are held at most.

    Attributes:
        account: An account with 10 bytes for responses.
        reading: Readers in the order in which they were given memory.
    """

    def __init__(self, *sizes: int) -> None:
        """Has the readers ask for so many bytes, in their order."""
        self.account = MemoryAccount(1, 10)
        self.reading: list[int] = []
        for number, size in enumerate(sizes):
            if self.account.take_or_wait(
                number,
                size,
                MemoryPurpose.UPSTREAM_RESPONSES,
                MemoryPriority.LARGE,
                self._resumer(number),
            ):
                self.reading.append(number)

    def _resumer(self, number: int) -> Callable[[], None]:
        return lambda: self.reading.append(number)


# Name: sizes of the bodies, readers that end, readers that were given memory.
CASES = {
    "all_fit": ((5, 5), [], [0, 1]),
    "one_waits": ((5, 5, 5), [], [0, 1]),
    "a_small_one_does_not_overtake": ((5, 6, 1), [], [0]),
    "in_order": ((5, 5, 5, 5, 5), [1, 0], [0, 1, 2, 3]),
    "several_after_a_large_one": ((10, 3, 3, 3, 3), [0], [0, 1, 2, 3]),
    "the_waiting_one_ends": ((10, 5, 5), [1, 0], [0, 2]),
    "the_first_waiting_one_ends": ((5, 6, 5), [1], [0, 2]),
    "ends_twice": ((10, 5, 6), [0, 0], [0, 1]),
    "larger_than_the_limit": ((12, 1), [0], [0, 1]),
    "larger_than_the_limit_waits": ((1, 12), [0], [0, 1]),
}


@pytest.mark.parametrize("name", CASES)
def test_bodies_that_do_not_fit_wait_in_their_order(name: str) -> None:
    sizes, ended, reading = CASES[name]
    readers = Readers(*sizes)
    for number in ended:
        readers.account.release(number)
    assert readers.reading == reading
    held = sum(sizes[number] for number in set(reading) - set(ended))
    assert readers.account.used_bytes == held


def try_take(account: MemoryAccount, holder: object, size: int) -> bool:
    return account.try_take(
        holder, size, MemoryPurpose.NODE_CALLS, MemoryPriority.LARGE
    )


def test_a_body_that_cannot_wait_is_not_taken_beyond_the_limit() -> None:
    account = MemoryAccount(12, 1)
    assert [try_take(account, number, 4) for number in range(3)] == [
        True,
        True,
        False,
    ]
    account.release(0)
    assert try_take(account, 2, 4)


def test_large_bodies_leave_memory_for_small_requests() -> None:
    account = MemoryAccount(100, 1)
    for number in range(20):
        try_take(account, number, 7)
    held = account.used_bytes
    assert not try_take(account, "large", 7)
    assert account.try_take(
        "small", 7, MemoryPurpose.REQUESTS, MemoryPriority.MINIMAL
    )
    assert account.used_bytes == held + 7
    assert account.used_by_purpose()[MemoryPurpose.REQUESTS] == 7


def test_the_client_without_progress_for_longest_is_ended_first() -> None:
    account = MemoryAccount(100, 1)
    ended: list[int] = []
    for number in range(3):
        account.charge(
            number,
            40,
            MemoryPurpose.UNREAD_RESPONSES,
            lambda number=number: ended.append(number),
        )
        account.record_progress(0)
    assert ended == [1]
    assert account.used_bytes == 80


@pytest.mark.parametrize("sizes", [(0, 1), (1, 0)])
def test_the_limit_must_be_positive(sizes: tuple[int, int]) -> None:
    with pytest.raises(ValueError, match="0 is not a positive number"):
        MemoryAccount(*sizes)
