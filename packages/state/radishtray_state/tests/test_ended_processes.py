"""Guards against crashes that no node counts, and against false ones."""

import pytest

from radishtray_state import EndedProcesses

FIRST, SECOND, THIRD = 10, 20, 30  # Incarnations of a node.
UPSTREAM, OTHER = 7, 8  # Digests of upstream processes.


def test_all_nodes_give_the_end_of_a_process_the_same_id() -> None:
    ids = set()
    for _ in range(2):
        processes = EndedProcesses()
        processes.announce("n", FIRST, UPSTREAM)
        ids.add(processes.record("n", FIRST))
    assert len(ids) == 1
    assert None not in ids


# Name: announcements (incarnation, upstream) before the end of the first
# process is recorded, those after it, whether a crash is counted at first, and
# whether it is retracted.
CASES: dict[
    str, tuple[list[tuple[int, int]], list[tuple[int, int]], bool, bool]
] = {
    "not_back": ([(FIRST, UPSTREAM)], [], True, False),
    "back_with_another_upstream": (
        [(FIRST, UPSTREAM)],
        [(SECOND, OTHER)],
        True,
        False,
    ),
    "back_with_the_same_upstream": (
        [(FIRST, UPSTREAM)],
        [(SECOND, UPSTREAM)],
        True,
        True,
    ),
    "back_with_the_same_upstream_after_two_ends": (
        [(FIRST, UPSTREAM)],
        [(THIRD, UPSTREAM)],
        True,
        True,
    ),
    "upstream_replaced_earlier": (
        [(FIRST, UPSTREAM), (FIRST, OTHER)],
        [(SECOND, OTHER)],
        True,
        True,
    ),
    "upstream_replaced_after_the_restart": (
        [(FIRST, UPSTREAM)],
        [(SECOND, UPSTREAM), (SECOND, OTHER)],
        True,
        True,
    ),
    "noticed_after_the_restart": (
        [(FIRST, UPSTREAM), (SECOND, OTHER)],
        [],
        True,
        False,
    ),
    "noticed_after_the_upstream_had_survived": (
        [(FIRST, UPSTREAM), (SECOND, UPSTREAM)],
        [],
        False,
        False,
    ),
    "upstream_unknown": ([], [(SECOND, UPSTREAM)], False, False),
}


@pytest.mark.parametrize("name", CASES)
def test_the_end_of_a_process_counts_unless_its_upstream_survives(
    name: str,
) -> None:
    before, after, is_counted, is_retracted = CASES[name]
    processes = EndedProcesses()
    for incarnation, upstream in before:
        processes.announce("n", incarnation, upstream)
    crash_id = processes.record("n", FIRST)
    assert (crash_id is not None) is is_counted
    retracted = [
        crash
        for incarnation, upstream in after
        for crash in processes.announce("n", incarnation, upstream)
    ]
    assert retracted == ([crash_id] if is_retracted else [])


def test_a_process_that_runs_on_has_not_ended() -> None:
    processes = EndedProcesses()
    processes.announce("n", FIRST, UPSTREAM)
    crash_id = processes.record("n", FIRST)
    assert crash_id is not None
    assert processes.disprove("n", SECOND) is None
    assert processes.disprove("n", FIRST) == crash_id
    assert processes.disprove("n", FIRST) is None
    assert processes.disprove("other", FIRST) is None


def test_the_record_is_bounded() -> None:
    processes = EndedProcesses()
    for number in range(5000):
        for incarnation in range(1, 8):
            processes.announce(f"n{number}", incarnation, number + incarnation)
            processes.record(f"n{number}", incarnation)
    assert len(processes._nodes) <= 4096
    assert all(
        len(node.upstreams) <= 4 and len(node.crash_ids) <= 4
        for node in processes._nodes.values()
    )
