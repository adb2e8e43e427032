"""The look-ups of a request: the service file's routes first, then those of the configuration in force."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.schema import ContentError, parse_route, parse_tenant
from driftstair.limits.limited import ADDED_FIRST, Limited
from driftstair.limits.narrow import Rules, rules_of
from driftstair.limits.routes import Asked
from driftstair.limits.table import Table
from driftstair.node_configuration.in_force import ConfigurationInForce
from driftstair.node_configuration.tenant_limits import TenantLimit
from lichenspring import interface as api

TENANT_BURST = 10.0  # requests, where a tenant's limit names none; as a route's rate
PARSED_TENANTS_MAX = 4_096  # contents that are remembered as figures: tenants have few plans


class RequestTables(Mapping[int, Rules]):
    """Routes of the configuration by request; and by number, for `Limited`. Compiled when first used.

    A route keeps its number while it is there, so that what is counted of it outlives its changes.
    """

    def __init__(self, current: Callable[[], ConfigurationInForce], attempts_most: int) -> None:
        """`current`: what is in force now."""
        self.limited: Limited | None = None  # which counts by these routes
        self._current = current
        self._attempts_most = attempts_most
        self._rules: dict[str, Rules] = {}  # compiled, by name
        self._by_number: dict[int, Rules] = {}
        self._numbers: dict[str, int] = {}  # of routes that were ever used
        self._next_number = ADDED_FIRST
        self._tenants: dict[bytes, TenantLimit] = {}  # by content

    def __getitem__(self, number: int) -> Rules:
        return self._by_number[number]

    def __iter__(self) -> Iterator[int]:
        return iter(self._by_number)

    def __len__(self) -> int:
        return len(self._by_number)

    def find(self, asked: Asked) -> Rules | None:
        name = self._current().find_route(asked)
        if name is None:
            return None
        return self._rules.get(name) or self._compile(name)

    def serves(self, path: str) -> bool:
        return self._current().serves(path)

    def tenant(self, name: str) -> TenantLimit | None:
        content = self._current().state.content(ResourceKey(ResourceKind.TENANT, name)) if name else None
        if content is None:
            return None
        return self._tenants.get(content) or self._parse_tenant(content)

    def drop(self, name: str) -> None:
        """A route has changed: it is compiled anew when it is next used."""
        self._rules.pop(name, None)

    def drop_all(self) -> None:
        """Another whole configuration is in force. Numbers stay: most of its routes are the same ones."""
        self._rules.clear()
        self._tenants.clear()

    def forget_gone(self, name: str) -> None:
        """What is counted of a route ends where it is there no more."""
        if name not in self._numbers:
            return
        if self._current().state.content(ResourceKey(ResourceKind.ROUTE, name)) is None:
            number = self._numbers.pop(name)
            del self._by_number[number]
            if self.limited is not None:
                self.limited.forget(number)

    def _compile(self, name: str) -> Rules | None:
        content = self._current().state.content(ResourceKey(ResourceKind.ROUTE, name))
        if content is None:
            return None
        try:
            route = parse_route(name, content)
        except ContentError:
            return None  # nothing that was proved
        number = self._numbers.get(name)
        if number is None:
            number = self._numbers[name] = self._next_number
            self._next_number += 1
        rules = rules_of(route, number, self._attempts_most)
        self._rules[name] = self._by_number[number] = rules
        return rules

    def _parse_tenant(self, content: bytes) -> TenantLimit | None:
        try:
            told = parse_tenant(content)
        except ContentError:
            return None  # nothing that was proved
        burst = TENANT_BURST if told.burst is None else told.burst
        limit = TenantLimit(told.per_s or 0.0, burst if told.per_s else 0.0, told.in_flight or 0)
        if len(self._tenants) >= PARSED_TENANTS_MAX:
            self._tenants.clear()
        self._tenants[content] = limit
        return limit


class CombinedTable:
    """What a node asks, in the place of the file's `Table`."""

    kind = Limited
    asked = staticmethod(Table.asked)

    def __init__(self, file: Table, configured: RequestTables) -> None:
        self.source = file.source
        self.rules = file.rules
        self._file = file
        self._configured = configured

    def find(self, asked: Asked) -> Rules | None:
        index = self._file.routes.find(asked) if self.rules else None
        return self._configured.find(asked) if index is None else self.rules[index]

    def serves(self, path: bytes) -> bool:
        return self._file.serves(path) or self._configured.serves(path.decode("latin-1"))

    def limited(self, module: api.Module, settings: api.Settings, clock: Callable[[], int]) -> Limited:
        limited = self._file.limited(module, settings, clock, self._configured)
        self._configured.limited = limited
        return limited
