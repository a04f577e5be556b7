"""Paths of request kinds, literal or with {name} parameter segments."""

import re
from typing import Final

_PARAMETER: Final = re.compile(r"\{[a-z][a-z0-9_]*\}\Z")
_LITERAL: Final = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%-]+\Z")


class PathTemplate:
    """The path of a request kind.

    Attributes:
        text: The path as written.
        segments: The path split at its slashes; the first segment is empty.
        literal_indexes: Indexes of the segments that are literal.
    """

    __slots__ = ("literal_indexes", "segments", "text")

    def __init__(self, text: str) -> None:
        """Parses a path.

        Args:
            text: Path that begins with a slash, such as `/obras/{obra}`.

        Raises:
            ValueError: If the path is malformed.
        """
        error = validate_path(text)
        if error:
            raise ValueError(f"path {text!r}: {error}")
        self.text = text
        self.segments = tuple(text.split("/"))
        self.literal_indexes = tuple(
            index
            for index, segment in enumerate(self.segments)
            if not _PARAMETER.match(segment)
        )

    @property
    def is_literal(self) -> bool:
        """Whether the path has no {name} segment."""
        return len(self.literal_indexes) == len(self.segments)

    def overlaps(self, other: "PathTemplate") -> bool:
        """Returns whether some path matches both templates."""
        if len(self.segments) != len(other.segments):
            return False
        own_indexes = set(self.literal_indexes)
        return all(
            self.segments[index] == other.segments[index]
            for index in other.literal_indexes
            if index in own_indexes
        )


def validate_path(text: str) -> str | None:
    """Returns an error message if a path is malformed, or None."""
    if not text.startswith("/"):
        return "must start with /"
    segments = text.split("/")[1:]
    if segments == [""]:
        return None
    for segment in segments:
        if not (_PARAMETER.match(segment) or _LITERAL.match(segment)):
            return f"segment {segment!r} is neither a literal nor {{name}}"
    parameters = [segment for segment in segments if _PARAMETER.match(segment)]
    if len(parameters) != len(set(parameters)):
        return "a {name} occurs twice"
    return None
