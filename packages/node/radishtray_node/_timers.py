"""A timing wheel for request deadlines, with a resolution of `TICK_S`.

Timers of the same tick share a bucket. Buckets are created on demand, and the
reactor is scheduled only for the earliest one.
"""

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime

TICK_S = 0.01


class Timer:
    """One callback scheduled on a `TimerWheel`."""

    __slots__ = ("_bucket", "callback")

    def __init__(self, callback: Callable[[], None], bucket: "_Bucket") -> None:
        """Creates a pending timer; the callback is None once it is done."""
        self.callback: Callable[[], None] | None = callback
        self._bucket = bucket

    def cancel(self) -> None:
        """Cancels the callback; has no effect after a cancel or a run."""
        if self.callback is not None:
            self.callback = None
            self._bucket.note_cancellation()


class _Bucket:
    """The timers of one tick.

    Attributes:
        timers: All timers of the tick, including cancelled ones.
    """

    __slots__ = ("_pending_count", "_tick", "_wheel", "timers")

    def __init__(self, wheel: "TimerWheel", tick: int) -> None:
        self.timers: list[Timer] = []
        self._pending_count = 0
        self._tick = tick
        self._wheel = wheel

    def add(self, callback: Callable[[], None]) -> Timer:
        """Adds a timer for a callback and returns it."""
        timer = Timer(callback, self)
        self.timers.append(timer)
        self._pending_count += 1
        return timer

    def note_cancellation(self) -> None:
        """Counts a cancellation; drops the bucket if no timer is pending."""
        self._pending_count -= 1
        if not self._pending_count:
            self._wheel.drop_tick(self._tick, self)


class TimerWheel:
    """Runs callbacks at most one tick after they are due.

    One reactor timer per request would cost more than all other bookkeeping of
    the request, and almost every deadline timer is cancelled. A tick whose
    timers have all been cancelled schedules no wake-up of the reactor.
    """

    __slots__ = (
        "_buckets",
        "_is_closed",
        "_reactor",
        "_wake_call",
        "_wake_tick",
    )

    def __init__(self, reactor: IReactorTime) -> None:
        """Creates a wheel without timers; it schedules no reactor call yet."""
        self._reactor = reactor
        self._buckets: dict[int, _Bucket] = {}
        self._wake_call: IDelayedCall | None = None
        self._wake_tick = 0
        self._is_closed = False

    def close(self) -> None:
        """Stops the wheel; pending callbacks are not run."""
        self._is_closed = True
        if self._wake_call is not None and self._wake_call.active():
            self._wake_call.cancel()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback.

        Args:
            delay_s: Delay in seconds; a negative delay counts as 0.
            callback: Called once unless the timer is cancelled.

        Returns:
            The timer, which can be cancelled.
        """
        now_s = self._reactor.seconds()
        tick = int((now_s + max(0.0, delay_s)) / TICK_S) + 1
        bucket = self._buckets.get(tick)
        if bucket is None:
            bucket = self._buckets[tick] = _Bucket(self, tick)
            if self._wake_call is None or tick < self._wake_tick:
                self._schedule_wake(tick, now_s)
        return bucket.add(callback)

    def drop_tick(self, tick: int, bucket: _Bucket) -> None:
        """Removes the bucket of a tick that has no pending timers left."""
        if self._buckets.get(tick) is bucket:
            del self._buckets[tick]

    def _schedule_wake(self, tick: int, now_s: float) -> None:
        if self._wake_call is not None and self._wake_call.active():
            self._wake_call.cancel()
        if self._is_closed:
            return
        self._wake_tick = tick
        delay_s = max(0.0, tick * TICK_S - now_s)
        self._wake_call = self._reactor.callLater(delay_s, self._run_due_timers)

    def _run_due_timers(self) -> None:
        self._wake_call = None
        now_s = self._reactor.seconds()
        # A tick is due as soon as it has begun. The tick that this call was
        # scheduled for is due in any case.
        last_due_tick = max(self._wake_tick, int(now_s / TICK_S))
        for tick in sorted(
            tick for tick in self._buckets if tick <= last_due_tick
        ):
            bucket = self._buckets.pop(tick, None)
            for timer in bucket.timers if bucket is not None else ():
                callback = timer.callback
                if callback is not None:
                    timer.callback = None
                    callback()
        if self._buckets:
            first_tick = min(self._buckets)
            if self._wake_call is None or first_tick < self._wake_tick:
                self._schedule_wake(first_tick, self._reactor.seconds())
