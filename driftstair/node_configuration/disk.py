"""Maps the configuration in force to records of the node's file, and reads them back."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from itertools import islice

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.messages import Changes
from driftstair.configuration.resources import ResourceKey
from driftstair.configuration.state import RevisionGapError
from driftstair.node_configuration.in_force import AppliedChangeSet, ConfigurationInForce
from driftstair.node_configuration.loaded_file import LoadedFile
from driftstair.node_configuration.persistence import ConfigurationStore
from driftstair.node_configuration.records import (
    FORMAT,
    Header,
    KeptResources,
    Record,
    RecordError,
    SnapshotEnd,
    StoredDeletion,
    StoredResources,
)
from driftstair.node_configuration.slices import TimeSlicer

log = logging.getLogger(__name__)

RESOURCES_PER_RECORD = 32  # making such a record takes about 0.2 ms


class StateOnDisk:
    """Supplies the records of the configuration in force (`persistence.SnapshotSource`).

    `store`: None if nothing is kept on disk; `current`: returns the configuration in force.
    """

    def __init__(self, store: ConfigurationStore | None, current: Callable[[], ConfigurationInForce]) -> None:
        self.change_set_lock = asyncio.Lock()
        self._store = store
        self._current = current

    async def read(self, slicer: TimeSlicer) -> LoadedFile | None:
        """The content of the file; None if there is no file. An unusable file is logged and ignored."""
        if self._store is None:
            return None
        payloads = await self._store.read()
        slicer.start_slice()
        loaded = LoadedFile()
        try:
            for payload in payloads:
                for _ in loaded.load_steps(payload):
                    await slicer.after_step()
            loaded.complete_state()
        except (RecordError, RevisionGapError, ValueError) as error:
            if payloads:
                log.warning("%s is passed over: %s", self._store.path, error)
            return None
        return loaded

    def start(self, is_on_disk: bool) -> None:
        """Starts writing. `is_on_disk`: the file already holds everything received so far."""
        if self._store is not None:
            self._store.start(self, is_on_disk)

    def on_applied(self, logged: LoggedChangeSet, applied: AppliedChangeSet) -> None:
        """Appends a received change set. The caller holds `change_set_lock`."""
        if self._store is None:
            return
        self._store.append(Changes(logged.revision - 1, (logged,)))
        if applied.refusal is not None:
            for record in _kept_records(
                self._current(), [change.key for change in logged.change_set.changes]
            ):
                self._store.append(record)

    def on_replaced(self) -> None:
        """The configuration in force was replaced as a whole: the file has to be written anew."""
        if self._store is not None:
            self._store.rewrite()

    def snapshot_records(self) -> Iterator[Record]:
        """The header, then all resources as received."""
        in_force = self._current()
        yield Header(FORMAT, in_force.revision)
        resources = in_force.received_resources()
        while batch := tuple(islice(resources, RESOURCES_PER_RECORD)):
            yield StoredResources(batch)

    def snapshot_end(self) -> list[Record]:
        """The resources kept in place of refused changes, then the end record."""
        in_force = self._current()
        end = SnapshotEnd(in_force.revision, f"{in_force.received_digest():016x}")
        return [*_kept_records(in_force), end]


def _kept_records(
    in_force: ConfigurationInForce, keys: list[ResourceKey] | None = None
) -> Iterator[KeptResources]:
    """What is kept of the resources of refused changes. `keys`: None for all of them."""
    deletions = {
        key: StoredDeletion(key.kind, key.name, revision)
        for key, revision in in_force.refused_deletions(keys)
    }
    remaining = iter(in_force.kept_resources(keys))
    while batch := tuple(islice(remaining, RESOURCES_PER_RECORD)):
        yield KeptResources(
            batch, tuple(deletions[resource.key] for resource in batch if resource.key in deletions)
        )
