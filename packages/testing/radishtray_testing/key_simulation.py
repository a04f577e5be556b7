"""Deterministic simulation of slot owners, entry nodes, callers and faults.

A caller sends its request to any node, which acts as the entry node and
forwards the request to the owner of the key's slot. Messages, timers and faults
are events on one simulated reactor; the seed determines the whole run.

Horizon, boundary lead, poll time and retention are shorter than in production,
so that each takes effect often in a run of a few minutes. Two limits keep their
production values: how far ahead of its clock an owner accepts a key, and the
bound on clock errors.
"""

import heapq
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from functools import partial
from random import Random
from typing import Any, Final
from unittest import mock

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from zope.interface import implementer

from radishtray_coordination import SlotDriver, _slot_driver
from radishtray_protocol import decode_slot_table
from radishtray_state import (
    KeyBounds,
    KeyDecision,
    KeyForward,
    KeyOwner,
    KeyRecords,
    KeyRefresh,
    KeyRefusal,
    KeyRoute,
    KeyRouter,
    KeyVerdict,
    ManualClock,
    RefusalReason,
    RequestKey,
    SlotOwner,
    SlotTable,
    _key_slots,
    prune,
    transfer_boundaries,
)
from radishtray_testing.history import (
    Body,
    Effect,
    Event,
    Reply,
    ReplyKind,
    Send,
    Violation,
    check_history,
)
from radishtray_testing.memory_platform import (
    MemoryPlatform,
    MemoryPlatformClient,
    is_missing,
)

SERVICE: Final = "s"
FAULT_KINDS: Final = (
    "kill",
    "freeze",
    "cut",
    "platform_outage",
    "lost_answers",
    "platform_cut",
    "planned_stop",
)
"""Names of the methods of `Simulation` that inject faults."""

RUN_DURATION_S: Final = 400.0
START_WALL_MS: Final = 1_700_000_000_000
"""True wall time at the start of a run."""

_OWNER_NODE_COUNT: Final = 4
_ENTRY_ONLY_NODE_COUNT: Final = 2
_OPERATIONS_PER_S: Final = 3.0
_FAULT_PAIRS: Final = 10
_FAULT_KINDS_PER_SEED: Final = 3
_FAILURE_DETECTION_S: Final = 3.0
_FORWARD_TIMEOUT_S: Final = 5.0
_CALLER_TIMEOUT_S: Final = 6.0
_MAX_SENDS_PER_OPERATION: Final = 5
_CALLER_CLOCK_OFFSETS_S: Final = (-20, 0, 0, 0, 3, 20, 40, 100, 300)
"""Errors of the callers' clocks, which give keys their issue times."""

_RESEND_DELAYS_S: Final = (0.01, 0.1, 0.5, 1, 3, 10, 40, 90)
_MAX_NODE_CLOCK_ERROR_S: Final = 14
"""Node clocks differ by at most twice this, within the bound of 30 s."""

_KEY_BOUNDS: Final = KeyBounds(
    max_records=60, max_bytes=1 << 20, min_retention_s=10, retention_s=30
)
"""Low bounds, so that records expire and are evicted within a run."""

ReplyCallback = Callable[[ReplyKind, Body | None, RequestKey | None], None]
"""Takes the outcome of a send, the answer if any, and the retry key if any."""


@contextmanager
def shortened_times() -> Iterator[None]:
    """Patches the long times of slot tables and drivers with short ones."""
    with ExitStack() as stack:
        for module, name, value in (
            (_key_slots, "HORIZON_MS", 100_000),
            (_slot_driver, "HORIZON_MS", 100_000),
            (_slot_driver, "RENEWAL_MS", 50_000),
            (_key_slots, "REBALANCE_LEAD_MS", 20_000),
            (_slot_driver, "POLL_S", 10.0),
            (_slot_driver, "prune", partial(prune, retention_ms=40_000)),
        ):
            stack.enter_context(mock.patch.object(module, name, value))
        yield


