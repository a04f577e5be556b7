"""The radishtray-node program, and a node that forwards requests by route."""

from radishtray_node._forwarding import HeaderNames
from radishtray_node._gateway import Gateway
from radishtray_node._gateway_settings import (
    GatewayAddresses,
    GatewaySettings,
    RetryBudgetSettings,
)
from radishtray_node._logs import configure_logging
from radishtray_node._reactor import install_reactor

__all__ = [
    "Gateway",
    "GatewayAddresses",
    "GatewaySettings",
    "HeaderNames",
    "RetryBudgetSettings",
    "configure_logging",
    "install_reactor",
]
