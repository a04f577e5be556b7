"""A seeded simulation of slot owners, entry nodes, callers and faults.

All nodes run on one simulated reactor. Horizon, boundary lead, poll time and
retention are shorter than in production, so that each occurs often in a run of
a few minutes; `max_ahead` and the bound on clock error are the real ones.
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
    boundaries,
    prune,
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
    MemoryClient,
    MemoryPlatform,
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
RUN_S: Final = 400.0
START_MS: Final = 1_700_000_000_000

_OWNERS: Final = 4
_ENTRIES: Final = 2
_OPERATIONS_PER_S: Final = 3.0
_FAULT_PAIRS: Final = 10
_FAULT_KINDS_PER_SEED: Final = 3
_DETECTION_S: Final = 3.0
_ENTRY_TIMEOUT_S: Final = 5.0
_CALLER_TIMEOUT_S: Final = 6.0
_MAX_SENDS: Final = 5
_CALLER_CLOCK_OFFSETS_S: Final = (-20, 0, 0, 0, 3, 20, 40, 100, 300)
_RESEND_DELAYS_S: Final = (0.01, 0.1, 0.5, 1, 3, 10, 40, 90)
_MAX_NODE_CLOCK_ERROR_S: Final = 14
"""Node clocks differ by at most twice this, within the 30 s bound."""

_BOUNDS: Final = KeyBounds(
    max_records=60, max_bytes=1 << 20, min_retention_s=10, retention_s=30
)

Done = Callable[[ReplyKind, Body | None, RequestKey | None], None]


@contextmanager
def shortened_times() -> Iterator[None]:
    """Shortens the long times of tables and driver."""
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
class Reactor:
    """Simulated time; `task.Clock` sorts all timers at every call."""

    def __init__(self) -> None:
        """Starts at time zero."""
        self._now = 0.0
        self._order = 0
        self._calls: list[tuple[float, int, DelayedCall]] = []

    def seconds(self) -> float:
        """Returns simulated seconds."""
        return self._now

    def callLater(
        self,
        delay: float,
        callable: Callable[..., Any],
        *args: object,
        **kwargs: object,
    ) -> DelayedCall:
        """Runs the call later."""
        at = self._now + delay
        timer = DelayedCall(
            at, callable, args, kwargs, _keep, _keep, self.seconds
        )
        self._order += 1
        heapq.heappush(self._calls, (at, self._order, timer))
        return timer

    def getDelayedCalls(self) -> list[IDelayedCall]:
        """Returns nothing; no code under test asks."""
        return []

    def run_until(self, end_s: float) -> None:
        """Runs all calls that are due before a time, in order of time."""
        while self._calls and self._calls[0][0] < end_s:
            self._now, _, timer = heapq.heappop(self._calls)
            if not timer.cancelled:
                timer.called = 1
                timer.func(*timer.args, **timer.kw)
        self._now = end_s


def _keep(_timer: DelayedCall) -> None:
    """Leaves a cancelled timer queued; it is skipped when due."""


class NodeClock:
    """A node's clocks on simulated time."""

    __slots__ = ("_offset_ms", "_reactor")

    def __init__(self, reactor: Reactor, offset_ms: int) -> None:
        """Takes the node's clock error.

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
        """Returns simulated wall time with the node's error."""
        return START_MS + self._offset_ms + int(self._reactor.seconds() * 1000)


@implementer(IReactorTime)
class NodeReactor:
    """Timers and input of one process, which may be frozen or killed."""

    def __init__(self, reactor: Reactor) -> None:
        """Starts running.

        Args:
            reactor: Simulated time.
        """
        self._reactor = reactor
        self._backlog: list[Callable[[], Any]] = []
        self.frozen_at: float | None = None
        self.ended_at: float | None = None

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
        """Runs the call later, or after the process wakes."""
        later = partial(callable, *args, **kwargs)
        return self._reactor.callLater(delay, self.run, later)

    def getDelayedCalls(self) -> list[IDelayedCall]:
        """Returns nothing; no code under test asks."""
        return []

    def run(self, call: Callable[[], Any]) -> None:
        """Runs now, after the process wakes, or never."""
        if self.ended_at is not None:
            return
        if self.frozen_at is not None:
            self._backlog.append(call)
            return
        call()

    def freeze(self) -> None:
        """Pauses the process."""
        if self.frozen_at is None:
            self.frozen_at = self.seconds()

    def wake(self) -> None:
        """Continues the process with everything that has come due."""
        self.frozen_at = None
        backlog, self._backlog = self._backlog, []
        for call in backlog:
            self.run(call)

    def end(self) -> None:
        """Ends the process for good."""
        if self.ended_at is None:
            self.ended_at = self.seconds()


