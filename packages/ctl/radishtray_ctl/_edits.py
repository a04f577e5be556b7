"""Finds the sections to change, and the versions that the edit is based on.

Several teams change the same document. As in optimistic concurrency control,
an edit records the digest of each section's base version; `_apply` refuses the
edit if a section in force differs from its base.
"""

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


def format_base_line(section: str, generation: int, digest: str) -> str:
    """Returns the comment line that records a section's base version.

    `config show` writes it and `config apply` reads it.
    """
    return (
        f"# radishtray: section {section}, generation {generation},"
        f" sha256 {digest}"
    )


class Edit:
    """New section texts and the versions that they are based on.

    Attributes:
        new_texts: New text by section name; None removes the section.
        base_digests: Digest that each edited section must still have; None if
            the section must be absent. A section without an entry is based on
            the release that the command read first.
        stale: Sections that are not applied, because the file contains their
            base version or an earlier version from the history.
        note: Note for the history entry.
        files: Text by path of the files that the new texts come from, so that
            findings can name the file and line.
        unedited_digests: Digest of each section that the files contain but the
            edit gives no new text.
    """

    __slots__ = (
        "base_digests",
        "files",
        "new_texts",
        "note",
        "stale",
        "unedited_digests",
    )

    def __init__(
        self,
        new_texts: Mapping[str, str | None],
        base_digests: Mapping[str, str | None],
        *,
        stale: Collection[str] = (),
        note: str = "",
        files: Mapping[str, str] | None = None,
        unedited_digests: Mapping[str, str] | None = None,
    ) -> None:
        """Creates an edit from the attributes that the class describes."""
        self.files = dict(files or {})
        self.unedited_digests = dict(unedited_digests or {})
        self.new_texts = dict(new_texts)
        self.base_digests = dict(base_digests)
        self.stale = sorted(stale)
        self.note = note

    def files_match_result(self, current_digests: Mapping[str, str]) -> bool:
        """Whether all sections of the files equal those after the edit.

        This is false if the files contain another version of a section that
        the edit leaves as it is.

        Args:
            current_digests: Digest by section name of the release in force.
        """
        digests_after = {**current_digests, **self.new_digests()}
        return bool(self.files) and all(
            digests_after.get(name) == digest
            for name, digest in self.unedited_digests.items()
        )

    def new_digests(self) -> dict[str, str | None]:
        """Returns the new digest by section name; None for a removed one."""
        return {
            name: None if text is None else section_digest(text)
            for name, text in self.new_texts.items()
        }


def build_edit(
    files: Mapping[str, str],
    release: Release | None,
    *,
    selected_sections: Collection[str] = (),
    removed_sections: Collection[str] = (),
    base_generation: int | None = None,
) -> Edit:
    """Finds the sections that a team edited in its files.

    A section is edited if its text differs from the release in force and is
    not stale, as described at `Edit.stale`.

    Args:
        files: Text by file path; must have passed `check_files`.
        release: Release in force.
        selected_sections: Sections to apply; all of the files if empty.
        removed_sections: Sections to remove.
        base_generation: Generation that the files are based on; replaces the
            base lines in the files.

    Raises:
        CommandError: If a selected or removed section does not exist, or the
            history does not contain the base generation.
    """
    file_sections: dict[str, str] = {}
    base_digests: dict[str, str | None] = {}
    for text in files.values():
        file_sections.update(split_sections(text))
        base_digests.update(_BASE_LINE.findall(text))
    if base_generation is not None:
        base_digests = _base_digests_at(
            release, base_generation, [*file_sections, *removed_sections]
        )
    require_sections(selected_sections, file_sections, "the files")
    current_digests = release.sections if release else {}
    require_sections(removed_sections, current_digests, "the release")
    selected_texts = {
        n: t
        for n, t in file_sections.items()
        if not selected_sections or n in selected_sections
    }
    changed_texts = {
        name: text
        for name, text in selected_texts.items()
        if section_digest(text) != current_digests.get(name)
    }
    stale = _sections_equal_to_base(changed_texts, base_digests)
    if len(selected_texts) > 1 and not selected_sections:
        stale |= _sections_equal_to_past_version(
            changed_texts, base_digests, release
        )
    new_texts: dict[str, str | None] = dict.fromkeys(removed_sections)
    new_texts.update((n, t) for n, t in changed_texts.items() if n not in stale)
    return Edit(
        new_texts,
        {
            name: digest
            for name, digest in base_digests.items()
            if name in new_texts
        },
        stale=stale,
        files=files,
        unedited_digests={
            name: section_digest(text)
            for name, text in file_sections.items()
            if new_texts.get(name) is None
        },
    )


