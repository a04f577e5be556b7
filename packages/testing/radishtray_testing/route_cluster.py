"""Simulated cluster whose nodes get their configuration as a route table."""

import random
from collections.abc import Callable
from typing import Any

from radishtray_coordination import RouteConfigurationDriver
from radishtray_protocol import (
    Route,
    RouteSplit,
    RouteTable,
    decode_routes,
    encode_routes,
)
from radishtray_testing._cluster import Cluster, ClusterNode
from radishtray_testing._gossip_network import member_record

ROUTES_OBJECT = "routes/main"


class RouteClusterNode(ClusterNode):
    """A node whose configuration comes from a `RouteConfigurationDriver`."""

    def _build_configuration(
        self, rng: random.Random, parse: Callable[..., Any]
    ) -> Any:
        del parse
        return RouteConfigurationDriver(
            self.reactor,
            rng,
            store=self.client,
            object_name=ROUTES_OBJECT,
            membership=self.membership,
            send=self.send,
            pull=self.pull_release,
            decode=decode_routes,
            on_table=lambda table: self.documents.append((table.version, 0)),
        )


class RouteCluster(Cluster):
    """A cluster of gateways' control parts, in several failure domains."""

    def __init__(self, seed: int, size: int, domain_count: int) -> None:
        """Starts all nodes at once, with the first three as seeds."""
        super().__init__(seed, RouteClusterNode)
        self.domain_count = domain_count
        self.publish_routes(1)
        for index in range(size):
            self.start_node(index)

    def start_node(self, index: int, incarnation: int = 1) -> ClusterNode:
        """Starts a node, also again after it was killed."""
        domain = f"zone-{index % self.domain_count}"
        record = member_record(index, domain=domain, incarnation=incarnation)
        seeds = [member_record(seed).gossip_address for seed in range(3)]
        return self.add(record, seeds=seeds)

    def publish_routes(self, version: int) -> None:
        """Writes a version of the route table to the store."""
        route = Route(
            "r",
            "h",
            "/",
            is_repeatable=True,
            timeout_s=1.0,
            target_latency_s=1.0,
            priority_class=1,
            max_attempts=2,
            splits=[RouteSplit("s", 1.0)],
        )
        table = RouteTable(version, [route], {"s": 10})
        stored = self.store.read(ROUTES_OBJECT)
        self.store.write(
            ROUTES_OBJECT,
            encode_routes(table),
            stored.ok.version if stored.is_ok() else None,
        )

    @property
    def calls(self) -> int:
        """Number of calls to the store so far."""
        return self.store.reads + self.store.writes + self.store.watches

    def watchers(self) -> list[ClusterNode]:
        """Returns the nodes that are elected to watch in their own view."""
        return [n for n in self.nodes.values() if n.configuration.held_roles]
