"""Graceful shutdown: waits for running requests up to a time limit."""

import logging
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from radishtray_state import Clock

_LOG = logging.getLogger(__name__)
# Shortest time from the start of the shutdown until connections are closed.
# Idle callers detect the shutdown by the closed connection; requests that
# they send before are refused as not run.
_FIRST_CHECK_DELAY_S = 0.5
_CHECK_INTERVAL_S = 0.05


class GracefulShutdown:
    """Waits until the node has no unfinished request, up to a time limit."""

    __slots__ = (
        "_clock",
        "_deadline_s",
        "_drained",
        "_is_idle",
        "_is_started",
        "_reactor",
        "_timeout_s",
    )

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Clock,
        timeout_s: float,
        is_idle: Callable[[], bool],
    ) -> None:
        """Creates a shutdown; `start` begins it.

        Args:
            reactor: Timers.
            clock: Time source.
            timeout_s: Longest wait for unfinished requests, in seconds.
            is_idle: Returns whether the node has no unfinished request.
        """
        self._reactor = reactor
        self._clock = clock
        self._timeout_s = timeout_s
        self._is_idle = is_idle
        self._is_started = False
        self._deadline_s = 0.0
        self._drained: Deferred[None] = Deferred()

    @property
    def is_started(self) -> bool:
        """Whether the shutdown has begun; new requests are then refused."""
        return self._is_started

    @property
    def deadline_s(self) -> float:
        """Monotonic time at which the limit is reached; 0 before the start."""
        return self._deadline_s

    @property
    def drained(self) -> "Deferred[None]":
        """Fires when no request is unfinished or the time limit is reached."""
        return self._drained

    def start(self) -> None:
        """Begins to wait for unfinished requests."""
        self._is_started = True
        self._deadline_s = self._clock.monotonic() + self._timeout_s
        self._reactor.callLater(_FIRST_CHECK_DELAY_S, self._check_idle)

    def _check_idle(self) -> None:
        is_idle = self._is_idle()
        if not is_idle and self._clock.monotonic() < self._deadline_s:
            self._reactor.callLater(_CHECK_INTERVAL_S, self._check_idle)
            return
        if not is_idle:
            _LOG.warning(
                "drain time expired; stopping with unfinished requests"
            )
        self._drained.callback(None)
