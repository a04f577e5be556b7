"""Paths of request kinds: literal, or with {name} segments."""

import re
from typing import Final

_PARAMETER: Final = re.compile(r"\{[a-z][a-z0-9_]*\}\Z")
_LITERAL: Final = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%-]+\Z")


class PathTemplate:
    """A path that matches by segments.

    >>> PathTemplate("/obras/{obra}").matches(("", "obras", "7"))
    True
    >>> PathTemplate("/obras/{obra}").matches(("", "obras", ""))
    False
    """

    __slots__ = ("_literals", "_parameters", "segment_count", "text")

    def __init__(self, text: str) -> None:
        """Compiles a path.

        Args:
            text: Path that begins with a slash.

        Raises:
            ValueError: If the path is malformed.
        """
        problem = path_problem(text)
        if problem:
            raise ValueError(f"path {text!r}: {problem}")
        segments = text.split("/")
        self.text = text
        self.segment_count = len(segments)
        self._literals = tuple(
            (index, segment)
            for index, segment in enumerate(segments)
            if not _PARAMETER.match(segment)
        )
        self._parameters = tuple(
            index
            for index, segment in enumerate(segments)
            if _PARAMETER.match(segment)
        )

    @property
    def is_literal(self) -> bool:
        """Whether the path has no {name} segment."""
        return not self._parameters

    def matches(self, segments: list[str] | tuple[str, ...]) -> bool:
        """Whether a path of the same segment count matches.

        Args:
            segments: The path split at its slashes.
        """
        for index, literal in self._literals:
            if segments[index] != literal:
                return False
        # A parameter stands for a segment of at least one character.
        return all(segments[index] for index in self._parameters)

    def overlaps(self, other: "PathTemplate") -> bool:
        """Whether some path matches both templates."""
        if self.segment_count != other.segment_count:
            return False
        mine = dict(self._literals)
        return all(
            mine.get(index, literal) == literal
            for index, literal in other._literals
        )


def path_problem(text: str) -> str | None:
    """Returns what is wrong with a path, or None."""
    if not text.startswith("/"):
        return "must start with /"
    segments = text.split("/")[1:]
    if segments == [""]:
        return None
    for segment in segments:
        if not (_PARAMETER.match(segment) or _LITERAL.match(segment)):
            return f"segment {segment!r} is neither a literal nor {{name}}"
    names = [segment for segment in segments if _PARAMETER.match(segment)]
    if len(names) != len(set(names)):
        return "a {name} occurs twice"
    return None