@implementer(IReactorTime)
class SimulatedReactor:
    """Discrete-event reactor on simulated time.

    It keeps timers in a heap, because `twisted.internet.task.Clock` sorts all
    of them at every call.
    """

    def __init__(self) -> None:
        """Starts at time zero."""
        self._now_s = 0.0
        self._sequence = 0
        self._timers: list[tuple[float, int, DelayedCall]] = []

    def seconds(self) -> float:
        """Returns simulated seconds."""
        return self._now_s

    def callLater(
        self,
        delay: float,
        callable: Callable[..., Any],
        *args: object,
        **kwargs: object,
    ) -> DelayedCall:
        """Schedules a call after a delay in simulated time."""
        due_s = self._now_s + delay
        timer = DelayedCall(
            due_s,
            callable,
            args,
            kwargs,
            _leave_in_queue,
            _leave_in_queue,
            self.seconds,
        )
        self._sequence += 1
        heapq.heappush(self._timers, (due_s, self._sequence, timer))
        return timer

    def getDelayedCalls(self) -> list[IDelayedCall]:
        """Returns an empty list; the code under test does not use it."""
        return []

    def run_until(self, end_s: float) -> None:
        """Runs the calls that are due before a time, earliest first."""
        while self._timers and self._timers[0][0] < end_s:
            self._now_s, _, timer = heapq.heappop(self._timers)
            if not timer.cancelled:
                timer.called = 1
                timer.func(*timer.args, **timer.kw)
        self._now_s = end_s


def _leave_in_queue(_timer: DelayedCall) -> None:
    """Leaves a timer in the heap when it is cancelled.

    `run_until` skips cancelled timers.
    """


class NodeClock:
    """Monotonic and wall clock of one node, on simulated time."""

    __slots__ = ("_offset_ms", "_reactor")

    def __init__(self, reactor: SimulatedReactor, offset_ms: int) -> None:
        """Sets the error of the node's wall clock.

        Args:
            reactor: Simulated time.
            offset_ms: Difference of the wall clock from true time.
        """
        self._reactor = reactor
        self._offset_ms = offset_ms

    def monotonic(self) -> float:
        """Returns simulated seconds."""
        return float(self._reactor.seconds())

    def wall_ms(self) -> int:
        """Returns the true wall time plus the node's clock error."""
        return (
            START_WALL_MS
            + self._offset_ms
            + int(self._reactor.seconds() * 1000)
        )


@implementer(IReactorTime)
class NodeReactor:
    """Timers and received messages of one process that can freeze or end."""

    def __init__(self, reactor: SimulatedReactor) -> None:
        """Starts the process in the running state.

        Args:
            reactor: Simulated time.
        """
        self._reactor = reactor
        self._queued_calls: list[Callable[[], Any]] = []
        self.frozen_at_s: float | None = None
        self.ended_at_s: float | None = None

    def seconds(self) -> float:
        """Returns simulated seconds."""
        return float(self._reactor.seconds())

    def callLater(
        self,
        delay: float,
        callable: Callable[..., Any],
        *args: object,
        **kwargs: object,
    ) -> IDelayedCall:
        """Schedules a call; if the process is frozen then, it waits."""
        deferred_call = partial(callable, *args, **kwargs)
        return self._reactor.callLater(delay, self.run_or_queue, deferred_call)

    def getDelayedCalls(self) -> list[IDelayedCall]:
        """Returns an empty list; the code under test does not use it."""
        return []

    def run_or_queue(self, call: Callable[[], Any]) -> None:
        """Runs a call now, unless the process is frozen or has ended.

        A frozen process runs it on resume; an ended one drops it.
        """
        if self.ended_at_s is not None:
            return
        if self.frozen_at_s is not None:
            self._queued_calls.append(call)
            return
        call()

    def freeze(self) -> None:
        """Pauses the process until `resume`."""
        if self.frozen_at_s is None:
            self.frozen_at_s = self.seconds()

    def resume(self) -> None:
        """Continues the process and runs the calls queued meanwhile."""
        self.frozen_at_s = None
        queued_calls, self._queued_calls = self._queued_calls, []
        for call in queued_calls:
            self.run_or_queue(call)

    def end(self) -> None:
        """Ends the process permanently."""
        if self.ended_at_s is None:
            self.ended_at_s = self.seconds()


