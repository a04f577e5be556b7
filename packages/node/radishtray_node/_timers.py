"""Coarse timers for request deadlines."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

TICK_S = 0.01


class Timer:
    """One pending call of a `TimerWheel`."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        """Holds the callback until it is run or cancelled."""
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Drops the callback; safe to repeat and after it was run."""
        self.callback = None


class TimerWheel:
    """Runs callbacks within one tick after their time.

    A reactor timer for every request costs more than the rest of its
    bookkeeping, and almost every one is cancelled.
    """

    __slots__ = ("_buckets", "_loop", "_next_tick", "_reactor")

    def __init__(self, reactor: IReactorTime) -> None:
        """Prepares a wheel that does not turn yet."""
        self._reactor = reactor
        self._buckets: dict[int, list[Timer]] = {}
        self._next_tick = 0
        self._loop = LoopingCall(self._turn)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts turning."""
        self._next_tick = int(self._reactor.seconds() / TICK_S)
        self._loop.start(TICK_S, now=False)

    def close(self) -> None:
        """Stops turning; pending callbacks are not run."""
        if self._loop.running:
            self._loop.stop()

    def after(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Runs a callback after a delay.

        Args:
            delay_s: Seconds from now.
            callback: Called once unless the timer is cancelled.

        Returns:
            The timer.
        """
        tick = int((self._reactor.seconds() + delay_s) / TICK_S) + 1
        tick = max(tick, self._next_tick)
        timer = Timer(callback)
        bucket = self._buckets.get(tick)
        if bucket is None:
            self._buckets[tick] = [timer]
        else:
            bucket.append(timer)
        return timer

    def _turn(self) -> None:
        last = int(self._reactor.seconds() / TICK_S)
        while self._next_tick <= last:
            bucket = self._buckets.pop(self._next_tick, None)
            self._next_tick += 1
            for timer in bucket or ():
                callback = timer.callback
                if callback is not None:
                    timer.callback = None
                    callback()
