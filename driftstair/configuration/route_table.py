"""Routes as the figures that requests go by: compiled when first used, the ones used last kept.

A compiled route takes some 2 KB, four times what it takes at rest, so that a node can't hold all of them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping

from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.schema import ContentError, parse_route
from driftstair.limits.compiled_route import RouteRules, compile_rules

COMPILED_MAX = 2_048  # routes: some 4 MB
LOOKS_MAX = 16  # at routes that might be forgotten, for one that comes: no look at all of them

ContentOf = Callable[[ResourceKey], bytes | None]
"""The content in force of a resource."""


def always(number: int) -> bool:
    return True


def nothing(number: int) -> None:
    return None


class CompiledRoutes(Mapping[int, RouteRules]):
    """Rules by the number that requests carry. A route keeps its number while it is kept here, so that what
    is counted of it outlives its changes; no number is used twice."""

    def __init__(
        self, content_of: ContentOf, attempts_max: int, first_number: int,
        may_forget: Callable[[int], bool] = always, on_forget: Callable[[int], None] = nothing,
    ) -> None:  # fmt: skip
        """`may_forget`: whether a number's route has no request open. `on_forget`: a number is over."""
        self._content_of = content_of
        self._attempts_max = attempts_max
        self._next_number = first_number
        self._may_forget = may_forget
        self._on_forget = on_forget
        self._numbers: OrderedDict[str, int] = OrderedDict()  # by name, the one used last at the end
        self._rules: dict[int, RouteRules] = {}
        self._stale: set[str] = set()  # routes that have changed since they were compiled

    def __getitem__(self, number: int) -> RouteRules:
        return self._rules[number]

    def __iter__(self) -> Iterator[int]:
        return iter(self._rules)

    def __len__(self) -> int:
        return len(self._rules)

    @property
    def by_number(self) -> Mapping[int, RouteRules]:
        """What this is a mapping of, without a call for each look-up of a request."""
        return self._rules

    def rules(self, name: str) -> RouteRules | None:
        """Of a route in force; None if there is none of this name."""
        number = self._numbers.get(name)
        if number is None or name in self._stale:
            return self._compile(name)
        self._numbers.move_to_end(name)
        return self._rules[number]

    def on_change(self, name: str) -> None:
        """The route has another content, or none any more: one that is gone is forgotten."""
        if name not in self._numbers:
            return
        if self._content_of(_key(name)) is None:
            self._forget(name)
        else:
            self._stale.add(name)

    def on_change_of_all(self) -> None:
        """Another whole configuration is in force. Numbers stay: most of its routes are the same ones."""
        self._stale.update(self._numbers)

    def _compile(self, name: str) -> RouteRules | None:
        content = self._content_of(_key(name))
        if content is None:
            if name in self._numbers:
                self._forget(name)
            return None
        try:
            route = parse_route(name, content)
        except ContentError:
            return None  # nothing that was proved
        rules = compile_rules(route, self._number(name), self._attempts_max)
        self._rules[rules.module_limits.route] = rules
        self._stale.discard(name)
        return rules

    def _number(self, name: str) -> int:
        number = self._numbers.get(name)
        if number is None:
            self._make_room()
            number = self._next_number
            self._next_number += 1
        self._numbers[name] = number
        self._numbers.move_to_end(name)
        return number

    def _make_room(self) -> None:
        if len(self._numbers) < COMPILED_MAX:
            return
        oldest = [name for name, _ in zip(self._numbers, range(LOOKS_MAX), strict=False)]
        for name in oldest:
            if self._may_forget(self._numbers[name]):
                self._forget(name)
                return
            self._numbers.move_to_end(name)  # looked at again when its turn comes

    def _forget(self, name: str) -> None:
        number = self._numbers.pop(name)
        del self._rules[number]
        self._stale.discard(name)
        self._on_forget(number)


def _key(name: str) -> ResourceKey:
    return ResourceKey(ResourceKind.ROUTE, name)
