"""The processes of a soak, with fixed ports so that each can be restarted."""

import json
import random
import socket
import threading
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

from radishtray_testing.processes import (
    LOOPBACK,
    LocalDeployment,
    ManagedProcess,
)

# Below the range from which Linux takes the ports of outgoing connections, so
# that no connection occupies the port of a process that is being restarted.
_FIRST_PORT, _LAST_PORT = 12_000, 32_000
_PORT_FLAGS = ("caller", "upstream", "node", "gossip", "operator")
_DEADLINE_MS = 8_000
SLOTS_PER_UPSTREAM = 30
_KINDS = {
    "shop": {
        "read": "{method: GET, path: /read, %s}",
        "slow": "{method: GET, path: /slow, %s}",
        "write": "{method: POST, path: /write, %s}",
        "buy": "{method: POST, path: /buy, at_most_once: true, %s}",
        "order": (
            "{method: POST, path: /order, at_most_once: true,"
            " calls: [bank/pay], %s}"
        ),
    },
    "bank": {"pay": "{method: POST, path: /pay, at_most_once: true, %s}"},
}
_WORK_PLAN = {
    "read": {"ms": 30},
    "slow": {"ms": 1_000},
    "write": {"ms": 40},
    "buy": {"ms": 40},
    "order": {"ms": 20, "calls": ["POST /call/bank/pay"]},
    "pay": {"ms": 20},
}


class Run:
    """A run of a request as an upstream recorded it when it began.

    Attributes:
        node_id: Id of the node beside the upstream.
        at_s: Wall time of the beginning in seconds.
        target: Request target.
        send_id: Id of the caller's send; empty for a call of an upstream.
        key: Idempotency key; empty if there was none.
        chain_id: Id of the whole chain of calls.
    """

    __slots__ = ("at_s", "chain_id", "key", "node_id", "send_id", "target")

    def __init__(
        self,
        node_id: str,
        at_s: float,
        target: str,
        send_id: str,
        key: str,
        chain_id: str,
    ) -> None:
        """Creates a run."""
        self.node_id = node_id
        self.at_s = at_s
        self.target = target
        self.send_id = send_id
        self.key = key
        self.chain_id = chain_id


class PortAllocator:
    """Chooses ports that are free and stay free for restarted processes."""

    __slots__ = ("_chosen", "_rng")

    def __init__(self) -> None:
        """Creates an allocator that has chosen no port."""
        self._rng = random.SystemRandom()
        self._chosen: set[int] = set()

    def allocate(self) -> int:
        """Returns a port that is free for TCP and UDP on all addresses."""
        while True:
            port = self._rng.randint(_FIRST_PORT, _LAST_PORT)
            if port not in self._chosen and _is_free(port):
                self._chosen.add(port)
                return port


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True


