"""Brings new generations of the configuration to a node."""

import logging
import random
from collections.abc import Callable, Iterable
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from radishtray_coordination._background import Background
from radishtray_coordination._backoff import Backoff
from radishtray_coordination._candidates import candidate_rank
from radishtray_coordination._lease_driver import LeaseDriver
from radishtray_coordination._release_content import ReleaseContent, take_push
from radishtray_coordination._store import WatchableStore, call, sleep
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
_CANDIDATES_PER_DOMAIN = 4  # 2 spare ones read 2 leases each per 15 s.
_WATCH_S = 30.0  # 15 domains * 2 watchers make 1 watch/s and 30 waiting.
_WATCH_PAUSE_S = 0.2
_PULL_TIMEOUT_S = 5.0
_PULL_JITTER_S = 0.05  # Spreads the pulls that one push to 3 members causes.
_RETRY_S = 1.0
_FIRST_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 15.0

_LOG = logging.getLogger(__name__)

Parse = Callable[[dict[str, str]], Result[Any, Any]]


def watcher_role(failure_domain: str, position: int) -> str:
    """Returns the lease role of one watcher of a failure domain."""
    return f"configuration-watcher.{failure_domain}.{position}"


class ConfigurationCounters:
    """Totals since the start, for metrics."""

    __slots__ = ("from_peers", "from_platform", "pull_failures", "rejected")

    def __init__(self) -> None:
        """Starts at zero."""
        self.from_peers = 0
        """Generations taken from peers."""
        self.from_platform = 0
        """Generations read as a watcher."""
        self.pull_failures = 0
        """Pulls without a usable answer."""
        self.rejected = 0
        """Generations whose document had findings."""


