"""The graceful shutdown of a node."""

import logging
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from radishtray_state import Clock

_LOG = logging.getLogger(__name__)
# Idle callers learn from a closed connection that the node has gone; requests
# that arrive until then are refused as not run.
_LINGER_S = 0.5
_POLL_S = 0.05


class GracefulShutdown:
    """Waits until no request runs any more, up to a limit."""

    __slots__ = (
        "_clock",
        "_drained",
        "_is_idle",
        "_is_started",
        "_limit_s",
        "_reactor",
    )

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Clock,
        limit_s: float,
        is_idle: Callable[[], bool],
    ) -> None:
        """Prepares a shutdown that has not begun.

        Args:
            reactor: Timers.
            clock: Time source.
            limit_s: Longest wait in seconds.
            is_idle: Whether no request of this node is unfinished.
        """
        self._reactor = reactor
        self._clock = clock
        self._limit_s = limit_s
        self._is_idle = is_idle
        self._is_started = False
        self._drained: Deferred[None] = Deferred()

    @property
    def is_started(self) -> bool:
        """Whether the node takes no new work."""
        return self._is_started

    @property
    def drained(self) -> "Deferred[None]":
        """Fires when no request runs any more or the limit is reached."""
        return self._drained

    def start(self) -> None:
        """Begins to wait."""
        self._is_started = True
        deadline_s = self._clock.monotonic() + self._limit_s
        self._reactor.callLater(_LINGER_S, self._check, deadline_s)

    def _check(self, deadline_s: float) -> None:
        is_idle = self._is_idle()
        if not is_idle and self._clock.monotonic() < deadline_s:
            self._reactor.callLater(_POLL_S, self._check, deadline_s)
            return
        if not is_idle:
            _LOG.warning("drain time is over with unfinished requests")
        self._drained.callback(None)
