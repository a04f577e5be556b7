"""The event loop on the product's clock."""

import logging
import sys
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from radishtray_state import Clock, SystemClock

_LOG = logging.getLogger(__name__)


class LoopClock:
    """The system's clock, read once in each turn of the event loop.

    A request asks for the time about twenty times; a turn of the loop lasts
    far less than any bound that is measured with it.
    """

    __slots__ = ("_clock", "_now_s")

    def __init__(self, clock: Clock) -> None:
        """Reads the clock for the first time."""
        self._clock = clock
        self._now_s = clock.monotonic()

    def refresh(self) -> None:
        """Reads the clock; called after each wait for events."""
        self._now_s = self._clock.monotonic()

    def monotonic(self) -> float:
        """Returns seconds since boot at the start of this turn."""
        return self._now_s

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return self._clock.wall_ms()


class _RefreshingPoller:
    """An epoll object that refreshes a clock after each wait."""

    __slots__ = ("_clock", "_poller", "modify", "register", "unregister")

    def __init__(self, poller: Any, clock: LoopClock) -> None:
        self._poller = poller
        self._clock = clock
        self.register = poller.register
        self.modify = poller.modify
        self.unregister = poller.unregister

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        events: list[tuple[int, int]] = self._poller.poll(timeout, max_events)
        self._clock.refresh()
        return events

    def close(self) -> None:
        self._poller.close()


class BootTimeReactor(EPollReactor):
    """Runs timers by the time since boot.

    Twisted's own reactors use the wall clock: a jump of it would hold timers
    back, or run all of them at once. After a suspension of the VM, timers that
    are due run at once.

    Attributes:
        clock: The loop's clock, for all that runs in it.
    """

    def __init__(self) -> None:
        """Starts the clock before anything asks for the time."""
        self.clock = LoopClock(SystemClock())
        super().__init__()
        poller: Any = vars(self)["_poller"]
        self._poller = _RefreshingPoller(poller, self.clock)

    def doPoll(self, timeout: float | None) -> None:
        """Waits for events and handles them.

        Twisted's own loop opens a logging context for each event, which took
        a twentieth of the processor time of a request.
        """
        try:
            events = self._poller.poll(
                -1 if timeout is None else timeout, len(self._selectables)
            )
        except InterruptedError:
            return
        for descriptor, event in events:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:
                try:
                    self._doReadOrWrite(selectable, descriptor, event)
                except Exception:
                    _LOG.exception("handling of an event failed")

    doIteration = doPoll

    def seconds(self) -> float:
        """Returns seconds since boot."""
        return self.clock.monotonic()


def install_reactor() -> BootTimeReactor:
    """Installs the event loop; call before anything else imports one.

    Raises:
        RuntimeError: If another event loop has been installed.
    """
    if "twisted.internet.reactor" in sys.modules:
        raise RuntimeError("an event loop is already installed")
    reactor = BootTimeReactor()
    installReactor(reactor)
    return reactor
