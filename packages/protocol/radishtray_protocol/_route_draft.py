"""A configuration of routes that has been read but not yet validated whole."""

from collections.abc import Iterable, Mapping
from enum import StrEnum

from radishtray_organisations import Organisation
from radishtray_protocol._routes import CallerLimits, Route, RouteTable


class Severity(StrEnum):
    """How a finding about a configuration of routes is to be taken."""

    ERROR = "error"
    """Nodes would reject or ignore the configuration."""

    WARNING = "warning"
    """Nodes accept it, but an entry has no effect or contradicts another."""

    CHANGE = "change"
    """A difference from the version in force."""


class RouteFinding:
    """One finding about a configuration of routes.

    Attributes:
        severity: How the finding is to be taken.
        place: Entry that the finding is about, such as `route x`.
        text: What was found; never contains a key or its digest.

    >>> print(RouteFinding(Severity.ERROR, "route x", "unknown service s"))
    error: route x: unknown service s
    """

    __slots__ = ("place", "severity", "text")

    def __init__(self, severity: Severity, place: str, text: str) -> None:
        """Creates a finding from the attributes that the class describes."""
        self.severity = severity
        self.place = place
        self.text = text

    def __str__(self) -> str:
        """Returns one line with all fields."""
        return f"{self.severity}: {self.place}: {self.text}"

    def __repr__(self) -> str:
        """Returns the text of `str` in brackets, for test output."""
        return f"<RouteFinding {self}>"

    def to_json(self) -> dict[str, str]:
        """Returns the fields by name."""
        return {
            "severity": self.severity.value,
            "place": self.place,
            "text": self.text,
        }


class RouteDraft:
    """The entries of one configuration, each valid by itself.

    In contrast to a `RouteTable` it may hold entries that exclude each other,
    so that a check can report all of them.

    Attributes:
        version: Number of the version; None if it could not be read.
        routes: Routes in the order of the configuration.
        services: Names of services in the order of the configuration, with
            those whose other fields could not be read.
        connection_limits: Maximum connections to one upstream, by service.
        health_paths: Path of the health check, by service.
        limits: Limits for callers in the order of the configuration; the last
            one applies.
        organisations: Organisations in the order of the configuration.
        is_complete: Whether all entries could be read.
    """

    __slots__ = (
        "connection_limits",
        "health_paths",
        "is_complete",
        "limits",
        "organisations",
        "routes",
        "services",
        "version",
    )

    def __init__(
        self,
        version: int | None,
        routes: Iterable[Route] = (),
        connection_limits: Mapping[str, int] | None = None,
        limits: Iterable[CallerLimits] = (),
        health_paths: Mapping[str, str] | None = None,
        organisations: Iterable[Organisation] = (),
        services: Iterable[str] | None = None,
        *,
        is_complete: bool = True,
    ) -> None:
        """Creates a draft from the attributes that the class describes."""
        self.version = version
        self.routes = list(routes)
        self.connection_limits = dict(connection_limits or {})
        self.limits = list(limits)
        self.health_paths = dict(health_paths or {})
        self.organisations = list(organisations)
        self.services = list(
            self.connection_limits if services is None else services
        )
        self.is_complete = is_complete

    @property
    def effective_limits(self) -> CallerLimits:
        """Limits for callers that nodes would apply."""
        return self.limits[-1] if self.limits else CallerLimits()

    def to_table(self, version: int) -> RouteTable:
        """Returns the table that nodes would apply.

        Raises:
            ValueError: If entries exclude each other.
        """
        return RouteTable(
            version,
            self.routes,
            self.connection_limits,
            self.effective_limits,
            self.health_paths,
            self.organisations,
        )
