"""Discrete-event simulation of a call chain with faults drawn from a seed.

Entry nodes receive requests and call the first service of the chain. While an
upstream of one service runs an attempt, it may call the next service, up to
the last one. Calls are retried and hedged within the request's retry budget.

Every node uses the state machines of `radishtray_state`; the network, the
upstreams and the faults are simulated. `ChainChecks` observes the events.

>>> checks = run_chain(ChainSettings(seed=1))
>>> checks.violations
[]
"""

import itertools
import random
from collections.abc import Sequence
from typing import NamedTuple

from radishtray_state import (
    AttemptBounds,
    AttemptGrant,
    AttemptSequence,
    AttemptState,
    AttemptTable,
    AttemptVerdict,
    ConnectionToken,
    OutstandingAttempts,
    RefusalReason,
    RetryLedger,
    RetryPolicy,
    RetryThrottle,
)
from radishtray_testing.chain_checks import ChainChecks
from radishtray_testing.chain_faults import ANSWER_FAULTS, Fault
from radishtray_testing.scheduler import Action, Scheduler

_FOREVER = float("inf")
_LINK_DELAY_RANGE_S = (0.001, 0.005)
_PING_INTERVAL_S = 0.1
_SILENCE_TIMEOUT_S = 0.3
_HANDSHAKE_TIMEOUT_S = 0.2
_ATTEMPT_TIMEOUT_S = 0.9
_CALL_TIMEOUT_S = 2.5
_HEDGE_DELAY_S = 0.1
_REQUEST_INTERVAL_S = 0.15
_FAULT_INTERVAL_S = 0.2
_GOSSIP_DELAY_RANGE_S = (0.0, 1.0)
_ANSWER_FAULT_PROBABILITY = 0.3
_EARLY_ANSWER_PROBABILITY = 0.3
_FOLLOW_UP_CALL_PROBABILITY = 0.4


class ChainSettings(NamedTuple):
    """Parameters of a run.

    Attributes:
        seed: Seed of every random decision.
        faults: Faults that occur, each of them throughout the run.
        retry_budget: Retry budget of each request.
        request_count: Number of requests that arrive at the entry nodes.
        depth: Number of services in the chain after the first one.
        nodes_per_service: Number of nodes of each service.
        refusal_probability: Probability that the receiver refuses an attempt.
    """

    seed: int
    faults: frozenset[Fault] = frozenset()
    retry_budget: int = 5
    request_count: int = 12
    depth: int = 2
    nodes_per_service: int = 2
    refusal_probability: float = 0.3


# The frames are named after the messages of the wire protocol; `_CallFrame`
# stands for `Call`.


class _Hello(NamedTuple):
    """Client's first frame; the epoch numbers its connections to a node."""

    incarnation: int
    epoch: int


class _Proof(NamedTuple):
    """Server's answer to `_Hello`, which completes the handshake."""

    incarnation: int


class _Payload(NamedTuple):
    """Request of an attempt; the state machines under test do not read it.

    The numbers are unique within a run and identify the request, call and
    attempt to the checks. `attempt_id` in the frames is the id under test,
    which is assigned by `OutstandingAttempts`.
    """

    request_number: int
    call_number: int
    attempt_number: int
    service_index: int
    is_at_most_once: bool


class _CallFrame(NamedTuple):
    attempt_id: int
    budget_share: int
    payload: _Payload


class _Answer(NamedTuple):
    attempt_id: int
    attempt_number: int
    retries_used: int
    refusal: RefusalReason | None


class _Cancel(NamedTuple):
    attempt_id: int
    attempt_number: int


class _AttemptQuery(NamedTuple):
    attempt_ids: list[int]


class _AttemptStates(NamedTuple):
    states: list[AttemptState[_Answer]]


class _Ping(NamedTuple):
    """Keep-alive; a server states how many answers it has written."""

    answer_count: int


