"""Organisations: their keys, and allotments that hold for the whole fleet.

The package has no I/O. Clocks, sources of randomness and functions that send
are passed in.
"""

from radishtray_organisations._allotment_leases import (
    AllotmentLeases,
    TokenVerdict,
    TokenWait,
)
from radishtray_organisations._allotment_owner import (
    TOKEN_LIFETIME_S,
    AllotmentOwner,
    AllotmentTolerance,
    Grant,
    grantable_share,
    is_ready_to_own,
    tokens_to_request,
)
from radishtray_organisations._freshness import (
    FreshnessGuard,
    FreshnessSchedule,
    FreshnessSource,
)
from radishtray_organisations._key_ages import KeyAges
from radishtray_organisations._key_ring import KeyRing, parse_bearer
from radishtray_organisations._organisation import Organisation, digest_key
from radishtray_organisations._request_level import place_request_level

__all__ = [
    "TOKEN_LIFETIME_S",
    "AllotmentLeases",
    "AllotmentOwner",
    "AllotmentTolerance",
    "FreshnessGuard",
    "FreshnessSchedule",
    "FreshnessSource",
    "Grant",
    "KeyAges",
    "KeyRing",
    "Organisation",
    "TokenVerdict",
    "TokenWait",
    "digest_key",
    "grantable_share",
    "is_ready_to_own",
    "parse_bearer",
    "place_request_level",
    "tokens_to_request",
]
