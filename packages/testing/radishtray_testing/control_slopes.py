"""Measures how the control plane's cost grows with the fleet.

`python -m radishtray_testing.control_slopes --output docs/measurements`
prints tables and writes `control_slopes.json` and `control_slopes.md`.
Everything runs in one process on simulated time with in-memory delivery;
system calls of sockets are not part of the figures.
"""

import argparse
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any

from radishtray_protocol import ClusterKeys
from radishtray_state import (
    Datagram,
    GossipKind,
    GossipMessage,
    ManualClock,
    MemberRecord,
    Membership,
    MembershipParameters,
    MemberState,
    ViewSummary,
)
from radishtray_testing._cluster import Cluster
from radishtray_testing._gossip_network import GossipNetwork, member_record
from radishtray_transport import decode_datagram, encode_datagram

SIZES = (250, 1000, 4300)
DOMAIN_COUNTS = (3, 8, 15)
NODES_PER_DOMAIN = (8, 16, 32)  # Seeds objects hold up to 8 addresses.

_SERVICES = 130
_DOMAINS = 15
_TICK_S = 0.2
_UPDATES_PER_NODE_DAY = 4 * (23 + 890) / 4300  # Four updates per replacement.
_DAY_S = 86_400
_ACTIVE_S = 20.0  # Time for which peers repeat an update.
_PARTIAL_VIEW = 64  # Members known to a node in the spread of a generation.
_PULL_S = 0.02  # Time to pull and parse a generation.
_KEYS = ClusterKeys({"k1": bytes(32)})

Row = dict[str, Any]


class InstrumentedNode:
    """One full node; its peers send what the protocol makes them send."""

    def __init__(self, size: int, seed: int) -> None:
        """Builds a node that knows size - 1 peers."""
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.records = [fleet_record(index) for index in range(size)]
        self.by_address = {r.gossip_address: r for r in self.records}
        self.node = Membership(
            self.records[0], self.clock, random.Random(seed + 1)
        )
        self.node.preload(self.records[1:])
        self.active: list[tuple[float, MemberRecord]] = []
        self.cpu_s = 0.0
        self.sent = 0
        self.received = 0
        self.bytes = 0

    def run(self, seconds: float) -> None:
        """Runs an ordinary day's load for some simulated time."""
        size = len(self.records)
        for _ in range(round(seconds / _TICK_S)):
            self.clock.advance(_TICK_S)
            self._churn(size * _UPDATES_PER_NODE_DAY / _DAY_S * _TICK_S)
            started = time.process_time()
            datagrams = self._encoded(self.node.tick(self.clock.monotonic()))
            self.cpu_s += time.process_time() - started
            for datagram in datagrams:
                self._peer_answers(datagram)
            for _ in range(self._arrivals(1.0)):
                self._peer_sends(GossipKind.PING)
            for _ in range(self._arrivals(0.1)):
                self._peer_sends(GossipKind.PUSH)

    def _arrivals(self, rate_per_s: float) -> int:
        """Returns how many of all peers' messages come here in one tick."""
        return sum(self.rng.random() < rate_per_s * _TICK_S / 4 for _ in "1234")

    def _churn(self, expected: float) -> None:
        now = self.clock.monotonic()
        self.active = [a for a in self.active if now - a[0] < _ACTIVE_S]
        if self.rng.random() < expected:
            index = self.rng.randrange(1, len(self.records))
            changed = renewed(self.records[index])
            self.records[index] = changed
            self.by_address[changed.gossip_address] = changed
            self.active.append((now, changed))

    def _peer_sends(self, kind: GossipKind) -> None:
        peer = self.rng.choice(self.records[1:])
        summary: ViewSummary | None = None
        if kind is GossipKind.PUSH:
            # The views agree but for the updates still on their way.
            summary = self.node.summary()
        target = None if summary else self.node.own_record.node_id
        self._receive(peer, kind, 1, target, summary)

    def _peer_answers(self, datagram: Datagram) -> None:
        peer = self.by_address[datagram.address]
        if datagram.message.kind is GossipKind.PING:
            sequence = datagram.message.sequence
            self._receive(peer, GossipKind.ACK, sequence, peer.node_id, None)

    def _receive(
        self,
        peer: MemberRecord,
        kind: GossipKind,
        sequence: int,
        target: str | None,
        summary: ViewSummary | None,
    ) -> None:
        updates = tuple(record for _, record in self.active)[:6]
        message = GossipMessage(
            peer.node_id, sequence, kind, target, updates, 1, (), summary
        )
        data = encode_datagram(message, _KEYS).ok
        self.received += 1
        self.bytes += len(data)
        started = time.process_time()
        decoded = decode_datagram(data, _KEYS).ok
        answers = self.node.receive(decoded, peer.gossip_address)
        self._encoded(answers)
        self.cpu_s += time.process_time() - started

    def _encoded(self, datagrams: list[Datagram]) -> list[Datagram]:
        for datagram in datagrams:
            self.sent += 1
            self.bytes += len(encode_datagram(datagram.message, _KEYS).ok)
        return datagrams


