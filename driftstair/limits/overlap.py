"""Overlap of routes: whether two can match the same request, and whether one covers another. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from itertools import product

from driftstair.limits.findings import Platform
from driftstair.limits.routes import PathPattern, Pattern
from lichenspring.interface import Repeat

Header = tuple[bytes, bytes]
"""A name and a value; b"*" for any value."""
Cell = tuple[str, str, str]
"""Class, tenant and method; "" stands for all that are not named."""


def cells(pattern: Pattern, platform: Platform | None) -> Iterator[Cell]:
    """All combinations of class, tenant and method that a route can match, those of unnamed tenants first."""
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


def is_at_least_as_wide(one: Pattern, other: Pattern) -> bool:
    """Whether `one` matches every path, header and key that `other` matches."""
    other_headers = dict(other.headers)
    headers = all(
        name in other_headers and value in (b"*", other_headers[name]) for name, value in one.headers
    )
    return one.path.covers(other.path) and headers and other.key.startswith(one.key)


def can_overlap(one: Pattern, other: Pattern) -> bool:
    """Whether some request matches both in path, headers and key; the other fields are not compared."""
    keys = one.key.startswith(other.key) or other.key.startswith(one.key)
    return one.path.overlaps(other.path) and headers_compatible(one.headers, other.headers) and keys


def headers_compatible(one: Sequence[Header], other: Sequence[Header]) -> bool:
    """Whether some request can have the headers of both."""
    other_headers = dict(other)
    return all(
        name not in other_headers or b"*" in (value, other_headers[name]) or value == other_headers[name]
        for name, value in one
    )


class OverlappingTemplates:
    """Finds overlapping path templates among templates with the same number of parts.

    Two templates overlap if they agree in the parts that are fixed in both. Each one is stored once for every
    known set of fixed positions, under its parts at the positions fixed in both, so no pairs are compared.
    """

    def __init__(self, paths: Iterable[PathPattern]) -> None:
        """`paths`: all templates that will be added."""
        self._position_sets = {_fixed_positions(path) for path in paths}
        self._indices: dict[tuple[frozenset[int], frozenset[int], tuple[str, ...]], list[int]] = {}

    def add(self, index: int, path: PathPattern) -> Iterator[int]:
        """Adds a template and yields the indices of those added before that overlap it."""
        own_positions = _fixed_positions(path)
        common = {positions: own_positions & positions for positions in self._position_sets}
        overlapping = [
            index_before
            for positions, both in common.items()
            for index_before in self._indices.get((positions, both, _parts_at(path, both)), ())
        ]
        for both in set(common.values()):
            self._indices.setdefault((own_positions, both, _parts_at(path, both)), []).append(index)
        return iter(overlapping)


def _fixed_positions(path: PathPattern) -> frozenset[int]:
    return frozenset(position for position, part in enumerate(path.parts) if part)


def _parts_at(path: PathPattern, positions: frozenset[int]) -> tuple[str, ...]:
    return tuple(path.parts[position] for position in sorted(positions))
