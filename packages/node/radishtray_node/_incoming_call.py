"""State of one call at the node beside the upstream that runs it."""

import hashlib
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from radishtray_node._call_result import CallResult
from radishtray_node._local_upstream import UpstreamProcess
from radishtray_node._request_parts import strip_radishtray_headers
from radishtray_node._running_request import RunningRequest
from radishtray_node._timers import Timer
from radishtray_overload import ServiceUse
from radishtray_protocol import wire
from radishtray_state import (
    KeyVerdict,
    ParentRequest,
    RefusalReason,
    RequestKey,
    SuspectVerdict,
    Ticket,
)
from radishtray_transport import HttpResponse, PendingRequest, RequestFailure

if TYPE_CHECKING:
    from radishtray_node._upstream_server import UpstreamServer

_GATEWAY_TIMEOUT = 504
# A rejected request is not sent again with less time left.
_MIN_REPEAT_TIME_S = 0.02
# A run with an idempotency key is not cancelled at its deadline, so that the
# record of the key gets the answer. This bounds how long it may continue, and
# hold a slot, after the deadline.
_MAX_KEYED_RUN_S = 60.0


class _Phase(Enum):
    NEW = 0
    WAITING = 1
    RUNNING = 2
    DONE = 3


DoneCallback = Callable[[CallResult, int], None]
"""Receives the result and the number of retries spent for it."""


