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
    Applied,
    Applier,
    ChangeIdentity,
    check_whole,
)
from radishtray_ctl._arguments import (
    AUTHOR_SETTINGS,
    PLATFORM_SETTINGS,
    command,
)
from radishtray_ctl._edits import (
    Edit,
    base_line,
    build_edit,
    build_rollback,
    require_sections,
    sections_at,
)
from radishtray_ctl._errors import CommandError, ExitCode, findings_error
from radishtray_ctl._files import check_files, read_files
from radishtray_ctl._release_store import LoadedRelease, ReleaseStore
from radishtray_ctl._report import Report, utc_text
from radishtray_protocol import (
    Change,
    Release,
    join_sections,
    parse_document,
)
from radishtray_transport.platform_client import PlatformClient

_PlatformCommand = Callable[[Namespace, Any], Awaitable[Report]]
_StoreCommand = Callable[[Namespace, Any, ReleaseStore], Awaitable[Report]]


def _generation(text: str) -> int:
    number = int(text)
    if number < 0:
        raise argparse.ArgumentTypeError("must not be negative")
    return number


def _add_section(parser: ArgumentParser, help_text: str) -> None:
    parser.add_argument(
        "--section",
        action="append",
        default=[],
        metavar="NAME",
        help=f"{help_text}; may be repeated",
    )


def _add_files(parser: ArgumentParser) -> None:
    parser.add_argument(
        "files",
        nargs="+",
        metavar="FILE|DIR",
        help="document, some of its sections, or - for the standard input",
    )


def _add_check(parser: ArgumentParser) -> None:
    _add_files(parser)
    parser.add_argument(
        "--partial",
        action="store_true",
        help="do not check calls to services that the files do not have",
    )


def _add_edit(parser: ArgumentParser) -> None:
    _add_files(parser)
    _add_section(parser, "apply only this section of the files")
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


def _add_expectation(parser: ArgumentParser) -> None:
    parser.add_argument(
        "--expect-generation",
        type=_generation,
        metavar="N",
        help="refuse unless generation N is in force; 0 means none yet",
    )


def _add_apply(parser: ArgumentParser) -> None:
    _add_edit(parser)
    _add_expectation(parser)


def _add_show(parser: ArgumentParser) -> None:
    _add_section(parser, "show only this section")
    parser.add_argument(
        "--generation", type=_generation, metavar="N", help="an earlier one"
    )
    parser.add_argument(
        "--output",
        metavar="DIR",
        help="write one file for each section into this directory",
    )


def _add_history(parser: ArgumentParser) -> None:
    _add_section(parser, "show only changes of this section")
    parser.add_argument(
        "--change-id", metavar="ID", help="show only the change with this id"
    )
    parser.add_argument(
        "--limit", type=_generation, default=20, metavar="N", help="default: 20"
    )


def _add_rollback(parser: ArgumentParser) -> None:
    parser.add_argument("generation", type=_generation, metavar="GENERATION")
    _add_section(parser, "restore only this section")
    _add_expectation(parser)


@command(
    "config check",
    "report all findings of files; needs no platform",
    arguments=_add_check,
)
def check(options: Namespace) -> Report:
    """Checks files without a platform."""
    texts = read_files(options.files)
    parsed = parse_document(texts, partial=options.partial)
    if parsed.is_error():
        raise findings_error(parsed.error)
    document = parsed.ok
    kinds = sum(len(part.kinds) for part in document.services.values())
    return Report(
        [f"no findings: {len(document.services)} services, {kinds} kinds"],
        {"services": len(document.services), "kinds": kinds, "findings": []},
    )


def _with_store(run: _StoreCommand) -> _PlatformCommand:
    """Gives a command the release store, and closes its client at the end."""

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
    texts = read_files(options.files)
    check_files(texts)
    loaded = await store.load()
    edit = build_edit(
        texts,
        loaded.release,
        only=options.section,
        remove=options.remove,
        base_generation=options.base_generation,
    )
    return loaded, edit


@command(
    "config plan",
    "show what apply would change; changes nothing",
    *PLATFORM_SETTINGS,
    arguments=_add_edit,
)
@_with_store
async def plan(options: Namespace, reactor: Any, store: ReleaseStore) -> Report:
    """Compares files with the release in force."""
    loaded, edit = await _load_edit(options, store)
    current = loaded.sections
    await check_whole(store, current, edit)
    old = await store.texts({n: current[n] for n in edit.texts if n in current})
    actions: dict[str, str] = {}
    lines = [f"in force: generation {loaded.generation}"]
    for name, text in sorted(edit.texts.items()):
        actions[name] = _action(old.get(name), text)
        lines.append(f"{name}: {actions[name]}")
        lines.extend(_diff(name, old.get(name) or "", text or ""))
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


def _action(old: str | None, new: str | None) -> str:
    if old is None:
        return "add"
    return "change" if new is not None else "remove"


def _diff(name: str, old: str, new: str) -> list[str]:
    return list(
        difflib.unified_diff(
            old.splitlines(),
            new.splitlines(),
            f"in force/{name}",
            f"new/{name}",
            lineterm="",
        )
    )


