"""The check of the promise about configuration, by what operators saw."""

from collections.abc import Iterator

from passlane.simulation.observer import Observations

IN_FORCE_BOUND_S = 12.0
"""An accepted change is in force everywhere within this time."""


def accepted_configuration_stays(seen: Observations) -> list[str]:
    """Check that an accepted change is everywhere in time and that no version goes back."""
    violations: list[str] = []
    newest: dict[tuple[str, str], int] = {}
    for document in sorted(seen.documents, key=lambda entry: entry.time):
        key = (document.process, document.name)
        if document.is_accepted and document.version < newest.get(key, 0):
            violations.append(
                f"{document.name}: {document.process} went back to version {document.version}"
            )
        if document.is_accepted:
            newest[key] = max(newest.get(key, 0), document.version)
    violations += _late_changes(seen)
    violations += _lost_races(seen)
    violations += _changed_answers(seen)
    return violations


def _late_changes(seen: Observations) -> Iterator[str]:
    for change in seen.changes:
        if change.accepted_at is None or change.version is None:
            continue
        limit = change.accepted_at + IN_FORCE_BOUND_S
        for document in seen.documents:
            behind = document.is_accepted and document.version < change.version
            if document.name == change.name and document.time > limit and behind:
                had = f"{document.process} had version {document.version} at {document.time:.3f}"
                accepted = f"{change.version} was accepted at {change.accepted_at:.3f}"
                yield f"{change.name}: {had}, {accepted}"


def _lost_races(seen: Observations) -> Iterator[str]:
    """Find versions that two different changes were both told to have made."""
    winners: dict[tuple[str, int], str] = {}
    for change in seen.changes:
        if change.version is None or change.status != 200:
            continue
        key = (change.name, change.version)
        if winners.setdefault(key, change.key) != change.key:
            yield f"{change.name}: version {change.version} was given to two operators"
        if change.version != change.expected_version + 1:
            yield f"{change.name}: version {change.version} follows {change.expected_version}"


def _changed_answers(seen: Observations) -> Iterator[str]:
    """Find changes that were sent again with their key and got another answer."""
    first: dict[str, int | None] = {}
    for change in seen.changes:
        if change.answered_at is None:
            continue
        version = first.setdefault(change.key, change.version)
        if version != change.version:
            yield f"{change.name}: {change.key} got version {version}, then {change.version}"
