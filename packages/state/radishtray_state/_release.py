"""Tracks configuration generations and from which peer to pull the next one."""

import dataclasses

from radishtray_state._clock import Clock


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasePullPlan:
    """Peer and generation of a pull."""

    peer: str
    """Node id of the peer that announced the generation."""

    generation: int
    """Generation that the peer announced."""


class ReleaseTracker:
    """Generation of this node, and the peers that announced a higher one.

    The generation never decreases. One pull runs at a time, so that a new
    generation that many peers announce is transferred once. After a failed
    pull the peer is not asked again for some time.
    """

    __slots__ = (
        "_backoff_until",
        "_clock",
        "_current_pull",
        "_generation",
        "_max_peers",
        "_peer_backoff_s",
        "_peer_generations",
    )

    def __init__(
        self, clock: Clock, peer_backoff_s: float = 2.0, max_peers: int = 32
    ) -> None:
        """Initializes the tracker at generation 0, without a configuration.

        Args:
            clock: Source of monotonic time.
            peer_backoff_s: Seconds for which a peer is not asked again after a
                failed pull.
            max_peers: Maximum number of peers whose generation is stored.
        """
        self._clock = clock
        self._peer_backoff_s = peer_backoff_s
        self._max_peers = max_peers
        self._generation = 0
        self._peer_generations: dict[str, int] = {}
        self._backoff_until: dict[str, float] = {}
        self._current_pull: ReleasePullPlan | None = None

    @property
    def generation(self) -> int:
        """Generation in effect; 0 without a configuration."""
        return self._generation

    @property
    def highest_announced(self) -> int:
        """Highest announced generation; that of this node if none is higher."""
        return max(self._peer_generations.values(), default=self._generation)

    @property
    def current_pull(self) -> ReleasePullPlan | None:
        """The running pull; None if there is none."""
        return self._current_pull

    def observe(self, peer: str, generation: int) -> bool:
        """Records that a peer announced a generation.

        Returns:
            Whether the generation is higher than that of this node.
        """
        if generation <= self._generation:
            return False
        if generation > self._peer_generations.get(peer, 0):
            self._peer_generations.pop(peer, None)
            self._peer_generations[peer] = generation
            self._drop_lowest_peers()
        return True

    def start_next_pull(self) -> ReleasePullPlan | None:
        """Starts a pull from a peer with the highest announced generation.

        Returns:
            None if a pull is running or no peer that may be asked now has
            announced a higher generation.
        """
        if self._current_pull is not None:
            return None
        now = self._clock.monotonic()
        candidates = [
            (generation, peer)
            for peer, generation in self._peer_generations.items()
            if self._backoff_until.get(peer, now) <= now
        ]
        if not candidates:
            return None
        generation, peer = max(candidates)
        self._current_pull = ReleasePullPlan(peer, generation)
        return self._current_pull

    def pull_failed(self, plan: ReleasePullPlan) -> None:
        """Ends a failed pull and starts the backoff of its peer."""
        self._end_pull(plan)
        self._backoff_until[plan.peer] = (
            self._clock.monotonic() + self._peer_backoff_s
        )

    def pull_ended(self, plan: ReleasePullPlan) -> None:
        """Ends a pull without a backoff of its peer."""
        self._end_pull(plan)

    def adopt(self, generation: int) -> bool:
        """Raises the generation to one from a peer or from the platform.

        Returns:
            False if it is not higher than the current one; the caller must then
            discard the received configuration.
        """
        if generation <= self._generation:
            return False
        self._generation = generation
        self._peer_generations = {
            peer: announced
            for peer, announced in self._peer_generations.items()
            if announced > generation
        }
        self._backoff_until = {
            peer: until
            for peer, until in self._backoff_until.items()
            if peer in self._peer_generations
        }
        return True

    def _end_pull(self, plan: ReleasePullPlan) -> None:
        if self._current_pull == plan:
            self._current_pull = None

    def _drop_lowest_peers(self) -> None:
        while len(self._peer_generations) > self._max_peers:
            lowest = min(
                self._peer_generations, key=self._peer_generations.__getitem__
            )
            del self._peer_generations[lowest]
            self._backoff_until.pop(lowest, None)
