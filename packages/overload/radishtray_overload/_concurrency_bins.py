"""Service times by concurrency, in a fixed number of bins."""

_BIN_COUNT = 16
# Samples that the mean of a bin is taken over; older ones decay.
_BIN_SAMPLES = 128
_MIN_SAMPLES = 20
# Upstreams change, so older values of a bin are not compared with present ones.
_MAX_AGE_S = 60.0


class _Bin:
    """Samples of one range of concurrency.

    Attributes:
        samples: Samples that the means contain.
        concurrency: Mean concurrency.
        quotient: Mean relative service time.
        updated_s: Time of the last sample.
    """

    __slots__ = ("concurrency", "quotient", "samples", "updated_s")

    def __init__(self) -> None:
        self.samples = 0
        self.concurrency = 0.0
        self.quotient = 0.0
        self.updated_s = 0.0


class ConcurrencyBins:
    """Throughput that was seen at each range of concurrency.

    The values may be of different times, so a higher throughput in a bin is a
    reason for a trial and not yet evidence: noise slows down the runs and by
    that also raises the concurrency.
    """

    __slots__ = ("_bins", "_slots")

    def __init__(self, slots: int) -> None:
        """Starts with empty bins.

        Args:
            slots: Highest concurrency.
        """
        self._slots = slots
        self._bins = [_Bin() for _ in range(_BIN_COUNT)]

    def add(self, concurrency: int, quotient: float, now_s: float) -> None:
        """Adds a sample.

        Args:
            concurrency: Runs at the start of the run, including it.
            quotient: Relative service time of the run.
            now_s: Present time.
        """
        found = self._bins[self._index(concurrency)]
        if now_s - found.updated_s > _MAX_AGE_S:
            found.samples = 0
        if found.samples < _BIN_SAMPLES:
            found.samples += 1
        weight = 1.0 / found.samples
        found.concurrency += weight * (concurrency - found.concurrency)
        found.quotient += weight * (quotient - found.quotient)
        found.updated_s = now_s

    def best(
        self, lowest: int, highest: int, now_s: float
    ) -> tuple[int, float] | None:
        """Returns the best known concurrency in a range and its throughput.

        Args:
            lowest: Lowest concurrency.
            highest: Highest concurrency.
            now_s: Present time.

        Returns:
            The mean concurrency of the bin with the highest throughput, and
            that throughput; None if no bin of the range is known.
        """
        found: tuple[int, float] | None = None
        for known in self._bins:
            if (
                self._is_known(known, now_s)
                and lowest <= known.concurrency <= highest
            ):
                throughput = known.concurrency / known.quotient
                if found is None or throughput > found[1]:
                    found = round(known.concurrency), throughput
        return found

    def knows(self, concurrency: int, now_s: float) -> bool:
        """Returns whether the throughput at a concurrency is known."""
        return self._is_known(self._bins[self._index(concurrency)], now_s)

    def scale(self, factor: float) -> None:
        """Scales the relative service times of all bins.

        Used once a trial has shown that the upstream has become slower at all
        levels of concurrency.

        Args:
            factor: Present service time divided by the known one.
        """
        for known in self._bins:
            known.quotient *= factor

    def _index(self, concurrency: int) -> int:
        return min(
            max(concurrency - 1, 0) * _BIN_COUNT // self._slots, _BIN_COUNT - 1
        )

    def _is_known(self, known: _Bin, now_s: float) -> bool:
        return (
            known.samples >= _MIN_SAMPLES
            and now_s - known.updated_s <= _MAX_AGE_S
        )
