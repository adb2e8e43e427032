"""The configuration in force at this node: all that was received, except refused change sets.

One object is one whole configuration. The resources of a refused change set keep their previous content until
a later valid change set changes them. The module does no I/O; long operations are generators whose steps take
less than a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from driftstair.configuration.assessment import Assessment, Violation
from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.messages import RefusedChange
from driftstair.configuration.resources import Resource, ResourceKey, resource_hash
from driftstair.configuration.state import DIGEST_MODULUS, ConfigurationState
from driftstair.configuration.validation import IncrementalValidator
from driftstair.limits.findings import Platform
from driftstair.limits.routes import RouteQuery
from driftstair.service.schema import Service

NodeCheck = Callable[[ChangeSet], list[Violation]]
"""Checks what depends on the process: whether it has what a resource needs beside the platform's settings."""

SwitchCallback = Callable[[Sequence[ResourceKey]], None]
"""Called in the step in which the resources of these keys come into force."""


class NodeContext(NamedTuple):
    """What a configuration is validated against, apart from its own resources."""

    platform: Platform
    service: Service  # the node's service file
    node_check: NodeCheck


class ReceivedContent(NamedTuple):
    """A refused change of one resource: in the log, but not in force. `content`: None if it deletes."""

    revision: int
    content: bytes | None


class RefusedDeletion(NamedTuple):
    """A resource that stays in force, though a refused change set deletes it in the log."""

    key: ResourceKey
    revision: int  # of that change set


@dataclass(slots=True)
class Refusal:
    """A change set that can't be applied here. `keys`: its resources that no later change set has changed."""

    revision: int
    violation: Violation
    keys: set[ResourceKey]

    def report(self) -> RefusedChange:
        """The refusal as reported to control servers."""
        where = f"{self.violation.where}: " if self.violation.where else ""
        return RefusedChange(self.revision, str(self.violation.resource), f"{where}{self.violation.why}")


class AppliedChangeSet(NamedTuple):
    """The result of one change set."""

    changed_keys: tuple[ResourceKey, ...]  # of resources whose content in force has changed
    refusal: Refusal | None


