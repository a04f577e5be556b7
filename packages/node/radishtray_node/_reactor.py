"""Twisted reactor (epoll) whose timers use the time since boot."""

import logging
import sys
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from radishtray_state import Clock, SystemClock

_LOG = logging.getLogger(__name__)


class LoopClock:
    """Caches the monotonic time for one iteration of the event loop.

    A request reads the time about twenty times. An iteration is far shorter
    than any time limit that is measured with this clock.
    """

    __slots__ = ("_clock", "_now_s")

    def __init__(self, clock: Clock) -> None:
        """Takes the clock to cache and reads it once."""
        self._clock = clock
        self._now_s = clock.monotonic()

    @property
    def source(self) -> Clock:
        """The clock that is cached."""
        return self._clock

    def refresh(self) -> None:
        """Reads the clock; must be called after each wait for events."""
        self._now_s = self._clock.monotonic()

    def monotonic(self) -> float:
        """Returns seconds since boot at the start of this iteration."""
        return self._now_s

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, read at each call."""
        return self._clock.wall_ms()


def uncached(clock: Clock) -> Clock:
    """Returns a clock that is read at each call.

    A process may be frozen within an iteration of the event loop.
    """
    return clock.source if isinstance(clock, LoopClock) else clock


class _RefreshingPoller:
    """Wraps an epoll object to refresh a `LoopClock` after each wait."""

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
    """Epoll reactor whose timers use the time since boot.

    Twisted's own reactors use the wall clock. A step of the wall clock delays
    their timers or runs all of them at once. After a suspension of the VM,
    timers that became due in the meantime run at once.

    Attributes:
        clock: Clock for all code that runs in this event loop.
    """

    def __init__(self) -> None:
        """Creates the clock first: the base class already reads the time."""
        self.clock = LoopClock(SystemClock())
        super().__init__()
        poller: Any = vars(self)["_poller"]
        self._poller = _RefreshingPoller(poller, self.clock)

    def doPoll(self, timeout: float | None) -> None:
        """Waits for events and handles them.

        Overrides Twisted's loop, which opens a logging context for each event:
        this took a twentieth of the processor time of a request.
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
                    _LOG.exception(
                        "event handler failed; the event loop continues"
                    )

    doIteration = doPoll

    def seconds(self) -> float:
        """Returns seconds since boot."""
        return self.clock.monotonic()


def install_reactor() -> BootTimeReactor:
    """Installs the reactor; must run before a Twisted reactor is imported.

    Raises:
        RuntimeError: If another reactor has been installed.
    """
    if "twisted.internet.reactor" in sys.modules:
        raise RuntimeError("a Twisted reactor is already installed")
    reactor = BootTimeReactor()
    installReactor(reactor)
    return reactor
