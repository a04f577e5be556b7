"""Routing of outgoing calls: choice of a node, links, keys and retries."""

import random
from collections.abc import Callable, Collection

from radishtray_node._call_result import CallResult
from radishtray_node._incoming_call import IncomingCall
from radishtray_node._metrics import Metrics
from radishtray_node._peer_link import PeerLink
from radishtray_node._sent_attempt import SendFailure, SentAttempt
from radishtray_node._timers import TimerWheel
from radishtray_node._unknown_outcomes import UnknownOutcomes
from radishtray_node._upstream_server import UpstreamServer
from radishtray_protocol import RequestKind, wire
from radishtray_state import (
    LEVELS_PER_CLASS,
    Candidate,
    Clock,
    CrashSuspect,
    CrashSuspects,
    CrashTally,
    KeyRouter,
    PerHopRetryPolicy,
    RefusalReason,
    RetryPolicy,
    RetryThrottle,
    UpstreamSelector,
    suspect_hosts,
)

_SLOT_TABLE_TIMEOUT_S = 0.5
# Requests whose content has crashed this many upstreams are refused.
_BLOCKING_CRASH_COUNT = 2
_MAX_PULLED_NODES = 3
_SUSPECT_TTL_S = 60.0

LinkFactory = Callable[[str], PeerLink | None]
"""Creates the link to a node, or returns None if its address is unknown."""


class _SlotTableWait:
    """Calls that wait for the key slot table of a service.

    Attributes:
        replies_left: Number of asked nodes that have not replied.
        waiters: For each call, a check whether the table known now is enough,
            and the callback that continues the call.
    """

    __slots__ = ("replies_left", "waiters")

    def __init__(self, replies_left: int) -> None:
        self.replies_left = replies_left
        self.waiters: list[tuple[Callable[[], bool], Callable[[], None]]] = []