def fleet_record(index: int) -> MemberRecord:
    """Returns the record of one node of the target fleet."""
    return member_record(
        index,
        domain=f"zone-{index % _DOMAINS}",
        service=f"service-{index % _SERVICES}",
    )


def renewed(record: MemberRecord) -> MemberRecord:
    """Returns the next version of a record, with texts of its own."""
    return MemberRecord(
        record.node_id,
        record.incarnation,
        MemberState.ALIVE,
        record.version + 1,
        record.gossip_address,
        record.node_address,
        record.failure_domain,
        record.service_name,
        record.slots,
        record.serving,
        record.draining,
    )


def measure_membership(size: int, seed: int, seconds: float) -> Row:
    """Measures one full node among size members."""
    run = InstrumentedNode(size, seed)
    run.run(60)  # Past the start, when digests are exchanged every second.
    run.cpu_s, run.sent, run.received, run.bytes = 0.0, 0, 0, 0
    run.run(seconds)
    return {
        "members": size,
        "cpu_ms_per_s": round(1000 * run.cpu_s / seconds, 4),
        "memory_mb": round(measure_memory(size, seed) / 1e6, 3),
        "bytes_per_s": round(run.bytes / seconds, 1),
        "sent_per_s": round(run.sent / seconds, 3),
        "received_per_s": round(run.received / seconds, 3),
    }


def measure_memory(size: int, seed: int) -> int:
    """Returns the bytes of one node's view, records decoded from datagrams."""
    tracemalloc.start()
    clock = ManualClock()
    before = tracemalloc.get_traced_memory()[0]
    node = Membership(fleet_record(0), clock, random.Random(seed))
    for index in range(1, size):
        record = fleet_record(index)
        message = GossipMessage(
            record.node_id, 1, GossipKind.PUSH, None, (record,), 0, ()
        )
        data = encode_datagram(message, _KEYS).ok
        node.receive(decode_datagram(data, _KEYS).ok, record.gossip_address)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert node.live_count == size
    return used


