"""Applies an edit by a conditional update of the release object.

This is optimistic concurrency control: the write succeeds only if the object
still has the version that was read. After a conflict the edit is rebased on the
newer release and written again. After a write of unknown outcome the history
tells whether the change took effect.
"""

import random
from typing import Any, Final

from twisted.internet.task import deferLater

from radishtray_ctl._edits import Edit
from radishtray_ctl._errors import CommandError, ExitCode, findings_error
from radishtray_ctl._release_store import (
    LoadedRelease,
    ReleaseStore,
    raise_platform_error,
)
from radishtray_protocol import Release, next_release, parse_document
from radishtray_transport import Conflict, OutcomeUnknown

_MAX_UPDATE_ATTEMPTS: Final = 50
_MAX_UNKNOWN_OUTCOMES: Final = 5
_MAX_BACKOFF_S: Final = 0.05


class ChangeMetadata:
    """Author, time and id of a change.

    The id identifies the change in the history after a lost answer.
    """

    __slots__ = ("author", "change_id", "time_ms")

    def __init__(self, change_id: str, author: str, time_ms: int) -> None:
        """Creates the metadata of one change.

        Args:
            change_id: Unique id of the change.
            author: Who makes the change.
            time_ms: Wall clock time in milliseconds since the Unix epoch.
        """
        self.change_id = change_id
        self.author = author
        self.time_ms = time_ms


class ApplyResult:
    """The outcome of an edit that is in effect or changes nothing."""

    __slots__ = (
        "changed_sections",
        "confirmed_by_history",
        "generation",
        "rebase_count",
    )

    def __init__(
        self,
        generation: int,
        changed_sections: list[str],
        *,
        rebase_count: int = 0,
        confirmed_by_history: bool = False,
    ) -> None:
        """Creates the result.

        Args:
            generation: Generation that the change created, or the one in
                force if nothing was to change.
            changed_sections: Names of the changed sections; empty if nothing
                was to change.
            rebase_count: How often the release was read again, because of a
                conflict or a write of unknown outcome.
            confirmed_by_history: Whether the answer to the write was lost and
                the change was found in the history.
        """
        self.generation = generation
        self.changed_sections = changed_sections
        self.rebase_count = rebase_count
        self.confirmed_by_history = confirmed_by_history


