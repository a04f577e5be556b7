"""Interface of the platform client, and helpers to await its results."""

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
    """Versioned objects with compare-and-set writes and watches.

    Every Deferred fires with a Result. The errors are those of the platform
    client: Conflict, NotFound, Unreachable, OutcomeUnknown, Rejected.
    """

    @property
    def restore_count(self) -> int:
        """How often the store was seen to come back from an older copy."""
        ...

    def get(self, name: str) -> "Deferred[Result[Any, Any]]":
        """Reads an object; the result has its name, version and value."""
        ...

    def put(
        self, name: str, value: bytes, version: int | None
    ) -> "Deferred[Result[Any, Any]]":
        """Writes if the version still matches; gives the new version.

        Args:
            name: Name of the object.
            value: New content.
            version: Version that the write is conditional on; None to create
                the object.
        """
        ...

    def watch(
        self, name: str, version: int | None, timeout_s: float
    ) -> "Deferred[Result[Any, Any]]":
        """Long-polls for a version other than the given one.

        The result is None if the object did not change within the timeout.
        """
        ...

    def delete(self, name: str, version: int) -> "Deferred[Result[Any, Any]]":
        """Deletes an object if its version still matches."""
        ...

    def list(self, prefix: str) -> "Deferred[Result[Any, Any]]":
        """Lists the names and versions of the objects with a prefix."""
        ...


async def await_result(
    reactor: IReactorTime,
    pending: "Deferred[Result[Any, Any]]",
    timeout_s: float = CALL_TIMEOUT_S,
) -> Result[Any, Any]:
    """Awaits a platform call; a failure or timeout becomes Unreachable.

    Unreachable does not tell whether a write took effect, so writers must read
    the object again after every error except Conflict.

    Args:
        reactor: Schedules the timeout.
        pending: Result of the call.
        timeout_s: Seconds after which the call is cancelled.
    """
    pending.addTimeout(timeout_s, reactor)
    pending.addErrback(_as_unreachable)
    result: Result[Any, Any] = await pending
    return result


def sleep(reactor: IReactorTime, delay_s: float) -> "Deferred[None]":
    """Returns a Deferred that fires after a delay unless cancelled."""
    timers: list[IDelayedCall] = []
    done: Deferred[None] = Deferred(lambda _: timers[0].cancel())
    timers.append(reactor.callLater(delay_s, done.callback, None))
    return done


def _as_unreachable(failure: Failure) -> Failure | Result[Any, Any]:
    if failure.check(CancelledError) is not None:
        return failure  # The awaiting coroutine was cancelled by its owner.
    _LOG.debug("platform call failed or timed out: %s", failure.value)
    return Error(Unreachable(str(failure.value)))
