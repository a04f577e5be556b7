"""Drivers that join state machines, the platform and peers."""

from radishtray_coordination._candidates import candidate_rank
from radishtray_coordination._configuration_driver import (
    WATCHERS_PER_DOMAIN,
    ConfigurationCounters,
    ConfigurationDriver,
    watcher_role,
)
from radishtray_coordination._lease_driver import LEASE_S, LeaseDriver
from radishtray_coordination._membership_driver import MembershipDriver
from radishtray_coordination._release_content import ReleaseContent, take_push
from radishtray_coordination._route_configuration import (
    RouteConfigurationDriver,
    TableDecoder,
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
    "SectionCollector",
    "SlotDriver",
    "StoredObject",
    "TableDecoder",
    "WatchableStore",
    "candidate_rank",
    "take_push",
    "watcher_role",
]