class _Pong(NamedTuple):
    """Answer to a ping; repeats the count and so acknowledges the answers."""

    answer_count: int


_Frame = (
    _Hello
    | _Proof
    | _CallFrame
    | _Answer
    | _Cancel
    | _AttemptQuery
    | _AttemptStates
    | _Ping
    | _Pong
)


class _Link:
    """One connection; delivers frames in order unless they are lost.

    As with TCP, a frame that the client has written may arrive after the
    client closed the connection.
    """

    __slots__ = (
        "_last_arrivals_s",
        "_model",
        "client",
        "epoch",
        "is_closed_by_client",
        "is_cut",
        "server",
        "silent_until_s",
        "token",
    )

    def __init__(
        self, model: "_Model", client: "_Client", server: "_Process", epoch: int
    ) -> None:
        self._model = model
        self._last_arrivals_s = [0.0, 0.0]
        self.client = client
        self.server = server
        self.epoch = epoch
        self.token: ConnectionToken[_Answer] | None = None
        self.is_cut = False
        self.is_closed_by_client = False
        self.silent_until_s = 0.0
        model.links.append(self)

    def send_to_server(self, frame: _Frame) -> None:
        if not self.is_closed_by_client:
            self._send(0, lambda: self.server.receive(self, frame))

    def send_to_client(self, frame: _Frame) -> None:
        self._send(1, lambda: self.client.receive(self, frame))

    def close(self) -> None:
        """Closes the client's side after the frames that it has written."""
        self._send(0, lambda: self.server.handle_lost_link(self))
        # Frames that arrive in the meantime are still read.
        self.client.process.run_after(
            self._model.rng.uniform(*_LINK_DELAY_RANGE_S), self._stop_reading
        )

    def _stop_reading(self) -> None:
        self.is_closed_by_client = True

    def cut(self) -> None:
        """Loses all frames in transit and notifies both ends."""
        if not self.is_cut:
            self.is_cut = True
            self.client.process.run_after(
                0.01, lambda: self.client.handle_lost_link(self)
            )
            self.server.run_after(
                0.01, lambda: self.server.handle_lost_link(self)
            )

    def _send(self, direction: int, action: Action) -> None:
        """Schedules the arrival of a frame.

        Args:
            direction: 0 towards the server, 1 towards the client.
            action: Processes the frame at its receiver.
        """
        scheduler = self._model.scheduler
        arrival_s = scheduler.now_s + self._model.rng.uniform(
            *_LINK_DELAY_RANGE_S
        )
        # A frame never arrives before an earlier one of its direction.
        self._last_arrivals_s[direction] = max(
            arrival_s, self._last_arrivals_s[direction]
        )
        scheduler.run_at(
            self._last_arrivals_s[direction],
            lambda: self._deliver(direction, action),
        )

    def _deliver(self, direction: int, action: Action) -> None:
        scheduler = self._model.scheduler
        if self.is_cut or (direction == 1 and self.is_closed_by_client):
            return
        if scheduler.now_s < self.silent_until_s:
            if self.silent_until_s < _FOREVER:
                scheduler.run_at(
                    self.silent_until_s,
                    lambda: self._deliver(direction, action),
                )
            return
        receiver = self.client.process if direction else self.server
        receiver.run_when_active(action)


class _Attempt:
    """One attempt at its sender.

    It is open until it is answered, lost, timed out or cancelled. `attempt_id`
    is None while it is queued.
    """

    __slots__ = ("attempt_id", "call", "client", "grant", "is_open", "payload")

    def __init__(
        self,
        call: "_Call",
        client: "_Client",
        grant: AttemptGrant,
        payload: _Payload,
    ) -> None:
        self.call = call
        self.client = client
        self.grant = grant
        self.payload = payload
        self.attempt_id: int | None = None
        self.is_open = True


