"""Compiled routes: each is compiled when it is first used, and the ones used last are cached.

A compiled route takes about 2 KB, four times its stored size, so that a node can't hold all routes compiled.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping

from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.schema import ContentError, parse_route
from driftstair.limits.compiled_route import RouteRules, compile_rules

COMPILED_ROUTES_MAX = 2_048  # about 4 MB
EVICTION_CANDIDATES_MAX = 16  # candidates examined for one eviction, which bounds its cost

ContentLookUp = Callable[[ResourceKey], bytes | None]
"""Returns the content in force of a resource, if there is one."""


def always_true(number: int) -> bool:
    """The default of `may_evict`: any number may be evicted."""
    return True


def do_nothing(number: int) -> None:
    """The default of `on_evict`: does nothing."""
    return None


class CompiledRoutes(Mapping[int, RouteRules]):
    """Compiled rules by the route number that requests carry. A route keeps its number while it is cached, so
    that its counters outlive changes of the route. No number is used twice."""

    def __init__(
        self, look_up_content: ContentLookUp, attempts_max: int, first_number: int,
        may_evict: Callable[[int], bool] = always_true, on_evict: Callable[[int], None] = do_nothing,
    ) -> None:  # fmt: skip
        """`may_evict`: whether the route of a number has no open request. `on_evict`: called when a number is
        no longer used."""
        self._look_up_content = look_up_content
        self._attempts_max = attempts_max
        self._next_number = first_number
        self._may_evict = may_evict
        self._on_evict = on_evict
        self._numbers: OrderedDict[str, int] = OrderedDict()  # by name, the most recently used one at the end
        self._rules: dict[int, RouteRules] = {}
        self._stale: set[str] = set()  # names of routes that have changed since they were compiled

    def __getitem__(self, number: int) -> RouteRules:
        return self._rules[number]

    def __iter__(self) -> Iterator[int]:
        return iter(self._rules)

    def __len__(self) -> int:
        return len(self._rules)

    @property
    def by_number(self) -> Mapping[int, RouteRules]:
        """The underlying dictionary, which saves requests a call of `__getitem__` for each look-up."""
        return self._rules

    def rules(self, name: str) -> RouteRules | None:
        """Returns the rules of the route in force with this name, if there is one."""
        number = self._numbers.get(name)
        if number is None or name in self._stale:
            return self._compile(name)
        self._numbers.move_to_end(name)
        return self._rules[number]

    def on_change(self, name: str) -> None:
        """Marks a route whose content has changed to be compiled anew, or evicts it if it is deleted."""
        if name not in self._numbers:
            return
        if self._look_up_content(_route_key(name)) is None:
            self._evict(name)
        else:
            self._stale.add(name)

    def on_all_changed(self) -> None:
        """Marks all routes to be compiled anew after the whole configuration was replaced. They keep their
        numbers, since most of the routes stay the same."""
        self._stale.update(self._numbers)

    def _compile(self, name: str) -> RouteRules | None:
        content = self._look_up_content(_route_key(name))
        if content is None:
            if name in self._numbers:
                self._evict(name)
            return None
        try:
            route = parse_route(name, content)
        except ContentError:
            return None  # a content that was never validated
        rules = compile_rules(route, self._assign_number(name), self._attempts_max)
        self._rules[rules.module_limits.route] = rules
        self._stale.discard(name)
        return rules

    def _assign_number(self, name: str) -> int:
        number = self._numbers.get(name)
        if number is None:
            self._evict_if_full()
            number = self._next_number
            self._next_number += 1
        self._numbers[name] = number
        self._numbers.move_to_end(name)
        return number

    def _evict_if_full(self) -> None:
        if len(self._numbers) < COMPILED_ROUTES_MAX:
            return
        candidates = [name for name, _ in zip(self._numbers, range(EVICTION_CANDIDATES_MAX), strict=False)]
        for name in candidates:
            if self._may_evict(self._numbers[name]):
                self._evict(name)
                return
            self._numbers.move_to_end(name)  # examined again once it is the least recently used one

    def _evict(self, name: str) -> None:
        number = self._numbers.pop(name)
        del self._rules[number]
        self._stale.discard(name)
        self._on_evict(number)


def _route_key(name: str) -> ResourceKey:
    return ResourceKey(ResourceKind.ROUTE, name)
