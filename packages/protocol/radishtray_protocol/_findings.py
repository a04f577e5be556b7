"""Findings: errors in a configuration document, each with its position."""


class Finding:
    """One error in a configuration document.

    >>> print(Finding("a.yaml", "catalogo", 3, 5, "owner", "is missing"))
    a.yaml:3:5: catalogo: owner: is missing
    """

    __slots__ = ("column", "key", "line", "message", "section", "source")

    def __init__(
        self,
        source: str,
        section: str,
        line: int,
        column: int,
        key: str,
        message: str,
    ) -> None:
        """Describes one error.

        Args:
            source: File name or object name of the text.
            section: Section name, or empty outside of all sections.
            line: Line in the source, counted from 1.
            column: Column in the line, counted from 1.
            key: Dotted key within the section, or empty for the whole section.
            message: What is wrong and what is expected.
        """
        self.source = source
        self.section = section
        self.line = line
        self.column = column
        self.key = key
        self.message = message

    def __str__(self) -> str:
        """Returns one line in the `file:line:column: message` form."""
        position = f"{self.source}:{self.line}:{self.column}"
        return ": ".join(
            part
            for part in (position, self.section, self.key, self.message)
            if part
        )

    def __repr__(self) -> str:
        """Returns the text of `str` in brackets, for test output."""
        return f"<Finding {self}>"

    def to_json(self) -> dict[str, str | int]:
        """Returns the fields by name."""
        return {name: getattr(self, name) for name in sorted(self.__slots__)}
