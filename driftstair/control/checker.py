"""Validates change sets against the committed state plus all change sets that this server has proposed.

When leadership ends while the outcome of some proposals is unknown, the validator is rebuilt from the
committed state. The rebuild reads a limited number of resources per iteration of the event loop; change sets
that are committed in the meantime are applied as well, so each resource ends with its latest content.
"""

from __future__ import annotations

import asyncio
from itertools import islice

from driftstair.configuration.change_sets import Change, ChangeSet
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.configuration.state import ConfigurationState
from driftstair.configuration.validation import IncrementalValidator, Violation

RESOURCES_PER_STEP = 200  # between two yields to the event loop; reading this many takes some ms


class ChangeSetChecker:
    """A validator that is ready once it has read the whole state; see `wait_until_built`."""

    def __init__(self, state: ConfigurationState) -> None:
        self._state = state
        self._validator = IncrementalValidator(None)
        self._build_task: asyncio.Task[None] | None = None
        self._proposed: set[str] = set()  # ids applied to the validator but not yet to the state
        self.rebuild()

    async def wait_until_built(self) -> None:
        """Returns when the validator is complete; `check` may be called until the next `await`."""
        while self._build_task is not None:
            await asyncio.wait({self._build_task})  # a cancelled task has been replaced by another one

    def check(self, change_set: ChangeSet) -> list[Violation]:
        """The rules that the set would violate if applied after all proposed and committed sets."""
        return self._validator.check(change_set)

    def apply_proposed(self, change_set: ChangeSet) -> None:
        """Applies a set that was proposed, so that later sets are checked against it."""
        self._validator.apply(change_set)
        self._proposed.add(change_set.id)

    def apply_committed(self, change_set: ChangeSet) -> None:
        """Applies a committed set, unless it was applied when it was proposed."""
        if change_set.id in self._proposed:
            self._proposed.remove(change_set.id)
        else:
            self._validator.apply(change_set)

    def drop_proposed(self) -> None:
        """Removes proposed sets that are not committed, since they may never be."""
        if self._proposed:
            self.rebuild()

    def restore(self, state: ConfigurationState) -> None:
        """Rebuilds the validator from another state."""
        self._state = state
        self.rebuild()

    def rebuild(self) -> None:
        """Rebuilds the validator from the committed state."""
        if self._build_task is not None:
            self._build_task.cancel()
        self._validator = IncrementalValidator(None)
        self._proposed.clear()
        self._build_task = asyncio.get_running_loop().create_task(self._build(self._validator))

    async def _build(self, validator: IncrementalValidator) -> None:
        after: ResourceKey | None = None
        while True:
            resources = list(islice(self._state.resources(after), RESOURCES_PER_STEP))
            validator.apply(ChangeSet("restored", tuple(map(_as_change, resources))))
            if len(resources) < RESOURCES_PER_STEP:
                break
            after = resources[-1].key
            await asyncio.sleep(0)
        self._build_task = None


def _as_change(resource: Resource) -> Change:
    return Change(resource.kind, resource.name, resource.content)