class Applier:
    """Applies one edit; rebases and retries until it is applied or refused."""

    __slots__ = (
        "_edit",
        "_expected_generation",
        "_metadata",
        "_reactor",
        "_rng",
        "_store",
        "_unknown_outcomes",
    )

    def __init__(
        self,
        store: ReleaseStore,
        edit: Edit,
        metadata: ChangeMetadata,
        *,
        reactor: Any,
        rng: random.Random,
        expected_generation: int | None = None,
    ) -> None:
        """Creates the applier of one edit.

        Args:
            store: Store of the release and the section texts.
            edit: Sections to change.
            metadata: Author, time and id of the change.
            reactor: Reactor that times the backoff between attempts.
            rng: Source of the backoff's jitter, which separates the attempts
                of concurrent writers.
            expected_generation: Generation that must be in force, if given.
        """
        self._store = store
        self._edit = edit
        self._metadata = metadata
        self._reactor = reactor
        self._rng = rng
        self._expected_generation = expected_generation
        self._unknown_outcomes = 0

    async def run(self, loaded: LoadedRelease) -> ApplyResult:
        """Applies the edit.

        Args:
            loaded: The release that the edit was built for.

        Raises:
            CommandError: If the edit was refused, or its outcome is unknown.
        """
        for name in self._edit.new_texts:
            self._edit.base_digests.setdefault(
                name, loaded.section_digests.get(name)
            )
        for rebase_count in range(_MAX_UPDATE_ATTEMPTS):
            own_change = self._find_own_change(loaded.release)
            if own_change is not None:
                return ApplyResult(
                    *own_change,
                    rebase_count=rebase_count,
                    confirmed_by_history=True,
                )
            self._check_preconditions(loaded)
            release = await self._build_release(loaded)
            if release is None:
                return ApplyResult(
                    loaded.generation, [], rebase_count=rebase_count
                )
            result = await self._store.replace_release(loaded, release)
            if result.is_ok():
                sections = sorted(release.history[0].sections)
                return ApplyResult(
                    release.generation, sections, rebase_count=rebase_count
                )
            if isinstance(result.error, OutcomeUnknown):
                self._record_unknown_outcome(result.error.message)
            elif not isinstance(result.error, Conflict):
                self._raise_update_error(result.error)
            await deferLater(
                self._reactor, self._rng.uniform(0, _MAX_BACKOFF_S)
            )
            loaded = await self._reload()
        raise CommandError(
            ExitCode.REFUSED,
            "too_many_conflicts",
            f"other changes came first {_MAX_UPDATE_ATTEMPTS} times;"
            " apply again",
        )

    def _raise_update_error(self, fault: Any) -> None:
        """Raises the error for a write that certainly had no effect.

        The outcome of the change is still unknown if that of an earlier write
        is, since the earlier write may have taken effect.
        """
        if self._unknown_outcomes:
            raise self._outcome_unknown_error(fault.message)
        raise_platform_error(fault)

    def _record_unknown_outcome(self, message: str) -> None:
        """Counts a write of unknown outcome; raises an error after too many."""
        self._unknown_outcomes += 1
        if self._unknown_outcomes >= _MAX_UNKNOWN_OUTCOMES:
            raise self._outcome_unknown_error(message)

    async def _reload(self) -> LoadedRelease:
        """Reads the release again.

        If this fails after a write of unknown outcome, it is not known
        whether the change is in effect.
        """
        try:
            return await self._store.load_release()
        except CommandError as error:
            if not self._unknown_outcomes:
                raise
            raise self._outcome_unknown_error(str(error)) from error

    def _outcome_unknown_error(self, message: str) -> CommandError:
        change_id = self._metadata.change_id
        return CommandError(
            ExitCode.UNREACHABLE,
            "outcome_unknown",
            f"change {change_id} may or may not be in effect ({message});"
            f" find out with: radishtrayctl config history"
            f" --change-id {change_id}",
            details={"change_id": change_id},
        )

    def _find_own_change(
        self, release: Release | None
    ) -> tuple[int, list[str]] | None:
        """Returns the change's generation and sections if it took effect."""
        change = release and release.find_change(self._metadata.change_id)
        if not change:
            return None
        return change.generation, sorted(change.sections)

    def _check_preconditions(self, loaded: LoadedRelease) -> None:
        """Checks the expected generation and each section's base version."""
        expected = self._expected_generation
        if expected is not None and loaded.generation != expected:
            raise CommandError(
                ExitCode.REFUSED,
                "generation",
                f"generation {loaded.generation} is in force, not {expected}",
                details={"generation": loaded.generation},
            )
        conflicts = [
            _describe_conflict(name, loaded.release)
            for name, base in sorted(self._edit.base_digests.items())
            if name in self._edit.new_texts
            and loaded.section_digests.get(name) != base
        ]
        if conflicts:
            conflict_text = "; ".join(
                f"section {conflict['section']} was changed by"
                f" {conflict['author']} in generation {conflict['generation']}"
                for conflict in conflicts
            )
            raise CommandError(
                ExitCode.REFUSED,
                "conflict",
                f"{conflict_text}. Nothing was changed; show the section again"
                " and repeat the edit",
                details={"conflicts": conflicts},
            )

    async def _build_release(self, loaded: LoadedRelease) -> Release | None:
        """Stores the new texts and returns the release that refers to them.

        Returns None if nothing would change.
        """
        current_digests = loaded.section_digests
        changes = {
            name: digest
            for name, digest in self._edit.new_digests().items()
            if digest != current_digests.get(name)
        }
        if not changes:
            return None
        await check_edited_document(self._store, current_digests, self._edit)
        await self._store.write_texts(
            (name, text)
            for name, text in self._edit.new_texts.items()
            if name in changes and text is not None
        )
        return next_release(
            loaded.release,
            changes,
            change_id=self._metadata.change_id,
            author=self._metadata.author,
            time_ms=self._metadata.time_ms,
            note=self._edit.note,
        )


async def check_edited_document(
    store: ReleaseStore, current_digests: dict[str, str], edit: Edit
) -> None:
    """Validates the whole document as it would be after an edit.

    Args:
        store: Store that the unchanged section texts are read from.
        current_digests: Digest by section name of the release in force.
        edit: Sections to change.

    Raises:
        CommandError: If there are findings; it contains all of them.
    """
    # Parses the team's files as they are where possible, so that findings name
    # a file and its line. Otherwise a finding names the section and the line in
    # the section's text.
    use_files = edit.files_match_result(current_digests)
    replaced_names = (
        {*edit.new_texts, *edit.unedited_digests}
        if use_files
        else {*edit.new_texts}
    )
    kept_digests = {
        n: d for n, d in current_digests.items() if n not in replaced_names
    }
    section_texts = await store.read_texts(kept_digests)
    if not use_files:
        for name, text in edit.new_texts.items():
            if text is not None:
                section_texts[name] = text
    sources = {f"section {name}": text for name, text in section_texts.items()}
    if use_files:
        sources.update(edit.files)
    parsed = parse_document(sources)
    if parsed.is_error():
        raise findings_error(parsed.error)


def _describe_conflict(name: str, release: Release | None) -> dict[str, Any]:
    """Returns who last changed a section, if the history contains it."""
    change = release.last_change(name) if release else None
    return {
        "section": name,
        "author": change.author if change else "an unknown author",
        "generation": change.generation if change else 0,
        "change_id": change.change_id if change else "",
    }
