"""Coroutines that run until their owner closes them."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from radishtray_coordination._store import sleep

_LOG = logging.getLogger(__name__)
_RESTART_S = 5.0  # Keeps an unexpected error from becoming a busy loop.


class Background:
    """Runs one coroutine function again and again after errors."""

    __slots__ = ("_deferred", "_name", "_reactor", "_run")

    def __init__(
        self,
        reactor: IReactorTime,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Prepares the loop.

        Args:
            reactor: Timers.
            name: Name in log lines.
            run: Runs until it is cancelled.
        """
        self._reactor = reactor
        self._name = name
        self._run = run
        self._deferred: Deferred[None] | None = None

    def start(self) -> None:
        """Starts the coroutine unless it runs."""
        if self._deferred is None:
            self._deferred = Deferred.fromCoroutine(self._repeat())
            self._deferred.addErrback(self._ended)

    def close(self) -> None:
        """Cancels the coroutine."""
        deferred, self._deferred = self._deferred, None
        if deferred is not None:
            deferred.cancel()

    async def _repeat(self) -> None:
        while True:
            try:
                await self._run()
                return
            except CancelledError:
                raise
            except Exception:
                _LOG.exception("%s failed; it starts again", self._name)
                await sleep(self._reactor, _RESTART_S)

    def _ended(self, failure: Failure) -> None:
        if failure.check(CancelledError) is None:
            _LOG.error("%s ended: %s", self._name, failure)
