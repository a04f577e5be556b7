"""One forwarded request and its attempts at upstreams.

Retries are bounded per request by `max_attempts` of the route, and per service
by the retry budget that all nodes share.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from radishtray_node._call_result import CallResult
from radishtray_node._organisation_gate import ANONYMOUS, CallerIdentity
from radishtray_node._sent_attempt import SendFailure, SentAttempt
from radishtray_node._timers import Timer
from radishtray_overload import WaitingRequest
from radishtray_protocol import Route, wire
from radishtray_state import LEVELS_PER_CLASS, RefusalReason
from radishtray_transport import find_header

if TYPE_CHECKING:
    from radishtray_node._route_entry import RouteEntry

# Subtracted from the deadline that is passed on, so that the result from a node
# in another failure domain (about 5 ms away) arrives before this node's own
# deadline.
_DEADLINE_MARGIN_S = 0.015
# Refusals by nodes that did not send the request to their upstream, after which
# the request is refused. Asking more nodes would only delay the answer.
_MAX_REFUSALS = 3
# In a rolling restart, many nodes may drain before gossip says so. They answer
# at once, so more of them are asked.
_MAX_IMMEDIATE_REFUSALS = 8
# Sends over a new connection to a node that never saw the attempt.
_MAX_RESENDS = 2
_MS_PER_S = 1000

# Refusals of a request that had reached an upstream.
_REACHED_UPSTREAM = frozenset(
    (RefusalReason.UPSTREAM_BUSY, RefusalReason.UPSTREAM_REPLACED)
)
# Refusals caused by one node, which say nothing about the load of others.
_NODE_SPECIFIC = frozenset(
    (
        RefusalReason.DRAINING,
        RefusalReason.NO_UPSTREAM,
        RefusalReason.UPSTREAM_REFUSED,
        RefusalReason.UPSTREAM_REPLACED,
        RefusalReason.NEVER_ARRIVED,
    )
)
# Those of nodes that have received the request.
_IMMEDIATE = frozenset((RefusalReason.DRAINING, RefusalReason.NO_UPSTREAM))
# Reasons after which no further attempt is made.
_NOT_RETRYABLE = frozenset(
    (
        RefusalReason.CRASH_SUSPECT,
        RefusalReason.DEADLINE_QUEUED,
        RefusalReason.CANCELLED_QUEUED,
        RefusalReason.CANCELLED_RUNNING,
        RefusalReason.DEADLINE_RUNNING,
        RefusalReason.UNAUTHENTICATED,
    )
)


class RoutedRequest:
    """Content and context of a request that is sent to an upstream.

    Attributes:
        request_id: Id that the caller assigned.
        method: HTTP method.
        path: Path with the query, as received.
        headers: Names and values to forward, alternating.
        body: The whole body.
        priority_class: Priority class from 0 to 3.
        level: Level within the priority class.
        has_parent: Whether the request is made for a running request.
        is_repeat: Whether the parent may have been run before, so that this
            request counts as a repeat.
        identity: Whom the request belongs to.
        fingerprint: Digest of the request's content.
    """

    __slots__ = (
        "body",
        "fingerprint",
        "has_parent",
        "headers",
        "identity",
        "is_repeat",
        "level",
        "method",
        "path",
        "priority_class",
        "request_id",
    )

    def __init__(
        self,
        request_id: bytes,
        method: str,
        path: str,
        headers: list[str],
        body: bytes,
        fingerprint: int,
        priority_class: int,
        level: int,
        *,
        has_parent: bool = False,
        is_repeat: bool = False,
        identity: CallerIdentity = ANONYMOUS,
    ) -> None:
        """Stores the parts of a request."""
        self.identity = identity
        self.priority_class = priority_class
        self.has_parent = has_parent
        self.is_repeat = is_repeat
        self.request_id = request_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.level = level
        self.fingerprint = fingerprint


class RoutedCall:
    """Sends one request until an upstream answers or no retry is allowed.

    A retry after a refusal by a node that did not hand the request to its
    upstream is free. Any other retry takes one repeat from the service's
    retry budget, and `max_attempts` of the route bounds how often one
    request may reach upstreams. Once an attempt may have run, a request that
    is not repeatable ends with an unknown outcome.
    """

    __slots__ = (
        "_attempt",
        "_attempt_sent_s",
        "_deadline_timer",
        "_entry",
        "_excluded_nodes",
        "_is_done",
        "_may_have_run",
        "_may_wait",
        "_node_id",
        "_on_result",
        "_refusals",
        "_request",
        "_resends",
        "_server_error_answer",
        "_upstream_arrivals",
        "_version",
        "_waiting",
        "deadline_s",
        "route",
        "service",
    )

    def __init__(
        self,
        entry: "RouteEntry",
        route: Route,
        service: str,
        request: RoutedRequest,
        deadline_s: float,
        version: int,
        on_result: Callable[[CallResult], None],
    ) -> None:
        """Prepares a call; `start` sends it.

        Args:
            entry: The handler that accepted the request.
            route: Route of the request.
            service: Service that the request is sent to.
            request: The request to send.
            deadline_s: Monotonic time by which the caller must be answered.
            version: Version of the configuration that the route is part of.
            on_result: Called once with the result, unless the call is
                cancelled.
        """
        self._entry = entry
        self.route = route
        self.service = service
        self._request = request
        self.deadline_s = deadline_s
        self._version = version
        self._on_result = on_result
        self._deadline_timer: Timer | None = None
        self._attempt: SentAttempt | None = None
        self._node_id = ""
        self._attempt_sent_s = 0.0
        self._upstream_arrivals = 0
        self._refusals = 0
        self._resends = 0
        self._excluded_nodes: tuple[str, ...] = ()
        self._may_have_run = False
        self._server_error_answer: CallResult | None = None
        self._is_done = False
        self._may_wait = not request.has_parent
        self._waiting: WaitingRequest | None = None

    @property
    def rank(self) -> int:
        """Priority class and level in one number; higher is more important."""
        request = self._request
        return request.priority_class * LEVELS_PER_CLASS + request.level

    def lower_level(self, level: int) -> None:
        """Lowers the level of a request that has not been sent."""
        self._request.level = min(self._request.level, level)

    def start(self) -> None:
        """Sends the first attempt, or sheds the request."""
        entry = self._entry
        left_s = self.deadline_s - entry.router.clock.monotonic()
        if left_s <= 0:
            self._finish(CallResult.refused(RefusalReason.DEADLINE_EXPECTED))
            return
        self._deadline_timer = entry.router.timers.call_later(
            left_s, self._on_deadline
        )
        entry.arrival_budget.count_request(self.service)
        if self._request.is_repeat:
            entry.arrival_budget.count_inherited_repeat(self.service)
        if entry.should_shed(self.route, self._request, self.rank):
            self._wait_or_refuse()
            return
        self._choose_and_send()

    def _wait_or_refuse(self) -> None:
        """Has a first request wait for the thresholds to fall, or sheds it.

        A request waits once at most, before its first attempt.
        """
        queue = self._entry.decisions.queue
        if queue is not None and self._may_wait:
            self._may_wait = False
            self._waiting = queue.offer(
                self.route.name,
                self.rank,
                len(self._request.body),
                self.deadline_s,
                self.route.target_latency_s,
                self._is_admitted,
                self._choose_and_send,
                self._shed,
            )
            if self._waiting is not None:
                return
        self._shed()

    def _is_admitted(self) -> bool:
        """Returns whether the known thresholds admit the request."""
        chains = self._entry.chains
        selector = self._entry.router.selector
        return self.rank >= chains.received_chain_threshold(
            self.route.name
        ) and selector.may_admit(self.service, self.rank)

    def _shed(self) -> None:
        self._entry.router.metrics.count_refusal(RefusalReason.SHED)
        self._finish_refused(RefusalReason.SHED)

    def _choose_and_send(self, preferred: str | None = None) -> None:
        """Sends an attempt, to the preferred node if there is one."""
        router = self._entry.router
        blocklist = self._entry.crash_blocklist
        is_blocked = blocklist.is_blocked(self._request.fingerprint)
        if is_blocked and not blocklist.claim_probe(self._request.fingerprint):
            self._finish_refused(RefusalReason.CRASH_SUSPECT)
            return
        refusal = self._entry.gate.refusal_at_send(
            self._request.identity.key_digest
        )
        if refusal is not None:
            router.metrics.count_refusal(refusal)
            self._finish_refused(refusal)
            return
        chosen = preferred or self._choose_node()
        if chosen is RefusalReason.SHED and not self._excluded_nodes:
            self._wait_or_refuse()
            return
        if isinstance(chosen, RefusalReason):
            router.metrics.count_refusal(chosen)
            self._finish_refused(chosen)
            return
        self._node_id = chosen
        self._may_wait = False
        self._attempt_sent_s = router.clock.monotonic()
        attempt = SentAttempt(
            self._build_call(is_blocked), self._on_answer, self._on_failure
        )
        self._attempt = attempt
        router.selector.record_sent(chosen)
        router.send_attempt(chosen, attempt)

    def _choose_node(self) -> str | RefusalReason:
        """Chooses the node for the next attempt.

        A request that may crash its upstream is sent to another node if there
        is one: should its crash end the node beside the upstream as well, this
        node is left to count it.
        """
        router = self._entry.router
        body_bytes = len(self._request.body)
        if self._entry.crash_blocklist.is_suspect(self._request.fingerprint):
            chosen = router.selector.choose(
                self.service,
                self.rank,
                (*self._excluded_nodes, router.node_id),
                body_bytes,
            )
            if not isinstance(chosen, RefusalReason):
                return chosen
        return router.selector.choose(
            self.service, self.rank, self._excluded_nodes, body_bytes
        )

    def _build_call(self, is_crash_probe: bool) -> wire.Call:
        request = self._request
        left_s = self.deadline_s - self._attempt_sent_s - _DEADLINE_MARGIN_S
        return wire.Call(
            attempt_id=0,
            service_name=self.service,
            kind=self.route.name,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            context=wire.Context(
                request_id=request.request_id,
                priority_class=request.priority_class,
                level=request.level,
                deadline_ms=max(0, int(left_s * _MS_PER_S)),
                retry_budget=0,
                depth=0,
                fingerprint=request.fingerprint,
                crash_count=0,
                organisation=request.identity.organisation or None,
                key_digest=request.identity.key_digest or None,
            ),
            generation=self._version,
            repeatable=self.route.is_repeatable,
            is_repeat=request.is_repeat or self._upstream_arrivals > 0 or None,
            is_crash_probe=is_crash_probe or None,
        )

    def _on_answer(self, answer: wire.Answer) -> None:
        self._attempt = None
        router = self._entry.router
        result = self._verified_result(answer)
        self._entry.chains.record_thresholds(
            self.route.name, answer.threshold, answer.chain_threshold or 0
        )
        router.selector.record_answer(
            self._node_id,
            router.clock.monotonic() - self._attempt_sent_s,
            answer.threshold,
            answer.in_flight,
            answer.queue_ms,
            reason=result.refusal,
            is_server_error=result.is_server_error,
            learned_slots=answer.learned_slots,
        )
        if self._is_done:
            return
        reason = result.refusal
        self._entry.rejections.record(
            self.service,
            self._node_id,
            is_rejected=reason is RefusalReason.UPSTREAM_BUSY,
        )
        if reason is None:
            if not result.is_server_error and not self._request.has_parent:
                self._entry.decisions.record_latency(
                    self.route, router.clock.monotonic() - self._attempt_sent_s
                )
            if (
                result.is_server_error
                # The node beside the upstream has repeated the failed call as
                # far as allowed; running its parent again makes all calls anew.
                and not result.call_failed
                and self._count_arrival_and_claim_repeat()
            ):
                self._server_error_answer = result
                router.metrics.retries.labels("upstream_lost").inc()
                self._retry_on_another_node()
                return
            self._finish(result)
        elif reason.is_not_run:
            self._handle_not_run(reason)
        else:
            self._handle_unknown_outcome(reason)

    def _verified_result(self, answer: wire.Answer) -> CallResult:
        """Returns the result of an answer.

        An answer that states the id of another request is counted and logged;
        its result is an unknown outcome.
        """
        entry = self._entry
        result = CallResult.from_wire(answer)
        request_id = self._request.request_id
        stated_id = find_header(result.headers, entry.request_id_header)
        if stated_id is None or (
            stated_id.strip() == request_id.decode("latin-1").strip()
        ):
            return result
        entry.router.metrics.mismatched_answers.inc()
        entry.log.log_mismatched_answer(
            request_id,
            stated_id,
            self.route.name,
            self._node_id,
            answer.attempt_id,
        )
        return CallResult.refused(RefusalReason.NODE_LOST)

    def _on_failure(self, failure: SendFailure) -> None:
        self._attempt = None
        self._entry.router.selector.record_loss(self._node_id)
        if self._is_done:
            return
        if failure is SendFailure.UNKNOWN:
            self._handle_unknown_outcome(RefusalReason.NODE_LOST)
        elif failure is SendFailure.NEVER_SEEN and self._resends < _MAX_RESENDS:
            self._resends += 1
            reason = RefusalReason.NEVER_ARRIVED
            self._entry.router.metrics.retries.labels(reason.value).inc()
            self._choose_and_send(self._node_id)
        else:
            self._handle_not_run(RefusalReason.NEVER_ARRIVED)

    def _handle_not_run(self, reason: RefusalReason) -> None:
        """Retries or finishes after an attempt that has not run."""
        if reason in _NOT_RETRYABLE:
            self._finish_refused(reason)
            return
        if reason in _REACHED_UPSTREAM:
            self._upstream_arrivals += 1
            may_retry = (
                reason is not RefusalReason.UPSTREAM_BUSY
                or self._may_another_upstream_serve()
            ) and self._claim_repeat()
        else:
            self._refusals += 1
            limit = (
                _MAX_IMMEDIATE_REFUSALS
                if reason in _IMMEDIATE
                else _MAX_REFUSALS
            )
            may_retry = self._refusals < limit and (
                self._refusals == 1 or reason in _NODE_SPECIFIC
            )
        if may_retry:
            self._entry.router.metrics.retries.labels(reason.value).inc()
            self._retry_on_another_node()
        else:
            self._finish_refused(reason)

    def _may_another_upstream_serve(self) -> bool:
        """Returns whether to try another upstream after a rejection."""
        exclude = (*self._excluded_nodes, self._node_id)
        entry = self._entry
        return entry.router.selector.has_candidate(
            self.service, exclude
        ) and not entry.rejections.is_widespread(self.service, self._node_id)

    def _handle_unknown_outcome(self, reason: RefusalReason) -> None:
        """Retries or finishes after an attempt that may have run."""
        self._may_have_run = True
        if (
            reason not in _NOT_RETRYABLE
            and self._count_arrival_and_claim_repeat()
        ):
            self._entry.router.metrics.retries.labels(reason.value).inc()
            self._retry_on_another_node()
        else:
            self._finish(CallResult.refused(reason))

    def _count_arrival_and_claim_repeat(self) -> bool:
        """Counts an attempt that may have run and claims a repeat.

        Returns:
            Whether the request may be sent again.
        """
        self._upstream_arrivals += 1
        return self.route.is_repeatable and self._claim_repeat()

    def _claim_repeat(self) -> bool:
        """Takes one repeat from the retry budget, if a retry is allowed."""
        left_s = self.deadline_s - self._entry.router.clock.monotonic()
        return (
            self._upstream_arrivals < self.route.max_attempts
            and left_s > _DEADLINE_MARGIN_S
            and self._entry.arrival_budget.try_take(self.service)
        )

    def _retry_on_another_node(self) -> None:
        self._excluded_nodes = (*self._excluded_nodes, self._node_id)
        self._choose_and_send()

    def _finish_refused(self, reason: RefusalReason) -> None:
        """Finishes as not run, unless an earlier attempt may have run.

        An earlier 5xx answer is delivered, and an earlier attempt that may have
        run makes the outcome unknown.
        """
        if self._server_error_answer is not None:
            self._finish(self._server_error_answer)
            return
        if self._may_have_run:
            reason = RefusalReason.NODE_LOST
        self._finish(CallResult.refused(reason))

    def end(self) -> None:
        """Finishes the call as at its deadline, unless it is finished."""
        if not self._is_done:
            self._on_deadline()

    def _on_deadline(self) -> None:
        """Finishes the call and cancels the attempt in flight."""
        attempt = self._attempt
        was_sent = attempt is not None and (
            attempt.is_handed_over and not attempt.is_settled
        )
        reason = (
            RefusalReason.DEADLINE_RUNNING
            if was_sent or self._may_have_run
            else RefusalReason.DEADLINE_QUEUED
        )
        self._entry.router.metrics.count_refusal(reason)
        self._finish(self._server_error_answer or CallResult.refused(reason))
        self._stop_attempt()

    def cancel(self) -> None:
        """Cancels the call without calling its callback.

        A run of a request that is not repeatable continues at the upstream:
        the caller can't know whether it took effect, and aborting it would not
        settle that.
        """
        if self._is_done:
            return
        self._mark_done()
        self._stop_attempt()

    def _stop_attempt(self) -> None:
        attempt = self._attempt
        if attempt is not None and not attempt.is_settled:
            self._entry.router.cancel_attempt(self._node_id, attempt)

    def _mark_done(self) -> None:
        self._is_done = True
        queue = self._entry.decisions.queue
        if queue is not None and self._waiting is not None:
            queue.wait.withdraw(self._waiting)
            self._waiting = None
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()

    def _finish(self, result: CallResult) -> None:
        if not self._is_done:
            self._mark_done()
            self._on_result(result)
