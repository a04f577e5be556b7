"""Model of a request that crashes upstreams and is sent again and again.

Gossip reaches every node within a bound. While the content is unknown, a given
number of callers sends it at once; each of these runs may crash an upstream,
and then one more.

>>> run_crashes(CrashSettings(seed=1)).violations
[]
"""

import random
from typing import NamedTuple

from radishtray_state import (
    CrashSuspects,
    SuspectVerdict,
    fingerprint,
    suspect_hosts,
)
from radishtray_testing.chain_checks import CrashChecks
from radishtray_testing.chain_model import Scheduler

_WINDOW_S = 59.0  # An entry loses 0.1 s with each hop between nodes.
_GOSSIP_INTERVAL_S = 0.1
_GOSSIP_DELAY_S = 0.1
_FIRST_CRASH_S = 1.0
_FIRST_RESEND_S = 0.21  # After the first crash: once gossip has arrived.
_RESTART_S = 1.0
_TRANSIT_S = 0.002
_RETRY_S = 0.05
_EXPORT_LIMIT = 32  # All entries of a run fit into one datagram.
_INNOCENT_WAIT_S = 5.0


class CrashSettings(NamedTuple):
    """What a run consists of.

    Attributes:
        seed: Seed of every random decision.
        nodes: Nodes, each with one upstream.
        innocents: Contents of requests that crash nothing.
        innocent_interval_s: Time between requests of one innocent content.
        first_senders: Callers that send the crashing request at the same time
            while no node knows it.
        chain_retry: Whether the crashing request is retried once by its sender,
            sooner than gossip arrives.
        resenders: Callers that send it at the same time afterwards.
        resend_s: Time between their rounds, in seconds.
        duration_s: Length of the run, in seconds.
    """

    seed: int
    nodes: int = 3
    innocents: int = 40
    innocent_interval_s: float = 1.0
    first_senders: int = 1
    chain_retry: bool = False
    resenders: int = 3
    resend_s: float = 3.0
    duration_s: float = 70.0


class _Request:
    """One request of a caller."""

    __slots__ = ("content", "crashes", "is_done", "is_poison")

    def __init__(self, content: int, is_poison: bool) -> None:
        self.content = content
        self.is_poison = is_poison
        self.crashes = 0
        self.is_done = False


class _Node:
    """A node with its upstream."""

    __slots__ = ("is_up", "name", "running", "suspects", "waiting")

    def __init__(self, name: str, scheduler: Scheduler) -> None:
        self.name = name
        self.suspects = CrashSuspects(scheduler.clock)
        self.is_up = True
        self.running: list[_Request] = []
        self.waiting: list[_Request] = []


