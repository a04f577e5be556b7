"""Measures how the memory and processor time of a node grow with its inputs.

`python -m radishtray_testing.node_slopes` prints Markdown tables with three
sizes of each input and the slope from the smallest to the largest one:

- connections to other nodes: memory, with both ends in one process;
- configuration: size of the sections, the manifest and its history, and the
  time and memory to build a document of many services.

`radishtray_testing.key_slopes` measures at-most-once records, and
`radishtray_testing.control_slopes` measures membership.
"""

import argparse
import gc
import secrets
import sys
import time
from typing import Any

import psutil
from twisted.internet import reactor as default_reactor

from radishtray_protocol import (
    Change,
    ClusterKeys,
    DigestChange,
    ParsedSource,
    Release,
    combine_sources,
    parse_source,
    section_digest,
    wire,
)
from radishtray_transport import (
    NodeConnection,
    NodeIdentity,
    NodeListener,
    open_node_connection,
)

LOOPBACK = "127.0.0.1"
_CONNECTION_COUNTS = (50, 200, 400)
_SERVICE_COUNTS = (10, 50, 130)
_KINDS_PER_SERVICE = 10
_HISTORY_LENGTHS = (0, 100, 200)
_REPETITIONS = 5
# Time between the last handshake of a step and its memory measurement.
_SETTLE_S = 0.5


class Row:
    """One measured value for one size of an input.

    Attributes:
        input_name: Name of the input.
        size: Size of the input.
        figure: What was measured, with its unit.
        value: The measured value.
    """

    __slots__ = ("figure", "input_name", "size", "value")

    def __init__(
        self, input_name: str, size: int, figure: str, value: float
    ) -> None:
        """Creates a row from its cells."""
        self.input_name = input_name
        self.size = size
        self.figure = figure
        self.value = value

    def markdown_row(self) -> str:
        """Returns the row as a line of a Markdown table."""
        cells = (self.input_name, self.size, self.figure, f"{self.value:.4g}")
        return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _resident_kb() -> float:
    gc.collect()
    return float(psutil.Process().memory_info().rss) / 1024


