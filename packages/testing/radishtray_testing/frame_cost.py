"""Measures bytes and processor time of frames with and without compression.

Run `python -m radishtray_testing.frame_cost`. Calls and their answers are
encoded, sent and decoded over two connections in alternating rounds, one with
and one without compression, so that both meet the same load of the machine.
Delivery is in memory: system calls are not included.
"""

import argparse
import statistics
import time

from radishtray_protocol import FrameDecoder, encode_frame, wire
from radishtray_testing.frame_builders import FrameSource
from radishtray_transport import (
    CompressionTotals,
    FrameCompressor,
    FrameDecompressor,
)

_CALLS_PER_ROUND = 500
_WARM_UP_ROUNDS = 2

FramePair = tuple[wire.Frame, wire.Frame]
"""A call and its answer."""


class _Direction:
    """One direction of a connection, compressed or not.

    Attributes:
        sent_bytes: Bytes that crossed the connection.
    """

    __slots__ = ("_compressor", "_decoder", "_decompressor", "sent_bytes")

    def __init__(self, *, is_compressed: bool) -> None:
        totals = CompressionTotals()
        self._compressor = FrameCompressor(totals) if is_compressed else None
        self._decompressor = FrameDecompressor(totals)
        self._decoder = FrameDecoder()
        self.sent_bytes = 0

    def carry(self, frame: wire.Frame) -> None:
        """Encodes and decodes a frame as the two ends of a connection do."""
        data = encode_frame(frame)
        if self._compressor is not None:
            data = self._compressor.compress(data)
        self.sent_bytes += len(data)
        self._decoder.feed(data, self._handle)

    def _handle(self, frame: wire.Frame) -> None:
        if frame.compressed is not None:
            self._decompressor.feed(frame.compressed, self._handle)


class FrameCost:
    """Cost of a call and its answer on one connection.

    Attributes:
        round_times_us: Processor time of a call and its answer, at both ends
            together, for each round.
    """

    __slots__ = ("_answers", "_calls", "round_times_us")

    def __init__(self, *, is_compressed: bool) -> None:
        """Opens both directions of a connection."""
        self._calls = _Direction(is_compressed=is_compressed)
        self._answers = _Direction(is_compressed=is_compressed)
        self.round_times_us: list[float] = []

    @property
    def call_bytes(self) -> int:
        """Bytes that the calls took."""
        return self._calls.sent_bytes

    @property
    def answer_bytes(self) -> int:
        """Bytes that the answers took."""
        return self._answers.sent_bytes

    def run_round(self, pairs: list[FramePair]) -> None:
        """Carries calls and their answers and records the processor time."""
        started_s = time.process_time()
        for call, answer in pairs:
            self._calls.carry(call)
            self._answers.carry(answer)
        spent_s = time.process_time() - started_s
        self.round_times_us.append(1e6 * spent_s / len(pairs))


def measure(rounds: int) -> dict[str, FrameCost]:
    """Runs both connections in turns over the same frames."""
    source = FrameSource()
    costs = {
        "plain": FrameCost(is_compressed=False),
        "compressed": FrameCost(is_compressed=True),
    }
    for _ in range(rounds + _WARM_UP_ROUNDS):
        pairs: list[FramePair] = []
        for _ in range(_CALLS_PER_ROUND):
            call = source.build_call()
            pairs.append((call, source.build_answer(call.call)))
        for cost in costs.values():
            cost.run_round(pairs)
    return costs


def main() -> None:
    """Runs the measurement and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=40)
    costs = measure(parser.parse_args().rounds)
    print("| frames | bytes of a call | of an answer | us for both |")
    print("| --- | ---: | ---: | ---: |")
    for name, cost in costs.items():
        times_us = cost.round_times_us[_WARM_UP_ROUNDS:]
        calls = _CALLS_PER_ROUND * len(cost.round_times_us)
        print(
            f"| {name} | {cost.call_bytes / calls:.0f}"
            f" | {cost.answer_bytes / calls:.0f}"
            f" | {statistics.median(times_us):.1f} |"
        )
    extra_us = [
        compressed - plain
        for plain, compressed in zip(
            costs["plain"].round_times_us[_WARM_UP_ROUNDS:],
            costs["compressed"].round_times_us[_WARM_UP_ROUNDS:],
            strict=True,
        )
    ]
    print(
        f"\ncompression adds {statistics.median(extra_us):.1f} us"
        f" ({min(extra_us):.1f} to {max(extra_us):.1f} by round)"
    )


if __name__ == "__main__":
    main()