class Node:
    """One process: an entry node, and a slot owner if it has an upstream."""

    def __init__(
        self, world: "Simulation", owner: SlotOwner, has_upstream: bool
    ) -> None:
        """Starts the process.

        Args:
            world: The simulation.
            owner: Identity of the process.
            has_upstream: Whether it may own slots.
        """
        self.world = world
        self.me = owner
        self.has_upstream = has_upstream
        self.draining = False
        self.reactor = NodeReactor(world.reactor)
        self.clock = NodeClock(world.reactor, world.clock_of(owner.node_id))
        self.client = MemoryClient(world.platform, self.reactor)
        self.owner: KeyOwner[Body] = KeyOwner(
            owner.node_id,
            owner.incarnation,
            self.clock,
            _BOUNDS,
            lambda body: len(body.text),
        )
        self.router = KeyRouter(
            self.clock, world.rng, partial(world.believed, self), 200
        )
        self.waiters: dict[RequestKey, list[Done]] = {}
        self.driver = SlotDriver(
            self.client,
            self.clock,
            world.rng,
            reactor=self.reactor,
            service=SERVICE,
            owner=self.owner,
            members=lambda: world.members(self),
            is_missing=is_missing,
            send_records=self._send_records,
            push_table=self._push_table,
            on_table=lambda *_table: None,
        )
        if has_upstream:
            self.driver.start()

    def enter(
        self, send: Send, key: RequestKey, first: bool, done: Done
    ) -> None:
        """Handles a caller's request as entry node."""
        Entry(self, send, key, first, done).start()

    def serve(self, send: Send, key: RequestKey, answer: "Answering") -> None:
        """Handles a forwarded request as slot owner."""
        decision = self.owner.offer(SERVICE, key, send.digest.encode())
        if decision.verdict is KeyVerdict.RUN:
            self.waiters[key] = [answer.settled]
            self.reactor.callLater(
                self.world.rng.uniform(0, 0.2), self._dispatch, send, key
            )
        elif decision.verdict is KeyVerdict.JOIN:
            self.waiters[key].append(answer.settled)
        else:
            answer.decided(decision)

    def leave(self) -> None:
        """Begins a planned stop."""
        self.draining = True
        drained: Deferred[None] = Deferred()
        self._poll_drained(drained)
        left = self.driver.leave(drained)
        left.addBoth(lambda _: self.reactor.end())

    def _poll_drained(self, drained: Deferred[None]) -> None:
        if self.owner.running_count:
            self.reactor.callLater(0.1, self._poll_drained, drained)
        else:
            drained.callback(None)

    def _dispatch(self, send: Send, key: RequestKey) -> None:
        """Gives the request to the upstream, unless admission refuses it."""
        if self.world.rng.random() < 0.05:
            self.owner.not_run(key)
            self._release(key, ReplyKind.NOT_RUN, None)
            return
        body = self.world.run(send)
        self.reactor.callLater(
            self.world.rng.expovariate(2.0), self._finish, key, body
        )

    def _finish(self, key: RequestKey, body: Body) -> None:
        if self.world.rng.random() < 0.05:
            self.owner.unknown(key)
            self._release(key, ReplyKind.UNKNOWN, None)
            return
        self.owner.finish(key, body)
        self._release(key, ReplyKind.ANSWERED, body)

    def _release(
        self, key: RequestKey, kind: ReplyKind, body: Body | None
    ) -> None:
        for done in self.waiters.pop(key, ()):
            done(kind, body, None)

    def _send_records(
        self, heir: SlotOwner, records: KeyRecords[Body]
    ) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        done.addTimeout(2.0, self.reactor)
        target = self.world.process(heir)
        if target is not None:
            self.world.message(
                self, target, partial(self._take, target, records, done)
            )
        return done

    def _take(
        self, target: "Node", records: KeyRecords[Body], done: Deferred[None]
    ) -> None:
        target.owner.import_records(
            records.service, records.slot, records.records
        )
        self.world.message(target, self, lambda: _fire(done))

    def _push_table(
        self, member: SlotOwner, version: int, table: SlotTable
    ) -> None:
        target = self.world.process(member)
        if target is not None:
            receive = partial(target.driver.receive_table, version, table)
            self.world.message(self, target, receive)


