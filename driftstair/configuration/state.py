"""The state that a log of change sets adds up to: revision, digest, resources and the ids of recent sets.

Control servers and nodes hold one each. Two states of one revision are equal if their digests are.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.resources import Resource, ResourceKey, resource_hash

RECENT_IDS_MAX = 4_096  # change sets that a repeated put is recognised by: over two days of 1,800 a day
DIGEST_MODULUS = 1 << 64


class RevisionGapError(Exception):
    """A change set that is not the next one: one was left out, or it goes back."""

    def __init__(self, expected: int, given: int) -> None:
        super().__init__(f"revision {given} came where {expected} is the next")
        self.expected = expected
        self.given = given


class _Stored(NamedTuple):
    revision: int
    content: bytes


class ConfigurationState:
    """Resources by key as of one revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.digest = 0  # the sum of all resources' hashes modulo 2**64
        self._stored: dict[ResourceKey, _Stored] = {}
        self._order: list[ResourceKey] | None = []  # None: to be sorted when next asked for
        self._recent_ids: dict[str, int] = {}  # the oldest first

    @staticmethod
    def restore(
        revision: int, resources: Iterable[Resource], recent_ids: Iterable[tuple[str, int]] = ()
    ) -> ConfigurationState:
        """The state of a snapshot. Of two resources with one key the later one holds."""
        state = ConfigurationState()
        for resource in resources:
            state._put(resource.key, resource.revision, bytes(resource.content))
        for change_set_id, its_revision in recent_ids:
            state._remember(change_set_id, its_revision)
        state.revision = revision
        return state

    def apply(self, logged: LoggedChangeSet) -> None:
        """Brings the next change set into the state: all of it, or nothing with a RevisionGapError."""
        if logged.revision != self.revision + 1:
            raise RevisionGapError(self.revision + 1, logged.revision)
        for change in logged.change_set.changes:
            if change.deletes:
                self._delete(change.key)
            else:
                self._put(change.key, logged.revision, bytes(change.content))
        self._remember(logged.change_set.id, logged.revision)
        self.revision = logged.revision

    def first_conflict(self, change_set: ChangeSet) -> Change | None:
        """The first change whose expected revision is not the one that changed its resource last."""
        for change in change_set.changes:
            stored = self._stored.get(change.key)
            revision = 0 if stored is None else stored.revision
            if change.expected_revision is not None and change.expected_revision != revision:
                return change
        return None

    def content(self, key: ResourceKey) -> bytes | None:
        """The canonical JSON text of a resource."""
        stored = self._stored.get(key)
        return None if stored is None else stored.content

    def resource(self, key: ResourceKey) -> Resource | None:
        stored = self._stored.get(key)
        if stored is None:
            return None
        return Resource(key.kind, key.name, stored.revision, msgspec.Raw(stored.content))

    def resources(self, after: ResourceKey | None = None) -> Iterator[Resource]:
        """All resources in the order of their keys, or those behind `after`. A change in between ends what
        the iterator promises: begin anew behind the last key that came."""
        order = self._sorted_keys()
        start = 0 if after is None else bisect_right(order, after.sort_key(), key=ResourceKey.sort_key)
        for key in order[start:]:
            resource = self.resource(key)
            if resource is not None:
                yield resource

    def __len__(self) -> int:
        return len(self._stored)

    def revision_of(self, change_set_id: str) -> int | None:
        """Where one of the last RECENT_IDS_MAX change sets stands in the log."""
        return self._recent_ids.get(change_set_id)

    def recent_ids(self) -> tuple[tuple[str, int], ...]:
        """Ids and revisions of recent change sets, the oldest first."""
        return tuple(self._recent_ids.items())

    def _put(self, key: ResourceKey, revision: int, content: bytes) -> None:
        old = self._stored.get(key)
        self._add_to_digest(resource_hash(key, revision, content))
        if old is None:
            self._order = None
        else:
            self._add_to_digest(-resource_hash(key, old.revision, old.content))
        self._stored[key] = _Stored(revision, content)

    def _delete(self, key: ResourceKey) -> None:
        old = self._stored.pop(key, None)
        if old is not None:
            self._order = None
            self._add_to_digest(-resource_hash(key, old.revision, old.content))

    def _add_to_digest(self, difference: int) -> None:
        self.digest = (self.digest + difference) % DIGEST_MODULUS

    def _sorted_keys(self) -> list[ResourceKey]:
        if self._order is None:
            self._order = sorted(self._stored, key=ResourceKey.sort_key)
        return self._order

    def _remember(self, change_set_id: str, revision: int) -> None:
        self._recent_ids.pop(change_set_id, None)
        self._recent_ids[change_set_id] = revision
        if len(self._recent_ids) > RECENT_IDS_MAX:
            del self._recent_ids[next(iter(self._recent_ids))]
