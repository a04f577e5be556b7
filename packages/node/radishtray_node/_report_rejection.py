"""Why a node rejects a report that is not one of its own upstream."""

from enum import Enum


class ReportRejection(Enum):
    """Reason for rejecting a report; also the label of its counter."""

    UNREADABLE = "unreadable"
    """The id or the body cannot be decoded."""

    FIELD_MISSING = "field_missing"
    """A field that every report of its kind has is missing."""

    FIELD_TYPE = "field_type"
    """A field has another type."""

    FIELD_VALUE = "field_value"
    """A field has the right type and a value that cannot be."""

    UNKNOWN_STATE = "unknown_state"
    """The state is none that an upstream can have."""

    OTHER_SERVICE = "other_service"
    """The report names another service than the settings of the node."""

    OTHER_FAILURE_DOMAIN = "other_failure_domain"
    """The report names another failure domain than the settings."""

    OTHER_ADDRESS = "other_address"
    """The report names another address than the settings."""


class ReportRejectedError(Exception):
    """A report is rejected, without any effect.

    Attributes:
        rejection: The reason.
        detail: What was expected and found, for the log.
    """

    def __init__(self, rejection: ReportRejection, detail: str) -> None:
        """Creates the error."""
        super().__init__(detail)
        self.rejection = rejection
        self.detail = detail
