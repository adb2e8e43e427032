"""Lines of a watch, checked before anything of them is applied. Pure."""

from __future__ import annotations

from collections.abc import Generator

from driftstair.configuration.change_sets import (
    CHANGES_MAX,
    Change,
    ChangeSet,
    ChangeSetError,
    LoggedChangeSet,
    normalize_change_set,
)
from driftstair.configuration.messages import Changes, MessageError, SnapshotPart
from driftstair.configuration.resources import CONTENT_BYTES_MAX, NAME_BYTES_MAX, Resource, ResourceKey
from driftstair.configuration.state import ConfigurationState
from driftstair.node_configuration.client import SnapshotCursor


def check_order(changes: Changes, revision: int) -> None:
    """Whether these are the next change sets behind a revision, without gaps. Raises MessageError."""
    if changes.base_revision != revision:
        raise MessageError(f"changes after revision {changes.base_revision} where {revision} is held")
    for offset, logged in enumerate(changes.change_sets, 1):
        if logged.revision != revision + offset:
            raise MessageError(f"revision {logged.revision} came where {revision + offset} is the next")


def checking_entry(logged: LoggedChangeSet) -> Generator[None, None, LoggedChangeSet]:
    """Returns it with canonical contents; a change a step. Raises MessageError."""
    given = logged.change_set
    changes: dict[ResourceKey, Change] = {}
    try:
        normalize_change_set(ChangeSet(given.id))
        for change in given.changes:
            changes[change.key] = normalize_change_set(ChangeSet(given.id, (change,))).changes[0]
            yield
    except ChangeSetError as problem:
        raise MessageError(f"revision {logged.revision}: {problem}") from None
    if len(changes) < len(given.changes) or len(changes) > CHANGES_MAX:
        raise MessageError(f"revision {logged.revision}: a resource is changed twice, or too many are")
    return LoggedChangeSet(logged.revision, ChangeSet(given.id, tuple(changes.values()), given.created_ms))


class SnapshotCollector:
    """A snapshot on its way: parts in order, and the changes after them until it is one state.

    Parts are at least as new as the snapshot's revision, so what they make is no state of any revision before
    all changes up to `complete_at` are in it.
    """

    def __init__(self, revision: int) -> None:
        self.state = ConfigurationState()
        self.revision = revision
        self.after: ResourceKey | None = None  # the last key that has come
        self.has_all_parts = False
        self.complete_at = revision
        self.resources = 0

    @property
    def is_complete(self) -> bool:
        return self.has_all_parts and self.state.revision >= self.complete_at

    def cursor(self) -> SnapshotCursor | None:
        """Where to go on after a cut; None: nothing has come, or all parts."""
        if self.has_all_parts or self.after is None:
            return None
        return SnapshotCursor(self.revision, self.after)

    def check_part(self, part: SnapshotPart) -> None:
        """Whether a part goes on where the last one ended. Raises MessageError."""
        if self.has_all_parts or part.revision != self.revision:
            raise MessageError(f"a part of snapshot {part.revision} behind one of {self.revision}")
        after = self.after
        for resource in part.resources:
            key = resource.key
            _check_resource(resource)
            if after is not None and key.sort_key() <= after.sort_key():
                raise MessageError(f"resource {key} came behind {after}")
            after = key

    def load(self, resource: Resource) -> None:
        self.state.load((resource,))
        self.resources += 1
        self.complete_at = max(self.complete_at, resource.revision)

    def end(self) -> None:
        """The last part is in."""
        self.has_all_parts = True
        self.state.finish_restore(self.revision)


def _check_resource(resource: Resource) -> None:
    """Raises MessageError."""
    size, content = len(resource.name.encode()), memoryview(resource.content)
    if not 0 < size <= NAME_BYTES_MAX or not resource.name.isprintable():
        raise MessageError(f"a resource's name wants 1 to {NAME_BYTES_MAX} bytes of printable text")
    if len(content) > CONTENT_BYTES_MAX or bytes(content[:1]) != b"{":
        raise MessageError(f"{resource.key}: its content is no object of {CONTENT_BYTES_MAX:,} bytes at most")
    if resource.revision < 1:
        raise MessageError(f"{resource.key}: revision {resource.revision}")