class _Client:
    """Client side of the connections from one process to one node.

    Attempts are queued while no connection is open. As long as attempts are
    queued or outstanding, a new connection is opened if there is none or if
    the open one has been silent for too long.
    """

    __slots__ = (
        "_is_closed",
        "_open_link",
        "_pending_link",
        "_queue",
        "last_received_s",
        "model",
        "node_id",
        "outstanding",
        "process",
    )

    def __init__(self, process: "_Process", node_id: str) -> None:
        self.process = process
        self.model = process.model
        self.node_id = node_id
        self.outstanding: OutstandingAttempts[_Attempt, _Answer] = (
            OutstandingAttempts(process.attempt_sequence)
        )
        self._open_link: _Link | None = None
        self._pending_link: _Link | None = None
        self._queue: list[_Attempt] = []
        self._is_closed = False
        self.last_received_s = 0.0
        process.run_after(_PING_INTERVAL_S, self._check_link)

    def send(self, attempt: _Attempt) -> None:
        self._queue.append(attempt)
        self._send_queued()

    def withdraw(self, attempt: _Attempt) -> bool:
        """Stops waiting for an attempt.

        Returns:
            Whether the attempt was still queued and so was never sent.
        """
        if attempt in self._queue:
            self._queue.remove(attempt)
            return True
        if attempt.attempt_id is not None:
            self.outstanding.give_up(attempt.attempt_id)
        return False

    def send_cancel(self, attempt: _Attempt) -> None:
        """Sends a cancellation, also for an attempt of an earlier client."""
        if attempt.attempt_id is not None and self._open_link is not None:
            self._open_link.send_to_server(
                _Cancel(attempt.attempt_id, attempt.payload.attempt_number)
            )

    def close(self) -> None:
        """Ends the client for good; queued attempts fail as not run.

        Attempts that were handed over time out, unless their answers are
        already in transit or a handshake in progress completes.
        """
        self._is_closed = True
        queue, self._queue = self._queue, []
        for attempt in queue:
            attempt.call.handle_not_run(attempt, RefusalReason.NEVER_ARRIVED)
        if self._open_link is not None:
            self._open_link.close()
        if self._pending_link is not None and self.model.rng.random() < 0.5:
            self._pending_link.close()

    def handle_lost_link(self, link: _Link) -> None:
        self.outstanding.closed(link.epoch)
        if self._open_link is link:
            self._open_link = None
        if self._pending_link is link:
            self._pending_link = None

    def receive(self, link: _Link, frame: _Frame) -> None:
        if link is self._open_link:
            self.last_received_s = self.model.scheduler.now_s
        if isinstance(frame, _Proof):
            self._complete_handshake(link, frame.incarnation)
        elif isinstance(frame, _Answer):
            attempt = self.outstanding.answered(link.epoch, frame.attempt_id)
            if attempt is not None:
                attempt.call.handle_answer(attempt, frame)
        elif isinstance(frame, _Ping):
            link.send_to_server(_Pong(frame.answer_count))
        elif isinstance(frame, _AttemptStates):
            for settled in self.outstanding.settle(link.epoch, frame.states):
                self._report_settled_attempt(
                    settled.context, settled.verdict, settled.answer
                )

    def _report_settled_attempt(
        self,
        attempt: _Attempt,
        verdict: AttemptVerdict,
        answer: _Answer | None,
    ) -> None:
        call = attempt.call
        if answer is not None:
            call.handle_answer(attempt, answer)
        elif verdict is AttemptVerdict.NOT_RUN:
            call.handle_not_run(attempt, RefusalReason.NEVER_ARRIVED)
        else:
            call.handle_lost_answer(attempt)

    def _check_link(self) -> None:
        if self._is_closed:
            return
        self.process.run_after(_PING_INTERVAL_S, self._check_link)
        if not self._queue and not self.outstanding.outstanding:
            return
        if self._open_link is not None:
            self._open_link.send_to_server(_Ping(0))
        silent_s = self.model.scheduler.now_s - self.last_received_s
        if self._open_link is None or silent_s > _SILENCE_TIMEOUT_S:
            self._connect()

    def _connect(self) -> None:
        if self._pending_link is not None:
            return
        server = self.model.current_processes[self.node_id]
        epoch = self.outstanding.next_epoch()
        link = _Link(self.model, self, server, epoch)
        self._pending_link = link
        link.send_to_server(_Hello(self.process.incarnation, epoch))
        self.process.run_after(
            _HANDSHAKE_TIMEOUT_S, lambda: self._abandon_handshake(link)
        )

    def _abandon_handshake(self, link: _Link) -> None:
        if self._pending_link is link:
            self._pending_link = None

    def _complete_handshake(self, link: _Link, incarnation: int) -> None:
        reopened = self.outstanding.opened(link.epoch, incarnation)
        if reopened is None:
            link.is_closed_by_client = True
            return
        if self._open_link is not None:
            self._open_link.is_closed_by_client = True
        self._open_link = link
        self._abandon_handshake(link)
        self.last_received_s = self.model.scheduler.now_s
        for settled in reopened.lost_attempts:
            self._report_settled_attempt(settled.context, settled.verdict, None)
        if reopened.query_ids:
            link.send_to_server(_AttemptQuery(reopened.query_ids))
        self._send_queued()

    def _send_queued(self) -> None:
        if self._open_link is None:
            if self._queue:
                self._connect()
            return
        while self._queue:
            attempt = self._queue[0]
            attempt.attempt_id = self.outstanding.hand_over(attempt)
            if attempt.attempt_id is None:
                return
            self._queue.pop(0)
            payload = attempt.payload
            self.model.checks.record_sent_attempt(
                payload.request_number,
                payload.call_number,
                payload.attempt_number,
            )
            self._open_link.send_to_server(
                _CallFrame(attempt.attempt_id, attempt.grant.share, payload)
            )