class IncomingCall:
    """One call from its arrival to its answer.

    A call is first checked against the record of its idempotency key, then for
    reasons to refuse it, then for being a crash suspect: a request whose
    content has crashed an upstream before. It then waits for a slot, is sent to
    the upstream and gets its answer.

    Attributes:
        request: Context of the request that the call belongs to.
    """

    __slots__ = (
        "_call",
        "_deadline_timer",
        "_digest",
        "_handle",
        "_is_answered",
        "_is_cancelled",
        "_joined_key",
        "_key",
        "_on_done",
        "_overlong_run_timer",
        "_parent",
        "_pending_request",
        "_phase",
        "_phase_started_s",
        "_process",
        "_server",
        "_ticket",
        "request",
    )

    def __init__(
        self, server: "UpstreamServer", call: wire.Call, on_done: DoneCallback
    ) -> None:
        """Creates a call in the phase `NEW`; `start` processes it.

        Args:
            server: Runs calls on the upstream.
            call: The call as received.
            on_done: Called once with the result and the retries spent.
        """
        now_s = server.clock.monotonic()
        self.request = RunningRequest.from_wire(call.context, now_s)
        self._server = server
        self._call = call
        self._on_done = on_done
        self._key: RequestKey | None = None
        self._joined_key: bytes | None = None
        self._digest = b""
        self._phase = _Phase.NEW
        self._ticket: Ticket | None = None
        self._pending_request: PendingRequest | None = None
        self._process: UpstreamProcess | None = None
        self._parent: ParentRequest | None = None
        self._handle = ""
        self._deadline_timer: Timer | None = None
        self._overlong_run_timer: Timer | None = None
        self._phase_started_s = now_s
        self._is_answered = False
        self._is_cancelled = False

    @property
    def is_unanswered(self) -> bool:
        """Whether the result has not been delivered yet."""
        return not self._is_answered

    def start(self) -> None:
        """Runs, queues or refuses the call, or joins the run of its key."""
        server = self._server
        left_s = self.request.deadline_s - server.clock.monotonic()
        self._deadline_timer = server.timers.call_later(
            left_s, self._handle_deadline
        )
        if self.request.key is not None:
            self._offer_key(self.request.key)
            return
        reason = server.refusal_reason(self._call)
        if reason is not None:
            self._refuse(reason)
        else:
            self._check_suspect()

    def _offer_key(self, key_text: str) -> None:
        server = self._server
        parsed = RequestKey.parse(key_text)
        if parsed.is_error():
            self._refuse(RefusalReason.KEY_INVALID)
            return
        key = parsed.ok
        digest = self._content_digest()
        decision = server.key_owner.offer(self._call.service_name, key, digest)
        if decision.verdict is KeyVerdict.REFUSED:
            assert decision.reason is not None
            if decision.reason is RefusalReason.KEY_NOT_OWNED:
                server.on_key_not_owned()
            self._refuse(decision.reason)
        elif decision.verdict is KeyVerdict.ANSWERED:
            assert decision.answer is not None
            self._finish(decision.answer)
        elif decision.verdict is KeyVerdict.JOIN:
            self._joined_key = key.raw
            self._phase = _Phase.WAITING
            server.add_joined_call(key.raw, self)
        else:
            self._key = key
            reason = server.refusal_reason(self._call)
            if reason is not None:
                self._refuse(reason)
            else:
                self._check_suspect()

    def _content_digest(self) -> bytes:
        call = self._call
        digest = hashlib.blake2b(
            f"{call.method} {call.service_name} {call.path}\n".encode(),
            digest_size=16,
        )
        digest.update(call.body)
        return digest.digest()

    def _suspect_verdict(self) -> SuspectVerdict:
        if self._call.is_crash_probe:
            return SuspectVerdict.RUN
        suspects = self._server.upstream.suspects
        return suspects.check(
            self.request.fingerprint, self.request.crash_count
        )

    def _check_suspect(self) -> None:
        """Refuses a blocked content; runs only one crash suspect at a time."""
        verdict = self._suspect_verdict()
        if verdict is SuspectVerdict.REFUSE:
            self._refuse(RefusalReason.CRASH_SUSPECT)
        elif verdict is SuspectVerdict.WAIT:
            self._phase = _Phase.WAITING
            self._server.add_waiting_suspect(self)
        else:
            self._request_slot()

    def recheck_suspect(self) -> None:
        """Continues a waiting call after another suspect has finished."""
        if self._phase is _Phase.WAITING:
            self._check_suspect()

    def _request_slot(self) -> None:
        """Requests a slot, or refuses the call if its own calls would fail.

        If a service that the upstream calls for this request is known to refuse
        it, the work of the upstream would be wasted.
        """
        if self._server.would_calls_be_refused(self._call):
            self._refuse(RefusalReason.SHED)
            return
        self._phase = _Phase.WAITING
        ticket = Ticket(
            self.request.rank,
            self.request.deadline_s,
            self._start_run,
            self._refuse,
            self._call.kind,
        )
        self._ticket = ticket
        reason = self._server.upstream.admission.submit(ticket)
        if reason is not None:
            self._ticket = None
            self._refuse(reason)
        else:
            self._server.schedule_queue_expiry()

    def _release_slot(self) -> None:
        ticket = self._ticket
        self._ticket = None
        if ticket is not None:
            self._server.upstream.admission.finish(ticket, None)

    def _start_run(self) -> None:
        if self._suspect_verdict() is not SuspectVerdict.RUN:
            # While this call waited, another suspect started or a crash was
            # recorded.
            self._release_slot()
            self._check_suspect()
            return
        server = self._server
        process = server.upstream.process
        announcement = server.upstream.announcement
        assert self._ticket is not None
        if process is None or announcement is None:
            # The upstream was withdrawn while this call waited. Nothing was
            # sent to it.
            self._release_slot()
            self._refuse(RefusalReason.NO_UPSTREAM)
            return
        if server.is_key_withdrawn(self._call):
            self._release_slot()
            self._refuse(RefusalReason.UNAUTHENTICATED)
            return
        self._phase = _Phase.RUNNING
        self._process = process
        now_s = server.clock.monotonic()
        server.queue_timer.record(now_s - self._phase_started_s)
        self._phase_started_s = now_s
        if server.forwarding.uses_handles:
            self._handle = server.running_requests.add(self.request)
        self._parent = ParentRequest(
            self._call.kind,
            self.request.priority_class,
            self.request.level,
            bool(self._call.is_repeat),
        )
        server.chains.add_request(self.request.request_id, self._parent)
        server.upstream.suspects.record_start(self.request.fingerprint)
        server.running_calls.add(self)
        if server.rejection_repeats is not None:
            server.rejection_repeats.count_arrival(
                self.request.rank, is_repeat=bool(self._call.is_repeat)
            )
        self._send(process, announcement.instance, now_s)

    def _send(
        self, process: UpstreamProcess, instance: str, now_s: float
    ) -> None:
        self._pending_request = self._server.forwarding.send(
            process.client,
            self._call,
            self.request,
            self._handle,
            max(0, int((self.request.deadline_s - now_s) * 1000)),
            instance,
            self._handle_response,
            self._handle_failure,
        )

    def _try_send_again(self) -> bool:
        """Sends a rejected request again, if repeats are left for its rank."""
        repeats = self._server.rejection_repeats
        announcement = self._server.upstream.announcement
        process = self._process
        now_s = self._server.clock.monotonic()
        if (
            repeats is None
            or process is None
            or process is not self._server.upstream.process
            or announcement is None
            or self._is_cancelled
            or self._is_answered
            or self.request.deadline_s - now_s < _MIN_REPEAT_TIME_S
            or self._server.upstream.admission.stated_limit.is_limited
            or not repeats.try_take(self.request.rank)
        ):
            return False
        self._server.metrics.retries.labels(
            RefusalReason.UPSTREAM_BUSY.value
        ).inc()
        if self._parent is not None:
            # Calls of the run are repeats at the services that it calls.
            self._parent.is_repeat = True
        self._send(process, announcement.instance, now_s)
        return True

    def _handle_response(self, response: HttpResponse) -> None:
        fault = self._server.forwarding.rejection_reason(response)
        is_rejected = fault is RefusalReason.UPSTREAM_BUSY
        assert self._process is not None
        if fault is None or is_rejected:
            self._server.record_statements(
                self._process, response, self._phase_started_s
            )
        if self._server.rejection_repeats is not None:
            self._server.rejection_repeats.count_outcome(
                is_rejected=is_rejected
            )
        if is_rejected and self._try_send_again():
            return
        if fault is not None:
            if fault is RefusalReason.UPSTREAM_LOST:
                self._record_failure(is_timeout=False)
            self._finish_run(is_measured=False)
            self._server.note_run_finished(self.request.fingerprint, False)
            self._server.upstream.handle_fault(self._process, fault)
            self._refuse(fault)
            return
        headers = strip_radishtray_headers(response.headers)
        result = CallResult(
            response.status,
            headers,
            response.body,
            call_failed=self._parent is not None
            and self._parent.has_failed_call,
            service_uses=self._service_uses(),
        )
        if result.is_server_error:
            self._record_failure(is_timeout=result.status == _GATEWAY_TIMEOUT)
        else:
            self._server.record_success()
        self._finish_run()
        self._server.note_run_finished(
            self.request.fingerprint, not result.is_server_error
        )
        if self._key is not None:
            self._server.key_owner.finish(self._key, result)
        self._finish(result)

    def _service_uses(self) -> tuple[ServiceUse, ...]:
        """Returns what this run and its calls used of scarce services."""
        server = self._server
        announcement = server.upstream.announcement
        if server.run_uses is None or announcement is None:
            return ()
        return server.run_uses.finish(
            self._parent,
            self._call.service_name,
            self._phase_started_s,
            server.upstream.admission,
            announcement.slots,
        )

    def _record_failure(self, *, is_timeout: bool) -> None:
        self._server.record_failure(
            self._parent, self._phase_started_s, is_timeout=is_timeout
        )

    def _handle_failure(self, failure: RequestFailure) -> None:
        if not self._is_cancelled:
            self._record_failure(is_timeout=failure is RequestFailure.CANCELLED)
        self._finish_run()
        if failure is RequestFailure.NOT_CONNECTED:
            self._server.note_run_finished(self.request.fingerprint, False)
            self._refuse(RefusalReason.UPSTREAM_REFUSED)
        elif failure is RequestFailure.CANCELLED:
            self._server.note_run_abandoned(self.request.fingerprint)
            self._refuse(
                RefusalReason.CANCELLED_RUNNING
                if self._is_cancelled
                else RefusalReason.DEADLINE_RUNNING
            )
        else:
            assert self._process is not None
            self._server.upstream.probe(
                self._process, self._handle_probe_result
            )

    def _handle_probe_result(self, has_crashed: bool) -> None:
        if not has_crashed:
            self._server.note_run_abandoned(self.request.fingerprint)
        self._finish_unknown(RefusalReason.UPSTREAM_LOST, has_crashed)

    def _finish_run(self, *, is_measured: bool = True) -> None:
        """Ends the run at the upstream and releases its slot.

        Args:
            is_measured: Whether admission control uses the time at the
                upstream as a service time. False for an answer that reports a
                fault, since its time does not show how long a run takes.
        """
        server = self._server
        ticket = self._ticket
        server.running_requests.remove(self._handle)
        if self._parent is not None:
            server.chains.remove_request(self.request.request_id, self._parent)
        server.running_calls.discard(self)
        if self._overlong_run_timer is not None:
            self._overlong_run_timer.cancel()
        if ticket is not None:
            self._ticket = None
            service_s = server.clock.monotonic() - self._phase_started_s
            server.service_timer.record(service_s)
            server.upstream.admission.finish(
                ticket,
                service_s if is_measured else None,
                self._parent.waited_s if self._parent is not None else 0.0,
            )

    def cancel(self) -> None:
        """Cancels a waiting call, or a running one that may be repeated.

        A running call with an idempotency key continues, so that the record of
        the key gets the answer. So does a call that must not be repeated, since
        cancelling it would leave its effect unknown and save little work.
        """
        self._is_cancelled = True
        if self._phase is _Phase.WAITING and self._joined_key is not None:
            # The joined run continues and may take effect.
            self._refuse(RefusalReason.CANCELLED_RUNNING)
        elif self._phase is _Phase.WAITING:
            self._leave_queue()
            self._refuse(RefusalReason.CANCELLED_QUEUED)
        elif self._phase is _Phase.RUNNING and self._may_cancel_run():
            self._cancel_run()

    def _may_cancel_run(self) -> bool:
        return self._key is None and self._call.repeatable is not False

    def _cancel_run(self) -> None:
        self.request.cancel_outgoing_calls()
        if self._pending_request is not None:
            self._pending_request.cancel()

    def _leave_queue(self) -> None:
        if self._ticket is not None:
            self._server.upstream.admission.cancel(self._ticket)
            self._ticket = None

    def _handle_deadline(self) -> None:
        if self._phase is _Phase.WAITING and self._joined_key is None:
            self._leave_queue()
            self._refuse(RefusalReason.DEADLINE_QUEUED)
        elif self._phase is _Phase.WAITING:
            # The joined run may still take effect.
            self._finish(CallResult.refused(RefusalReason.DEADLINE_RUNNING))
        elif self._phase is _Phase.RUNNING and self._key is None:
            self._cancel_run()
        elif self._phase is _Phase.RUNNING:
            self._overlong_run_timer = self._server.timers.call_later(
                _MAX_KEYED_RUN_S, self._cancel_overlong_run
            )
            self._deliver_result(
                CallResult.refused(RefusalReason.DEADLINE_RUNNING)
            )

    def _cancel_overlong_run(self) -> None:
        if self._phase is _Phase.RUNNING:
            self._cancel_run()

    def finish_joined(self, result: CallResult) -> None:
        """Answers a call that has joined the run of an earlier send."""
        if self._phase is _Phase.WAITING:
            self._finish(result)

    def _refuse(self, reason: RefusalReason) -> None:
        if reason.is_not_run:
            if self._key is not None:
                self._server.key_owner.not_run(self._key)
            self._server.metrics.count_refusal(reason)
            self._finish(CallResult.refused(reason))
        else:
            self._finish_unknown(reason, False)

    def _finish_unknown(self, reason: RefusalReason, crashed: bool) -> None:
        if self._key is not None:
            self._server.key_owner.unknown(self._key)
        self._server.metrics.count_refusal(reason)
        self._finish(CallResult.refused(reason, crashed=crashed))

    def _finish(self, result: CallResult) -> None:
        self._phase = _Phase.DONE
        key = self._key
        self._deliver_result(result)
        if key is not None:
            self._server.finish_joined_calls(key.raw, result)

    def _deliver_result(self, result: CallResult) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if self._is_answered:
            return
        self._is_answered = True
        self._on_done(result, self.request.ledger.close())
