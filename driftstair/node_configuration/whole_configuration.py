"""Builds a whole configuration from the resources of a snapshot, of a file, or of the one in force.

Resources of one revision belong to one change set, and so do the deletions that are known to have been
refused: they come into force together or not at all. What a refused change set changes keeps its previous
content, as far as that is still valid. Deletions that are in force leave no trace, and need none. The module
does no I/O; each step takes less than a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from driftstair.configuration.assessment import Violation
from driftstair.configuration.change_sets import Change, ChangeSet
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.node_configuration.in_force import (
    ConfigurationInForce,
    NodeContext,
    Refusal,
    RefusedDeletion,
)

PreviousResource = Callable[[ResourceKey], Resource | None]
"""Returns a resource as it was in force before."""


class PreviousConfiguration(NamedTuple):
    """What a node had before, and keeps in place of what is refused."""

    resource: PreviousResource
    refused_deletions: tuple[RefusedDeletion, ...] = ()


NOTHING_BEFORE = PreviousConfiguration(lambda key: None)


def build_steps(
    resources: Iterable[Resource], revision: int, context: NodeContext, previous: PreviousConfiguration
) -> Generator[None, None, ConfigurationInForce]:
    """Builds the configuration of those of the `resources`, received up to `revision`, that can be in
    force."""
    build = _Build(ConfigurationInForce(context), previous)
    yield from build.add_resources(resources)
    yield from build.restore_deleted()
    yield from build.withdraw_refused()
    yield from build.judge_deletions()
    in_force = build.in_force
    in_force.refusals = dict(sorted(build.refused.items()))
    in_force.state.finish_restore(revision)
    return in_force


@dataclass(slots=True)
class _Build:
    """A configuration that is being built."""

    in_force: ConfigurationInForce
    previous: PreviousConfiguration
    refused: dict[int, Refusal] = field(default_factory=dict)  # by revision
    deletions: list[RefusedDeletion] = field(default_factory=list)  # refused before

    def add_resources(self, resources: Iterable[Resource]) -> Generator[None, None, None]:
        """Adds those that are valid, and refuses the change sets of the others. Later change sets may have
        put again what was deleted."""
        deferred = []
        for resource in resources:
            violations = yield from self._add_if_valid(resource)
            if violations:
                deferred.append(resource)
        for resource in deferred:  # a resource that they depend on may have come after them
            violations = yield from self._add_if_valid(resource)
            if violations:
                self._refuse(resource.revision, violations[0], resource.key, bytes(resource.content))
        for deletion in self.previous.refused_deletions:
            if not self._is_present(deletion.key) and not self.in_force.is_refused(deletion.key):
                self.deletions.append(deletion)

    def restore_deleted(self) -> Generator[None, None, None]:
        """Restores what refused change sets delete, as what others keep may depend on it."""
        yield from self._restore_previous(deletion.key for deletion in self.deletions)

    def withdraw_refused(self) -> Generator[None, None, None]:
        """Takes the valid resources of refused change sets out, and restores what was there before."""
        if not self.refused:
            return
        to_withdraw = []
        restored = {deletion.key for deletion in self.deletions}
        for resource in self.in_force.state.resources():
            is_kept = resource.key in restored or self.in_force.is_refused(resource.key)
            if resource.revision in self.refused and not is_kept:
                to_withdraw.append(resource)
            yield
        yield from self._repeat_while_any_succeeds(to_withdraw, self._withdraw)
        for deletion in self.deletions:
            if deletion.revision in self.refused:
                self.in_force.add_refused(self.refused[deletion.revision], deletion.key, None)
        keys = [key for refusal in self.refused.values() for key in refusal.keys]
        yield from self._restore_previous(keys)

    def judge_deletions(self) -> Generator[None, None, None]:
        """Judges the deletions that were refused before, as what was wrong with their change sets may have
        been mended."""
        keys_by_revision: dict[int, list[ResourceKey]] = {}
        for deletion in self.deletions:
            if deletion.revision not in self.refused and self._is_present(deletion.key):
                keys_by_revision.setdefault(deletion.revision, []).append(deletion.key)
        for revision, keys in sorted(keys_by_revision.items()):
            violations = yield from self._delete_if_valid(keys)
            if violations:
                for key in keys:
                    self._refuse(revision, violations[0], key, None)
                yield from self.withdraw_refused()

    def _is_present(self, key: ResourceKey) -> bool:
        return self.in_force.state.resource(key) is not None

    def _refuse(self, revision: int, violation: Violation, key: ResourceKey, content: bytes | None) -> None:
        refusal = self.refused.setdefault(revision, Refusal(revision, violation, set()))
        self.in_force.add_refused(refusal, key, content)

    def _add_if_valid(self, resource: Resource) -> Generator[None, None, list[Violation]]:
        """Adds a resource to those added before; returns the violations if it is invalid."""
        change = Change(resource.kind, resource.name, resource.content)
        violations = yield from self._apply_if_valid(ChangeSet("judged", (change,)))
        if not violations:
            self.in_force.state.load((resource,))
        return violations

    def _delete_if_valid(self, keys: Sequence[ResourceKey]) -> Generator[None, None, list[Violation]]:
        """Takes resources out together; returns the violations if others depend on them."""
        changes = tuple(Change(key.kind, key.name) for key in keys)
        violations = yield from self._apply_if_valid(ChangeSet("judged", changes))
        if not violations:
            for key in keys:
                self.in_force.state.unload(key)
                yield
        return violations

    def _apply_if_valid(self, change_set: ChangeSet) -> Generator[None, None, list[Violation]]:
        """Applies a change set to the validator; returns the violations if it is invalid."""
        validator = self.in_force.validator
        assessment = yield from validator.assess_in_steps(change_set)
        violations = self.in_force.context.node_check(change_set) or assessment.violations
        if not violations:
            yield from validator.apply_assessment_in_steps(assessment)
        return violations

    def _withdraw(self, resource: Resource) -> Generator[None, None, bool]:
        """Takes out a valid resource whose change set is refused; returns whether that is possible. What was
        there before takes its place in the same step, as others may depend on either."""
        previous = self.previous.resource(resource.key)
        is_replaced = previous is not None and (yield from self._restore(previous))
        if not is_replaced and (yield from self._delete_if_valid((resource.key,))):
            return False
        self.in_force.add_refused(self.refused[resource.revision], resource.key, bytes(resource.content))
        return True

    def _restore_previous(self, keys: Iterable[ResourceKey]) -> Generator[None, None, None]:
        """Puts the previous content of resources that are absent in force, as far as it is valid."""
        to_restore = []
        for key in keys:
            previous = self.previous.resource(key)
            if previous is not None and not self._is_present(key):
                to_restore.append(previous)
            yield
        yield from self._repeat_while_any_succeeds(to_restore, self._restore)

    def _restore(self, resource: Resource) -> Generator[None, None, bool]:
        violations = yield from self._add_if_valid(resource)
        return not violations

    @staticmethod
    def _repeat_while_any_succeeds(
        resources: list[Resource], step: Callable[[Resource], Generator[None, None, bool]]
    ) -> Generator[None, None, None]:
        """Takes a step with each resource, and again with those with which it failed: they may depend on
        others with which it did not."""
        remaining = resources
        while remaining:
            failed = []
            for resource in remaining:
                if not (yield from step(resource)):
                    failed.append(resource)
            if len(failed) == len(remaining):
                return
            remaining = failed
