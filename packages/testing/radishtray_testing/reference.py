"""Generates the tables in the operators' reference pages: `make reference`.

Each table is written between `<!-- table: NAME -->` and `<!-- end -->`. Names,
defaults, statuses and meanings are read from the code, so that the pages agree
with it; advice and descriptions come from `_reference_texts`.
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
    REPORT_REASON_TEXTS,
    STAGE_TEXTS,
)

PAGES_DIRECTORY: Final = Path(__file__).parents[3] / "docs" / "operators"
_TABLE_PATTERN: Final = re.compile(
    r"(<!-- table: (?P<name>[a-z_]+) -->\n).*?(<!-- end -->)", re.DOTALL
)

TableBuilder = Callable[[], str]
TABLES: Final[dict[str, TableBuilder]] = {}


def _register_table(builder: TableBuilder) -> TableBuilder:
    """Registers a function that returns a table under the function's name."""
    TABLES[builder.__name__] = builder
    return builder


def _format_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    escaped = [[cell.replace("|", "\\|") for cell in line] for line in lines]
    return "".join(f"| {' | '.join(line)} |\n" for line in escaped)


def _format_default(text: str | None) -> str:
    if text is None:
        return "required"
    return f"`{text}`" if text else "none"


@_register_table
def node_settings() -> str:
    """Lists the settings of radishtray-node."""
    return _format_table(
        ("flag", "environment", "unit", "default", "meaning"),
        (
            (
                f"`{setting.flag}`",
                f"`{setting.variable}`",
                setting.unit or "-",
                _format_default(setting.default),
                setting.help,
            )
            for setting in SETTINGS
        ),
    )


@_register_table
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
    return _format_table(
        ("flag", "environment", "default", "meaning"),
        (
            (
                f"`{setting.flag}`",
                f"`{setting.variable}`",
                _format_default(setting.default),
                setting.help,
            )
            for setting in settings.values()
        ),
    )


def _format_retry_rule(reason: RefusalReason) -> str:
    rule = RETRY_RULES[reason]
    if rule is None:
        return "never"
    if not rule.uses_backoff:
        return "at once"
    return "after a pause, throttled" if rule.is_throttled else "after a pause"


def _format_reasons(family: OutcomeFamily) -> str:
    return _format_table(
        ("reason", "status", "meaning", "nodes retry", "caller", "operator"),
        (
            (
                f"`{reason.value}`",
                str(reason.http_status),
                reason.text,
                _format_retry_rule(reason),
                REASON_ADVICE[reason].caller_advice,
                REASON_ADVICE[reason].operator_advice,
            )
            for reason in RefusalReason
            if reason.family is family
        ),
    )


@_register_table
def not_run_reasons() -> str:
    """Lists the reasons that state that the request was not run."""
    return _format_reasons(OutcomeFamily.NOT_RUN)


@_register_table
def outcome_unknown_reasons() -> str:
    """Lists the reasons that state that the outcome is unknown."""
    return _format_reasons(OutcomeFamily.OUTCOME_UNKNOWN)


@_register_table
def retry_denials() -> str:
    """Lists the reasons why a failed attempt is not followed by another."""
    return _format_table(
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


@_register_table
def counters() -> str:
    """Lists the counters of a node."""
    return _format_table(
        ("counter", "labels", "unit", "meaning"),
        ((f"`{name}`", *COUNTER_TEXTS[name]) for name in counter_names()),
    )


def _format_meanings(name_header: str, meanings: dict[str, str]) -> str:
    rows = ((f"`{name}`", text) for name, text in sorted(meanings.items()))
    return _format_table((name_header, "meaning"), rows)


@_register_table
def input_reasons() -> str:
    """Lists the reasons why a listener rejects input."""
    return _format_meanings("reason", INPUT_REASON_TEXTS)


@_register_table
def report_reasons() -> str:
    """Lists the reasons why a node rejects a report of an upstream."""
    return _format_meanings("reason", REPORT_REASON_TEXTS)


@_register_table
def connection_reasons() -> str:
    """Lists the reasons why a node ends a connection between nodes."""
    return _format_meanings("reason", CONNECTION_REASON_TEXTS)


@_register_table
def stages() -> str:
    """Lists the stages of a request whose time is measured."""
    return _format_meanings("stage", STAGE_TEXTS)


def render_page(text: str) -> str:
    """Returns the text of a page with newly generated tables.

    Raises:
        KeyError: If the page names a table that does not exist.
    """
    return _TABLE_PATTERN.sub(
        lambda match: match[1] + TABLES[match["name"]]() + match[3], text
    )


def main() -> int:
    """Rewrites the tables of all pages in place."""
    for page in sorted(PAGES_DIRECTORY.glob("*.md")):
        text = page.read_text("utf-8")
        page.write_text(render_page(text), "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