def _sections_equal_to_base(
    changed_texts: Mapping[str, str], base_digests: Mapping[str, str | None]
) -> set[str]:
    """Returns the sections that the team did not edit.

    They differ from the release in force only because another team changed
    them after the base version.
    """
    return {
        name
        for name, text in changed_texts.items()
        if name in base_digests and section_digest(text) == base_digests[name]
    }


def _sections_equal_to_past_version(
    changed_texts: Mapping[str, str],
    base_digests: Mapping[str, str | None],
    release: Release | None,
) -> set[str]:
    """Returns the sections without a base that equal an earlier version.

    A file with several sections may contain old versions of other teams'
    sections. Applying them would revert the changes of those teams.
    """
    return {
        name
        for name, text in changed_texts.items()
        if name not in base_digests
        and section_digest(text) in _past_digests(release, name)
    }


def build_rollback(
    release: Release,
    old_texts: Mapping[str, str],
    generation: int,
    selected_sections: Collection[str] = (),
) -> Edit:
    """Returns the edit that restores an earlier generation.

    Args:
        release: Release in force.
        old_texts: Section texts of the earlier generation; a section that is
            missing here is removed.
        generation: Number of the earlier generation.
        selected_sections: Sections to restore; all if empty.
    """
    names = set(selected_sections) or {*release.sections, *old_texts}
    return Edit(
        {name: old_texts.get(name) for name in sorted(names)},
        {name: release.sections.get(name) for name in names},
        note=f"rollback to generation {generation}",
    )


def section_digests_at(
    release: Release | None, generation: int
) -> dict[str, str]:
    """Returns the digest of each section in a generation.

    Args:
        release: Release in force, whose history is used.
        generation: The generation in force or an earlier one.

    Raises:
        CommandError: If the generation is older than the history, or newer
            than the release in force.
    """
    sections = release.sections_at(generation) if release else None
    if sections is None:
        raise CommandError(
            ExitCode.REFUSED,
            "unknown_generation",
            f"the history does not reach generation {generation}",
        )
    return sections


def _base_digests_at(
    release: Release | None, generation: int, names: Collection[str]
) -> dict[str, str | None]:
    """Returns the digest of each section in a generation, or None.

    Generation 0 precedes the first release: no section exists in it.
    """
    if generation == 0:
        return dict.fromkeys(names)
    sections = section_digests_at(release, generation)
    return {name: sections.get(name) for name in names}


def _past_digests(release: Release | None, name: str) -> set[str | None]:
    """Returns the digests that a section had before changes in the history."""
    history = release.history if release else ()
    return {
        change.sections[name].old
        for change in history
        if name in change.sections
    }


def require_sections(
    names: Collection[str], known_names: Collection[str], location: str
) -> None:
    """Checks that sections exist.

    Args:
        names: Section names that an operator gave.
        known_names: Names of the existing sections.
        location: What contains the existing sections, for the message.

    Raises:
        CommandError: If a name is not among the existing ones.
    """
    missing = sorted(set(names) - set(known_names))
    if missing:
        raise CommandError(
            ExitCode.REFUSED,
            "unknown_section",
            f"there is no section {', '.join(missing)} in {location}",
        )
