"""Levels of organisations' requests within the class of their organisation.

The priority of an organisation comes before that of the route. Among
organisations of the same priority, requests beyond the regular share of their
organisation give way to all others, then the priority of the route decides, and
then the level that the request would have without an organisation.
"""

# Levels of first requests, as they are drawn without an organisation.
_LEVELS = 32
# Levels, from 0, of requests beyond the regular share, and above them those of
# all others. Each priority class of the routes has a part of them.
_EXCESS_LEVELS_PER_CLASS = 2
_REGULAR_LEVELS_PER_CLASS = 6
_ROUTE_CLASSES = 4
_EXCESS_LEVELS = _EXCESS_LEVELS_PER_CLASS * _ROUTE_CLASSES


def place_request_level(
    level: int, route_class: int, *, is_regular: bool = True
) -> int:
    """Returns the level of a request within the class of its organisation.

    >>> place_request_level(0, 0), place_request_level(31, 3)
    (8, 31)
    >>> place_request_level(31, 3, is_regular=False)
    7

    Args:
        level: Level that the request would have without an organisation. What
            it is above 31 is added to the result.
        route_class: Priority class of the route, from 0 to 3.
        is_regular: Whether the request is within the regular share of its
            organisation.
    """
    first_level = min(level, _LEVELS - 1)
    if is_regular:
        size = _REGULAR_LEVELS_PER_CLASS
        first = _EXCESS_LEVELS + route_class * size
        raised_by = level - first_level
    else:
        size = _EXCESS_LEVELS_PER_CLASS
        first = route_class * size
        raised_by = 0
    return first + first_level * size // _LEVELS + raised_by
