"""The processes of a soak, with fixed ports so that each can be restarted."""

import json
import signal
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import NamedTuple

from radishtray_testing._soak_proxy import LinkProxy
from radishtray_testing.processes import (
    LocalDeployment,
    ManagedProcess,
    find_free_ports,
)

PLATFORM = "platform"
_LISTENERS = ("caller", "upstream", "node", "gossip", "operator")
_STOP_TIMEOUT_S = 120.0
_CONCURRENT_STARTS = 8
_CONFIGURATION = """\
format: 1
defaults: {owner: soak, deadline_ms: 8000}
services:
  bank:
    owner: soak
    kinds:
      pay: {method: POST, path: /pay, at_most_once: true}
  shop:
    owner: soak
    kinds:
      read: {method: GET, path: /read}
      slow: {method: GET, path: /slow}
      write: {method: POST, path: /write}
      buy: {method: POST, path: /buy, at_most_once: true}
      order: {method: POST, path: /order, at_most_once: true, calls: [bank/pay]}
"""
_ADDED_KIND = "      extra-{0}: {{method: GET, path: /extra-{0}}}\n"
_WORK_PLAN = (
    '{"slow": {"ms": 1000}, "order": {"calls": ["POST /call/bank/pay"]}}'
)


class Run(NamedTuple):
    """A run as the upstream beside a node recorded it when it began."""

    node_id: str
    at_s: float
    target: str
    send_id: str
    key: str
    chain_id: str


class SoakDeployment:
    """Nodes with their upstreams and the platform stand-in.

    Every third node stands beside an upstream of `bank`, which orders call, the
    others beside upstreams of `shop`.

    Attributes:
        local: The processes.
        entries: Caller port of each node by its id.
        proxies: Proxies before the upstreams of every second node, by node id.
        newest_kind: Kind that the last accepted configuration added.
    """

    def __init__(
        self, directory: Path, node_count: int, late_answer_s: float = 0.0
    ) -> None:
        """Chooses the ports and starts the platform stand-in.

        With `late_answer_s`, upstreams send some answers again that much later.
        """
        self._directory = directory
        self.entries: dict[str, int] = {}
        self.proxies: dict[str, LinkProxy] = {}
        self.newest_kind = ""
        self._document = _CONFIGURATION
        self._flags: dict[tuple[str, str], list[str]] = {}
        # Held while a node or its upstream is ended and started.
        self._locks: dict[str, threading.Lock] = {}
        free_ports = find_free_ports()
        for number in range(node_count):
            service = "bank" if number % 3 == 2 else "shop"
            node_id = f"{service}-{number}"
            self._locks[node_id] = threading.Lock()
            ports = {name: next(free_ports) for name in _LISTENERS}
            self.entries[node_id] = ports["caller"]
            self._flags["node", node_id] = [
                f"--{name}-port={port}" for name, port in ports.items()
            ]
            port = announced_port = next(free_ports)
            if number % 2:
                announced_port = next(free_ports)
                self.proxies[node_id] = LinkProxy(announced_port, port)
            self._flags["upstream", node_id] = [
                *("--echo", f"--run-log={directory / node_id}.runs"),
                *(f"--port={port}", f"--announced-port={announced_port}"),
                *(f"--service={service}", f"--plan={_WORK_PLAN}"),
                *("--slots=30", "--service-ms=30", f"--seed={number}"),
                f"--late-answer-s={late_answer_s}",
            ]
        self.local = LocalDeployment(directory / "logs")

    def start(self) -> None:
        """Starts all processes and waits until they are ready."""
        with ThreadPoolExecutor(_CONCURRENT_STARTS) as pool:
            for part in ("node", "upstream"):
                start = partial(self._start_process, part)
                list(pool.map(start, self.entries))
        if not self.publish_configuration():
            raise RuntimeError("the first configuration was not accepted")
        self.local.wait_until_ready(1, len(self.entries))
        self.local.wait_until_key_slots_are_owned(2)

    def process(self, part: str, node_id: str) -> ManagedProcess:
        """Returns the latest `node`, `upstream` or platform process."""
        if part == PLATFORM:
            return self.local.platform
        if part == "node":
            return self.local.nodes[node_id]
        return self.local.upstreams[node_id]

    def _start_process(self, part: str, node_id: str) -> None:
        flags = self._flags[part, node_id]
        if part == "node":
            self.local.start_node(node_id, f"domain-{node_id[-1]}", *flags)
            return
        if node_id in self.proxies:
            self.proxies[node_id].open()
        self.local.start_upstream(node_id, *flags)

    def restart_process(
        self,
        part: str,
        node_id: str,
        number: signal.Signals,
        pause: Callable[[], None],
    ) -> int:
        """Ends a `node` or `upstream`, calls `pause` and starts it again.

        Returns:
            The exit code.
        """
        with self._locks[node_id]:
            process = self.process(part, node_id)
            process.send_signal(number)
            exit_code = process.wait_for_exit(_STOP_TIMEOUT_S)
            process.close()
            if part == "upstream" and node_id in self.proxies:
                self.proxies[node_id].refuse()
            pause()
            self._start_process(part, node_id)
        return exit_code

    def publish_configuration(self) -> bool:
        """Publishes one more kind; returns whether it was accepted."""
        number = self._document.count("path: /extra-") + 1
        document = self._document + _ADDED_KIND.format(number)
        path = self._directory / f"configuration-{number}.yaml"
        path.write_text(document, encoding="utf-8")
        code, _ = self.local.run_ctl("config", "apply", str(path))
        if code == 0:
            self._document, self.newest_kind = document, f"extra-{number}"
        return code == 0

    def read_runs(self) -> list[Run]:
        """Returns all runs that any upstream process has begun."""
        return [
            Run(path.stem, **json.loads(line))
            for path in self._directory.glob("*.runs")
            for line in path.read_text(encoding="utf-8").splitlines()
        ]

    def close(self) -> None:
        """Kills all processes that are running."""
        for proxy in self.proxies.values():
            proxy.close()
        self.local.close()
