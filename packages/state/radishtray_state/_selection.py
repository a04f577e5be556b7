"""Choice of an upstream from the sender's own recent observations.

Source: docs/design.md, section 6.3.
"""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from math import exp, inf

from radishtray_state._clock import Clock
from radishtray_state._refusal import RefusalReason

_THRESHOLD_MEMORY_S = 1.0
_LOAD_MEMORY_S = 1.0
_LATENCY_MEMORY_S = 1.0
_REFUSAL_MEMORY_S = 0.5
# Share of requests sent although every known threshold is above their rank.
_PROBE_SHARE = 0.01
# Latency of a node before any node of the service has answered, in seconds.
_UNKNOWN_LATENCY_S = 0.01
# A clock that is read once in each turn of the loop can show no time at all;
# costs are divided by each other.
_LEAST_LATENCY_S = 1e-5
# The own failure domain is left gradually between these ratios of its cost to
# the cost of the others; a step would move all senders of a domain at once.
_LEAVE_FROM_RATIO = 1.25
_LEAVE_SPAN = 1.0
# Added to the ratio for each KiB of a request's body: bytes between failure
# domains cost more than a short wait, and a long body also takes longer.
_LEAVE_RATIO_PER_KIB = 0.05
# With 4, a node that costs 10% less gets 59% of the choices between two, and
# one that costs half gets 94%. Always taking the cheaper one would let all
# senders that saw the same report move together.
_SHARPNESS = 4
_WARM_UP_S = 2.0
_WARM_UP_SHARE = 0.1
# A lost node looks this much more costly until it has warmed up again.
_LOST_PENALTY = 8.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node beside an upstream of a service.

    Attributes:
        node_id: Id of the node.
        failure_domain: Failure domain of the node.
        slots: Requests that its upstream runs at the same time.
    """

    node_id: str
    failure_domain: str
    slots: int

    def __post_init__(self) -> None:
        """Checks the slots.

        Raises:
            ValueError: If slots is not positive.
        """
        if self.slots < 1:
            raise ValueError(
                f"node {self.node_id!r} needs at least 1 slot, not {self.slots}"
            )


class _Peer:
    """What the sender has observed of one node."""

    __slots__ = (
        "_latency_at",
        "_load_at",
        "_lost",
        "_refusals",
        "_refused_at",
        "_reported",
        "_threshold",
        "_threshold_until",
        "_warm_from",
        "candidate",
        "latency_s",
        "outstanding",
        "queue_s",
    )

    def __init__(
        self, candidate: Candidate, warm_from: float, latency_s: float
    ) -> None:
        self._latency_at = -inf
        self._load_at = -inf
        self._lost = False
        self._refusals = 0.0
        self._refused_at = -inf
        self._reported = 0
        self._threshold = 0
        self._threshold_until = -inf
        self._warm_from = warm_from
        self.candidate = candidate
        self.latency_s = latency_s
        self.outstanding = 0
        self.queue_s = 0.0

    def threshold(self, now: float) -> int:
        """Last threshold, or 0 once it is too old."""
        return self._threshold if now < self._threshold_until else 0

    def cost(self, now: float) -> float:
        """Expected seconds to an answer, with penalties for doubt."""
        in_flight = self.outstanding
        queue_s = 0.0
        if now < self._load_at + _LOAD_MEMORY_S:
            in_flight = max(in_flight, self._reported)
            queue_s = self.queue_s
        # The own outstanding requests are counted again: they are newer than
        # the report, and they grow when a node falls silent.
        load = (in_flight + self.outstanding) / self.candidate.slots
        cost = (self.latency_s + queue_s) * (0.5 + load)
        if self._refusals:
            age = now - self._refused_at
            cost *= 1 + self._refusals * exp(-age / _REFUSAL_MEMORY_S)
        warm = (now - self._warm_from) / _WARM_UP_S
        if warm < 1.0:
            penalty = _LOST_PENALTY if self._lost else 1.0
            cost *= penalty / max(warm, _WARM_UP_SHARE)
        return cost

    def answered(
        self,
        now: float,
        latency_s: float,
        threshold: int,
        in_flight: int,
        queue_ms: float,
        *,
        reason: RefusalReason | None,
    ) -> None:
        self.outstanding = max(0, self.outstanding - 1)
        self._threshold = threshold
        self._threshold_until = now + _THRESHOLD_MEMORY_S
        self._load_at = now
        self._reported = in_flight
        self.queue_s = queue_ms / 1000
        if reason is None:
            self._learn_latency(now, latency_s)
            self._lost = False
            return
        # Refusals come back fast; counted as latency they would attract load.
        age = now - self._refused_at
        self._refusals = 1 + self._refusals * exp(-age / _REFUSAL_MEMORY_S)
        self._refused_at = now

    def lost(self, now: float) -> None:
        self.outstanding = max(0, self.outstanding - 1)
        self._lost = True
        self._warm_from = now

    def _learn_latency(self, now: float, latency_s: float) -> None:
        # The weight of one answer depends on the time since the last, but is
        # bounded so that a single slow answer does not decide.
        age = now - self._latency_at
        weight = min(0.3, max(0.05, 1 - exp(-age / _LATENCY_MEMORY_S)))
        if self._latency_at == -inf:
            weight = 1.0
        seen_s = max(latency_s, _LEAST_LATENCY_S)
        self.latency_s += weight * (seen_s - self.latency_s)
        self._latency_at = now


class _Group:
    """The peers of a service, those of the own failure domain apart."""

    __slots__ = ("near", "peers", "remote")

    def __init__(self, peers: Sequence[_Peer], own_domain: str) -> None:
        self.peers = tuple(peers)
        self.near = tuple(
            p for p in peers if p.candidate.failure_domain == own_domain
        )
        self.remote = tuple(
            p for p in peers if p.candidate.failure_domain != own_domain
        )


_Choose = Callable[
    ["UpstreamSelector", Sequence[_Peer], Sequence[_Peer], int, float, int],
    _Peer | RefusalReason,
]
SELECTION_POLICIES: dict[str, _Choose] = {}


def selection_policy(name: str) -> Callable[[_Choose], _Choose]:
    """Registers the decorated function under a name."""

    def register(choose: _Choose) -> _Choose:
        if name in SELECTION_POLICIES:
            raise ValueError(f"selection policy {name!r} is registered twice")
        SELECTION_POLICIES[name] = choose
        return choose

    return register


class UpstreamSelector:
    """Chooses the node that a request is sent to."""

    __slots__ = ("_choose", "_clock", "_groups", "_own_domain", "_peers", "rng")

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        own_domain: str,
        policy: str = "adaptive",
    ) -> None:
        """Starts without candidates.

        Args:
            clock: Time source.
            rng: Randomness of the choices.
            own_domain: Failure domain of the sender.
            policy: Name of a registered policy.

        Raises:
            ValueError: If the policy is unknown.
        """
        if policy not in SELECTION_POLICIES:
            known = ", ".join(sorted(SELECTION_POLICIES))
            raise ValueError(f"selection policy {policy!r} is none of {known}")
        self._choose = SELECTION_POLICIES[policy]
        self._clock = clock
        self._own_domain = own_domain
        self._groups: dict[str, _Group] = {}
        self._peers: dict[str, _Peer] = {}
        self.rng = rng

    def set_candidates(
        self, service: str, candidates: Sequence[Candidate]
    ) -> None:
        """Replaces the candidates of a service; known nodes keep their state.

        A node that joins a known service gets its share of the load gradually.
        """
        known = self._groups.get(service)
        join = self._clock.monotonic() if known and known.peers else -inf
        latency_s = _mean_latency(known.peers if known else ())
        peers = [self._peer(c, join, latency_s) for c in candidates]
        self._groups[service] = _Group(peers, self._own_domain)
        kept = {p.candidate.node_id for p in peers}
        for peer in known.peers if known else ():
            if peer.candidate.node_id not in kept:
                self._peers.pop(peer.candidate.node_id, None)

    def choose(
        self,
        service: str,
        rank: int,
        exclude: Collection[str] = (),
        body_bytes: int = 0,
    ) -> str | RefusalReason:
        """Chooses a node for one attempt.

        Args:
            service: Name of the service.
            rank: Importance, class * 128 + level.
            exclude: Ids of nodes that must not be chosen.
            body_bytes: Length of the request's body.

        Returns:
            The node's id, or the reason why no node is worth an attempt:
            `no_upstream` without a candidate, `shed` when every candidate is
            known to refuse the rank.
        """
        group = self._groups.get(service)
        if group is None:
            return RefusalReason.NO_UPSTREAM
        near: Sequence[_Peer] = group.near
        remote: Sequence[_Peer] = group.remote
        if exclude:
            near = [p for p in near if p.candidate.node_id not in exclude]
            remote = [p for p in remote if p.candidate.node_id not in exclude]
        if not near and not remote:
            return RefusalReason.NO_UPSTREAM
        now = self._clock.monotonic()
        chosen = self._choose(self, near, remote, rank, now, body_bytes)
        if isinstance(chosen, RefusalReason):
            return chosen
        return chosen.candidate.node_id

    def refuses(self, service: str, rank: int) -> bool:
        """Whether every candidate is known to refuse the rank.

        A request that needs a call to such a service would hold a slot for
        nothing. A small share is let through as a probe, as by `choose`.

        Args:
            service: Service that will be called.
            rank: Importance, class * 128 + level.
        """
        group = self._groups.get(service)
        if group is None or not group.peers:
            return False
        now = self._clock.monotonic()
        if any(peer.threshold(now) <= rank for peer in group.peers):
            return False
        return self.rng.random() >= _PROBE_SHARE

    def sent(self, node_id: str) -> None:
        """Notes that an attempt was sent; `observed` or `lost` follows."""
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.outstanding += 1

    def observed(
        self,
        node_id: str,
        latency_s: float,
        threshold: int,
        in_flight: int,
        queue_ms: float,
        *,
        reason: RefusalReason | None,
    ) -> None:
        """Notes an answer and the state of the node that came with it.

        Args:
            node_id: Node that answered.
            latency_s: Seconds from sending to the answer.
            threshold: Least rank that the node admits.
            in_flight: Requests that run at its upstream.
            queue_ms: Milliseconds that its queue needs to drain.
            reason: Reason if the answer is a refusal, else None.
        """
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.answered(
                self._clock.monotonic(),
                latency_s,
                threshold,
                in_flight,
                queue_ms,
                reason=reason,
            )

    def lost(self, node_id: str) -> None:
        """Notes that an attempt ended without an answer of the node."""
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.lost(self._clock.monotonic())

    def _peer(
        self, candidate: Candidate, join: float, latency_s: float
    ) -> _Peer:
        peer = self._peers.get(candidate.node_id)
        if peer is None:
            peer = _Peer(candidate, join, latency_s)
            self._peers[candidate.node_id] = peer
        peer.candidate = candidate
        return peer


@selection_policy("adaptive")
def _choose_adaptive(
    selector: UpstreamSelector,
    near: Sequence[_Peer],
    remote: Sequence[_Peer],
    rank: int,
    now: float,
    body_bytes: int,
) -> _Peer | RefusalReason:
    """Power of two choices; the own failure domain while it costs less."""
    rng = selector.rng
    own = _better_of_two(rng, near, rank, now)
    other = _better_of_two(rng, remote, rank, now)
    if own is None and other is None:
        return _least_known_threshold(rng, [*near, *remote], rank, now)
    if other is None or own is None:
        return (own or other)[0]  # type: ignore[index]
    ratio = own[1] / other[1]
    leave_from = _LEAVE_FROM_RATIO + _LEAVE_RATIO_PER_KIB * body_bytes / 1024
    if ratio <= leave_from:
        return own[0]
    leave = (ratio - leave_from) / _LEAVE_SPAN
    return other[0] if rng.random() < leave else own[0]


@selection_policy("random")
def _choose_random(
    selector: UpstreamSelector,
    near: Sequence[_Peer],
    remote: Sequence[_Peer],
    rank: int,
    now: float,
    body_bytes: int,
) -> _Peer | RefusalReason:
    """Any candidate with equal probability; thresholds are ignored."""
    del rank, now, body_bytes
    index = int(selector.rng.random() * (len(near) + len(remote)))
    return near[index] if index < len(near) else remote[index - len(near)]


def _better_of_two(
    rng: random.Random, peers: Sequence[_Peer], rank: int, now: float
) -> tuple[_Peer, float] | None:
    """One of two random peers, the cheaper more often, with its cost.

    Returns:
        None if no peer admits the rank.
    """
    count = len(peers)
    if count < 2:
        if not count or peers[0].threshold(now) > rank:
            return None
        return peers[0], peers[0].cost(now)
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    second += second >= first
    one = peers[first]
    two = peers[second]
    if one.threshold(now) > rank or two.threshold(now) > rank:
        admitting = [p for p in peers if p.threshold(now) <= rank]
        return _better_of_two(rng, admitting, rank, now)
    cost_one = one.cost(now)
    cost_two = two.cost(now)
    if rng.random() * (1 + (cost_one / cost_two) ** _SHARPNESS) < 1:
        return one, cost_one
    return two, cost_two


def _least_known_threshold(
    rng: random.Random, peers: Sequence[_Peer], rank: int, now: float
) -> _Peer | RefusalReason:
    """Refuses, but for a small share that goes to the lowest threshold."""
    if rng.random() >= _PROBE_SHARE:
        return RefusalReason.SHED
    return min(peers, key=lambda p: p.threshold(now))


def _mean_latency(peers: Sequence[_Peer]) -> float:
    """Latency to assume of a node that joins these peers."""
    if not peers:
        return _UNKNOWN_LATENCY_S
    return sum(p.latency_s for p in peers) / len(peers)
