"""One call at the node beside its upstream: decide, wait, run, answer."""

import hashlib
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from radishtray_node._call_result import CallResult
from radishtray_node._request_parts import without_own_headers
from radishtray_node._running_request import RunningRequest
from radishtray_node._timers import Timer
from radishtray_protocol import wire
from radishtray_state import (
    ChainParent,
    KeyVerdict,
    RefusalReason,
    RequestKey,
    SuspectVerdict,
    Ticket,
)
from radishtray_transport import HttpResponse, PendingRequest, RequestFailure

if TYPE_CHECKING:
    from radishtray_node._upstream_server import UpstreamServer

# A keyed run is not cancelled at its deadline, so that its record gets the
# answer; this bounds how long it may hold a slot.
_LONGEST_KEYED_RUN_S = 60.0


class _Phase(Enum):
    NEW = 0
    WAITING = 1
    RUNNING = 2
    DONE = 3


DoneCallback = Callable[[CallResult, int], None]
"""Receives the result and the retries that were spent for it."""


class IncomingCall:
    """One call from its arrival to its answer."""

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
        "_pending",
        "_phase",
        "_run_timer",
        "_server",
        "_started_s",
        "_ticket",
        "request",
    )

    def __init__(
        self, server: "UpstreamServer", call: wire.Call, on_done: DoneCallback
    ) -> None:
        """Prepares a call; `start` decides about it.

        Args:
            server: The node's server for its upstream.
            call: The call as received.
            on_done: Called once with the result.
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
        self._pending: PendingRequest | None = None
        self._handle = ""
        self._deadline_timer: Timer | None = None
        self._run_timer: Timer | None = None
        self._started_s = now_s
        self._is_answered = False
        self._is_cancelled = False

    @property
    def is_unanswered(self) -> bool:
        """Whether the result has not been delivered yet."""
        return not self._is_answered

    def start(self) -> None:
        """Decides whether the call runs, waits, joins a run or is refused."""
        server = self._server
        left_s = self.request.deadline_s - server.clock.monotonic()
        self._deadline_timer = server.timers.after(left_s, self._expire)
        if self.request.key is not None:
            self._offer_key(self.request.key)
            return
        reason = server.refusal_of(self._call)
        if reason is not None:
            self._refuse(reason)
        else:
            self._check_suspect()

    def _offer_key(self, text: str) -> None:
        server = self._server
        parsed = RequestKey.parse(text)
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
            self._answer(decision.answer)
        elif decision.verdict is KeyVerdict.JOIN:
            self._joined_key = key.raw
            self._phase = _Phase.WAITING
            server.join_run(key.raw, self)
        else:
            self._key = key
            reason = server.refusal_of(self._call)
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
        suspects = self._server.upstream.suspects
        return suspects.check(
            self.request.fingerprint, self.request.crash_count
        )

    def _check_suspect(self) -> None:
        """Refuses a blocked fingerprint; runs one suspect at a time."""
        verdict = self._suspect_verdict()
        if verdict is SuspectVerdict.REFUSE:
            self._refuse(RefusalReason.CRASH_SUSPECT)
        elif verdict is SuspectVerdict.WAIT:
            self._phase = _Phase.WAITING
            self._server.wait_for_suspect(self)
        else:
            self._submit()

    def check_suspect_again(self) -> None:
        """Continues after another suspect has finished."""
        if self._phase is _Phase.WAITING:
            self._check_suspect()

    def _submit(self) -> None:
        """Asks for a slot, unless the work would be thrown away deeper down."""
        if self._server.refuses_calls(self._call):
            self._refuse(RefusalReason.SHED)
            return
        self._phase = _Phase.WAITING
        ticket = Ticket(
            self.request.rank,
            self.request.deadline_s,
            self._run,
            self._refuse,
            self._call.kind,
        )
        self._ticket = ticket
        reason = self._server.upstream.admission.submit(ticket)
        if reason is not None:
            self._ticket = None
            self._refuse(reason)
        else:
            self._server.expire_queued()

    def _give_slot_back(self) -> None:
        ticket = self._ticket
        self._ticket = None
        if ticket is not None:
            self._server.upstream.admission.finish(ticket, None)

    def _run(self) -> None:
        if self._suspect_verdict() is not SuspectVerdict.RUN:
            # Another suspect began, or a crash was noted, while this waited.
            self._give_slot_back()
            self._check_suspect()
            return
        server = self._server
        client = server.upstream.client
        announcement = server.upstream.announcement
        assert self._ticket is not None
        if client is None or announcement is None:
            # The upstream has left while this waited; nothing was sent.
            self._give_slot_back()
            self._refuse(RefusalReason.NO_UPSTREAM)
            return
        self._phase = _Phase.RUNNING
        now_s = server.clock.monotonic()
        server.queue_timer.record(now_s - self._started_s)
        self._started_s = now_s
        if server.forwarding.uses_handles:
            self._handle = server.running.add(self.request)
        server.chains.started(
            self.request.request_id,
            ChainParent(
                self._call.kind,
                self.request.priority_class,
                self.request.level,
                bool(self._call.is_repeat),
            ),
        )
        server.upstream.suspects.started(self.request.fingerprint)
        server.running_calls.add(self)
        self._pending = server.forwarding.send(
            client,
            self._call,
            self.request,
            self._handle,
            max(0, int((self.request.deadline_s - now_s) * 1000)),
            announcement.instance,
            self._answered,
            self._failed,
        )

    def _answered(self, answer: HttpResponse) -> None:
        fault = self._server.forwarding.fault_in(answer)
        if fault is not None:
            self._finish_slot(is_measured=False)
            self._server.suspect_finished(self.request.fingerprint, False)
            self._server.upstream.note_fault(fault)
            self._refuse(fault)
            return
        self._finish_slot()
        self._server.suspect_finished(self.request.fingerprint, True)
        headers = without_own_headers(answer.headers)
        result = CallResult(answer.status, headers, answer.body)
        if self._key is not None:
            self._server.key_owner.finish(self._key, result)
        self._answer(result)

    def _failed(self, failure: RequestFailure) -> None:
        self._finish_slot()
        if failure is RequestFailure.NOT_CONNECTED:
            self._server.suspect_finished(self.request.fingerprint, False)
            self._refuse(RefusalReason.UPSTREAM_REFUSED)
        elif failure is RequestFailure.CANCELLED:
            self._server.suspect_finished(self.request.fingerprint, False)
            self._refuse(
                RefusalReason.CANCELLED_RUNNING
                if self._is_cancelled
                else RefusalReason.DEADLINE_RUNNING
            )
        else:
            self._server.upstream.probe(self._probed)

    def _probed(self, is_accepting: bool) -> None:
        if is_accepting:
            self._server.suspect_finished(self.request.fingerprint, False)
        self._end_unknown(RefusalReason.UPSTREAM_LOST, not is_accepting)

    def _finish_slot(self, *, is_measured: bool = True) -> None:
        """Frees the slot.

        Args:
            is_measured: Whether the time at the upstream tells how long a run
                takes; that of a run without an answer does not.
        """
        server = self._server
        ticket = self._ticket
        server.running.remove(self._handle)
        server.chains.ended(self.request.request_id)
        server.running_calls.discard(self)
        if self._run_timer is not None:
            self._run_timer.cancel()
        if ticket is not None:
            self._ticket = None
            service_s = server.clock.monotonic() - self._started_s
            server.service_timer.record(service_s)
            server.upstream.admission.finish(
                ticket, service_s if is_measured else None
            )

    def cancel(self) -> None:
        """Stops waiting work; cancels running work that may run again.

        Running keyed work goes on, so that its record gets the answer. So does
        work that must not be repeated: breaking it off leaves its effect
        unknown without saving much.
        """
        self._is_cancelled = True
        if self._phase is _Phase.WAITING and self._joined_key is not None:
            # The joined run goes on and may take effect.
            self._refuse(RefusalReason.CANCELLED_RUNNING)
        elif self._phase is _Phase.WAITING:
            self._withdraw()
            self._refuse(RefusalReason.CANCELLED_QUEUED)
        elif self._phase is _Phase.RUNNING and self._may_be_broken_off():
            self._cancel_run()

    def _may_be_broken_off(self) -> bool:
        return self._key is None and self._call.repeatable is not False

    def _cancel_run(self) -> None:
        self.request.cancel_calls()
        if self._pending is not None:
            self._pending.cancel()

    def _withdraw(self) -> None:
        if self._ticket is not None:
            self._server.upstream.admission.cancel(self._ticket)
            self._ticket = None

    def _expire(self) -> None:
        if self._phase is _Phase.WAITING and self._joined_key is None:
            self._withdraw()
            self._refuse(RefusalReason.DEADLINE_QUEUED)
        elif self._phase is _Phase.WAITING:
            # The joined run may still take effect.
            self._answer(CallResult.refused(RefusalReason.DEADLINE_RUNNING))
        elif self._phase is _Phase.RUNNING and self._key is None:
            self._cancel_run()
        elif self._phase is _Phase.RUNNING:
            self._run_timer = self._server.timers.after(
                _LONGEST_KEYED_RUN_S, self._give_up_run
            )
            self._deliver(CallResult.refused(RefusalReason.DEADLINE_RUNNING))

    def _give_up_run(self) -> None:
        if self._phase is _Phase.RUNNING:
            self._cancel_run()

    def joined_run_ended(self, result: CallResult) -> None:
        """Answers a call that joined the run of an earlier send."""
        if self._phase is _Phase.WAITING:
            self._answer(result)

    def _refuse(self, reason: RefusalReason) -> None:
        if reason.is_not_run:
            if self._key is not None:
                self._server.key_owner.not_run(self._key)
            self._server.metrics.refused(reason)
            self._answer(CallResult.refused(reason))
        else:
            self._end_unknown(reason, False)

    def _end_unknown(self, reason: RefusalReason, crashed: bool) -> None:
        if self._key is not None:
            self._server.key_owner.unknown(self._key)
        self._server.metrics.refused(reason)
        self._answer(CallResult.refused(reason, crashed=crashed))

    def _answer(self, result: CallResult) -> None:
        self._phase = _Phase.DONE
        key = self._key
        self._deliver(result)
        if key is not None:
            self._server.run_ended(key.raw, result)

    def _deliver(self, result: CallResult) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if self._is_answered:
            return
        self._is_answered = True
        self._on_done(result, self.request.ledger.close())
