"""Look-ups for requests: the routes of the service file first, then those of the configuration in force."""

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


def tenant_limit(limits: TenantLimits) -> TenantLimit:
    """The limit that is applied to requests, with the defaults of absent fields."""
    burst = DEFAULT_BURST_REQUESTS if limits.burst is None else limits.burst
    return TenantLimit(limits.per_s or 0.0, burst if limits.per_s else 0.0, limits.in_flight or 0)


class RequestTables:
    """Routes and tenants of the configuration. `current`: returns the configuration in force."""

    def __init__(self, current: Callable[[], ConfigurationInForce], attempts_max: int) -> None:
        self.limiting_module: LimitingModule | None = None  # counts requests by these routes
        self._current = current
        self.routes = CompiledRoutes(
            self._content, attempts_max, FIRST_ADDED_ROUTE, self._is_route_idle, self._remove_route
        )  # fmt: skip
        self.tenants: TenantTable[TenantLimit] = TenantTable(self._content, tenant_limit)

    def find(self, query: RouteQuery) -> RouteRules | None:
        """The rules of the route that matches a request."""
        name = self._current().find_route(query)
        return None if name is None else self.routes.rules(name)

    def serves(self, path: str) -> bool:
        """Whether any route names this path."""
        return self._current().serves(path)

    def _content(self, key: ResourceKey) -> bytes | None:
        return self._current().state.content(key)

    def _is_route_idle(self, number: int) -> bool:
        return self.limiting_module is None or self.limiting_module.is_idle(number)

    def _remove_route(self, number: int) -> None:
        if self.limiting_module is not None:
            self.limiting_module.remove_route(number)


class CombinedTable:
    """The request table of a node (`RequestTable`) with both sources of routes."""

    module_type = LimitingModule
    route_query = staticmethod(FileRequestTable.route_query)

    def __init__(self, file: FileRequestTable, configured: RequestTables) -> None:
        self.source = file.source
        self.rules = file.rules
        self._file = file
        self._configured = configured

    def find(self, query: RouteQuery) -> RouteRules | None:
        """The rules of the route that matches a request."""
        index = self._file.routes.find(query) if self.rules else None
        return self._configured.find(query) if index is None else self.rules[index]

    def serves(self, path: bytes) -> bool:
        """Whether any route names this path."""
        return self._file.serves(path) or self._configured.serves(path.decode("latin-1"))

    def limiting_module(
        self, module: api.DecisionModule, settings: api.Settings, clock: Callable[[], int]
    ) -> LimitingModule:
        """Wraps a decision module with the limits of both sources."""
        limiting_module = self._file.limiting_module(
            module, settings, clock, self._configured.routes.by_number
        )
        self._configured.limiting_module = limiting_module
        return limiting_module
