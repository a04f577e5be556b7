"""Finds the value registered for a method and path."""

from collections.abc import Callable, Sequence
from operator import itemgetter
from typing import Any, Generic, TypeVar

from radishtray_protocol._path_template import PathTemplate

T = TypeVar("T")


class _Shape(Generic[T]):
    """The templates with parameters at the same places.

    Attributes:
        literals_of: Returns the literal segments of a split path.
        values: Value by literal segments.
    """

    __slots__ = ("literals_of", "values")

    def __init__(self, literal_indexes: tuple[int, ...]) -> None:
        self.literals_of: Callable[[Sequence[str]], Any] = itemgetter(
            *literal_indexes
        )
        self.values: dict[Any, T] = {}


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

    __slots__ = ("_literals", "_shapes")

    def __init__(self) -> None:
        """Starts empty."""
        self._literals: dict[tuple[str, str, str], T] = {}
        self._shapes: dict[
            tuple[str, str, int], dict[tuple[int, ...], _Shape[T]]
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
            self._literals[service, method, template.text] = value
            return
        count = len(template.segments)
        shapes = self._shapes.setdefault((service, method, count), {})
        indexes = template.literal_indexes
        shape = shapes.setdefault(indexes, _Shape(indexes))
        shape.values[shape.literals_of(template.segments)] = value

    def find(self, service: str, method: str, path: str) -> T | None:
        """Returns the value for a request, or None.

        Args:
            service: Name of the service.
            method: HTTP method.
            path: Path below the service, without a query.
        """
        value = self._literals.get((service, method, path))
        if value is not None:
            return value
        segments = path.split("/")
        shapes = self._shapes.get((service, method, len(segments)))
        if shapes is None:
            return None
        for shape in shapes.values():
            value = shape.values.get(shape.literals_of(segments))
            # Literals are not empty, so an empty segment after the first
            # stands at a parameter, which needs at least one character.
            if value is not None and segments.count("") == 1:
                return value
        return None
