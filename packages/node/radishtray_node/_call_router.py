"""What outgoing calls share: choice of a node, links, keys and retries."""

import random
from collections.abc import Callable, Collection

from radishtray_node._call_result import CallResult
from radishtray_node._incoming_call import IncomingCall
from radishtray_node._metrics import Metrics
from radishtray_node._peer_link import PeerLink, SendFailure, SentAttempt
from radishtray_node._running_request import LEVELS_PER_CLASS
from radishtray_node._timers import TimerWheel
from radishtray_node._unknown_outcomes import UnknownOutcomes
from radishtray_node._upstream_server import UpstreamServer
from radishtray_protocol import RequestKind, wire
from radishtray_state import (
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

_TABLE_PULL_TIMEOUT_S = 0.5
_BLOCKED_CRASHES = 2
_PULL_TARGETS = 3
_SUSPECT_TIME_S = 60.0

LinkFactory = Callable[[str], PeerLink | None]
"""Returns a link to a node id, or None if its address is not known."""


class _TableWait:
    """Calls that wait for a service's key slot table."""

    __slots__ = ("replies_left", "waiters")

    def __init__(self, replies_left: int) -> None:
        self.replies_left = replies_left
        self.waiters: list[tuple[Callable[[], bool], Callable[[], None]]] = []


class CallRouter:
    """Sends calls to nodes beside upstreams.

    Attributes:
        clock: Time source.
        timers: Timers of deadlines and retries.
        selector: Choice of a node.
        keys: Routing of at-most-once keys.
        retry_policy: Decides about further attempts.
        is_retry_bound: Whether retries spend the request's budget.
        metrics: Counters of this node.
        unknown: Reports of unknown outcomes.
        generation: Generation of the configuration in force.
    """

    __slots__ = (
        "_candidates",
        "_first_attempts",
        "_link_factory",
        "_links",
        "_local_calls",
        "_node_id",
        "_rng",
        "_server",
        "_suspect_nodes",
        "_suspects",
        "_table_waits",
        "_throttle",
        "clock",
        "generation",
        "is_retry_bound",
        "keys",
        "metrics",
        "retry_policy",
        "selector",
        "timers",
        "unknown",
    )

    def __init__(
        self,
        node_id: str,
        clock: Clock,
        rng: random.Random,
        timers: TimerWheel,
        selector: UpstreamSelector,
        keys: KeyRouter,
        suspects: CrashSuspects | CrashTally,
        server: UpstreamServer,
        metrics: Metrics,
        unknown: UnknownOutcomes,
        link_factory: LinkFactory,
        is_retry_bound: bool = True,
        suspect_nodes: Callable[[str], Collection[str]] | None = None,
    ) -> None:
        """Starts without links.

        Args:
            node_id: This node; calls to it do not leave the process.
            clock: Time source.
            rng: Source of jitter.
            timers: Timers of deadlines and retries.
            selector: Choice of a node.
            keys: Routing of at-most-once keys.
            suspects: Crash suspects known to this node.
            server: Serves calls that stay at this node.
            metrics: Counters of this node.
            unknown: Receives reports of unknown outcomes.
            link_factory: Creates the link to a node.
            is_retry_bound: Whether retries spend the request's budget; without
                it each hop retries three times, as a baseline.
            suspect_nodes: Returns the live nodes of a service, also those
                whose upstream is down; by default the candidates.
        """
        self._node_id = node_id
        self.clock = clock
        self.timers = timers
        self.selector = selector
        self.keys = keys
        self.metrics = metrics
        self.unknown = unknown
        self.generation = 0
        self._throttle = RetryThrottle()
        self.is_retry_bound = is_retry_bound
        self.retry_policy: RetryPolicy | PerHopRetryPolicy = (
            RetryPolicy(rng, self._throttle)
            if is_retry_bound
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
        self._candidates: dict[str, tuple[str, ...]] = {}
        self._local_calls: dict[SentAttempt, IncomingCall] = {}
        self._table_waits: dict[str, _TableWait] = {}
        self._first_attempts = metrics.first_attempts

    def set_candidates(self, service: str, nodes: list[Candidate]) -> None:
        """Replaces the nodes that serve a service."""
        self._candidates[service] = tuple(node.node_id for node in nodes)
        self.selector.set_candidates(service, nodes)

    def count_first_attempt(self) -> None:
        """Counts the first attempt of a call."""
        self._throttle.count_first_attempt()
        self._first_attempts.inc()

    def choose(
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
            rank: Importance of the request.
            exclude: Nodes that were tried.
            fingerprint: Digest of the call's content.
            without_upstream: Nodes that answered that their upstream is down.

        Returns:
            The node's id, or why there is none.
        """
        crashes = self._suspects.crashes(fingerprint)
        if crashes >= _BLOCKED_CRASHES:
            return RefusalReason.CRASH_SUSPECT
        if not crashes:
            return self.selector.choose(service, rank, exclude)
        # All senders ask the same nodes in the same order, so that a resend
        # meets the node that knows of the second crash. A node without an
        # upstream may be that one, so it is asked as well.
        nodes = self._suspect_nodes(service)
        for host in suspect_hosts(fingerprint, nodes):
            if host not in without_upstream:
                return host
        return RefusalReason.NO_UPSTREAM

    def refuses_calls(self, kind: RequestKind, context: wire.Context) -> bool:
        """Returns whether a call of a kind is known to be refused.

        Args:
            kind: Kind whose upstream makes the calls.
            context: Context of the request, which the calls inherit.
        """
        if not kind.calls:
            return False
        rank = context.priority_class * LEVELS_PER_CLASS + context.level
        return any(
            self.selector.refuses(called.partition("/")[0], rank)
            for called in kind.calls
        )

    def crashes(self, fingerprint: int) -> int:
        """Returns how many crashes are known of a request's content."""
        return self._suspects.crashes(fingerprint)

    def note_crash(self, fingerprint: int) -> None:
        """Remembers that an upstream ended while it ran a content."""
        self._suspects.note_crash(fingerprint)

    def note_answered(self, fingerprint: int) -> None:
        """Clears a content that an upstream has answered."""
        self._suspects.merge([CrashSuspect(fingerprint, 0, _SUSPECT_TIME_S)])

    def expected_s(self, kind: RequestKind) -> float:
        """Returns the expected duration of an attempt, in seconds."""
        del kind  # Retries are bounded by their deadline at the receiver.
        return 0.0

    def send(self, node_id: str, attempt: SentAttempt) -> None:
        """Sends an attempt to a node, which may be this one."""
        if node_id == self._node_id:
            self._serve_here(attempt)
            return
        link = self._link(node_id)
        if link is None:
            attempt.is_settled = True
            attempt.on_failure(SendFailure.NOT_RUN)
        else:
            link.send(attempt)

    def _serve_here(self, attempt: SentAttempt) -> None:
        attempt.is_handed_over = True

        def done(result: CallResult, retries: int) -> None:
            self._local_calls.pop(attempt, None)
            if not attempt.is_settled:
                attempt.is_settled = True
                answer = self._server.answer_frame(
                    0, result, retries, attempt.call.kind
                )
                attempt.on_answer(answer)

        incoming = self._server.serve(attempt.call, done)
        if incoming.is_unanswered:
            self._local_calls[attempt] = incoming

    def cancel(self, node_id: str, attempt: SentAttempt) -> None:
        """Asks the receiver of an attempt to stop it."""
        if node_id == self._node_id:
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
        """Asks nodes of a service for its key slot table.

        Args:
            service: Name of the service.
            done: Called once the wait is over.
            is_resolved: Whether the table that is known now is enough. A node
                may answer with an older table than another one, so the wait
                goes on until all have answered or a timeout.
        """
        wait = self._table_waits.get(service)
        if wait is not None:
            wait.waiters.append((is_resolved, done))
            return
        nodes = self._candidates.get(service, ())
        targets = self._rng.sample(nodes, min(_PULL_TARGETS, len(nodes)))
        wait = self._table_waits[service] = _TableWait(len(targets))
        wait.waiters.append((is_resolved, done))
        self.timers.after(
            _TABLE_PULL_TIMEOUT_S, lambda: self._end_table_wait(service, wait)
        )
        frame = wire.Frame(
            slot_table_pull=wire.SlotTablePull(service_name=service)
        )
        for node_id in targets:
            self.send_control(node_id, frame)

    def slot_table_received(self, service: str, is_reply: bool) -> None:
        """Continues the calls that a received table is enough for.

        Args:
            service: Name of the service.
            is_reply: Whether a node answered; else it sent the table unasked.
        """
        wait = self._table_waits.get(service)
        if wait is None:
            return
        wait.replies_left -= is_reply
        if wait.replies_left <= 0:
            self._end_table_wait(service, wait)
            return
        waiters, wait.waiters = wait.waiters, []
        for is_resolved, done in waiters:
            if is_resolved():
                done()
            else:
                wait.waiters.append((is_resolved, done))

    def _end_table_wait(self, service: str, wait: _TableWait) -> None:
        if self._table_waits.get(service) is wait:
            del self._table_waits[service]
            for _, done in wait.waiters:
                done()

    def send_control(self, node_id: str, frame: wire.Frame) -> bool:
        """Sends a frame that needs no settlement.

        Returns:
            False if the node has no known address.
        """
        link = self._link(node_id)
        if link is None:
            return False
        link.send_control(frame)
        return True

    def _link(self, node_id: str) -> PeerLink | None:
        link = self._links.get(node_id)
        if link is None and node_id != self._node_id:
            link = self._link_factory(node_id)
            if link is not None:
                self._links[node_id] = link
        return link

    def forget(self, node_id: str) -> None:
        """Closes the link to a node that has left or moved."""
        link = self._links.pop(node_id, None)
        if link is not None:
            link.close()

    @property
    def outstanding(self) -> int:
        """Attempts at other nodes that are not settled."""
        return sum(link.outstanding for link in self._links.values())

    def check_silence(self) -> None:
        """Pings every link; call twice a second."""
        for link in list(self._links.values()):
            link.check_silence()

    def give_up_attempts(self) -> None:
        """Ends all attempts at other nodes as unknown and reconnects."""
        for link in list(self._links.values()):
            link.give_up_attempts()

    def close(self) -> None:
        """Closes all links."""
        for link in self._links.values():
            link.close()
