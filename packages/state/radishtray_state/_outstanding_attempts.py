"""Sender's record of attempts handed to one receiver."""

from collections.abc import Iterable
from enum import Enum
from typing import Generic, TypeVar

from radishtray_state._attempt_records import (
    AnswerT,
    AttemptPhase,
    AttemptState,
)

ContextT = TypeVar("ContextT")

SALT_BITS = 23
_COUNTER_BITS = 40  # With the salt they fill a positive 64-bit integer.


class AttemptVerdict(Enum):
    """What the sender may say about a settled attempt."""

    NOT_RUN = "not_run"
    """The receiver stated that the attempt never ran and never will."""

    ANSWERED = "answered"
    """The receiver kept the answer."""

    UNKNOWN = "unknown"
    """The attempt may have run."""


class SettledAttempt(Generic[ContextT, AnswerT]):
    """An attempt that ended without an answer frame."""

    __slots__ = ("_answer", "_attempt_id", "_context", "_verdict")

    def __init__(
        self,
        attempt_id: int,
        context: ContextT,
        verdict: AttemptVerdict,
        answer: AnswerT | None = None,
    ) -> None:
        """Creates a settled attempt.

        Args:
            attempt_id: Id of the attempt.
            context: The object given to `hand_over`.
            verdict: What the sender may say.
            answer: The answer, if the verdict is `ANSWERED`.
        """
        self._attempt_id = attempt_id
        self._context = context
        self._verdict = verdict
        self._answer = answer

    @property
    def attempt_id(self) -> int:
        """Id of the attempt."""
        return self._attempt_id

    @property
    def context(self) -> ContextT:
        """The object given to `hand_over`."""
        return self._context

    @property
    def verdict(self) -> AttemptVerdict:
        """What the sender may say."""
        return self._verdict

    @property
    def answer(self) -> AnswerT | None:
        """The answer, if the verdict is `ANSWERED`."""
        return self._answer


class Reopened(Generic[ContextT, AnswerT]):
    """What to do after a connection has been opened."""

    __slots__ = ("_lost", "_query")

    def __init__(
        self,
        query: list[int],
        lost: list[SettledAttempt[ContextT, AnswerT]],
    ) -> None:
        """Creates the result of `OutstandingAttempts.opened`.

        Args:
            query: Ids to ask for before any call is sent.
            lost: Attempts handed to an older receiver process.
        """
        self._query = query
        self._lost = lost

    @property
    def query(self) -> list[int]:
        """Ids to ask for before any call is sent on the connection."""
        return self._query

    @property
    def lost(self) -> list[SettledAttempt[ContextT, AnswerT]]:
        """Attempts handed to an older receiver process; all unknown."""
        return self._lost


def attempt_id(salt: int, number: int) -> int:
    """Returns the id of the attempt of a number, counted from 1."""
    return (salt << _COUNTER_BITS) + number


