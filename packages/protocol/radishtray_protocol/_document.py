"""The validated configuration document and its request kinds."""

from collections.abc import Iterable, Mapping
from typing import Any, Final

from radishtray_protocol._document_keys import (
    KIND_KEYS,
    NAME_PATTERN,
    OWNER_KEY,
    SAFE_METHODS,
    PriorityClass,
)
from radishtray_protocol._path_index import PathIndex
from radishtray_protocol._path_template import PathTemplate

DEFAULTS_SECTION: Final = "defaults"
DOCUMENT_FORMAT: Final = 1


class RequestKind:
    """A kind of request that a service answers; immutable by convention."""

    __slots__ = (
        "at_most_once",
        "calls",
        "deadline_ms",
        "idempotent",
        "method",
        "name",
        "path",
        "priority_class",
        "qualified_name",
        "retry_budget",
        "service",
        "template",
        "weight",
    )

    def __init__(
        self,
        service: str,
        name: str,
        method: str,
        path: str,
        *,
        priority_class: PriorityClass = PriorityClass.NORMAL,
        at_most_once: bool = False,
        idempotent: bool | None = None,
        deadline_ms: int = 1_000,
        retry_budget: int = 3,
        weight: float = 1,
        calls: Iterable[str] = (),
    ) -> None:
        """Validates all fields.

        Args:
            service: Name of the service that answers the kind.
            name: Name of the kind within the service.
            method: HTTP method.
            path: Path below the service, literal or with {name} segments.
            priority_class: Importance for load shedding.
            at_most_once: Whether a request needs an idempotency key and runs
                at most once per key.
            idempotent: Whether an attempt of unknown outcome may be repeated.
                None selects the default: true for safe methods that are not
                at_most_once.
            deadline_ms: Time to answer, in milliseconds.
            retry_budget: Number of retries that one caller's request may
                cause in its whole call chain.
            weight: Weight of one answered request in the goodput metric.
            calls: Kinds that the upstream calls, each as `service/kind`.

        Raises:
            ValueError: If a field is invalid, or if at_most_once and
                idempotent are both true.
        """
        self.service = service
        self.name = name
        self.qualified_name = f"{service}/{name}"
        self.method = method
        self.path = path
        self.priority_class = PriorityClass(priority_class)
        self.at_most_once = at_most_once
        self.idempotent = (
            method in SAFE_METHODS and not at_most_once
            if idempotent is None
            else idempotent
        )
        self.deadline_ms = deadline_ms
        self.retry_budget = retry_budget
        self.weight = weight
        self.calls = tuple(calls)
        self._validate()
        self.template = PathTemplate(path)

    def _validate(self) -> None:
        for label, name in (("service", self.service), ("kind", self.name)):
            if not NAME_PATTERN.match(name):
                raise ValueError(f"{label} name {name!r} is malformed")
        for key, value in self.to_json().items():
            checked = tuple(value) if isinstance(value, list) else value
            error = KIND_KEYS[key].validate(checked)
            if error:
                raise ValueError(f"{self.qualified_name}: {key}: {error}")
        if self.at_most_once and self.idempotent:
            raise ValueError(
                f"{self.qualified_name}: at_most_once and idempotent must not"
                " both be true"
            )

    def to_json(self) -> dict[str, Any]:
        """Returns the fields by their keys in the document."""
        return {
            "method": self.method,
            "path": self.path,
            "class": self.priority_class.name.lower(),
            "at_most_once": self.at_most_once,
            "idempotent": self.idempotent,
            "deadline_ms": self.deadline_ms,
            "retry_budget": self.retry_budget,
            "weight": self.weight,
            "calls": list(self.calls),
        }


class ServiceSection:
    """The section of the document that configures one service."""

    __slots__ = ("kinds", "name", "owner")

    def __init__(
        self, name: str, owner: str, kinds: Iterable[RequestKind]
    ) -> None:
        """Validates the section.

        Args:
            name: Name of the service.
            owner: Team that edits the section.
            kinds: Request kinds with distinct names.

        Raises:
            ValueError: If the name is malformed or reserved, the owner is
                invalid, or a kind belongs to another service or occurs twice.
        """
        self.name = name
        self.owner = owner
        self.kinds: dict[str, RequestKind] = {}
        if not NAME_PATTERN.match(name) or name == DEFAULTS_SECTION:
            raise ValueError(f"service name {name!r} is malformed or reserved")
        error = OWNER_KEY.validate(owner)
        if error:
            raise ValueError(f"{name}: owner: {error}")
        for kind in kinds:
            if kind.service != name or kind.name in self.kinds:
                raise ValueError(
                    f"{kind.qualified_name} is a duplicate or not a kind of"
                    f" {name}"
                )
            self.kinds[kind.name] = kind


class Document:
    """All sections of the configuration, indexed to classify requests.

    Attributes:
        services: Service sections by service name.
        defaults_owner: Owner of the defaults section, or None.
    """

    __slots__ = ("_kind_index", "defaults_owner", "services")

    def __init__(
        self,
        services: Iterable[ServiceSection],
        defaults_owner: str | None = None,
    ) -> None:
        """Indexes the kinds by service, method and path.

        Args:
            services: Service sections with distinct names.
            defaults_owner: Owner of the defaults section, if there is one.

        Raises:
            ValueError: If two sections have the same name.
        """
        self.defaults_owner = defaults_owner
        self.services: dict[str, ServiceSection] = {}
        self._kind_index: PathIndex[RequestKind] = PathIndex()
        for section in services:
            if section.name in self.services:
                raise ValueError(f"service {section.name} occurs twice")
            self.services[section.name] = section
            for kind in section.kinds.values():
                self._kind_index.add(
                    kind.service, kind.method, kind.template, kind
                )

    @property
    def owners(self) -> Mapping[str, str]:
        """The owner of each section by its name."""
        owners = {
            name: section.owner for name, section in self.services.items()
        }
        if self.defaults_owner is not None:
            owners[DEFAULTS_SECTION] = self.defaults_owner
        return owners

    def find_kind(self, service: str, name: str) -> RequestKind | None:
        """Returns a service's kind by its name, or None."""
        section = self.services.get(service)
        return section.kinds.get(name) if section else None

    def classify(
        self, service: str, method: str, path: str
    ) -> RequestKind | None:
        """Finds the kind of a request.

        A literal path takes precedence over a template that also matches.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path below the service, without a query.

        Returns:
            The kind, or None if the service has none for the request.
        """
        return self._kind_index.find(service, method, path)
