"""Starts and stops the processes of a deployment on the loopback interface.

Tests, benchmarks and the demo use it to run real node processes with stand-ins
for the platform and the upstreams.
"""

import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from radishtray_state import SLOT_COUNT

_READY_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 40.0
_POLL_INTERVAL_S = 0.1
# Flags of a node that are set to 0, so that the system picks a free port.
_PORT_FLAGS = (
    "caller-port",
    "upstream-port",
    "node-port",
    "gossip-port",
    "operator-port",
)
LOOPBACK = "127.0.0.1"
# Below the ports that Linux gives to outgoing connections, so that none of them
# takes the port of a process that is being restarted.
_FIXED_PORTS = range(12_000, 32_000)


def find_free_ports() -> Iterator[int]:
    """Yields different free ports for processes that may be restarted."""
    for port in random.SystemRandom().sample(_FIXED_PORTS, len(_FIXED_PORTS)):
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("", port))
        except OSError:
            continue  # The port is taken.
        yield port


class ManagedProcess:
    """A child process that prints one JSON line when it is ready.

    Attributes:
        name: Name in error messages and of the log file.
        ready_info: The parsed JSON line, for example with the ports.
    """

    __slots__ = ("_log_file", "_process", "name", "ready_info")

    def __init__(
        self, name: str, arguments: list[str], log_directory: Path
    ) -> None:
        """Starts the process and waits until it is ready.

        Args:
            name: Name in error messages and of the log file.
            arguments: Python module to run, followed by its arguments.
            log_directory: Directory of the log file with standard error.

        Raises:
            RuntimeError: If the process exits before it is ready.
        """
        self.name = name
        self._log_file = (log_directory / f"{name}.log").open("ab")
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log_file,
        )
        assert self._process.stdout is not None
        ready_line = self._process.stdout.readline()
        if not ready_line:
            exit_code = self._process.wait(timeout=_READY_TIMEOUT_S)
            self.close()
            raise RuntimeError(
                f"{name} exited with code {exit_code} before it was"
                f" ready; see {self._log_file.name}"
            )
        self.ready_info: dict[str, Any] = json.loads(ready_line)

    @property
    def pid(self) -> int:
        """Process id of the child."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited yet."""
        return self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal; does nothing if the process has exited."""
        if self.is_running:
            self._process.send_signal(number)

    def wait_for_exit(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits until the process exits and returns its exit code."""
        return self._process.wait(timeout=timeout_s)

    def close(self) -> None:
        """Kills the process if it is running and closes its files."""
        if self.is_running:
            self._process.kill()
            self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()
        self._log_file.close()


class NodeProcess(ManagedProcess):
    """A node process.

    Attributes:
        node_id: Id of the node.
        failure_domain: Failure domain of the node.
    """

    __slots__ = ("_operator_token", "failure_domain", "node_id")

    def __init__(
        self,
        node_id: str,
        failure_domain: str,
        platform_port: int,
        cluster_keys: str,
        operator_token: str,
        log_directory: Path,
        extra_flags: tuple[str, ...] = (),
    ) -> None:
        """Starts the node with free ports on the loopback interface.

        Args:
            node_id: Id of the node.
            failure_domain: Failure domain of the node.
            platform_port: Port of the platform stand-in.
            cluster_keys: Value of `--cluster-keys`.
            operator_token: Bearer token of the operators' API.
            log_directory: Directory of the log file.
            extra_flags: Further flags of the command line.
        """
        self.node_id = node_id
        self.failure_domain = failure_domain
        self._operator_token = operator_token
        settings = {
            "node-id": node_id,
            "failure-domain": failure_domain,
            "address": LOOPBACK,
            "caller-host": LOOPBACK,
            "cluster-keys": cluster_keys,
            "operator-token": operator_token,
            "platform": f"http://{LOOPBACK}:{platform_port}",
            **dict.fromkeys(_PORT_FLAGS, "0"),
        }
        flags = [f"--{name}={value}" for name, value in settings.items()]
        super().__init__(
            node_id,
            ["radishtray_node.main", *flags, *extra_flags],
            log_directory,
        )

    def port(self, listener: str) -> int:
        """Returns the port of a listener, for example `caller`."""
        return int(self.ready_info["ports"][listener])

    def call_operator_api(self, method: str, path: str) -> bytes:
        """Sends a request to the operators' API and returns the answer body."""
        request = urllib.request.Request(
            f"http://{LOOPBACK}:{self.port('operator')}{path}",
            method=method,
            headers={"Authorization": f"Bearer {self._operator_token}"},
        )
        with urllib.request.urlopen(request, timeout=10) as answer:
            return bytes(answer.read())

    def status(self) -> dict[str, Any]:
        """Returns the parsed answer of `GET /status`."""
        status: dict[str, Any] = json.loads(
            self.call_operator_api("GET", "/status")
        )
        return status


