"""Ties and shadows among routes by look-ups in their index: what `limits.validation` finds by a look at all
pairs.

A tie: a request can match both, and neither is more specific. A shadow: all that a route can match goes to
more specific ones. Those that come before a route and take any of it stand at the same path, with the same
key and header names: what is wider by one of these ranks lower. So a few look-ups tell, at any number of
routes. Everything here is a generator that yields None after a bounded piece of work (some 0.2 ms).
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Iterator
from itertools import product
from typing import NamedTuple

from driftstair.configuration.route_index import RouteIndex
from driftstair.configuration.route_lines import TEMPLATE, Entry, PathId, escaped, path_id, values_of
from driftstair.limits.findings import Platform
from driftstair.limits.overlap import Header, cells, headers_compatible
from driftstair.limits.routes import ANY, LookUpKey, Pattern, Shape

STEP_LOOKS = 32  # lines or look-ups between two yields

Steps = Generator[None, None, None]


class _Part(NamedTuple):
    """An index and the routes in it that count as if they were not there."""

    routes: RouteIndex
    masked: Collection[str]

    def names_at(self, path: PathId, shape: Shape, wanted: LookUpKey) -> Iterator[str]:
        return (name for name in self.routes.names_at(path, shape, wanted) if name not in self.masked)


class RouteView:
    """The routes as they are, without those that a change set changes, and with those that it puts."""

    def __init__(self, index: RouteIndex, changed: Collection[str], staged: RouteIndex) -> None:
        self._parts = (_Part(index, changed), _Part(staged, ()))
        self._unchanged = self._parts[0]

    def tie(self, pattern: Pattern) -> Generator[None, None, str | None]:
        """The name of a route that ties with this one, which is not itself in the view."""
        for part in self._parts:
            for path in _alike_paths(part.routes, pattern):
                if path is None:
                    yield
                    continue
                found = yield from _tie_at(part, path, pattern)
                if found is not None:
                    return found
        return None

    def is_shadowed(self, pattern: Pattern, platform: Platform | None) -> Generator[None, None, bool]:
        """Whether more specific routes take all that this one could match."""
        path = path_id(pattern.path)
        above = [one for one in self._shapes_like(pattern, path) if one.rank[2:] > _flags(pattern)]
        wanted_by = [(shape, values) for shape in above if (values := _values_as(shape, pattern)) is not None]
        if not wanted_by:
            return False
        looks = 0
        for kind, tenant, method in cells(pattern, platform):
            for shape, values in wanted_by:
                looks += 1
                if looks % STEP_LOOKS == 0:
                    yield
                wanted = _wanted(shape, (kind, tenant, method), values, pattern.key)
                if any(next(part.names_at(path, shape, wanted), None) for part in self._parts):
                    break
            else:
                return False
        return looks > 0

    def below(self, pattern: Pattern, platform: Platform | None) -> Iterator[str | None]:
        """Unchanged routes that this one takes something of; none twice. None: still looking."""
        path, part = path_id(pattern.path), self._unchanged
        seen: set[str] = set()
        looks = 0
        for shape in self._shapes_like(pattern, path):
            if not _can_complete(pattern, shape, platform):
                continue
            for fields in _beginnings(pattern, shape):
                for entry in part.routes.entries(path, shape, *fields):
                    looks += 1
                    if looks % STEP_LOOKS == 0:
                        yield None
                    new = entry.name not in seen and entry.name not in part.masked
                    if new and _takes_of(pattern, shape, entry):
                        seen.add(entry.name)
                        yield entry.name

    def _shapes_like(self, pattern: Pattern, path: PathId) -> list[Shape]:
        """Those at its path that ask for the same header names and as long a key."""
        names = tuple(name for name, _ in pattern.headers)
        shapes = {shape for part in self._parts for shape in part.routes.shapes_at(path)}
        start = pattern.rank_at_path()[:2]
        return sorted(one for one in shapes if one.header_names == names and one.rank[:2] == start)


def _alike_paths(index: RouteIndex, pattern: Pattern) -> Iterator[PathId | None]:
    """Paths of the same rank that some path matches too."""
    path = path_id(pattern.path)
    if pattern.path.shape == TEMPLATE:
        yield from index.templates_that_meet(path)
    else:
        yield path


def _tie_at(part: _Part, path: PathId, pattern: Pattern) -> Generator[None, None, str | None]:
    own = Shape.of(pattern)
    looks = 0
    for shape in part.routes.shapes_at(path):
        if shape.rank != own.rank:
            continue
        for wanted in pattern.look_up_keys():
            looks += 1
            if looks % STEP_LOOKS == 0:
                yield
            if shape == own:
                found = next(part.names_at(path, shape, wanted), None)
            else:
                found = yield from _tie_by_headers(part, path, shape, wanted, pattern)
            if found is not None:
                return found
    return None


def _tie_by_headers(
    part: _Part, path: PathId, shape: Shape, wanted: LookUpKey, pattern: Pattern
) -> Generator[None, None, str | None]:
    """Other header names, or others that may have any value: each route has to be looked at."""
    kind, tenant, method, _, key = wanted
    for looks, entry in enumerate(part.routes.entries(path, shape, kind, tenant, method, key), 1):
        if looks % STEP_LOOKS == 0:
            yield
        if entry.name not in part.masked and headers_compatible(pattern.headers, _headers(shape, entry)):
            return entry.name
    return None


def _headers(shape: Shape, entry: Entry) -> list[Header]:
    return list(zip(shape.header_names, values_of(entry.values), strict=True)) if shape.header_names else []


def _flags(pattern: Pattern) -> tuple[int, ...]:
    """Whether class, tenant and method are named."""
    return pattern.rank_at_path()[2:]


def _values_as(shape: Shape, pattern: Pattern) -> tuple[bytes, ...] | None:
    """Header values by which a route of this shape takes all that the pattern's headers let through."""
    values = tuple(value for _, value in pattern.headers)
    if any(value == b"*" and not free for value, free in zip(values, shape.any_value, strict=True)):
        return None
    return tuple(b"*" if free else value for value, free in zip(values, shape.any_value, strict=True))