class _Call:
    """One call to a service, with its first attempt, retries and hedge."""

    __slots__ = (
        "_attempts",
        "_call_number",
        "_deadline_at_s",
        "_is_at_most_once",
        "_is_done",
        "_ledger",
        "_model",
        "_on_done",
        "_process",
        "_request_number",
        "_retry_count",
        "_service_index",
    )

    def __init__(
        self,
        process: "_Process",
        ledger: RetryLedger,
        request_number: int,
        service_index: int,
        on_done: Action,
    ) -> None:
        self._process = process
        self._model = process.model
        self._ledger = ledger
        self._request_number = request_number
        self._service_index = service_index
        self._on_done = on_done
        self._call_number = self._model.next_number()
        self._is_at_most_once = self._model.rng.random() < 0.4
        self._attempts: list[_Attempt] = []
        self._is_done = False
        self._retry_count = 0
        self._deadline_at_s = self._model.scheduler.now_s + _CALL_TIMEOUT_S
        self._start_attempt(is_retry=False)
        process.run_after(_CALL_TIMEOUT_S, self._end)
        if not self._is_at_most_once and self._model.rng.random() < 0.5:
            process.run_after(_HEDGE_DELAY_S, self._hedge)

    def handle_answer(self, attempt: _Attempt, answer: _Answer) -> None:
        if answer.refusal is not None:
            self._ledger.settle(attempt.grant, answer.retries_used)
            self.handle_not_run(attempt, answer.refusal)
            return
        self._ledger.settle(attempt.grant, answer.retries_used)
        attempt.is_open = False
        if not self._is_done:
            self._model.checks.record_delivered_answer(
                self._call_number, answer.attempt_number
            )
            self._end()

    def handle_not_run(self, attempt: _Attempt, reason: RefusalReason) -> None:
        self._model.checks.record_not_run_report(attempt.payload.attempt_number)
        self._ledger.settle(attempt.grant, 0)
        self._retry_or_end(attempt, reason)

    def handle_lost_answer(self, attempt: _Attempt) -> None:
        self._ledger.forfeit(attempt.grant)
        self._retry_or_end(attempt, RefusalReason.NODE_LOST)

    def _start_attempt(self, is_retry: bool) -> None:
        if self._is_done:
            return
        grant = self._ledger.begin(is_retry)
        if grant is None:
            self._end_unless_attempt_open()
            return
        nodes = self._model.nodes_by_service[self._service_index]
        client = self._process.client_for(self._model.rng.choice(nodes))
        payload = _Payload(
            self._request_number,
            self._call_number,
            self._model.next_number(),
            self._service_index,
            self._is_at_most_once,
        )
        attempt = _Attempt(self, client, grant, payload)
        self._attempts.append(attempt)
        client.send(attempt)
        self._process.run_after(
            _ATTEMPT_TIMEOUT_S, lambda: self._handle_timeout(attempt)
        )

    def _hedge(self) -> None:
        if not self._is_done:
            self._start_attempt(is_retry=True)

    def _handle_timeout(self, attempt: _Attempt) -> None:
        if not attempt.is_open:
            return
        if attempt.client.withdraw(attempt):
            self.handle_not_run(attempt, RefusalReason.NO_UPSTREAM)
        else:
            self.handle_lost_answer(attempt)

    def _retry_or_end(self, attempt: _Attempt, reason: RefusalReason) -> None:
        was_open = attempt.is_open
        attempt.is_open = False
        if self._is_done or not was_open:
            return
        verdict = self._model.retry_policy.decide(
            reason,
            is_idempotent=not self._is_at_most_once,
            is_at_most_once=self._is_at_most_once,
            deadline_s=self._deadline_at_s - self._model.scheduler.now_s,
            budget=self._ledger.remaining,
            retries=self._retry_count,
        )
        if verdict.allowed:
            self._retry_count += 1
            self._process.run_after(
                verdict.delay_s, lambda: self._start_attempt(is_retry=True)
            )
        else:
            self._end_unless_attempt_open()

    def _end_unless_attempt_open(self) -> None:
        if not any(attempt.is_open for attempt in self._attempts):
            self._end()

    def _end(self) -> None:
        if self._is_done:
            return
        self._is_done = True
        for attempt in self._attempts:
            if attempt.is_open:
                # About half of the open attempts are not cancelled, so that
                # their answers arrive after their share has been forfeited.
                if self._model.rng.random() < 0.5:
                    self._process.cancel(attempt)
                    attempt.is_open = False
                self._ledger.forfeit(attempt.grant)
        self._on_done()


