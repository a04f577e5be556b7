"""Distributes configuration generations from the platform to every node.

Two nodes of each failure domain, the watchers, hold leases and watch the
release object of the platform. Gossip carries the number of the newest
generation, and the other nodes pull its content from peers that have it.
"""

import logging
import random
from collections.abc import Callable, Iterable
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from radishtray_coordination._background import BackgroundTask
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._candidates import candidate_rank
from radishtray_coordination._lease_driver import LeaseDriver
from radishtray_coordination._release_content import (
    ReleaseContent,
    content_from_push,
)
from radishtray_coordination._store import WatchableStore, await_result, sleep
from radishtray_protocol import (
    RELEASE_OBJECT,
    decode_release,
    section_object_name,
    wire,
)
from radishtray_state import (
    Clock,
    Datagram,
    MemberRecord,
    Membership,
    ReleasePullPlan,
    ReleaseTracker,
)
from radishtray_transport import NotFound

WATCHERS_PER_DOMAIN = 2
_CANDIDATES_PER_DOMAIN = 4  # 2 without a role read 2 leases each per 15 s.
_WATCH_TIMEOUT_S = 30.0  # 15 domains * 2 watchers: 1 watch/s, 30 pending.
_WATCH_PAUSE_S = 0.2
_PULL_TIMEOUT_S = 5.0
# A node announces a new generation to 3 members at once by gossip; the jitter
# spreads their pulls.
_PULL_JITTER_S = 0.05
_PULL_RETRY_INTERVAL_S = 1.0
_FIRST_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 15.0

_LOG = logging.getLogger(__name__)

DocumentParser = Callable[[dict[str, str]], Result[Any, Any]]


def watcher_role(failure_domain: str, position: int) -> str:
    """Returns the name of the role of one watcher of a failure domain."""
    return f"configuration-watcher.{failure_domain}.{position}"


class ConfigurationCounters:
    """Counts events since the driver was created."""

    __slots__ = (
        "adopted_from_peers",
        "adopted_from_platform",
        "pull_failures",
        "rejected_generations",
    )

    def __init__(self) -> None:
        """Sets all counts to zero."""
        self.adopted_from_peers = 0
        """Generations adopted from the answers of peers."""
        self.adopted_from_platform = 0
        """Generations adopted from the platform by this node as a watcher."""
        self.pull_failures = 0
        """Pulls from peers that failed or brought no usable release."""
        self.rejected_generations = 0
        """Generations whose document was invalid."""


