"""Runs calls on the upstream beside this node."""

from collections.abc import Callable

from radishtray_node._call_result import CallResult
from radishtray_node._forwarding import Forwarding
from radishtray_node._incoming_call import DoneCallback, IncomingCall
from radishtray_node._local_upstream import LocalUpstream, UpstreamProcess
from radishtray_node._metrics import Metrics
from radishtray_node._running_request import MAX_CALL_DEPTH, RunningRequests
from radishtray_node._service_uses import RunUses, uses_to_wire
from radishtray_node._timers import TimerWheel
from radishtray_protocol import wire
from radishtray_state import (
    CallChains,
    Clock,
    CrashSuspect,
    FailureEstimator,
    KeyOwner,
    ParentRequest,
    RefusalReason,
    RejectionRepeats,
)
from radishtray_transport import HttpResponse

# Short in comparison to the deadlines of calls, which are about a second.
_QUEUE_EXPIRY_INTERVAL_S = 0.05


class UpstreamServer:
    """Runs calls from other nodes and from this node on the upstream.

    Attributes:
        clock: Time source.
        chains: Requests that the upstream is running, by request id.
        timers: Timers of deadlines.
        upstream: The upstream beside this node.
        key_owner: Records of at-most-once requests.
        running_requests: Requests that the upstream is running, by handle.
        running_calls: Calls that the upstream is running.
        metrics: Metrics of this node.
        queue_timer: Records the time from a call's arrival until it is sent to
            the upstream.
        service_timer: Records the time that a call takes at the upstream.
        on_key_not_owned: Called when a key arrives that this node does not
            own.
        would_calls_be_refused: Returns whether a service that the upstream
            calls for a request is known to refuse it.
        forwarding: How calls are sent to the upstream.
        rejection_repeats: Which requests that the upstream rejected are sent
            to it again; None for none.
        failures: Estimate of how often the upstream fails requests by itself.
        on_failure: Called after each such failure.
        on_leaving: Called with each response that says that the upstream is
            leaving.
        is_draining: Whether new calls are refused.
        is_key_withdrawn: Returns whether the organisations' keys in force no
            longer contain that of a call.
        learned_slots: Returns the slots that the upstream has been learned to
            handle well; None if these are the stated ones.
        run_uses: Sums what runs use of scarce services; None if answers do not
            state it.
    """

    __slots__ = (
        "_is_expiry_scheduled",
        "_joined_calls",
        "_last_success_s",
        "_unfinished_calls",
        "_waiting_suspects",
        "chains",
        "clock",
        "failures",
        "forwarding",
        "is_draining",
        "is_key_withdrawn",
        "key_owner",
        "learned_slots",
        "metrics",
        "on_failure",
        "on_key_not_owned",
        "on_leaving",
        "queue_timer",
        "rejection_repeats",
        "run_uses",
        "running_calls",
        "running_requests",
        "service_timer",
        "timers",
        "upstream",
        "would_calls_be_refused",
    )

    def __init__(
        self,
        clock: Clock,
        timers: TimerWheel,
        upstream: LocalUpstream,
        key_owner: KeyOwner[CallResult],
        running_requests: RunningRequests,
        metrics: Metrics,
        on_key_not_owned: Callable[[], None],
        would_calls_be_refused: Callable[[wire.Call], bool],
        forwarding: Forwarding,
        rejection_repeats: RejectionRepeats | None = None,
        on_failure: Callable[[], None] = lambda: None,
        on_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a server without calls.

        Args:
            clock: Time source.
            timers: Timers of deadlines.
            upstream: The upstream beside this node.
            key_owner: Records of at-most-once requests.
            running_requests: Requests that the upstream is running, by handle.
            metrics: Metrics of this node.
            on_key_not_owned: Called when a key arrives whose slot this node,
                by its own slot table, does not own.
            would_calls_be_refused: Returns whether a service that the upstream
                calls for this kind is known to refuse the request.
            forwarding: How calls are sent to the upstream; `upstream` uses its
                response rules.
            rejection_repeats: Which requests that the upstream rejected are
                sent to it again; None for none.
            on_failure: Called after each failure of the upstream itself.
            on_leaving: Called with each response that says that the upstream is
                leaving.
        """
        self.failures = FailureEstimator(clock)
        self.on_failure = on_failure
        self.on_leaving = on_leaving
        self.forwarding = forwarding
        self.rejection_repeats = rejection_repeats
        self.would_calls_be_refused = would_calls_be_refused
        self.on_key_not_owned = on_key_not_owned
        self.clock = clock
        self.chains = CallChains(clock)
        self.timers = timers
        self.upstream = upstream
        self.key_owner = key_owner
        self.running_requests = running_requests
        self.metrics = metrics
        self.queue_timer = metrics.create_stage_timer("queue")
        self.service_timer = metrics.create_stage_timer("upstream")
        self.running_calls: set[IncomingCall] = set()
        self.is_draining = False
        self.run_uses: RunUses | None = None
        self.is_key_withdrawn: Callable[[wire.Call], bool] = lambda _call: False
        self.learned_slots: Callable[[], int | None] = lambda: None
        self._unfinished_calls = 0
        self._is_expiry_scheduled = False
        self._last_success_s = 0.0
        self._joined_calls: dict[bytes, list[IncomingCall]] = {}
        self._waiting_suspects: list[IncomingCall] = []

    @property
    def unfinished_calls(self) -> int:
        """Number of calls that have not been answered."""
        return self._unfinished_calls

    def serve(self, call: wire.Call, on_done: DoneCallback) -> IncomingCall:
        """Starts serving one call.

        Args:
            call: The call as received.
            on_done: Called once with the result and the number of retries
                spent; possibly before this method returns.

        Returns:
            The call, which can be cancelled.
        """
        self._unfinished_calls += 1
        incoming = IncomingCall(self, call, self._wrap_on_done(on_done))
        incoming.start()
        return incoming

    def _wrap_on_done(self, on_done: DoneCallback) -> DoneCallback:
        def done(result: CallResult, retries: int) -> None:
            self._unfinished_calls -= 1
            on_done(result, retries)

        return done

    def refusal_reason(self, call: wire.Call) -> RefusalReason | None:
        """Returns why this node cannot run a call at present, or None."""
        if self.is_draining:
            return RefusalReason.DRAINING
        if not call.is_crash_probe and self._is_blocked(
            call.context.fingerprint
        ):
            return RefusalReason.CRASH_SUSPECT
        if self.upstream.service != call.service_name:
            return RefusalReason.NO_UPSTREAM
        if call.context.depth > MAX_CALL_DEPTH:
            return RefusalReason.TOO_DEEP
        return None

    def _is_blocked(self, fingerprint: int) -> bool:
        """Returns whether a request content has crashed too many upstreams.

        This is checked before the upstream itself, so that senders get
        this refusal also while the upstream is down.
        """
        suspects = self.upstream.suspects
        return suspects.crashes(fingerprint) >= suspects.block_threshold

    def add_joined_call(self, key: bytes, call: IncomingCall) -> None:
        """Registers a resend that waits for the running call of its key."""
        self._joined_calls.setdefault(key, []).append(call)

    def finish_joined_calls(self, key: bytes, result: CallResult) -> None:
        """Answers the resends that wait for the run of a key."""
        for call in self._joined_calls.pop(key, ()):
            call.finish_joined(result)

    def add_waiting_suspect(self, call: IncomingCall) -> None:
        """Registers a suspect that waits for another one to finish."""
        self._waiting_suspects.append(call)

    def note_run_finished(self, fingerprint: int, completed: bool) -> None:
        """Records the end of a run that did not crash the upstream.

        Args:
            fingerprint: Digest of the request's content.
            completed: Whether the upstream answered.
        """
        suspects = self.upstream.suspects
        if suspects.record_end(fingerprint, completed):
            self.recheck_waiting_suspects()

    def note_run_abandoned(self, fingerprint: int) -> None:
        """Records that this node no longer waits for the end of a run.

        Args:
            fingerprint: Digest of the request's content.
        """
        if self.upstream.suspects.record_abandoned(fingerprint):
            self.recheck_waiting_suspects()

    def record_statements(
        self, process: UpstreamProcess, response: HttpResponse, sent_at_s: float
    ) -> None:
        """Applies what a response states about the upstream.

        Args:
            process: The process that answered.
            response: Its response.
            sent_at_s: Monotonic time at which the request was sent.
        """
        statements = self.forwarding.read_statements(response)
        if statements.is_limit_readable:
            self.upstream.record_stated_limit(
                process, statements.limit_per_s, sent_at_s
            )
        if statements.is_leaving and process is self.upstream.process:
            self.on_leaving()

    def record_success(self) -> None:
        """Records that the upstream served a request."""
        self._last_success_s = self.clock.monotonic()
        self.failures.record(is_failure=False)

    def record_failure(
        self,
        parent: ParentRequest | None,
        started_s: float,
        *,
        is_timeout: bool,
    ) -> None:
        """Records that the upstream failed a request, unless excused.

        It is excused if one of the request's calls explains the failure. A
        timeout may also be due to overload, so it counts only if the upstream
        has served nothing meanwhile.

        Args:
            parent: The run, as the parent of its calls.
            started_s: Monotonic time at which the run began.
            is_timeout: Whether the run did not end in time.
        """
        if parent is not None and parent.explains_failure:
            return
        if is_timeout and self._last_success_s >= started_s:
            return
        self.failures.record(is_failure=True)
        self.on_failure()

    def recheck_waiting_suspects(self) -> None:
        """Checks again whether the waiting suspects may run."""
        waiting = self._waiting_suspects
        self._waiting_suspects = []
        for call in waiting:
            call.recheck_suspect()

    def handle_upstream_crash(self) -> list[CrashSuspect]:
        """Records a crash of the upstream during its running calls.

        Returns:
            The entries that this changed.
        """
        changed = self.upstream.suspects.upstream_crashed()
        self.recheck_waiting_suspects()
        return changed

    def schedule_queue_expiry(self) -> None:
        """Schedules a check for queued calls that cannot be answered in time.

        To be called whenever a call may have been queued. The check drops such
        calls and repeats until the queue is empty.
        """
        if self.upstream.admission.queued and not self._is_expiry_scheduled:
            self._is_expiry_scheduled = True
            self.timers.call_later(_QUEUE_EXPIRY_INTERVAL_S, self._expire_queue)

    def _expire_queue(self) -> None:
        self._is_expiry_scheduled = False
        self.upstream.admission.expire()
        self.schedule_queue_expiry()

    def build_answer(
        self,
        attempt_id: int,
        result: CallResult,
        retries_used: int,
        kind: str = "",
    ) -> wire.Answer:
        """Builds the answer to a sender, including the load of this node.

        Args:
            attempt_id: Id of the sender's attempt.
            result: The result of the call.
            retries_used: Number of retries spent for the call.
            kind: Kind of the call, whose chain threshold is sent along; empty
                if there is no kind.
        """
        chain_threshold = self.chains.compute_chain_threshold(kind)
        admission = self.upstream.admission
        refusal = result.refusal
        return wire.Answer(
            attempt_id=attempt_id,
            status=result.status,
            headers=result.headers if refusal is None else [],
            body=result.body if refusal is None else b"",
            retries_used=retries_used,
            refusal=None if refusal is None else refusal.value,
            threshold=admission.threshold,
            queue_ms=min(int(admission.queue_ms), 2**31 - 1),
            in_flight=admission.in_flight,
            crashed=result.crashed or None,
            call_failed=result.call_failed or None,
            chain_threshold=chain_threshold or None,
            learned_slots=self.learned_slots(),
            service_uses=(
                uses_to_wire(result.service_uses)
                if result.service_uses
                else None
            ),
        )