class _CrashModel:
    __slots__ = (
        "_crashed_at",
        "_nodes",
        "_rng",
        "_scheduler",
        "_settings",
        "checks",
    )

    def __init__(self, settings: CrashSettings) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._scheduler = Scheduler()
        self._crashed_at = -_WINDOW_S
        self._nodes = [
            _Node(f"n{i}", self._scheduler) for i in range(settings.nodes)
        ]
        self.checks = CrashChecks(_WINDOW_S, settings.first_senders + 1)

    def run(self) -> CrashChecks:
        poison = fingerprint("s", "k", "/poison", b"")
        self._scheduler.at(_FIRST_CRASH_S, lambda: self._resend(poison))
        for number in range(self._settings.innocents):
            content = fingerprint("s", "k", f"/{number}", b"")
            self._send_innocent(content)
        for node in self._nodes:
            self._gossip(node)
        self._scheduler.run(self._settings.duration_s)
        return self.checks

    def _resend(self, poison: int) -> None:
        self._scheduler.after(
            self._settings.resend_s, lambda: self._resend(poison)
        )
        self._send_poison(poison)

    def _send_poison(self, poison: int) -> None:
        is_known = self._scheduler.now - self._crashed_at < _WINDOW_S
        settings = self._settings
        for _ in range(
            settings.resenders if is_known else settings.first_senders
        ):
            self._enter(_Request(poison, True))

    def _send_innocent(self, content: int) -> None:
        self._scheduler.after(
            self._rng.uniform(0.5, 1.5) * self._settings.innocent_interval_s,
            lambda: self._send_innocent(content),
        )
        request = _Request(content, False)
        self._scheduler.after(
            _INNOCENT_WAIT_S, lambda: self._check_done(request)
        )
        self._enter(request)

    def _check_done(self, request: _Request) -> None:
        if not request.is_done:
            self.checks.starved(request.content)

    def _gossip(self, node: _Node) -> None:
        self._scheduler.after(_GOSSIP_INTERVAL_S, lambda: self._gossip(node))
        news = node.suspects.export(_EXPORT_LIMIT)
        for peer in self._nodes:
            if news and peer is not node:
                self._scheduler.after(
                    self._rng.uniform(0, _GOSSIP_DELAY_S),
                    lambda peer=peer: peer.suspects.merge(news),  # type: ignore[misc]
                )

    def _enter(self, request: _Request) -> None:
        """Receives a request at any node and sends it to a host."""
        entry = self._rng.choice(self._nodes)
        crashes = entry.suspects.crashes(request.content)
        if crashes > 1:
            self.checks.refused(request.content, not request.is_poison)
            return
        hosts = self._rng.sample(self._nodes, len(self._nodes))
        if crashes or request.crashes:
            by_name = {node.name: node for node in hosts}
            hosts = [
                by_name[name]
                for name in suspect_hosts(request.content, list(by_name))
            ]
        self._ask(hosts, request)

    def _ask(self, hosts: list[_Node], request: _Request) -> None:
        """Asks the hosts in turn, or starts again when all are down."""
        if hosts:
            self._scheduler.after(
                _TRANSIT_S, lambda: self._arrive(hosts, request)
            )
        else:
            self._scheduler.after(_RETRY_S, lambda: self._enter(request))

    def _arrive(self, hosts: list[_Node], request: _Request) -> None:
        host = hosts[0]
        verdict = host.suspects.check(request.content, request.crashes)
        if verdict is SuspectVerdict.REFUSE:
            self.checks.refused(request.content, not request.is_poison)
        elif not host.is_up:
            self._ask(hosts[1:], request)
        elif verdict is SuspectVerdict.WAIT:
            host.waiting.append(request)
        else:
            self._start(host, request)

    def _start(self, host: _Node, request: _Request) -> None:
        host.suspects.started(request.content)
        host.running.append(request)
        if request.is_poison:
            self._scheduler.after(
                self._rng.uniform(0.05, 0.2), lambda: self._crash(host, request)
            )
        else:
            self._scheduler.after(
                self._rng.uniform(0.02, 0.4),
                lambda: self._finish(host, request),
            )

    def _finish(self, host: _Node, request: _Request) -> None:
        if request not in host.running:
            return
        host.running.remove(request)
        request.is_done = True
        if host.suspects.finished(request.content):
            self._admit_waiting(host)

    def _admit_waiting(self, host: _Node) -> None:
        waiting, host.waiting = host.waiting, []
        for request in waiting:
            if host.is_up:
                self._arrive([host], request)
            elif host.suspects.crashes(request.content) > 1:
                self.checks.refused(request.content, not request.is_poison)
            else:
                self._enter(request)

    def _crash(self, host: _Node, request: _Request) -> None:
        if request not in host.running:
            return
        if self._scheduler.now - self._crashed_at >= _WINDOW_S:
            self._scheduler.after(
                _FIRST_RESEND_S, lambda: self._send_poison(request.content)
            )
        self._crashed_at = self._scheduler.now
        self.checks.crashed(request.content, host.name, self._scheduler.now)
        host.suspects.upstream_crashed()
        host.is_up = False
        lost, host.running = host.running, []
        for other in lost:
            other.crashes += 1
            if not other.is_poison or (
                self._settings.chain_retry and other.crashes < 2
            ):
                self._scheduler.after(_RETRY_S, lambda o=other: self._enter(o))  # type: ignore[misc]
        self._admit_waiting(host)
        self._scheduler.after(_RESTART_S, lambda: self._restart(host))

    def _restart(self, host: _Node) -> None:
        host.is_up = True


def run_crashes(settings: CrashSettings) -> CrashChecks:
    """Runs one model to its end.

    Args:
        settings: What the run consists of.

    Returns:
        The checks with everything that they observed.
    """
    return _CrashModel(settings).run()