class _ConnectionMeasurement:
    """Opens connections in steps and measures the memory after each step."""

    __slots__ = (
        "_connections",
        "_epoch",
        "_identity",
        "_keys",
        "_listener",
        "_reactor",
        "_ready_ends",
        "_remaining_counts",
        "_start_kb",
        "rows",
    )

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._keys = ClusterKeys.parse(f"a:{secrets.token_hex(32)}").ok
        self._identity = NodeIdentity("measured", 1)
        self._listener = NodeListener(reactor, self._identity, self._keys, self)
        self._listener.start(LOOPBACK, 0)
        self._connections: list[NodeConnection] = []
        self._ready_ends = 0
        self._epoch = 0
        self._remaining_counts = list(_CONNECTION_COUNTS)
        self._start_kb = _resident_kb()
        self.rows: list[Row] = []

    def open_next_step(self) -> None:
        """Opens connections up to the count of the next step."""
        while len(self._connections) < self._remaining_counts[0]:
            self._epoch += 1
            self._connections.append(
                open_node_connection(
                    self._reactor,
                    (LOOPBACK, self._listener.port),
                    self._identity,
                    self._epoch,
                    self._keys,
                    self,
                )
            )

    def _measure(self) -> None:
        size = self._remaining_counts.pop(0)
        growth_kb = _resident_kb() - self._start_kb
        # Both ends are in this process, so one end takes half of the growth.
        self.rows.append(
            Row("node connections", size, "KB of memory", growth_kb / 2)
        )
        if self._remaining_counts:
            self.open_next_step()
        else:
            self._reactor.stop()

    def connection_ready(self, connection: NodeConnection) -> None:
        """Schedules the measurement once all connections are ready.

        It is called once for each of the two ends.
        """
        self._ready_ends += 1
        if self._ready_ends == 2 * self._remaining_counts[0]:
            self._reactor.callLater(_SETTLE_S, self._measure)

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Does nothing; no frames are sent after the handshake."""

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """Does nothing; no pings are sent."""

    def connection_rejected(self, reason: str) -> None:
        """Stops the measurement.

        Raises:
            RuntimeError: Always.
        """
        raise RuntimeError(f"node connection rejected: {reason}")

    def connection_lost(self, connection: NodeConnection) -> None:
        """Does nothing; connections stay open until the process ends."""

    def read_finished(self, connection: NodeConnection) -> None:
        """Does nothing."""

    def connection_failed(
        self, connection: NodeConnection, *, is_refused: bool
    ) -> None:
        """Stops the measurement.

        Raises:
            RuntimeError: Always.
        """
        raise RuntimeError("could not open a node connection")


def _section_text(service: str) -> str:
    """Returns the configuration section of a service with ten kinds."""
    lines = ["format: 1", "services:", f"  {service}:", "    owner: team"]
    lines.append("    kinds:")
    for number in range(_KINDS_PER_SERVICE):
        lines += [
            f"      kind-{number}:",
            "        method: POST",
            f"        path: /kind-{number}/{{id}}",
            "        class: normal",
            "        deadline_ms: 1000",
            "        retry_budget: 3",
        ]
    return "\n".join(lines) + "\n"


def _min_cpu_ms(action: Any) -> float:
    """Returns the shortest processor time of some runs, in milliseconds."""
    durations = []
    for _ in range(_REPETITIONS):
        started = time.process_time()
        action()
        durations.append((time.process_time() - started) * 1000)
    return min(durations)


def _configuration_rows(service_count: int) -> list[Row]:
    input_name = "services"
    texts = {
        f"service-{n}": _section_text(f"service-{n}")
        for n in range(service_count)
    }
    texts["defaults"] = "format: 1\ndefaults:\n  owner: platform\n"
    sources: list[ParsedSource] = [
        parse_source(name, text) for name, text in texts.items()
    ]
    before_kb = _resident_kb()
    document = combine_sources(sources)
    document_kb = _resident_kb() - before_kb
    assert document.is_ok()
    release = Release(
        1, "x" * 36, {n: section_digest(t) for n, t in texts.items()}, ()
    )
    first_name = next(iter(texts))
    return [
        Row(input_name, service_count, "KB of section texts",
            sum(map(len, texts.values())) / 1024),
        Row(input_name, service_count, "KB of manifest without history",
            len(release.encode()) / 1024),
        Row(input_name, service_count, "ms to parse one changed section",
            _min_cpu_ms(lambda: parse_source(first_name, texts[first_name]))),
        Row(input_name, service_count, "ms to compose the document",
            _min_cpu_ms(lambda: combine_sources(sources))),
        Row(input_name, service_count, "KB of memory of the document",
            document_kb),
    ]  # fmt: skip


def _history_row(change_count: int) -> Row:
    """Measures the manifest of 130 services with a history of changes."""
    digest = section_digest("text")
    sections = {f"service-{n}": digest for n in range(_SERVICE_COUNTS[-1])}
    history = [
        Change(
            generation,
            secrets.token_hex(16),
            "team-of-a-service",
            time_ms=time.time_ns() // 1_000_000,
            note="",
            sections={"service-1": DigestChange(digest, digest)},
        )
        for generation in range(change_count, 0, -1)
    ]
    release = Release(
        change_count + 1, secrets.token_hex(16), sections, history
    )
    size_kb = len(release.encode()) / 1024
    return Row(
        "changes in the history", change_count, "KB of manifest", size_kb
    )


def _slope_lines(rows: list[Row]) -> list[str]:
    """Returns a table line with the slope of each figure.

    The slope is taken between the smallest and the largest size.
    """
    lines = []
    for column in dict.fromkeys((r.input_name, r.figure) for r in rows):
        matching = [r for r in rows if (r.input_name, r.figure) == column]
        first, last = matching[0], matching[-1]
        slope = (last.value - first.value) / (last.size - first.size)
        lines.append(f"| {column[0]} | {column[1]} | {slope:.4g} |")
    return lines


def main() -> int:
    """Runs all measurements and prints the values and the slopes."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    reactor: Any = default_reactor
    connections = _ConnectionMeasurement(reactor)
    reactor.callWhenRunning(connections.open_next_step)
    reactor.run()
    rows = list(connections.rows)
    for services in _SERVICE_COUNTS:
        rows += _configuration_rows(services)
    rows += [_history_row(changes) for changes in _HISTORY_LENGTHS]
    print("| input | size | figure | value |\n|---|---|---|---|")
    for row in rows:
        print(row.markdown_row())
    print("\n| input | figure | slope for one more |\n|---|---|---|")
    print("\n".join(_slope_lines(rows)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
