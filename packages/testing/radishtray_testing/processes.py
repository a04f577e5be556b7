"""Starts and ends the processes of a local deployment for tests."""

import json
import os
import secrets
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

from radishtray_state import SLOT_COUNT

_READY_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 40.0
_POLL_S = 0.1
_FREE_PORTS = (
    "caller-port",
    "upstream-port",
    "node-port",
    "gossip-port",
    "operator-port",
)
LOOPBACK = "127.0.0.1"


class ManagedProcess:
    """A child process that prints one JSON line when it is ready.

    Attributes:
        name: Name for messages and the log file.
        ready: Parsed JSON line.
    """

    __slots__ = ("_log", "_process", "name", "ready")

    def __init__(
        self, name: str, arguments: list[str], log_directory: Path
    ) -> None:
        """Starts the process and waits until it is ready.

        Args:
            name: Name for messages and the log file.
            arguments: Module and arguments for the Python interpreter.
            log_directory: Where standard error goes.

        Raises:
            RuntimeError: If the process ends before it is ready.
        """
        self.name = name
        self._log = (log_directory / f"{name}.log").open("ab")
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
        )
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            code = self._process.wait(timeout=_READY_TIMEOUT_S)
            self.close()
            raise RuntimeError(
                f"{name} ended with {code}; see {self._log.name}"
            )
        self.ready: dict[str, Any] = json.loads(line)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self.is_running:
            self._process.send_signal(number)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for the end and returns the exit code."""
        return self._process.wait(timeout=timeout_s)

    def close(self) -> None:
        """Ends the process at once if it is running."""
        if self.is_running:
            self._process.kill()
            self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()
        self._log.close()


class NodeProcess(ManagedProcess):
    """One node.

    Attributes:
        node_id: Name of the node.
        failure_domain: Its failure domain.
    """

    __slots__ = ("_token", "failure_domain", "node_id")

    def __init__(
        self,
        node_id: str,
        failure_domain: str,
        platform_port: int,
        cluster_keys: str,
        operator_token: str,
        log_directory: Path,
        extra: tuple[str, ...] = (),
    ) -> None:
        """Starts the node on free loopback ports."""
        self.node_id = node_id
        self.failure_domain = failure_domain
        self._token = operator_token
        settings = {
            "node-id": node_id,
            "failure-domain": failure_domain,
            "address": LOOPBACK,
            "caller-host": LOOPBACK,
            "cluster-keys": cluster_keys,
            "operator-token": operator_token,
            "platform": f"http://{LOOPBACK}:{platform_port}",
            **dict.fromkeys(_FREE_PORTS, "0"),
        }
        flags = [f"--{name}={value}" for name, value in settings.items()]
        super().__init__(
            node_id, ["radishtray_node.main", *flags, *extra], log_directory
        )

    def port(self, listener: str) -> int:
        """Returns the port of a listener."""
        return int(self.ready["ports"][listener])

    def operator(self, method: str, path: str) -> bytes:
        """Calls the operators' API."""
        request = urllib.request.Request(
            f"http://{LOOPBACK}:{self.port('operator')}{path}",
            method=method,
            headers={"Authorization": f"Bearer {self._token}"},
        )
        with urllib.request.urlopen(request, timeout=10) as answer:
            return bytes(answer.read())

    def status(self) -> dict[str, Any]:
        """Returns the node's status."""
        value: dict[str, Any] = json.loads(self.operator("GET", "/status"))
        return value


class LocalDeployment:
    """A platform stand-in, nodes and their upstreams on loopback.

    Attributes:
        platform: The platform stand-in.
        nodes: Nodes by id.
        upstreams: Upstream stand-ins by their node's id.
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
            log_directory: Where the logs of all processes go.
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
        return int(self.platform.ready["port"])

    def start_node(
        self, node_id: str, failure_domain: str, *extra: str
    ) -> NodeProcess:
        """Starts a node with further flags."""
        node = NodeProcess(
            node_id,
            failure_domain,
            self.platform_port,
            self._cluster_keys,
            self._operator_token,
            self._log_directory,
            extra,
        )
        self.nodes[node_id] = node
        return node

    def start_upstream(self, node_id: str, *arguments: str) -> ManagedProcess:
        """Starts an upstream stand-in beside a node."""
        upstream = ManagedProcess(
            f"upstream-{node_id}",
            [
                "radishtray_testing.upstream_standin",
                "--node-upstream-port",
                str(self.nodes[node_id].port("upstream")),
                *arguments,
            ],
            self._log_directory,
        )
        self.upstreams[node_id] = upstream
        return upstream

    def control(self, *arguments: str) -> tuple[int, str]:
        """Runs radishtrayctl.

        Returns:
            Exit code and standard output with standard error.
        """
        environment = os.environ | {
            "RADISHTRAY_PLATFORM": f"http://{LOOPBACK}:{self.platform_port}",
            "RADISHTRAY_OPERATOR_TOKEN": self._operator_token,
            "RADISHTRAY_AUTHOR": "demo",
        }
        done = subprocess.run(
            [sys.executable, "-m", "radishtray_ctl.main", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return done.returncode, done.stdout + done.stderr

    def wait_until_ready(self, generation: int, members: int) -> None:
        """Waits until every node has a generation and knows all members.

        Raises:
            TimeoutError: If that takes longer than the ready timeout.
        """
        self._wait_for(
            lambda states: all(
                state["generation"] >= generation
                and state["members_serving"] >= members
                for state in states
            ),
            f"generation {generation} with {members} serving members",
        )

    def wait_until_slots_are_owned(self, services: int) -> None:
        """Waits until all key slots of a number of services have owners.

        Raises:
            TimeoutError: If that takes longer than the ready timeout.
        """
        wanted = services * SLOT_COUNT
        self._wait_for(
            lambda states: (
                sum(state["key_slots_owned"] for state in states) >= wanted
            ),
            f"{wanted} owned key slots",
        )

    def _wait_for(
        self, holds: Callable[[list[dict[str, Any]]], bool], goal: str
    ) -> None:
        """Waits until the statuses of all nodes meet a condition.

        Args:
            holds: The condition.
            goal: What is waited for, for the message.

        Raises:
            TimeoutError: If that takes longer than the ready timeout.
        """
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while True:
            states = [node.status() for node in self.nodes.values()]
            if holds(states):
                return
            if time.monotonic() >= deadline_s:
                raise TimeoutError(f"not reached: {goal}; nodes: {states}")
            time.sleep(_POLL_S)

    def close(self) -> None:
        """Ends all processes."""
        for process in (
            *self.upstreams.values(),
            *self.nodes.values(),
            self.platform,
        ):
            process.close()
