"""Pings of a link to another node, and how late their pongs are."""

PING_TIMEOUT_S = 0.8
# Without a pong for so long a second connection is opened.
_SPARE_DELAY_S = 0.2


class LinkLiveness:
    """Tracks at most one ping under way on the connection of a link.

    All times are those of one monotonic clock, in seconds.
    """

    __slots__ = ("_last_pong_s", "_sent_s", "_sequence", "_spare_delay_s")

    def __init__(self) -> None:
        """Begins without a connection."""
        self._sequence = 0
        self._sent_s: float | None = None
        self._last_pong_s = 0.0
        self._spare_delay_s = _SPARE_DELAY_S

    @property
    def is_waiting(self) -> bool:
        """Whether a ping is under way."""
        return self._sent_s is not None

    def begin(self, now_s: float) -> None:
        """Starts over with a connection whose peer has just answered."""
        self._sent_s = None
        self._last_pong_s = now_s

    def stop_waiting(self) -> None:
        """Ignores the pong of the ping under way."""
        self._sent_s = None

    def record_ping(self, now_s: float) -> int:
        """Records that a ping is sent; returns its sequence number."""
        self._sent_s = now_s
        self._sequence += 1
        return self._sequence

    def record_pong(self, sequence: int, now_s: float) -> bool:
        """Records a pong; returns whether it answers the ping under way.

        A peer whose pongs are late for long gets fewer spare connections: the
        delay before one doubles with each late pong, up to the timeout.
        """
        if self._sent_s is None or sequence != self._sequence:
            return False
        waited_s = now_s - self._sent_s
        if waited_s >= self._spare_delay_s:
            self._spare_delay_s = min(2 * self._spare_delay_s, PING_TIMEOUT_S)
        elif waited_s < self._spare_delay_s / 2:
            self._spare_delay_s = max(self._spare_delay_s / 2, _SPARE_DELAY_S)
        self._sent_s = None
        self._last_pong_s = now_s
        return True

    def is_ping_due(self, now_s: float) -> bool:
        """Returns whether a ping should follow a call at once."""
        return not self.is_waiting and (
            now_s - self._last_pong_s > _SPARE_DELAY_S
        )

    def is_spare_due(self, now_s: float) -> bool:
        """Returns whether the pong is so late that a spare should be opened."""
        return self._sent_s is not None and (
            now_s - self._sent_s >= self._spare_delay_s
        )

    def has_timed_out(self, now_s: float) -> bool:
        """Returns whether the connection counts as silent."""
        return self._sent_s is not None and (
            now_s - self._sent_s >= PING_TIMEOUT_S
        )