class ConfigurationDriver:
    """Watches the release in a role, or pulls it from peers, forward only.

    The owner passes the generations of gossip messages to `peer_told` and the
    pulls of peers to `answer_pull`.
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
        "_reactor",
        "_rejected",
        "_retry",
        "_rng",
        "_send",
        "_store",
        "_tracker",
        "_watch",
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
        parse: Parse,
        on_document: Callable[[int, Any], None],
    ) -> None:
        """Connects the parts.

        Args:
            reactor: Timers.
            clock: Monotonic time.
            rng: Source of jitter.
            store: Platform objects.
            membership: View of the own node.
            send: Sends datagrams.
            pull: Asks a member for its release, given the own generation.
            parse: Makes a document of section texts by section name.
            on_document: Gets each generation with its document, in order.
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
        self._rejected = 0
        self._backoff = Backoff(rng, _FIRST_BACKOFF_S, _MAX_BACKOFF_S)
        self._leases = [
            self._lease_driver(position)
            for position in range(WATCHERS_PER_DOMAIN)
        ]
        self._watch = Background(reactor, "release watch", self._watch_release)
        self._retry = Background(reactor, "release pulls", self._retry_pulls)
        self._closed = False
        self.counters = ConfigurationCounters()

    @property
    def generation(self) -> int:
        """Generation in effect; 0 without a configuration."""
        return self._tracker.generation

    @property
    def is_watcher(self) -> bool:
        """Whether the node holds a watcher lease."""
        return any(lease.holds for lease in self._leases)

    @property
    def held_roles(self) -> tuple[str, ...]:
        """Watcher roles that the node holds; at most one for long."""
        return tuple(lease.role for lease in self._leases if lease.holds)

    def start(self) -> None:
        """Starts to compete for a watcher role and to pull."""
        for lease in self._leases:
            lease.start()
        self._retry.start()

    def close(self) -> None:
        """Releases the role and stops."""
        self._closed = True
        self._watch.close()
        self._retry.close()
        for lease in self._leases:
            lease.close()

    def peer_told(self, node_id: str, generation: int) -> None:
        """Takes the generation that a peer's gossip carried."""
        if self._closed or generation <= self._rejected:
            return
        if self._tracker.observe(node_id, generation):
            delay_s = self._rng.uniform(0, _PULL_JITTER_S)
            self._reactor.callLater(delay_s, self._pull_next)

    def answer_pull(self, have_generation: int) -> wire.ReleasePush | None:
        """Returns the release for a peer; None if it is not higher."""
        if self._content is None or self.generation <= have_generation:
            return None
        return self._content.push_for(have_generation)

    # Pulling from peers.

    def _pull_next(self) -> None:
        if self._closed:
            return
        plan = self._tracker.next_pull()
        if plan is None:
            return
        member = self._membership.get(plan.peer)
        if member is None or not member.is_live:
            self._tracker.pull_failed(plan)
            return
        answer = self._pull(member, self.generation)
        answer.addTimeout(_PULL_TIMEOUT_S, self._reactor)
        answer.addCallbacks(
            self._pulled, self._pull_failed, (plan,), None, (plan,)
        )
        answer.addErrback(lambda failure: _LOG.error("pull: %s", failure))

    def _pulled(
        self, push: wire.ReleasePush | None, plan: ReleasePullPlan
    ) -> None:
        if push is None or not self._take(push):
            self._pull_failed("no usable release", plan)
            return
        self.counters.from_peers += 1
        self._tracker.pull_ended(plan)
        self._pull_next()

    def _pull_failed(self, reason: object, plan: ReleasePullPlan) -> None:
        if plan.generation <= self.generation:
            self._tracker.pull_ended(plan)
            return
        self.counters.pull_failures += 1
        _LOG.info("pull from %s failed: %s", plan.peer, reason)
        self._tracker.pull_failed(plan)
        self._pull_next()

    async def _retry_pulls(self) -> None:
        while True:
            await sleep(self._reactor, _RETRY_S * self._rng.uniform(0.5, 1.5))
            self._pull_next()

    def _take(self, push: wire.ReleasePush) -> bool:
        known = self._content.by_digest if self._content else {}
        taken = take_push(push, self.generation, known)
        if taken.is_error():
            _LOG.warning("release was not taken: %s", taken.error)
            return False
        return self._adopt(taken.ok)

    def _adopt(self, content: ReleaseContent) -> bool:
        if content.generation <= max(self.generation, self._rejected):
            return False
        try:
            document = self._parse(content.by_section())
        except ValueError as error:  # Not UTF-8 or not one section per text.
            document = Result.Error(error)
        if document.is_error():
            # The same generation is the same document everywhere.
            self._rejected = content.generation
            self.counters.rejected += 1
            _LOG.error(
                "generation %d is not usable: %s",
                content.generation,
                document.error,
            )
            return False
        self._content = content
        self._tracker.adopt(content.generation)
        self._on_document(content.generation, document.ok)
        self._send(self._membership.set_generation(content.generation))
        return True

    # Watching the platform.

    def _lease_driver(self, position: int) -> LeaseDriver:
        own = self._membership.own
        return LeaseDriver(
            self._reactor,
            self._clock,
            self._rng,
            store=self._store,
            role=watcher_role(own.failure_domain, position),
            node_id=own.node_id,
            incarnation=own.incarnation,
            on_change=self._watcher_changed,
            is_candidate=self._is_candidate,
        )

    def _is_candidate(self) -> bool:
        """Returns whether the node competes for its domain's roles."""
        if self.is_watcher:
            return False
        own = self._membership.own
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
        # The only member of a domain leaves the second role vacant.
        return rank is not None

    def _watcher_changed(self, _holds: bool) -> None:
        held = [lease for lease in self._leases if lease.holds]
        for surplus in held[1:]:
            # Both writes were on their way; one VM must not be all watchers.
            self._reactor.callLater(0, surplus.restart)
        if held:
            self._watch.start()
        else:
            self._watch.close()

    async def _watch_release(self) -> None:
        version: int | None = None
        found = await call(self._reactor, self._store.get(RELEASE_OBJECT))
        while True:
            version, done = await self._take_found(found, version)
            if not done:
                await sleep(self._reactor, self._backoff.next_s())
                found = await call(
                    self._reactor, self._store.get(RELEASE_OBJECT)
                )
                continue
            self._backoff.reset()
            # Bounds the rate if the platform answers watches at once.
            await sleep(self._reactor, _WATCH_PAUSE_S)
            found = await call(
                self._reactor,
                self._store.watch(RELEASE_OBJECT, version, _WATCH_S),
                2 * _WATCH_S,
            )

    async def _take_found(
        self, found: Result[Any, Any], version: int | None
    ) -> tuple[int | None, bool]:
        """Takes the result of a read or watch.

        Returns:
            Version to watch from, and whether the platform is usable.
        """
        if found.is_error():
            missing = isinstance(found.error, NotFound)
            return (None if missing else version), missing
        if found.ok is None:
            return version, True
        done = await self._take_manifest(found.ok.value)
        return (found.ok.version if done else version), done

    async def _take_manifest(self, manifest: bytes) -> bool:
        decoded = decode_release(manifest)
        if decoded.is_error():
            _LOG.error("release cannot be read: %s", decoded.error)
            return True
        release = decoded.ok
        if release.generation <= max(self.generation, self._rejected):
            return True
        texts = dict(self._content.by_digest if self._content else {})
        for name, digest in release.sections.items():
            if digest in texts:
                continue
            read = await call(
                self._reactor,
                self._store.get(section_object_name(name, digest)),
            )
            if read.is_error():
                return False
            texts[digest] = read.ok.value
        self.counters.from_platform += self._adopt(
            ReleaseContent(manifest, release, texts)
        )
        return True