class _Run:
    """One accepted attempt at its receiver, and its run at the upstream."""

    __slots__ = (
        "_attempt_id",
        "_is_cancelled",
        "_ledger",
        "_open_call_count",
        "_payload",
        "_process",
        "_token",
    )

    def __init__(
        self,
        process: "_Process",
        token: ConnectionToken[_Answer],
        frame: _CallFrame,
    ) -> None:
        self._process = process
        self._token = token
        self._attempt_id = frame.attempt_id
        self._payload = frame.payload
        self._ledger = RetryLedger(frame.budget_share)
        self._open_call_count = 0
        self._is_cancelled = False
        rng = process.model.rng
        if rng.random() < process.model.settings.refusal_probability:
            self._refuse(RefusalReason.SHED)
        else:
            process.run_after(rng.uniform(0, 0.02), self._start)

    def cancel(self, attempt_number: int) -> None:
        """Refuses the attempt if its run has not started.

        Args:
            attempt_number: Number of the attempt that its sender cancels.
        """
        self._is_cancelled = True
        self._process.model.checks.record_cancelled_attempt(
            attempt_number, self._payload.attempt_number
        )

    def _refuse(self, reason: RefusalReason) -> None:
        self._process.model.checks.record_not_run_report(
            self._payload.attempt_number
        )
        self._send_answer(reason)

    def _start(self) -> None:
        if self._is_cancelled:
            self._refuse(RefusalReason.CANCELLED_QUEUED)
            return
        model = self._process.model
        payload = self._payload
        model.checks.record_started_attempt(
            payload.call_number,
            payload.attempt_number,
            payload.is_at_most_once,
        )
        is_leaf = payload.service_index + 1 == len(model.nodes_by_service)
        call_count = 0 if is_leaf else model.rng.choice((0, 1, 2))
        self._start_calls(call_count)
        if not call_count or model.rng.random() < _EARLY_ANSWER_PROBABILITY:
            # Calls that are still open then continue after the answer.
            self._process.run_after(
                model.rng.uniform(0.001, 0.1), lambda: self._send_answer(None)
            )

    def _start_calls(self, call_count: int) -> None:
        """Starts concurrent calls to the next service."""
        self._open_call_count = call_count
        for _ in range(call_count):
            _Call(
                self._process,
                self._ledger,
                self._payload.request_number,
                self._payload.service_index + 1,
                self._handle_call_end,
            )

    def _handle_call_end(self) -> None:
        self._open_call_count -= 1
        if self._open_call_count:
            return
        if self._process.model.rng.random() < _FOLLOW_UP_CALL_PROBABILITY:
            self._start_calls(1)
        else:
            self._send_answer(None)

    def _send_answer(self, refusal: RefusalReason | None) -> None:
        answer = _Answer(
            self._attempt_id,
            self._payload.attempt_number,
            self._ledger.close(),
            refusal,
        )
        token = self._process.attempt_table.finish(
            self._token, self._attempt_id, answer, size_bytes=1
        )
        if token is not None:
            self._process.write_answer(token, answer)


