"""All routes of one service file, compiled for one node."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from driftstair.limits.budgets import TokenBudget
from driftstair.limits.compiled_route import RouteRules, compile_rules, no_fleet
from driftstair.limits.limiting_module import NONE_ADDED, LimitingModule
from driftstair.limits.routes import Pattern, RouteQuery, Routes
from driftstair.service.schema import Service
from lichenspring import interface as api

log = logging.getLogger(__name__)


class RequestTable(Protocol):
    """What a node asks of routes."""

    module_type: type[LimitingModule]
    source: str  # of the file, for the log
    rules: list[RouteRules]  # of the file, by number

    def route_query(self, method: bytes, path: bytes, fields: Mapping[bytes, bytes]) -> RouteQuery: ...

    def find(self, asked: RouteQuery) -> RouteRules | None: ...

    def serves(self, path: bytes) -> bool: ...

    def limiting_module(
        self, module: api.DecisionModule, settings: api.Settings, clock: Callable[[], int]
    ) -> LimitingModule: ...


def _as_it_is(module: api.DecisionModule) -> api.DecisionModule:
    return module


class FileRequestTable:
    """`find` tells a request's rules; `limiting_module` puts them round a decision module."""

    module_type = LimitingModule

    def __init__(self, service: Service, settings: api.Settings, source: str = "") -> None:
        self.source = source  # file and hash, for the log
        self.fleet_budget: Callable[[str], TokenBudget] = no_fleet
        self.wrap_module: Callable[[api.DecisionModule], api.DecisionModule] = _as_it_is
        self._tally_every = service.tally.every if service.tally is not None else 0  # ns
        self.routes = Routes(Pattern.of(route.match) for route in service.route)
        self.rules = [
            compile_rules(route, index, settings.max_attempts) for index, route in enumerate(service.route)
        ]

    @staticmethod
    def route_query(method: bytes, path: bytes, fields: Mapping[bytes, bytes]) -> RouteQuery:
        """A request off the wire, in the terms of routes."""
        return RouteQuery(
            fields[b"x-class"].decode("latin-1"), fields.get(b"x-tenant", b"").decode("latin-1"),
            method.decode("latin-1"), path.decode("latin-1"), fields,
            fields.get(b"x-key", b"").decode("latin-1"),
        )  # fmt: skip

    def find(self, asked: RouteQuery) -> RouteRules | None:
        index = self.routes.find(asked)
        return None if index is None else self.rules[index]

    def serves(self, path: bytes) -> bool:
        return self.routes.serves(path.decode("latin-1"))

    def limiting_module(
        self, module: api.DecisionModule, settings: api.Settings, clock: Callable[[], int],
        added: Mapping[int, RouteRules] = NONE_ADDED,
    ) -> LimitingModule:  # fmt: skip
        """`clock`: Unix time in ns, which lines of the log from several nodes are put together by; `added`:
        routes beside the file's."""
        module = self.wrap_module(module)
        if self._tally_every:
            from driftstair.tally.tally import Tally

            def say(line: dict[str, Any]) -> None:
                log.info("tally %s", json.dumps({"at_ms": clock() // 1_000_000, **line}))

            module = Tally(module, settings, self._tally_every, say)
        return LimitingModule(module, settings, self.rules, self.fleet_budget, added)
