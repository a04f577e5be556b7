"""Measures what one node's memory and time cost as its inputs grow.

`python -m radishtray_testing.node_slopes` prints a Markdown table with three or
more sizes for each input and the slope between them:

- connections to other nodes: memory of both ends in one process;
- configuration: size, parsing and composing of a document of many services;
- at-most-once records are in `radishtray_testing.key_slopes`, membership in
  `radishtray_testing.control_slopes`.
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
_LINK_SIZES = (50, 200, 400)
_SERVICE_SIZES = (10, 50, 130)
_KINDS_PER_SERVICE = 10
_HISTORY_SIZES = (0, 100, 200)
_REPEATS = 5
_SETTLE_S = 0.5


class Row:
    """One measured size.

    Attributes:
        subject: What grows.
        size: How much of it there is.
        figure: What was measured, with its unit.
        value: The measured value.
    """

    __slots__ = ("figure", "size", "subject", "value")

    def __init__(
        self, subject: str, size: int, figure: str, value: float
    ) -> None:
        """Holds one measurement."""
        self.subject = subject
        self.size = size
        self.figure = figure
        self.value = value

    def markdown(self) -> str:
        """Returns a line of the table."""
        cells = (self.subject, self.size, self.figure, f"{self.value:.4g}")
        return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _memory_kb() -> float:
    gc.collect()
    return float(psutil.Process().memory_info().rss) / 1024


class _Links:
    """Opens connections step by step and measures after each step."""

    __slots__ = (
        "_epoch",
        "_identity",
        "_keys",
        "_listener",
        "_open",
        "_reactor",
        "_ready",
        "_start_kb",
        "_steps",
        "rows",
    )

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._keys = ClusterKeys.parse(f"a:{secrets.token_hex(32)}").ok
        self._identity = NodeIdentity("measured", 1)
        self._listener = NodeListener(reactor, self._identity, self._keys, self)
        self._listener.start(LOOPBACK, 0)
        self._open: list[NodeConnection] = []
        self._ready = 0
        self._epoch = 0
        self._steps = list(_LINK_SIZES)
        self._start_kb = _memory_kb()
        self.rows: list[Row] = []

    def run(self) -> None:
        """Opens the connections of the next step."""
        while len(self._open) < self._steps[0]:
            self._epoch += 1
            self._open.append(
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
        size = self._steps.pop(0)
        grown_kb = _memory_kb() - self._start_kb
        # Both ends are in this process, so half of it is one end.
        self.rows.append(
            Row("node connections", size, "KB of memory", grown_kb / 2)
        )
        if self._steps:
            self.run()
        else:
            self._reactor.stop()

    def connection_ready(self, connection: NodeConnection) -> None:
        """Measures once both ends of all connections are ready."""
        self._ready += 1
        if self._ready == 2 * self._steps[0]:
            self._reactor.callLater(_SETTLE_S, self._measure)

    def frame_received(
        self, connection: NodeConnection, frame: wire.Frame
    ) -> None:
        """Nothing is sent after the handshake."""

    def pong_received(self, connection: NodeConnection, sequence: int) -> None:
        """Nothing is pinged."""

    def connection_rejected(self, reason: str) -> None:
        """Ends the measurement.

        Raises:
            RuntimeError: Always.
        """
        raise RuntimeError(f"connection rejected: {reason}")

    def connection_lost(self, connection: NodeConnection) -> None:
        """Connections stay open until the process ends."""

    def connection_failed(self) -> None:
        """Ends the measurement.

        Raises:
            RuntimeError: Always.
        """
        raise RuntimeError("a connection could not be opened")


def _section(service: str) -> str:
    """Returns a section of one service with ten kinds."""
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


def _best_ms(action: Any) -> float:
    """Returns the shortest of some runs in milliseconds."""
    durations = []
    for _ in range(_REPEATS):
        started = time.process_time()
        action()
        durations.append((time.process_time() - started) * 1000)
    return min(durations)


def _configuration_rows(services: int) -> list[Row]:
    subject = "services"
    texts = {f"service-{n}": _section(f"service-{n}") for n in range(services)}
    texts["defaults"] = "format: 1\ndefaults:\n  owner: platform\n"
    sources: list[ParsedSource] = [
        parse_source(name, text) for name, text in texts.items()
    ]
    before_kb = _memory_kb()
    document = combine_sources(sources)
    kept_kb = _memory_kb() - before_kb
    assert document.is_ok()
    release = Release(
        1, "x" * 36, {n: section_digest(t) for n, t in texts.items()}, ()
    )
    first = next(iter(texts))
    return [
        Row(subject, services, "KB of section texts",
            sum(map(len, texts.values())) / 1024),
        Row(subject, services, "KB of manifest without history",
            len(release.encode()) / 1024),
        Row(subject, services, "ms to parse one changed section",
            _best_ms(lambda: parse_source(first, texts[first]))),
        Row(subject, services, "ms to compose the document",
            _best_ms(lambda: combine_sources(sources))),
        Row(subject, services, "KB of memory of the document", kept_kb),
    ]  # fmt: skip


def _history_row(changes: int) -> Row:
    """Measures the manifest of 130 services after a number of changes."""
    digest = section_digest("text")
    sections = {f"service-{n}": digest for n in range(_SERVICE_SIZES[-1])}
    history = [
        Change(
            generation,
            secrets.token_hex(16),
            "team-of-a-service",
            time_ms=time.time_ns() // 1_000_000,
            note="",
            sections={"service-1": DigestChange(digest, digest)},
        )
        for generation in range(changes, 0, -1)
    ]
    release = Release(changes + 1, secrets.token_hex(16), sections, history)
    size_kb = len(release.encode()) / 1024
    return Row("changes in the history", changes, "KB of manifest", size_kb)


def _slopes(rows: list[Row]) -> list[str]:
    """Returns a line for each figure with its growth from end to end."""
    lines = []
    for figure in dict.fromkeys((r.subject, r.figure) for r in rows):
        found = [r for r in rows if (r.subject, r.figure) == figure]
        first, last = found[0], found[-1]
        slope = (last.value - first.value) / (last.size - first.size)
        lines.append(f"| {figure[0]} | {figure[1]} | {slope:.4g} |")
    return lines


def main() -> int:
    """Prints all rows and slopes."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    reactor: Any = default_reactor
    links = _Links(reactor)
    reactor.callWhenRunning(links.run)
    reactor.run()
    rows = list(links.rows)
    for services in _SERVICE_SIZES:
        rows += _configuration_rows(services)
    rows += [_history_row(changes) for changes in _HISTORY_SIZES]
    print("| input | size | figure | value |\n|---|---|---|---|")
    for row in rows:
        print(row.markdown())
    print("\n| input | figure | slope for one more |\n|---|---|---|")
    print("\n".join(_slopes(rows)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
