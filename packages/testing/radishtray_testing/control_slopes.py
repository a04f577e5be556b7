"""Measures how the cost of the control plane grows with the fleet.

`python -m radishtray_testing.control_slopes --output docs/measurements`
prints tables and writes `control_slopes.json` and `control_slopes.md`.
Everything runs in one process on simulated time with in-memory delivery, so the
results do not include the system calls of sockets.
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

FLEET_SIZES = (250, 1000, 4300)
DOMAIN_COUNTS = (3, 8, 15)
NODES_PER_DOMAIN = (8, 16, 32)  # A seeds object holds at most 8 addresses.

_SERVICE_COUNT = 130
_DOMAIN_COUNT = 15
_TICK_S = 0.2
# 23 + 890 replacements a day among 4,300 nodes, with four updates each.
_UPDATES_PER_NODE_PER_DAY = 4 * (23 + 890) / 4300
_SECONDS_PER_DAY = 86_400
_UPDATE_REPEAT_S = 20.0  # Time for which peers keep sending an update.
# Members in each node's view when the spread of a generation is measured.
_PARTIAL_VIEW_SIZE = 64
# Time that a node takes to pull and parse a generation.
_PULL_DURATION_S = 0.02
_KEYS = ClusterKeys({"k1": bytes(32)})

Row = dict[str, Any]


class InstrumentedNode:
    """One real node among simulated peers, with counters of its cost.

    The peers send messages at the rates of the protocol.

    Attributes:
        rng: Random generator for the peers.
        clock: Simulated clock.
        records: Current record of each member; the first one is the node's.
        record_by_address: The same records by gossip address.
        node: The real node.
        active_updates: Time and record of each update that peers still send.
        cpu_s: Processor time of the node, with encoding and decoding.
        sent_count: Datagrams that the node has sent.
        received_count: Datagrams that the node has received.
        byte_count: Bytes of the datagrams in both directions.
    """

    def __init__(self, size: int, seed: int) -> None:
        """Creates a node whose view already holds its `size - 1` peers."""
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.records = [fleet_record(index) for index in range(size)]
        self.record_by_address = {r.gossip_address: r for r in self.records}
        self.node = Membership(
            self.records[0], self.clock, random.Random(seed + 1)
        )
        self.node.preload(self.records[1:])
        self.active_updates: list[tuple[float, MemberRecord]] = []
        self.cpu_s = 0.0
        self.sent_count = 0
        self.received_count = 0
        self.byte_count = 0

    def run(self, seconds: float) -> None:
        """Runs the load of an average day for `seconds` of simulated time."""
        size = len(self.records)
        for _ in range(round(seconds / _TICK_S)):
            self.clock.advance(_TICK_S)
            self._update_random_peer(
                size * _UPDATES_PER_NODE_PER_DAY / _SECONDS_PER_DAY * _TICK_S
            )
            started = time.process_time()
            datagrams = self._encode_and_count(
                self.node.tick(self.clock.monotonic())
            )
            self.cpu_s += time.process_time() - started
            for datagram in datagrams:
                self._acknowledge_ping(datagram)
            for _ in range(self._draw_message_count(1.0)):
                self._send_from_peer(GossipKind.PING)
            for _ in range(self._draw_message_count(0.1)):
                self._send_from_peer(GossipKind.PUSH)

    def _draw_message_count(self, rate_per_s: float) -> int:
        """Draws the number of messages that arrive from all peers in one tick.

        It is binomial with four trials and a mean of `rate_per_s * _TICK_S`.
        """
        return sum(self.rng.random() < rate_per_s * _TICK_S / 4 for _ in "1234")

    def _update_random_peer(self, probability: float) -> None:
        now = self.clock.monotonic()
        self.active_updates = [
            update
            for update in self.active_updates
            if now - update[0] < _UPDATE_REPEAT_S
        ]
        if self.rng.random() < probability:
            index = self.rng.randrange(1, len(self.records))
            updated = next_record_version(self.records[index])
            self.records[index] = updated
            self.record_by_address[updated.gossip_address] = updated
            self.active_updates.append((now, updated))

    def _send_from_peer(self, kind: GossipKind) -> None:
        peer = self.rng.choice(self.records[1:])
        summary: ViewSummary | None = None
        if kind is GossipKind.PUSH:
            # The peer has the same view, except for updates that have not
            # arrived yet.
            summary = self.node.summary()
        target = None if summary else self.node.own_record.node_id
        self._receive(peer, kind, 1, target, summary)

    def _acknowledge_ping(self, datagram: Datagram) -> None:
        peer = self.record_by_address[datagram.address]
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
        updates = tuple(record for _, record in self.active_updates)[:6]
        message = GossipMessage(
            peer.node_id, sequence, kind, target, updates, 1, (), summary
        )
        data = encode_datagram(message, _KEYS).ok
        self.received_count += 1
        self.byte_count += len(data)
        started = time.process_time()
        decoded = decode_datagram(data, _KEYS).ok
        answers = self.node.receive(decoded, peer.gossip_address)
        self._encode_and_count(answers)
        self.cpu_s += time.process_time() - started

    def _encode_and_count(self, datagrams: list[Datagram]) -> list[Datagram]:
        for datagram in datagrams:
            self.sent_count += 1
            self.byte_count += len(encode_datagram(datagram.message, _KEYS).ok)
        return datagrams


def fleet_record(index: int) -> MemberRecord:
    """Returns the record of a node; its index gives domain and service."""
    return member_record(
        index,
        domain=f"zone-{index % _DOMAIN_COUNT}",
        service=f"service-{index % _SERVICE_COUNT}",
    )


def next_record_version(record: MemberRecord) -> MemberRecord:
    """Returns the next version of a record, in the state ALIVE."""
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
    """Measures the cost of one real node in a fleet of `size` members."""
    node = InstrumentedNode(size, seed)
    # Skips the start, when digests are exchanged every second.
    node.run(60)
    (
        node.cpu_s,
        node.sent_count,
        node.received_count,
        node.byte_count,
    ) = 0.0, 0, 0, 0
    node.run(seconds)
    return {
        "members": size,
        "cpu_ms_per_s": round(1000 * node.cpu_s / seconds, 4),
        "memory_mb": round(measure_memory(size, seed) / 1e6, 3),
        "bytes_per_s": round(node.byte_count / seconds, 1),
        "sent_per_s": round(node.sent_count / seconds, 3),
        "received_per_s": round(node.received_count / seconds, 3),
    }


def measure_memory(size: int, seed: int) -> int:
    """Returns the bytes of memory of one node's view of `size` members.

    The records are decoded from datagrams, as a node receives them.
    """
    tracemalloc.start()
    clock = ManualClock()
    bytes_before = tracemalloc.get_traced_memory()[0]
    node = Membership(fleet_record(0), clock, random.Random(seed))
    for index in range(1, size):
        record = fleet_record(index)
        message = GossipMessage(
            record.node_id, 1, GossipKind.PUSH, None, (record,), 0, ()
        )
        data = encode_datagram(message, _KEYS).ok
        node.receive(decode_datagram(data, _KEYS).ok, record.gossip_address)
    used_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    assert node.live_count == size
    return used_bytes


def measure_generation_spread(
    size: int, seed: int, watcher_count: int, pushes: bool
) -> Row:
    """Measures how long a generation takes to reach every node by gossip.

    Args:
        size: Number of nodes.
        seed: Seed of all random draws.
        watcher_count: Number of nodes that learn of the generation from the
            platform when it is published.
        pushes: Whether a node announces a new generation at once; otherwise it
            only spreads with the ordinary gossip messages.
    """
    network = GossipNetwork(seed)
    rng = random.Random(seed)
    # The intervals are longer than the run, so nodes exchange no digests.
    quiet_parameters = MembershipParameters(
        digest_interval_s=1e6, catch_up_interval_s=1e6
    )
    records = [fleet_record(index) for index in range(size)]
    adopted_at: dict[str, float] = {}

    def adopt(address: str, generation: int) -> None:
        node = network.nodes[address]
        if node.generation >= generation:
            return
        adopted_at[address] = network.clock.monotonic()
        announcements = node.set_generation(generation)
        network.send(announcements if pushes else (), address)

    def schedule_pull(address: str, _peer: str, generation: int) -> None:
        network.schedule(_PULL_DURATION_S, partial(adopt, address, generation))

    for record in records:
        address = record.gossip_address
        node = network.add(
            record,
            (),
            quiet_parameters,
            on_generation=partial(schedule_pull, address),
        )
        node.preload(rng.sample(records, min(_PARTIAL_VIEW_SIZE, size)))
    network.run(3)
    published_at = network.clock.monotonic()
    for address in rng.sample(sorted(network.nodes), watcher_count):
        adopt(address, 1)
    while len(adopted_at) < size:
        network.run(0.05)
    delays_s = sorted(at - published_at for at in adopted_at.values())
    return {
        "nodes": size,
        "watchers": watcher_count,
        "pushes": pushes,
        "half_s": round(delays_s[size // 2], 3),
        "p99_s": round(delays_s[int(size * 0.99)], 3),
        "all_s": round(delays_s[-1], 3),
        "probe_rounds": round(
            delays_s[-1] / quiet_parameters.probe_interval_s, 2
        ),
    }


def measure_domain_loss(size: int, seed: int) -> Row:
    """Measures a fleet of real nodes that loses one of 15 failure domains.

    All nodes of the domain stop at once. The result holds the time until the
    remaining nodes agree and the most datagrams that one of them sent in one
    second.
    """
    network = GossipNetwork(seed)
    seed_address = fleet_record(0).gossip_address
    records = [fleet_record(index) for index in range(size)]
    for record in records:
        network.add(record, [seed_address]).preload(records)
    network.run(30)
    lost_records = [r for r in records if r.failure_domain == "zone-3"]
    for record in lost_records:
        network.kill(record.gossip_address)
    start_s = int(network.clock.monotonic())
    agreed_s = network.run_until_views_agree(300)
    max_sent_per_s = max(
        network.sent_counts[address, second]
        for address in network.nodes
        for second in range(start_s, start_s + agreed_s)
    )
    return {
        "nodes": size,
        "lost": len(lost_records),
        "agreed_s": agreed_s,
        "max_datagrams_per_node_s": max_sent_per_s,
    }


def measure_platform_load(
    domain_count: int, nodes_per_domain: int, seed: int
) -> Row:
    """Measures the requests per second to the platform in steady state."""
    cluster = Cluster(seed)
    for index in range(domain_count * nodes_per_domain):
        cluster.add(member_record(index, domain=f"zone-{index % domain_count}"))
    cluster.publish(defaults="a")
    cluster.run(150)
    store = cluster.store
    store.reads = store.writes = store.watches = 0
    seconds = 240
    cluster.run(seconds)
    assert cluster.generations() == {1}
    return {
        "domains": domain_count,
        "nodes": domain_count * nodes_per_domain,
        "reads_per_s": round(store.reads / seconds, 3),
        "writes_per_s": round(store.writes / seconds, 3),
        "watches_per_s": round(store.watches / seconds, 3),
    }


def least_squares_slope(
    rows: Sequence[Row], x_column: str, y_column: str
) -> float:
    """Returns the least-squares slope of one column over another."""
    xs, ys = [row[x_column] for row in rows], [row[y_column] for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    squared_deviation = sum((value - mean_x) ** 2 for value in xs)
    pairs = zip(xs, ys, strict=True)
    return float(
        sum((a - mean_x) * (b - mean_y) for a, b in pairs) / squared_deviation
    )


def column_slopes(rows: Sequence[Row], x_column: str, unit_count: int) -> Row:
    """Returns the slope of each other column for `unit_count` units of x.

    Args:
        rows: Rows of the table.
        x_column: Column of the independent variable.
        unit_count: Units of this column that a slope refers to.
    """
    return {
        f"{key}_per_{unit_count}_{x_column}": round(
            unit_count * least_squares_slope(rows, x_column, key), 5
        )
        for key in rows[0]
        if key != x_column and key not in ("nodes", "domains")
    }


def measure_all(seed: int, seconds: float) -> dict[str, list[Row]]:
    """Runs all measurements and returns the rows of each table by title."""
    members = [measure_membership(size, seed, seconds) for size in FLEET_SIZES]
    domains = [measure_platform_load(count, 6, seed) for count in DOMAIN_COUNTS]
    nodes = [
        measure_platform_load(4, count, seed) for count in NODES_PER_DOMAIN
    ]
    return {
        "membership per node": members,
        "membership slopes": [column_slopes(members, "members", 1000)],
        "spread of a generation": [
            measure_generation_spread(FLEET_SIZES[-1], seed, 30, pushes=True),
            measure_generation_spread(FLEET_SIZES[-1], seed, 1, pushes=True),
            measure_generation_spread(FLEET_SIZES[-1], seed, 30, pushes=False),
        ],
        "loss of a failure domain": [measure_domain_loss(FLEET_SIZES[0], seed)],
        "platform by failure domains": domains,
        "platform slopes by failure domains": [
            column_slopes(domains, "domains", 1)
        ],
        "platform by nodes, 4 failure domains": nodes,
        "platform slopes by nodes": [column_slopes(nodes, "nodes", 1000)],
    }


def to_markdown(tables: dict[str, list[Row]], introduction: str) -> str:
    """Formats the tables as a Markdown page."""
    parts = ["# Slopes of the control plane", "", introduction]
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
    """Runs all measurements, prints the tables and writes the files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--commit", default="")
    parser.add_argument("--output", type=Path)
    options = parser.parse_args(arguments)
    tables = measure_all(options.seed, options.seconds)
    command = " ".join(
        ["python -m radishtray_testing.control_slopes", *arguments]
    )
    introduction = (
        f"Command: `{command}`; seed {options.seed}; commit {options.commit}. "
        "Simulated time and in-memory delivery; processor time includes "
        "encoding and HMAC, but not the system calls of sockets. The "
        "membership tables show one real node among simulated peers that send "
        "at the rates of the protocol; bytes count both directions without "
        "UDP and IP headers."
    )
    text = to_markdown(tables, introduction)
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