def measure_spread(size: int, seed: int, watchers: int, pushes: bool) -> Row:
    """Measures how long a generation takes to reach every node."""
    network = GossipNetwork(seed)
    rng = random.Random(seed)
    quiet = MembershipParameters(digest_interval_s=1e6, catch_up_interval_s=1e6)
    records = [fleet_record(index) for index in range(size)]
    adopted_at: dict[str, float] = {}

    def adopt(address: str, generation: int) -> None:
        node = network.nodes[address]
        if node.generation >= generation:
            return
        adopted_at[address] = network.clock.monotonic()
        told = node.set_generation(generation)
        network.send(told if pushes else (), address)

    def hear(address: str, _peer: str, generation: int) -> None:
        network.schedule(_PULL_S, partial(adopt, address, generation))

    for record in records:
        address = record.gossip_address
        node = network.add(
            record, (), quiet, on_generation=partial(hear, address)
        )
        node.preload(rng.sample(records, min(_PARTIAL_VIEW, size)))
    network.run(3)
    published_at = network.clock.monotonic()
    for address in rng.sample(sorted(network.nodes), watchers):
        adopt(address, 1)
    while len(adopted_at) < size:
        network.run(0.05)
    times = sorted(at - published_at for at in adopted_at.values())
    return {
        "nodes": size,
        "watchers": watchers,
        "pushes": pushes,
        "half_s": round(times[size // 2], 3),
        "p99_s": round(times[int(size * 0.99)], 3),
        "all_s": round(times[-1], 3),
        "probe_rounds": round(times[-1] / quiet.probe_interval_s, 2),
    }


def measure_domain_loss(size: int, seed: int) -> Row:
    """Measures real nodes while one failure domain of 15 vanishes."""
    network = GossipNetwork(seed)
    first = fleet_record(0).gossip_address
    records = [fleet_record(index) for index in range(size)]
    for record in records:
        network.add(record, [first]).preload(records)
    network.run(30)
    lost = [r for r in records if r.failure_domain == "zone-3"]
    for record in lost:
        network.kill(record.gossip_address)
    start = int(network.clock.monotonic())
    agreed_s = network.run_until_views_agree(300)
    busiest = max(
        network.sent_counts[address, second]
        for address in network.nodes
        for second in range(start, start + agreed_s)
    )
    return {
        "nodes": size,
        "lost": len(lost),
        "agreed_s": agreed_s,
        "max_datagrams_per_node_s": busiest,
    }


def measure_platform(domains: int, per_domain: int, seed: int) -> Row:
    """Measures the platform's load in steady state."""
    cluster = Cluster(seed)
    for index in range(domains * per_domain):
        cluster.add(member_record(index, domain=f"zone-{index % domains}"))
    cluster.publish(defaults="a")
    cluster.run(150)
    store = cluster.store
    store.reads = store.writes = store.watches = 0
    seconds = 240
    cluster.run(seconds)
    assert cluster.generations() == {1}
    return {
        "domains": domains,
        "nodes": domains * per_domain,
        "reads_per_s": round(store.reads / seconds, 3),
        "writes_per_s": round(store.writes / seconds, 3),
        "watches_per_s": round(store.watches / seconds, 3),
    }


def slope(rows: Sequence[Row], x: str, y: str) -> float:
    """Returns the least-squares slope of y over x."""
    xs, ys = [row[x] for row in rows], [row[y] for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((value - mean_x) ** 2 for value in xs)
    pairs = zip(xs, ys, strict=True)
    return float(sum((a - mean_x) * (b - mean_y) for a, b in pairs) / spread)


def slopes(rows: Sequence[Row], x: str, scale: int) -> Row:
    """Returns the slopes of all other columns per scale units of x."""
    return {
        f"{key}_per_{scale}_{x}": round(scale * slope(rows, x, key), 5)
        for key in rows[0]
        if key != x and key not in ("nodes", "domains")
    }


def measure(seed: int, seconds: float) -> dict[str, list[Row]]:
    """Runs all measurements."""
    members = [measure_membership(size, seed, seconds) for size in SIZES]
    domains = [measure_platform(count, 6, seed) for count in DOMAIN_COUNTS]
    nodes = [measure_platform(4, count, seed) for count in NODES_PER_DOMAIN]
    return {
        "membership per node": members,
        "membership slopes": [slopes(members, "members", 1000)],
        "spread of a generation": [
            measure_spread(SIZES[-1], seed, 30, pushes=True),
            measure_spread(SIZES[-1], seed, 1, pushes=True),
            measure_spread(SIZES[-1], seed, 30, pushes=False),
        ],
        "loss of a failure domain": [measure_domain_loss(SIZES[0], seed)],
        "platform by failure domains": domains,
        "platform slopes by failure domains": [slopes(domains, "domains", 1)],
        "platform by nodes, 4 failure domains": nodes,
        "platform slopes by nodes": [slopes(nodes, "nodes", 1000)],
    }


def to_markdown(tables: dict[str, list[Row]], head: str) -> str:
    """Returns the tables as Markdown."""
    parts = ["# Slopes of the control plane", "", head]
    for title, rows in tables.items():
        keys = list(rows[0])
        parts += ["", f"## {title[0].upper()}{title[1:]}", ""]
        parts.append("| " + " | ".join(keys) + " |")
        parts.append("|" + "---|" * len(keys))
        for row in rows:
            parts.append(
                "| " + " | ".join(str(row[key]) for key in keys) + " |"
            )
    return "\n".join(parts) + "\n"


def main(
    arguments: Sequence[str], write: Callable[[str], object] = sys.stdout.write
) -> None:
    """Measures, prints and stores the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--commit", default="")
    parser.add_argument("--output", type=Path)
    options = parser.parse_args(arguments)
    tables = measure(options.seed, options.seconds)
    command = " ".join(
        ["python -m radishtray_testing.control_slopes", *arguments]
    )
    head = (
        f"Command: `{command}`; seed {options.seed}; commit {options.commit}. "
        "Simulated time and in-memory delivery; processor time includes "
        "encoding and HMAC, not the system calls of sockets. One full node "
        "among peers that send at the protocol's rates; bytes count both "
        "directions without UDP and IP headers."
    )
    text = to_markdown(tables, head)
    write(text)
    result = {
        "command": command,
        "seed": options.seed,
        "commit": options.commit,
        "tables": tables,
    }
    encoded = json.dumps(result, indent=2) + "\n"
    write(encoded)
    if options.output is not None:
        options.output.mkdir(parents=True, exist_ok=True)
        (options.output / "control_slopes.md").write_text(text)
        (options.output / "control_slopes.json").write_text(encoded)


if __name__ == "__main__":
    main(sys.argv[1:])
