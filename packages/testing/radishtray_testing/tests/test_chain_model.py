"""Tests the chain model, the crash model and their checks.

See `radishtray_testing.chain_checks` for the guarantees.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_testing import chain_mutations
from radishtray_testing.chain_faults import Fault
from radishtray_testing.chain_model import ChainSettings, run_chain
from radishtray_testing.crash_model import CrashSettings, run_crashes

# Generates the same examples every time, so that CI results are reproducible.
_REPRODUCIBLE = settings(derandomize=True, deadline=None, max_examples=150)


@_REPRODUCIBLE
@given(
    seed=st.integers(0, 2**32),
    faults=st.frozensets(st.sampled_from(Fault), max_size=3),
    retry_budget=st.integers(0, 9),
    depth=st.integers(0, 3),
    nodes_per_service=st.integers(1, 3),
    refusal_probability=st.sampled_from([0.0, 0.3, 0.7]),
)
def test_chain_keeps_its_guarantees(
    *,
    seed: int,
    faults: frozenset[Fault],
    retry_budget: int,
    depth: int,
    nodes_per_service: int,
    refusal_probability: float,
) -> None:
    """Faults must not break a guarantee of the call chain.

    Lost or misdirected answers, lost connections, replaced processes and links
    that are closed while attempts run could lead to retries beyond the budget,
    to a call that gets the answer of another one, or to an attempt that runs
    after it was reported as not run.
    """
    checks = run_chain(
        ChainSettings(
            seed,
            faults,
            retry_budget=retry_budget,
            request_count=8,
            depth=depth,
            nodes_per_service=nodes_per_service,
            refusal_probability=refusal_probability,
        )
    )
    assert checks.violations == []


def test_the_model_reaches_answers_retries_and_refusals() -> None:
    """Without these events the checks would pass without testing anything."""
    runs = [
        run_chain(ChainSettings(seed, frozenset(Fault))) for seed in range(5)
    ]
    assert sum(run.answered_call_count for run in runs) > 50
    assert sum(run.sent_retry_count for run in runs) > 20
    assert sum(run.not_run_attempt_count for run in runs) > 20


def test_without_faults_every_request_is_answered() -> None:
    """A call must not be lost while nothing fails."""
    checks = run_chain(
        ChainSettings(3, request_count=20, depth=0, refusal_probability=0.0)
    )
    assert checks.answered_call_count == 20
    assert checks.not_run_attempt_count == 0


@settings(_REPRODUCIBLE, max_examples=20)
@given(
    seed=st.integers(0, 2**32),
    nodes=st.integers(2, 6),
    is_frequent=st.booleans(),
    retries_before_gossip=st.booleans(),
    resenders=st.integers(1, 5),
)
def test_a_crashing_request_reaches_two_upstreams_and_blocks_no_other(
    seed: int,
    nodes: int,
    is_frequent: bool,
    retries_before_gossip: bool,
    resenders: int,
) -> None:
    """Resends must not crash more upstreams or block harmless requests.

    Concurrent resends would crash several upstreams if they did not run one
    after the other at the same node. Harmless requests that were in flight
    during a crash become suspects, too, and must be cleared by their next run.
    """
    checks = run_crashes(
        CrashSettings(
            seed,
            nodes=nodes,
            harmless_contents=6 if is_frequent else 40,
            harmless_interval_s=0.12 if is_frequent else 1.0,
            retries_before_gossip=retries_before_gossip,
            resenders=resenders,
        )
    )
    assert checks.crash_count >= 2
    assert checks.violations == []


def test_the_checks_catch_the_quickest_mutations() -> None:
    """Checks that miss a disabled mechanism would miss a real fault, too."""
    for name, guarantee in (
        ("a retry costs nothing", "G1"),
        ("running attempts are taken for not run", "G4"),
        ("each link numbers its own attempts and connections", "G3"),
        ("attempts of a closed link are taken for not run", "G4"),
        ("cancellations are not matched by id", "Cancellations"),
    ):
        with chain_mutations.applied(chain_mutations.CHAIN_MUTATIONS[name]):
            violation = chain_mutations.find_chain_violation(seeds=1)
        assert violation.startswith(f"{guarantee}: "), name
