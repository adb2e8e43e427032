"""What is in force at this node: all that was received, but for the change sets that it can't apply.

One object is one whole configuration. The resources of a refused change set keep what they had, until a later
set that is good changes them. Pure; what takes long is done in steps of under a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from driftstair.configuration.assessment import Assessment, Violation
from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.messages import RefusedChange
from driftstair.configuration.resources import Resource, ResourceKey, resource_hash
from driftstair.configuration.state import DIGEST_MODULUS, ConfigurationState
from driftstair.configuration.validation import IncrementalValidator
from driftstair.limits.findings import Platform
from driftstair.limits.routes import RouteQuery
from driftstair.service.schema import Service

NodeCheck = Callable[[ChangeSet], list[Violation]]
"""What only the process knows: whether it has what a resource needs beside the platform's configuration."""

KeptContent = Callable[[ResourceKey], Resource | None]
"""What was in force of a resource before."""


OnSwitch = Callable[[Sequence[ResourceKey]], None]
"""Called in the step in which these come into force."""


class Circumstances(NamedTuple):
    """What a configuration is judged by, beside itself."""

    platform: Platform
    own: Service  # the node's service file
    node_check: NodeCheck


class ReceivedContent(NamedTuple):
    """A refused change of one resource: what is in the log and not in force. `content` None: it deletes."""

    revision: int
    content: bytes | None


@dataclass(slots=True)
class Refusal:
    """A change set that can't be applied here, and which of its resources no later set has changed."""

    revision: int
    violation: Violation
    keys: set[ResourceKey]

    def report(self) -> RefusedChange:
        where = f"{self.violation.where}: " if self.violation.where else ""
        return RefusedChange(self.revision, str(self.violation.resource), f"{where}{self.violation.why}")


class Applied(NamedTuple):
    """What one change set did."""

    changed: tuple[ResourceKey, ...]  # in force otherwise than before
    refusal: Refusal | None


