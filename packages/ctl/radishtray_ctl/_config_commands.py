"""The commands of `radishtrayctl config`."""

import argparse
import difflib
import random
import time
import uuid
from argparse import ArgumentParser, Namespace
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from radishtray_ctl._apply import (
    Applier,
    ApplyResult,
    ChangeMetadata,
    check_edited_document,
)
from radishtray_ctl._arguments import (
    AUTHOR_SETTINGS,
    PLATFORM_SETTINGS,
    register_command,
)
from radishtray_ctl._edits import (
    Edit,
    build_edit,
    build_rollback,
    format_base_line,
    require_sections,
    section_digests_at,
)
from radishtray_ctl._errors import CommandError, ExitCode, findings_error
from radishtray_ctl._files import check_files, read_files
from radishtray_ctl._release_store import LoadedRelease, ReleaseStore
from radishtray_ctl._report import Report, format_utc
from radishtray_protocol import (
    Change,
    Release,
    join_sections,
    parse_document,
)
from radishtray_transport import PlatformClient

_PlatformCommand = Callable[[Namespace, Any], Awaitable[Report]]
_StoreCommand = Callable[[Namespace, Any, ReleaseStore], Awaitable[Report]]


def _generation(text: str) -> int:
    """Parses a generation number.

    argparse prints the name of this function if the text is not a number:
    `invalid _generation value`.
    """
    number = int(text)
    if number < 0:
        raise argparse.ArgumentTypeError("must not be negative")
    return number


def _add_section_argument(parser: ArgumentParser, help_text: str) -> None:
    parser.add_argument(
        "--section",
        action="append",
        default=[],
        metavar="NAME",
        help=f"{help_text}; may be repeated",
    )


def _add_files_argument(parser: ArgumentParser) -> None:
    parser.add_argument(
        "files",
        nargs="+",
        metavar="FILE|DIR",
        help="document, some of its sections, or - for the standard input",
    )


def _add_check_arguments(parser: ArgumentParser) -> None:
    _add_files_argument(parser)
    parser.add_argument(
        "--partial",
        action="store_true",
        help="do not check calls to services that the files do not have",
    )


def _add_edit_arguments(parser: ArgumentParser) -> None:
    _add_files_argument(parser)
    _add_section_argument(parser, "apply only this section of the files")
    parser.add_argument(
        "--remove",
        action="append",
        default=[],
        metavar="NAME",
        help="remove this section; may be repeated",
    )
    parser.add_argument(
        "--base-generation",
        type=_generation,
        metavar="N",
        help="generation that the files started from, if they hold no base"
        " line of `config show`; sections changed since are conflicts",
    )


def _add_expect_generation_argument(parser: ArgumentParser) -> None:
    parser.add_argument(
        "--expect-generation",
        type=_generation,
        metavar="N",
        help="refuse unless generation N is in force; 0 means none yet",
    )


def _add_apply_arguments(parser: ArgumentParser) -> None:
    _add_edit_arguments(parser)
    _add_expect_generation_argument(parser)


def _add_show_arguments(parser: ArgumentParser) -> None:
    _add_section_argument(parser, "show only this section")
    parser.add_argument(
        "--generation", type=_generation, metavar="N", help="an earlier one"
    )
    parser.add_argument(
        "--output",
        metavar="DIR",
        help="write one file for each section into this directory",
    )


def _add_history_arguments(parser: ArgumentParser) -> None:
    _add_section_argument(parser, "show only changes of this section")
    parser.add_argument(
        "--change-id", metavar="ID", help="show only the change with this id"
    )
    parser.add_argument(
        "--limit", type=_generation, default=20, metavar="N", help="default: 20"
    )


def _add_rollback_arguments(parser: ArgumentParser) -> None:
    parser.add_argument("generation", type=_generation, metavar="GENERATION")
    _add_section_argument(parser, "restore only this section")
    _add_expect_generation_argument(parser)


