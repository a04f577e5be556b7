"""Index of path templates by service, method and path."""

from collections.abc import Callable, Sequence
from operator import itemgetter
from typing import Any, Generic, TypeVar

from radishtray_protocol._path_template import PathTemplate

T = TypeVar("T")


class _TemplateGroup(Generic[T]):
    """The templates that have their literal segments at the same indexes.

    Attributes:
        get_literals: Returns the segments of a split path at these indexes.
        values_by_literals: Value of each template by its literal segments.
    """

    __slots__ = ("get_literals", "values_by_literals")

    def __init__(self, literal_indexes: tuple[int, ...]) -> None:
        self.get_literals: Callable[[Sequence[str]], Any] = itemgetter(
            *literal_indexes
        )
        self.values_by_literals: dict[Any, T] = {}


class PathIndex(Generic[T]):
    """Values by service, method and path template.

    A literal path takes precedence over a template that also matches.

    Templates that differ only in their literal segments share a group, which
    is a hash table. The cost of a lookup grows with the number of groups that
    have the path's segment count, usually one or two, and not with the number
    of templates.

    >>> index = PathIndex()
    >>> index.add("catalogo", "GET", PathTemplate("/obras/{obra}"), "ver")
    >>> index.find("catalogo", "GET", "/obras/7")
    'ver'
    >>> index.find("catalogo", "GET", "/obras/") is None
    True
    """

    __slots__ = ("_literal_paths", "_template_groups")

    def __init__(self) -> None:
        """Creates an empty index."""
        self._literal_paths: dict[tuple[str, str, str], T] = {}
        self._template_groups: dict[
            tuple[str, str, int], dict[tuple[int, ...], _TemplateGroup[T]]
        ] = {}

    def add(
        self, service: str, method: str, template: PathTemplate, value: T
    ) -> None:
        """Registers a value.

        Args:
            service: Name of the service.
            method: HTTP method.
            template: Path template that is not ambiguous with another one.
            value: Value that `find` returns for a matching path.
        """
        if template.is_literal:
            self._literal_paths[service, method, template.text] = value
            return
        segment_count = len(template.segments)
        groups = self._template_groups.setdefault(
            (service, method, segment_count), {}
        )
        indexes = template.literal_indexes
        group = groups.setdefault(indexes, _TemplateGroup(indexes))
        group.values_by_literals[group.get_literals(template.segments)] = value

    def find(self, service: str, method: str, path: str) -> T | None:
        """Returns the value of the template that matches a request, or None.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path below the service, without a query.
        """
        value = self._literal_paths.get((service, method, path))
        if value is not None:
            return value
        segments = path.split("/")
        groups = self._template_groups.get((service, method, len(segments)))
        if groups is None:
            return None
        for group in groups.values():
            value = group.values_by_literals.get(group.get_literals(segments))
            # Only the segment before the leading slash may be empty. Literals
            # are not empty, so any other empty segment would be a parameter's
            # value, which must have at least one character.
            if value is not None and segments.count("") == 1:
                return value
        return None