class ConfigurationInForce:
    """The state, validator and refusals of one configuration."""

    def __init__(self, context: NodeContext) -> None:
        self.context = context
        self.state = ConfigurationState()  # what is in force; its revision is the last one received
        self.validator = IncrementalValidator(context.platform, context.service, self.state)
        self._unindexed: Assessment | None = None  # of a change set in force that is not fully indexed yet
        self.refusals: dict[int, Refusal] = {}  # by revision, in ascending order
        # The received content of resources where it differs from the content in force.
        self._received: dict[ResourceKey, ReceivedContent] = {}

    @property
    def revision(self) -> int:
        """Of the last change set received, refused or not."""
        return self.state.revision

    def received_digest(self) -> int:
        """The digest of the state as received, equal on all nodes and servers that received the same. Its
        cost grows with the number of refused resources."""
        digest = self.state.digest
        for key, received in self._received.items():
            resource = self.state.resource(key)
            if resource is not None:
                digest -= resource_hash(key, resource.revision, bytes(resource.content))
            if received.content is not None:
                digest += resource_hash(key, received.revision, received.content)
        return digest % DIGEST_MODULUS

    def received_resource(self, key: ResourceKey) -> Resource | None:
        """A resource as it is in the log."""
        received = self._received.get(key)
        if received is None:
            return self.state.resource(key)
        if received.content is None:
            return None
        return Resource(key.kind, key.name, received.revision, msgspec.Raw(received.content))

    def received_resources(self) -> Iterator[Resource]:
        """All resources as they are in the log, in no order. One that changes during the iteration is
        yielded either as it was or as it is."""
        for stored in self.state.resources():
            resource = self.received_resource(stored.key) if stored.key in self._received else stored
            if resource is not None:
                yield resource
        for key in tuple(self._received):
            if self.state.content(key) is None:
                resource = self.received_resource(key)
                if resource is not None:
                    yield resource

    def kept_resources(self, keys: Iterable[ResourceKey] | None = None) -> tuple[Resource, ...]:
        """The resources that stay in force in place of refused changes. `keys`: None for all of them."""
        resources = (self.state.resource(key) for key in (self._received if keys is None else keys))
        return tuple(resource for resource in resources if resource is not None)

    def refused_deletions(self, keys: Iterable[ResourceKey] | None = None) -> tuple[RefusedDeletion, ...]:
        """The resources that are deleted in the log and stay in force. `keys`: None for all of them."""
        refused = ((key, self._received.get(key)) for key in (self._received if keys is None else keys))
        return tuple(
            RefusedDeletion(key, received.revision)
            for key, received in refused
            if received is not None and received.content is None and self.state.resource(key) is not None
        )

    def release_steps(self) -> Iterator[None]:
        """Frees the memory in steps, once another configuration is in force."""
        yield from self.validator.routes.release_in_steps()
        yield from self.state.release_in_steps()

    # Look-ups.

    def find_route(self, query: RouteQuery) -> str | None:
        """The name of the route that matches a request."""
        unindexed = self._unindexed
        if unindexed is None:
            route = self.validator.routes.find(query)
            return None if route is None else route.name
        route = self.validator.routes.find(query, unindexed.routes)
        staged_route = unindexed.staged.find(query)
        if route is None or (staged_route is not None and staged_route.rank > route.rank):
            route = staged_route
        return None if route is None else route.name

    def serves(self, path: str) -> bool:
        """Whether any route names this path."""
        unindexed = self._unindexed
        return self.validator.routes.serves(path) or (
            unindexed is not None and unindexed.staged.serves(path)
        )  # fmt: skip

    # Single change sets.

    def apply_steps(
        self, logged: LoggedChangeSet, on_switch: SwitchCallback
    ) -> Generator[None, None, AppliedChangeSet]:
        """Puts the next change set in force, or refuses it as a whole. Raises RevisionGapError."""
        change_set = logged.change_set
        assessment = yield from self.validator.assess_in_steps(change_set)
        violations = self.context.node_check(change_set) or assessment.violations
        if violations:
            return self._refuse(logged, violations[0])
        keys = tuple(change.key for change in change_set.changes)
        for _ in self.state.apply_in_steps(logged):
            if self._unindexed is None and self.state.revision == logged.revision:
                # From this step on, all look-ups see the whole change set, though its routes are not in the
                # index yet.
                self._unindexed = assessment
                self._supersede(keys)  # in the same step, as a report has revision, digest and refusals
                on_switch(keys)
            yield
        yield from self.validator.apply_assessment_in_steps(assessment)
        self._unindexed = None
        return AppliedChangeSet(keys, None)

    def _refuse(self, logged: LoggedChangeSet, violation: Violation) -> AppliedChangeSet:
        changes = logged.change_set.changes
        self.state.apply(LoggedChangeSet(logged.revision, ChangeSet(logged.change_set.id)))
        self._supersede(tuple(change.key for change in changes))
        refusal = Refusal(logged.revision, violation, set())
        self.refusals[logged.revision] = refusal
        for change in changes:
            self.add_refused(refusal, change.key, None if change.deletes else bytes(change.content))
        return AppliedChangeSet((), refusal)

    def add_refused(self, refusal: Refusal, key: ResourceKey, content: bytes | None) -> None:
        """One change of a refused change set; `content`: None if it deletes."""
        refusal.keys.add(key)
        self._received[key] = ReceivedContent(refusal.revision, content)

    def is_refused(self, key: ResourceKey) -> bool:
        """Whether the latest change of a resource is refused."""
        return key in self._received

    def _supersede(self, keys: Sequence[ResourceKey]) -> None:
        """Drops earlier refused changes of these resources, as a later change set has changed them."""
        if not self._received:
            return  # avoids a long step for a change set of thousands of resources when nothing is refused
        for key in keys:
            received = self._received.pop(key, None)
            if received is None:
                continue
            refusal = self.refusals[received.revision]
            refusal.keys.discard(key)
            if not refusal.keys:
                del self.refusals[received.revision]