@register_command(
    "config check",
    "report all findings of files; needs no platform",
    add_arguments=_add_check_arguments,
)
def check(options: Namespace) -> Report:
    """Validates files without access to the platform."""
    texts = read_files(options.files)
    parsed = parse_document(texts, partial=options.partial)
    if parsed.is_error():
        raise findings_error(parsed.error)
    document = parsed.ok
    kinds = sum(len(service.kinds) for service in document.services.values())
    return Report(
        [f"no findings: {len(document.services)} services, {kinds} kinds"],
        {"services": len(document.services), "kinds": kinds, "findings": []},
    )


def _with_release_store(run: _StoreCommand) -> _PlatformCommand:
    """Passes a release store to a command and closes its client at the end."""

    async def run_with_store(options: Namespace, reactor: Any) -> Report:
        client = PlatformClient(
            reactor,
            options.platform,
            token=options.platform_token,
            timeout_s=options.timeout_s,
        )
        try:
            return await run(options, reactor, ReleaseStore(client))
        finally:
            client.close()

    return run_with_store


async def _load_edit(
    options: Namespace, store: ReleaseStore
) -> tuple[LoadedRelease, Edit]:
    """Returns the release in force and the edit that the files make to it."""
    texts = read_files(options.files)
    check_files(texts)
    loaded = await store.load_release()
    edit = build_edit(
        texts,
        loaded.release,
        selected_sections=options.section,
        removed_sections=options.remove,
        base_generation=options.base_generation,
    )
    return loaded, edit


@register_command(
    "config plan",
    "show what apply would change; changes nothing",
    *PLATFORM_SETTINGS,
    add_arguments=_add_edit_arguments,
)
@_with_release_store
async def plan(options: Namespace, reactor: Any, store: ReleaseStore) -> Report:
    """Reports the difference between files and the release in force."""
    loaded, edit = await _load_edit(options, store)
    current_digests = loaded.section_digests
    await check_edited_document(store, current_digests, edit)
    old_texts = await store.read_texts(
        {n: current_digests[n] for n in edit.new_texts if n in current_digests}
    )
    actions: dict[str, str] = {}
    lines = [f"in force: generation {loaded.generation}"]
    for name, text in sorted(edit.new_texts.items()):
        actions[name] = _describe_action(old_texts.get(name), text)
        lines.append(f"{name}: {actions[name]}")
        lines.extend(_diff_lines(name, old_texts.get(name) or "", text or ""))
    lines.extend(f"{name}: left as in force" for name in edit.stale)
    if not actions:
        lines.append("nothing to change")
    return Report(
        lines,
        {
            "generation": loaded.generation,
            "changes": actions,
            "left": edit.stale,
        },
    )


def _describe_action(old: str | None, new: str | None) -> str:
    if old is None:
        return "add"
    return "change" if new is not None else "remove"


def _diff_lines(name: str, old: str, new: str) -> list[str]:
    return list(
        difflib.unified_diff(
            old.splitlines(),
            new.splitlines(),
            f"in force/{name}",
            f"new/{name}",
            lineterm="",
        )
    )


@register_command(
    "config apply",
    "put the sections of files into effect with all other sections",
    *PLATFORM_SETTINGS,
    *AUTHOR_SETTINGS,
    add_arguments=_add_apply_arguments,
)
@_with_release_store
async def apply(
    options: Namespace, reactor: Any, store: ReleaseStore
) -> Report:
    """Applies the sections that were edited in files."""
    loaded, edit = await _load_edit(options, store)
    result = await _apply_edit(options, reactor, store, edit, loaded)
    return _build_apply_report(result, edit)


async def _apply_edit(
    options: Namespace,
    reactor: Any,
    store: ReleaseStore,
    edit: Edit,
    loaded: LoadedRelease,
) -> ApplyResult:
    metadata = ChangeMetadata(
        uuid.uuid4().hex, options.author, time.time_ns() // 1_000_000
    )
    applier = Applier(
        store,
        edit,
        metadata,
        reactor=reactor,
        rng=random.Random(),
        expected_generation=options.expect_generation,
    )
    return await applier.run(loaded)


def _build_apply_report(result: ApplyResult, edit: Edit) -> Report:
    names = ", ".join(result.changed_sections)
    if names:
        lines = [f"generation {result.generation} is in force: {names}"]
    else:
        lines = [f"nothing to change in generation {result.generation}"]
    lines.extend(f"{name}: left as in force" for name in edit.stale)
    if result.confirmed_by_history:
        lines.append("an answer was lost; the history shows the change")
    return Report(
        lines,
        {
            "generation": result.generation,
            "changed": result.changed_sections,
            "left": edit.stale,
            "rebased": result.rebase_count,
        },
    )


