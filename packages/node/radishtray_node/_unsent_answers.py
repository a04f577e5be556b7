"""The end of a planned stop: answers that are still being sent."""

import logging
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from radishtray_state import Clock

_LOG = logging.getLogger(__name__)
_CHECK_INTERVAL_S = 0.05
# Lets the connections report their end before the process exits.
_EXIT_DELAY_S = 0.1


def call_when_sent(
    reactor: IReactorTime,
    clock: Clock,
    count_connections: Callable[[], int],
    deadline_s: float,
    done: Callable[[], object],
) -> None:
    """Calls back once all answers have been sent, or at a deadline.

    Args:
        reactor: Timers.
        clock: Time source.
        count_connections: Returns the number of connections that are open.
            Their listeners have been closed, so that each of them closes after
            its last answer.
        deadline_s: Monotonic time up to which to wait.
        done: Called shortly afterwards.
    """
    connections = count_connections()
    if connections and clock.monotonic() < deadline_s:
        reactor.callLater(
            _CHECK_INTERVAL_S,
            call_when_sent,
            reactor,
            clock,
            count_connections,
            deadline_s,
            done,
        )
        return
    if connections:
        _LOG.warning(
            "stop deadline reached; closing with unsent answers",
            extra={"connections": connections},
        )
    reactor.callLater(_EXIT_DELAY_S, done)