class LocalDeployment:
    """A platform stand-in, nodes and their upstreams on the loopback interface.

    Attributes:
        platform: The platform stand-in.
        nodes: Node processes by node id.
        upstreams: Upstream stand-ins by the id of their node.
    """

    __slots__ = (
        "_cluster_keys",
        "_log_directory",
        "_operator_token",
        "nodes",
        "platform",
        "upstreams",
    )

    def __init__(self, log_directory: Path) -> None:
        """Starts the platform stand-in.

        Args:
            log_directory: Directory of the log files of all processes.
        """
        log_directory.mkdir(parents=True, exist_ok=True)
        self._log_directory = log_directory
        self._cluster_keys = f"demo:{secrets.token_hex(32)}"
        self._operator_token = secrets.token_hex(16)
        self.platform = ManagedProcess(
            "platform",
            ["radishtray_testing.platform_standin", "--port", "0"],
            log_directory,
        )
        self.nodes: dict[str, NodeProcess] = {}
        self.upstreams: dict[str, ManagedProcess] = {}

    @property
    def platform_port(self) -> int:
        """Port of the platform stand-in."""
        return int(self.platform.ready_info["port"])

    def start_node(
        self, node_id: str, failure_domain: str, *extra_flags: str
    ) -> NodeProcess:
        """Starts a node, optionally with further flags."""
        node = NodeProcess(
            node_id,
            failure_domain,
            self.platform_port,
            self._cluster_keys,
            self._operator_token,
            self._log_directory,
            extra_flags,
        )
        self.nodes[node_id] = node
        return node

    def start_upstream(self, node_id: str, *flags: str) -> ManagedProcess:
        """Starts an upstream stand-in with these flags beside a node."""
        upstream = ManagedProcess(
            f"upstream-{node_id}",
            [
                "radishtray_testing.upstream_standin",
                "--node-upstream-port",
                str(self.nodes[node_id].port("upstream")),
                *flags,
            ],
            self._log_directory,
        )
        self.upstreams[node_id] = upstream
        return upstream

    def set_platform_faults(self, **faults: Any) -> None:
        """Replaces the faults of the platform stand-in; none by default."""
        request = urllib.request.Request(
            f"http://{LOOPBACK}:{self.platform_port}/faults",
            data=json.dumps(faults).encode(),
            method="PUT",
        )
        with urllib.request.urlopen(request, timeout=_READY_TIMEOUT_S):
            pass

    def run_ctl(self, *arguments: str) -> tuple[int, str]:
        """Runs radishtrayctl.

        Returns:
            The exit code, and standard output followed by standard error.
        """
        environment = os.environ | {
            "RADISHTRAY_PLATFORM": f"http://{LOOPBACK}:{self.platform_port}",
            "RADISHTRAY_OPERATOR_TOKEN": self._operator_token,
            "RADISHTRAY_AUTHOR": "demo",
        }
        completed = subprocess.run(
            [sys.executable, "-m", "radishtray_ctl.main", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return completed.returncode, completed.stdout + completed.stderr

    def wait_until_ready(self, generation: int, serving_members: int) -> None:
        """Waits until every node has a generation and enough serving members.

        Args:
            generation: Lowest generation of the configuration to wait for.
            serving_members: Lowest number of serving members to wait for.

        Raises:
            TimeoutError: If that takes longer than `_READY_TIMEOUT_S`.
        """
        self._wait_for_statuses(
            lambda statuses: all(
                status["generation"] >= generation
                and status["members_serving"] >= serving_members
                for status in statuses
            ),
            f"generation {generation} with {serving_members} serving members",
        )

    def wait_until_key_slots_are_owned(self, service_count: int) -> None:
        """Waits until all key slots of all services have owners.

        Args:
            service_count: Number of services.

        Raises:
            TimeoutError: If that takes longer than `_READY_TIMEOUT_S`.
        """
        slot_count = service_count * SLOT_COUNT
        self._wait_for_statuses(
            lambda statuses: (
                sum(status["key_slots_owned"] for status in statuses)
                >= slot_count
            ),
            f"{slot_count} owned key slots",
        )

    def _wait_for_statuses(
        self,
        condition: Callable[[list[dict[str, Any]]], bool],
        description: str,
    ) -> None:
        """Waits until the statuses of all nodes meet a condition.

        Args:
            condition: Returns whether the statuses are as wanted.
            description: What is awaited, for the error message.

        Raises:
            TimeoutError: If that takes longer than `_READY_TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while True:
            statuses = [node.status() for node in self.nodes.values()]
            if condition(statuses):
                return
            if time.monotonic() >= deadline_s:
                raise TimeoutError(
                    f"nodes have not reached {description} in time; their"
                    f" statuses: {statuses}"
                )
            time.sleep(_POLL_INTERVAL_S)

    def close(self) -> None:
        """Kills all processes that are running."""
        for process in (
            *self.upstreams.values(),
            *self.nodes.values(),
            self.platform,
        ):
            process.close()
