"""A packed index of the routes at each path, with about 200 bytes per route. It finds the route of a request,
and the routes that another route could be confused with.

Ranks and shapes are those of `driftstair.limits.routes`. Unlike the index there, routes can be added and
removed one by one, a path costs one dictionary entry, and a route costs one line of text for each combination
of class, tenant and method that it names (see `route_lines`).
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import NamedTuple

from driftstair.configuration.route_lines import (
    AFTER_PART_END,
    ANY_PATH,
    EXACT,
    FIELD_END,
    PART_START,
    PREFIX,
    TEMPLATE,
    Entry,
    PathId,
    escape,
    join_fields,
    line_prefix,
    path_id,
    path_rank,
    shape_prefix,
    template_id,
    template_parts,
    template_prefix,
    unescape,
)
from driftstair.configuration.sorted_lines import SortedLines
from driftstair.limits.routes import LookUpKey, Pattern, Rank, RouteQuery, Shape

MEMO_ENTRIES_MAX = 2_048  # look-up results that are cached, 0.5 KB each
NO_ROUTE_NAMES: frozenset[str] = frozenset()
ANY_PATH_ID = PathId(str(ANY_PATH))
Mask = tuple[int, ...]
"""The positions of the parts of a template that match any part."""


class RouteMatch(NamedTuple):
    """A route that a request matches."""

    name: str
    path: PathId
    shape: Shape

    @property
    def rank(self) -> Rank:
        """The rank, equal to that of Pattern.rank."""
        return (*path_rank(self.path), *self.shape.rank)


class RouteIndex:
    """An index of routes by path, shape and look-up key."""

    def __init__(self) -> None:
        self._lines = SortedLines()
        self._shapes: dict[PathId, tuple[Shape, ...]] = {}  # at each path, the most specific first
        self._interned_shapes: dict[tuple[Shape, ...], tuple[Shape, ...]] = {}  # shares equal tuples
        # By number of parts: the number of templates with each mask.
        self._template_masks: dict[int, dict[Mask, int]] = {}
        # Lengths of prefixes by their first part, the longest first.
        self._prefix_lengths: dict[str, tuple[int, ...]] = {}
        self._interned_lengths: dict[tuple[int, ...], tuple[int, ...]] = {}
        self._memo: dict[tuple[PathId, Shape, LookUpKey], str | None] = {}

    def __len__(self) -> int:
        """The number of lines, not of routes."""
        return len(self._lines)

    def add(self, name: str, pattern: Pattern) -> None:
        """Adds a route."""
        path, shape = path_id(pattern.path), Shape.of(pattern)
        shapes = self._shapes.get(path, ())
        if not shapes:
            self._add_path(path)
        if shape not in shapes:
            all_shapes = sorted((*shapes, shape), key=lambda candidate: candidate.rank, reverse=True)
            self._shapes[path] = self._intern_shapes(tuple(all_shapes))
        for look_up_key in pattern.look_up_keys():
            self._lines.add(line_prefix(path, shape, look_up_key) + name.encode())
            self._memo.pop((path, shape, look_up_key), None)

    def remove(self, name: str, pattern: Pattern) -> None:
        """Removes a route that was added with the same pattern."""
        path, shape = path_id(pattern.path), Shape.of(pattern)
        for look_up_key in pattern.look_up_keys():
            self._lines.discard(line_prefix(path, shape, look_up_key) + name.encode())
            self._memo.pop((path, shape, look_up_key), None)
        if path not in self._shapes or self._has_shape(path, shape):
            return
        remaining_shapes = tuple(other for other in self._shapes[path] if other != shape)
        if remaining_shapes:
            self._shapes[path] = self._intern_shapes(remaining_shapes)
        else:
            del self._shapes[path]
            self._remove_path(path)

    def release_in_steps(self) -> Iterator[None]:
        """Empties the index and frees its memory in steps."""
        self._memo.clear()
        yield from self._lines.release_in_steps()
        for table in (self._shapes, self._prefix_lengths):
            while table:
                table.popitem()
                yield

    def find(self, query: RouteQuery, excluded: Collection[str] = NO_ROUTE_NAMES) -> RouteMatch | None:
        """Finds the most specific route that the request matches. Names in `excluded` are ignored."""
        for paths in self._matching_paths(query.path):
            best = self._find_at(paths[0], query, excluded)
            for path in paths[1:] if len(paths) > 1 else ():
                candidate = self._find_at(path, query, excluded)
                if candidate is not None and (best is None or candidate.shape.rank > best.shape.rank):
                    best = candidate
            if best is not None:
                return best
        return None

    def serves(self, path: str) -> bool:
        """Whether a route with a path pattern matches this path. Routes that match any path do not count."""
        return any(
            matching_path != ANY_PATH_ID for paths in self._matching_paths(path) for matching_path in paths
        )

    def shapes_at(self, path: PathId) -> tuple[Shape, ...]:
        """The shapes of the routes at a path, the most specific first."""
        return self._shapes.get(path, ())

    def names_at(self, path: PathId, shape: Shape, look_up_key: LookUpKey) -> Iterator[str]:
        """The names of the routes at a path that have exactly this shape and look-up key."""
        prefix = line_prefix(path, shape, look_up_key)
        for line in self._lines.all_with_prefix(prefix):
            yield line[len(prefix) :].decode()

    def entries(self, path: PathId, shape: Shape, *fields: str) -> Iterator[Entry]:
        """The entries of one shape at a path, restricted to the class, tenant, method and key as far as they
        are given, in this order."""
        prefix = shape_prefix(path, shape) + (join_fields(tuple(map(escape, fields))) if fields else b"")
        for line in self._lines.all_with_prefix(prefix):
            yield Entry(*line.decode().split(FIELD_END)[3:])

    def overlapping_templates(self, path: PathId) -> Iterator[PathId | None]:
        """Yields the templates with equally many fixed parts that share a matching path with this one. None
        is yielded while the search goes on, at most about 10 look-ups apart."""
        parts = template_parts(path)
        for mask in self._template_masks.get(len(parts), ()):
            if len(mask) == parts.count(""):
                yield from self._walk_templates(parts, mask, ())

    # Paths.

    def _add_path(self, path: PathId) -> None:
        if path[0] == str(TEMPLATE):
            parts = template_parts(path)
            masks = self._template_masks.setdefault(len(parts), {})
            masks[_mask_of(parts)] = masks.get(_mask_of(parts), 0) + 1
        elif path[0] == str(PREFIX):
            part = _first_part(path[1:])
            lengths = tuple(sorted({*self._prefix_lengths.get(part, ()), len(path) - 1}, reverse=True))
            self._prefix_lengths[part] = self._interned_lengths.setdefault(lengths, lengths)

    def _remove_path(self, path: PathId) -> None:
        if path[0] == str(TEMPLATE):
            parts = template_parts(path)
            masks, mask = self._template_masks[len(parts)], _mask_of(parts)
            masks[mask] -= 1
            if not masks[mask]:
                del masks[mask]
        elif path[0] == str(PREFIX) and (part := _first_part(path[1:])):
            # Lengths that no prefix has any more stay while another prefix begins with this part. They cost a
            # look-up each.
            if self._lines.first_with_prefix(escape(f"{PREFIX}{part}").encode()) is None:
                self._prefix_lengths.pop(part, None)

    def _matching_paths(self, path: str) -> Iterator[list[PathId]]:
        """Yields the matching indexed paths, the most specific first. Paths of equal rank share a list."""
        shapes = self._shapes
        if (key := PathId(f"{EXACT}{path}")) in shapes:
            yield [key]
        if self._template_masks:
            parts = path.split("/")[1:]
            masks = self._template_masks.get(len(parts))
            if masks:
                yield from self._template_paths(parts, masks)
        if self._prefix_lengths:
            for part in (_first_part(path), ""):
                for length in self._prefix_lengths.get(part, ()):
                    if length <= len(path) and (key := PathId(f"{PREFIX}{path[:length]}")) in shapes:
                        yield [key]
                if not part:
                    break
        if ANY_PATH_ID in shapes:
            yield [ANY_PATH_ID]

    def _template_paths(self, parts: list[str], masks: dict[Mask, int]) -> Iterator[list[PathId]]:
        paths_by_free_count: dict[int, list[PathId]] = {}
        for mask in masks:
            template = parts.copy()
            for position in mask:
                template[position] = ""
            key = template_id(template)
            # An empty part of the path does not match a fixed part.
            if key in self._shapes and template.count("") == len(mask):
                paths_by_free_count.setdefault(len(mask), []).append(key)
        for free_count in sorted(paths_by_free_count):
            yield paths_by_free_count[free_count]

    def _walk_templates(
        self, parts: list[str], mask: Mask, leading_parts: tuple[str, ...]
    ) -> Iterator[PathId | None]:
        """Yields the templates with the given mask that begin with `leading_parts` and overlap the rest of
        `parts`. None is yielded while the search goes on."""
        position = len(leading_parts)
        if position == len(parts):
            template = template_id(leading_parts)
            yield template if template in self._shapes else None
        elif position in mask:
            yield from self._walk_templates(parts, mask, (*leading_parts, ""))
        elif parts[position]:
            yield from self._walk_templates(parts, mask, (*leading_parts, parts[position]))
        else:
            for part in self._next_parts(leading_parts):
                yield None
                yield from self._walk_templates(parts, mask, (*leading_parts, part))

    def _next_parts(self, leading_parts: tuple[str, ...]) -> Iterator[str]:
        """Yields the fixed parts that follow the given leading parts in any template."""
        line_start = (template_prefix(leading_parts) + PART_START).encode()
        line = self._lines.first_with_prefix(line_start)
        while line is not None and line.startswith(line_start):
            part = line[len(line_start) :].decode().partition(PART_START)[0].partition(FIELD_END)[0]
            if part:
                yield unescape(part)
            line = self._lines.first_at_or_after(line_start + (part + AFTER_PART_END).encode())

    # Routes at a path.

    def _find_at(self, path: PathId, query: RouteQuery, excluded: Collection[str]) -> RouteMatch | None:
        for shape in self._shapes[path]:
            look_up_key = shape.look_up_key(query)
            if look_up_key is None:
                continue
            try:
                name = self._memo[path, shape, look_up_key]
            except KeyError:
                name = self._look_up(path, shape, look_up_key)
            if name is not None and name not in excluded:
                return RouteMatch(name, path, shape)
        return None

    def _look_up(self, path: PathId, shape: Shape, look_up_key: LookUpKey) -> str | None:
        try:
            name = next(self.names_at(path, shape, look_up_key), None)
        except UnicodeError:
            name = None  # a header that is not valid text equals no route's value
        memo = self._memo
        if len(memo) >= MEMO_ENTRIES_MAX:
            del memo[next(iter(memo))]
        memo[path, shape, look_up_key] = name
        return name

    def _has_shape(self, path: PathId, shape: Shape) -> bool:
        return self._lines.first_with_prefix(shape_prefix(path, shape)) is not None

    def _intern_shapes(self, shapes: tuple[Shape, ...]) -> tuple[Shape, ...]:
        return self._interned_shapes.setdefault(shapes, shapes)


def _first_part(path: str) -> str:
    """Returns the first part of a path with its slashes, or "" if the path ends within it."""
    end = path.find("/", 1)
    return path[: end + 1] if end > 0 else ""


def _mask_of(parts: list[str]) -> Mask:
    return tuple(position for position, part in enumerate(parts) if not part)
