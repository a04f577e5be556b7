"""Configuration generations: forward only, pulled from peers that have them."""

import dataclasses

from radishtray_state._clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePullPlan:
    """The next pull to try."""

    peer: str
    """Node id of the peer that told the generation."""

    generation: int
    """Generation that the peer told."""


class ReleaseTracker:
    """Knows the own generation and which peers told higher ones.

    The generation never decreases. One pull runs at a time, so many peers that
    tell of a new generation cause one transfer. A peer that fails is avoided
    for a while.
    """

    __slots__ = (
        "_avoid_s",
        "_avoided",
        "_clock",
        "_generation",
        "_max_peers",
        "_peers",
        "_pulling",
    )

    def __init__(
        self, clock: Clock, avoid_s: float = 2.0, max_peers: int = 32
    ) -> None:
        """Starts without a configuration, at generation 0.

        Args:
            clock: Source of monotonic time.
            avoid_s: Seconds for which a peer that failed is not asked again.
            max_peers: Number of peers to remember.
        """
        self._clock = clock
        self._avoid_s = avoid_s
        self._max_peers = max_peers
        self._generation = 0
        self._peers: dict[str, int] = {}
        self._avoided: dict[str, float] = {}
        self._pulling: ReleasePullPlan | None = None

    @property
    def generation(self) -> int:
        """Generation in effect; 0 without a configuration."""
        return self._generation

    @property
    def highest_told(self) -> int:
        """Highest generation that is known to exist."""
        return max(self._peers.values(), default=self._generation)

    @property
    def pulling(self) -> ReleasePullPlan | None:
        """The running pull."""
        return self._pulling

    def observe(self, peer: str, generation: int) -> bool:
        """Notes that a peer has a generation.

        Returns:
            Whether the generation is higher than the own one.
        """
        if generation <= self._generation:
            return False
        if generation > self._peers.get(peer, 0):
            self._peers.pop(peer, None)
            self._peers[peer] = generation
            self._drop_surplus()
        return True

    def next_pull(self) -> ReleasePullPlan | None:
        """Starts the next pull: from a peer with the highest generation.

        Returns:
            None while a pull is running or no usable peer has told a higher
            generation.
        """
        if self._pulling is not None:
            return None
        now = self._clock.monotonic()
        usable = [
            (generation, peer)
            for peer, generation in self._peers.items()
            if self._avoided.get(peer, now) <= now
        ]
        if not usable:
            return None
        generation, peer = max(usable)
        self._pulling = ReleasePullPlan(peer, generation)
        return self._pulling

    def pull_failed(self, plan: ReleasePullPlan) -> None:
        """Ends a pull without a result and avoids its peer for a while."""
        self._end_pull(plan)
        self._avoided[plan.peer] = self._clock.monotonic() + self._avoid_s

    def pull_ended(self, plan: ReleasePullPlan) -> None:
        """Ends a pull that delivered a generation."""
        self._end_pull(plan)

    def adopt(self, generation: int) -> bool:
        """Moves to a generation, from a pull or from the platform.

        Returns:
            False if it is not higher than the own one; the caller must then
            drop what it received.
        """
        if generation <= self._generation:
            return False
        self._generation = generation
        self._peers = {
            peer: told
            for peer, told in self._peers.items()
            if told > generation
        }
        self._avoided = {
            peer: until
            for peer, until in self._avoided.items()
            if peer in self._peers
        }
        return True

    def _end_pull(self, plan: ReleasePullPlan) -> None:
        if self._pulling == plan:
            self._pulling = None

    def _drop_surplus(self) -> None:
        while len(self._peers) > self._max_peers:
            lowest = min(self._peers, key=self._peers.__getitem__)
            del self._peers[lowest]
            self._avoided.pop(lowest, None)
