"""What a team wants to change, and the versions that it started from."""

import re
from collections.abc import Collection, Mapping
from typing import Final

from radishtray_ctl._errors import CommandError, ExitCode
from radishtray_protocol import Release, section_digest, split_sections

_BASE_LINE: Final = re.compile(
    r"^# radishtray: section ([a-z0-9_-]+), generation \d+,"
    r" sha256 ([0-9a-f]{64})$",
    re.MULTILINE,
)


def base_line(section: str, generation: int, digest: str) -> str:
    """Returns the line by which `apply` knows what a file started from."""
    return (
        f"# radishtray: section {section}, generation {generation},"
        f" sha256 {digest}"
    )


class Edit:
    """New section texts and what they are based on.

    Attributes:
        texts: New text by section name; None removes the section.
        bases: Digest that each edited section must still have; None if the
            section must be absent. A missing name means that the base is the
            release at the time of the first read.
        stale: Sections left alone, because the file holds the version that it
            started from or an earlier one of the history.
        note: Text for the history.
        files: The files that the texts come from, for places of findings.
        carried: Digest of each section that is in the files but no edit.
    """

    __slots__ = ("bases", "carried", "files", "note", "stale", "texts")

    def __init__(
        self,
        texts: Mapping[str, str | None],
        bases: Mapping[str, str | None],
        *,
        stale: Collection[str] = (),
        note: str = "",
        files: Mapping[str, str] | None = None,
        carried: Mapping[str, str] | None = None,
    ) -> None:
        """Holds an edit; the class describes the parts."""
        self.files = dict(files or {})
        self.carried = dict(carried or {})
        self.texts = dict(texts)
        self.bases = dict(bases)
        self.stale = sorted(stale)
        self.note = note

    def files_are_current(self, current: Mapping[str, str]) -> bool:
        """Whether the files hold the document as the edit would make it.

        Args:
            current: Digest by section name in force.
        """
        after = {**current, **self.digests()}
        return bool(self.files) and all(
            after.get(name) == digest for name, digest in self.carried.items()
        )

    def digests(self) -> dict[str, str | None]:
        """Returns the new digest by section name."""
        return {
            name: None if text is None else section_digest(text)
            for name, text in self.texts.items()
        }


def build_edit(
    files: Mapping[str, str],
    release: Release | None,
    *,
    only: Collection[str] = (),
    remove: Collection[str] = (),
    base_generation: int | None = None,
) -> Edit:
    """Finds the sections that a team edited in its files.

    Args:
        files: Text by file name; without findings when taken alone.
        release: Release in force.
        only: Sections to apply; all of the files if empty.
        remove: Sections to remove.
        base_generation: Generation that the files started from.

    Raises:
        CommandError: If a named section or the base generation is missing.
    """
    found: dict[str, str] = {}
    bases: dict[str, str | None] = {}
    for text in files.values():
        found.update(split_sections(text))
        bases.update(_BASE_LINE.findall(text))
    if base_generation is not None:
        bases = _bases_at(release, base_generation, [*found, *remove])
    require_sections(only, found, "the files")
    current = release.sections if release else {}
    require_sections(remove, current, "the release")
    chosen = {n: t for n, t in found.items() if not only or n in only}
    changed = {
        name: text
        for name, text in chosen.items()
        if section_digest(text) != current.get(name)
    }
    stale = _untouched(changed, bases)
    if len(chosen) > 1 and not only:
        stale |= _earlier_versions(changed, bases, release)
    edited: dict[str, str | None] = dict.fromkeys(remove)
    edited.update((n, t) for n, t in changed.items() if n not in stale)
    return Edit(
        edited,
        {name: digest for name, digest in bases.items() if name in edited},
        stale=stale,
        files=files,
        carried={
            name: section_digest(text)
            for name, text in found.items()
            if edited.get(name) is None
        },
    )


def _untouched(
    changed: Mapping[str, str], bases: Mapping[str, str | None]
) -> set[str]:
    """Returns the sections that are as the files started from."""
    return {
        name
        for name, text in changed.items()
        if name in bases and section_digest(text) == bases[name]
    }


def _earlier_versions(
    changed: Mapping[str, str],
    bases: Mapping[str, str | None],
    release: Release | None,
) -> set[str]:
    """Returns the sections without a base that equal an earlier version.

    A document of several sections may hold other teams' sections as they were;
    an earlier version there is no edit.
    """
    return {
        name
        for name, text in changed.items()
        if name not in bases
        and section_digest(text) in _past_digests(release, name)
    }


def build_rollback(
    release: Release,
    texts: Mapping[str, str],
    generation: int,
    only: Collection[str] = (),
) -> Edit:
    """Returns the edit that restores an earlier generation.

    Args:
        release: Release in force.
        texts: Section texts of the earlier generation.
        generation: The earlier generation.
        only: Sections to restore; all if empty.
    """
    names = set(only) or {*release.sections, *texts}
    return Edit(
        {name: texts.get(name) for name in sorted(names)},
        {name: release.sections.get(name) for name in names},
        note=f"rollback to generation {generation}",
    )


def sections_at(release: Release | None, generation: int) -> dict[str, str]:
    """Returns the digests of a generation within the history's reach.

    Raises:
        CommandError: If the history does not reach the generation.
    """
    sections = release.sections_at(generation) if release else None
    if sections is None:
        raise CommandError(
            ExitCode.REFUSED,
            "unknown_generation",
            f"the history does not reach generation {generation}",
        )
    return sections


def _bases_at(
    release: Release | None, generation: int, names: Collection[str]
) -> dict[str, str | None]:
    if generation == 0:
        return dict.fromkeys(names)
    sections = sections_at(release, generation)
    return {name: sections.get(name) for name in names}


def _past_digests(release: Release | None, name: str) -> set[str | None]:
    history = release.history if release else ()
    return {
        change.sections[name].old
        for change in history
        if name in change.sections
    }


def require_sections(
    names: Collection[str], known: Collection[str], place: str
) -> None:
    """Refuses names that are not known.

    Args:
        names: Section names that an operator gave.
        known: Sections that there are.
        place: Where they are, for the message.

    Raises:
        CommandError: If a name is not known.
    """
    missing = sorted(set(names) - set(known))
    if missing:
        raise CommandError(
            ExitCode.REFUSED,
            "unknown_section",
            f"there is no section {', '.join(missing)} in {place}",
        )