class SoakDeployment:
    """Nodes with their upstreams and the platform stand-in.

    Two thirds of the nodes stand beside upstreams of `shop`, the others beside
    upstreams of `bank`, which orders call.

    Attributes:
        node_ids: Ids of all nodes.
        entries: Node id and caller port of each node.
    """

    __slots__ = (
        "_directory",
        "_local",
        "_locks",
        "_node_flags",
        "_ports",
        "_published_count",
        "_services",
        "_upstream_flags",
        "entries",
        "node_ids",
    )

    def __init__(self, directory: Path, node_count: int) -> None:
        """Starts the platform stand-in; `start` starts the others.

        Args:
            directory: Directory for logs, run logs and configurations.
            node_count: Number of nodes, at least 3.
        """
        self._directory = directory
        self._local = LocalDeployment(directory / "logs")
        self._ports = PortAllocator()
        self._services = {
            f"{service}-{number}": service
            for number in range(node_count)
            for service in ["bank" if number % 3 == 2 else "shop"]
        }
        self.node_ids = list(self._services)
        self._locks = {node_id: threading.RLock() for node_id in self.node_ids}
        self._node_flags: dict[str, list[str]] = {}
        self._upstream_flags: dict[str, list[str]] = {}
        self.entries: list[tuple[str, int]] = []
        self._published_count = 0

    def start(self) -> None:
        """Starts all processes and waits until they are ready."""
        for number, node_id in enumerate(self.node_ids):
            ports = {name: self._ports.allocate() for name in _PORT_FLAGS}
            self.entries.append((node_id, ports["caller"]))
            self._node_flags[node_id] = [
                f"--{name}-port={port}" for name, port in ports.items()
            ]
            self._upstream_flags[node_id] = [
                f"--service={self._services[node_id]}",
                f"--slots={SLOTS_PER_UPSTREAM}",
                f"--plan={json.dumps(_WORK_PLAN)}",
                "--distribution=gamma",
                f"--seed={number}",
                f"--port={self._ports.allocate()}",
                "--echo",
                f"--run-log={self._directory / f'{node_id}.runs'}",
            ]
            self.start_node(node_id)
            self.start_upstream(node_id)
        if not self.publish_configuration():
            raise RuntimeError("the first configuration was not accepted")
        self._local.wait_until_ready(1, len(self.node_ids))
        self._local.wait_until_key_slots_are_owned(len(_KINDS))

    def lock(self, node_id: str) -> threading.RLock:
        """Returns the lock of a node and its upstream.

        It is held while one of them is ended and started, so that faults that
        overlap do not start a process twice.
        """
        return self._locks[node_id]

    def node(self, node_id: str) -> ManagedProcess:
        """Returns the latest process of a node."""
        return self._local.nodes[node_id]

    def upstream(self, node_id: str) -> ManagedProcess:
        """Returns the latest process of the upstream beside a node."""
        return self._local.upstreams[node_id]

    @property
    def platform(self) -> ManagedProcess:
        """The platform stand-in."""
        return self._local.platform

    def start_node(self, node_id: str) -> None:
        """Starts a node, again with the ports that it had."""
        domain = f"domain-{self.node_ids.index(node_id) % 3}"
        self._start(
            self._local.nodes.get(node_id),
            lambda: self._local.start_node(
                node_id, domain, *self._node_flags[node_id]
            ),
        )

    def start_upstream(self, node_id: str) -> None:
        """Starts the upstream beside a node, again with its port."""
        self._start(
            self._local.upstreams.get(node_id),
            lambda: self._local.start_upstream(
                node_id, *self._upstream_flags[node_id]
            ),
        )

    @staticmethod
    def _start(
        previous: ManagedProcess | None, start: Callable[[], ManagedProcess]
    ) -> None:
        if previous is not None:
            previous.close()
        start()

    def publish_configuration(self) -> bool:
        """Publishes a configuration with one more kind, `extra-N`.

        Returns:
            Whether it was accepted.
        """
        number = self._published_count + 1
        lines = ["format: 1", "services:"]
        for service, kinds in _KINDS.items():
            lines += [f"  {service}:", "    owner: soak", "    kinds:"]
            lines += [
                f"      {name}: {text % f'deadline_ms: {_DEADLINE_MS}'}"
                for name, text in kinds.items()
            ]
            if service == "shop":
                lines += [
                    f"      extra-{n}: {{method: GET, path: /extra-{n}}}"
                    for n in range(1, number + 1)
                ]
        document = self._directory / "configuration.yaml"
        document.write_text("\n".join(lines) + "\n", encoding="utf-8")
        code, _ = self._local.run_ctl("config", "apply", str(document))
        if code == 0:
            self._published_count = number
        return code == 0

    @property
    def newest_kind(self) -> str:
        """Name of the kind that the last accepted configuration added."""
        return f"extra-{self._published_count}"

    def set_platform_faults(self, **faults: Any) -> None:
        """Replaces the faults of the platform stand-in; none by default."""
        request = urllib.request.Request(
            f"http://{LOOPBACK}:{self._local.platform_port}/faults",
            data=json.dumps(faults).encode(),
            method="PUT",
        )
        with urllib.request.urlopen(request, timeout=60):
            pass

    def read_runs(self) -> list[Run]:
        """Returns all runs that any upstream process has begun."""
        runs = []
        for node_id in self.node_ids:
            path = self._directory / f"{node_id}.runs"
            for line in path.read_text(encoding="utf-8").splitlines():
                runs.append(Run(node_id, **json.loads(line)))
        return runs

    def close(self) -> None:
        """Kills all processes that are running."""
        self._local.close()
