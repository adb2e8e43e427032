"""The look-ups of a request: the service file's routes first, then those of the configuration in force."""

from __future__ import annotations

from collections.abc import Callable

from driftstair.configuration.resources import ResourceKey
from driftstair.configuration.route_table import CompiledRoutes
from driftstair.configuration.schema import DEFAULT_BURST_REQUESTS, TenantLimits
from driftstair.configuration.tenant_table import TenantTable
from driftstair.limits.compiled_route import RouteRules
from driftstair.limits.limiting_module import FIRST_ADDED_ROUTE, LimitingModule
from driftstair.limits.request_table import FileRequestTable
from driftstair.limits.routes import RouteQuery
from driftstair.node_configuration.in_force import ConfigurationInForce
from driftstair.node_configuration.tenant_limits import TenantLimit
from lichenspring import interface as api


def figures_of(limits: TenantLimits) -> TenantLimit:
    """A tenant's limits as a request goes by them."""
    burst = DEFAULT_BURST_REQUESTS if limits.burst is None else limits.burst
    return TenantLimit(limits.per_s or 0.0, burst if limits.per_s else 0.0, limits.in_flight or 0)


class RequestTables:
    """Routes and tenants of the configuration. `current`: what is in force now."""

    def __init__(self, current: Callable[[], ConfigurationInForce], attempts_max: int) -> None:
        self.limited: LimitingModule | None = None  # which counts by these routes
        self._current = current
        self.routes = CompiledRoutes(
            self._content, attempts_max, FIRST_ADDED_ROUTE, self._has_none_open, self._forget
        )  # fmt: skip
        self.tenants: TenantTable[TenantLimit] = TenantTable(self._content, figures_of)

    def find(self, asked: RouteQuery) -> RouteRules | None:
        name = self._current().find_route(asked)
        return None if name is None else self.routes.rules(name)

    def serves(self, path: str) -> bool:
        return self._current().serves(path)

    def _content(self, key: ResourceKey) -> bytes | None:
        return self._current().state.content(key)

    def _has_none_open(self, number: int) -> bool:
        return self.limited is None or self.limited.is_idle(number)

    def _forget(self, number: int) -> None:
        if self.limited is not None:
            self.limited.remove_route(number)


class CombinedTable:
    """What a node asks, in the place of the file's `FileRequestTable`."""

    module_type = LimitingModule
    route_query = staticmethod(FileRequestTable.route_query)

    def __init__(self, file: FileRequestTable, configured: RequestTables) -> None:
        self.source = file.source
        self.rules = file.rules
        self._file = file
        self._configured = configured

    def find(self, asked: RouteQuery) -> RouteRules | None:
        index = self._file.routes.find(asked) if self.rules else None
        return self._configured.find(asked) if index is None else self.rules[index]

    def serves(self, path: bytes) -> bool:
        return self._file.serves(path) or self._configured.serves(path.decode("latin-1"))

    def limiting_module(
        self, module: api.DecisionModule, settings: api.Settings, clock: Callable[[], int]
    ) -> LimitingModule:
        limited = self._file.limiting_module(module, settings, clock, self._configured.routes.by_number)
        self._configured.limited = limited
        return limited