@command(
    "config apply",
    "put the sections of files into effect with all other sections",
    *PLATFORM_SETTINGS,
    *AUTHOR_SETTINGS,
    arguments=_add_apply,
)
@_with_store
async def apply(
    options: Namespace, reactor: Any, store: ReleaseStore
) -> Report:
    """Puts edited sections into effect."""
    loaded, edit = await _load_edit(options, store)
    applied = await _run_edit(options, reactor, store, edit, loaded)
    return _applied_report(applied, edit)


async def _run_edit(
    options: Namespace,
    reactor: Any,
    store: ReleaseStore,
    edit: Edit,
    loaded: LoadedRelease,
) -> Applied:
    identity = ChangeIdentity(
        uuid.uuid4().hex, options.author, time.time_ns() // 1_000_000
    )
    applier = Applier(
        store,
        edit,
        identity,
        reactor=reactor,
        rng=random.Random(),
        expected_generation=options.expect_generation,
    )
    return await applier.run(loaded)


def _applied_report(applied: Applied, edit: Edit) -> Report:
    names = ", ".join(applied.sections)
    if names:
        lines = [f"generation {applied.generation} is in force: {names}"]
    else:
        lines = [f"nothing to change in generation {applied.generation}"]
    lines.extend(f"{name}: left as in force" for name in edit.stale)
    if applied.settled:
        lines.append("an answer was lost; the history shows the change")
    return Report(
        lines,
        {
            "generation": applied.generation,
            "changed": applied.sections,
            "left": edit.stale,
            "rebased": applied.rebased,
        },
    )


@command(
    "config show",
    "print the document or some of its sections",
    *PLATFORM_SETTINGS,
    arguments=_add_show,
)
@_with_store
async def show(options: Namespace, reactor: Any, store: ReleaseStore) -> Report:
    """Prints the document with the base lines that apply reads."""
    release = _require_release(await store.load())
    generation = release.generation
    sections = dict(release.sections)
    if options.generation is not None:
        generation = options.generation
        sections = sections_at(release, generation)
    require_sections(options.section, sections, f"generation {generation}")
    if options.section:
        sections = {name: sections[name] for name in options.section}
    texts = await store.texts(sections)
    bases = {n: base_line(n, generation, d) for n, d in sections.items()}
    values = {"generation": generation, "sections": texts, "digests": sections}
    if options.output:
        paths = _write_sections(Path(options.output), texts, bases)
        return Report([f"wrote {path}" for path in paths], values)
    document = "\n".join([*bases.values(), join_sections(texts)])
    return Report(document.splitlines(), values)


def _require_release(loaded: LoadedRelease) -> Release:
    if loaded.release is None:
        raise CommandError(
            ExitCode.REFUSED, "no_release", "there is no release yet"
        )
    return loaded.release


def _write_sections(
    directory: Path, texts: dict[str, str], bases: dict[str, str]
) -> list[str]:
    paths = []
    try:
        directory.mkdir(parents=True, exist_ok=True)
        for name, text in texts.items():
            path = directory / f"{name}.yaml"
            path.write_text(f"{bases[name]}\n{text}", encoding="utf-8")
            paths.append(str(path))
    except OSError as error:
        raise CommandError(ExitCode.USAGE, "file", str(error)) from error
    return paths


@command(
    "config history",
    "list the last changes, newest first",
    *PLATFORM_SETTINGS,
    arguments=_add_history,
)
@_with_store
async def history(
    options: Namespace, reactor: Any, store: ReleaseStore
) -> Report:
    """Lists changes; without one that is asked for, the command fails."""
    release = _require_release(await store.load())
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
        [_change_line(change) for change in changes],
        {
            "generation": release.generation,
            "changes": [change.to_json() for change in changes],
        },
    )


def _change_line(change: Change) -> str:
    parts = [
        f"{change.generation}",
        utc_text(change.time_ms),
        change.author,
        ",".join(sorted(change.sections)),
        change.change_id,
        change.note,
    ]
    return "  ".join(part for part in parts if part)


@command(
    "config rollback",
    "make a new generation with the sections of an earlier one",
    *PLATFORM_SETTINGS,
    *AUTHOR_SETTINGS,
    arguments=_add_rollback,
)
@_with_store
async def rollback(
    options: Namespace, reactor: Any, store: ReleaseStore
) -> Report:
    """Restores an earlier generation, whole or by section."""
    loaded = await store.load()
    release = _require_release(loaded)
    sections = sections_at(release, options.generation)
    require_sections(
        options.section,
        {*release.sections, *sections},
        f"generation {options.generation} or in force",
    )
    wanted = {
        name: digest
        for name, digest in sections.items()
        if not options.section or name in options.section
    }
    texts = await store.texts(wanted)
    edit = build_rollback(release, texts, options.generation, options.section)
    applied = await _run_edit(options, reactor, store, edit, loaded)
    return _applied_report(applied, edit)