@register_command(
    "config show",
    "print the document or some of its sections",
    *PLATFORM_SETTINGS,
    add_arguments=_add_show_arguments,
)
@_with_release_store
async def show(options: Namespace, reactor: Any, store: ReleaseStore) -> Report:
    """Prints or writes sections with the base lines that `apply` reads."""
    release = _require_release(await store.load_release())
    generation = release.generation
    digests = dict(release.sections)
    if options.generation is not None:
        generation = options.generation
        digests = section_digests_at(release, generation)
    require_sections(options.section, digests, f"generation {generation}")
    if options.section:
        digests = {name: digests[name] for name in options.section}
    texts = await store.read_texts(digests)
    base_lines = {
        n: format_base_line(n, generation, d) for n, d in digests.items()
    }
    values = {"generation": generation, "sections": texts, "digests": digests}
    if options.output:
        paths = _write_section_files(Path(options.output), texts, base_lines)
        return Report([f"wrote {path}" for path in paths], values)
    document = "\n".join([*base_lines.values(), join_sections(texts)])
    return Report(document.splitlines(), values)


def _require_release(loaded: LoadedRelease) -> Release:
    if loaded.release is None:
        raise CommandError(
            ExitCode.REFUSED, "no_release", "there is no release yet"
        )
    return loaded.release


def _write_section_files(
    directory: Path, texts: dict[str, str], base_lines: dict[str, str]
) -> list[str]:
    paths = []
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for name, text in texts.items():
            path = directory / f"{name}.yaml"
            path.write_text(f"{base_lines[name]}\n{text}", encoding="utf-8")
            paths.append(str(path))
    except OSError as error:
        raise CommandError(ExitCode.USAGE, "file", str(error)) from error
    return paths


@register_command(
    "config history",
    "list the last changes, newest first",
    *PLATFORM_SETTINGS,
    add_arguments=_add_history_arguments,
)
@_with_release_store
async def history(
    options: Namespace, reactor: Any, store: ReleaseStore
) -> Report:
    """Lists changes; fails if the history lacks the given change id."""
    release = _require_release(await store.load_release())
    changes = [
        change
        for change in release.history
        if (not options.change_id or change.change_id == options.change_id)
        and (not options.section or set(options.section) & set(change.sections))
    ][: options.limit]
    if options.change_id and not changes:
        raise CommandError(
            ExitCode.REFUSED,
            "unknown_change",
            f"no change {options.change_id} among the last"
            f" {len(release.history)}, generation {release.generation}",
        )
    return Report(
        [_format_change(change) for change in changes],
        {
            "generation": release.generation,
            "changes": [change.to_json() for change in changes],
        },
    )


def _format_change(change: Change) -> str:
    parts = [
        f"{change.generation}",
        format_utc(change.time_ms),
        change.author,
        ",".join(sorted(change.sections)),
        change.change_id,
        change.note,
    ]
    return "  ".join(part for part in parts if part)


@register_command(
    "config rollback",
    "make a new generation with the sections of an earlier one",
    *PLATFORM_SETTINGS,
    *AUTHOR_SETTINGS,
    add_arguments=_add_rollback_arguments,
)
@_with_release_store
async def rollback(
    options: Namespace, reactor: Any, store: ReleaseStore
) -> Report:
    """Restores all or some sections of an earlier generation."""
    loaded = await store.load_release()
    release = _require_release(loaded)
    old_digests = section_digests_at(release, options.generation)
    require_sections(
        options.section,
        {*release.sections, *old_digests},
        f"generation {options.generation} or in force",
    )
    restored_digests = {
        name: digest
        for name, digest in old_digests.items()
        if not options.section or name in options.section
    }
    texts = await store.read_texts(restored_digests)
    edit = build_rollback(release, texts, options.generation, options.section)
    result = await _apply_edit(options, reactor, store, edit, loaded)
    return _build_apply_report(result, edit)
