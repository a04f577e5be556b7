"""Serves calls on this node's upstream."""

from collections.abc import Callable

from radishtray_node._call_result import CallResult
from radishtray_node._forwarding import ContextForwarding, Forwarding
from radishtray_node._incoming_call import DoneCallback, IncomingCall
from radishtray_node._local_upstream import LocalUpstream
from radishtray_node._metrics import Metrics
from radishtray_node._running_request import MAX_DEPTH, RunningRequests
from radishtray_node._timers import TimerWheel
from radishtray_protocol import wire
from radishtray_state import CallChains, Clock, KeyOwner, RefusalReason

# Short beside the deadlines of calls, which are a second or so.
_EXPIRE_INTERVAL_S = 0.05


class UpstreamServer:
    """Runs calls of other nodes, and of this one, on the upstream.

    Attributes:
        clock: Time source.
        chains: Requests that the upstream is running, by id.
        timers: Timers of deadlines.
        upstream: The upstream beside this node.
        key_owner: At-most-once records.
        running: Requests that the upstream is running, by handle.
        running_calls: Calls that the upstream is running.
        metrics: Counters of this node.
        queue_timer: Time from arrival to the upstream.
        service_timer: Time at the upstream.
        on_key_not_owned: Called when a key arrived that is not owned here.
        refuses_calls: Whether the upstream's calls would be refused.
        forwarding: The upstream's interface.
        is_draining: Whether new work is refused.
    """

    __slots__ = (
        "_calls",
        "_is_expiring",
        "_joined",
        "_suspects_waiting",
        "chains",
        "clock",
        "forwarding",
        "is_draining",
        "key_owner",
        "metrics",
        "on_key_not_owned",
        "queue_timer",
        "refuses_calls",
        "running",
        "running_calls",
        "service_timer",
        "timers",
        "upstream",
    )

    def __init__(
        self,
        clock: Clock,
        timers: TimerWheel,
        upstream: LocalUpstream,
        key_owner: KeyOwner[CallResult],
        running: RunningRequests,
        metrics: Metrics,
        on_key_not_owned: Callable[[], None],
        refuses_calls: Callable[[wire.Call], bool],
        forwarding: Forwarding | None = None,
    ) -> None:
        """Starts without calls.

        Args:
            clock: Time source.
            timers: Timers of deadlines.
            upstream: The upstream beside this node.
            key_owner: At-most-once records.
            running: Requests that the upstream is running, by handle.
            metrics: Counters of this node.
            on_key_not_owned: Called when a key of a slot arrived that this
                node does not know to own.
            refuses_calls: Whether a service that the upstream calls for this
                kind is known to refuse the request.
            forwarding: The upstream's interface; the product's own if None.
        """
        self.forwarding = forwarding or ContextForwarding()
        self.refuses_calls = refuses_calls
        self.on_key_not_owned = on_key_not_owned
        self.clock = clock
        self.chains = CallChains(clock)
        self.timers = timers
        self.upstream = upstream
        self.key_owner = key_owner
        self.running = running
        self.metrics = metrics
        self.queue_timer = metrics.create_stage_timer("queue")
        self.service_timer = metrics.create_stage_timer("upstream")
        self.running_calls: set[IncomingCall] = set()
        self.is_draining = False
        self._calls = 0
        self._is_expiring = False
        self._joined: dict[bytes, list[IncomingCall]] = {}
        self._suspects_waiting: list[IncomingCall] = []

    @property
    def unfinished(self) -> int:
        """Calls that have not been answered."""
        return self._calls

    def serve(self, call: wire.Call, on_done: DoneCallback) -> IncomingCall:
        """Serves one call.

        Args:
            call: The call as received.
            on_done: Called once with the result and the retries spent.

        Returns:
            The call, which can be cancelled.
        """
        self._calls += 1
        incoming = IncomingCall(self, call, self._counted(on_done))
        incoming.start()
        return incoming

    def _counted(self, on_done: DoneCallback) -> DoneCallback:
        def done(result: CallResult, retries: int) -> None:
            self._calls -= 1
            on_done(result, retries)

        return done

    def refusal_of(self, call: wire.Call) -> RefusalReason | None:
        """Returns why a call cannot run here at all, or None."""
        if self.is_draining:
            return RefusalReason.DRAINING
        if self._is_blocked(call.context.fingerprint):
            return RefusalReason.CRASH_SUSPECT
        if self.upstream.service != call.service_name:
            return RefusalReason.NO_UPSTREAM
        if call.context.depth > MAX_DEPTH:
            return RefusalReason.TOO_DEEP
        return None

    def _is_blocked(self, fingerprint: int) -> bool:
        """Whether a content has crashed two upstreams.

        This is known, and must be said, also while the upstream is down.
        """
        suspects = self.upstream.suspects
        return suspects.crashes(fingerprint) >= suspects.blocked_crashes

    def join_run(self, key: bytes, call: IncomingCall) -> None:
        """Lets a resend wait for the run that has begun."""
        self._joined.setdefault(key, []).append(call)

    def run_ended(self, key: bytes, result: CallResult) -> None:
        """Answers the resends that wait for a run."""
        for call in self._joined.pop(key, ()):
            call.joined_run_ended(result)

    def wait_for_suspect(self, call: IncomingCall) -> None:
        """Lets a suspect wait until another one has finished."""
        self._suspects_waiting.append(call)

    def suspect_finished(self, fingerprint: int, completed: bool) -> None:
        """Notes the end of a run that did not crash the upstream."""
        suspects = self.upstream.suspects
        if suspects.finished(fingerprint, completed):
            self.release_suspects()

    def release_suspects(self) -> None:
        """Lets waiting suspects be checked again."""
        waiting = self._suspects_waiting
        self._suspects_waiting = []
        for call in waiting:
            call.check_suspect_again()

    def upstream_crashed(self) -> None:
        """Notes that the upstream ended while it ran the present calls."""
        self.upstream.suspects.upstream_crashed()
        self.release_suspects()

    def expire_queued(self) -> None:
        """Drops queued calls that are too late, again and again.

        Call when a call may have been queued; an empty queue costs nothing.
        """
        if self.upstream.admission.queued and not self._is_expiring:
            self._is_expiring = True
            self.timers.after(_EXPIRE_INTERVAL_S, self._expire)

    def _expire(self) -> None:
        self._is_expiring = False
        self.upstream.admission.expire()
        self.expire_queued()

    def answer_frame(
        self,
        attempt_id: int,
        result: CallResult,
        retries_used: int,
        kind: str = "",
    ) -> wire.Answer:
        """Builds the answer to a sender, with this node's load.

        Args:
            attempt_id: Id of the sender's attempt.
            result: The answer or refusal.
            retries_used: Retries that were spent for the call.
            kind: Kind of the call; empty if calls are not told apart.
        """
        chain_threshold = self.chains.threshold_of_calls(kind)
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
            chain_threshold=chain_threshold or None,
        )
