"""What follows from a configuration beyond look-ups: budgets of the cluster, drains of servers, reports."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import takewhile
from typing import Protocol

from driftstair.configuration.assessment import Violation
from driftstair.configuration.change_sets import ChangeSet
from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.schema import ContentError, parse_budget
from driftstair.configuration.state import ConfigurationState
from driftstair.node_configuration.in_force import ConfigurationInForce
from driftstair.service.schema import FleetBudget

FEW = (
    ResourceKind.BUDGET,
    ResourceKind.DRAIN,
)  # kinds of few resources, which come first in the order of keys


def drained_servers(state: ConfigurationState) -> list[str]:
    """Ids of the servers that a configuration takes out of use."""
    few = takewhile(lambda one: one.kind in FEW, state.resources())
    return [one.name for one in few if one.kind is ResourceKind.DRAIN]


class Cluster(Protocol):
    """The part of `driftstair.tier.service.Tier` that budgets need."""

    def shares_budgets(self) -> bool: ...

    def nodes(self) -> int: ...


class Compiled(Protocol):
    """What was made of resources of one kind for requests (`CompiledRoutes`, `TenantTable`)."""

    def on_change(self, name: str) -> None: ...

    def on_all_changed(self) -> None: ...


class Effects(Protocol):
    """What follows from what is in force, beyond look-ups."""

    def on_switched(self, keys: Sequence[ResourceKey]) -> None:
        """In this step these come into force: whatever was made of them before is void."""

    def on_changed(self, keys: Sequence[ResourceKey]) -> None:
        """The change set of these is done with."""

    def on_replaced(self) -> None:
        """Another whole is in force."""

    def on_watch(self) -> None:
        """Another server is watched, or the same one anew."""

    def on_turn(self, in_force: ConfigurationInForce) -> None:
        """All that was said in this turn of the loop is so now."""


class ClusterEffects:
    """`respec`: the configuration's budgets are these; `drain`: it takes these servers out of use; `changed`:
    something is in force otherwise than before."""

    def __init__(
        self, routes: Compiled, tenants: Compiled, respec: Callable[[dict[str, FleetBudget]], None],
        drain: Callable[[list[str]], None], changed: Callable[[], None],
    ) -> None:  # fmt: skip
        self.cluster: Cluster | None = None
        self._compiled = {ResourceKind.ROUTE: routes, ResourceKind.TENANT: tenants}
        self._respec = respec
        self._drain = drain
        self._tell = changed
        self._budgets_changed = False
        self._drains_changed = False

    def on_switched(self, keys: Sequence[ResourceKey]) -> None:
        for key in keys:
            compiled = self._compiled.get(key.kind)
            if compiled is not None:
                compiled.on_change(key.name)

    def on_changed(self, keys: Sequence[ResourceKey]) -> None:
        for key in keys:
            self._budgets_changed |= key.kind is ResourceKind.BUDGET
            self._drains_changed |= key.kind is ResourceKind.DRAIN

    def on_replaced(self) -> None:
        for compiled in self._compiled.values():
            compiled.on_all_changed()
        self._budgets_changed = self._drains_changed = True

    def on_watch(self) -> None:
        self._tell()

    def on_turn(self, in_force: ConfigurationInForce) -> None:
        if self._budgets_changed:
            self._respec(dict(in_force.validator.budgets))
        if self._drains_changed:
            self._drain(drained_servers(in_force.state))
        self._budgets_changed = self._drains_changed = False
        self._tell()

    def check(self, change_set: ChangeSet) -> list[Violation]:
        """Whether this process can share the budgets that a set brings."""
        found = []
        for change in change_set.changes:
            if change.kind is ResourceKind.BUDGET and not change.deletes:
                why = self._missing(change.name, bytes(change.content))
                found += [Violation(change.key, why[0], why[1])] if why else []
        return found

    def _missing(self, name: str, content: bytes) -> tuple[str, str] | None:
        if self.cluster is None or not self.cluster.shares_budgets():
            return "$", "this node shares no budgets: it began without [tier] in its service file"
        try:
            budget = parse_budget(name, content)
        except ContentError:
            return None  # the proof tells all that is wrong with it
        count = self.cluster.nodes()
        saved = budget.per_s / count * budget.burst / 1e9
        if saved < 1:
            return (
                "burst",
                f"one of {count} nodes alone saves up {saved:.2g} tokens at most, and never has one",
            )
        return None