class ConfigurationInForce:
    """State, proof and refusals of one configuration."""

    def __init__(self, given: Circumstances) -> None:
        self.given = given
        self.state = ConfigurationState()  # in force; its revision is the one received last
        self.validator = IncrementalValidator(given.platform, given.own, self.state)
        self._moving: Assessment | None = None  # a set that is in force, and on its way into the index
        self.refusals: dict[int, Refusal] = {}  # by revision, in its order
        self._received: dict[ResourceKey, ReceivedContent] = {}  # where that differs from what is in force

    @property
    def revision(self) -> int:
        """Of the last change set that was received, refused or not."""
        return self.state.revision

    def received_digest(self) -> int:
        """As any other state's that received the same; costs by what is refused."""
        digest = self.state.digest
        for key, received in self._received.items():
            held = self.state.resource(key)
            if held is not None:
                digest -= resource_hash(key, held.revision, bytes(held.content))
            if received.content is not None:
                digest += resource_hash(key, received.revision, received.content)
        return digest % DIGEST_MODULUS

    def received_resource(self, key: ResourceKey) -> Resource | None:
        """As it is in the log."""
        received = self._received.get(key)
        if received is None:
            return self.state.resource(key)
        if received.content is None:
            return None
        return Resource(key.kind, key.name, received.revision, msgspec.Raw(received.content))

    def received_resources(self) -> Iterator[Resource]:
        """All as they are in the log, in no order. What changes meanwhile comes as it was or is."""
        for held in self.state.resources():
            resource = self.received_resource(held.key) if held.key in self._received else held
            if resource is not None:
                yield resource
        for key in tuple(self._received):
            if self.state.content(key) is None:
                resource = self.received_resource(key)
                if resource is not None:
                    yield resource

    def kept_resources(self, keys: Iterable[ResourceKey] | None = None) -> tuple[Resource, ...]:
        """What stays in force in place of a refused change."""
        held = (self.state.resource(key) for key in (self._received if keys is None else keys))
        return tuple(resource for resource in held if resource is not None)

    def releasing(self) -> Iterator[None]:
        """Gives its memory back in steps, once another one is in force."""
        yield from self.validator.routes.release_in_steps()
        yield from self.state.release_in_steps()

    # Look-ups.

    def find_route(self, asked: RouteQuery) -> str | None:
        """The name of the route that a request takes."""
        moving = self._moving
        if moving is None:
            found = self.validator.routes.find(asked)
            return None if found is None else found.name
        found = self.validator.routes.find(asked, moving.routes)
        staged = moving.staged.find(asked)
        if found is None or (staged is not None and staged.rank > found.rank):
            found = staged
        return None if found is None else found.name

    def serves(self, path: str) -> bool:
        """Whether a route names this path."""
        moving = self._moving
        return self.validator.routes.serves(path) or (moving is not None and moving.staged.serves(path))

    # Change sets, one at a time.

    def applying(self, logged: LoggedChangeSet, on_switch: OnSwitch) -> Generator[None, None, Applied]:
        """The next change set comes into force, or is refused as a whole. Raises RevisionGapError."""
        change_set = logged.change_set
        assessment = yield from self.validator.assess_in_steps(change_set)
        violations = self.given.node_check(change_set) or assessment.violations
        if violations:
            return self._refuse(logged, violations[0])
        keys = tuple(change.key for change in change_set.changes)
        for _ in self.state.apply_in_steps(logged):
            if self._moving is None and self.state.revision == logged.revision:
                # From this step on all look-ups see the set, as one: its routes aren't in the index yet.
                self._moving = assessment
                self._supersede(keys)  # in the same step: a report tells revision, digest and refusals
                on_switch(keys)
            yield
        yield from self.validator.apply_assessment_in_steps(assessment)
        self._moving = None
        return Applied(keys, None)

    def _refuse(self, logged: LoggedChangeSet, violation: Violation) -> Applied:
        changes = logged.change_set.changes
        self.state.apply(LoggedChangeSet(logged.revision, ChangeSet(logged.change_set.id)))
        self._supersede(tuple(change.key for change in changes))
        refusal = Refusal(logged.revision, violation, {change.key for change in changes})
        self.refusals[logged.revision] = refusal
        for change in changes:
            content = None if change.deletes else bytes(change.content)
            self._received[change.key] = ReceivedContent(logged.revision, content)
        return Applied((), refusal)

    def _supersede(self, keys: Sequence[ResourceKey]) -> None:
        """A later set has these: what was refused of them before is over."""
        if not self._received:
            return  # a set of thousands of resources, and nothing refused: no step for it
        for key in keys:
            received = self._received.pop(key, None)
            if received is None:
                continue
            refusal = self.refusals[received.revision]
            refusal.keys.discard(key)
            if not refusal.keys:
                del self.refusals[received.revision]

    # A whole state, in steps.

    @staticmethod
    def judge(
        resources: Iterable[Resource], revision: int, given: Circumstances, kept: KeptContent
    ) -> Generator[None, None, ConfigurationInForce]:
        """What of a state's resources can be in force, and returns it. Resources of one revision came in one
        change set: they are in force together or not at all."""
        in_force = ConfigurationInForce(given)
        late = []
        for resource in resources:
            violations = yield from in_force._admit(resource)
            if violations:
                late.append(resource)
        refused: dict[int, Refusal] = {}
        for resource in late:  # what they need may have come behind them
            violations = yield from in_force._admit(resource)
            if violations:
                refusal = Refusal(resource.revision, violations[0], set())
                yield from in_force._keep(resource, refused.setdefault(resource.revision, refusal), kept)
        for resource in in_force.state.resources() if refused else ():
            if resource.revision in refused and resource.key not in in_force._received:
                yield from in_force._withdraw(resource, refused[resource.revision], kept)
            yield
        in_force.refusals = dict(sorted(refused.items()))
        in_force.state.finish_restore(revision)
        return in_force

    def _admit(self, resource: Resource) -> Generator[None, None, list[Violation]]:
        """Takes in one resource beside those that were taken in before it, or tells what is wrong with it."""
        change_set = _single(resource.key, resource.content)
        assessment = yield from self.validator.assess_in_steps(change_set)
        violations = self.given.node_check(change_set) or assessment.violations
        if not violations:
            yield from self.validator.apply_assessment_in_steps(assessment)
            self.state.load((resource,))
        return violations

    def _keep(self, resource: Resource, refusal: Refusal, kept: KeptContent) -> Generator[None, None, None]:
        """What was in force before stays in the place of a refused resource, where it still can."""
        key, before = resource.key, kept(resource.key)
        refusal.keys.add(key)
        self._received[key] = ReceivedContent(resource.revision, bytes(resource.content))
        if before is not None:
            yield from self._admit(before)

    def _withdraw(
        self, resource: Resource, refusal: Refusal, kept: KeptContent
    ) -> Generator[None, None, None]:
        """Takes out a resource that is good, but of a set that is refused."""
        assessment = yield from self.validator.assess_in_steps(_single(resource.key, None))
        if assessment.violations:
            return  # others in force need it
        yield from self.validator.apply_assessment_in_steps(assessment)
        self.state.unload(resource.key)
        yield from self._keep(resource, refusal, kept)


def _single(key: ResourceKey, content: msgspec.Raw | None) -> ChangeSet:
    change = Change(key.kind, key.name) if content is None else Change(key.kind, key.name, content)
    return ChangeSet("judged", (change,))
