"""Decisions that an operator switches on by a setting."""

from enum import Enum


class Feature(Enum):
    """A decision that is off unless the settings name it.

    The value is the name in the setting.
    """

    ENTRY_ORDER = "entry_order"
    """Requests that need less of a scarce service are shed later."""

    RETURN_SCHEDULE = "return_schedule"
    """Retry-After follows from when capacity is expected."""

    ENTRY_WAIT = "entry_wait"
    """Requests wait at the entry node instead of being shed in a short peak."""

    LEARNED_CAPACITY = "learned_capacity"
    """Concurrency limits follow from observed latencies."""

    FRAME_COMPRESSION = "frame_compression"
    """Frames between failure domains are compressed."""


def parse_features(text: str) -> frozenset[Feature]:
    """Parses a comma-separated list of names.

    >>> sorted(f.value for f in parse_features("entry_wait, entry_order"))
    ['entry_order', 'entry_wait']

    Raises:
        ValueError: If a name is not known.
    """
    return frozenset(
        Feature(name.strip()) for name in text.split(",") if name.strip()
    )