class Node:
    """One process: an entry node, and a slot owner if it has an upstream."""

    def __init__(
        self, simulation: "Simulation", identity: SlotOwner, has_upstream: bool
    ) -> None:
        """Starts the process.

        Args:
            simulation: The simulation.
            identity: Node id and incarnation of the process.
            has_upstream: Whether the process may own slots.
        """
        self.simulation = simulation
        self.identity = identity
        self.has_upstream = has_upstream
        self.draining = False
        self.reactor = NodeReactor(simulation.reactor)
        self.clock = NodeClock(
            simulation.reactor, simulation.clock_error_ms(identity.node_id)
        )
        self.client = MemoryPlatformClient(simulation.platform, self.reactor)
        self.key_owner: KeyOwner[Body] = KeyOwner(
            identity.node_id,
            identity.incarnation,
            self.clock,
            _KEY_BOUNDS,
            lambda body: len(body.text),
        )
        self.router = KeyRouter(
            self.clock,
            simulation.rng,
            partial(simulation.considers_alive, self),
            200,  # Few remembered keys, so that some are forgotten.
        )
        self.waiters: dict[RequestKey, list[ReplyCallback]] = {}
        self.driver = SlotDriver(
            self.client,
            self.clock,
            simulation.rng,
            reactor=self.reactor,
            service=SERVICE,
            owner=self.key_owner,
            members=lambda: simulation.members_seen_by(self),
            is_missing=is_missing,
            send_records=self._send_records,
            push_table=self._push_table,
            on_table=lambda *_table: None,
        )
        if has_upstream:
            self.driver.start()

    def handle_request(
        self,
        send: Send,
        key: RequestKey,
        is_first_send: bool,
        reply_to_caller: ReplyCallback,
    ) -> None:
        """Handles a caller's request as entry node."""
        EntryRequest(self, send, key, is_first_send, reply_to_caller).start()

    def handle_forward(
        self, send: Send, key: RequestKey, replier: "ForwardReplier"
    ) -> None:
        """Handles a forwarded request as slot owner."""
        decision = self.key_owner.offer(SERVICE, key, send.digest.encode())
        if decision.verdict is KeyVerdict.RUN:
            self.waiters[key] = [replier.send_outcome]
            self.reactor.callLater(
                self.simulation.rng.uniform(0, 0.2),
                self._dispatch_to_upstream,
                send,
                key,
            )
        elif decision.verdict is KeyVerdict.JOIN:
            self.waiters[key].append(replier.send_outcome)
        else:
            replier.send_decision(decision)

    def start_planned_stop(self) -> None:
        """Drains, hands over slots and records, then ends the process."""
        self.draining = True
        drained: Deferred[None] = Deferred()
        self._poll_drained(drained)
        stopped = self.driver.leave(drained)
        stopped.addBoth(lambda _: self.reactor.end())

    def _poll_drained(self, drained: Deferred[None]) -> None:
        if self.key_owner.running_count:
            self.reactor.callLater(0.1, self._poll_drained, drained)
        else:
            drained.callback(None)

    def _dispatch_to_upstream(self, send: Send, key: RequestKey) -> None:
        """Runs the request at the upstream.

        Refuses 5% of requests instead, as admission control may do.
        """
        if self.simulation.rng.random() < 0.05:
            self.key_owner.not_run(key)
            self._reply_to_waiters(key, ReplyKind.NOT_RUN, None)
            return
        body = self.simulation.run_at_upstream(send)
        self.reactor.callLater(
            self.simulation.rng.expovariate(2.0), self._finish_run, key, body
        )

    def _finish_run(self, key: RequestKey, body: Body) -> None:
        """Records the outcome of a run; 5% of outcomes are unknown."""
        if self.simulation.rng.random() < 0.05:
            self.key_owner.unknown(key)
            self._reply_to_waiters(key, ReplyKind.UNKNOWN, None)
            return
        self.key_owner.finish(key, body)
        self._reply_to_waiters(key, ReplyKind.ANSWERED, body)

    def _reply_to_waiters(
        self, key: RequestKey, kind: ReplyKind, body: Body | None
    ) -> None:
        for reply_callback in self.waiters.pop(key, ()):
            reply_callback(kind, body, None)

    def _send_records(
        self, successor: SlotOwner, records: KeyRecords[Body]
    ) -> Deferred[None]:
        acknowledged: Deferred[None] = Deferred()
        acknowledged.addTimeout(2.0, self.reactor)
        target = self.simulation.find_node(successor)
        if target is not None:
            self.simulation.send_message(
                self,
                target,
                partial(self._import_records, target, records, acknowledged),
            )
        return acknowledged

    def _import_records(
        self,
        target: "Node",
        records: KeyRecords[Body],
        acknowledged: Deferred[None],
    ) -> None:
        """Imports the records at the target, which acknowledges them."""
        target.key_owner.import_records(
            records.service, records.slot, records.records
        )
        self.simulation.send_message(
            target, self, lambda: _fire_once(acknowledged)
        )

    def _push_table(
        self, member: SlotOwner, version: int, table: SlotTable
    ) -> None:
        target = self.simulation.find_node(member)
        if target is not None:
            receive_table = partial(target.driver.receive_table, version, table)
            self.simulation.send_message(self, target, receive_table)