class _Process:
    """One process of a node; a replacement has the next incarnation."""

    __slots__ = (
        "_clients",
        "_links",
        "_runs",
        "attempt_sequence",
        "attempt_table",
        "frozen_until_s",
        "incarnation",
        "is_killed",
        "model",
        "node_id",
    )

    def __init__(self, model: "_Model", node_id: str, incarnation: int) -> None:
        self.model = model
        self.node_id = node_id
        self.incarnation = incarnation
        self.is_killed = False
        self.frozen_until_s = 0.0
        self.attempt_sequence = AttemptSequence(model.next_salt())
        # The bounds are small, so that runs reach them and drop answers.
        self.attempt_table: AttemptTable[_Answer] = AttemptTable(
            model.scheduler.clock,
            AttemptBounds(max_answers=4, retention_s=1.0, max_senders=64),
        )
        self._links: dict[ConnectionToken[_Answer], _Link] = {}
        self._runs: dict[tuple[str, int, int], _Run] = {}
        self._clients: dict[str, _Client] = {}

    def client_for(self, node_id: str) -> _Client:
        if node_id not in self._clients:
            self._clients[node_id] = _Client(self, node_id)
        return self._clients[node_id]

    def cancel(self, attempt: _Attempt) -> None:
        """Stops waiting for an attempt and cancels it at its receiver."""
        attempt.client.withdraw(attempt)
        client = self._clients.get(attempt.client.node_id)
        if client is not None:
            client.send_cancel(attempt)

    def node_gone(self, node_id: str) -> None:
        """Closes the client of a node; the next call makes a new one."""
        client = self._clients.pop(node_id, None)
        if client is not None:
            client.close()

    def run_after(self, delay_s: float, action: Action) -> None:
        self.model.scheduler.run_after(
            delay_s, lambda: self.run_when_active(action)
        )

    def run_when_active(self, action: Action) -> None:
        """Runs an action now, after a pause ends, or never if killed."""
        if self.is_killed:
            return
        if self.model.scheduler.now_s < self.frozen_until_s:
            self.model.scheduler.run_at(
                self.frozen_until_s, lambda: self.run_when_active(action)
            )
            return
        action()

    def handle_lost_link(self, link: _Link) -> None:
        if link.token is not None:
            self.attempt_table.close_connection(link.token)

    def receive(self, link: _Link, frame: _Frame) -> None:
        if isinstance(frame, _Hello):
            self._accept_link(link, frame)
        token = link.token
        if token is None:
            return
        if isinstance(frame, _CallFrame):
            if self.attempt_table.accept(token, frame.attempt_id):
                run = _Run(self, token, frame)
                self._runs[self._run_key(link, frame.attempt_id)] = run
        elif isinstance(frame, _Cancel):
            if self.attempt_table.cancel(token, frame.attempt_id):
                run = self._runs[self._run_key(link, frame.attempt_id)]
                run.cancel(frame.attempt_number)
        elif isinstance(frame, _AttemptQuery):
            states = self.attempt_table.query(token, frame.attempt_ids)
            link.send_to_client(_AttemptStates(states))
        elif isinstance(frame, _Ping):
            link.send_to_client(_Pong(0))
            link.send_to_client(_Ping(token.answer_count))
        elif isinstance(frame, _Pong):
            self.attempt_table.acknowledge(token, frame.answer_count)

    def write_answer(
        self, token: ConnectionToken[_Answer], answer: _Answer
    ) -> None:
        link = self._links[token]
        fault = self.model.choose_answer_fault()
        if fault is Fault.LATE_ANSWER:
            delay_s = self.model.rng.uniform(0.3, 2.0)
            self.run_after(delay_s, lambda: link.send_to_client(answer))
        elif fault is not Fault.LOST_ANSWER:
            link.send_to_client(answer)
        if fault is Fault.DUPLICATE_ANSWER:
            link.send_to_client(answer)
            self.run_after(0.5, lambda: link.send_to_client(answer))
        elif fault is Fault.CROSSED_ANSWER:
            for other_link in self._links.values():
                if other_link.client.process is not link.client.process:
                    other_link.send_to_client(answer)

    def _accept_link(self, link: _Link, hello: _Hello) -> None:
        sender = link.client.process
        result = self.attempt_table.open_connection(
            sender.node_id, hello.incarnation, hello.epoch
        )
        if result.is_error():
            link.cut()
            return
        link.token = result.ok
        self._links[result.ok] = link
        link.send_to_client(_Proof(self.incarnation))

    def _run_key(self, link: _Link, attempt_id: int) -> tuple[str, int, int]:
        sender = link.client.process
        return (sender.node_id, sender.incarnation, attempt_id)


