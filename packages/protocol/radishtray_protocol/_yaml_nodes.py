"""Parses YAML text of a restricted subset to nodes that keep their positions.

The subset has no aliases, no custom tags and no deep nesting. Scalars are
resolved by `scalar_value` and not by the rules of YAML 1.1, under which `no` is
false and `1:30` is 90.
"""

import re
from typing import Any, Final

import yaml
from expression import Error, Ok, Result

_LOADER: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_INTEGER: Final = re.compile(r"[+-]?[0-9]{1,18}\Z")
_NUMBER: Final = re.compile(r"[+-]?[0-9]{1,18}\.[0-9]{1,18}\Z")
_BOOLEANS: Final = {"true": True, "false": False}
_NULLS: Final = ("", "null", "~")
MAX_NODE_DEPTH: Final = 20


class YamlSyntaxError:
    """A position at which a text is not valid YAML of the supported subset."""

    __slots__ = ("column", "line", "message")

    def __init__(self, line: int, column: int, message: str) -> None:
        """Describes the error.

        Args:
            line: Line, counted from 1.
            column: Column, counted from 1.
            message: What is wrong.
        """
        self.line = line
        self.column = column
        self.message = message


def compose_node(text: str) -> Result[yaml.Node | None, YamlSyntaxError]:
    """Parses a text to its root node, or None for an empty text.

    Args:
        text: One YAML document.
    """
    try:
        node = yaml.compose(text, Loader=_LOADER)
    except yaml.reader.ReaderError as error:
        preceding = text[: error.position]
        line = preceding.count("\n") + 1
        column = len(preceding) - preceding.rfind("\n")
        return Error(YamlSyntaxError(line, column, f"YAML: {error.reason}"))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        message = error.problem or error.context or "malformed"
        return Error(YamlSyntaxError(line, column, f"YAML: {message}"))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        # A lone surrogate raises a UnicodeError, which is a ValueError.
        return Error(YamlSyntaxError(1, 1, f"YAML: {error}"))
    unsupported = _find_unsupported_node(node)
    return Error(unsupported) if unsupported else Ok(node)


def _find_unsupported_node(root: yaml.Node | None) -> YamlSyntaxError | None:
    """Returns an error at the first alias, custom tag or too deep nesting."""
    seen: set[int] = set()
    pending = [(root, 1)] if root is not None else []
    while pending:
        node, depth = pending.pop()
        if id(node) in seen:  # PyYAML resolves an alias to its anchor's node.
            return _error_at(node, "aliases are not supported")
        if depth > MAX_NODE_DEPTH:
            return _error_at(
                node, f"nested deeper than {MAX_NODE_DEPTH} levels"
            )
        if not node.tag.startswith("tag:yaml.org,2002:"):
            return _error_at(node, f"tag {node.tag} is not supported")
        seen.add(id(node))
        if isinstance(node, yaml.MappingNode):
            children = [child for pair in node.value for child in pair]
        elif isinstance(node, yaml.SequenceNode):
            children = node.value
        else:
            children = []
        pending.extend((child, depth + 1) for child in children)
    return None


def _error_at(node: yaml.Node, message: str) -> YamlSyntaxError:
    mark = node.start_mark
    return YamlSyntaxError(mark.line + 1, mark.column + 1, message)


def scalar_value(node: yaml.Node) -> Any:
    """Returns the value of a scalar, or None for null and other nodes.

    >>> [scalar_value(compose_node(t).ok) for t in ("7", "no", "true", "'7'")]
    [7, 'no', True, '7']
    """
    if not isinstance(node, yaml.ScalarNode):
        return None
    text: str = node.value
    if node.style in ("'", '"', "|", ">"):
        return text
    if text in _BOOLEANS:
        return _BOOLEANS[text]
    if _INTEGER.match(text):
        return int(text)
    if _NUMBER.match(text):
        return float(text)
    return None if text in _NULLS else text