class ForwardReplier:
    """Sends the owner's reply to a forwarded request back to its entry node."""

    def __init__(
        self,
        owner_node: Node,
        entry_request: "EntryRequest",
        forward: KeyForward,
    ) -> None:
        """Connects a forwarded request to its entry node.

        Args:
            owner_node: The process that decides.
            entry_request: The request at its entry node.
            forward: The forward that is answered.
        """
        self._owner_node = owner_node
        self._entry_request = entry_request
        self._forward = forward

    def send_decision(self, decision: KeyDecision[Body]) -> None:
        """Sends a decision that needs no run."""
        self._send_to_entry(
            partial(
                self._entry_request.handle_decision, self._forward, decision
            )
        )

    def send_outcome(
        self, kind: ReplyKind, body: Body | None, _key: RequestKey | None
    ) -> None:
        """Sends the outcome of a run."""
        self._send_to_entry(
            partial(self._entry_request.reply, kind, body, None)
        )

    def _send_to_entry(self, call: Callable[[], None]) -> None:
        simulation = self._owner_node.simulation
        simulation.send_message(
            self._owner_node, self._entry_request.node, call
        )


class EntryRequest:
    """A caller's request at its entry node, from receipt to reply."""

    def __init__(
        self,
        node: Node,
        send: Send,
        key: RequestKey,
        is_first_send: bool,
        reply_to_caller: ReplyCallback,
    ) -> None:
        """Prepares the request; `start` routes it.

        Args:
            node: The entry node.
            send: The caller's send.
            key: Idempotency key of the send.
            is_first_send: Whether the caller declares the key's first send.
            reply_to_caller: Replies to the caller.
        """
        self.node = node
        self._send = send
        self._key = key
        self._is_first_send = is_first_send
        self._reply_to_caller: ReplyCallback | None = reply_to_caller

    def start(self) -> None:
        """Routes the request to the owner of its key."""
        self._follow_route(
            self.node.router.route(SERVICE, self._key, self._is_first_send)
        )

    def handle_decision(
        self, forward: KeyForward, decision: KeyDecision[Body]
    ) -> None:
        """Handles an owner's decision; ignored after a reply to the caller."""
        if self._reply_to_caller is None:
            return
        if decision.reason in (
            RefusalReason.KEY_NOT_OWNED,
            RefusalReason.DRAINING,
        ):
            router = self.node.router
            self._follow_route(
                router.route_after_not_run(SERVICE, self._key, forward)
            )
        elif decision.reason is not None:
            self._refuse(decision.reason, None)
        else:
            self.reply(ReplyKind.ANSWERED, decision.answer, None)

    def reply(
        self, kind: ReplyKind, body: Body | None, retry_key: RequestKey | None
    ) -> None:
        """Replies to the caller; every later reply is dropped."""
        reply_to_caller, self._reply_to_caller = self._reply_to_caller, None
        if reply_to_caller is not None:
            reply_to_caller(kind, body, retry_key)

    def _follow_route(self, route: KeyRoute) -> None:
        if isinstance(route, KeyRefusal):
            self._refuse(route.reason, route.retry_key)
        elif isinstance(route, KeyRefresh):
            self._refresh_table(route)
        else:
            self._forward_to_owner(route)

    def _forward_to_owner(self, route: KeyForward) -> None:
        simulation = self.node.simulation
        target = simulation.find_node(route.owner)
        self.node.reactor.callLater(
            _FORWARD_TIMEOUT_S, self._handle_forward_timeout
        )
        if target is not None:
            replier = ForwardReplier(target, self, route)
            handle_forward = partial(
                target.handle_forward, self._send, self._key, replier
            )
            simulation.send_message(self.node, target, handle_forward)

    def _handle_forward_timeout(self) -> None:
        if self._reply_to_caller is not None:
            self._refuse(self.node.router.lost().reason, None)

    def _refresh_table(self, route: KeyRefresh) -> None:
        """Pulls the slot table of a random member, then routes again.

        Routes again with the old table if no table arrives within 0.5 s.
        """
        simulation = self.node.simulation
        route_again = _CallOnce(partial(self._route_again, route))
        self.node.reactor.callLater(0.5, route_again)
        members = [n for n in simulation.running_nodes() if n.has_upstream]
        if members:
            peer = simulation.rng.choice(members)
            pull = partial(self._answer_table_pull, peer, route_again)
            simulation.send_message(self.node, peer, pull)

    def _answer_table_pull(
        self, peer: Node, route_again: Callable[[], None]
    ) -> None:
        """Sends the peer's slot table to the entry node."""
        version, table = peer.driver.version, peer.driver.table
        receive_table = partial(
            self._receive_table, version, table, route_again
        )
        self.node.simulation.send_message(peer, self.node, receive_table)

    def _receive_table(
        self, version: int, table: SlotTable, route_again: Callable[[], None]
    ) -> None:
        self.node.router.set_table(SERVICE, version, table)
        route_again()

    def _route_again(self, route: KeyRefresh) -> None:
        router = self.node.router
        self._follow_route(
            router.route_after_refresh(SERVICE, self._key, route.is_first_send)
        )

    def _refuse(
        self, reason: RefusalReason, retry_key: RequestKey | None
    ) -> None:
        kind = ReplyKind.NOT_RUN if reason.is_not_run else ReplyKind.UNKNOWN
        self.reply(kind, None, retry_key)


