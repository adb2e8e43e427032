"""The proposals made to a leader. Each id is appended once, and each change is checked against the newest
state, whether committed or not."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from driftstair.configuration.change_sets import ChangeSet
from driftstair.configuration.resources import ResourceKey
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import Conflict, InvalidChangeSet, RefusalReason
from driftstair.control.replication.messages import LogEntry

# Clients wait no longer; a leader without a majority has lost its lease by then.
PROPOSAL_TIMEOUT_NS = 5_000_000_000
UNCOMMITTED_ENTRIES_MAX = 4_096  # a few seconds at a thousand changes a second
LEADER_ID_PREFIX = "leader."  # of the ids of the empty change sets that leaders append


class _LastChange(NamedTuple):
    """The last uncommitted change of a resource."""

    entry_revision: int
    resource_revision: int  # 0 if the entry deletes the resource


class Proposals:
    """The proposals of one leadership. `uncommitted` are the entries that the log holds after the committed
    ones."""

    def __init__(self, state: ConfigurationState, uncommitted: Iterable[LogEntry]) -> None:
        self._state = state
        self._uncommitted_revisions: dict[str, int] = {}  # of uncommitted change sets, by id
        self._last_changes: dict[ResourceKey, _LastChange] = {}  # made by uncommitted entries
        # By id of a change set whose proposer waits for an answer; earliest first.
        self._deadlines_ns: dict[str, int] = {}
        for entry in uncommitted:
            self.add(entry)

    def add(self, entry: LogEntry) -> None:
        """Records an entry that was appended to the log."""
        self._uncommitted_revisions[entry.change_set.id] = entry.revision
        for change in entry.change_set.changes:
            self._last_changes[change.key] = _LastChange(
                entry.revision, 0 if change.deletes else entry.revision
            )

    def revision_of(self, change_set_id: str) -> int | None:
        """The revision of a change set that is in the log; None if it is not."""
        committed = self._state.revision_of(change_set_id)
        return self._uncommitted_revisions.get(change_set_id) if committed is None else committed

    def refusal_reason(self, change_set: ChangeSet) -> RefusalReason | None:
        """Why a change set that is not in the log can't be appended; None if it can."""
        if change_set.id.startswith(LEADER_ID_PREFIX):
            return InvalidChangeSet(f"$.id: {LEADER_ID_PREFIX}... are the leaders' own; another id would do")
        for change in change_set.changes:
            revision = self._last_revision(change.key)
            if change.expected_revision is not None and change.expected_revision != revision:
                return Conflict(change.key, revision)
        return None

    def _last_revision(self, key: ResourceKey) -> int:
        """The revision of the newest change of a resource, committed or not; 0 if it does not exist."""
        change = self._last_changes.get(key)
        if change is not None and change.entry_revision > self._state.revision:
            return change.resource_revision
        resource = self._state.resource(key)
        return 0 if resource is None else resource.revision

    @property
    def is_full(self) -> bool:
        """Whether the log holds as many uncommitted entries as allowed."""
        return len(self._uncommitted_revisions) >= UNCOMMITTED_ENTRIES_MAX

    def register_waiting(self, change_set_id: str, now_ns: int) -> None:
        """Registers that the proposer of this change set waits for an answer."""
        self._deadlines_ns.setdefault(change_set_id, now_ns + PROPOSAL_TIMEOUT_NS)

    def on_committed(self, change_set_id: str, last_revision: int) -> bool:
        """Removes a committed change set; returns whether its proposer waits for an answer.

        `last_revision` is that of the last entry in the log.
        """
        self._uncommitted_revisions.pop(change_set_id, None)
        if self._state.revision == last_revision:
            self._last_changes.clear()
        return self._deadlines_ns.pop(change_set_id, None) is not None

    def take_expired(self, now_ns: int) -> list[str]:
        """Removes and returns the ids whose proposers have waited too long. They may be proposed again."""
        change_set_ids = []
        for id_, deadline_ns in self._deadlines_ns.items():
            if deadline_ns > now_ns:
                break
            change_set_ids.append(id_)
        for id_ in change_set_ids:
            del self._deadlines_ns[id_]
        return change_set_ids

    def take_all_waiting(self) -> list[str]:
        """Removes and returns the ids of all waiting proposers, because this leadership is over."""
        change_set_ids, self._deadlines_ns = list(self._deadlines_ns), {}
        return change_set_ids

    @property
    def next_deadline_ns(self) -> int | None:
        """When the next waiting proposal expires; None if none is waiting."""
        return next(iter(self._deadlines_ns.values()), None)
