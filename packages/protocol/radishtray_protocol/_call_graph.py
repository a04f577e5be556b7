"""Cycle detection in the call graph of request kinds."""

from collections.abc import Iterator, Mapping, Sequence


def find_cycles(graph: Mapping[str, Sequence[str]]) -> list[list[str]]:
    """Finds one cycle for each back edge of a depth-first search.

    The search is iterative, because a call path may be longer than Python's
    recursion limit.

    >>> find_cycles({"a": ["b"], "b": ["c", "a"], "c": []})
    [['a', 'b', 'a']]

    Args:
        graph: Called nodes by calling node; every called node is also a key.

    Returns:
        The cycles, each with its first node repeated at the end.
    """
    cycles: list[list[str]] = []
    finished: set[str] = set()
    for root in graph:
        if root in finished:
            continue
        path: dict[str, Iterator[str]] = {root: iter(graph[root])}
        while path:
            node, remaining_callees = next(reversed(path.items()))
            callee = next(remaining_callees, None)
            if callee is None:
                finished.add(node)
                del path[node]
            elif callee in path:
                path_nodes = list(path)
                cycles.append(path_nodes[path_nodes.index(callee) :] + [callee])
            elif callee not in finished:
                path[callee] = iter(graph[callee])
    return cycles