class CallRouter:
    """Sends outgoing calls to the nodes beside the called upstreams.

    Attributes:
        node_id: Id of this node.
        clock: Time source.
        timers: Timers of deadlines and retries.
        selector: Chooses the node for an attempt.
        key_router: Finds the owners of idempotency keys.
        retry_policy: Decides whether a failed call is tried again.
        uses_retry_budget: Whether retries are taken from the request's budget.
        metrics: Metrics of this node.
        unknown_outcomes: Reports of requests with unknown outcome.
        generation: Generation of the configuration in force.
    """

    __slots__ = (
        "_candidates",
        "_first_attempt_counter",
        "_gone_nodes",
        "_link_factory",
        "_links",
        "_local_calls",
        "_rng",
        "_server",
        "_slot_table_waits",
        "_suspect_nodes",
        "_suspects",
        "_throttle",
        "clock",
        "generation",
        "key_router",
        "metrics",
        "node_id",
        "retry_policy",
        "selector",
        "timers",
        "unknown_outcomes",
        "uses_retry_budget",
    )

    def __init__(
        self,
        node_id: str,
        clock: Clock,
        rng: random.Random,
        timers: TimerWheel,
        selector: UpstreamSelector,
        key_router: KeyRouter,
        suspects: CrashSuspects | CrashTally,
        server: UpstreamServer,
        metrics: Metrics,
        unknown_outcomes: UnknownOutcomes,
        link_factory: LinkFactory,
        uses_retry_budget: bool = True,
        suspect_nodes: Callable[[str], Collection[str]] | None = None,
    ) -> None:
        """Creates a router without links.

        Args:
            node_id: Id of this node; calls to it do not leave the process.
            clock: Time source.
            rng: Source of randomness, for retry jitter and for the choice of
                nodes that are asked for a slot table.
            timers: Timers of deadlines and retries.
            selector: Chooses the node for an attempt.
            key_router: Finds the owners of idempotency keys.
            suspects: Fingerprints of requests that may crash upstreams.
            server: Runs calls on the upstream beside this node.
            metrics: Metrics of this node.
            unknown_outcomes: Receives reports of unknown outcomes.
            link_factory: Creates the link to a node.
            uses_retry_budget: Whether retries are taken from the request's
                budget. If not, each hop retries up to three times, which is
                the baseline for comparisons.
            suspect_nodes: Returns the live nodes of a service, including those
                whose upstream is down; by default the candidates.
        """
        self.node_id = node_id
        self.clock = clock
        self.timers = timers
        self.selector = selector
        self.key_router = key_router
        self.metrics = metrics
        self.unknown_outcomes = unknown_outcomes
        self.generation = 0
        self._throttle = RetryThrottle()
        self.uses_retry_budget = uses_retry_budget
        self.retry_policy: RetryPolicy | PerHopRetryPolicy = (
            RetryPolicy(rng, self._throttle)
            if uses_retry_budget
            else PerHopRetryPolicy()
        )
        self._rng = rng
        self._suspect_nodes = suspect_nodes or (
            lambda service: self._candidates.get(service, ())
        )
        self._suspects = suspects
        self._server = server
        self._link_factory = link_factory
        self._links: dict[str, PeerLink] = {}
        self._gone_nodes: set[str] = set()
        self._candidates: dict[str, tuple[str, ...]] = {}
        self._local_calls: dict[SentAttempt, IncomingCall] = {}
        self._slot_table_waits: dict[str, _SlotTableWait] = {}
        self._first_attempt_counter = metrics.first_attempts

    def set_candidates(self, service: str, nodes: list[Candidate]) -> None:
        """Replaces the candidate nodes of a service."""
        self._candidates[service] = tuple(node.node_id for node in nodes)
        self.selector.set_candidates(service, nodes)

    def count_first_attempt(self) -> None:
        """Counts a call's first attempt in the retry throttle and metrics."""
        self._throttle.count_first_attempt()
        self._first_attempt_counter.inc()

    def choose_node(
        self,
        service: str,
        rank: int,
        exclude: Collection[str],
        fingerprint: int,
        without_upstream: Collection[str] = (),
    ) -> str | RefusalReason:
        """Chooses the node for one attempt.

        Args:
            service: Name of the service.
            rank: Priority of the request: class and level in one number.
            exclude: Nodes that were tried before.
            fingerprint: Digest of the call's content.
            without_upstream: Nodes that answered that their upstream is down.

        Returns:
            The id of the node, or why there is none.
        """
        crashes = self._suspects.crashes(fingerprint)
        if crashes >= _BLOCKING_CRASH_COUNT:
            return RefusalReason.CRASH_SUSPECT
        if not crashes:
            return self.selector.choose(service, rank, exclude)
        # All senders try the same nodes in the same order for a suspect, so
        # that a resend reaches the node that recorded the second crash. That
        # node may have lost its upstream, so such nodes are tried as well.
        nodes = self._suspect_nodes(service)
        for host in suspect_hosts(fingerprint, nodes):
            if host not in without_upstream:
                return host
        return RefusalReason.NO_UPSTREAM

    def would_calls_be_refused(
        self, kind: RequestKind, context: wire.Context
    ) -> bool:
        """Returns whether a call made for a request is known to be refused.

        Args:
            kind: Kind of the request; lists the calls that its upstream makes.
            context: Context of the request, which those calls inherit.
        """
        if not kind.calls:
            return False
        rank = context.priority_class * LEVELS_PER_CLASS + context.level
        return any(
            self.selector.all_refuse(called.partition("/")[0], rank)
            for called in kind.calls
        )

    def crash_count(self, fingerprint: int) -> int:
        """Returns the number of known crashes for a request content."""
        return self._suspects.crashes(fingerprint)

    def note_crash(self, fingerprint: int) -> None:
        """Records that an upstream crashed while it ran this content."""
        self._suspects.record_crash(fingerprint)

    def note_answered(self, fingerprint: int) -> None:
        """Clears the crash count of a content that an upstream answered."""
        self._suspects.merge([CrashSuspect(fingerprint, 0, _SUSPECT_TTL_S)])

    def expected_duration_s(self, kind: RequestKind) -> float:
        """Returns the expected duration of an attempt, in seconds.

        This is always 0: the receiver applies the deadline to a retry.
        """
        del kind
        return 0.0

    def send_attempt(self, node_id: str, attempt: SentAttempt) -> None:
        """Sends an attempt to another node, or serves it at this one."""
        if node_id == self.node_id:
            self._serve_locally(attempt)
            return
        link = self._get_or_open_link(node_id)
        if link is None:
            attempt.is_settled = True
            attempt.on_failure(SendFailure.NOT_RUN)
        else:
            link.send(attempt)

    def _serve_locally(self, attempt: SentAttempt) -> None:
        attempt.is_handed_over = True

        def done(result: CallResult, retries: int) -> None:
            self._local_calls.pop(attempt, None)
            if not attempt.is_settled:
                attempt.is_settled = True
                answer = self._server.build_answer(
                    0, result, retries, attempt.call.kind
                )
                attempt.on_answer(answer)

        incoming = self._server.serve(attempt.call, done)
        if incoming.is_unanswered:
            self._local_calls[attempt] = incoming

    def cancel_attempt(self, node_id: str, attempt: SentAttempt) -> None:
        """Asks the node that received an attempt to cancel it."""
        if node_id == self.node_id:
            incoming = self._local_calls.get(attempt)
            if incoming is not None:
                incoming.cancel()
            return
        link = self._links.get(node_id)
        if link is not None:
            link.cancel(attempt)

    def refresh_slot_table(
        self,
        service: str,
        done: Callable[[], None],
        is_resolved: Callable[[], bool] = lambda: True,
    ) -> None:
        """Asks up to `_MAX_PULLED_NODES` nodes for the key slot table.

        Args:
            service: Name of the service.
            done: Called once when the wait is over.
            is_resolved: Returns whether the table known now is enough. One node
                may reply with an older table than another, so the wait lasts
                until this returns true, all nodes have replied or the timeout
                has passed.
        """
        wait = self._slot_table_waits.get(service)
        if wait is not None:
            wait.waiters.append((is_resolved, done))
            return
        nodes = self._candidates.get(service, ())
        asked_nodes = self._rng.sample(
            nodes, min(_MAX_PULLED_NODES, len(nodes))
        )
        wait = self._slot_table_waits[service] = _SlotTableWait(
            len(asked_nodes)
        )
        wait.waiters.append((is_resolved, done))
        self.timers.call_later(
            _SLOT_TABLE_TIMEOUT_S,
            lambda: self._end_slot_table_wait(service, wait),
        )
        frame = wire.Frame(
            slot_table_pull=wire.SlotTablePull(service_name=service)
        )
        for node_id in asked_nodes:
            self.send_control(node_id, frame)

    def slot_table_received(self, service: str, is_reply: bool) -> None:
        """Continues the waiting calls for which a received table is enough.

        Args:
            service: Name of the service.
            is_reply: Whether the table is a reply; otherwise a node sent it
                without being asked.
        """
        wait = self._slot_table_waits.get(service)
        if wait is None:
            return
        wait.replies_left -= is_reply
        if wait.replies_left <= 0:
            self._end_slot_table_wait(service, wait)
            return
        waiters, wait.waiters = wait.waiters, []
        for is_resolved, done in waiters:
            if is_resolved():
                done()
            else:
                wait.waiters.append((is_resolved, done))

    def _end_slot_table_wait(self, service: str, wait: _SlotTableWait) -> None:
        if self._slot_table_waits.get(service) is wait:
            del self._slot_table_waits[service]
            for _, done in wait.waiters:
                done()

    def send_control(self, node_id: str, frame: wire.Frame) -> bool:
        """Sends a control frame, whose delivery is not tracked.

        Returns:
            False if the address of the node is unknown.
        """
        link = self._get_or_open_link(node_id)
        if link is None:
            return False
        link.send_control(frame)
        return True

    def _get_or_open_link(self, node_id: str) -> PeerLink | None:
        link = self._links.get(node_id)
        if link is None and node_id != self.node_id:
            link = self._link_factory(node_id)
            if link is not None:
                self._links[node_id] = link
        return link

    def release_link(self, node_id: str) -> None:
        """Closes the link to a node that is believed gone.

        The node may be alive. A link with attempts in flight is therefore
        reset instead, which settles them, and closed afterwards.
        """
        link = self._links.get(node_id)
        if link is None:
            return
        if link.is_idle:
            self._close_link(node_id)
        else:
            self._gone_nodes.add(node_id)
            link.reset()

    def abandon_link(self, node_id: str) -> None:
        """Closes the link to a former address; its attempts end as unknown."""
        link = self._remove_link(node_id)
        if link is not None:
            link.give_up_attempts()
            link.close()

    def _remove_link(self, node_id: str) -> PeerLink | None:
        self._gone_nodes.discard(node_id)
        return self._links.pop(node_id, None)

    def _close_link(self, node_id: str) -> None:
        link = self._remove_link(node_id)
        if link is not None:
            link.close()

    @property
    def outstanding_attempts(self) -> int:
        """Number of attempts at other nodes whose result is pending."""
        return sum(link.outstanding for link in self._links.values())

    def check_liveness(self) -> None:
        """Checks the peer of each link; to be called every 0.25 s.

        Closes the links to nodes that are believed gone, once they are idle.
        """
        for link in list(self._links.values()):
            link.check_liveness()
        for node_id in list(self._gone_nodes):
            if self._links[node_id].is_idle:
                self._close_link(node_id)

    def reset_links(self) -> None:
        """Reconnects all links; call it after a change of incarnation."""
        for link in list(self._links.values()):
            link.reset()

    def close(self) -> None:
        """Closes all links."""
        for link in self._links.values():
            link.close()
