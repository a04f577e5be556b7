"""Coarse timers for request deadlines."""

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime

TICK_S = 0.01


class Timer:
    """One pending call of a `TimerWheel`."""

    __slots__ = ("_bucket", "callback")

    def __init__(self, callback: Callable[[], None], bucket: "_Bucket") -> None:
        """Holds the callback until it is run or cancelled."""
        self.callback: Callable[[], None] | None = callback
        self._bucket = bucket

    def cancel(self) -> None:
        """Drops the callback; safe to repeat and after it was run."""
        if self.callback is not None:
            self.callback = None
            self._bucket.cancelled()


class _Bucket:
    """The timers of one tick.

    Attributes:
        timers: All timers, also cancelled ones.
    """

    __slots__ = ("_pending", "_tick", "_wheel", "timers")

    def __init__(self, wheel: "TimerWheel", tick: int) -> None:
        self.timers: list[Timer] = []
        self._pending = 0
        self._tick = tick
        self._wheel = wheel

    def add(self, callback: Callable[[], None]) -> Timer:
        """Adds a timer."""
        timer = Timer(callback, self)
        self.timers.append(timer)
        self._pending += 1
        return timer

    def cancelled(self) -> None:
        """Notes that one timer was cancelled."""
        self._pending -= 1
        if not self._pending:
            self._wheel.drop(self._tick, self)


class TimerWheel:
    """Runs callbacks within one tick after their time.

    A reactor timer for every request costs more than the rest of its
    bookkeeping, and almost every one is cancelled. A tick whose timers have
    all been cancelled does not wake the loop.
    """

    __slots__ = ("_buckets", "_is_closed", "_reactor", "_wake", "_wake_tick")

    def __init__(self, reactor: IReactorTime) -> None:
        """Starts without timers; an empty wheel costs nothing."""
        self._reactor = reactor
        self._buckets: dict[int, _Bucket] = {}
        self._wake: IDelayedCall | None = None
        self._wake_tick = 0
        self._is_closed = False

    def close(self) -> None:
        """Stops turning; pending callbacks are not run."""
        self._is_closed = True
        if self._wake is not None and self._wake.active():
            self._wake.cancel()

    def after(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Runs a callback after a delay.

        Args:
            delay_s: Seconds from now.
            callback: Called once unless the timer is cancelled.

        Returns:
            The timer.
        """
        now_s = self._reactor.seconds()
        tick = int((now_s + max(0.0, delay_s)) / TICK_S) + 1
        bucket = self._buckets.get(tick)
        if bucket is None:
            bucket = self._buckets[tick] = _Bucket(self, tick)
            if self._wake is None or tick < self._wake_tick:
                self._wake_at(tick, now_s)
        return bucket.add(callback)

    def drop(self, tick: int, bucket: _Bucket) -> None:
        """Forgets a tick without pending timers."""
        if self._buckets.get(tick) is bucket:
            del self._buckets[tick]

    def _wake_at(self, tick: int, now_s: float) -> None:
        if self._wake is not None and self._wake.active():
            self._wake.cancel()
        if self._is_closed:
            return
        self._wake_tick = tick
        delay_s = max(0.0, tick * TICK_S - now_s)
        self._wake = self._reactor.callLater(delay_s, self._turn)

    def _turn(self) -> None:
        self._wake = None
        now_s = self._reactor.seconds()
        # A timer of this tick is due once the tick has begun.
        last = max(self._wake_tick, int(now_s / TICK_S))
        for tick in sorted(tick for tick in self._buckets if tick <= last):
            bucket = self._buckets.pop(tick, None)
            for timer in bucket.timers if bucket is not None else ():
                callback = timer.callback
                if callback is not None:
                    timer.callback = None
                    callback()
        if self._buckets:
            first = min(self._buckets)
            if self._wake is None or first < self._wake_tick:
                self._wake_at(first, self._reactor.seconds())
