"""Simulation of a request that crashes upstreams and is sent repeatedly.

One content crashes every upstream that runs it; all others are harmless. Each
request enters at a random node, which asks other nodes in turn to run it on
their upstreams; these are its hosts. The order is random, except for a crash
suspect: its hosts are asked in the order of `suspect_hosts`. Nodes tell each
other their suspects by gossip, which arrives within a bounded time.

While no node has a record of a crash by this content, several callers may send
it at the same time. The checks allow each of these runs, and one later run, to
crash an upstream.

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
from radishtray_testing.scheduler import Scheduler

# Shorter than the 60 s for which nodes remember a crash, because an entry loses
# 0.1 s of this time with each hop between nodes.
_CRASH_WINDOW_S = 59.0
_GOSSIP_INTERVAL_S = 0.1
_MAX_GOSSIP_DELAY_S = 0.1
_FIRST_SEND_AT_S = 1.0
# Counted from the first crash. By then its gossip has reached all nodes: up to
# one interval until it is sent, and the delay on the way.
_FIRST_RESEND_DELAY_S = 0.21
_RESTART_DELAY_S = 1.0
_NETWORK_DELAY_S = 0.002
_RETRY_DELAY_S = 0.05
_MAX_GOSSIP_ENTRIES = 32  # One message carries all entries of a run.
_HARMLESS_DEADLINE_S = 5.0


class CrashSettings(NamedTuple):
    """Parameters of a run.

    Attributes:
        seed: Seed of every random decision.
        nodes: Number of nodes, each with one upstream.
        harmless_contents: Number of contents that crash no upstream.
        harmless_interval_s: Mean time between requests of one harmless
            content, in seconds.
        first_senders: Callers that send the crashing request at the same time
            while no node has a record of a crash by it.
        retries_before_gossip: Whether the sender retries the crashing request
            once after a crash, before gossip has reached all nodes.
        resenders: Callers that send it at the same time after a crash.
        resend_interval_s: Time between the rounds of these sends, in seconds.
        duration_s: Length of the run, in seconds.
    """

    seed: int
    nodes: int = 3
    harmless_contents: int = 40
    harmless_interval_s: float = 1.0
    first_senders: int = 1
    retries_before_gossip: bool = False
    resenders: int = 3
    resend_interval_s: float = 3.0
    duration_s: float = 70.0


class _Request:
    """One request of a caller; `crash_count` counts its crashed attempts."""

    __slots__ = ("content", "crash_count", "crashes_upstream", "is_done")

    def __init__(self, content: int, crashes_upstream: bool) -> None:
        self.content = content
        self.crashes_upstream = crashes_upstream
        self.crash_count = 0
        self.is_done = False


class _Node:
    """One node with its upstream.

    Requests in `waiting` are suspects that wait until no other suspect runs.
    """

    __slots__ = ("is_upstream_up", "node_id", "running", "suspects", "waiting")

    def __init__(self, node_id: str, scheduler: Scheduler) -> None:
        self.node_id = node_id
        self.suspects = CrashSuspects(scheduler.clock)
        self.is_upstream_up = True
        self.running: list[_Request] = []
        self.waiting: list[_Request] = []


class _CrashModel:
    """Nodes and requests of one run."""

    __slots__ = (
        "_last_crash_s",
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
        self._last_crash_s = -_CRASH_WINDOW_S
        self._nodes = [
            _Node(f"n{i}", self._scheduler) for i in range(settings.nodes)
        ]
        self.checks = CrashChecks(_CRASH_WINDOW_S, settings.first_senders + 1)

    def run(self) -> CrashChecks:
        crashing_content = fingerprint("s", "k", "/poison", b"")
        self._scheduler.run_at(
            _FIRST_SEND_AT_S,
            lambda: self._send_crashing_repeatedly(crashing_content),
        )
        for number in range(self._settings.harmless_contents):
            content = fingerprint("s", "k", f"/{number}", b"")
            self._send_harmless_repeatedly(content)
        for node in self._nodes:
            self._gossip_repeatedly(node)
        self._scheduler.run_until(self._settings.duration_s)
        return self.checks

    def _send_crashing_repeatedly(self, crashing_content: int) -> None:
        self._scheduler.run_after(
            self._settings.resend_interval_s,
            lambda: self._send_crashing_repeatedly(crashing_content),
        )
        self._send_crashing_once(crashing_content)

    def _send_crashing_once(self, crashing_content: int) -> None:
        is_known = self._scheduler.now_s - self._last_crash_s < _CRASH_WINDOW_S
        settings = self._settings
        for _ in range(
            settings.resenders if is_known else settings.first_senders
        ):
            self._enter_at_any_node(_Request(crashing_content, True))

    def _send_harmless_repeatedly(self, content: int) -> None:
        self._scheduler.run_after(
            self._rng.uniform(0.5, 1.5) * self._settings.harmless_interval_s,
            lambda: self._send_harmless_repeatedly(content),
        )
        request = _Request(content, False)
        self._scheduler.run_after(
            _HARMLESS_DEADLINE_S, lambda: self._check_deadline(request)
        )
        self._enter_at_any_node(request)

    def _check_deadline(self, request: _Request) -> None:
        if not request.is_done:
            self.checks.record_missed_deadline(request.content)

    def _gossip_repeatedly(self, node: _Node) -> None:
        self._scheduler.run_after(
            _GOSSIP_INTERVAL_S, lambda: self._gossip_repeatedly(node)
        )
        suspects = node.suspects.export(_MAX_GOSSIP_ENTRIES)
        for peer in self._nodes:
            if suspects and peer is not node:
                self._scheduler.run_after(
                    self._rng.uniform(0, _MAX_GOSSIP_DELAY_S),
                    lambda peer=peer: peer.suspects.merge(suspects),  # type: ignore[misc]
                )

    def _enter_at_any_node(self, request: _Request) -> None:
        """Refuses a request at a random node or sends it to the hosts."""
        entry_node = self._rng.choice(self._nodes)
        known_crashes = entry_node.suspects.crashes(request.content)
        if known_crashes > 1:
            self.checks.record_refusal(
                request.content, not request.crashes_upstream
            )
            return
        hosts = self._rng.sample(self._nodes, len(self._nodes))
        if known_crashes or request.crash_count:
            nodes_by_id = {node.node_id: node for node in hosts}
            hosts = [
                nodes_by_id[node_id]
                for node_id in suspect_hosts(request.content, list(nodes_by_id))
            ]
        self._try_hosts(hosts, request)

    def _try_hosts(self, hosts: list[_Node], request: _Request) -> None:
        """Asks the first host, or starts again if no host is left."""
        if hosts:
            self._scheduler.run_after(
                _NETWORK_DELAY_S,
                lambda: self._check_at_first_host(hosts, request),
            )
        else:
            self._scheduler.run_after(
                _RETRY_DELAY_S, lambda: self._enter_at_any_node(request)
            )

    def _check_at_first_host(
        self, hosts: list[_Node], request: _Request
    ) -> None:
        host = hosts[0]
        verdict = host.suspects.check(request.content, request.crash_count)
        if verdict is SuspectVerdict.REFUSE:
            self.checks.record_refusal(
                request.content, not request.crashes_upstream
            )
        elif not host.is_upstream_up:
            self._try_hosts(hosts[1:], request)
        elif verdict is SuspectVerdict.WAIT:
            host.waiting.append(request)
        else:
            self._start_run(host, request)

    def _start_run(self, host: _Node, request: _Request) -> None:
        host.suspects.record_start(request.content)
        host.running.append(request)
        if request.crashes_upstream:
            self._scheduler.run_after(
                self._rng.uniform(0.05, 0.2),
                lambda: self._crash_upstream(host, request),
            )
        else:
            self._scheduler.run_after(
                self._rng.uniform(0.02, 0.4),
                lambda: self._finish_run(host, request),
            )

    def _finish_run(self, host: _Node, request: _Request) -> None:
        if request not in host.running:
            return
        host.running.remove(request)
        request.is_done = True
        if host.suspects.record_end(request.content):
            self._check_waiting_again(host)

    def _check_waiting_again(self, host: _Node) -> None:
        waiting, host.waiting = host.waiting, []
        for request in waiting:
            if host.is_upstream_up:
                self._check_at_first_host([host], request)
            elif host.suspects.crashes(request.content) > 1:
                self.checks.record_refusal(
                    request.content, not request.crashes_upstream
                )
            else:
                self._enter_at_any_node(request)

    def _crash_upstream(self, host: _Node, request: _Request) -> None:
        if request not in host.running:
            return
        if self._scheduler.now_s - self._last_crash_s >= _CRASH_WINDOW_S:
            self._scheduler.run_after(
                _FIRST_RESEND_DELAY_S,
                lambda: self._send_crashing_once(request.content),
            )
        self._last_crash_s = self._scheduler.now_s
        self.checks.record_crash(
            request.content, host.node_id, self._scheduler.now_s
        )
        host.suspects.upstream_crashed()
        host.is_upstream_up = False
        lost, host.running = host.running, []
        for lost_request in lost:
            lost_request.crash_count += 1
            if not lost_request.crashes_upstream or (
                self._settings.retries_before_gossip
                and lost_request.crash_count < 2
            ):
                self._scheduler.run_after(
                    _RETRY_DELAY_S,
                    lambda r=lost_request: self._enter_at_any_node(r),  # type: ignore[misc]
                )
        self._check_waiting_again(host)
        self._scheduler.run_after(
            _RESTART_DELAY_S, lambda: self._restart_upstream(host)
        )

    def _restart_upstream(self, host: _Node) -> None:
        host.is_upstream_up = True


def run_crashes(settings: CrashSettings) -> CrashChecks:
    """Simulates a crashing request beside harmless ones.

    Args:
        settings: Parameters of the run.

    Returns:
        The checks with the events that they recorded.
    """
    return _CrashModel(settings).run()
