"""Levels of organisations' requests within the class of their organisation.

The priority of an organisation comes before that of the route. Among
organisations of the same priority, requests beyond the regular share of their
organisation give way to all others, then the priority of the route decides.
"""

import random

# Levels, from 0, of requests beyond the regular share, and above them those of
# all others. Each priority class of the routes has a part of them.
_EXCESS_LEVELS_PER_CLASS = 2
_REGULAR_LEVELS_PER_CLASS = 6
_ROUTE_CLASSES = 4
_EXCESS_LEVELS = _EXCESS_LEVELS_PER_CLASS * _ROUTE_CLASSES


def draw_request_level(
    rng: random.Random, route_class: int, *, is_regular: bool
) -> int:
    """Returns a level from 0 to 31, by chance among equals.

    Args:
        rng: Source of chance.
        route_class: Priority class of the route, from 0 to 3.
        is_regular: Whether the request is within the regular share of its
            organisation.
    """
    if is_regular:
        first = _EXCESS_LEVELS + route_class * _REGULAR_LEVELS_PER_CLASS
        return first + rng.randrange(_REGULAR_LEVELS_PER_CLASS)
    first = route_class * _EXCESS_LEVELS_PER_CLASS
    return first + rng.randrange(_EXCESS_LEVELS_PER_CLASS)
