"""The state that results from a log of change sets: revision, digest, resources, and the ids of recent change
sets.

Each control server and each node holds one. Two states of the same revision are equal if their digests are.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.content_codec import pack
from driftstair.configuration.resource_table import REVISION_MAX, ResourceTable, StoredResource
from driftstair.configuration.resources import Resource, ResourceKey, ResourceKind, resource_hash

# Ids by which a repeated put is recognised. At 1,800 change sets a day they cover over two days.
RECENT_IDS_MAX = 4_096
DIGEST_MODULUS = 1 << 64
STEP_RESOURCES_MAX = 32  # resources written between two steps of `apply_in_steps`, in about 0.5 ms
KINDS_IN_ORDER = sorted(ResourceKind, key=lambda kind: kind.value)


class RevisionGapError(Exception):
    """A change set that is not the next one: change sets between are missing, or it was applied before."""

    def __init__(self, expected: int, received: int) -> None:
        super().__init__(f"revision {received} came where {expected} is the next")
        self.expected = expected
        self.received = received


class ConfigurationState:
    """The resources by key as of one revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.digest = 0  # the sum of the hashes of all resources modulo 2**64
        self._tables = {kind: ResourceTable() for kind in KINDS_IN_ORDER}
        self._recent_ids: dict[str, int] = {}  # revisions by id, the oldest first
        # Resources that are in force but not yet written to the tables. None: deleted.
        self._pending: dict[ResourceKey, StoredResource | None] = {}

    @staticmethod
    def restore(
        revision: int, resources: Iterable[Resource], recent_ids: Iterable[tuple[str, int]] = ()
    ) -> ConfigurationState:
        """Builds the state of a snapshot. Of two resources with the same key the later one is used. Raises
        ValueError for a revision that no log can have."""
        state = ConfigurationState()
        state.load(resources)
        state.finish_restore(revision, recent_ids)
        return state

    def load(self, resources: Iterable[Resource]) -> None:
        """Adds some resources of a snapshot, so that a state can be restored in small steps. Each takes 5 us
        if they come in the order of their keys. The state has no valid revision until `finish_restore`.
        Raises ValueError."""
        for resource in resources:
            if not 0 <= resource.revision <= REVISION_MAX:
                raise ValueError(f"{resource.key}: {resource.revision} is no revision")
            # A copy, because the Raw would keep its whole document in memory.
            content = bytes(resource.content)
            previous = self._get_stored(resource.key)
            if previous is not None:
                self._add_to_digest(-resource_hash(resource.key, previous.revision, previous.content))
            self._add_to_digest(resource_hash(resource.key, resource.revision, content))
            stored = StoredResource(resource.revision, pack(content))
            self._tables[resource.kind].put(resource.name, stored)

    def unload(self, key: ResourceKey) -> None:
        """Removes a resource without changing the revision, as the inverse of `load`."""
        for _ in self.flush_in_steps():
            pass
        self._add_to_digest(self._digest_difference(key, 0, None))
        self._tables[key.kind].delete(key.name)

    def release_in_steps(self) -> Iterator[None]:
        """Empties the tables and frees their memory in steps: freeing a large state at once takes about 20
        ms."""
        self._pending.clear()
        for table in self._tables.values():
            yield from table.release_in_steps()

    def finish_restore(self, revision: int, recent_ids: Iterable[tuple[str, int]] = ()) -> None:
        """Sets the revision and the recent ids after all resources were loaded. Raises ValueError."""
        if not 0 <= revision <= REVISION_MAX:
            raise ValueError(f"{revision} is no revision")
        for change_set_id, change_set_revision in recent_ids:
            self._record_id(change_set_id, change_set_revision)
        self.revision = revision

    def apply(self, logged: LoggedChangeSet) -> None:
        """Applies the next change set completely, or raises RevisionGapError and changes nothing."""
        for _ in self.apply_in_steps(logged):
            pass

    def apply_in_steps(self, logged: LoggedChangeSet) -> Iterator[None]:
        """`apply` in steps of under a millisecond. After each step the state is either the one before the
        change set or the one after it, and it switches once. If the generator is abandoned, the state remains
        one of these two."""
        if logged.revision != self.revision + 1:
            raise RevisionGapError(self.revision + 1, logged.revision)
        yield from self.flush_in_steps()
        staged: dict[ResourceKey, StoredResource | None] = {}
        difference = 0
        for number, change in enumerate(logged.change_set.changes, 1):
            content = None if change.deletes else bytes(change.content)
            difference += self._digest_difference(change.key, logged.revision, content)
            staged[change.key] = None if content is None else StoredResource(logged.revision, pack(content))
            if number % STEP_RESOURCES_MAX == 0:
                yield
        self._pending = staged
        self._add_to_digest(difference)
        self._record_id(logged.change_set.id, logged.revision)
        self.revision = logged.revision
        yield
        yield from self.flush_in_steps()

    def flush_in_steps(self) -> Iterator[None]:
        """Writes the pending resources into the tables, in steps."""
        number = 0
        while self._pending:
            key, stored = next(reversed(self._pending.items()))
            if stored is None:
                self._tables[key.kind].delete(key.name)
            else:
                self._tables[key.kind].put(key.name, stored)
            del self._pending[key]
            number += 1
            if number % STEP_RESOURCES_MAX == 0:
                yield

    def first_conflict(self, change_set: ChangeSet) -> Change | None:
        """Returns the first change whose expected revision is not the one that changed its resource last."""
        for change in change_set.changes:
            stored = self._get_stored(change.key)
            revision = 0 if stored is None else stored.revision
            if change.expected_revision is not None and change.expected_revision != revision:
                return change
        return None

    def content(self, key: ResourceKey) -> bytes | None:
        """Returns the canonical JSON text of a resource, if there is one."""
        stored = self._get_stored(key)
        return None if stored is None else stored.content

    def resource(self, key: ResourceKey) -> Resource | None:
        """Returns a resource, if there is one."""
        stored = self._get_stored(key)
        return None if stored is None else _resource(key.kind, key.name, stored)

    def resources(self, after: ResourceKey | None = None) -> Iterator[Resource]:
        """Iterates over all resources in the order of their keys, or over those behind `after`. A change made
        during the iteration may or may not be seen. No resource comes twice."""
        for _ in self.flush_in_steps():
            pass
        for kind in KINDS_IN_ORDER:
            if after is not None and kind.value < after.kind.value:
                continue
            after_name = after.name if after is not None and kind is after.kind else None
            for row in self._tables[kind].iterate_after(after_name):
                yield _resource(kind, row.name, row.stored)

    def count(self, kind: ResourceKind) -> int:
        """Returns the number of resources of one kind."""
        for _ in self.flush_in_steps():
            pass
        return len(self._tables[kind])

    def __len__(self) -> int:
        return sum(self.count(kind) for kind in KINDS_IN_ORDER)

    def revision_of(self, change_set_id: str) -> int | None:
        """Returns the revision of a change set, if it is one of the last RECENT_IDS_MAX."""
        return self._recent_ids.get(change_set_id)

    def recent_ids(self) -> tuple[tuple[str, int], ...]:
        """Returns the ids and revisions of recent change sets, the oldest first."""
        return tuple(self._recent_ids.items())

    def _get_stored(self, key: ResourceKey) -> StoredResource | None:
        if self._pending and key in self._pending:
            return self._pending[key]
        return self._tables[key.kind].get(key.name)

    def _digest_difference(self, key: ResourceKey, revision: int, content: bytes | None) -> int:
        previous = self._get_stored(key)
        before = 0 if previous is None else resource_hash(key, previous.revision, previous.content)
        after = 0 if content is None else resource_hash(key, revision, content)
        return after - before

    def _add_to_digest(self, difference: int) -> None:
        self.digest = (self.digest + difference) % DIGEST_MODULUS

    def _record_id(self, change_set_id: str, revision: int) -> None:
        self._recent_ids.pop(change_set_id, None)
        self._recent_ids[change_set_id] = revision
        if len(self._recent_ids) > RECENT_IDS_MAX:
            del self._recent_ids[next(iter(self._recent_ids))]


def _resource(kind: ResourceKind, name: str, stored: StoredResource) -> Resource:
    return Resource(kind, name, stored.revision, msgspec.Raw(stored.content))
