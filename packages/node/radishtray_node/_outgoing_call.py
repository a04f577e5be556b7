"""One call to a service: chooses nodes, sends attempts, retries, reports.

Retries draw on the retry budget of the whole chain of calls. A call with an
idempotency key goes to the owner of the key's slot.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from radishtray_node._call_result import CallResult
from radishtray_node._running_request import RunningRequest
from radishtray_node._sent_attempt import SendFailure, SentAttempt
from radishtray_node._timers import Timer
from radishtray_protocol import RequestKind, wire
from radishtray_state import (
    AttemptGrant,
    KeyForward,
    KeyRefresh,
    KeyRoute,
    RefusalReason,
    RequestKey,
)

if TYPE_CHECKING:
    from radishtray_node._call_router import CallRouter

# Subtracted from the deadline that is passed on, so that the receiver's own
# result arrives before this node's deadline.
DEADLINE_MARGIN_MS = 10
_MAX_REROUTES = 4
# Reasons that show that a node has no upstream to run a call on at present.
_UPSTREAM_UNAVAILABLE = frozenset(
    (
        RefusalReason.NO_UPSTREAM,
        RefusalReason.UPSTREAM_REFUSED,
        RefusalReason.NEVER_ARRIVED,
        RefusalReason.DRAINING,
    )
)
_REROUTE_DELAY_S = 0.05
# Time between two requests for a slot table while none is known that names an
# owner of the key, and the time that another one and its answer must have.
_REFRESH_DELAY_S = 0.1
_MIN_REFRESH_S = 0.7

ResultCallback = Callable[[CallResult], None]


class OutgoingCall:
    """One call and its attempts, which end in at most one result."""

    __slots__ = (
        "_attempt",
        "_attempt_sent_s",
        "_body",
        "_crash_count",
        "_deadline_timer",
        "_excluded_nodes",
        "_first_send",
        "_grant",
        "_headers",
        "_is_cancelled",
        "_is_done",
        "_key",
        "_key_forward",
        "_kind",
        "_may_have_run",
        "_method",
        "_node_id",
        "_nodes_without_upstream",
        "_on_result",
        "_path",
        "_request",
        "_reroutes",
        "_retries",
        "_router",
        "deadline_s",
        "fingerprint",
    )

    def __init__(
        self,
        router: "CallRouter",
        request: RunningRequest,
        kind: RequestKind,
        method: str,
        path: str,
        headers: list[str],
        body: bytes,
        key: RequestKey | None,
        first_send: bool,
        fingerprint: int,
        on_result: ResultCallback,
    ) -> None:
        """Prepares a call; `start` sends it.

        Args:
            router: The node's call router.
            request: The running request that the call is made for.
            kind: Kind of the call.
            method: HTTP method.
            path: Path within the service, with the query.
            headers: Names and values, alternating.
            body: The whole body.
            key: Idempotency key of an at-most-once kind, or None.
            first_send: Whether the caller states that it has not sent the key
                before.
            fingerprint: Digest of the call's content.
            on_result: Called once with the result, unless the call is
                cancelled.
        """
        self._router = router
        self._request = request
        self._kind = kind
        self._method = method
        self._path = path
        self._headers = headers
        self._body = body
        self._key = key
        self._first_send = first_send
        self.fingerprint = fingerprint
        self._on_result = on_result
        now_s = router.clock.monotonic()
        self.deadline_s = min(
            request.deadline_s, now_s + kind.deadline_ms / 1000
        )
        self._deadline_timer: Timer | None = None
        self._attempt: SentAttempt | None = None
        self._grant: AttemptGrant | None = None
        self._key_forward: KeyForward | None = None
        self._node_id = ""
        self._attempt_sent_s = now_s
        self._retries = 0
        self._crash_count = 0
        self._excluded_nodes: tuple[str, ...] = ()
        self._nodes_without_upstream: tuple[str, ...] = ()
        self._may_have_run = False
        self._reroutes = 0
        self._is_done = False
        self._is_cancelled = False

    def start(self) -> None:
        """Sends the first attempt."""
        self._request.outgoing_calls.add(self)
        left_s = self.deadline_s - self._router.clock.monotonic()
        self._deadline_timer = self._router.timers.call_later(
            left_s, self._on_deadline
        )
        self._router.count_first_attempt()
        self._choose_and_send(is_retry=False)

    def _choose_and_send(self, is_retry: bool) -> None:
        key = self._key
        if key is not None:
            route = self._router.key_router.route(
                self._kind.service, key, self._first_send
            )
            self._apply_key_route(route, is_retry)
            return
        chosen = self._router.choose_node(
            self._kind.service,
            self._request.rank,
            self._excluded_nodes,
            self.fingerprint,
            self._nodes_without_upstream,
        )
        if isinstance(chosen, RefusalReason):
            self._finish_without_attempt(chosen)
        else:
            self._send(chosen, is_retry)

    def _apply_key_route(self, route: KeyRoute, is_retry: bool) -> None:
        """Sends, waits for a newer slot table, or finishes, as decided."""
        if self._is_done:
            return
        key = self._key
        assert key is not None
        if isinstance(route, KeyForward):
            self._key_forward = route
            self._send(route.owner.node_id, is_retry)
        elif isinstance(route, KeyRefresh):
            self._refresh_slot_table(key, route, is_retry)
        else:
            retry_key = (
                None if route.retry_key is None else str(route.retry_key)
            )
            self._router.metrics.count_refusal(route.reason)
            self._finish(CallResult.refused(route.reason, retry_key))

    def _refresh_slot_table(
        self, key: RequestKey, route: KeyRefresh, is_retry: bool
    ) -> None:
        self._router.refresh_slot_table(
            self._kind.service,
            lambda: self._continue_after_refresh(key, route, is_retry),
            lambda: self._knows_another_owner(self._kind.service, key),
        )

    def _continue_after_refresh(
        self, key: RequestKey, route: KeyRefresh, is_retry: bool
    ) -> None:
        """Routes the call, or asks again while the key's owner is not known.

        Links to the nodes that were asked may still be opening, and those that
        have replied may know an older table than the others.
        """
        router = self._router
        service = self._kind.service
        left_s = self.deadline_s - router.clock.monotonic()
        if (
            router.key_router.is_settled(service, key)
            or left_s < _MIN_REFRESH_S
        ):
            self._apply_key_route(
                router.key_router.route_after_refresh(
                    service, key, route.is_first_send
                ),
                is_retry,
            )
        elif not self._is_done:
            router.timers.call_later(
                _REFRESH_DELAY_S,
                lambda: self._refresh_slot_table(key, route, is_retry),
            )

    def _knows_another_owner(self, service: str, key: RequestKey) -> bool:
        """Returns whether the slot table names an owner not yet asked."""
        owner = self._router.key_router.owner(service, key)
        asked = (
            self._key_forward.owner if self._key_forward is not None else None
        )
        return owner is not None and owner != asked

    def _send(self, node_id: str, is_retry: bool) -> None:
        grant = self._request.ledger.begin(
            is_retry and self._router.uses_retry_budget
        )
        if grant is None:
            self._finish_without_attempt(RefusalReason.NO_UPSTREAM)
            return
        router = self._router
        self._grant = grant
        self._node_id = node_id
        self._attempt_sent_s = router.clock.monotonic()
        attempt = SentAttempt(
            self._build_call(grant.share), self._on_answer, self._on_failure
        )
        self._attempt = attempt
        router.selector.record_sent(node_id)
        router.send_attempt(node_id, attempt)

    def _build_call(self, share: int) -> wire.Call:
        request = self._request
        left_ms = int((self.deadline_s - self._attempt_sent_s) * 1000)
        key = self._key
        known_crashes = self._router.crash_count(self.fingerprint)
        self._crash_count = max(self._crash_count, known_crashes)
        return wire.Call(
            attempt_id=0,
            service_name=self._kind.service,
            kind=self._kind.name,
            method=self._method,
            path=self._path,
            headers=self._headers,
            body=self._body,
            context=wire.Context(
                request_id=request.request_id,
                priority_class=request.priority_class,
                level=request.level,
                deadline_ms=max(0, left_ms - DEADLINE_MARGIN_MS),
                retry_budget=share,
                depth=request.depth + 1,
                key=None if key is None else str(key),
                key_first_send=self._first_send,
                fingerprint=self.fingerprint,
                crash_count=self._crash_count,
            ),
            generation=self._router.generation,
        )

    def _on_answer(self, answer: wire.Answer) -> None:
        if self._grant is not None:
            self._request.ledger.settle(self._grant, answer.retries_used)
        result = CallResult.from_wire(answer)
        router = self._router
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
        if result.crashed:
            self._crash_count += 1
            router.note_crash(self.fingerprint)
        elif self._crash_count and result.refusal is None:
            router.note_answered(self.fingerprint)
        if self._is_done:
            if self._is_cancelled:
                self._record_unknown_outcome(result)
            return
        if result.refusal is None:
            self._finish(result)
            return
        self._handle_refusal(result)

    def _handle_refusal(self, result: CallResult) -> None:
        reason = result.refusal
        assert reason is not None
        if not reason.is_not_run:
            self._may_have_run = True
        is_owner_leaving = reason is RefusalReason.DRAINING
        if self._key is not None and (
            reason is RefusalReason.KEY_NOT_OWNED
            or (is_owner_leaving and self._reroutes < _MAX_REROUTES)
        ):
            self._reroute_key()
        else:
            self._retry_or_finish(reason, result)

    def _on_failure(self, failure: SendFailure) -> None:
        if self._grant is not None:
            if failure is SendFailure.UNKNOWN:
                self._request.ledger.forfeit(self._grant)
            else:
                self._request.ledger.settle(self._grant, 0)
        self._router.selector.record_loss(self._node_id)
        if self._is_done:
            return
        if failure is SendFailure.UNKNOWN:
            self._may_have_run = True
            reason = RefusalReason.NODE_LOST
            self._retry_or_finish(reason, CallResult.refused(reason))
        elif self._key is not None:
            self._reroute_key()
        else:
            reason = RefusalReason.NEVER_ARRIVED
            self._retry_or_finish(reason, CallResult.refused(reason))

    def _reroute_key(self) -> None:
        """Looks up the owner again after the last one did not take the call."""
        assert self._key is not None
        forward = self._key_forward
        assert forward is not None
        if self._may_have_run:
            self._finish(CallResult.refused(RefusalReason.KEY_UNKNOWN))
            return
        router = self._router
        left_s = self.deadline_s - router.clock.monotonic()
        delay_s = _REROUTE_DELAY_S * self._reroutes
        if self._reroutes < _MAX_REROUTES and delay_s < left_s / 2:
            # This is not a retry, since no owner has run the call. A slot that
            # is being handed over has no owner until a platform write is done.
            self._reroutes += 1
            router.metrics.key_redirects.inc()
            refresh = KeyRefresh(forward.is_first_send)
            router.timers.call_later(
                delay_s, lambda: self._apply_key_route(refresh, is_retry=False)
            )
            return
        route = router.key_router.route_after_not_run(
            self._kind.service, self._key, self._mark_refreshed(forward)
        )
        self._apply_key_route(route, is_retry=False)

    @staticmethod
    def _mark_refreshed(forward: KeyForward) -> KeyForward:
        return KeyForward(forward.owner, forward.is_first_send, refreshed=True)

    def _retry_or_finish(
        self, reason: RefusalReason, result: CallResult
    ) -> None:
        router = self._router
        now_s = router.clock.monotonic()
        decision = router.retry_policy.decide(
            reason,
            is_idempotent=self._kind.idempotent,
            is_at_most_once=self._kind.at_most_once,
            deadline_s=self.deadline_s - now_s,
            budget=self._request.ledger.remaining,
            retries=self._retries,
            crashes=self._crash_count,
            expected_attempt_s=router.expected_duration_s(self._kind),
        )
        if decision.denial is not None:
            router.metrics.retry_denials.labels(decision.denial.value).inc()
            self._finish(self._apply_unknown_outcome(result))
            return
        self._retries += 1
        router.metrics.retries.labels(reason.value).inc()
        if self._key is None:
            self._excluded_nodes = (*self._excluded_nodes, self._node_id)
            if reason in _UPSTREAM_UNAVAILABLE:
                self._nodes_without_upstream = (
                    *self._nodes_without_upstream,
                    self._node_id,
                )
        if decision.delay_s > 0:
            router.timers.call_later(decision.delay_s, self._retry)
        else:
            self._retry()

    def _apply_unknown_outcome(self, result: CallResult) -> CallResult:
        """Replaces a not-run refusal if an earlier attempt may have run."""
        reason = result.refusal
        if self._may_have_run and reason is not None and reason.is_not_run:
            return CallResult.refused(RefusalReason.NODE_LOST)
        return result

    def _retry(self) -> None:
        if not self._is_done:
            self._choose_and_send(is_retry=True)

    def _finish_without_attempt(self, reason: RefusalReason) -> None:
        """Finishes a call that no attempt can be sent for."""
        if self._excluded_nodes and reason is RefusalReason.NO_UPSTREAM:
            # All other nodes were tried, so the exclusions no longer apply.
            self._excluded_nodes = ()
        self._router.metrics.count_refusal(reason)
        self._finish(self._apply_unknown_outcome(CallResult.refused(reason)))

    def _on_deadline(self) -> None:
        """Finishes the call and cancels the attempt in flight."""
        attempt = self._attempt
        was_sent = attempt is not None and (
            attempt.is_handed_over and not attempt.is_settled
        )
        if was_sent or self._may_have_run:
            reason = RefusalReason.DEADLINE_RUNNING
        else:
            reason = RefusalReason.DEADLINE_QUEUED
        self._router.metrics.count_refusal(reason)
        self._finish(CallResult.refused(reason))
        self._stop_attempt()

    def cancel(self) -> None:
        """Cancels the call without calling its callback."""
        if not self._is_done:
            self._is_cancelled = True
            self._finish(CallResult.refused(RefusalReason.CANCELLED_RUNNING))
            self._stop_attempt()

    def _record_unknown_outcome(self, result: CallResult) -> None:
        """Reports the outcome to operators if it is unknown."""
        reason = result.refusal
        if reason is None or reason.is_not_run or self._kind.idempotent:
            return
        self._router.unknown_outcomes.add(
            self._request.request_id,
            self._kind.qualified_name,
            None if self._key is None else str(self._key),
            reason,
        )

    def _stop_attempt(self) -> None:
        attempt = self._attempt
        if attempt is not None and not attempt.is_settled:
            self._router.cancel_attempt(self._node_id, attempt)

    def _finish(self, result: CallResult) -> None:
        if self._is_done:
            return
        self._is_done = True
        self._request.outgoing_calls.discard(self)
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if not self._is_cancelled:
            self._record_unknown_outcome(result)
            self._on_result(self._with_retry_key(result))

    def _with_retry_key(self, result: CallResult) -> CallResult:
        """Adds a new key to a not-run refusal of a key that was sent only once.

        No other send of that key can run later, so the caller may send the
        request again under a key whose slot has another owner.
        """
        reason = result.refusal
        forward = self._key_forward
        if reason is None or not reason.is_not_run:
            return result
        if forward is None or not forward.is_first_send or result.retry_key:
            return result
        key = self._router.key_router.retry_key(self._kind.service)
        if key is None:
            return result
        return CallResult.refused(reason, str(key))
