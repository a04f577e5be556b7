"""How recently the configuration in force was known to be the latest one.

A key that a new configuration no longer holds must stop working within a time
limit, also on nodes that do not hear of that configuration. A node therefore
accepts keys only while it can show that its configuration was the latest one
less than that limit ago.
"""

from enum import Enum
from math import inf

from radishtray_state import Clock

# Time between two confirmations by the platform on the first candidate.
_PROBE_AGE_S = 0.8
# Each further candidate waits longer by this before it asks the platform, so
# that in calm only the first one does.
_PROBE_STAGGER_S = 0.35
# Age at which a node asks a candidate, and the shortest time between two
# queries.
_QUERY_AGE_S = 0.7
_QUERY_INTERVAL_S = 0.3
# Share of the limit after which any node asks the platform itself. Keyed
# requests at nodes that are cut off from the platform longer are lost anyway.
_LAST_RESORT_SHARE = 0.45
_PROBE_INTERVAL_S = 0.5
_MAX_PROBE_INTERVAL_S = 2.0
# Covers the difference between the clock rates of two VMs.
_MARGIN_S = 0.1


class FreshnessGuard:
    """Tracks the latest moment at which the configuration was the latest one.

    A confirmation states that at some moment the platform held no generation
    later than a given one. It counts once the node's own generation is at
    least that one.
    """

    __slots__ = (
        "_as_of_s",
        "_clock",
        "_generation",
        "_limit_s",
        "_pending",
    )

    def __init__(self, clock: Clock, limit_s: float) -> None:
        """Starts without a configuration.

        Args:
            clock: Time source that is read at each check. A time cached for an
                iteration of the event loop would not show that the process was
                frozen meanwhile.
            limit_s: Seconds for which a confirmation is sufficient.
        """
        self._clock = clock
        self._limit_s = max(limit_s - _MARGIN_S, limit_s / 2)
        self._generation = 0
        self._as_of_s = -inf
        self._pending: tuple[int, float] | None = None

    @property
    def generation(self) -> int:
        """Generation of the configuration in force."""
        return self._generation

    @property
    def limit_s(self) -> float:
        """Age from which the configuration is not fresh."""
        return self._limit_s

    @property
    def age_s(self) -> float:
        """Seconds since the last confirmation; infinite without one."""
        return self._clock.monotonic() - self._as_of_s

    @property
    def is_fresh(self) -> bool:
        """Whether keys may be accepted now."""
        return self.age_s < self._limit_s

    def apply(self, generation: int) -> None:
        """Records the generation that has come into force."""
        self._generation = max(self._generation, generation)
        pending = self._pending
        if pending is not None and pending[0] <= self._generation:
            self._pending = None
            self._as_of_s = max(self._as_of_s, pending[1])

    def confirm(self, generation: int, as_of_s: float) -> None:
        """Applies a confirmation.

        Args:
            generation: Generation that was the latest one.
            as_of_s: Monotonic time at which it was, or an earlier one: the time
                at which the question was sent, not that of the answer.
        """
        if generation <= self._generation:
            self._as_of_s = max(self._as_of_s, as_of_s)
        elif self._pending is None or self._pending[1] < as_of_s:
            self._pending = (generation, as_of_s)

    def confirm_by_peer(
        self, generation: int, peer_age_s: float | None, asked_at_s: float
    ) -> None:
        """Applies the answer of a peer.

        Args:
            generation: Generation in force at the peer.
            peer_age_s: Age of the peer's last confirmation when it answered;
                None if it is not fresh itself.
            asked_at_s: Monotonic time at which the question was sent.
        """
        if peer_age_s is not None and peer_age_s >= 0:
            self.confirm(generation, asked_at_s - peer_age_s)


class FreshnessSource(Enum):
    """Where a node asks for a confirmation."""

    NONE = "none"
    PEER = "peer"
    PLATFORM = "platform"


class FreshnessSchedule:
    """Decides when a node asks a peer or the platform for a confirmation.

    A few candidates ask the platform, in calm only the first of them. All other
    nodes ask candidates, so the number of platform calls does not grow with the
    fleet. A node that no candidate helps asks the platform itself.
    """

    __slots__ = (
        "_asked_peer_at_s",
        "_limit_s",
        "_probe_interval_s",
        "_probed_at_s",
    )

    def __init__(self, limit_s: float) -> None:
        """Starts without questions.

        Args:
            limit_s: Age from which the configuration is not fresh.
        """
        self._limit_s = limit_s
        self._asked_peer_at_s = -inf
        self._probed_at_s = -inf
        self._probe_interval_s = _PROBE_INTERVAL_S

    def choose(
        self, now_s: float, age_s: float, position: int | None
    ) -> FreshnessSource:
        """Returns where to ask now, and counts this as asked.

        Args:
            now_s: Monotonic time.
            age_s: Age of the last confirmation.
            position: Position among the candidates, counted from 0; None if
                the node is not a candidate.
        """
        probe_age_s = self._limit_s * _LAST_RESORT_SHARE
        if position is not None:
            stagger_s = _PROBE_AGE_S + position * _PROBE_STAGGER_S
            probe_age_s = min(probe_age_s, stagger_s)
        if (
            age_s >= probe_age_s
            and now_s - self._probed_at_s >= self._probe_interval_s
        ):
            self._probed_at_s = now_s
            return FreshnessSource.PLATFORM
        if (
            position != 0
            and age_s >= _QUERY_AGE_S
            and now_s - self._asked_peer_at_s >= _QUERY_INTERVAL_S
        ):
            self._asked_peer_at_s = now_s
            return FreshnessSource.PEER
        return FreshnessSource.NONE

    def record_probe(self, *, has_succeeded: bool) -> None:
        """Records the result of a question to the platform.

        Questions that fail are repeated less often, up to a bound.
        """
        if has_succeeded:
            self._probe_interval_s = _PROBE_INTERVAL_S
        else:
            self._probe_interval_s = min(
                self._probe_interval_s * 2, _MAX_PROBE_INTERVAL_S
            )
