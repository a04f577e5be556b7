"""Long-running coroutines that are restarted after unexpected errors."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from radishtray_coordination._store import sleep

_LOG = logging.getLogger(__name__)
_RESTART_DELAY_S = 5.0  # Keeps a repeated error from causing a busy loop.


class BackgroundTask:
    """Runs a coroutine function until it returns or the task is closed.

    After an unexpected error, the function is called again with a delay.
    """

    __slots__ = ("_deferred", "_function", "_name", "_reactor")

    def __init__(
        self,
        reactor: IReactorTime,
        name: str,
        function: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Creates the task without starting it.

        Args:
            reactor: Schedules the delay before a restart.
            name: Name of the task in log messages.
            function: Coroutine function to call; usually it runs until it is
                cancelled.
        """
        self._reactor = reactor
        self._name = name
        self._function = function
        self._deferred: Deferred[None] | None = None

    def start(self) -> None:
        """Starts the task unless it was started and not closed since."""
        if self._deferred is None:
            self._deferred = Deferred.fromCoroutine(self._run_with_restarts())
            self._deferred.addErrback(self._log_unexpected_end)

    def close(self) -> None:
        """Cancels the coroutine; `start` may start the task again."""
        deferred, self._deferred = self._deferred, None
        if deferred is not None:
            deferred.cancel()

    async def _run_with_restarts(self) -> None:
        while True:
            try:
                await self._function()
                return
            except CancelledError:
                raise
            except Exception:
                _LOG.exception(
                    "background task '%s' failed; restarting it after a delay",
                    self._name,
                )
                await sleep(self._reactor, _RESTART_DELAY_S)

    def _log_unexpected_end(self, failure: Failure) -> None:
        if failure.check(CancelledError) is None:
            _LOG.error(
                "background task '%s' ended unexpectedly: %s",
                self._name,
                failure,
            )
