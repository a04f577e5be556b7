"""Cycles among the calls of request kinds."""

from collections.abc import Iterator, Mapping, Sequence


def find_cycles(graph: Mapping[str, Sequence[str]]) -> list[list[str]]:
    """Finds one cycle for each call that leads back to a caller.

    Works without recursion, because chains may be longer than the stack.

    >>> find_cycles({"a": ["b"], "b": ["c", "a"], "c": []})
    [['a', 'b', 'a']]

    Args:
        graph: Called nodes by calling node; every called node is a key.

    Returns:
        Cycles, each with its first node repeated at the end.
    """
    cycles: list[list[str]] = []
    finished: set[str] = set()
    for root in graph:
        if root in finished:
            continue
        path: dict[str, Iterator[str]] = {root: iter(graph[root])}
        while path:
            node, targets = next(reversed(path.items()))
            target = next(targets, None)
            if target is None:
                finished.add(node)
                del path[node]
            elif target in path:
                chain = list(path)
                cycles.append(chain[chain.index(target) :] + [target])
            elif target not in finished:
                path[target] = iter(graph[target])
    return cycles
