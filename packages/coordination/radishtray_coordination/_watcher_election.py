"""Selects the members that watch the platform on behalf of all.

Watching needs no lease: two nodes that both watch cost calls, but do no harm.
"""

from collections.abc import Iterable

from radishtray_coordination._candidates import rank_candidates
from radishtray_state import MemberRecord, Membership, MemberState

_MIN_WATCHERS_PER_DOMAIN = 2
# A connection to the platform may be silent or cut without notice. Then another
# watcher still reports a change.
_MIN_WATCHERS = 8
# Members of a failure domain that try to reach the platform while it fails.
_CANDIDATES_PER_DOMAIN = 6
# Time without a heartbeat of a watcher after which the other candidates watch
# as well. The failure detection of the membership takes too long for that.
_WATCHER_SILENCE_S = 0.8
_WATCHER_ROLE = "route-watcher"


class WatcherElection:
    """Decides whether this node watches, from its view of the members.

    The first candidates of each failure domain watch that are not suspected and
    have not announced that the platform is lost to them. They send heartbeats
    to the other candidates, the standbys, which watch while none arrives.
    """

    __slots__ = ("_membership",)

    def __init__(self, membership: Membership) -> None:
        """Decides by the given view."""
        self._membership = membership

    @property
    def is_watcher(self) -> bool:
        """Whether this node watches.

        A candidate to which the platform is lost goes on trying.
        """
        own = self._membership.own_record
        candidates = self._candidates(own.failure_domain)
        if own.platform_lost:
            return own in candidates
        return own in self._watchers(candidates)

    @property
    def is_needed_standby(self) -> bool:
        """Whether this node is a candidate and hears of no watcher any more."""
        age_s = self._membership.heartbeat_age_s
        if age_s is None or age_s <= _WATCHER_SILENCE_S:
            return False
        own = self._membership.own_record
        return own in self._candidates(own.failure_domain)

    @property
    def standbys(self) -> list[MemberRecord]:
        """Candidates of the own failure domain that are no watchers."""
        candidates = self._candidates(
            self._membership.own_record.failure_domain
        )
        watchers = self._watchers(candidates)
        return [member for member in candidates if member not in watchers]

    @property
    def has_connected_candidate(self) -> bool:
        """Whether some candidate of any failure domain reaches the platform."""
        own_domain = self._membership.own_record.failure_domain
        if _connected(self._candidates(own_domain)):
            return True
        return any(
            _connected(self._candidates(domain))
            for domain in self._live_domains() - {own_domain}
        )

    def _watchers(self, candidates: list[MemberRecord]) -> list[MemberRecord]:
        return _connected(candidates)[: self._watchers_per_domain]

    @property
    def _watchers_per_domain(self) -> int:
        domains = max(1, len(self._live_domains()))
        return max(_MIN_WATCHERS_PER_DOMAIN, -(-_MIN_WATCHERS // domains))

    def _live_domains(self) -> set[str]:
        return {
            member.failure_domain
            for member in self._membership.members()
            if member.is_live
        }

    def _candidates(self, failure_domain: str) -> list[MemberRecord]:
        return rank_candidates(
            (
                member
                for member in self._membership.members()
                if member.failure_domain == failure_domain
                and member.state is MemberState.ALIVE
            ),
            _WATCHER_ROLE,
            _CANDIDATES_PER_DOMAIN,
        )


def _connected(members: Iterable[MemberRecord]) -> list[MemberRecord]:
    return [member for member in members if not member.platform_lost]
