"""The commands that call the operators' API of nodes."""

from argparse import Namespace
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from radishtray_ctl._arguments import (
    MULTI_NODE_SETTINGS,
    SINGLE_NODE_SETTINGS,
    NodeAddress,
    register_command,
)
from radishtray_ctl._errors import CommandError
from radishtray_ctl._node_status import NodeStatus, worst_exit_code
from radishtray_ctl._operator_client import OperatorClient
from radishtray_ctl._report import Report


@register_command(
    "status",
    "print generation, members, draining and unknown outcomes of nodes",
    *MULTI_NODE_SETTINGS,
)
async def status(options: Namespace, reactor: Any) -> Report:
    """Reports the status of nodes.

    The exit code is not zero if a node has unknown outcomes or gave no status.
    """
    client = _create_client(options, reactor)
    statuses: list[NodeStatus] = await gatherResults(
        [
            Deferred.fromCoroutine(_read_status(client, node))
            for node in options.node
        ]
    )
    findings = [
        node_status.finding
        for node_status in statuses
        if node_status.finding is not None
    ]
    lines = [
        line for node_status in statuses for line in node_status.format_lines()
    ]
    lines.extend(f"finding: {finding}" for finding in findings)
    values = {
        "findings": findings,
        "nodes": [node_status.to_json() for node_status in statuses],
    }
    return Report(lines, values, worst_exit_code(statuses))


async def _read_status(client: OperatorClient, node: NodeAddress) -> NodeStatus:
    try:
        return NodeStatus(node, await client.call(node, "GET", "/status"))
    except CommandError as error:
        return NodeStatus(node, {}, error)


@register_command(
    "drain",
    "start a node's graceful shutdown; safe to repeat",
    *SINGLE_NODE_SETTINGS,
)
async def drain(options: Namespace, reactor: Any) -> Report:
    """Starts the graceful shutdown of one node."""
    client = _create_client(options, reactor)
    values = await client.call(options.node, "POST", "/drain")
    return Report([f"node {options.node} is draining"], values)


def _create_client(options: Namespace, reactor: Any) -> OperatorClient:
    return OperatorClient(reactor, options.operator_token, options.timeout_s)