class Answering:
    """The way back from an owner to an entry node."""

    def __init__(self, owner: Node, entry: "Entry", sent: KeyForward) -> None:
        """Takes both ends.

        Args:
            owner: The process that decides.
            entry: The request at the entry node.
            sent: The forward that is answered.
        """
        self._owner = owner
        self._entry = entry
        self._sent = sent

    def decided(self, decision: KeyDecision[Body]) -> None:
        """Sends a decision without a run."""
        self._message(partial(self._entry.decided, self._sent, decision))

    def settled(
        self, kind: ReplyKind, body: Body | None, _key: RequestKey | None
    ) -> None:
        """Sends the outcome of a run."""
        self._message(partial(self._entry.reply, kind, body, None))

    def _message(self, call: Callable[[], None]) -> None:
        world = self._owner.world
        world.message(self._owner, self._entry.node, call)


class Entry:
    """One request at its entry node."""

    def __init__(
        self, node: Node, send: Send, key: RequestKey, first: bool, done: Done
    ) -> None:
        """Takes the request.

        Args:
            node: The entry node.
            send: The caller's send.
            key: Its key.
            first: Declared as the first send.
            done: Replies to the caller.
        """
        self.node = node
        self._send = send
        self._key = key
        self._first = first
        self._done: Done | None = done

    def start(self) -> None:
        """Routes the request."""
        self._follow(self.node.router.route(SERVICE, self._key, self._first))

    def decided(self, sent: KeyForward, decision: KeyDecision[Body]) -> None:
        """Handles an owner's decision."""
        if self._done is None:
            return
        if decision.reason in (
            RefusalReason.KEY_NOT_OWNED,
            RefusalReason.DRAINING,
        ):
            router = self.node.router
            self._follow(router.not_taken(SERVICE, self._key, sent))
        elif decision.reason is not None:
            self._refuse(decision.reason, None)
        else:
            self.reply(ReplyKind.ANSWERED, decision.answer, None)

    def reply(
        self, kind: ReplyKind, body: Body | None, retry: RequestKey | None
    ) -> None:
        """Replies to the caller once."""
        done, self._done = self._done, None
        if done is not None:
            done(kind, body, retry)

    def _follow(self, route: KeyRoute) -> None:
        if isinstance(route, KeyRefusal):
            self._refuse(route.reason, route.retry_key)
        elif isinstance(route, KeyRefresh):
            self._refresh(route)
        else:
            self._forward(route)

    def _forward(self, route: KeyForward) -> None:
        world = self.node.world
        target = world.process(route.owner)
        self.node.reactor.callLater(_ENTRY_TIMEOUT_S, self._lost)
        if target is not None:
            answer = Answering(target, self, route)
            serve = partial(target.serve, self._send, self._key, answer)
            world.message(self.node, target, serve)

    def _lost(self) -> None:
        if self._done is not None:
            self._refuse(self.node.router.lost().reason, None)

    def _refresh(self, route: KeyRefresh) -> None:
        """Pulls the table of some member; goes on without it after 0.5 s."""
        world = self.node.world
        again = _Once(partial(self._routed_again, route))
        self.node.reactor.callLater(0.5, again)
        members = [n for n in world.running() if n.has_upstream]
        if members:
            peer = world.rng.choice(members)
            pull = partial(self._pull, peer, again)
            world.message(self.node, peer, pull)

    def _pull(self, peer: Node, again: Callable[[], None]) -> None:
        version, table = peer.driver.version, peer.driver.table
        take = partial(self._take_table, version, table, again)
        self.node.world.message(peer, self.node, take)

    def _take_table(
        self, version: int, table: SlotTable, again: Callable[[], None]
    ) -> None:
        self.node.router.set_table(SERVICE, version, table)
        again()

    def _routed_again(self, route: KeyRefresh) -> None:
        router = self.node.router
        self._follow(router.route_again(SERVICE, self._key, route.pristine))

    def _refuse(self, reason: RefusalReason, retry: RequestKey | None) -> None:
        kind = ReplyKind.NOT_RUN if reason.is_not_run else ReplyKind.UNKNOWN
        self.reply(kind, None, retry)


