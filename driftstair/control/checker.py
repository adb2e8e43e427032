"""The validator of a control server, kept at the state with all sets that were proposed here.

Where leadership ended with proposals whose end is not known it is built anew from the committed state, some
resources a turn of the loop, while sets that are committed meanwhile are applied to it as well: each resource
ends at its last content.
"""

from __future__ import annotations

import asyncio
from itertools import islice

from driftstair.configuration.change_sets import Change, ChangeSet
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.configuration.state import ConfigurationState
from driftstair.configuration.validation import IncrementalValidator, Violation

TURN_RESOURCES = 200  # read at once, in some ms


class Checker:
    """Checks are answered once the validator holds the state."""

    def __init__(self, state: ConfigurationState) -> None:
        self._state = state
        self._validator = IncrementalValidator(None)
        self._building: asyncio.Task[None] | None = None
        self._proposed: set[str] = set()  # ids that the validator has and the state not yet
        self.rebuild()

    async def wait_until_built(self) -> None:
        """Returns in the turn of the loop in which `check` may be called."""
        while self._building is not None:
            await asyncio.wait({self._building})

    def check(self, change_set: ChangeSet) -> list[Violation]:
        """What the set would break, behind all sets that were proposed or committed."""
        return self._validator.check(change_set)

    def apply_proposed(self, change_set: ChangeSet) -> None:
        self._validator.apply(change_set)
        self._proposed.add(change_set.id)

    def apply_committed(self, change_set: ChangeSet) -> None:
        if change_set.id in self._proposed:
            self._proposed.remove(change_set.id)
        else:
            self._validator.apply(change_set)

    def drop_proposed(self) -> None:
        """What was proposed and is not committed may never be."""
        if self._proposed:
            self.rebuild()

    def restore(self, state: ConfigurationState) -> None:
        """Begins anew from another state."""
        self._state = state
        self.rebuild()

    def rebuild(self) -> None:
        """Begins anew from the committed state."""
        if self._building is not None:
            self._building.cancel()
        self._validator = IncrementalValidator(None)
        self._proposed.clear()
        self._building = asyncio.get_running_loop().create_task(self._build(self._validator))

    async def _build(self, validator: IncrementalValidator) -> None:
        after: ResourceKey | None = None
        while True:
            found = list(islice(self._state.resources(after), TURN_RESOURCES))
            validator.apply(ChangeSet("restored", tuple(map(_change, found))))
            if len(found) < TURN_RESOURCES:
                break
            after = found[-1].key
            await asyncio.sleep(0)
        self._building = None


def _change(resource: Resource) -> Change:
    return Change(resource.kind, resource.name, resource.content)
