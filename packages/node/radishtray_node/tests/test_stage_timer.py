"""Guards against stage durations that are lost or distorted in the export."""

import re

import pytest

from radishtray_node._metrics import Metrics


def exported_quantile(text: str, stage: str, share: str) -> float:
    found = re.search(
        rf'quantile="{share}",stage="{stage}"}} ([0-9.e-]+)', text
    ) or re.search(rf'stage="{stage}",quantile="{share}"}} ([0-9.e-]+)', text)
    assert found, text
    return float(found[1])


@pytest.mark.parametrize("value_s", [1e-6, 0.000123, 0.01, 0.25, 3.7, 99.0])
def test_a_duration_is_exported_within_two_percent(value_s: float) -> None:
    metrics = Metrics()
    timer = metrics.create_stage_timer("entry")
    for _ in range(10):
        timer.record(value_s)
    text = metrics.exposition().decode()
    assert exported_quantile(text, "entry", "0.5") == pytest.approx(
        value_s, rel=0.02
    )
    assert 'radishtray_stage_seconds_count{stage="entry"} 10.0' in text


def test_counts_continue_after_an_export() -> None:
    metrics = Metrics()
    timer = metrics.create_stage_timer("entry")
    for count in (1, 2, 3):
        timer.record(0.1)
        text = metrics.exposition().decode()
        assert f'seconds_count{{stage="entry"}} {count}.0' in text


def test_durations_out_of_range_are_counted() -> None:
    metrics = Metrics()
    timer = metrics.create_stage_timer("entry")
    timer.record(0.0)
    timer.record(10_000.0)
    text = metrics.exposition().decode()
    assert 'seconds_count{stage="entry"} 2.0' in text
