"""Requests for a slot of an upstream, and the priority queue they wait in.

The priority of a request is its rank, a number that combines its priority class
and its level within the class.
"""

from collections import deque
from collections.abc import Callable

from radishtray_state._limit_learner import ObservedRun
from radishtray_state._refusal import RefusalReason

LEVELS_PER_CLASS = 128
CLASS_COUNT = 4
RANK_COUNT = LEVELS_PER_CLASS * CLASS_COUNT

NEW = 0
QUEUED = 1
RUNNING = 2
DONE = 3


class Ticket:
    """One request for a slot.

    Attributes:
        rank: Priority; class * 128 + level.
        deadline: Monotonic time in seconds after which an answer is useless.
        on_run: Called once when the ticket gets a slot.
        on_drop: Called once when the queued ticket is dropped.
        kind: Kind of the request.
        observed_run: Its run, if a concurrency limit is learned from it.
        state: `NEW`, `QUEUED`, `RUNNING` or `DONE`.
    """

    __slots__ = (
        "deadline",
        "kind",
        "observed_run",
        "on_drop",
        "on_run",
        "rank",
        "state",
    )

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
            rank: Priority, class * 128 + level; a higher rank is served first.
            deadline: Monotonic time in seconds after which an answer is
                useless.
            on_run: Called once when the ticket gets a slot.
            on_drop: Called once when the queued ticket is dropped. It has not
                run and will not run.
            kind: Kind of the request; service times are estimated per kind.

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
        self.observed_run: ObservedRun | None = None
        self.state = NEW

    def end(self) -> None:
        """Sets the state to `DONE` and drops the callbacks.

        The list of deadlines still refers to the ticket, and the callbacks to
        the request with its body.
        """
        self.state = DONE
        self.on_run = _do_nothing
        self.on_drop = _do_nothing


def _do_nothing(*_: object) -> None:
    """Replaces the callbacks of a ticket that has ended."""


class RankQueue:
    """Priority queue of tickets: a FIFO per rank and a bitmap of FIFOs in use.

    The bitmap finds the highest and the lowest nonempty FIFO without a scan.
    If `by_rank` is False, all tickets share one FIFO.
    """

    __slots__ = ("_by_rank", "_fifos", "_nonempty", "size")

    def __init__(self, by_rank: bool) -> None:
        count = RANK_COUNT if by_rank else 1
        self._fifos: list[deque[Ticket]] = [deque() for _ in range(count)]
        self._by_rank = by_rank
        self._nonempty = 0
        self.size = 0

    def push(self, ticket: Ticket) -> None:
        index = ticket.rank if self._by_rank else 0
        self._fifos[index].append(ticket)
        self._nonempty |= 1 << index
        self.size += 1

    def pop_highest(self) -> Ticket:
        """Removes and returns the oldest ticket of the highest rank."""
        index = self._nonempty.bit_length() - 1
        ticket = self._fifos[index].popleft()
        self._after_removal(index)
        return ticket

    def pop_lowest(self) -> Ticket:
        """Removes and returns the newest ticket of the lowest rank."""
        index = (self._nonempty & -self._nonempty).bit_length() - 1
        ticket = self._fifos[index].pop()
        self._after_removal(index)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        index = ticket.rank if self._by_rank else 0
        self._fifos[index].remove(ticket)
        self._after_removal(index)

    def _after_removal(self, index: int) -> None:
        self.size -= 1
        if not self._fifos[index]:
            self._nonempty &= ~(1 << index)