class Operation:
    """A caller that wants one effect.

    It sends one at a time, or now and then two at once. It follows a retry key
    as soon as it gets one, unless it sent two at once.
    """

    def __init__(self, world: "Simulation", number: int) -> None:
        """Chooses the caller's clock and habits.

        Args:
            world: The simulation.
            number: Identity of the operation.
        """
        self._world = world
        self._number = number
        offset_s = world.rng.choice(_CALLER_CLOCK_OFFSETS_S)
        clock = ManualClock(world.wall_ms() + offset_s * 1000)
        self._key = RequestKey.generate(clock, world.rng)
        self._sends = 0
        self._double = world.rng.random() < 0.1
        self._misuses_key = world.rng.random() < 0.05

    def start(self) -> None:
        """Sends the request."""
        self._send(first=True)
        if self._double:
            self._send(first=False)

    def _send(self, first: bool) -> None:
        if self._sends >= _MAX_SENDS:
            return
        self._sends += 1
        misused = self._misuses_key and self._sends > 1
        digest = "other" if misused else "own"
        operation = -self._number if misused else self._number
        send = self._world.new_send(operation, self._key, digest)
        sent = _Sent(self, send)
        reactor = self._world.reactor
        reactor.callLater(_CALLER_TIMEOUT_S, sent.timed_out)
        nodes = self._world.running()
        if nodes:
            entry = self._world.rng.choice(nodes)
            enter = partial(entry.enter, send, self._key, first, sent.arrived)
            reactor.callLater(0.001, entry.reactor.run, enter)

    def replied(self, kind: ReplyKind, retry: RequestKey | None) -> None:
        """Chooses the next step after a reply or a timeout."""
        rng = self._world.rng
        if kind is ReplyKind.ANSWERED and rng.random() < 0.5:
            return
        delay_s = rng.choice(_RESEND_DELAYS_S)
        follows = kind is ReplyKind.NOT_RUN and retry and not self._double
        if follows:
            assert retry is not None
            self._key = retry
        self._world.reactor.callLater(delay_s, self._send, bool(follows))


class _Sent:
    """One send of an operation, from the caller's point of view."""

    def __init__(self, operation: Operation, send: Send) -> None:
        self._operation = operation
        self._send = send
        self._open = True

    def arrived(
        self, kind: ReplyKind, body: Body | None, retry: RequestKey | None
    ) -> None:
        """Takes a reply; one that comes after the timeout is not read."""
        world = self._operation._world
        world.reactor.callLater(0.001, self._read, kind, body, retry)

    def _read(
        self, kind: ReplyKind, body: Body | None, retry: RequestKey | None
    ) -> None:
        if self._open:
            self._open = False
            reply = Reply(self._send.send_id, kind, body)
            self._operation._world.events.append(reply)
            self._operation.replied(kind, retry)

    def timed_out(self) -> None:
        """Gives up waiting."""
        self._read(ReplyKind.UNKNOWN, None, None)


