"""Effects of a configuration other than look-ups: budgets of the cluster, drains of servers, and reports."""

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

# Kinds with few resources. They come first in the order of keys.
FIRST_KINDS = (
    ResourceKind.BUDGET,
    ResourceKind.DRAIN,
)


def drained_servers(state: ConfigurationState) -> list[str]:
    """Ids of the servers that a configuration drains."""
    resources = takewhile(lambda resource: resource.kind in FIRST_KINDS, state.resources())
    return [resource.name for resource in resources if resource.kind is ResourceKind.DRAIN]


class Cluster(Protocol):
    """The part of `driftstair.tier.service.Tier` that budgets need."""

    def shares_budgets(self) -> bool:
        """Whether the nodes of this cluster share budgets."""
        ...

    def node_count(self) -> int:
        """How many nodes the cluster has."""
        ...


class CompiledTable(Protocol):
    """A table of resources of one kind, compiled for requests (`CompiledRoutes`, `TenantTable`)."""

    def on_change(self, name: str) -> None:
        """The resource of this name has changed or was deleted."""
        ...

    def on_all_changed(self) -> None:
        """Any of the resources may have changed."""
        ...


class Effects(Protocol):
    """Is notified of what comes into force."""

    def on_switched(self, keys: Sequence[ResourceKey]) -> None:
        """The resources of these keys come into force in this step: all that was compiled of them is void."""

    def on_applied(self, keys: Sequence[ResourceKey]) -> None:
        """The change set that changed these resources has been applied completely."""

    def on_replaced(self) -> None:
        """The configuration in force has been replaced as a whole."""

    def on_watch_started(self) -> None:
        """A watch has delivered its first line, from another server or from the same one."""

    def on_turn_end(self, in_force: ConfigurationInForce) -> None:
        """A turn of the event loop ends in which the configuration has changed."""


class ClusterEffects:
    """Carries the effects out.

    `set_budgets`: sets the budgets of the configuration; `drain_servers`: sets the servers that it drains;
    `report_soon`: requests a report, because what is in force has changed.
    """

    def __init__(
        self, routes: CompiledTable, tenants: CompiledTable,
        set_budgets: Callable[[dict[str, FleetBudget]], None], drain_servers: Callable[[list[str]], None],
        report_soon: Callable[[], None],
    ) -> None:  # fmt: skip
        self.cluster: Cluster | None = None
        self._tables = {ResourceKind.ROUTE: routes, ResourceKind.TENANT: tenants}
        self._set_budgets = set_budgets
        self._drain_servers = drain_servers
        self._report_soon = report_soon
        self._budgets_changed = False
        self._drains_changed = False

    def on_switched(self, keys: Sequence[ResourceKey]) -> None:
        """Updates the compiled tables of routes and tenants."""
        for key in keys:
            table = self._tables.get(key.kind)
            if table is not None:
                table.on_change(key.name)

    def on_applied(self, keys: Sequence[ResourceKey]) -> None:
        """Notes whether budgets or drains have changed."""
        for key in keys:
            self._budgets_changed |= key.kind is ResourceKind.BUDGET
            self._drains_changed |= key.kind is ResourceKind.DRAIN

    def on_replaced(self) -> None:
        """Updates the compiled tables completely; budgets and drains count as changed."""
        for table in self._tables.values():
            table.on_all_changed()
        self._budgets_changed = self._drains_changed = True

    def on_watch_started(self) -> None:
        """Reports to the server that is watched now."""
        self._report_soon()

    def on_turn_end(self, in_force: ConfigurationInForce) -> None:
        """Sets changed budgets and drains, and requests a report."""
        if self._budgets_changed:
            self._set_budgets(dict(in_force.validator.budgets))
        if self._drains_changed:
            self._drain_servers(drained_servers(in_force.state))
        self._budgets_changed = self._drains_changed = False
        self._report_soon()

    def check(self, change_set: ChangeSet) -> list[Violation]:
        """Checks whether this process can share the budgets of a change set."""
        violations = []
        for change in change_set.changes:
            if change.kind is ResourceKind.BUDGET and not change.deletes:
                problem = self._budget_problem(change.name, bytes(change.content))
                violations += [Violation(change.key, problem[0], problem[1])] if problem else []
        return violations

    def _budget_problem(self, name: str, content: bytes) -> tuple[str, str] | None:
        """Where a budget can't be used by this process, and why."""
        if self.cluster is None or not self.cluster.shares_budgets():
            return "$", "this node shares no budgets: it began without [tier] in its service file"
        try:
            budget = parse_budget(name, content)
        except ContentError:
            return None  # the validator reports all faults of the content
        node_count = self.cluster.node_count()
        burst_tokens = budget.per_s / node_count * budget.burst / 1e9  # of one node's share
        if burst_tokens < 1:
            return (
                "burst",
                f"one of {node_count} nodes alone saves up {burst_tokens:.2g} tokens at most, and never has "
                f"one",
            )
        return None
