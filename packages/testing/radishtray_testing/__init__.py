"""Simulations, stand-ins, load tool and history checker for tests."""

from radishtray_testing._cluster import Cluster, ClusterNode, ReactorClock
from radishtray_testing._gossip_network import GossipNetwork, member_record
from radishtray_testing._memory_store import MemoryStore, MemoryStoreClient

__all__ = [
    "Cluster",
    "ClusterNode",
    "GossipNetwork",
    "MemoryStore",
    "MemoryStoreClient",
    "ReactorClock",
    "member_record",
]