class _Model:
    """Processes, links and faults of one run."""

    __slots__ = (
        "_numbers",
        "_processes",
        "_salts",
        "checks",
        "current_processes",
        "links",
        "nodes_by_service",
        "retry_policy",
        "rng",
        "scheduler",
        "settings",
    )

    def __init__(self, settings: ChainSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.scheduler = Scheduler()
        self.checks = ChainChecks()
        # The throttle is too generous to deny a retry, so that only the retry
        # budgets limit retries.
        self.retry_policy = RetryPolicy(
            random.Random(settings.seed), RetryThrottle(1.0, 10**6)
        )
        self.links: list[_Link] = []
        self.nodes_by_service: list[Sequence[str]] = [
            [f"s{service}n{i}" for i in range(settings.nodes_per_service)]
            for service in range(settings.depth + 1)
        ]
        self.current_processes: dict[str, _Process] = {}
        self._numbers = itertools.count(1)
        self._salts = itertools.count(1)
        for node_id in (
            "entry0",
            "entry1",
            *itertools.chain(*self.nodes_by_service),
        ):
            self.current_processes[node_id] = _Process(self, node_id, 1)

    def next_number(self) -> int:
        return next(self._numbers)

    def next_salt(self) -> int:
        return next(self._salts)

    def choose_answer_fault(self) -> Fault | None:
        enabled = [f for f in ANSWER_FAULTS if f in self.settings.faults]
        if not enabled or self.rng.random() > _ANSWER_FAULT_PROBABILITY:
            return None
        return self.rng.choice(enabled)

    def run(self) -> ChainChecks:
        for number in range(self.settings.request_count):
            self.scheduler.run_at(
                number * _REQUEST_INTERVAL_S, self._start_request
            )
        end_s = (
            self.settings.request_count * _REQUEST_INTERVAL_S
            + 2 * _CALL_TIMEOUT_S
        )
        if set(self.settings.faults) - set(ANSWER_FAULTS):
            self.scheduler.run_after(_FAULT_INTERVAL_S, self._inject_faults)
        self.scheduler.run_until(end_s)
        return self.checks

    def _start_request(self) -> None:
        entry_process = self.current_processes[
            self.rng.choice(("entry0", "entry1"))
        ]
        request_number = self.next_number()
        retry_budget = self.settings.retry_budget
        self.checks.record_request(request_number, retry_budget)
        ledger = RetryLedger(retry_budget)
        entry_process.run_when_active(
            lambda: _start_entry_call(entry_process, ledger, request_number)
        )

    def _inject_faults(self) -> None:
        self.scheduler.run_after(_FAULT_INTERVAL_S, self._inject_faults)
        for fault in sorted(self.settings.faults, key=lambda f: f.value):
            if self.rng.random() < 0.5:
                self._apply_fault(fault)

    def _apply_fault(self, fault: Fault) -> None:
        process = self.current_processes[
            self.rng.choice(sorted(self.current_processes))
        ]
        now_s = self.scheduler.now_s
        pause_s = self.rng.uniform(0.2, 2.0)
        if fault is Fault.FREEZE:
            process.frozen_until_s = now_s + pause_s
        elif fault is Fault.REPLACE_PAUSED:
            process.frozen_until_s = now_s + pause_s
            self._replace_process(process)
        elif fault is Fault.KILL:
            process.is_killed = True
            self._replace_process(process)
            self._break_links(process)
        elif fault is Fault.CUT and self.links:
            self.rng.choice(self.links[-12:]).cut()
        elif fault is Fault.SILENCE and self.links:
            link = self.rng.choice(self.links[-12:])
            end_s = now_s + pause_s
            link.silent_until_s = self.rng.choice((_FOREVER, end_s, end_s))
        elif fault is Fault.GONE_REPORT and self.links:
            link = self.rng.choice(self.links[-12:])
            self._report_gone(link.client.process, link.server.node_id, 0.0)

    def _replace_process(self, process: _Process) -> None:
        self.current_processes[process.node_id] = _Process(
            self, process.node_id, process.incarnation + 1
        )
        if Fault.GONE_REPORT in self.settings.faults:
            for receiver in self.current_processes.values():
                delay_s = self.rng.uniform(*_GOSSIP_DELAY_RANGE_S)
                self._report_gone(receiver, process.node_id, delay_s)

    def _report_gone(
        self, receiver: _Process, node_id: str, delay_s: float
    ) -> None:
        receiver.run_after(delay_s, lambda: receiver.node_gone(node_id))

    def _break_links(self, process: _Process) -> None:
        """Resets all connections of a killed process, or silences them."""
        is_silent = self.rng.random() < 0.5
        for link in self.links:
            if process in (link.server, link.client.process):
                if is_silent:
                    link.silent_until_s = _FOREVER
                else:
                    link.cut()


def _start_entry_call(
    entry_process: _Process, ledger: RetryLedger, request_number: int
) -> None:
    _Call(entry_process, ledger, request_number, 0, lambda: None)


def run_chain(settings: ChainSettings) -> ChainChecks:
    """Simulates a call chain until after the last request's deadline.

    Args:
        settings: Parameters of the run.

    Returns:
        The checks with the events that they recorded.
    """
    return _Model(settings).run()
