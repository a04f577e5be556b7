"""Drivers that connect the state machines to the platform and to peers.

The state machines of radishtray_state do no input or output. The drivers
supply them with timers, platform calls and messages to other nodes.
"""

from radishtray_coordination._candidates import candidate_rank, rank_candidates
from radishtray_coordination._configuration_driver import (
    WATCHERS_PER_DOMAIN,
    ConfigurationCounters,
    ConfigurationDriver,
    watcher_role,
)
from radishtray_coordination._lease_driver import LEASE_S, LeaseDriver
from radishtray_coordination._membership_driver import MembershipDriver
from radishtray_coordination._release_content import (
    ReleaseContent,
    content_from_push,
)
from radishtray_coordination._route_configuration import (
    RouteConfigurationDriver,
    RouteTableDecoder,
)
from radishtray_coordination._section_collector import (
    COLLECTOR_ROLE,
    SectionCollector,
)
from radishtray_coordination._slot_driver import (
    ObjectStore,
    SlotDriver,
    StoredObject,
)
from radishtray_coordination._store import WatchableStore

__all__ = [
    "COLLECTOR_ROLE",
    "LEASE_S",
    "WATCHERS_PER_DOMAIN",
    "ConfigurationCounters",
    "ConfigurationDriver",
    "LeaseDriver",
    "MembershipDriver",
    "ObjectStore",
    "ReleaseContent",
    "RouteConfigurationDriver",
    "RouteTableDecoder",
    "SectionCollector",
    "SlotDriver",
    "StoredObject",
    "WatchableStore",
    "candidate_rank",
    "content_from_push",
    "rank_candidates",
    "watcher_role",
]
