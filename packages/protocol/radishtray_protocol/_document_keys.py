"""Specifications of a configuration document's keys.

They hold the types, units, defaults and ranges of the keys. The parser, the
constructors in `_document` and the tables of docs/configuration.md share them.
"""

import re
from collections.abc import Mapping
from enum import Enum, IntEnum
from typing import Any, Final

NAME_PATTERN: Final = re.compile(r"[a-z][a-z0-9_-]{0,62}\Z")
MAX_TEXT_CHARS: Final = 200
MAX_KINDS_PER_SERVICE: Final = 500
METHODS: Final = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
SAFE_METHODS: Final = frozenset(("GET", "HEAD", "OPTIONS"))


class PriorityClass(IntEnum):
    """Importance of a request; lower classes are shed first.

    The values are those of `Context.priority_class` on the wire.
    """

    CRITICAL = 3
    HIGH = 2
    NORMAL = 1
    LOW = 0


PRIORITY_CLASS_NAMES: Final = tuple(
    member.name.lower() for member in PriorityClass
)


class KeyType(Enum):
    """The type of a key's value; the enum value is its name in the docs."""

    TEXT = "text"
    FLAG = "true or false"
    INTEGER = "whole number"
    NUMBER = "number"
    CHOICE = "choice"
    LIST = "list of service/kind"


class KeySpec:
    """The specification of one key of the document."""

    __slots__ = (
        "choices",
        "default",
        "description",
        "key_type",
        "maximum",
        "minimum",
        "name",
        "required",
        "unit",
    )

    def __init__(
        self,
        name: str,
        key_type: KeyType,
        description: str,
        *,
        unit: str = "",
        default: Any = None,
        required: bool = False,
        minimum: float = 0,
        maximum: float = 0,
        choices: tuple[str, ...] = (),
    ) -> None:
        """Specifies one key.

        Args:
            name: Key as written in the document.
            key_type: Type of the key's value.
            description: One sentence for the docs.
            unit: Unit of a number, or empty.
            default: Value if the key is absent, or None for no fixed default.
            required: Whether the key must be present.
            minimum: Smallest allowed number.
            maximum: Largest allowed number.
            choices: Allowed values of a choice.
        """
        self.name = name
        self.key_type = key_type
        self.description = description
        self.unit = unit
        self.default = default
        self.required = required
        self.minimum = minimum
        self.maximum = maximum
        self.choices = choices

    def validate(self, value: Any) -> str | None:
        """Returns an error message if a value is invalid, or None."""
        validator = _VALIDATORS[self.key_type]
        return validator(self, value)


def _validate_text(spec: KeySpec, value: Any) -> str | None:
    if not isinstance(value, str):
        return "expected text"
    if not value.strip():
        return "must not be empty"
    if len(value) > MAX_TEXT_CHARS:
        return f"must have at most {MAX_TEXT_CHARS} characters"
    if not value.isprintable():
        return "must not contain control characters"
    return None


def _validate_flag(spec: KeySpec, value: Any) -> str | None:
    return None if isinstance(value, bool) else "expected true or false"


def _validate_number(spec: KeySpec, value: Any) -> str | None:
    is_integer = spec.key_type is KeyType.INTEGER
    allowed_types = int if is_integer else (int, float)
    if isinstance(value, bool) or not isinstance(value, allowed_types):
        return "expected a whole number" if is_integer else "expected a number"
    if not spec.minimum <= value <= spec.maximum:
        unit = f" {spec.unit}" if spec.unit else ""
        return f"must be {spec.minimum:g} to {spec.maximum:g}{unit}"
    return None


def _validate_choice(spec: KeySpec, value: Any) -> str | None:
    if value in spec.choices:
        return None
    return f"must be one of {', '.join(spec.choices)}"


def _validate_list(spec: KeySpec, value: Any) -> str | None:
    if not isinstance(value, tuple):
        return "expected a list"
    for target in value:
        error = validate_call_target(target)
        if error:
            return error
    return None


def validate_call_target(target: Any) -> str | None:
    """Returns an error message if an entry of `calls` is invalid, or None."""
    parts = target.split("/") if isinstance(target, str) else []
    if len(parts) == 2 and all(map(NAME_PATTERN.match, parts)):
        return None
    return "expected service/kind"


_VALIDATORS: Final = {
    KeyType.TEXT: _validate_text,
    KeyType.FLAG: _validate_flag,
    KeyType.INTEGER: _validate_number,
    KeyType.NUMBER: _validate_number,
    KeyType.CHOICE: _validate_choice,
    KeyType.LIST: _validate_list,
}


def _index_by_name(*specs: KeySpec) -> Mapping[str, KeySpec]:
    return {spec.name: spec for spec in specs}


OWNER_KEY: Final = KeySpec(
    "owner", KeyType.TEXT, "Team that edits the section.", required=True
)

_PRIORITY_CLASS = KeySpec(
    "class",
    KeyType.CHOICE,
    "Priority class; classes are shed from low to critical.",
    default="normal",
    choices=PRIORITY_CLASS_NAMES,
)
_DEADLINE = KeySpec(
    "deadline_ms",
    KeyType.INTEGER,
    "Time within which the entry node answers a caller's request.",
    unit="ms",
    default=1_000,
    minimum=1,
    maximum=600_000,
)
_RETRY_BUDGET = KeySpec(
    "retry_budget",
    KeyType.INTEGER,
    "Further attempts that one caller's request may cost in its whole chain.",
    unit="attempts",
    default=3,
    minimum=0,
    maximum=100,
)
_WEIGHT = KeySpec(
    "weight",
    KeyType.NUMBER,
    "Weight of one answered request in the goodput metric.",
    default=1,
    minimum=0,
    maximum=1_000_000,
)

DEFAULTS_KEYS: Final = _index_by_name(
    OWNER_KEY, _PRIORITY_CLASS, _DEADLINE, _RETRY_BUDGET, _WEIGHT
)
"""Keys of the `defaults` section: its owner, and default values for kinds."""

KIND_KEYS: Final = _index_by_name(
    KeySpec(
        "method",
        KeyType.CHOICE,
        "HTTP method.",
        required=True,
        choices=METHODS,
    ),
    KeySpec(
        "path",
        KeyType.TEXT,
        "Path below the service, literal or with {name} segments.",
        required=True,
    ),
    _PRIORITY_CLASS,
    KeySpec(
        "at_most_once",
        KeyType.FLAG,
        "Whether a request needs a key and runs at most once per key.",
        default=False,
    ),
    KeySpec(
        "idempotent",
        KeyType.FLAG,
        "Whether an attempt of unknown outcome may be repeated. The default"
        " is true for GET, HEAD and OPTIONS that are not at_most_once.",
    ),
    _DEADLINE,
    _RETRY_BUDGET,
    _WEIGHT,
    KeySpec(
        "calls",
        KeyType.LIST,
        "Kinds that the upstream calls while it runs this kind.",
        default=(),
    ),
)
"""Keys of a request kind."""
