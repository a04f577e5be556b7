"""The radishtray-node program, and a node that forwards requests by route."""

from radishtray_node._features import Feature, parse_features
from radishtray_node._forwarding import HeaderNames
from radishtray_node._gateway import Gateway
from radishtray_node._gateway_settings import (
    GatewayAddresses,
    GatewaySettings,
    RetryBudgetSettings,
    RevocationSettings,
)
from radishtray_node._logs import configure_logging
from radishtray_node._reactor import install_reactor
from radishtray_node._report_rejection import (
    ReportRejectedError,
    ReportRejection,
)

__all__ = [
    "Feature",
    "Gateway",
    "GatewayAddresses",
    "GatewaySettings",
    "HeaderNames",
    "ReportRejectedError",
    "ReportRejection",
    "RetryBudgetSettings",
    "RevocationSettings",
    "configure_logging",
    "install_reactor",
    "parse_features",
]
