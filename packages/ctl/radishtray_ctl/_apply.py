"""Puts an edit into effect by one conditional update of the release."""

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

_MAX_UPDATES: Final = 50  # Bounds the rebases of one change.
_MAX_UNKNOWN: Final = 5
_MAX_BACKOFF_S: Final = 0.05


class ChangeIdentity:
    """Who makes a change, and how it is recognised again."""

    __slots__ = ("author", "change_id", "time_ms")

    def __init__(self, change_id: str, author: str, time_ms: int) -> None:
        """Holds the parts.

        Args:
            change_id: Unique id of the change.
            author: Who makes it.
            time_ms: Wall time in milliseconds since the epoch.
        """
        self.change_id = change_id
        self.author = author
        self.time_ms = time_ms


class Applied:
    """A change that is in effect, or was not needed."""

    __slots__ = ("generation", "rebased", "sections", "settled")

    def __init__(
        self,
        generation: int,
        sections: list[str],
        *,
        rebased: int = 0,
        settled: bool = False,
    ) -> None:
        """Describes the result.

        Args:
            generation: Generation that the change made, or the one in force.
            sections: Changed sections; empty if nothing was to change.
            rebased: How often other changes came first.
            settled: Whether an answer was lost and the history decided.
        """
        self.generation = generation
        self.sections = sections
        self.rebased = rebased
        self.settled = settled


class Applier:
    """Applies one edit; rebases it until it is in effect or refused."""

    __slots__ = (
        "_edit",
        "_expected_generation",
        "_identity",
        "_reactor",
        "_rng",
        "_store",
        "_unknown",
    )

    def __init__(
        self,
        store: ReleaseStore,
        edit: Edit,
        identity: ChangeIdentity,
        *,
        reactor: Any,
        rng: random.Random,
        expected_generation: int | None = None,
    ) -> None:
        """Prepares the change.

        Args:
            store: Objects of the configuration.
            edit: What to change.
            identity: Who changes it.
            reactor: For the pause before another attempt.
            rng: Spreads the attempts of racing writers.
            expected_generation: Generation that must be in force, if given.
        """
        self._store = store
        self._edit = edit
        self._identity = identity
        self._reactor = reactor
        self._rng = rng
        self._expected_generation = expected_generation
        self._unknown = 0

    async def run(self, loaded: LoadedRelease) -> Applied:
        """Puts the edit into effect.

        Args:
            loaded: The release that the edit was built for.

        Raises:
            CommandError: If it was refused, or its outcome is unknown.
        """
        for name in self._edit.texts:
            self._edit.bases.setdefault(name, loaded.sections.get(name))
        for rebased in range(_MAX_UPDATES):
            done = self._find(loaded.release)
            if done is not None:
                return Applied(*done, rebased=rebased, settled=True)
            self._check_base(loaded)
            release = await self._compose(loaded)
            if release is None:
                return Applied(loaded.generation, [], rebased=rebased)
            result = await self._store.replace(loaded, release)
            if result.is_ok():
                sections = sorted(release.history[0].sections)
                return Applied(release.generation, sections, rebased=rebased)
            if isinstance(result.error, OutcomeUnknown):
                self._count_unknown(result.error.message)
            elif not isinstance(result.error, Conflict):
                self._raise_without_effect(result.error)
            await deferLater(
                self._reactor, self._rng.uniform(0, _MAX_BACKOFF_S)
            )
            loaded = await self._reload()
        raise CommandError(
            ExitCode.REFUSED,
            "too_many_conflicts",
            f"other changes came first {_MAX_UPDATES} times; apply again",
        )

    def _raise_without_effect(self, fault: Any) -> None:
        """An earlier write of unknown outcome may still be in effect."""
        if self._unknown:
            raise self._unknown_error(fault.message)
        raise_platform_error(fault)

    def _count_unknown(self, message: str) -> None:
        self._unknown += 1
        if self._unknown >= _MAX_UNKNOWN:
            raise self._unknown_error(message)

    async def _reload(self) -> LoadedRelease:
        try:
            return await self._store.load()
        except CommandError as error:
            if not self._unknown:
                raise
            raise self._unknown_error(str(error)) from error

    def _unknown_error(self, message: str) -> CommandError:
        change_id = self._identity.change_id
        return CommandError(
            ExitCode.UNREACHABLE,
            "outcome_unknown",
            f"change {change_id} may or may not be in effect ({message});"
            f" find out with: radishtrayctl config history"
            f" --change-id {change_id}",
            details={"change_id": change_id},
        )

    def _find(self, release: Release | None) -> tuple[int, list[str]] | None:
        change = release and release.find_change(self._identity.change_id)
        if not change:
            return None
        return change.generation, sorted(change.sections)

    def _check_base(self, loaded: LoadedRelease) -> None:
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
            for name, base in sorted(self._edit.bases.items())
            if name in self._edit.texts and loaded.sections.get(name) != base
        ]
        if conflicts:
            lines = "; ".join(
                f"section {conflict['section']} was changed by"
                f" {conflict['author']} in generation {conflict['generation']}"
                for conflict in conflicts
            )
            raise CommandError(
                ExitCode.REFUSED,
                "conflict",
                f"{lines}. Nothing was changed; show the section again and"
                " repeat the edit",
                details={"conflicts": conflicts},
            )

    async def _compose(self, loaded: LoadedRelease) -> Release | None:
        """Returns the next release, or None if nothing would change."""
        current = loaded.sections
        changes = {
            name: digest
            for name, digest in self._edit.digests().items()
            if digest != current.get(name)
        }
        if not changes:
            return None
        await check_whole(self._store, current, self._edit)
        await self._store.put_texts(
            (name, text)
            for name, text in self._edit.texts.items()
            if name in changes and text is not None
        )
        return next_release(
            loaded.release,
            changes,
            change_id=self._identity.change_id,
            author=self._identity.author,
            time_ms=self._identity.time_ms,
            note=self._edit.note,
        )


async def check_whole(
    store: ReleaseStore, current: dict[str, str], edit: Edit
) -> None:
    """Validates the whole document as it would be after an edit.

    Args:
        store: Objects of the configuration.
        current: Digest by section name in force.
        edit: What to change.

    Raises:
        CommandError: With all findings.
    """
    # Findings in the team's own files have the places of those files.
    use_files = edit.files_are_current(current)
    replaced = {*edit.texts, *edit.carried} if use_files else {*edit.texts}
    kept = {n: d for n, d in current.items() if n not in replaced}
    stored = await store.texts(kept)
    if not use_files:
        for name, text in edit.texts.items():
            if text is not None:
                stored[name] = text
    sources = {f"section {name}": text for name, text in stored.items()}
    if use_files:
        sources.update(edit.files)
    parsed = parse_document(sources)
    if parsed.is_error():
        raise findings_error(parsed.error)


def _describe_conflict(name: str, release: Release | None) -> dict[str, Any]:
    change = release.last_change(name) if release else None
    return {
        "section": name,
        "author": change.author if change else "an unknown author",
        "generation": change.generation if change else 0,
        "change_id": change.change_id if change else "",
    }
