"""Load balancing: chooses the node that a request is sent to.

Power of two choices, weighted by an expected cost that the sender estimates
from the answers it has received itself (EWMA of the latency, reported load,
recent refusals). Nodes in the sender's failure domain are preferred.

Source: docs/design.md, section 6.3.
"""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from math import exp, inf

from radishtray_state._clock import Clock
from radishtray_state._refusal import RefusalReason

_THRESHOLD_TTL_S = 1.0
# Threshold of a node that refuses every request, above all ranks.
_REFUSES_ALL = 2**15
_REASONS_TO_REFUSE_ALL = frozenset(
    (RefusalReason.DRAINING, RefusalReason.NO_UPSTREAM)
)
_LOAD_REPORT_TTL_S = 1.0
# A node learns the capacity of its upstream over seconds, so its last statement
# remains useful for longer than its load.
_LEARNED_SLOTS_TTL_S = 10.0
_LATENCY_TIME_CONSTANT_S = 1.0
_REFUSAL_TIME_CONSTANT_S = 0.5
# Share of the requests that are sent although every known threshold is above
# their rank, to learn whether the thresholds have fallen.
_PROBE_SHARE = 0.01
# Latency assumed before any node of the service has answered.
_DEFAULT_LATENCY_S = 0.01
# Costs are divided by each other, so they must not be 0. A clock that is read
# once in each iteration of the event loop can measure a latency of 0.
_MIN_LATENCY_S = 1e-5
# Requests spill over to other failure domains if the sender's own domain costs
# more. Their share rises linearly from 0 at this ratio of the two costs to 1
# where the ratio is greater by the span; with a step, all senders of a domain
# would move at once.
_SPILLOVER_START_RATIO = 1.25
_SPILLOVER_RATIO_SPAN = 1.0
# Added to the start ratio for each KiB of a request's body: traffic between
# failure domains costs more than a short wait, and a long body also takes
# longer.
_SPILLOVER_RATIO_PER_KIB = 0.05
# The probability of choosing the first of two nodes is 1 / (1 + r ** exponent),
# where r is its cost divided by the other's. With 4, a node gets 59% of the
# choices if the other one costs 10% more, and 94% if it costs twice as much. If
# the cheaper node were always chosen, all senders that saw the same report
# would move to it together.
_COST_EXPONENT = 4
# While a node warms up, its cost is divided by the share of this time that has
# passed, and at the beginning by the start share.
_WARM_UP_S = 2.0
_WARM_UP_START_SHARE = 0.1
# The cost of a node is divided by this power of the share of the requests that
# its upstream does not fail. With 8, one that fails a fifth costs six times as
# much, so it is used once the others are nearly full.
_FAILURE_COST_EXPONENT = 8
_MAX_FAILURE_COST_FACTOR = 100.0
# Extra factor on the cost of a node that has lost an attempt, until it answers
# with success or has warmed up.
_LOST_COST_FACTOR = 8.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node beside an upstream of a service.

    Attributes:
        node_id: Id of the node.
        failure_domain: Failure domain of the node.
        slots: Requests that its upstream runs concurrently.
        failure_percent: Percent of the requests that its upstream fails.
    """

    node_id: str
    failure_domain: str
    slots: int
    failure_percent: int = 0

    def __post_init__(self) -> None:
        """Validates the number of slots.

        Raises:
            ValueError: If slots is not positive.
        """
        if self.slots < 1:
            raise ValueError(
                f"node {self.node_id!r} needs at least 1 slot, not {self.slots}"
            )

    @property
    def failure_cost_factor(self) -> float:
        """Factor on the cost of the node, 1 without failures.

        A failed request costs more than a repeat: its work is lost, and a
        request that must not be repeated ends.
        """
        served_share = max(0.01, 1 - self.failure_percent / 100)
        return min(
            1 / served_share**_FAILURE_COST_EXPONENT, _MAX_FAILURE_COST_FACTOR
        )


class _Peer:
    """The sender's observations of one node.

    Attributes:
        candidate: The node.
        latency_s: EWMA of the latency of its answers, without refusals.
        outstanding: Attempts of this sender that have not been answered.
        queue_s: Time in which its queue drains, by its last report.
    """

    __slots__ = (
        "_failure_cost_factor",
        "_is_lost",
        "_last_refusal_at",
        "_latency_updated_at",
        "_learned_slots",
        "_learned_slots_expire_at",
        "_load_reported_at",
        "_recent_refusals",
        "_reported_in_flight",
        "_threshold",
        "_threshold_expires_at",
        "_warm_up_started_at",
        "candidate",
        "latency_s",
        "outstanding",
        "queue_s",
    )

    def __init__(
        self, candidate: Candidate, warm_up_started_at: float, latency_s: float
    ) -> None:
        self._latency_updated_at = -inf
        self._load_reported_at = -inf
        self._is_lost = False
        self._recent_refusals = 0.0
        self._last_refusal_at = -inf
        self._reported_in_flight = 0
        self._learned_slots = 0
        self._learned_slots_expire_at = -inf
        self._threshold = 0
        self._threshold_expires_at = -inf
        self._warm_up_started_at = warm_up_started_at
        self._failure_cost_factor = candidate.failure_cost_factor
        self.candidate = candidate
        self.latency_s = latency_s
        self.outstanding = 0
        self.queue_s = 0.0

    def threshold(self, now: float) -> int:
        """Returns the last reported threshold, or 0 once it has expired."""
        return self._threshold if now < self._threshold_expires_at else 0

    def cost(self, now: float) -> float:
        """Returns the expected latency in seconds, weighted by the risk.

        The cost is raised by load, by recent refusals, and while the node warms
        up after it has joined or an attempt was lost.
        """
        in_flight = self.outstanding
        queue_s = 0.0
        if now < self._load_reported_at + _LOAD_REPORT_TTL_S:
            in_flight = max(in_flight, self._reported_in_flight)
            queue_s = self.queue_s
        # The sender's outstanding attempts are counted in addition: they are
        # newer than the report, and they increase when a node stops answering.
        load = (in_flight + self.outstanding) / self._slots(now)
        cost = (self.latency_s + queue_s) * (0.5 + load)
        cost *= self._failure_cost_factor
        if self._recent_refusals:
            age_s = now - self._last_refusal_at
            cost *= 1 + self._recent_refusals * exp(
                -age_s / _REFUSAL_TIME_CONSTANT_S
            )
        warm_up_progress = (now - self._warm_up_started_at) / _WARM_UP_S
        if warm_up_progress < 1.0:
            factor = _LOST_COST_FACTOR if self._is_lost else 1.0
            cost *= factor / max(warm_up_progress, _WARM_UP_START_SHARE)
        return cost

    def _slots(self, now: float) -> int:
        """Returns the learned slots, or the stated ones without a report."""
        if now < self._learned_slots_expire_at:
            return min(self._learned_slots, self.candidate.slots)
        return self.candidate.slots

    def update_candidate(self, candidate: Candidate) -> None:
        if candidate != self.candidate:
            self.candidate = candidate
            self._failure_cost_factor = candidate.failure_cost_factor

    def record_answer(
        self,
        now: float,
        latency_s: float,
        threshold: int,
        in_flight: int,
        queue_ms: float,
        *,
        reason: RefusalReason | None,
        is_server_error: bool,
        learned_slots: int | None,
    ) -> None:
        self.outstanding = max(0, self.outstanding - 1)
        self._threshold = (
            _REFUSES_ALL if reason in _REASONS_TO_REFUSE_ALL else threshold
        )
        self._threshold_expires_at = now + _THRESHOLD_TTL_S
        self._load_reported_at = now
        self._reported_in_flight = in_flight
        self.queue_s = queue_ms / 1000
        if learned_slots is not None and learned_slots > 0:
            self._learned_slots = learned_slots
            self._learned_slots_expire_at = now + _LEARNED_SLOTS_TTL_S
        else:
            self._learned_slots_expire_at = -inf
        if reason is None:
            # An upstream may fail requests faster than it serves them, which
            # must not attract more of them.
            if not is_server_error:
                self._update_latency(now, latency_s)
                self._is_lost = False
            return
        # Refusals are answered fast. If they counted as latency, a node that
        # refuses would attract load.
        age_s = now - self._last_refusal_at
        self._recent_refusals = 1 + self._recent_refusals * exp(
            -age_s / _REFUSAL_TIME_CONSTANT_S
        )
        self._last_refusal_at = now

    def record_loss(self, now: float) -> None:
        self.outstanding = max(0, self.outstanding - 1)
        self._is_lost = True
        self._warm_up_started_at = now

    def _update_latency(self, now: float, latency_s: float) -> None:
        # The weight of an answer grows with the time since the last one. It is
        # bounded so that a single slow answer does not dominate the average.
        age_s = now - self._latency_updated_at
        weight = min(0.3, max(0.05, 1 - exp(-age_s / _LATENCY_TIME_CONSTANT_S)))
        if self._latency_updated_at == -inf:
            weight = 1.0
        bounded_s = max(latency_s, _MIN_LATENCY_S)
        self.latency_s += weight * (bounded_s - self.latency_s)
        self._latency_updated_at = now


class _ServicePeers:
    """The peers of a service, divided by failure domain.

    Attributes:
        peers: All peers.
        local: Peers in the sender's failure domain.
        remote: Peers in other failure domains.
    """

    __slots__ = ("local", "peers", "remote")

    def __init__(self, peers: Sequence[_Peer], own_domain: str) -> None:
        self.peers = tuple(peers)
        self.local = tuple(
            p for p in peers if p.candidate.failure_domain == own_domain
        )
        self.remote = tuple(
            p for p in peers if p.candidate.failure_domain != own_domain
        )


_ChooseFunction = Callable[
    ["UpstreamSelector", Sequence[_Peer], Sequence[_Peer], int, float, int],
    _Peer | RefusalReason,
]
SELECTION_POLICIES: dict[str, _ChooseFunction] = {}


def selection_policy(name: str) -> Callable[[_ChooseFunction], _ChooseFunction]:
    """Registers the decorated function as a selection policy.

    Args:
        name: Name by which settings select the policy.

    Raises:
        ValueError: When the decorator is applied, if the name is taken.
    """

    def register(choose: _ChooseFunction) -> _ChooseFunction:
        if name in SELECTION_POLICIES:
            raise ValueError(f"selection policy {name!r} is registered twice")
        SELECTION_POLICIES[name] = choose
        return choose

    return register


class UpstreamSelector:
    """Chooses the node that a request is sent to."""

    __slots__ = (
        "_choose",
        "_clock",
        "_own_domain",
        "_peers",
        "_service_peers",
        "rng",
    )

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
            rng: Source of randomness for the choices.
            own_domain: Failure domain of the sender.
            policy: Name of a registered selection policy.

        Raises:
            ValueError: If the policy is unknown.
        """
        if policy not in SELECTION_POLICIES:
            known = ", ".join(sorted(SELECTION_POLICIES))
            raise ValueError(
                f"unknown selection policy {policy!r}; expected one of {known}"
            )
        self._choose = SELECTION_POLICIES[policy]
        self._clock = clock
        self._own_domain = own_domain
        self._service_peers: dict[str, _ServicePeers] = {}
        self._peers: dict[str, _Peer] = {}
        self.rng = rng

    def set_candidates(
        self, service: str, candidates: Sequence[Candidate]
    ) -> None:
        """Replaces the candidates of a service.

        What was observed of nodes that remain is kept. The load on a node that
        joins a known service is increased gradually (slow start).
        """
        previous = self._service_peers.get(service)
        warm_up_started_at = (
            self._clock.monotonic() if previous and previous.peers else -inf
        )
        latency_s = _initial_latency(previous.peers if previous else ())
        peers = [
            self._get_or_create_peer(c, warm_up_started_at, latency_s)
            for c in candidates
        ]
        self._service_peers[service] = _ServicePeers(peers, self._own_domain)
        current_ids = {p.candidate.node_id for p in peers}
        for peer in previous.peers if previous else ():
            if peer.candidate.node_id not in current_ids:
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
            rank: Priority, class * 128 + level.
            exclude: Ids of nodes that must not be chosen.
            body_bytes: Length of the request's body.

        Returns:
            The node's id, or the reason for choosing none: `no_upstream` if
            there is no candidate, `shed` if every candidate is known to refuse
            the rank.
        """
        service_peers = self._service_peers.get(service)
        if service_peers is None:
            return RefusalReason.NO_UPSTREAM
        local: Sequence[_Peer] = service_peers.local
        remote: Sequence[_Peer] = service_peers.remote
        if exclude:
            local = [p for p in local if p.candidate.node_id not in exclude]
            remote = [p for p in remote if p.candidate.node_id not in exclude]
        if not local and not remote:
            return RefusalReason.NO_UPSTREAM
        now = self._clock.monotonic()
        chosen = self._choose(self, local, remote, rank, now, body_bytes)
        if isinstance(chosen, RefusalReason):
            return chosen
        return chosen.candidate.node_id

    def has_candidate(self, service: str, exclude: Collection[str]) -> bool:
        """Returns whether a service has a candidate that is not excluded.

        Args:
            service: Name of the service.
            exclude: Ids of nodes that must not be chosen.
        """
        service_peers = self._service_peers.get(service)
        return service_peers is not None and any(
            peer.candidate.node_id not in exclude
            for peer in service_peers.peers
        )

    def all_refuse(self, service: str, rank: int) -> bool:
        """Returns whether every candidate is known to refuse the rank.

        A request that needs a call to such a service would occupy a slot
        without success. For a small share of the requests the result is False,
        so that they probe the thresholds, as in `choose`.

        Args:
            service: Service that will be called.
            rank: Priority, class * 128 + level.
        """
        if self.may_admit(service, rank):
            return False
        return self.rng.random() >= _PROBE_SHARE

    def may_admit(self, service: str, rank: int) -> bool:
        """Returns whether a candidate is not known to refuse the rank.

        Args:
            service: Service that will be called.
            rank: Priority, class * 128 + level.
        """
        service_peers = self._service_peers.get(service)
        if service_peers is None or not service_peers.peers:
            return True
        now = self._clock.monotonic()
        return any(peer.threshold(now) <= rank for peer in service_peers.peers)

    def record_sent(self, node_id: str) -> None:
        """Records that an attempt was sent.

        `record_answer` or `record_loss` must follow.
        """
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.outstanding += 1

    def record_answer(
        self,
        node_id: str,
        latency_s: float,
        threshold: int,
        in_flight: int,
        queue_ms: float,
        *,
        reason: RefusalReason | None,
        is_server_error: bool = False,
        learned_slots: int | None = None,
    ) -> None:
        """Records an answer and the load report that it carries.

        Args:
            node_id: Node that answered.
            latency_s: Seconds from sending to the answer.
            threshold: Lowest rank that the node admits.
            in_flight: Requests that run on its upstream.
            queue_ms: Milliseconds in which its queue would drain.
            reason: Reason if the answer is a refusal, else None.
            is_server_error: Whether the upstream answered with status 5xx.
            learned_slots: Slots that the node has learned its upstream to
                handle well; None if these are the stated ones.
        """
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.record_answer(
                self._clock.monotonic(),
                latency_s,
                threshold,
                in_flight,
                queue_ms,
                reason=reason,
                is_server_error=is_server_error,
                learned_slots=learned_slots,
            )

    def record_loss(self, node_id: str) -> None:
        """Records that an attempt ended without an answer from the node."""
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.record_loss(self._clock.monotonic())

    def _get_or_create_peer(
        self, candidate: Candidate, warm_up_started_at: float, latency_s: float
    ) -> _Peer:
        peer = self._peers.get(candidate.node_id)
        if peer is None:
            peer = _Peer(candidate, warm_up_started_at, latency_s)
            self._peers[candidate.node_id] = peer
        peer.update_candidate(candidate)
        return peer


@selection_policy("adaptive")
def _choose_adaptive(
    selector: UpstreamSelector,
    local: Sequence[_Peer],
    remote: Sequence[_Peer],
    rank: int,
    now: float,
    body_bytes: int,
) -> _Peer | RefusalReason:
    """Chooses by cost, and prefers the sender's failure domain.

    One peer is chosen in the sender's domain and one in the others, each by
    power of two choices. The remote one is used if the local one costs so much
    more that requests spill over.
    """
    rng = selector.rng
    local_choice = _choose_of_two(rng, local, rank, now)
    remote_choice = _choose_of_two(rng, remote, rank, now)
    if local_choice is None and remote_choice is None:
        return _shed_or_probe(rng, [*local, *remote], rank, now)
    if remote_choice is None or local_choice is None:
        return (local_choice or remote_choice)[0]  # type: ignore[index]
    cost_ratio = local_choice[1] / remote_choice[1]
    start_ratio = (
        _SPILLOVER_START_RATIO + _SPILLOVER_RATIO_PER_KIB * body_bytes / 1024
    )
    if cost_ratio <= start_ratio:
        return local_choice[0]
    spillover_share = (cost_ratio - start_ratio) / _SPILLOVER_RATIO_SPAN
    return (
        remote_choice[0] if rng.random() < spillover_share else local_choice[0]
    )


@selection_policy("random")
def _choose_random(
    selector: UpstreamSelector,
    local: Sequence[_Peer],
    remote: Sequence[_Peer],
    rank: int,
    now: float,
    body_bytes: int,
) -> _Peer | RefusalReason:
    """Chooses uniformly at random, regardless of thresholds and domains."""
    del rank, now, body_bytes
    index = int(selector.rng.random() * (len(local) + len(remote)))
    return local[index] if index < len(local) else remote[index - len(local)]


def _choose_of_two(
    rng: random.Random, peers: Sequence[_Peer], rank: int, now: float
) -> tuple[_Peer, float] | None:
    """Chooses one of two random peers, the cheaper with higher probability.

    Returns:
        The peer and its cost, or None if no peer admits the rank.
    """
    count = len(peers)
    if count < 2:
        if not count or peers[0].threshold(now) > rank:
            return None
        return peers[0], peers[0].cost(now)
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    second += second >= first
    peer_a = peers[first]
    peer_b = peers[second]
    if peer_a.threshold(now) > rank or peer_b.threshold(now) > rank:
        admitting = [p for p in peers if p.threshold(now) <= rank]
        return _choose_of_two(rng, admitting, rank, now)
    cost_a = peer_a.cost(now)
    cost_b = peer_b.cost(now)
    if rng.random() * (1 + (cost_a / cost_b) ** _COST_EXPONENT) < 1:
        return peer_a, cost_a
    return peer_b, cost_b


def _shed_or_probe(
    rng: random.Random, peers: Sequence[_Peer], rank: int, now: float
) -> _Peer | RefusalReason:
    """Refuses all but a small share of the requests.

    That share is sent to the peer with the lowest known threshold as a probe.
    """
    if rng.random() >= _PROBE_SHARE:
        return RefusalReason.SHED
    return min(peers, key=lambda p: p.threshold(now))


def _initial_latency(peers: Sequence[_Peer]) -> float:
    """Returns the latency to assume for a node that joins these peers."""
    if not peers:
        return _DEFAULT_LATENCY_S
    return sum(p.latency_s for p in peers) / len(peers)
