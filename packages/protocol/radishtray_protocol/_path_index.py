"""Finds the value registered for a method and path."""

from collections.abc import Callable, Sequence
from operator import itemgetter
from typing import Any, Generic, TypeVar

from radishtray_protocol._path_template import PathTemplate

T = TypeVar("T")


class _TemplateGroup(Generic[T]):
    """The templates with parameters at the same places.

    Attributes:
        literals_of: Returns the literal segments of a split path.
        values: Value by literal segments.
    """

    __slots__ = ("get_literals", "values_by_literals")

    def __init__(self, literal_indexes: tuple[int, ...]) -> None:
        self.get_literals: Callable[[Sequence[str]], Any] = itemgetter(
            *literal_indexes
        )
        self.values_by_literals: dict[Any, T] = {}


class PathIndex(Generic[T]):
    """Values by service, method and path; literal paths win over templates.

    The cost of a template depends on the number of shapes with its segment
    count, which is one or two as a rule, and not on the number of templates.

    >>> index = PathIndex()
    >>> index.add("catalogo", "GET", PathTemplate("/obras/{obra}"), "ver")
    >>> index.find("catalogo", "GET", "/obras/7")
    'ver'
    >>> index.find("catalogo", "GET", "/obras/") is None
    True
    """

    __slots__ = ("_literal_paths", "_template_groups")

    def __init__(self) -> None:
        """Starts empty."""
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
            template: Path, not ambiguous with another one.
            value: What `find` returns for it.
        """
        if template.is_literal:
            self._literal_paths[service, method, template.text] = value
            return
        count = len(template.segments)
        shapes = self._template_groups.setdefault((service, method, count), {})
        indexes = template.literal_indexes
        shape = shapes.setdefault(indexes, _TemplateGroup(indexes))
        shape.values_by_literals[shape.get_literals(template.segments)] = value

    def find(self, service: str, method: str, path: str) -> T | None:
        """Returns the value for a request, or None.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path below the service, without a query.
        """
        value = self._literal_paths.get((service, method, path))
        if value is not None:
            return value
        segments = path.split("/")
        shapes = self._template_groups.get((service, method, len(segments)))
        if shapes is None:
            return None
        for shape in shapes.values():
            value = shape.values_by_literals.get(shape.get_literals(segments))
            # Literals are not empty, so an empty segment after the first
            # stands at a parameter, which needs at least one character.
            if value is not None and segments.count("") == 1:
                return value
        return None