def _wanted(shape: Shape, cell: tuple[str, str, str], values: tuple[bytes, ...], key: str) -> LookUpKey:
    kind, tenant, method = (name if named else ANY for name, named in zip(cell, shape.rank[2:], strict=True))
    return kind, tenant, method, values, key


def _can_complete(pattern: Pattern, shape: Shape, platform: Platform | None) -> bool:
    """Whether the pattern can be the one by which a route of this lower shape gets nothing any more."""
    flags = _flags(pattern)
    if flags <= shape.rank[2:]:
        return False
    names_class, names_tenant = shape.rank[2:4]
    if pattern.tenants and not names_tenant and ANY not in pattern.tenants:
        return False  # tenants that nobody names are left to it
    if pattern.classes and not names_class and platform is None:
        return False  # nobody knows all classes
    values = (value for _, value in pattern.headers)
    return not any(free and value != b"*" for value, free in zip(values, shape.any_value, strict=True))


def _beginnings(pattern: Pattern, shape: Shape) -> Iterator[tuple[str, ...]]:
    """How fields of lines begin that hold something that the pattern takes: up to the first one that the
    shape names and the pattern does not."""
    choices: list[tuple[str, ...]] = []
    for named, own in zip(shape.rank[2:], (pattern.classes, pattern.tenants, pattern.methods), strict=True):
        if named and not own:
            break
        choices.append(tuple(sorted(own)) if named else (ANY,))
    else:
        choices.append((pattern.key,))
    return product(*choices)


def _takes_of(pattern: Pattern, shape: Shape, entry: Entry) -> bool:
    """Whether key and headers of the pattern let through what the line's do."""
    if entry.key != escaped(pattern.key):
        return False
    headers = dict(_headers(shape, entry))
    return all(value in (b"*", headers[name]) for name, value in pattern.headers)
