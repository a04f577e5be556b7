"""The parts of a node that serve a configuration with organisations."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

from radishtray_coordination import rank_candidates
from radishtray_node._allotment_driver import AllotmentDriver
from radishtray_node._freshness_driver import (
    ConfirmationSource,
    FreshnessDriver,
    FreshnessPeers,
)
from radishtray_node._gateway_settings import RevocationSettings
from radishtray_node._metrics import Metrics
from radishtray_node._organisation_gate import OrganisationGate
from radishtray_node._organisation_metrics import OrganisationMetrics
from radishtray_node._timers import TimerWheel
from radishtray_organisations import (
    AllotmentOwner,
    AllotmentTolerance,
    FreshnessGuard,
    KeyAges,
    is_ready_to_own,
)
from radishtray_protocol import RouteTable, wire
from radishtray_state import Clock, MemberRecord, Membership, MemberState

_T = TypeVar("_T")
_FRESHNESS_ROLE = "configuration-freshness"
_FRESHNESS_CANDIDATES_PER_DOMAIN = 6
_OWNER_ROLE = "allotment-owner"
_OWNER_CANDIDATES = 8
_CANDIDATES_TTL_S = 0.5
ALLOTMENT_TICK_S = 0.25
"""Seconds between two calls of `Organisations.tick`."""


class _Cached(Generic[_T]):
    """A value that is made from the view of the members now and then."""

    __slots__ = ("_clock", "_compute", "_expires_at_s", "_value")

    def __init__(self, clock: Clock, compute: Callable[[], _T]) -> None:
        self._clock = clock
        self._compute = compute
        self._value: _T | None = None
        self._expires_at_s = 0.0

    def __call__(self) -> _T:
        now_s = self._clock.monotonic()
        if self._value is None or now_s >= self._expires_at_s:
            self._value = self._compute()
            self._expires_at_s = now_s + _CANDIDATES_TTL_S
        return self._value


class Organisations:
    """Keys, freshness and allotments on one node.

    Attributes:
        gate: Identifies callers at the entry.
    """

    __slots__ = (
        "_allotments",
        "_clock",
        "_freshness",
        "_guard",
        "_key_ages",
        "_metrics",
        "_owner",
        "_send",
        "_settings",
        "gate",
    )

    def __init__(
        self,
        clock: Clock,
        uncached_clock: Clock,
        timers: TimerWheel,
        node_id: str,
        settings: RevocationSettings,
        tolerance: AllotmentTolerance,
        membership: Callable[[], Membership],
        fleet_share: Callable[[], float],
        send: Callable[[str, wire.Frame], bool],
        metrics: Metrics,
        *,
        is_first_start: bool,
    ) -> None:
        """Builds the parts; `start` begins to ask for confirmations.

        Args:
            clock: Time source.
            uncached_clock: Time source that is read at each check.
            timers: Timers of requests for tokens.
            node_id: Id of this node.
            settings: How fast withdrawn keys are no longer accepted.
            tolerance: By how much allotments may be exceeded.
            membership: Returns the view of the fleet; only called after the
                node's start.
            fleet_share: Returns the share of the fleet that this node sees.
            send: Sends a control frame to a node.
            metrics: Metrics of this node.
            is_first_start: Whether no earlier process of any node has run.
        """
        self._clock = uncached_clock
        self._settings = settings
        self._send = send
        self._guard = FreshnessGuard(uncached_clock, settings.limit_s)
        started_s = clock.monotonic()
        self._owner = AllotmentOwner(
            clock,
            fleet_share,
            tolerance,
            lambda: is_ready_to_own(
                membership().live_count,
                clock.monotonic() - started_s,
                is_first_start=is_first_start,
            ),
        )
        self._allotments = AllotmentDriver(
            clock,
            timers,
            node_id,
            self._owner,
            _Cached(clock, lambda: _owner_candidates(membership())),
            send,
        )
        self.gate = OrganisationGate(
            self._guard if settings.is_strict else None,
            self._allotments.leases,
        )
        self._key_ages = KeyAges(clock)
        self._metrics = OrganisationMetrics(
            metrics, self._guard, self._owner, self._key_ages
        )
        self._freshness: FreshnessDriver | None = None

    def start(
        self, reactor: Any, source: ConfirmationSource, membership: Membership
    ) -> None:
        """Starts to confirm the configuration where that is strict.

        Args:
            reactor: Schedules the checks.
            source: The platform.
            membership: The view of the fleet.
        """
        if not self._settings.is_strict:
            return
        self._freshness = FreshnessDriver(
            reactor,
            self._clock,
            self._guard,
            source,
            _Cached(self._clock, lambda: _freshness_peers(membership)),
            self._send,
        )
        self._freshness.is_needed = self.gate.has_organisations
        self._freshness.start()

    def close(self) -> None:
        """Stops the confirmations."""
        if self._freshness is not None:
            self._freshness.close()

    def apply(self, table: RouteTable) -> None:
        """Applies the organisations of a new configuration."""
        self.gate.apply(table)
        self._owner.apply(table.keys)
        self._key_ages.update(table.keys)
        self._metrics.apply(table.keys)
        self._guard.apply(table.version)
        if self._freshness is not None:
            self._freshness.is_needed = self.gate.has_organisations

    def tick(self) -> None:
        """Detects pauses and drops old state.

        To be called each `ALLOTMENT_TICK_S`.
        """
        self._allotments.tick()

    def count(self, organisation: str, outcome: str) -> None:
        """Counts a request of an organisation."""
        self._metrics.count(organisation, outcome)

    def handle_frame(self, frame: wire.Frame) -> wire.Frame | None:
        """Handles a frame of another node and returns the reply, if any."""
        if frame.freshness_query is not None and self._freshness is not None:
            return self._freshness.answer(frame.freshness_query)
        if frame.freshness_reply is not None and self._freshness is not None:
            self._freshness.handle_reply(frame.freshness_reply)
        elif frame.allotment_request is not None:
            return self._allotments.answer(frame.allotment_request)
        elif frame.allotment_grant is not None:
            self._allotments.handle_grant(frame.allotment_grant)
        return None


def _owner_candidates(membership: Membership) -> list[str]:
    return [
        member.node_id
        for member in rank_candidates(
            (
                member
                for member in membership.members()
                if member.state is MemberState.ALIVE
            ),
            _OWNER_ROLE,
            _OWNER_CANDIDATES,
        )
    ]


def _freshness_peers(membership: Membership) -> FreshnessPeers:
    """Returns this node's position among those that ask the platform.

    The first candidate of the first failure domain asks it; the first ones of
    the other domains ask that one, and all others a candidate of their own
    domain.
    """
    own = membership.own_record
    alive = [
        member
        for member in membership.members()
        if member.state is MemberState.ALIVE
    ]
    candidates = _freshness_candidates(alive, own.failure_domain)
    if own.node_id not in candidates:
        return FreshnessPeers(None, candidates)
    domains = sorted(
        {member.failure_domain for member in alive} | {own.failure_domain}
    )
    earlier_domains = domains[: domains.index(own.failure_domain)]
    rank = candidates.index(own.node_id)
    peers = candidates[:rank] or [
        node
        for domain in earlier_domains
        for node in _freshness_candidates(alive, domain)[:1]
    ]
    return FreshnessPeers(len(earlier_domains) + rank, peers)


def _freshness_candidates(
    alive: list[MemberRecord], failure_domain: str
) -> list[str]:
    return [
        member.node_id
        for member in rank_candidates(
            (m for m in alive if m.failure_domain == failure_domain),
            _FRESHNESS_ROLE,
            _FRESHNESS_CANDIDATES_PER_DOMAIN,
        )
    ]
