"""Which requests two routes can both match, and which routes come before others. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from itertools import product

from driftstair.limits.findings import Platform
from driftstair.limits.routes import PathPattern, Pattern
from lichenspring.interface import Repeat

Header = tuple[bytes, bytes]
"""A name and its value; b"*" for any."""
Cell = tuple[str, str, str]
"""Class, tenant and method; "" stands for any that is not named."""


def cells(pattern: Pattern, platform: Platform | None) -> Iterator[Cell]:
    """All that a route may match, as far as classes, tenants and methods tell requests apart; those of a
    tenant that is not named first."""
    classes = sorted(pattern.classes) or sorted(platform.classes if platform else ("",))
    tenants = sorted(pattern.tenants) or ("", *(platform.tenants if platform else ()))
    methods = sorted(pattern.methods) or ("GET", "POST")
    for tenant, kind, method in product(tenants, classes, methods):
        if (
            platform is None
            or kind not in platform.classes
            or (method == "GET") is (platform.classes[kind].repeat is Repeat.SAFE)
        ):
            yield kind, tenant, method


def is_wider(one: Pattern, other: Pattern) -> bool:
    """Whether `one` asks nothing of path, headers and key that `other` does not ask too."""
    its = dict(other.headers)
    headers = all(name in its and value in (b"*", its[name]) for name, value in one.headers)
    return one.path.covers(other.path) and headers and other.key.startswith(one.key)


def can_meet(one: Pattern, other: Pattern) -> bool:
    """Whether some request matches both, as far as path, headers and key go; classes and the rest do."""
    keys = one.key.startswith(other.key) or other.key.startswith(one.key)
    return one.path.overlaps(other.path) and headers_compatible(one.headers, other.headers) and keys


def headers_compatible(one: Sequence[Header], other: Sequence[Header]) -> bool:
    """Whether some request has the headers of both."""
    its = dict(other)
    return all(name not in its or b"*" in (value, its[name]) or value == its[name] for name, value in one)


class MeetingTemplates:
    """Path templates of one number of parts: which of them some path matches together with another one.

    Two meet if they agree in the parts that are fixed in both. So each is kept once for each set of fixed
    places that there is, by its parts at the places that both have fixed: no look at all pairs.
    """

    def __init__(self, paths: Iterable[PathPattern]) -> None:
        """All that will be added."""
        self._places = {_fixed_places(path) for path in paths}
        self._kept: dict[tuple[frozenset[int], frozenset[int], tuple[str, ...]], list[int]] = {}

    def add(self, index: int, path: PathPattern) -> Iterator[int]:
        """Those added before that meet this one."""
        own = _fixed_places(path)
        common = {its: own & its for its in self._places}
        before = [
            one
            for its, both in common.items()
            for one in self._kept.get((its, both, _parts_at(path, both)), ())
        ]
        for both in set(common.values()):
            self._kept.setdefault((own, both, _parts_at(path, both)), []).append(index)
        return iter(before)


def _fixed_places(path: PathPattern) -> frozenset[int]:
    return frozenset(place for place, part in enumerate(path.parts) if part)


def _parts_at(path: PathPattern, places: frozenset[int]) -> tuple[str, ...]:
    return tuple(path.parts[place] for place in sorted(places))