class OutstandingAttempts(Generic[ContextT, AnswerT]):
    """Attempts handed to the sockets of one receiver and not yet settled.

    A request that was not handed over is not in here and may be reported as
    `not_run`. An attempt in here ends in exactly one of four ways: `answered`,
    `settle`, `opened` or `receiver_lost` (newer receiver process), `give_up`
    (deadline or cancel). Whatever arrives for it afterwards is ignored.
    """

    __slots__ = (
        "_current",
        "_earlier",
        "_epoch",
        "_first_id",
        "_is_open",
        "_last_id",
        "_late",
        "_mismatched",
        "_next_epoch",
        "_receiver_incarnation",
    )

    def __init__(self, salt: int = 0) -> None:
        """Creates an empty record without a connection.

        Args:
            salt: Number from 0 to 2**23 - 1 in the upper bits of every id.
                With a different salt per receiver, an answer written to the
                wrong connection does not match an attempt by chance.

        Raises:
            ValueError: If the salt is out of range.
        """
        if not 0 <= salt < 2**SALT_BITS:
            raise ValueError(f"salt {salt} does not fit {SALT_BITS} bits")
        self._current: dict[int, ContextT] = {}
        self._earlier: dict[int, ContextT] = {}
        self._epoch = 0
        self._next_epoch = 0
        self._is_open = False
        self._first_id = attempt_id(salt, 1)
        self._last_id = self._first_id - 1
        self._receiver_incarnation = 0
        self._late = 0
        self._mismatched = 0

    @property
    def outstanding(self) -> int:
        """Attempts handed over and not settled."""
        return len(self._current) + len(self._earlier)

    @property
    def late_answers(self) -> int:
        """Ignored answers to settled attempts or on older connections."""
        return self._late

    @property
    def mismatched_answers(self) -> int:
        """Ignored answers to attempts that were never handed over."""
        return self._mismatched

    def next_epoch(self) -> int:
        """Returns the epoch for a new connection to this receiver."""
        self._next_epoch += 1
        return self._next_epoch

    def opened(
        self, epoch: int, receiver_incarnation: int
    ) -> Reopened[ContextT, AnswerT] | None:
        """Makes an authenticated connection the current one.

        The sender closes the previous connection, if it is still open.

        Args:
            epoch: Epoch of the connection.
            receiver_incarnation: Incarnation stated by the receiver.

        Returns:
            What to ask for and what is lost. None if a newer connection or a
            newer receiver process is known; the sender closes this one then.
        """
        if epoch <= self._epoch:
            return None
        if receiver_incarnation < self._receiver_incarnation:
            return None
        self._epoch = epoch
        self._is_open = True
        lost: list[SettledAttempt[ContextT, AnswerT]] = []
        if receiver_incarnation > self._receiver_incarnation:
            lost = self.receiver_lost()
            self._is_open = True
            self._receiver_incarnation = receiver_incarnation
        self._earlier.update(self._current)
        self._current.clear()
        return Reopened(list(self._earlier), lost)

    def hand_over(self, context: ContextT) -> int | None:
        """Records an attempt just before its frame is written.

        Args:
            context: Object to return when the attempt is settled; not None.

        Returns:
            The attempt's id, or None if no connection is open; the attempt
            was not handed over then.
        """
        if not self._is_open:
            return None
        self._last_id += 1
        self._current[self._last_id] = context
        return self._last_id

    def closed(self, epoch: int) -> None:
        """Notes the end of a connection, which settles no attempt."""
        if epoch == self._epoch:
            self._is_open = False

    def answered(self, epoch: int, attempt_id: int) -> ContextT | None:
        """Matches an answer to its attempt.

        Args:
            epoch: Epoch of the connection on which the answer was read.
            attempt_id: Id stated by the answer.

        Returns:
            The attempt's context, or None if the answer must be ignored.
        """
        if epoch == self._epoch:
            context = self._current.pop(attempt_id, None)
            if context is None:
                context = self._earlier.pop(attempt_id, None)
            if context is not None:
                return context
        if self._first_id <= attempt_id <= self._last_id:
            self._late += 1
        else:
            self._mismatched += 1
        return None

    def settle(
        self, epoch: int, states: Iterable[AttemptState[AnswerT]]
    ) -> list[SettledAttempt[ContextT, AnswerT]]:
        """Applies the receiver's answer to a query.

        Args:
            epoch: Epoch of the connection on which the states were read.
            states: States stated by the receiver.

        Returns:
            The attempts that are settled. A running attempt stays
            outstanding; so does one that the states leave out.
        """
        settled: list[SettledAttempt[ContextT, AnswerT]] = []
        if epoch != self._epoch:
            return settled
        for state in states:
            verdict = _VERDICTS[state.phase]
            if verdict is None or state.attempt_id not in self._earlier:
                continue
            answer = state.answer
            if verdict is not AttemptVerdict.ANSWERED:
                answer = None
            elif answer is None:
                verdict = AttemptVerdict.UNKNOWN
            context = self._earlier.pop(state.attempt_id)
            settled.append(
                SettledAttempt(state.attempt_id, context, verdict, state.answer)
            )
        return settled

    def give_up(self, attempt_id: int) -> ContextT | None:
        """Ends the wait for an attempt, whose outcome is then unknown.

        Returns:
            The attempt's context, or None if it is already settled.
        """
        context = self._current.pop(attempt_id, None)
        if context is None:
            context = self._earlier.pop(attempt_id, None)
        return context

    def receiver_lost(self) -> list[SettledAttempt[ContextT, AnswerT]]:
        """Settles every attempt as unknown because the receiver is gone."""
        lost = [
            SettledAttempt[ContextT, AnswerT](
                attempt_id, context, AttemptVerdict.UNKNOWN
            )
            for attempts in (self._earlier, self._current)
            for attempt_id, context in attempts.items()
        ]
        self._earlier.clear()
        self._current.clear()
        self._is_open = False
        return lost


_VERDICTS = {
    AttemptPhase.NEVER_SEEN: AttemptVerdict.NOT_RUN,
    AttemptPhase.RUNNING: None,
    AttemptPhase.DONE: AttemptVerdict.ANSWERED,
    AttemptPhase.FORGOTTEN: AttemptVerdict.UNKNOWN,
}
