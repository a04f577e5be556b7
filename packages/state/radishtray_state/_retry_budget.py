"""Retry budget of one running request, divided among its attempts.

One unit pays for one retry. Units are only moved, never created: at any time
the remaining units, the shares of unsettled attempts and the spent units add up
to the budget.
"""

MAX_BUDGET = 2**15 - 1  # The wire format holds a signed 16-bit integer.


class AttemptGrant:
    """Permission for one attempt, with the units passed to its receiver."""

    __slots__ = ("_is_open", "_is_retry", "_ledger", "_share")

    def __init__(
        self, ledger: "RetryLedger", share: int, is_retry: bool
    ) -> None:
        """Creates an open grant; to be called only by `RetryLedger.begin`.

        Args:
            ledger: The ledger that the share was taken from.
            share: Units passed to the receiver of the attempt.
            is_retry: Whether the attempt itself cost one unit.
        """
        self._ledger = ledger
        self._share = share
        self._is_retry = is_retry
        self._is_open = True

    @property
    def share(self) -> int:
        """Units that the attempt's receiver may spend."""
        return self._share

    @property
    def is_retry(self) -> bool:
        """Whether the attempt itself cost one unit."""
        return self._is_retry

    @property
    def is_open(self) -> bool:
        """Whether the share has been neither settled nor forfeited."""
        return self._is_open


class RetryLedger:
    """Accounts for the retry budget of one running request.

    The concurrent calls of the request share the ledger. An attempt receives
    half of the remaining units, rounded down. The other half stays here: if the
    answer is lost, the whole share counts as spent, and this node must still be
    able to retry.

    >>> ledger = RetryLedger(3)
    >>> first = ledger.begin(is_retry=False)
    >>> first.share, ledger.remaining
    (1, 2)
    >>> ledger.settle(first, used=0), ledger.remaining
    (1, 3)
    """

    __slots__ = ("_budget", "_is_closed", "_outstanding", "_remaining")

    def __init__(self, budget: int = 0) -> None:
        """Creates a ledger without attempts.

        Args:
            budget: Units granted to the request, from 0 to 32767; 0 for a call
                without a context.

        Raises:
            ValueError: If the budget is out of range.
        """
        if not 0 <= budget <= MAX_BUDGET:
            raise ValueError(
                f"retry budget {budget} is not within 0..{MAX_BUDGET}"
            )
        self._budget = budget
        self._remaining = budget
        self._outstanding = 0
        self._is_closed = False

    @property
    def remaining(self) -> int:
        """Units that this node can still spend or pass to a receiver."""
        return self._remaining

    @property
    def outstanding(self) -> int:
        """Units passed to the receivers of attempts that are not settled."""
        return self._outstanding

    @property
    def spent(self) -> int:
        """Units spent by this node or further down, or lost with an answer."""
        return self._budget - self._remaining - self._outstanding

    def begin(self, is_retry: bool) -> AttemptGrant | None:
        """Grants one attempt.

        Args:
            is_retry: True for a retry or a hedge, which costs one unit.

        Returns:
            The grant, or None if it is a retry and no unit is left.
        """
        remaining = self._remaining
        if is_retry:
            if remaining == 0:
                return None
            remaining -= 1
        share = remaining >> 1
        self._remaining = remaining - share
        self._outstanding += share
        return AttemptGrant(self, share, is_retry)

    def settle(self, grant: AttemptGrant, used: int) -> int:
        """Takes back the unused part of a share after the attempt's answer.

        Args:
            grant: Grant of the answered attempt.
            used: Units that the receiver stated as spent in its answer.

        Returns:
            The units taken back: 0 if the grant is closed or belongs to
            another ledger. If `used` is out of range, the grant is closed and
            the whole share counts as spent.
        """
        if not grant._is_open or grant._ledger is not self:
            return 0
        grant._is_open = False
        share = grant._share
        self._outstanding -= share
        if not 0 <= used <= share or self._is_closed:
            return 0
        self._remaining += share - used
        return share - used

    def forfeit(self, grant: AttemptGrant) -> None:
        """Counts the whole share as spent because the answer is lost."""
        self.settle(grant, grant._share)

    def close(self) -> int:
        """Closes the ledger and returns the units to state in the answer.

        Shares of unsettled attempts count as spent. Afterwards no unit can be
        spent or taken back; otherwise a call that is still running could spend
        units that the answer has already returned to the parent.

        Returns:
            Units spent or outstanding at the first call of this method.
        """
        if not self._is_closed:
            self._is_closed = True
            self._budget -= self._remaining
            self._remaining = 0
        return self._budget
