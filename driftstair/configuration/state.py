"""The state that a log of change sets adds up to: revision, digest, resources and the ids of recent sets.

Control servers and nodes hold one each. Two states of one revision are equal if their digests are.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.content_codec import pack
from driftstair.configuration.resource_table import REVISION_MAX, ResourceTable, StoredResource
from driftstair.configuration.resources import Resource, ResourceKey, ResourceKind, resource_hash

RECENT_IDS_MAX = 4_096  # change sets that a repeated put is recognised by: over two days of 1,800 a day
DIGEST_MODULUS = 1 << 64
STEP_RESOURCES = 32  # taken in between two steps of `applying`: some 0.5 ms
KINDS_IN_ORDER = sorted(ResourceKind, key=lambda kind: kind.value)


class RevisionGapError(Exception):
    """A change set that is not the next one: one was left out, or it goes back."""

    def __init__(self, expected: int, given: int) -> None:
        super().__init__(f"revision {given} came where {expected} is the next")
        self.expected = expected
        self.given = given


class ConfigurationState:
    """Resources by key as of one revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.digest = 0  # the sum of all resources' hashes modulo 2**64
        self._tables = {kind: ResourceTable() for kind in KINDS_IN_ORDER}
        self._recent_ids: dict[str, int] = {}  # the oldest first
        # In force already, but not yet in the tables; None: deleted.
        self._unsettled: dict[ResourceKey, StoredResource | None] = {}

    @staticmethod
    def restore(
        revision: int, resources: Iterable[Resource], recent_ids: Iterable[tuple[str, int]] = ()
    ) -> ConfigurationState:
        """The state of a snapshot. Of two resources with one key the later one holds. Raises ValueError for
        a revision that no log can have."""
        state = ConfigurationState()
        state.load(resources)
        state.finish_restore(revision, recent_ids)
        return state

    def load(self, resources: Iterable[Resource]) -> None:
        """Some resources of a snapshot, for whoever restores a state in small steps: 5 us each in the order
        of keys. A state that is being loaded is not yet one of any revision. Raises ValueError."""
        for resource in resources:
            if not 0 <= resource.revision <= REVISION_MAX:
                raise ValueError(f"{resource.key}: {resource.revision} is no revision")
            content = bytes(resource.content)  # a copy: the Raw would keep its whole document alive
            old = self._get(resource.key)
            if old is not None:
                self._add_to_digest(-resource_hash(resource.key, old.revision, old.content))
            self._add_to_digest(resource_hash(resource.key, resource.revision, content))
            stored = StoredResource(resource.revision, pack(content))
            self._tables[resource.kind].put(resource.name, stored)

    def unload(self, key: ResourceKey) -> None:
        """Takes a resource out as `load` brings one in: the state's revision stays."""
        for _ in self.settling():
            pass
        self._add_to_digest(self._digest_difference(key, 0, None))
        self._tables[key.kind].delete(key.name)

    def releasing(self) -> Iterator[None]:
        """Gives its memory back in steps: freeing a great state at once takes some 20 ms."""
        self._unsettled.clear()
        for table in self._tables.values():
            yield from table.releasing()

    def finish_restore(self, revision: int, recent_ids: Iterable[tuple[str, int]] = ()) -> None:
        """All resources are loaded. Raises ValueError."""
        if not 0 <= revision <= REVISION_MAX:
            raise ValueError(f"{revision} is no revision")
        for change_set_id, its_revision in recent_ids:
            self._remember(change_set_id, its_revision)
        self.revision = revision

    def apply(self, logged: LoggedChangeSet) -> None:
        """Brings the next change set into the state: all of it, or nothing with a RevisionGapError."""
        for _ in self.applying(logged):
            pass

    def applying(self, logged: LoggedChangeSet) -> Iterator[None]:
        """`apply` in steps of under a millisecond. At each step the state is the one before the change set
        or, from one step on, the one after it. One that is left halfway is as if it had not begun."""
        if logged.revision != self.revision + 1:
            raise RevisionGapError(self.revision + 1, logged.revision)
        yield from self.settling()
        staged: dict[ResourceKey, StoredResource | None] = {}
        difference = 0
        for number, change in enumerate(logged.change_set.changes, 1):
            content = None if change.deletes else bytes(change.content)
            difference += self._digest_difference(change.key, logged.revision, content)
            staged[change.key] = None if content is None else StoredResource(logged.revision, pack(content))
            if number % STEP_RESOURCES == 0:
                yield
        self._unsettled = staged
        self._add_to_digest(difference)
        self._remember(logged.change_set.id, logged.revision)
        self.revision = logged.revision
        yield
        yield from self.settling()

    def settling(self) -> Iterator[None]:
        """Takes what is in force into the tables, in steps."""
        number = 0
        while self._unsettled:
            key, stored = next(reversed(self._unsettled.items()))
            if stored is None:
                self._tables[key.kind].delete(key.name)
            else:
                self._tables[key.kind].put(key.name, stored)
            del self._unsettled[key]
            number += 1
            if number % STEP_RESOURCES == 0:
                yield

    def first_conflict(self, change_set: ChangeSet) -> Change | None:
        """The first change whose expected revision is not the one that changed its resource last."""
        for change in change_set.changes:
            stored = self._get(change.key)
            revision = 0 if stored is None else stored.revision
            if change.expected_revision is not None and change.expected_revision != revision:
                return change
        return None

    def content(self, key: ResourceKey) -> bytes | None:
        """The canonical JSON text of a resource."""
        stored = self._get(key)
        return None if stored is None else stored.content

    def resource(self, key: ResourceKey) -> Resource | None:
        stored = self._get(key)
        return None if stored is None else _resource(key.kind, key.name, stored)

    def resources(self, after: ResourceKey | None = None) -> Iterator[Resource]:
        """All resources in the order of their keys, or those behind `after`. What changes meanwhile is in
        it or not; nothing comes twice."""
        for _ in self.settling():
            pass
        for kind in KINDS_IN_ORDER:
            if after is not None and kind.value < after.kind.value:
                continue
            name = after.name if after is not None and kind is after.kind else None
            for row in self._tables[kind].after(name):
                yield _resource(kind, row.name, row.stored)

    def count(self, kind: ResourceKind) -> int:
        """How many resources of one kind there are."""
        for _ in self.settling():
            pass
        return len(self._tables[kind])

    def __len__(self) -> int:
        return sum(self.count(kind) for kind in KINDS_IN_ORDER)

    def revision_of(self, change_set_id: str) -> int | None:
        """Where one of the last RECENT_IDS_MAX change sets stands in the log."""
        return self._recent_ids.get(change_set_id)

    def recent_ids(self) -> tuple[tuple[str, int], ...]:
        """Ids and revisions of recent change sets, the oldest first."""
        return tuple(self._recent_ids.items())

    def _get(self, key: ResourceKey) -> StoredResource | None:
        if self._unsettled and key in self._unsettled:
            return self._unsettled[key]
        return self._tables[key.kind].get(key.name)

    def _digest_difference(self, key: ResourceKey, revision: int, content: bytes | None) -> int:
        old = self._get(key)
        before = 0 if old is None else resource_hash(key, old.revision, old.content)
        after = 0 if content is None else resource_hash(key, revision, content)
        return after - before

    def _add_to_digest(self, difference: int) -> None:
        self.digest = (self.digest + difference) % DIGEST_MODULUS

    def _remember(self, change_set_id: str, revision: int) -> None:
        self._recent_ids.pop(change_set_id, None)
        self._recent_ids[change_set_id] = revision
        if len(self._recent_ids) > RECENT_IDS_MAX:
            del self._recent_ids[next(iter(self._recent_ids))]


def _resource(kind: ResourceKind, name: str, stored: StoredResource) -> Resource:
    return Resource(kind, name, stored.revision, msgspec.Raw(stored.content))
