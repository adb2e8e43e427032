"""Checks the lines of a watch before anything of them is applied. Does no I/O."""

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
    """Checks that these change sets follow a revision without gaps. Raises MessageError."""
    if changes.base_revision != revision:
        raise MessageError(f"changes after revision {changes.base_revision} where {revision} is held")
    for offset, logged in enumerate(changes.change_sets, 1):
        if logged.revision != revision + offset:
            raise MessageError(f"revision {logged.revision} came where {revision + offset} is the next")


def check_change_set(logged: LoggedChangeSet) -> Generator[None, None, LoggedChangeSet]:
    """Checks a change set, one change a step; returns it with canonical contents. Raises MessageError."""
    received = logged.change_set
    changes: dict[ResourceKey, Change] = {}
    try:
        normalize_change_set(ChangeSet(received.id))
        for change in received.changes:
            changes[change.key] = normalize_change_set(ChangeSet(received.id, (change,))).changes[0]
            yield
    except ChangeSetError as error:
        raise MessageError(f"revision {logged.revision}: {error}") from None
    if len(changes) < len(received.changes) or len(changes) > CHANGES_MAX:
        raise MessageError(f"revision {logged.revision}: a resource is changed twice, or too many are")
    return LoggedChangeSet(
        logged.revision, ChangeSet(received.id, tuple(changes.values()), received.created_ms)
    )  # fmt: skip


class SnapshotCollector:
    """Collects the parts of a snapshot in order, then the changes after it, until they make one state.

    Resources of a part may be newer than the snapshot's revision. The collected resources are therefore not
    the state of any revision until all changes up to `complete_revision` have been applied.
    """

    def __init__(self, revision: int) -> None:
        self.state = ConfigurationState()
        self.revision = revision
        self.last_key: ResourceKey | None = None  # of the last resource received
        self.has_all_parts = False
        self.complete_revision = revision
        self.resource_count = 0

    @property
    def is_complete(self) -> bool:
        """Whether `state` is the whole state of its revision."""
        return self.has_all_parts and self.state.revision >= self.complete_revision

    def cursor(self) -> SnapshotCursor | None:
        """Where an interrupted snapshot continues; None if no part or all parts have been received."""
        if self.has_all_parts or self.last_key is None:
            return None
        return SnapshotCursor(self.revision, self.last_key)

    def check_part(self, part: SnapshotPart) -> None:
        """Checks that a part continues where the last one ended. Raises MessageError."""
        if self.has_all_parts or part.revision != self.revision:
            raise MessageError(f"a part of snapshot {part.revision} behind one of {self.revision}")
        last_key = self.last_key
        for resource in part.resources:
            key = resource.key
            _check_resource(resource)
            if last_key is not None and key.sort_key() <= last_key.sort_key():
                raise MessageError(f"resource {key} came behind {last_key}")
            last_key = key

    def load(self, resource: Resource) -> None:
        """Adds one resource of a checked part."""
        self.state.load((resource,))
        self.resource_count += 1
        self.complete_revision = max(self.complete_revision, resource.revision)

    def finish(self) -> None:
        """All parts have been loaded."""
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
        raise MessageError(f"{resource.key}: invalid revision {resource.revision}")