class _Once:
    """Calls at most once."""

    def __init__(self, call: Callable[[], None]) -> None:
        self._call: Callable[[], None] | None = call

    def __call__(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            call()


class Simulation:
    """The world of one seed."""

    def __init__(self, seed: int, faults: Sequence[str] = ()) -> None:
        """Builds nodes, callers and a schedule of faults.

        Args:
            seed: Determines the whole run.
            faults: Names of the kinds of faults; chosen by the seed if empty.
        """
        self.rng = Random(seed)
        self.reactor = Reactor()
        self.platform = MemoryPlatform(self.reactor, self.rng)
        self.events: list[Event] = []
        self._sends = 0
        self._clocks_ms: dict[str, int] = {}
        self._cuts: dict[frozenset[str], float] = {}
        self._nodes: dict[SlotOwner, Node] = {}
        for number in range(_OWNERS + _ENTRIES):
            self._start(SlotOwner(f"n{number}", 1), number < _OWNERS)
        self.reactor.callLater(10, self._operate, 1)
        # Few kinds per seed make rare combinations of them frequent.
        names = faults or self.rng.sample(FAULT_KINDS, _FAULT_KINDS_PER_SEED)
        kinds = [getattr(self, name) for name in names]
        for _ in range(_FAULT_PAIRS):
            at = self.rng.uniform(15, RUN_S * 0.8)
            # Faults come in pairs, often within the same second.
            for _ in range(2):
                delay = self.rng.choice((0, 0.05, 1, 5))
                fault = self.rng.choice(kinds)
                self.reactor.callLater(at + delay, self._break, fault)

    def run_and_check(self) -> list[Violation]:
        """Runs to the end and checks the history."""
        self.reactor.run_until(RUN_S)
        return check_history(self.events)

    def wall_ms(self) -> int:
        """Returns true wall time."""
        return START_MS + int(self.reactor.seconds() * 1000)

    def clock_of(self, node_id: str) -> int:
        """Returns the clock error of a VM."""
        limit = _MAX_NODE_CLOCK_ERROR_S * 1000
        return self._clocks_ms.setdefault(
            node_id, self.rng.randint(-limit, limit)
        )

    def new_send(self, operation: int, key: RequestKey, digest: str) -> Send:
        """Records a send."""
        self._sends += 1
        send = Send(self._sends, operation, str(key), digest)
        self.events.append(send)
        return send

    def run(self, send: Send) -> Body:
        """Runs a request at an upstream."""
        body = Body(send.key, send.digest, f"run {len(self.events)}")
        self.events.append(Effect(send.send_id, body))
        return body

    def process(self, owner: SlotOwner) -> Node | None:
        """Returns the process with an identity, even if it has ended."""
        return self._nodes.get(owner)

    def running(self) -> list[Node]:
        """Returns the processes that have not ended."""
        nodes = self._nodes.values()
        return [n for n in nodes if n.reactor.ended_at is None]

    def members(self, observer: Node) -> list[SlotOwner]:
        """Returns whom a node sees as serving."""
        return [
            n.me
            for n in self._nodes.values()
            if n.has_upstream
            and not n.draining
            and (n is observer or self.believed(observer, n.me))
        ]

    def believed(self, observer: Node, owner: SlotOwner) -> bool:
        """Whether a node takes a process for alive; it learns late."""
        node = self._nodes.get(owner)
        if node is None:
            return False
        cut_at = self._cuts.get(_pair(observer, node))
        since = (node.reactor.ended_at, node.reactor.frozen_at, cut_at)
        late = self.reactor.seconds() - _DETECTION_S
        return not any(at is not None and at < late for at in since)

    def message(
        self, sender: Node, target: Node, call: Callable[[], Any]
    ) -> None:
        """Delivers a message, unless it is lost."""
        if _pair(sender, target) in self._cuts or self.rng.random() < 0.01:
            return
        slow = self.rng.random() < 0.02
        delay_s = self.rng.uniform(0, 2.0 if slow else 0.01)
        self.reactor.callLater(delay_s, target.reactor.run, call)

    def _operate(self, number: int) -> None:
        """Starts an operation, and the next one later."""
        Operation(self, number).start()
        if self.reactor.seconds() < RUN_S * 0.8:
            delay_s = self.rng.expovariate(_OPERATIONS_PER_S)
            self.reactor.callLater(delay_s, self._operate, number + 1)

    def _start(self, owner: SlotOwner, has_upstream: bool) -> None:
        self._nodes[owner] = Node(self, owner, has_upstream)
        for node in self.running():
            node.driver.members_changed() if node.has_upstream else None

    def _restart(self, node: Node) -> None:
        """Starts a new process at the address and completes handshakes."""
        node.reactor.end()
        newer = SlotOwner(node.me.node_id, node.me.incarnation + 1)
        if newer in self._nodes:
            # Another fault has restarted it. No two processes may share an
            # identity: the intervals would belong to both.
            return
        self._start(newer, node.has_upstream)
        self._nodes[newer].driver.address_bound()
        self.tell_dead(self._nodes[newer], node.me)

    def tell_dead(self, sender: Node, dead: SlotOwner) -> None:
        """Lets the other owners know of an ended process."""
        for peer in self.running():
            if peer.has_upstream:
                proof = partial(peer.driver.proven_dead, dead)
                self.message(sender, peer, proof)

    def _break(self, fault: Callable[[], None]) -> None:
        """Applies a fault, unless no process is left."""
        if self.running():
            fault()

    def _any_node(self) -> Node:
        return self.rng.choice(self.running())

    def _later(self, longest_s: float, call: Callable[[], Any]) -> None:
        self.reactor.callLater(self.rng.uniform(0.1, longest_s), call)

    def kill(self) -> None:
        """Ends a process and starts another at its address."""
        node = self._any_node()
        node.reactor.end()
        self._later(8, partial(self._restart, node))

    def freeze(self) -> None:
        """Pauses a process, in the middle of what it does."""
        node = self._any_node()
        node.reactor.freeze()
        longest_s = self.rng.choice((2, 20, 150))
        self._later(longest_s, node.reactor.wake)
        self.reactor.callLater(_DETECTION_S, self.found_silent, node)

    def found_silent(self, node: Node) -> None:
        """Does nothing, because silence proves nothing; a mutation differs."""

    def cut(self) -> None:
        """Drops all messages between two nodes."""
        pair = _pair(self._any_node(), self._any_node())
        self._cuts.setdefault(pair, self.reactor.seconds())
        self._later(60, lambda: self._cuts.pop(pair, None))

    def platform_outage(self) -> None:
        """Takes the platform away from all nodes."""
        self.platform.down = True
        self._later(150, partial(setattr, self.platform, "down", False))

    def lost_answers(self) -> None:
        """Loses a third of the platform's requests and answers."""
        self.platform.loss = 0.3
        self._later(60, partial(setattr, self.platform, "loss", 0.0))

    def platform_cut(self) -> None:
        """Cuts a node off the platform as soon as it has given slots away."""
        nodes = [n for n in self.running() if n.has_upstream]
        if not nodes:
            return
        node = self.rng.choice(nodes)
        node.client.cut_after = partial(self._gives_away, node)

    def _gives_away(self, node: Node, before: bytes, after: bytes) -> bool:
        """Whether a write takes slots from its writer; ends the cut later."""
        tables = decode_slot_table(before).ok, decode_slot_table(after).ok
        if not boundaries(*tables, node.me):
            return False
        node.client.cut_after = None
        end = partial(setattr, node.client, "cut", False)
        self.reactor.callLater(self.rng.uniform(1, 150), end)
        return True

    def planned_stop(self) -> None:
        """Stops a process gracefully and starts another at its address."""
        node = self._any_node()
        if not node.draining:
            node.draining = True
            node.reactor.run(node.leave)
            self._later(60, partial(self._restart, node))


def find_violations(seed: int, faults: Sequence[str] = ()) -> list[Violation]:
    """Runs one seed with shortened times.

    Args:
        seed: Determines the run.
        faults: Kinds of faults; chosen by the seed if empty.

    Returns:
        What the history checker found.
    """
    with shortened_times():
        return Simulation(seed, faults).run_and_check()


def _pair(one: Node, other: Node) -> frozenset[str]:
    return frozenset((one.me.node_id, other.me.node_id))


def _fire(done: Deferred[None]) -> None:
    if not done.called:
        done.callback(None)
