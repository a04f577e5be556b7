"""YAML text to nodes with marks, restricted to a plain subset.

Scalars are resolved here and not by YAML 1.1 rules, under which `no` is false
and `1:30` is 90.
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
    """A place at which a text is not a document of the plain subset."""

    __slots__ = ("column", "line", "message")

    def __init__(self, line: int, column: int, message: str) -> None:
        """Records the fault.

        Args:
            line: Line from 1.
            column: Column from 1.
            message: What is wrong.
        """
        self.line = line
        self.column = column
        self.message = message


def compose_node(text: str) -> Result[yaml.Node | None, YamlSyntaxError]:
    """Parses a text into nodes; an empty text has none.

    Args:
        text: One YAML document.
    """
    try:
        node = yaml.compose(text, Loader=_LOADER)
    except yaml.reader.ReaderError as error:
        before = text[: error.position]
        line = before.count("\n") + 1
        column = len(before) - before.rfind("\n")
        return Error(YamlSyntaxError(line, column, f"YAML: {error.reason}"))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        message = error.problem or error.context or "malformed"
        return Error(YamlSyntaxError(line, column, f"YAML: {message}"))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        # Lone surrogates raise a UnicodeError, which is a ValueError.
        return Error(YamlSyntaxError(1, 1, f"YAML: {error}"))
    fault = _find_unsupported_node(node)
    return Error(fault) if fault else Ok(node)


def _find_unsupported_node(root: yaml.Node | None) -> YamlSyntaxError | None:
    """Finds aliases, tags and deep nesting, which sections must not use."""
    seen: set[int] = set()
    pending = [(root, 1)] if root is not None else []
    while pending:
        node, depth = pending.pop()
        if id(node) in seen:
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
    """Returns the value of a scalar; None for null and for other nodes.

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
