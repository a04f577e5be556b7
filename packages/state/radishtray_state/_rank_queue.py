"""A request that asks for a slot, and the queue of those that wait."""

from collections import deque
from collections.abc import Callable

from radishtray_state._refusal import RefusalReason

LEVELS_PER_CLASS = 128
CLASS_COUNT = 4
RANK_COUNT = LEVELS_PER_CLASS * CLASS_COUNT

NEW = 0
QUEUED = 1
RUNNING = 2
DONE = 3


class Ticket:
    """One request that asks for a slot."""

    __slots__ = ("deadline", "kind", "on_drop", "on_run", "rank", "state")

    def __init__(
        self,
        rank: int,
        deadline: float,
        on_run: Callable[[], None],
        on_drop: Callable[[RefusalReason], None],
        kind: str = "",
    ) -> None:
        """Creates a ticket that has not been submitted.

        Args:
            rank: Importance, class * 128 + level; higher is more important.
            deadline: Monotonic time in seconds after which an answer is
                worthless.
            on_run: Called once when the ticket gets a slot.
            on_drop: Called once when a queued ticket is dropped. It has not
                run and will not run.
            kind: Request kind; expected service times are kept by kind.

        Raises:
            ValueError: If rank is not within 0 and 511.
        """
        if not 0 <= rank < RANK_COUNT:
            raise ValueError(f"rank {rank} is not within 0 and 511")
        self.rank = rank
        self.deadline = deadline
        self.on_run = on_run
        self.on_drop = on_drop
        self.kind = kind
        self.state = NEW


class RankQueue:
    """Waiting tickets in one FIFO per rank, with a bit set of ranks in use."""

    __slots__ = ("_fifos", "_ranked", "_used", "size")

    def __init__(self, ranked: bool) -> None:
        count = RANK_COUNT if ranked else 1
        self._fifos: list[deque[Ticket]] = [deque() for _ in range(count)]
        self._ranked = ranked
        self._used = 0
        self.size = 0

    def push(self, ticket: Ticket) -> None:
        index = ticket.rank if self._ranked else 0
        self._fifos[index].append(ticket)
        self._used |= 1 << index
        self.size += 1

    def pop(self) -> Ticket:
        """Removes the most important ticket, the oldest among equals."""
        index = self._used.bit_length() - 1
        ticket = self._fifos[index].popleft()
        self._removed(index)
        return ticket

    def pop_least(self) -> Ticket:
        """Removes the least important ticket, the newest among equals."""
        index = (self._used & -self._used).bit_length() - 1
        ticket = self._fifos[index].pop()
        self._removed(index)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        index = ticket.rank if self._ranked else 0
        self._fifos[index].remove(ticket)
        self._removed(index)

    def _removed(self, index: int) -> None:
        self.size -= 1
        if not self._fifos[index]:
            self._used &= ~(1 << index)
