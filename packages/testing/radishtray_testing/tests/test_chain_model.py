"""Guards G1, G3 and G4 over a chain with faults, and crash suspects."""

from hypothesis import given, settings
from hypothesis import strategies as st

from radishtray_testing import chain_mutations
from radishtray_testing.chain_model import ChainSettings, Fault, run_chain
from radishtray_testing.crash_model import CrashSettings, run_crashes

# The same examples every time, so that CI gives the same verdict.
_FIXED = settings(derandomize=True, deadline=None, max_examples=150)


@_FIXED
@given(
    seed=st.integers(0, 2**32),
    faults=st.frozensets(st.sampled_from(Fault), max_size=3),
    budget=st.integers(0, 9),
    depth=st.integers(0, 3),
    nodes=st.integers(1, 3),
    refusals=st.sampled_from([0.0, 0.3, 0.7]),
)
def test_chain_keeps_its_guarantees(
    *,
    seed: int,
    faults: frozenset[Fault],
    budget: int,
    depth: int,
    nodes: int,
    refusals: float,
) -> None:
    checks = run_chain(
        ChainSettings(
            seed,
            faults,
            budget=budget,
            requests=8,
            depth=depth,
            nodes_per_service=nodes,
            refusals=refusals,
        )
    )
    assert checks.violations == []


def test_the_model_reaches_answers_retries_and_refusals() -> None:
    runs = [
        run_chain(ChainSettings(seed, frozenset(Fault))) for seed in range(5)
    ]
    assert sum(run.answered for run in runs) > 50
    assert sum(run.retries for run in runs) > 20
    assert sum(run.not_run for run in runs) > 20


def test_without_faults_every_request_is_answered() -> None:
    checks = run_chain(ChainSettings(3, requests=20, depth=0, refusals=0.0))
    assert checks.answered == 20
    assert checks.not_run == 0


@settings(_FIXED, max_examples=20)
@given(
    seed=st.integers(0, 2**32),
    nodes=st.integers(2, 6),
    is_popular=st.booleans(),
    chain_retry=st.booleans(),
    resenders=st.integers(1, 5),
)
def test_a_crashing_request_reaches_two_upstreams_and_blocks_no_other(
    seed: int,
    nodes: int,
    is_popular: bool,
    chain_retry: bool,
    resenders: int,
) -> None:
    checks = run_crashes(
        CrashSettings(
            seed,
            nodes=nodes,
            innocents=6 if is_popular else 40,
            innocent_interval_s=0.12 if is_popular else 1.0,
            chain_retry=chain_retry,
            resenders=resenders,
        )
    )
    assert checks.crashes >= 2
    assert checks.violations == []


def test_the_checks_catch_the_quickest_mutations() -> None:
    for name in (
        "a retry costs nothing",
        "running attempts are taken for not run",
    ):
        with chain_mutations.applied(chain_mutations.CHAIN_MUTATIONS[name]):
            assert chain_mutations.chain_violation(seeds=1), name
