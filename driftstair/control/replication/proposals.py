"""What clients proposed to a leader: each id once, and against the newest state, committed or not."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from driftstair.configuration.change_sets import ChangeSet
from driftstair.configuration.resources import ResourceKey
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import Conflict, Invalid, Reason
from driftstair.control.replication.messages import LogEntry

PROPOSAL_TIMEOUT_NS = 5_000_000_000  # a client waits no longer; a lease without a majority is over by then
UNCOMMITTED_MAX = 4_096  # entries: some seconds of a thousand changes a second
LEADER_ID_PREFIX = "leader."  # ids of the empty sets that leaders append


class _LastChange(NamedTuple):
    entry_revision: int
    resource_revision: int  # 0: the entry deleted it


class Proposals:
    """Of one leadership. `uncommitted`: entries that the log holds behind what is committed."""

    def __init__(self, state: ConfigurationState, uncommitted: Iterable[LogEntry]) -> None:
        self._state = state
        self._revisions: dict[str, int] = {}  # of uncommitted sets by id
        self._changes: dict[ResourceKey, _LastChange] = {}  # by uncommitted entries
        self._deadlines: dict[str, int] = {}  # ns, by id: who is to be answered; the earliest first
        for entry in uncommitted:
            self.add(entry)

    def add(self, entry: LogEntry) -> None:
        """It is in the log now."""
        self._revisions[entry.change_set.id] = entry.revision
        for change in entry.change_set.changes:
            self._changes[change.key] = _LastChange(entry.revision, 0 if change.deletes else entry.revision)

    def revision_of(self, change_set_id: str) -> int | None:
        """Of a set that is in the log."""
        committed = self._state.revision_of(change_set_id)
        return self._revisions.get(change_set_id) if committed is None else committed

    def reason_against(self, change_set: ChangeSet) -> Reason | None:
        """Why a set that is not in the log can't be appended."""
        if change_set.id.startswith(LEADER_ID_PREFIX):
            return Invalid(f"$.id: {LEADER_ID_PREFIX}... are the leaders' own; another id would do")
        for change in change_set.changes:
            revision = self._last_revision(change.key)
            if change.expected_revision is not None and change.expected_revision != revision:
                return Conflict(change.key, revision)
        return None

    def _last_revision(self, key: ResourceKey) -> int:
        change = self._changes.get(key)
        if change is not None and change.entry_revision > self._state.revision:
            return change.resource_revision
        resource = self._state.resource(key)
        return 0 if resource is None else resource.revision

    @property
    def is_full(self) -> bool:
        return len(self._revisions) >= UNCOMMITTED_MAX

    def wait_for(self, change_set_id: str, now_ns: int) -> None:
        """Whoever proposed it is told what becomes of it."""
        self._deadlines.setdefault(change_set_id, now_ns + PROPOSAL_TIMEOUT_NS)

    def on_committed(self, change_set_id: str, last_revision: int) -> bool:
        """Whether someone waits for it. `last_revision`: of the log."""
        self._revisions.pop(change_set_id, None)
        if self._state.revision == last_revision:
            self._changes.clear()
        return self._deadlines.pop(change_set_id, None) is not None

    def expired(self, now_ns: int) -> list[str]:
        """Those who waited too long; they may come again."""
        ids = []
        for id_, deadline in self._deadlines.items():
            if deadline > now_ns:
                break
            ids.append(id_)
        for id_ in ids:
            del self._deadlines[id_]
        return ids

    def abandon(self) -> list[str]:
        """All who wait: this leadership is over."""
        ids, self._deadlines = list(self._deadlines), {}
        return ids

    @property
    def next_deadline_ns(self) -> int | None:
        return next(iter(self._deadlines.values()), None)