class Operation:
    """One operation of a caller, which may take effect at most once.

    The caller sends one request at a time, except that one operation in ten
    starts with two at once. It resends under a retry key when it gets one,
    unless it sent two at once: then the other send may still run.
    """

    def __init__(self, simulation: "Simulation", operation_id: int) -> None:
        """Draws the caller's clock error and behaviour.

        Args:
            simulation: The simulation.
            operation_id: Positive number of the operation.
        """
        self._simulation = simulation
        self._operation_id = operation_id
        offset_s = simulation.rng.choice(_CALLER_CLOCK_OFFSETS_S)
        clock = ManualClock(simulation.wall_ms() + offset_s * 1000)
        self._key = RequestKey.generate(clock, simulation.rng)
        self._send_count = 0
        self._sends_twice = simulation.rng.random() < 0.1
        self._misuses_key = simulation.rng.random() < 0.05

    def start(self) -> None:
        """Sends the first request, or the first two."""
        self._send(is_first_send=True)
        if self._sends_twice:
            self._send(is_first_send=False)

    def _send(self, is_first_send: bool) -> None:
        if self._send_count >= _MAX_SENDS_PER_OPERATION:
            return
        self._send_count += 1
        misused = self._misuses_key and self._send_count > 1
        digest = "other" if misused else "own"
        # Another request under the same key is an operation of its own, with
        # a negative number.
        operation_id = -self._operation_id if misused else self._operation_id
        send = self._simulation.record_send(operation_id, self._key, digest)
        pending_send = _PendingSend(self, send)
        reactor = self._simulation.reactor
        reactor.callLater(_CALLER_TIMEOUT_S, pending_send.handle_timeout)
        nodes = self._simulation.running_nodes()
        if nodes:
            entry_node = self._simulation.rng.choice(nodes)
            handle_request = partial(
                entry_node.handle_request,
                send,
                self._key,
                is_first_send,
                pending_send.receive_reply,
            )
            reactor.callLater(
                0.001, entry_node.reactor.run_or_queue, handle_request
            )

    def handle_reply(
        self, kind: ReplyKind, retry_key: RequestKey | None
    ) -> None:
        """Resends after a random delay.

        Half of the answers end the operation instead.
        """
        rng = self._simulation.rng
        if kind is ReplyKind.ANSWERED and rng.random() < 0.5:
            return
        delay_s = rng.choice(_RESEND_DELAYS_S)
        uses_retry_key = (
            kind is ReplyKind.NOT_RUN and retry_key and not self._sends_twice
        )
        if uses_retry_key:
            assert retry_key is not None
            self._key = retry_key
        self._simulation.reactor.callLater(
            delay_s, self._send, bool(uses_retry_key)
        )


