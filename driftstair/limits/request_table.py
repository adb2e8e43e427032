"""The compiled routes of one service file, for one node."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from driftstair.limits.budgets import TokenBudget
from driftstair.limits.compiled_route import RouteRules, compile_rules, no_fleet_budget
from driftstair.limits.limiting_module import NO_ADDED_ROUTES, LimitingModule
from driftstair.limits.routes import Pattern, RouteQuery, Routes
from driftstair.service.schema import Service
from lichenspring import interface as api

log = logging.getLogger(__name__)


class RequestTable(Protocol):
    """The routes as a node uses them."""

    module_type: type[LimitingModule]
    source: str  # file and hash, for the log
    rules: list[RouteRules]  # of the file, by route number

    def route_query(self, method: bytes, path: bytes, fields: Mapping[bytes, bytes]) -> RouteQuery: ...

    def find(self, query: RouteQuery) -> RouteRules | None: ...

    def serves(self, path: bytes) -> bool: ...

    def limiting_module(
        self, module: api.DecisionModule, settings: api.Settings, clock: Callable[[], int]
    ) -> LimitingModule: ...


def _unwrapped(module: api.DecisionModule) -> api.DecisionModule:
    return module


class FileRequestTable:
    """`find` returns the rules of a request; `limiting_module` wraps a decision module that obeys them."""

    module_type = LimitingModule

    def __init__(self, service: Service, settings: api.Settings, source: str = "") -> None:
        self.source = source  # file and hash, for the log
        self.fleet_budget: Callable[[str], TokenBudget] = no_fleet_budget
        self.wrap_module: Callable[[api.DecisionModule], api.DecisionModule] = _unwrapped
        self._tally_every_ns = service.tally.every if service.tally is not None else 0
        self.routes = Routes(Pattern.of(route.match) for route in service.route)
        self.rules = [
            compile_rules(route, index, settings.max_attempts) for index, route in enumerate(service.route)
        ]

    @staticmethod
    def route_query(method: bytes, path: bytes, fields: Mapping[bytes, bytes]) -> RouteQuery:
        """The properties of a received request that routes are matched by."""
        return RouteQuery(
            fields[b"x-class"].decode("latin-1"), fields.get(b"x-tenant", b"").decode("latin-1"),
            method.decode("latin-1"), path.decode("latin-1"), fields,
            fields.get(b"x-key", b"").decode("latin-1"),
        )  # fmt: skip

    def find(self, query: RouteQuery) -> RouteRules | None:
        index = self.routes.find(query)
        return None if index is None else self.rules[index]

    def serves(self, path: bytes) -> bool:
        return self.routes.serves(path.decode("latin-1"))

    def limiting_module(
        self, module: api.DecisionModule, settings: api.Settings, clock: Callable[[], int],
        added: Mapping[int, RouteRules] = NO_ADDED_ROUTES,
    ) -> LimitingModule:  # fmt: skip
        """`clock`: Unix time in ns, by which log lines of several nodes are merged; `added`: routes that are
        not from the file."""
        module = self.wrap_module(module)
        if self._tally_every_ns:
            from driftstair.tally.tally import Tally

            def log_tally(line: dict[str, Any]) -> None:
                log.info("tally %s", json.dumps({"at_ms": clock() // 1_000_000, **line}))

            module = Tally(module, settings, self._tally_every_ns, log_tally)
        return LimitingModule(module, settings, self.rules, self.fleet_budget, added)
