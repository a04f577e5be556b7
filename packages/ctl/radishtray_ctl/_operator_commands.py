"""Commands that talk to the operators' API of nodes."""

from argparse import Namespace
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from radishtray_ctl._arguments import (
    NODE_SETTINGS,
    NODES_SETTINGS,
    NodeAddress,
    command,
)
from radishtray_ctl._errors import CommandError
from radishtray_ctl._node_status import NodeStatus, worst_exit_code
from radishtray_ctl._operator_client import OperatorClient
from radishtray_ctl._report import Report


@command(
    "status",
    "print generation, members, draining and unknown outcomes of nodes",
    *NODES_SETTINGS,
)
async def status(options: Namespace, reactor: Any) -> Report:
    """Prints the status of nodes; fails if one has unknown outcomes."""
    client = _client(options, reactor)
    statuses: list[NodeStatus] = await gatherResults(
        [
            Deferred.fromCoroutine(_read_status(client, node))
            for node in options.node
        ]
    )
    findings = [one.finding for one in statuses if one.finding is not None]
    lines = [line for one in statuses for line in one.lines()]
    lines.extend(f"finding: {finding}" for finding in findings)
    values = {
        "findings": findings,
        "nodes": [one.to_json() for one in statuses],
    }
    return Report(lines, values, worst_exit_code(statuses))


async def _read_status(client: OperatorClient, node: NodeAddress) -> NodeStatus:
    try:
        return NodeStatus(node, await client.call(node, "GET", "/status"))
    except CommandError as error:
        return NodeStatus(node, {}, error)


@command(
    "drain",
    "start a node's graceful shutdown; safe to repeat",
    *NODE_SETTINGS,
)
async def drain(options: Namespace, reactor: Any) -> Report:
    """Tells one node to drain."""
    client = _client(options, reactor)
    shown = await client.call(options.node, "POST", "/drain")
    return Report([f"node {options.node} is draining"], shown)


def _client(options: Namespace, reactor: Any) -> OperatorClient:
    return OperatorClient(reactor, options.operator_token, options.timeout_s)
