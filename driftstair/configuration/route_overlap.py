"""Finds ties and shadowed routes by look-ups in the route index, where `limits.validation` compares all
pairs.

Two routes tie if a request can match both and neither is more specific. A route is shadowed if more specific
routes take all requests that it can match. Routes that precede another one and take some of its requests
stand at the same path and have the same key and header names, because a route that is wider in one of these
ranks lower. So a few look-ups are enough, at any number of routes. Each search is a generator that yields
None after a bounded amount of work (about 0.2 ms).
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Iterator
from itertools import product
from typing import NamedTuple

from driftstair.configuration.route_index import RouteIndex
from driftstair.configuration.route_lines import TEMPLATE, Entry, PathId, escape, parse_values, path_id
from driftstair.limits.findings import Platform
from driftstair.limits.overlap import Header, cells, headers_compatible
from driftstair.limits.routes import ANY, LookUpKey, Pattern, Shape

STEP_LOOK_UPS = 32  # lines or look-ups between two yields

Steps = Generator[None, None, None]


class _IndexPart(NamedTuple):
    """An index, and the names of the routes in it that are ignored."""

    route_index: RouteIndex
    excluded: Collection[str]

    def names_at(self, path: PathId, shape: Shape, look_up_key: LookUpKey) -> Iterator[str]:
        return (
            name for name in self.route_index.names_at(path, shape, look_up_key) if name not in self.excluded
        )


class RouteView:
    """The routes as a change set would leave them: those in force that it does not change, and those that it
    puts."""

    def __init__(self, index: RouteIndex, changed_names: Collection[str], staged: RouteIndex) -> None:
        self._parts = (_IndexPart(index, changed_names), _IndexPart(staged, ()))
        self._unchanged_part = self._parts[0]

    def find_tie(self, pattern: Pattern) -> Generator[None, None, str | None]:
        """Returns the name of a route that ties with this one, which must not be in the view itself."""
        for part in self._parts:
            for path in _paths_of_equal_rank(part.route_index, pattern):
                if path is None:
                    yield
                    continue
                tied_route = yield from _find_tie_at(part, path, pattern)
                if tied_route is not None:
                    return tied_route
        return None

    def is_shadowed(self, pattern: Pattern, platform: Platform | None) -> Generator[None, None, bool]:
        """Whether more specific routes take all requests that this one could match."""
        path = path_id(pattern.path)
        more_specific = [
            candidate
            for candidate in self._comparable_shapes(pattern, path)
            if candidate.rank[2:] > _named_fields(pattern)
        ]
        covering_shapes = [
            (shape, values)
            for shape in more_specific
            if (values := _covering_values(shape, pattern)) is not None
        ]
        if not covering_shapes:
            return False
        look_ups = 0
        for kind, tenant, method in cells(pattern, platform):
            for shape, values in covering_shapes:
                look_ups += 1
                if look_ups % STEP_LOOK_UPS == 0:
                    yield
                look_up_key = _cell_look_up_key(shape, (kind, tenant, method), values, pattern.key)
                if any(next(part.names_at(path, shape, look_up_key), None) for part in self._parts):
                    break
            else:
                return False
        return look_ups > 0

    def find_partly_covered(self, pattern: Pattern, platform: Platform | None) -> Iterator[str | None]:
        """Yields the unchanged routes that lose some of their requests to this one, each once. None is
        yielded while the search goes on."""
        path, part = path_id(pattern.path), self._unchanged_part
        seen: set[str] = set()
        look_ups = 0
        for shape in self._comparable_shapes(pattern, path):
            if not _can_complete_shadow(pattern, shape, platform):
                continue
            for leading_fields in _entry_prefixes(pattern, shape):
                for entry in part.route_index.entries(path, shape, *leading_fields):
                    look_ups += 1
                    if look_ups % STEP_LOOK_UPS == 0:
                        yield None
                    is_new = entry.name not in seen and entry.name not in part.excluded
                    if is_new and _covers_entry(pattern, shape, entry):
                        seen.add(entry.name)
                        yield entry.name

    def _comparable_shapes(self, pattern: Pattern, path: PathId) -> list[Shape]:
        """The shapes at the path of the pattern that have the same header names and the same key length."""
        names = tuple(name for name, _ in pattern.headers)
        shapes = {shape for part in self._parts for shape in part.route_index.shapes_at(path)}
        rank_start = pattern.rank_at_path()[:2]
        return sorted(
            candidate
            for candidate in shapes
            if candidate.header_names == names and candidate.rank[:2] == rank_start
        )


def _paths_of_equal_rank(index: RouteIndex, pattern: Pattern) -> Iterator[PathId | None]:
    """Yields the paths of equal rank that can match the same request path."""
    path = path_id(pattern.path)
    if pattern.path.shape == TEMPLATE:
        yield from index.overlapping_templates(path)
    else:
        yield path


def _find_tie_at(part: _IndexPart, path: PathId, pattern: Pattern) -> Generator[None, None, str | None]:
    own_shape = Shape.of(pattern)
    look_ups = 0
    for shape in part.route_index.shapes_at(path):
        if shape.rank != own_shape.rank:
            continue
        for look_up_key in pattern.look_up_keys():
            look_ups += 1
            if look_ups % STEP_LOOK_UPS == 0:
                yield
            if shape == own_shape:
                tied_route = next(part.names_at(path, shape, look_up_key), None)
            else:
                tied_route = yield from _find_tie_by_headers(part, path, shape, look_up_key, pattern)
            if tied_route is not None:
                return tied_route
    return None


def _find_tie_by_headers(
    part: _IndexPart, path: PathId, shape: Shape, look_up_key: LookUpKey, pattern: Pattern
) -> Generator[None, None, str | None]:
    """Finds a tie with routes that have other header names, or that match any value of other headers. The
    values of each route have to be compared."""
    kind, tenant, method, _, key = look_up_key
    for look_ups, entry in enumerate(part.route_index.entries(path, shape, kind, tenant, method, key), 1):
        if look_ups % STEP_LOOK_UPS == 0:
            yield
        if entry.name not in part.excluded and headers_compatible(pattern.headers, _headers(shape, entry)):
            return entry.name
    return None


def _headers(shape: Shape, entry: Entry) -> list[Header]:
    return (
        list(zip(shape.header_names, parse_values(entry.values), strict=True)) if shape.header_names else []
    )


def _named_fields(pattern: Pattern) -> tuple[int, ...]:
    """Whether class, tenant and method are named."""
    return pattern.rank_at_path()[2:]


def _covering_values(shape: Shape, pattern: Pattern) -> tuple[bytes, ...] | None:
    """Returns the header values with which a route of this shape takes all requests that match the headers of
    the pattern. None if no values do."""
    values = tuple(value for _, value in pattern.headers)
    if any(value == b"*" and not is_any for value, is_any in zip(values, shape.any_value, strict=True)):
        return None
    return tuple(b"*" if is_any else value for value, is_any in zip(values, shape.any_value, strict=True))


def _cell_look_up_key(
    shape: Shape, cell: tuple[str, str, str], values: tuple[bytes, ...], key: str
) -> LookUpKey:
    kind, tenant, method = (
        name if is_named else ANY for name, is_named in zip(cell, shape.rank[2:], strict=True)
    )
    return kind, tenant, method, values, key


def _can_complete_shadow(pattern: Pattern, shape: Shape, platform: Platform | None) -> bool:
    """Whether the pattern can be the one that leaves a route of this lower shape without any requests."""
    named_fields = _named_fields(pattern)
    if named_fields <= shape.rank[2:]:
        return False
    names_class, names_tenant = shape.rank[2:4]
    if pattern.tenants and not names_tenant and ANY not in pattern.tenants:
        return False  # the requests of tenants that are not named remain to the route
    if pattern.classes and not names_class and platform is None:
        return False  # without a platform the set of all classes is unknown
    values = (value for _, value in pattern.headers)
    return not any(is_any and value != b"*" for value, is_any in zip(values, shape.any_value, strict=True))


def _entry_prefixes(pattern: Pattern, shape: Shape) -> Iterator[tuple[str, ...]]:
    """Yields the leading fields of the lines whose requests the pattern can take. They end at the first field
    that the shape names and the pattern does not."""
    choices: list[tuple[str, ...]] = []
    for is_named, pattern_names in zip(
        shape.rank[2:], (pattern.classes, pattern.tenants, pattern.methods), strict=True
    ):
        if is_named and not pattern_names:
            break
        choices.append(tuple(sorted(pattern_names)) if is_named else (ANY,))
    else:
        choices.append((pattern.key,))
    return product(*choices)


def _covers_entry(pattern: Pattern, shape: Shape, entry: Entry) -> bool:
    """Whether each request that matches key and headers of the entry also matches those of the pattern."""
    if entry.key != escape(pattern.key):
        return False
    headers = dict(_headers(shape, entry))
    return all(value in (b"*", headers[name]) for name, value in pattern.headers)