class ConfigurationDriver:
    """Keeps the configuration of one node at the newest generation.

    A watcher reads generations from the platform; the other nodes pull them
    from peers. The adopted generation never decreases. The owner of the driver
    passes the generations in gossip messages to `handle_peer_generation` and
    the pulls of peers to `answer_pull`.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_closed",
        "_content",
        "_leases",
        "_membership",
        "_on_document",
        "_parse",
        "_pull",
        "_pull_retry_task",
        "_reactor",
        "_rejected_generation",
        "_rng",
        "_send",
        "_store",
        "_tracker",
        "_watch_task",
        "counters",
    )

    def __init__(
        self,
        reactor: IReactorTime,
        clock: Clock,
        rng: random.Random,
        *,
        store: WatchableStore,
        membership: Membership,
        send: Callable[[Iterable[Datagram]], None],
        pull: Callable[[MemberRecord, int], "Deferred[wire.ReleasePush]"],
        parse: DocumentParser,
        on_document: Callable[[int, Any], None],
    ) -> None:
        """Creates the driver without starting it.

        Args:
            reactor: Schedules timers.
            clock: Monotonic time.
            rng: Random source of jitter.
            store: Holds the release, its sections and the lease objects.
            membership: The own node's view of the members.
            send: Sends gossip datagrams.
            pull: Asks a member for its release; takes the own generation.
            parse: Parses the section texts, by section name, to a document.
            on_document: Called with each adopted generation and its document,
                in increasing order.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._store = store
        self._membership = membership
        self._send = send
        self._pull = pull
        self._parse = parse
        self._on_document = on_document
        self._tracker = ReleaseTracker(clock)
        self._content: ReleaseContent | None = None
        self._rejected_generation = 0
        self._backoff = Backoff(rng, _FIRST_BACKOFF_S, _MAX_BACKOFF_S)
        self._leases = [
            self._make_lease_driver(position)
            for position in range(WATCHERS_PER_DOMAIN)
        ]
        self._watch_task = BackgroundTask(
            reactor, "release watch", self._watch_release
        )
        self._pull_retry_task = BackgroundTask(
            reactor, "release pulls", self._retry_pulls
        )
        self._closed = False
        self.counters = ConfigurationCounters()

    @property
    def generation(self) -> int:
        """Generation in effect; 0 before the first one."""
        return self._tracker.generation

    @property
    def is_watcher(self) -> bool:
        """Whether the node holds the lease of a watcher role."""
        return any(lease.holds for lease in self._leases)

    @property
    def held_roles(self) -> tuple[str, ...]:
        """Watcher roles that the node holds; a second one is released soon."""
        return tuple(lease.role for lease in self._leases if lease.holds)

    def start(self) -> None:
        """Starts to compete for the watcher roles and to retry pulls."""
        for lease in self._leases:
            lease.start()
        self._pull_retry_task.start()

    def close(self) -> None:
        """Stops, and releases a watcher role that the node holds."""
        self._closed = True
        self._watch_task.close()
        self._pull_retry_task.close()
        for lease in self._leases:
            lease.close()

    def handle_peer_generation(self, node_id: str, generation: int) -> None:
        """Handles the generation in a peer's gossip; pulls a newer one."""
        if self._closed or generation <= self._rejected_generation:
            return
        if self._tracker.observe(node_id, generation):
            delay_s = self._rng.uniform(0, _PULL_JITTER_S)
            self._reactor.callLater(delay_s, self._start_next_pull)

    def answer_pull(self, have_generation: int) -> wire.ReleasePush | None:
        """Returns the release for a peer; None if the peer has it already."""
        if self._content is None or self.generation <= have_generation:
            return None
        return self._content.make_push(have_generation)

    # Pulls from peers.

    def _start_next_pull(self) -> None:
        if self._closed:
            return
        plan = self._tracker.start_next_pull()
        if plan is None:
            return
        member = self._membership.get(plan.peer)
        if member is None or not member.is_live:
            self._tracker.pull_failed(plan)
            return
        answer = self._pull(member, self.generation)
        answer.addTimeout(_PULL_TIMEOUT_S, self._reactor)
        answer.addCallbacks(
            self._handle_pull_answer,
            self._handle_pull_failure,
            (plan,),
            None,
            (plan,),
        )
        answer.addErrback(
            lambda failure: _LOG.error(
                "unexpected error while handling a configuration pull: %s",
                failure,
            )
        )

    def _handle_pull_answer(
        self, push: wire.ReleasePush | None, plan: ReleasePullPlan
    ) -> None:
        if push is None or not self._adopt_push(push):
            self._handle_pull_failure("the answer has no usable release", plan)
            return
        self.counters.adopted_from_peers += 1
        self._tracker.pull_ended(plan)
        self._start_next_pull()

    def _handle_pull_failure(
        self, reason: object, plan: ReleasePullPlan
    ) -> None:
        if plan.generation <= self.generation:
            # Another source has delivered the generation meanwhile.
            self._tracker.pull_ended(plan)
            return
        self.counters.pull_failures += 1
        _LOG.info(
            "configuration pull from %s failed; trying another peer: %s",
            plan.peer,
            reason,
        )
        self._tracker.pull_failed(plan)
        self._start_next_pull()

    async def _retry_pulls(self) -> None:
        while True:
            await sleep(
                self._reactor,
                _PULL_RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.5),
            )
            self._start_next_pull()

    def _adopt_push(self, push: wire.ReleasePush) -> bool:
        known = self._content.texts_by_digest if self._content else {}
        completed = content_from_push(push, self.generation, known)
        if completed.is_error():
            _LOG.warning(
                "release pulled from a peer was discarded: %s", completed.error
            )
            return False
        return self._adopt(completed.ok)

    def _adopt(self, content: ReleaseContent) -> bool:
        """Applies and announces a newer, valid release; False if it is not."""
        if content.generation <= max(
            self.generation, self._rejected_generation
        ):
            return False
        try:
            document = self._parse(content.texts_by_section())
        except ValueError as error:
            # A text is not UTF-8, or the texts are not one section each.
            document = Result.Error(error)
        if document.is_error():
            # Every source has the same document for a generation, so this
            # generation is not tried again.
            self._rejected_generation = content.generation
            self.counters.rejected_generations += 1
            _LOG.error(
                "configuration generation %d is invalid; it is not applied: %s",
                content.generation,
                document.error,
            )
            return False
        self._content = content
        self._tracker.adopt(content.generation)
        self._on_document(content.generation, document.ok)
        self._send(self._membership.set_generation(content.generation))
        return True

    # Watches on the platform, by the holders of watcher roles.

    def _make_lease_driver(self, position: int) -> LeaseDriver:
        own = self._membership.own_record
        return LeaseDriver(
            self._reactor,
            self._clock,
            self._rng,
            store=self._store,
            role=watcher_role(own.failure_domain, position),
            node_id=own.node_id,
            incarnation=own.incarnation,
            on_change=self._lease_changed,
            is_candidate=self._is_candidate,
        )

    def _is_candidate(self) -> bool:
        """Returns whether the node competes for its domain's watcher roles.

        Both roles have the same candidates. A node takes one role at most, so
        the second role of a failure domain with one member stays vacant.
        """
        if self.is_watcher:
            return False
        own = self._membership.own_record
        same_domain = [
            member
            for member in self._membership.members()
            if member.failure_domain == own.failure_domain
        ]
        rank = candidate_rank(
            same_domain,
            own.failure_domain,
            own.node_id,
            _CANDIDATES_PER_DOMAIN,
        )
        return rank is not None

    def _lease_changed(self, _holds: bool) -> None:
        held = [lease for lease in self._leases if lease.holds]
        for surplus in held[1:]:
            # Both lease writes were in flight at once. One VM must not hold
            # all watcher roles of the failure domain.
            self._reactor.callLater(0, surplus.restart)
        if held:
            self._watch_task.start()
        else:
            self._watch_task.close()

    async def _watch_release(self) -> None:
        version: int | None = None
        found = await await_result(
            self._reactor, self._store.get(RELEASE_OBJECT)
        )
        while True:
            version, can_watch = await self._handle_platform_result(
                found, version
            )
            if not can_watch:
                await sleep(self._reactor, self._backoff.next_delay_s())
                found = await await_result(
                    self._reactor, self._store.get(RELEASE_OBJECT)
                )
                continue
            self._backoff.reset()
            # Limits the request rate if the platform answers at once.
            await sleep(self._reactor, _WATCH_PAUSE_S)
            found = await await_result(
                self._reactor,
                self._store.watch(RELEASE_OBJECT, version, _WATCH_TIMEOUT_S),
                2 * _WATCH_TIMEOUT_S,
            )

    async def _handle_platform_result(
        self, result: Result[Any, Any], version: int | None
    ) -> tuple[int | None, bool]:
        """Handles the result of a read or watch of the release object.

        Returns:
            The version to watch from, and whether the watch can go on; if
            not, the caller reads the object again after a delay.
        """
        if result.is_error():
            not_found = isinstance(result.error, NotFound)
            return (None if not_found else version), not_found
        if result.ok is None:
            return version, True
        can_watch = await self._fetch_and_adopt(result.ok.value)
        return (result.ok.version if can_watch else version), can_watch

    async def _fetch_and_adopt(self, manifest: bytes) -> bool:
        """Reads the sections that the node lacks and adopts the release.

        Returns:
            False if a section could not be read.
        """
        decoded = decode_release(manifest)
        if decoded.is_error():
            _LOG.error(
                "release object cannot be decoded; "
                "waiting for a new version: %s",
                decoded.error,
            )
            return True
        release = decoded.ok
        if release.generation <= max(
            self.generation, self._rejected_generation
        ):
            return True
        texts = dict(self._content.texts_by_digest if self._content else {})
        for name, digest in release.sections.items():
            if digest in texts:
                continue
            read = await await_result(
                self._reactor,
                self._store.get(section_object_name(name, digest)),
            )
            if read.is_error():
                return False
            texts[digest] = read.ok.value
        self.counters.adopted_from_platform += self._adopt(
            ReleaseContent(manifest, release, texts)
        )
        return True