class _PendingSend:
    """A send whose reply the caller awaits."""

    def __init__(self, operation: Operation, send: Send) -> None:
        self._operation = operation
        self._send = send
        self._is_pending = True

    def receive_reply(
        self, kind: ReplyKind, body: Body | None, retry_key: RequestKey | None
    ) -> None:
        """Receives a reply; one that comes after the timeout is ignored."""
        simulation = self._operation._simulation
        simulation.reactor.callLater(
            0.001, self._handle_reply, kind, body, retry_key
        )

    def _handle_reply(
        self, kind: ReplyKind, body: Body | None, retry_key: RequestKey | None
    ) -> None:
        if self._is_pending:
            self._is_pending = False
            reply = Reply(self._send.send_id, kind, body)
            self._operation._simulation.events.append(reply)
            self._operation.handle_reply(kind, retry_key)

    def handle_timeout(self) -> None:
        """Ends the wait; the outcome of the send is unknown."""
        self._handle_reply(ReplyKind.UNKNOWN, None, None)


class _CallOnce:
    """Calls a function at the first call, and does nothing at later ones."""

    def __init__(self, call: Callable[[], None]) -> None:
        self._call: Callable[[], None] | None = call

    def __call__(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            call()


class Simulation:
    """All nodes, callers and faults of one seed, and the recorded history."""

    def __init__(self, seed: int, fault_kinds: Sequence[str] = ()) -> None:
        """Starts the nodes and schedules the callers and faults.

        Args:
            seed: Determines the whole run.
            fault_kinds: Kinds of faults to inject, from `FAULT_KINDS`; drawn
                at random if empty.
        """
        self.rng = Random(seed)
        self.reactor = SimulatedReactor()
        self.platform = MemoryPlatform(self.reactor, self.rng)
        self.events: list[Event] = []
        self._send_count = 0
        self._clock_errors_ms: dict[str, int] = {}
        self._cut_since_s: dict[frozenset[str], float] = {}
        self._nodes: dict[SlotOwner, Node] = {}
        for number in range(_OWNER_NODE_COUNT + _ENTRY_ONLY_NODE_COUNT):
            self._start_node(
                SlotOwner(f"n{number}", 1), number < _OWNER_NODE_COUNT
            )
        self.reactor.callLater(10, self._start_operation, 1)
        # With few kinds per seed, each combination of kinds occurs often.
        fault_names = fault_kinds or self.rng.sample(
            FAULT_KINDS, _FAULT_KINDS_PER_SEED
        )
        fault_methods = [getattr(self, name) for name in fault_names]
        for _ in range(_FAULT_PAIRS):
            pair_due_s = self.rng.uniform(15, RUN_DURATION_S * 0.8)
            # The two faults of a pair often come within one second.
            for _ in range(2):
                delay_s = self.rng.choice((0, 0.05, 1, 5))
                fault = self.rng.choice(fault_methods)
                self.reactor.callLater(
                    pair_due_s + delay_s, self._apply_fault, fault
                )

    def run_and_check(self) -> list[Violation]:
        """Runs the simulation to its end and checks the history."""
        self.reactor.run_until(RUN_DURATION_S)
        return check_history(self.events)

    def wall_ms(self) -> int:
        """Returns the true wall time."""
        return START_WALL_MS + int(self.reactor.seconds() * 1000)

    def clock_error_ms(self, node_id: str) -> int:
        """Returns the clock error of a node, equal for all its processes."""
        max_error_ms = _MAX_NODE_CLOCK_ERROR_S * 1000
        return self._clock_errors_ms.setdefault(
            node_id, self.rng.randint(-max_error_ms, max_error_ms)
        )

    def record_send(
        self, operation_id: int, key: RequestKey, digest: str
    ) -> Send:
        """Records a send in the history and returns it."""
        self._send_count += 1
        send = Send(self._send_count, operation_id, str(key), digest)
        self.events.append(send)
        return send

    def run_at_upstream(self, send: Send) -> Body:
        """Records a run of a request and returns its answer."""
        body = Body(send.key, send.digest, f"run {len(self.events)}")
        self.events.append(Effect(send.send_id, body))
        return body

    def find_node(self, identity: SlotOwner) -> Node | None:
        """Returns the process with an identity, also after its end."""
        return self._nodes.get(identity)

    def running_nodes(self) -> list[Node]:
        """Returns the processes that have not ended."""
        nodes = self._nodes.values()
        return [n for n in nodes if n.reactor.ended_at_s is None]

    def members_seen_by(self, observer: Node) -> list[SlotOwner]:
        """Returns the owners that a node takes for serving members."""
        return [
            n.identity
            for n in self._nodes.values()
            if n.has_upstream
            and not n.draining
            and (n is observer or self.considers_alive(observer, n.identity))
        ]

    def considers_alive(self, observer: Node, identity: SlotOwner) -> bool:
        """Whether a node considers a process to be alive.

        It detects an ended, frozen or unreachable process only after
        `_FAILURE_DETECTION_S`.
        """
        node = self._nodes.get(identity)
        if node is None:
            return False
        cut_at_s = self._cut_since_s.get(_node_pair(observer, node))
        failure_times_s = (
            node.reactor.ended_at_s,
            node.reactor.frozen_at_s,
            cut_at_s,
        )
        detectable_before_s = self.reactor.seconds() - _FAILURE_DETECTION_S
        return not any(
            failed_at_s is not None and failed_at_s < detectable_before_s
            for failed_at_s in failure_times_s
        )

    def send_message(
        self, sender: Node, target: Node, call: Callable[[], Any]
    ) -> None:
        """Delivers a message after a delay, unless it is lost.

        All messages between cut nodes are lost, and 1% of the others; 2% take
        up to 2 s.
        """
        if (
            _node_pair(sender, target) in self._cut_since_s
            or self.rng.random() < 0.01
        ):
            return
        is_slow = self.rng.random() < 0.02
        delay_s = self.rng.uniform(0, 2.0 if is_slow else 0.01)
        self.reactor.callLater(delay_s, target.reactor.run_or_queue, call)

    def _start_operation(self, operation_id: int) -> None:
        """Starts an operation and schedules the next one."""
        Operation(self, operation_id).start()
        if self.reactor.seconds() < RUN_DURATION_S * 0.8:
            delay_s = self.rng.expovariate(_OPERATIONS_PER_S)
            self.reactor.callLater(
                delay_s, self._start_operation, operation_id + 1
            )

    def _start_node(self, identity: SlotOwner, has_upstream: bool) -> None:
        self._nodes[identity] = Node(self, identity, has_upstream)
        for node in self.running_nodes():
            node.driver.members_changed() if node.has_upstream else None

    def _restart_node(self, node: Node) -> None:
        """Starts a new process at the node's address.

        The new process holds the address, which proves to the other owners
        that the earlier one has ended.
        """
        node.reactor.end()
        new_identity = SlotOwner(
            node.identity.node_id, node.identity.incarnation + 1
        )
        if new_identity in self._nodes:
            # Another fault has already restarted the node. Two processes must
            # not share an identity, because both would own its intervals.
            return
        self._start_node(new_identity, node.has_upstream)
        self._nodes[new_identity].driver.confirm_address_bound()
        self.announce_death(self._nodes[new_identity], node.identity)

    def announce_death(self, sender: Node, dead: SlotOwner) -> None:
        """Sends all running owners the proof that a process has ended."""
        for peer in self.running_nodes():
            if peer.has_upstream:
                receive_proof = partial(peer.driver.replace_dead_owner, dead)
                self.send_message(sender, peer, receive_proof)

    def _apply_fault(self, fault: Callable[[], None]) -> None:
        """Injects a fault, unless all processes have ended."""
        if self.running_nodes():
            fault()

    def _random_node(self) -> Node:
        return self.rng.choice(self.running_nodes())

    def _call_after_random_delay(
        self, max_delay_s: float, call: Callable[[], Any]
    ) -> None:
        self.reactor.callLater(self.rng.uniform(0.1, max_delay_s), call)

    def kill(self) -> None:
        """Ends a process and starts another at its address."""
        node = self._random_node()
        node.reactor.end()
        self._call_after_random_delay(8, partial(self._restart_node, node))

    def freeze(self) -> None:
        """Pauses a process for up to 150 s with its requests pending."""
        node = self._random_node()
        node.reactor.freeze()
        max_freeze_s = self.rng.choice((2, 20, 150))
        self._call_after_random_delay(max_freeze_s, node.reactor.resume)
        self.reactor.callLater(_FAILURE_DETECTION_S, self.found_silent, node)

    def found_silent(self, node: Node) -> None:
        """Does nothing, because a silent process may still be running.

        A mutation replaces this method by one that announces the death.
        """

    def cut(self) -> None:
        """Drops all messages between two nodes for up to 60 s."""
        pair = _node_pair(self._random_node(), self._random_node())
        self._cut_since_s.setdefault(pair, self.reactor.seconds())
        self._call_after_random_delay(
            60, lambda: self._cut_since_s.pop(pair, None)
        )

    def platform_outage(self) -> None:
        """Makes the platform unreachable for all nodes for up to 150 s."""
        self.platform.down = True
        self._call_after_random_delay(
            150, partial(setattr, self.platform, "down", False)
        )

    def lost_answers(self) -> None:
        """Loses 30% of platform requests and answers for up to 60 s."""
        self.platform.loss = 0.3
        self._call_after_random_delay(
            60, partial(setattr, self.platform, "loss", 0.0)
        )

    def platform_cut(self) -> None:
        """Cuts an owner off the platform once it has given slots away.

        The answer to its write is lost, so it cannot tell whether the write
        took effect.
        """
        nodes = [n for n in self.running_nodes() if n.has_upstream]
        if not nodes:
            return
        node = self.rng.choice(nodes)
        node.client.should_cut_after_put = partial(
            self._decide_cut_after_write, node
        )

    def _decide_cut_after_write(
        self, node: Node, before: bytes, after: bytes
    ) -> bool:
        """Whether a write gives away slots of its writer.

        If so, schedules the end of the cut.
        """
        tables = decode_slot_table(before).ok, decode_slot_table(after).ok
        if not transfer_boundaries(*tables, node.identity):
            return False
        node.client.should_cut_after_put = None
        end_cut = partial(setattr, node.client, "cut", False)
        self.reactor.callLater(self.rng.uniform(1, 150), end_cut)
        return True

    def planned_stop(self) -> None:
        """Drains and stops a process, then starts another at its address."""
        node = self._random_node()
        if not node.draining:
            node.draining = True
            node.reactor.run_or_queue(node.start_planned_stop)
            self._call_after_random_delay(60, partial(self._restart_node, node))


def find_violations(
    seed: int, fault_kinds: Sequence[str] = ()
) -> list[Violation]:
    """Simulates one seed with shortened times and checks the history.

    Args:
        seed: Determines the run.
        fault_kinds: Kinds of faults to inject, from `FAULT_KINDS`; drawn at
            random if empty.

    Returns:
        Violations of the at-most-once rules.
    """
    with shortened_times():
        return Simulation(seed, fault_kinds).run_and_check()


def _node_pair(first: Node, second: Node) -> frozenset[str]:
    return frozenset((first.identity.node_id, second.identity.node_id))


def _fire_once(deferred: Deferred[None]) -> None:
    if not deferred.called:
        deferred.callback(None)
