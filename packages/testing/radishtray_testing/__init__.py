"""Stand-ins, load tool and history checker."""

from radishtray_testing._gossip_network import GossipNetwork, member_record

__all__ = ["GossipNetwork", "member_record"]
