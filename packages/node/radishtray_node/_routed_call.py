"""One request of a route and its attempts at upstreams."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from radishtray_node._call_result import CallResult
from radishtray_node._peer_link import SendFailure, SentAttempt
from radishtray_node._timers import Timer
from radishtray_protocol import Route, wire
from radishtray_state import RefusalReason

if TYPE_CHECKING:
    from radishtray_node._route_entry import RouteEntry

LEVELS_PER_CLASS = 128
# Taken off the deadline that is passed on, so that the verdict of a node in
# another failure domain (about 5 ms away) arrives before this node gives up.
_DEADLINE_MARGIN_S = 0.03
# Nodes asked in turn after one has refused without sending the request to its
# upstream. More would only delay the caller's answer.
_MAX_REFUSALS = 3
_MS_PER_S = 1000
_SERVER_ERROR = 500

# Refusals after which the request had reached an upstream.
_ARRIVED = frozenset(
    (RefusalReason.UPSTREAM_BUSY, RefusalReason.UPSTREAM_REPLACED)
)
# Refusals that say nothing about the load of other nodes.
_FAULT_OF_ONE_NODE = frozenset(
    (
        RefusalReason.DRAINING,
        RefusalReason.NO_UPSTREAM,
        RefusalReason.UPSTREAM_REFUSED,
        RefusalReason.UPSTREAM_REPLACED,
        RefusalReason.NEVER_ARRIVED,
    )
)
_FINAL = frozenset(
    (
        RefusalReason.CRASH_SUSPECT,
        RefusalReason.DEADLINE_QUEUED,
        RefusalReason.CANCELLED_QUEUED,
        RefusalReason.CANCELLED_RUNNING,
        RefusalReason.DEADLINE_RUNNING,
    )
)


class RoutedRequest:
    """What is sent to an upstream for one request.

    Attributes:
        request_id: Id that the caller gave.
        method: HTTP method.
        path: Path with the query, as received.
        headers: Names and values to forward, alternating.
        body: The whole body.
        priority_class: Importance from 0 to 3.
        level: Level within the priority class.
        is_inner: Whether the request is made for another one.
        is_repeat: Whether the run that it is made for may be a repeat.
        fingerprint: Digest of the content.
    """

    __slots__ = (
        "body",
        "fingerprint",
        "headers",
        "is_inner",
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
        is_inner: bool = False,
        is_repeat: bool = False,
    ) -> None:
        """Holds the parts."""
        self.priority_class = priority_class
        self.is_inner = is_inner
        self.is_repeat = is_repeat
        self.request_id = request_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.level = level
        self.fingerprint = fingerprint


class RoutedCall:
    """Sends one request until an upstream answers or nothing may be tried.

    A refusal by a node that did not hand the request to its upstream costs
    nothing. Each further send that may reach an upstream takes from the
    arrival budget of the service, and `max_attempts` bounds them for one
    request. Once a send may have run, a request that must not be repeated ends
    with an unknown outcome.
    """

    __slots__ = (
        "_arrivals",
        "_attempt",
        "_deadline_timer",
        "_entry",
        "_excluded",
        "_failed_answer",
        "_is_done",
        "_may_have_run",
        "_node_id",
        "_on_result",
        "_refusals",
        "_request",
        "_sent_s",
        "_version",
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
            entry: What all calls share.
            route: Route of the request.
            service: Service that answers it.
            request: What is sent.
            deadline_s: Monotonic time by which the caller must be answered.
            version: Version of the configuration that holds for the request.
            on_result: Called once with the result, unless cancelled.
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
        self._sent_s = 0.0
        self._arrivals = 0
        self._refusals = 0
        self._excluded: tuple[str, ...] = ()
        self._may_have_run = False
        self._failed_answer: CallResult | None = None
        self._is_done = False

    @property
    def rank(self) -> int:
        """Importance: class and level in one number."""
        request = self._request
        return request.priority_class * LEVELS_PER_CLASS + request.level

    def start(self) -> None:
        """Sends the first attempt."""
        entry = self._entry
        left_s = self.deadline_s - entry.router.clock.monotonic()
        if left_s <= 0:
            self._finish(CallResult.refused(RefusalReason.DEADLINE_EXPECTED))
            return
        self._deadline_timer = entry.router.timers.after(left_s, self._expire)
        entry.budget.count_request(self.service)
        if self._request.is_repeat:
            entry.budget.count_inherited(self.service)
        if entry.refuses_chain(self.route, self._request, self.rank):
            entry.router.metrics.count_refusal(RefusalReason.SHED)
            self._end_refused(RefusalReason.SHED)
            return
        self._choose()

    def _choose(self) -> None:
        router = self._entry.router
        if self._entry.suspects.is_blocked(self._request.fingerprint):
            self._end_refused(RefusalReason.CRASH_SUSPECT)
            return
        chosen = router.selector.choose(
            self.service,
            self.rank,
            self._excluded,
            len(self._request.body),
        )
        if isinstance(chosen, RefusalReason):
            router.metrics.count_refusal(chosen)
            self._end_refused(chosen)
            return
        self._node_id = chosen
        self._sent_s = router.clock.monotonic()
        attempt = SentAttempt(self._build(), self._answered, self._failed)
        self._attempt = attempt
        router.selector.sent(chosen)
        router.send(chosen, attempt)

    def _build(self) -> wire.Call:
        request = self._request
        left_s = self.deadline_s - self._sent_s - _DEADLINE_MARGIN_S
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
            ),
            generation=self._version,
            repeatable=self.route.is_repeatable,
            is_repeat=request.is_repeat or self._arrivals > 0,
        )

    def _answered(self, answer: wire.Answer) -> None:
        self._attempt = None
        router = self._entry.router
        result = CallResult.from_wire(answer)
        self._entry.chains.learned(
            self.route.name, answer.threshold, answer.chain_threshold or 0
        )
        router.selector.observed(
            self._node_id,
            router.clock.monotonic() - self._sent_s,
            answer.threshold,
            answer.in_flight,
            answer.queue_ms,
            reason=result.refusal,
        )
        if self._is_done:
            return
        reason = result.refusal
        if reason is None:
            if result.status >= _SERVER_ERROR and self._may_repeat():
                self._failed_answer = result
                router.metrics.retries.labels("upstream_lost").inc()
                self._try_again()
                return
            self._finish(result)
        elif reason.is_not_run:
            self._refused(reason)
        else:
            self._lost(reason)

    def _failed(self, failure: SendFailure) -> None:
        self._attempt = None
        self._entry.router.selector.lost(self._node_id)
        if self._is_done:
            return
        if failure is SendFailure.UNKNOWN:
            self._lost(RefusalReason.NODE_LOST)
        else:
            self._refused(RefusalReason.NEVER_ARRIVED)

    def _refused(self, reason: RefusalReason) -> None:
        """Goes on after an attempt that has not run."""
        if reason in _FINAL:
            self._end_refused(reason)
            return
        if reason in _ARRIVED:
            self._arrivals += 1
            may_try = self._takes_repeat()
        else:
            self._refusals += 1
            may_try = self._refusals < _MAX_REFUSALS and (
                self._refusals == 1 or reason in _FAULT_OF_ONE_NODE
            )
        if may_try:
            self._entry.router.metrics.retries.labels(reason.value).inc()
            self._try_again()
        else:
            self._end_refused(reason)

    def _lost(self, reason: RefusalReason) -> None:
        """Goes on after an attempt that may have run."""
        self._may_have_run = True
        if reason not in _FINAL and self._may_repeat():
            self._entry.router.metrics.retries.labels(reason.value).inc()
            self._try_again()
        else:
            self._finish(CallResult.refused(reason))

    def _may_repeat(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        self._arrivals += 1
        return self.route.is_repeatable and self._takes_repeat()

    def _takes_repeat(self) -> bool:
        left_s = self.deadline_s - self._entry.router.clock.monotonic()
        return (
            self._arrivals < self.route.max_attempts
            and left_s > _DEADLINE_MARGIN_S
            and self._entry.budget.take(self.service)
        )

    def _try_again(self) -> None:
        self._excluded = (*self._excluded, self._node_id)
        self._choose()

    def _end_refused(self, reason: RefusalReason) -> None:
        """Ends as not run, unless an earlier attempt has or may have run."""
        if self._failed_answer is not None:
            self._finish(self._failed_answer)
            return
        if self._may_have_run:
            reason = RefusalReason.NODE_LOST
        self._finish(CallResult.refused(reason))

    def _expire(self) -> None:
        """Gives up at the deadline and stops what is under way."""
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
        self._finish(self._failed_answer or CallResult.refused(reason))
        self._stop_attempt()

    def cancel(self) -> None:
        """Stops the call; its callback is not called.

        A run that must not be repeated goes on at its upstream: the caller
        can't know whether it took effect, and breaking it off would not tell.
        """
        if self._is_done:
            return
        self._end()
        self._stop_attempt()

    def _stop_attempt(self) -> None:
        attempt = self._attempt
        if attempt is not None and not attempt.is_settled:
            self._entry.router.cancel(self._node_id, attempt)

    def _end(self) -> None:
        self._is_done = True
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()

    def _finish(self, result: CallResult) -> None:
        if not self._is_done:
            self._end()
            self._on_result(result)
