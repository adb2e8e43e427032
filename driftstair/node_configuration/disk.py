"""What an application keeps on disk: which records stand for its state, and what they are read back to."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.messages import Changes
from driftstair.configuration.resources import Resource
from driftstair.configuration.state import RevisionGapError
from driftstair.node_configuration.in_force import Applied, ConfigurationInForce
from driftstair.node_configuration.loaded_file import LoadedFile
from driftstair.node_configuration.persistence import ConfigurationStore
from driftstair.node_configuration.records import (
    FORMAT,
    Header,
    KeptResources,
    Record,
    RecordError,
    SnapshotEnd,
    StoredResources,
)
from driftstair.node_configuration.slices import Slices

log = logging.getLogger(__name__)

STORED_RESOURCES = 32  # in one record of a file: some 0.2 ms to make


class StateOnDisk:
    """The records of what is in force (`persistence.SnapshotSource`). `store` None: nothing is kept."""

    def __init__(self, store: ConfigurationStore | None, current: Callable[[], ConfigurationInForce]) -> None:
        self.between_sets = asyncio.Lock()
        self._store = store
        self._current = current

    async def read(self, slices: Slices) -> LoadedFile | None:
        """What the file holds; None where there is none. What can't be used is said and passed over."""
        if self._store is None:
            return None
        payloads = await self._store.read()
        slices.begin()
        loaded = LoadedFile()
        try:
            for payload in payloads:
                for _ in loaded.steps(payload):
                    await slices.after_step()
            loaded.whole()
        except (RecordError, RevisionGapError, ValueError) as problem:
            if payloads:
                log.warning("%s is passed over: %s", self._store.path, problem)
            return None
        return loaded

    def start(self, is_on_disk: bool) -> None:
        """Writes from now on. `is_on_disk`: what was received until now is what was read."""
        if self._store is not None:
            self._store.start(self, is_on_disk)

    def on_applied(self, logged: LoggedChangeSet, applied: Applied) -> None:
        """A change set was received; within `between_sets`."""
        if self._store is None:
            return
        self._store.append(Changes(logged.revision - 1, (logged,)))
        if applied.refusal is not None:
            kept = self._current().kept_resources(change.key for change in logged.change_set.changes)
            for record in _kept_records(kept):
                self._store.append(record)

    def on_replaced(self) -> None:
        """Another whole is in force."""
        if self._store is not None:
            self._store.rewrite()

    def snapshot_records(self) -> Iterator[Record]:
        in_force = self._current()
        yield Header(FORMAT, in_force.revision)
        resources = in_force.received_resources()
        while found := tuple(islice(resources, STORED_RESOURCES)):
            yield StoredResources(found)

    def snapshot_end(self) -> list[Record]:
        in_force = self._current()
        end = SnapshotEnd(in_force.revision, f"{in_force.received_digest():016x}")
        return [*_kept_records(in_force.kept_resources()), end]


def _kept_records(resources: Iterable[Resource]) -> Iterator[KeptResources]:
    rest = iter(resources)
    while found := tuple(islice(rest, STORED_RESOURCES)):
        yield KeptResources(found)
