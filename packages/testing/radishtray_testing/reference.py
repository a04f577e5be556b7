"""Writes the tables of the operators' reference pages: `make reference`.

A table stands between `<!-- table: NAME -->` and `<!-- end -->`. The names,
defaults, statuses and texts come from the code, so that a page cannot differ
from it; the advice comes from `_reference_texts`.
"""

import re
import sys
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Final

from prometheus_client.parser import text_string_to_metric_families

from radishtray_ctl._arguments import (
    AUTHOR_SETTINGS,
    PLATFORM_SETTINGS,
    SINGLE_NODE_SETTINGS,
)
from radishtray_node._metrics import Metrics
from radishtray_node._settings import SETTINGS
from radishtray_state import (
    RETRY_RULES,
    OutcomeFamily,
    RefusalReason,
    RetryDenial,
)
from radishtray_testing._reference_texts import (
    CONNECTION_REASON_TEXTS,
    COUNTER_TEXTS,
    DENIAL_TEXTS,
    INPUT_REASON_TEXTS,
    REASON_ADVICE,
    STAGE_TEXTS,
)

PAGES: Final = Path(__file__).parents[3] / "docs" / "operators"
_TABLE: Final = re.compile(
    r"(<!-- table: (?P<name>[a-z_]+) -->\n).*?(<!-- end -->)", re.DOTALL
)

TableBuilder = Callable[[], str]
TABLES: Final[dict[str, TableBuilder]] = {}


def _table(builder: TableBuilder) -> TableBuilder:
    """Registers a builder under its function's name."""
    TABLES[builder.__name__] = builder
    return builder


def _format(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    escaped = [[cell.replace("|", "\\|") for cell in line] for line in lines]
    return "".join(f"| {' | '.join(line)} |\n" for line in escaped)


def _default(text: str | None) -> str:
    if text is None:
        return "required"
    return f"`{text}`" if text else "none"


@_table
def node_settings() -> str:
    """Lists the settings of radishtray-node."""
    return _format(
        ("flag", "environment", "unit", "default", "meaning"),
        (
            (
                f"`{setting.flag}`",
                f"`{setting.variable}`",
                setting.unit or "-",
                _default(setting.default),
                setting.help,
            )
            for setting in SETTINGS
        ),
    )


@_table
def ctl_settings() -> str:
    """Lists the settings of radishtrayctl."""
    settings = {
        setting.name: setting
        for setting in (
            *PLATFORM_SETTINGS,
            *AUTHOR_SETTINGS,
            *SINGLE_NODE_SETTINGS,
        )
    }
    return _format(
        ("flag", "environment", "default", "meaning"),
        (
            (
                f"`{setting.flag}`",
                f"`{setting.variable}`",
                _default(setting.default),
                setting.help,
            )
            for setting in settings.values()
        ),
    )


def _retry_text(reason: RefusalReason) -> str:
    advice = RETRY_RULES[reason]
    if advice is None:
        return "never"
    if not advice.uses_backoff:
        return "at once"
    return (
        "after a pause, throttled" if advice.is_throttled else "after a pause"
    )


def _reasons(family: OutcomeFamily) -> str:
    return _format(
        ("reason", "status", "meaning", "nodes retry", "caller", "operator"),
        (
            (
                f"`{reason.value}`",
                str(reason.http_status),
                reason.text,
                _retry_text(reason),
                REASON_ADVICE[reason].caller,
                REASON_ADVICE[reason].operator,
            )
            for reason in RefusalReason
            if reason.family is family
        ),
    )


@_table
def not_run_reasons() -> str:
    """Lists the reasons that state that the request was not run."""
    return _reasons(OutcomeFamily.NOT_RUN)


@_table
def outcome_unknown_reasons() -> str:
    """Lists the reasons that leave the outcome open."""
    return _reasons(OutcomeFamily.OUTCOME_UNKNOWN)


@_table
def retry_denials() -> str:
    """Lists the reasons against another attempt."""
    return _format(
        ("reason", "meaning"),
        ((f"`{denial.value}`", DENIAL_TEXTS[denial]) for denial in RetryDenial),
    )


def counter_names() -> list[str]:
    """Returns the names of all counters that a node exports."""
    exposition = Metrics().exposition().decode()
    return [
        f"{family.name}_total"
        for family in text_string_to_metric_families(exposition)
        if family.type == "counter"
    ]


@_table
def counters() -> str:
    """Lists the counters of a node."""
    return _format(
        ("counter", "labels", "unit", "meaning"),
        ((f"`{name}`", *COUNTER_TEXTS[name]) for name in counter_names()),
    )


def _texts(header: str, texts: dict[str, str]) -> str:
    rows = ((f"`{name}`", text) for name, text in sorted(texts.items()))
    return _format((header, "meaning"), rows)


@_table
def input_reasons() -> str:
    """Lists the reasons of rejected input."""
    return _texts("reason", INPUT_REASON_TEXTS)


@_table
def connection_reasons() -> str:
    """Lists the reasons for which a node ends a connection of a node."""
    return _texts("reason", CONNECTION_REASON_TEXTS)


@_table
def stages() -> str:
    """Lists the stages whose time is measured."""
    return _texts("stage", STAGE_TEXTS)


def render(text: str) -> str:
    """Returns a page with its tables as the code has them.

    Raises:
        KeyError: If the page names a table that does not exist.
    """
    return _TABLE.sub(
        lambda found: found[1] + TABLES[found["name"]]() + found[3], text
    )


def main() -> int:
    """Rewrites all pages."""
    for page in sorted(PAGES.glob("*.md")):
        text = page.read_text("utf-8")
        page.write_text(render(text), "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
