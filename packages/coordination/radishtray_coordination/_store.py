"""The part of the platform client that the drivers use."""

import logging
from typing import Any, Protocol

from expression import Error, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.python.failure import Failure

from radishtray_transport import Unreachable

CALL_TIMEOUT_S = 8.0  # The platform client gives up after 5 s per address.

_LOG = logging.getLogger(__name__)


class WatchableStore(Protocol):
    """Versioned objects with conditional updates and watches.

    Every Deferred fires with a Result. Errors are those of the platform
    client: Conflict, NotFound, Unreachable, OutcomeUnknown, Rejected.
    """

    def get(self, name: str) -> "Deferred[Result[Any, Any]]":
        """Reads an object with name, version and value."""
        ...

    def put(
        self, name: str, value: bytes, version: int | None
    ) -> "Deferred[Result[Any, Any]]":
        """Writes at a version, None to create; returns the new version."""
        ...

    def watch(
        self, name: str, version: int | None, timeout_s: float
    ) -> "Deferred[Result[Any, Any]]":
        """Waits for another version; None if there was none in that time."""
        ...

    def delete(self, name: str, version: int) -> "Deferred[Result[Any, Any]]":
        """Deletes an object at a version."""
        ...

    def list(self, prefix: str) -> "Deferred[Result[Any, Any]]":
        """Lists objects with name and version."""
        ...


async def call(
    reactor: IReactorTime,
    answer: "Deferred[Result[Any, Any]]",
    timeout_s: float = CALL_TIMEOUT_S,
) -> Result[Any, Any]:
    """Awaits a call; one that fails or takes too long is Unreachable.

    For a write this says nothing about its effect, so writers must read back
    after every error but Conflict.
    """
    answer.addTimeout(timeout_s, reactor)
    answer.addErrback(_as_unreachable)
    result: Result[Any, Any] = await answer
    return result


def sleep(reactor: IReactorTime, delay_s: float) -> "Deferred[None]":
    """Returns a Deferred that fires after a delay."""
    timers: list[IDelayedCall] = []
    done: Deferred[None] = Deferred(lambda _: timers[0].cancel())
    timers.append(reactor.callLater(delay_s, done.callback, None))
    return done


def _as_unreachable(failure: Failure) -> Failure | Result[Any, Any]:
    if failure.check(CancelledError) is not None:
        return failure  # The owner of the waiting coroutine closed it.
    _LOG.debug("platform call failed: %s", failure.value)
    return Error(Unreachable(str(failure.value)))
