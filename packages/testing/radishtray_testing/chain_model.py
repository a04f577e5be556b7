"""Model of a call chain on a manual clock, with seeded faults.

Every node of the model uses the state machines of `radishtray_state`; the
network, the upstreams and the faults are simulated.

>>> checks = run_chain(ChainSettings(seed=1))
>>> checks.violations
[]
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple

from radishtray_state import (
    AttemptBounds,
    AttemptGrant,
    AttemptState,
    AttemptTable,
    AttemptVerdict,
    ConnectionToken,
    ManualClock,
    OutstandingAttempts,
    RefusalReason,
    RetryLedger,
    RetryPolicy,
    RetryThrottle,
)
from radishtray_testing.chain_checks import ChainChecks

Action = Callable[[], None]

_NEVER = float("inf")
_LINK_DELAY_S = (0.001, 0.005)
_PING_INTERVAL_S = 0.1
_SILENCE_S = 0.3
_HANDSHAKE_S = 0.2
_ATTEMPT_S = 0.9
_CALL_S = 2.5
_HEDGE_S = 0.1
_REQUEST_INTERVAL_S = 0.15
_FAULT_INTERVAL_S = 0.2
_ANSWER_FAULT_PROBABILITY = 0.3
_EARLY_ANSWER_PROBABILITY = 0.3
_MORE_CALLS_PROBABILITY = 0.4


class Fault(Enum):
    """Faults that a run may contain."""

    LOST_ANSWER = "lost_answer"
    LATE_ANSWER = "late_answer"
    CROSSED_ANSWER = "crossed_answer"
    DUPLICATE_ANSWER = "duplicate_answer"
    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"
    SILENCE = "silence"
    REPLACE_PAUSED = "replace_paused"
    """A paused process is replaced and wakes up beside its successor."""


ANSWER_FAULTS = (
    Fault.LOST_ANSWER,
    Fault.LATE_ANSWER,
    Fault.CROSSED_ANSWER,
    Fault.DUPLICATE_ANSWER,
)


class ChainSettings(NamedTuple):
    """What a run consists of.

    Attributes:
        seed: Seed of every random decision.
        faults: Kinds of faults that occur, all of them throughout the run.
        budget: Retry budget of each request.
        requests: Callers' requests.
        depth: Calls below the entry node's.
        nodes_per_service: Nodes that can run each level of the chain.
        refusals: Share of attempts that their receiver refuses.
    """

    seed: int
    faults: frozenset[Fault] = frozenset()
    budget: int = 5
    requests: int = 12
    depth: int = 2
    nodes_per_service: int = 2
    refusals: float = 0.3


class _Hello(NamedTuple):
    incarnation: int
    epoch: int


class _Proof(NamedTuple):
    incarnation: int


class _Work(NamedTuple):
    """The request of an attempt; only the model and the checks read it."""

    request: int
    call: int
    attempt: int
    level: int
    is_keyed: bool


class _CallFrame(NamedTuple):
    attempt_id: int
    share: int
    work: _Work


class _Answer(NamedTuple):
    attempt_id: int
    attempt: int
    used: int
    refusal: RefusalReason | None


class _Cancel(NamedTuple):
    attempt_id: int


class _Query(NamedTuple):
    attempt_ids: list[int]


class _States(NamedTuple):
    states: list[AttemptState[_Answer]]


class _Ping(NamedTuple):
    answered: int


class _Pong(NamedTuple):
    answered: int


_Frame = (
    _Hello
    | _Proof
    | _CallFrame
    | _Answer
    | _Cancel
    | _Query
    | _States
    | _Ping
    | _Pong
)


class Scheduler:
    """Runs actions in order of time on a manual clock."""

    __slots__ = ("_actions", "_order", "clock", "now")

    def __init__(self) -> None:
        """Starts at time zero without actions."""
        self.clock = ManualClock()
        # Not read from the clock, which rounds to microseconds: an action
        # postponed to a time could find that this time has not come.
        self.now = 0.0
        self._actions: list[tuple[float, int, Action]] = []
        self._order = itertools.count()

    def at(self, time_s: float, action: Action) -> None:
        """Runs an action at a time."""
        heapq.heappush(self._actions, (time_s, next(self._order), action))

    def after(self, delay_s: float, action: Action) -> None:
        """Runs an action after a delay."""
        self.at(self.now + delay_s, action)

    def run(self, until_s: float) -> None:
        """Runs all actions up to a time."""
        while self._actions and self._actions[0][0] <= until_s:
            time_s, _, action = heapq.heappop(self._actions)
            self.clock.advance(time_s - self.now)
            self.now = time_s
            action()


class _Link:
    """One connection: ordered frames, which may be held up or lost.

    A frame that the client has written may arrive after the client closed the
    connection, as with TCP.
    """

    __slots__ = (
        "_arrivals",
        "_model",
        "client",
        "epoch",
        "is_closed_by_client",
        "is_cut",
        "server",
        "silent_until",
        "token",
    )

    def __init__(
        self, model: "_Model", client: "_Peer", server: "_Process", epoch: int
    ) -> None:
        self._model = model
        self._arrivals = [0.0, 0.0]
        self.client = client
        self.server = server
        self.epoch = epoch
        self.token: ConnectionToken[_Answer] | None = None
        self.is_cut = False
        self.is_closed_by_client = False
        self.silent_until = 0.0
        model.links.append(self)

    def to_server(self, frame: _Frame) -> None:
        if not self.is_closed_by_client:
            self._send(0, lambda: self.server.receive(self, frame))

    def to_client(self, frame: _Frame) -> None:
        self._send(1, lambda: self.client.receive(self, frame))

    def cut(self) -> None:
        """Drops all frames on the way and tells both ends."""
        if not self.is_cut:
            self.is_cut = True
            self.client.process.after(0.01, lambda: self.client.lost(self))
            self.server.after(0.01, lambda: self.server.lost(self))

    def _send(self, direction: int, action: Action) -> None:
        scheduler = self._model.scheduler
        arrival = scheduler.now + self._model.rng.uniform(*_LINK_DELAY_S)
        self._arrivals[direction] = max(arrival, self._arrivals[direction])
        scheduler.at(
            self._arrivals[direction], lambda: self._arrive(direction, action)
        )

    def _arrive(self, direction: int, action: Action) -> None:
        scheduler = self._model.scheduler
        if self.is_cut or (direction == 1 and self.is_closed_by_client):
            return
        if scheduler.now < self.silent_until:
            if self.silent_until < _NEVER:
                scheduler.at(
                    self.silent_until, lambda: self._arrive(direction, action)
                )
            return
        target = self.client.process if direction else self.server
        target.post(action)


class _Attempt:
    """One attempt as its sender sees it."""

    __slots__ = ("attempt_id", "call", "grant", "is_open", "peer", "work")

    def __init__(
        self, call: "_Call", peer: "_Peer", grant: AttemptGrant, work: _Work
    ) -> None:
        self.call = call
        self.peer = peer
        self.grant = grant
        self.work = work
        self.attempt_id: int | None = None
        self.is_open = True


class _Peer:
    """Client side of the connections from one process to one node."""

    __slots__ = (
        "_connecting",
        "_link",
        "_queue",
        "heard_at",
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
            OutstandingAttempts(self.model.new_salt())
        )
        self._link: _Link | None = None
        self._connecting: _Link | None = None
        self._queue: list[_Attempt] = []
        self.heard_at = 0.0
        process.after(_PING_INTERVAL_S, self._tick)

    def send(self, attempt: _Attempt) -> None:
        self._queue.append(attempt)
        self._flush()

    def withdraw(self, attempt: _Attempt) -> bool:
        """Returns whether the attempt had not been handed over."""
        if attempt in self._queue:
            self._queue.remove(attempt)
            return True
        if attempt.attempt_id is not None:
            self.outstanding.give_up(attempt.attempt_id)
        return False

    def cancel(self, attempt: _Attempt) -> None:
        self.withdraw(attempt)
        if attempt.attempt_id is not None and self._link is not None:
            self._link.to_server(_Cancel(attempt.attempt_id))

    def lost(self, link: _Link) -> None:
        self.outstanding.closed(link.epoch)
        if self._link is link:
            self._link = None
        if self._connecting is link:
            self._connecting = None

    def receive(self, link: _Link, frame: _Frame) -> None:
        if link is self._link:
            self.heard_at = self.model.scheduler.now
        if isinstance(frame, _Proof):
            self._opened(link, frame.incarnation)
        elif isinstance(frame, _Answer):
            attempt = self.outstanding.answered(link.epoch, frame.attempt_id)
            if attempt is not None:
                attempt.call.answered(attempt, frame)
        elif isinstance(frame, _Ping):
            link.to_server(_Pong(frame.answered))
        elif isinstance(frame, _States):
            for settled in self.outstanding.settle(link.epoch, frame.states):
                self._settled(settled.context, settled.verdict, settled.answer)

    def _settled(
        self,
        attempt: _Attempt,
        verdict: AttemptVerdict,
        answer: _Answer | None,
    ) -> None:
        call = attempt.call
        if answer is not None:
            call.answered(attempt, answer)
        elif verdict is AttemptVerdict.NOT_RUN:
            call.not_run(attempt, RefusalReason.NEVER_ARRIVED)
        else:
            call.lost(attempt)

    def _tick(self) -> None:
        self.process.after(_PING_INTERVAL_S, self._tick)
        if not self._queue and not self.outstanding.outstanding:
            return
        if self._link is not None:
            self._link.to_server(_Ping(0))
        silent_s = self.model.scheduler.now - self.heard_at
        if self._link is None or silent_s > _SILENCE_S:
            self._connect()

    def _connect(self) -> None:
        if self._connecting is not None:
            return
        server = self.model.current[self.node_id]
        epoch = self.outstanding.next_epoch()
        link = _Link(self.model, self, server, epoch)
        self._connecting = link
        link.to_server(_Hello(self.process.incarnation, epoch))
        self.process.after(_HANDSHAKE_S, lambda: self._abandon(link))

    def _abandon(self, link: _Link) -> None:
        if self._connecting is link:
            self._connecting = None

    def _opened(self, link: _Link, incarnation: int) -> None:
        reopened = self.outstanding.opened(link.epoch, incarnation)
        if reopened is None:
            link.is_closed_by_client = True
            return
        if self._link is not None:
            self._link.is_closed_by_client = True
        self._link = link
        self._abandon(link)
        self.heard_at = self.model.scheduler.now
        for settled in reopened.lost_attempts:
            self._settled(settled.context, settled.verdict, None)
        if reopened.query_ids:
            link.to_server(_Query(reopened.query_ids))
        self._flush()

    def _flush(self) -> None:
        if self._link is None:
            if self._queue:
                self._connect()
            return
        while self._queue:
            attempt = self._queue[0]
            attempt.attempt_id = self.outstanding.hand_over(attempt)
            if attempt.attempt_id is None:
                return
            self._queue.pop(0)
            work = attempt.work
            self.model.checks.attempt_sent(
                work.request, work.call, work.attempt
            )
            self._link.to_server(
                _CallFrame(attempt.attempt_id, attempt.grant.share, work)
            )


class _Call:
    """One call with its retries and hedges."""

    __slots__ = (
        "_attempts",
        "_call",
        "_ends_at",
        "_is_done",
        "_is_keyed",
        "_ledger",
        "_level",
        "_model",
        "_on_done",
        "_process",
        "_request",
        "_retries",
    )

    def __init__(
        self,
        process: "_Process",
        ledger: RetryLedger,
        request: int,
        level: int,
        on_done: Action,
    ) -> None:
        self._process = process
        self._model = process.model
        self._ledger = ledger
        self._request = request
        self._level = level
        self._on_done = on_done
        self._call = self._model.new_id()
        self._is_keyed = self._model.rng.random() < 0.4
        self._attempts: list[_Attempt] = []
        self._is_done = False
        self._retries = 0
        self._ends_at = self._model.scheduler.now + _CALL_S
        self._try(is_retry=False)
        process.after(_CALL_S, self._end)
        if not self._is_keyed and self._model.rng.random() < 0.5:
            process.after(_HEDGE_S, self._hedge)

    def answered(self, attempt: _Attempt, answer: _Answer) -> None:
        if answer.refusal is not None:
            self._ledger.settle(attempt.grant, answer.used)
            self.not_run(attempt, answer.refusal)
            return
        self._ledger.settle(attempt.grant, answer.used)
        attempt.is_open = False
        if not self._is_done:
            self._model.checks.answer_delivered(self._call, answer.attempt)
            self._end()

    def not_run(self, attempt: _Attempt, reason: RefusalReason) -> None:
        self._model.checks.said_not_run(attempt.work.attempt)
        self._ledger.settle(attempt.grant, 0)
        self._failed(attempt, reason)

    def lost(self, attempt: _Attempt) -> None:
        self._ledger.forfeit(attempt.grant)
        self._failed(attempt, RefusalReason.NODE_LOST)

    def _try(self, is_retry: bool) -> None:
        if self._is_done:
            return
        grant = self._ledger.begin(is_retry)
        if grant is None:
            self._end_unless_open()
            return
        nodes = self._model.services[self._level]
        peer = self._process.peer(self._model.rng.choice(nodes))
        work = _Work(
            self._request,
            self._call,
            self._model.new_id(),
            self._level,
            self._is_keyed,
        )
        attempt = _Attempt(self, peer, grant, work)
        self._attempts.append(attempt)
        peer.send(attempt)
        self._process.after(_ATTEMPT_S, lambda: self._timed_out(attempt))

    def _hedge(self) -> None:
        if not self._is_done:
            self._try(is_retry=True)

    def _timed_out(self, attempt: _Attempt) -> None:
        if not attempt.is_open:
            return
        if attempt.peer.withdraw(attempt):
            self.not_run(attempt, RefusalReason.NO_UPSTREAM)
        else:
            self.lost(attempt)

    def _failed(self, attempt: _Attempt, reason: RefusalReason) -> None:
        was_open = attempt.is_open
        attempt.is_open = False
        if self._is_done or not was_open:
            return
        verdict = self._model.policy.decide(
            reason,
            is_idempotent=not self._is_keyed,
            is_at_most_once=self._is_keyed,
            deadline_s=self._ends_at - self._model.scheduler.now,
            budget=self._ledger.remaining,
            retries=self._retries,
        )
        if verdict.allowed:
            self._retries += 1
            self._process.after(
                verdict.delay_s, lambda: self._try(is_retry=True)
            )
        else:
            self._end_unless_open()

    def _end_unless_open(self) -> None:
        if not any(attempt.is_open for attempt in self._attempts):
            self._end()

    def _end(self) -> None:
        if self._is_done:
            return
        self._is_done = True
        for attempt in self._attempts:
            if attempt.is_open:
                # The other half stays outstanding, so that its answer comes
                # after its share has been forfeited.
                if self._model.rng.random() < 0.5:
                    attempt.peer.cancel(attempt)
                    attempt.is_open = False
                self._ledger.forfeit(attempt.grant)
        self._on_done()


class _Run:
    """One accepted attempt at its receiver."""

    __slots__ = (
        "_attempt_id",
        "_ledger",
        "_open_calls",
        "_process",
        "_token",
        "_work",
        "is_cancelled",
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
        self._work = frame.work
        self._ledger = RetryLedger(frame.share)
        self._open_calls = 0
        self.is_cancelled = False
        rng = process.model.rng
        if rng.random() < process.model.settings.refusals:
            self._refuse(RefusalReason.SHED)
        else:
            process.after(rng.uniform(0, 0.02), self._start)

    def _refuse(self, reason: RefusalReason) -> None:
        self._process.model.checks.said_not_run(self._work.attempt)
        self._answer(reason)

    def _start(self) -> None:
        if self.is_cancelled:
            self._refuse(RefusalReason.CANCELLED_QUEUED)
            return
        model = self._process.model
        work = self._work
        model.checks.attempt_ran(work.call, work.attempt, work.is_keyed)
        is_leaf = work.level + 1 == len(model.services)
        calls = 0 if is_leaf else model.rng.choice((0, 1, 2))
        self._call(calls)
        if not calls or model.rng.random() < _EARLY_ANSWER_PROBABILITY:
            # With calls, they outlive the answer.
            self._process.after(
                model.rng.uniform(0.001, 0.1), lambda: self._answer(None)
            )

    def _call(self, calls: int) -> None:
        """Makes concurrent calls to the next service."""
        self._open_calls = calls
        for _ in range(calls):
            _Call(
                self._process,
                self._ledger,
                self._work.request,
                self._work.level + 1,
                self._call_done,
            )

    def _call_done(self) -> None:
        self._open_calls -= 1
        if self._open_calls:
            return
        if self._process.model.rng.random() < _MORE_CALLS_PROBABILITY:
            self._call(1)
        else:
            self._answer(None)

    def _answer(self, refusal: RefusalReason | None) -> None:
        answer = _Answer(
            self._attempt_id, self._work.attempt, self._ledger.close(), refusal
        )
        token = self._process.table.finish(
            self._token, self._attempt_id, answer, size_bytes=1
        )
        if token is not None:
            self._process.write_answer(token, answer)


class _Process:
    """One process of a node."""

    __slots__ = (
        "_links",
        "_peers",
        "_runs",
        "frozen_until",
        "incarnation",
        "is_dead",
        "model",
        "node_id",
        "table",
    )

    def __init__(self, model: "_Model", node_id: str, incarnation: int) -> None:
        self.model = model
        self.node_id = node_id
        self.incarnation = incarnation
        self.is_dead = False
        self.frozen_until = 0.0
        self.table: AttemptTable[_Answer] = AttemptTable(
            model.scheduler.clock,
            AttemptBounds(max_answers=4, retention_s=1.0, max_senders=64),
        )
        self._links: dict[ConnectionToken[_Answer], _Link] = {}
        self._runs: dict[tuple[str, int, int], _Run] = {}
        self._peers: dict[str, _Peer] = {}

    def peer(self, node_id: str) -> _Peer:
        if node_id not in self._peers:
            self._peers[node_id] = _Peer(self, node_id)
        return self._peers[node_id]

    def after(self, delay_s: float, action: Action) -> None:
        self.model.scheduler.after(delay_s, lambda: self.post(action))

    def post(self, action: Action) -> None:
        """Runs an action now, after waking up, or never."""
        if self.is_dead:
            return
        if self.model.scheduler.now < self.frozen_until:
            self.model.scheduler.at(
                self.frozen_until, lambda: self.post(action)
            )
            return
        action()

    def lost(self, link: _Link) -> None:
        if link.token is not None:
            self.table.close_connection(link.token)

    def receive(self, link: _Link, frame: _Frame) -> None:
        if isinstance(frame, _Hello):
            self._open(link, frame)
        token = link.token
        if token is None:
            return
        if isinstance(frame, _CallFrame):
            if self.table.accept(token, frame.attempt_id):
                run = _Run(self, token, frame)
                self._runs[self._key(link, frame.attempt_id)] = run
        elif isinstance(frame, _Cancel):
            if self.table.cancel(token, frame.attempt_id):
                self._runs[
                    self._key(link, frame.attempt_id)
                ].is_cancelled = True
        elif isinstance(frame, _Query):
            states = self.table.query(token, frame.attempt_ids)
            link.to_client(_States(states))
        elif isinstance(frame, _Ping):
            link.to_client(_Pong(0))
            link.to_client(_Ping(token.answer_count))
        elif isinstance(frame, _Pong):
            self.table.acknowledge(token, frame.answered)

    def write_answer(
        self, token: ConnectionToken[_Answer], answer: _Answer
    ) -> None:
        link = self._links[token]
        fault = self.model.answer_fault()
        if fault is Fault.LATE_ANSWER:
            delay_s = self.model.rng.uniform(0.3, 2.0)
            self.after(delay_s, lambda: link.to_client(answer))
        elif fault is not Fault.LOST_ANSWER:
            link.to_client(answer)
        if fault is Fault.DUPLICATE_ANSWER:
            link.to_client(answer)
            self.after(0.5, lambda: link.to_client(answer))
        elif fault is Fault.CROSSED_ANSWER:
            for other in self._links.values():
                if other.client.process is not link.client.process:
                    other.to_client(answer)

    def _open(self, link: _Link, hello: _Hello) -> None:
        client = link.client.process
        result = self.table.open_connection(
            client.node_id, hello.incarnation, hello.epoch
        )
        if result.is_error():
            link.cut()
            return
        link.token = result.ok
        self._links[result.ok] = link
        link.to_client(_Proof(self.incarnation))

    def _key(self, link: _Link, attempt_id: int) -> tuple[str, int, int]:
        client = link.client.process
        return (client.node_id, client.incarnation, attempt_id)


class _Model:
    """Processes, links and faults of one run."""

    __slots__ = (
        "_ids",
        "_processes",
        "_salts",
        "checks",
        "current",
        "links",
        "policy",
        "rng",
        "scheduler",
        "services",
        "settings",
    )

    def __init__(self, settings: ChainSettings) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.scheduler = Scheduler()
        self.checks = ChainChecks()
        self.policy = RetryPolicy(
            random.Random(settings.seed), RetryThrottle(1.0, 10**6)
        )
        self.links: list[_Link] = []
        self.services: list[Sequence[str]] = [
            [f"s{level}n{i}" for i in range(settings.nodes_per_service)]
            for level in range(settings.depth + 1)
        ]
        self.current: dict[str, _Process] = {}
        self._ids = itertools.count(1)
        self._salts = itertools.count(1)
        for node_id in ("entry0", "entry1", *itertools.chain(*self.services)):
            self.current[node_id] = _Process(self, node_id, 1)

    def new_id(self) -> int:
        return next(self._ids)

    def new_salt(self) -> int:
        return next(self._salts)

    def answer_fault(self) -> Fault | None:
        kinds = [f for f in ANSWER_FAULTS if f in self.settings.faults]
        if not kinds or self.rng.random() > _ANSWER_FAULT_PROBABILITY:
            return None
        return self.rng.choice(kinds)

    def run(self) -> ChainChecks:
        for number in range(self.settings.requests):
            self.scheduler.at(number * _REQUEST_INTERVAL_S, self._request)
        end_s = self.settings.requests * _REQUEST_INTERVAL_S + 2 * _CALL_S
        if set(self.settings.faults) - set(ANSWER_FAULTS):
            self.scheduler.after(_FAULT_INTERVAL_S, self._inject)
        self.scheduler.run(end_s)
        return self.checks

    def _request(self) -> None:
        entry = self.current[self.rng.choice(("entry0", "entry1"))]
        request = self.new_id()
        budget = self.settings.budget
        self.checks.request_began(request, budget)
        ledger = RetryLedger(budget)
        entry.post(lambda: _start_request(entry, ledger, request))

    def _inject(self) -> None:
        self.scheduler.after(_FAULT_INTERVAL_S, self._inject)
        for fault in sorted(self.settings.faults, key=lambda f: f.value):
            if self.rng.random() < 0.5:
                self._apply(fault)

    def _apply(self, fault: Fault) -> None:
        process = self.current[self.rng.choice(sorted(self.current))]
        now = self.scheduler.now
        pause_s = self.rng.uniform(0.2, 2.0)
        if fault is Fault.FREEZE:
            process.frozen_until = now + pause_s
        elif fault is Fault.REPLACE_PAUSED:
            process.frozen_until = now + pause_s
            self._replace(process)
        elif fault is Fault.KILL:
            process.is_dead = True
            self._replace(process)
            self._break_links(process)
        elif fault is Fault.CUT and self.links:
            self.rng.choice(self.links[-12:]).cut()
        elif fault is Fault.SILENCE and self.links:
            link = self.rng.choice(self.links[-12:])
            ends_at = now + pause_s
            link.silent_until = self.rng.choice((_NEVER, ends_at, ends_at))

    def _replace(self, process: _Process) -> None:
        self.current[process.node_id] = _Process(
            self, process.node_id, process.incarnation + 1
        )

    def _break_links(self, process: _Process) -> None:
        """Peers of a killed process see a reset or nothing at all."""
        is_silent = self.rng.random() < 0.5
        for link in self.links:
            if process in (link.server, link.client.process):
                if is_silent:
                    link.silent_until = _NEVER
                else:
                    link.cut()


def _start_request(entry: _Process, ledger: RetryLedger, request: int) -> None:
    _Call(entry, ledger, request, 0, lambda: None)


def run_chain(settings: ChainSettings) -> ChainChecks:
    """Runs one model to its end.

    Args:
        settings: What the run consists of.

    Returns:
        The checks with everything that they observed.
    """
    return _Model(settings).run()
