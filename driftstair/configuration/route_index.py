"""Which routes there are at a path, packed: some 200 bytes a route. Finds the route of a request, and the
routes that another one could be confused with.

Ranks and shapes are those of `driftstair.limits.routes`; the difference is that routes come and go one by
one, that a path costs one entry of a dictionary, and a route one line of text for each combination of class,
tenant and method that it names (see `route_lines`).
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import NamedTuple

from driftstair.configuration.route_lines import (
    AFTER_PART,
    ANY_PATH,
    EXACT,
    FIELD,
    PART,
    PREFIX,
    TEMPLATE,
    Entry,
    PathId,
    escaped,
    joined,
    line_prefix,
    path_id,
    path_rank,
    shape_prefix,
    template_id,
    template_parts,
    template_prefix,
    unescaped,
)
from driftstair.configuration.sorted_lines import SortedLines
from driftstair.limits.routes import LookUpKey, Pattern, Rank, RouteQuery, Shape

MEMO_MAX = 2_048  # answers that are kept: 0.5 KB each
NOBODY: frozenset[str] = frozenset()
ANY = PathId(str(ANY_PATH))
Mask = tuple[int, ...]
"""The places of a template's parts that may be anything."""


class FoundRoute(NamedTuple):
    """A route that a request matches."""

    name: str
    path: PathId
    shape: Shape

    @property
    def rank(self) -> Rank:
        """As Pattern.rank."""
        return (*path_rank(self.path), *self.shape.rank)


class RouteIndex:
    def __init__(self) -> None:
        self._lines = SortedLines()
        self._shapes: dict[PathId, tuple[Shape, ...]] = {}  # at each path, the most specific first
        self._known_shapes: dict[tuple[Shape, ...], tuple[Shape, ...]] = {}  # one object for equal ones
        self._masks: dict[int, dict[Mask, int]] = {}  # by number of parts: how many templates of each
        self._lengths: dict[str, tuple[int, ...]] = {}  # of prefixes, by their first part; the longest first
        self._known_lengths: dict[tuple[int, ...], tuple[int, ...]] = {}
        self._memo: dict[tuple[PathId, Shape, LookUpKey], str | None] = {}

    def __len__(self) -> int:
        """How many lines there are."""
        return len(self._lines)

    def add(self, name: str, pattern: Pattern) -> None:
        path, shape = path_id(pattern.path), Shape.of(pattern)
        shapes = self._shapes.get(path, ())
        if not shapes:
            self._add_path(path)
        if shape not in shapes:
            both = sorted((*shapes, shape), key=lambda one: one.rank, reverse=True)
            self._shapes[path] = self._shared(tuple(both))
        for wanted in pattern.look_up_keys():
            self._lines.add(line_prefix(path, shape, wanted) + name.encode())
            self._memo.pop((path, shape, wanted), None)

    def remove(self, name: str, pattern: Pattern) -> None:
        path, shape = path_id(pattern.path), Shape.of(pattern)
        for wanted in pattern.look_up_keys():
            self._lines.discard(line_prefix(path, shape, wanted) + name.encode())
            self._memo.pop((path, shape, wanted), None)
        if path not in self._shapes or self._has_shape(path, shape):
            return
        left = tuple(one for one in self._shapes[path] if one != shape)
        if left:
            self._shapes[path] = self._shared(left)
        else:
            del self._shapes[path]
            self._remove_path(path)

    def releasing(self) -> Iterator[None]:
        """Gives its memory back in steps; there is no route in it then."""
        self._memo.clear()
        yield from self._lines.releasing()
        for paths in (self._shapes, self._lengths):
            while paths:
                paths.popitem()
                yield

    def find(self, asked: RouteQuery, masked: Collection[str] = NOBODY) -> FoundRoute | None:
        """The most specific route that the request matches, without those that are masked."""
        for paths in self._paths(asked.path):
            best = self._find_at(paths[0], asked, masked)
            for path in paths[1:] if len(paths) > 1 else ():
                found = self._find_at(path, asked, masked)
                if found is not None and (best is None or found.shape.rank > best.shape.rank):
                    best = found
            if best is not None:
                return best
        return None

    def serves(self, path: str) -> bool:
        """Whether a route names this path (one that any path would match names none)."""
        return any(one != ANY for paths in self._paths(path) for one in paths)

    def shapes_at(self, path: PathId) -> tuple[Shape, ...]:
        return self._shapes.get(path, ())

    def names_at(self, path: PathId, shape: Shape, wanted: LookUpKey) -> Iterator[str]:
        """The routes that are found by just this."""
        prefix = line_prefix(path, shape, wanted)
        for line in self._lines.all_with(prefix):
            yield line[len(prefix) :].decode()

    def entries(self, path: PathId, shape: Shape, *fields: str) -> Iterator[Entry]:
        """The lines of one shape at a path: of one class, tenant, method, key as far as they are given."""
        prefix = shape_prefix(path, shape) + (joined(tuple(map(escaped, fields))) if fields else b"")
        for line in self._lines.all_with(prefix):
            yield Entry(*line.decode().split(FIELD)[3:])

    def templates_that_meet(self, path: PathId) -> Iterator[PathId | None]:
        """The templates with as many fixed parts that some path matches together with this one. None: still
        looking, after some 10 look-ups."""
        parts = template_parts(path)
        for mask in self._masks.get(len(parts), ()):
            if len(mask) == parts.count(""):
                yield from self._walk(parts, mask, ())

    # Paths.

    def _add_path(self, path: PathId) -> None:
        if path[0] == str(TEMPLATE):
            parts = template_parts(path)
            masks = self._masks.setdefault(len(parts), {})
            masks[_mask_of(parts)] = masks.get(_mask_of(parts), 0) + 1
        elif path[0] == str(PREFIX):
            part = _first_part(path[1:])
            lengths = tuple(sorted({*self._lengths.get(part, ()), len(path) - 1}, reverse=True))
            self._lengths[part] = self._known_lengths.setdefault(lengths, lengths)

    def _remove_path(self, path: PathId) -> None:
        if path[0] == str(TEMPLATE):
            parts = template_parts(path)
            masks, mask = self._masks[len(parts)], _mask_of(parts)
            masks[mask] -= 1
            if not masks[mask]:
                del masks[mask]
        elif path[0] == str(PREFIX) and (part := _first_part(path[1:])):
            # Lengths that nothing has any more stay as long as there is any: they cost a look-up each.
            if self._lines.first_with(escaped(f"{PREFIX}{part}").encode()) is None:
                self._lengths.pop(part, None)

    def _paths(self, path: str) -> Iterator[list[PathId]]:
        """Those that match and that routes are at, the most specific first; several of one rank together."""
        shapes = self._shapes
        if (key := PathId(f"{EXACT}{path}")) in shapes:
            yield [key]
        if self._masks:
            parts = path.split("/")[1:]
            masks = self._masks.get(len(parts))
            if masks:
                yield from self._template_paths(parts, masks)
        if self._lengths:
            for part in (_first_part(path), ""):
                for length in self._lengths.get(part, ()):
                    if length <= len(path) and (key := PathId(f"{PREFIX}{path[:length]}")) in shapes:
                        yield [key]
                if not part:
                    break
        if ANY in shapes:
            yield [ANY]

    def _template_paths(self, parts: list[str], masks: dict[Mask, int]) -> Iterator[list[PathId]]:
        found: dict[int, list[PathId]] = {}
        for mask in masks:
            wanted = parts.copy()
            for place in mask:
                wanted[place] = ""
            key = template_id(wanted)
            if key in self._shapes and wanted.count("") == len(mask):  # an empty part is no fixed one
                found.setdefault(len(mask), []).append(key)
        for free in sorted(found):
            yield found[free]

    def _walk(self, parts: list[str], mask: Mask, begun: tuple[str, ...]) -> Iterator[PathId | None]:
        """Templates of one mask that begin with the parts `begun` and meet the rest of `parts`."""
        place = len(begun)
        if place == len(parts):
            found = template_id(begun)
            yield found if found in self._shapes else None
        elif place in mask:
            yield from self._walk(parts, mask, (*begun, ""))
        elif parts[place]:
            yield from self._walk(parts, mask, (*begun, parts[place]))
        else:
            for part in self._next_parts(begun):
                yield None
                yield from self._walk(parts, mask, (*begun, part))

    def _next_parts(self, begun: tuple[str, ...]) -> Iterator[str]:
        """The fixed parts that follow a beginning of templates."""
        head = (template_prefix(begun) + PART).encode()
        line = self._lines.first_with(head)
        while line is not None and line.startswith(head):
            part = line[len(head) :].decode().partition(PART)[0].partition(FIELD)[0]
            if part:
                yield unescaped(part)
            line = self._lines.first_from(head + (part + AFTER_PART).encode())

    # Routes at a path.

    def _find_at(self, path: PathId, asked: RouteQuery, masked: Collection[str]) -> FoundRoute | None:
        for shape in self._shapes[path]:
            wanted = shape.look_up_key(asked)
            if wanted is None:
                continue
            try:
                name = self._memo[path, shape, wanted]
            except KeyError:
                name = self._look_up(path, shape, wanted)
            if name is not None and name not in masked:
                return FoundRoute(name, path, shape)
        return None

    def _look_up(self, path: PathId, shape: Shape, wanted: LookUpKey) -> str | None:
        try:
            name = next(self.names_at(path, shape, wanted), None)
        except UnicodeError:
            name = None  # a header that is no text: no route's value is that
        memo = self._memo
        if len(memo) >= MEMO_MAX:
            del memo[next(iter(memo))]
        memo[path, shape, wanted] = name
        return name

    def _has_shape(self, path: PathId, shape: Shape) -> bool:
        return self._lines.first_with(shape_prefix(path, shape)) is not None

    def _shared(self, shapes: tuple[Shape, ...]) -> tuple[Shape, ...]:
        return self._known_shapes.setdefault(shapes, shapes)


def _first_part(path: str) -> str:
    """With its slashes; "" if a prefix ends within it."""
    end = path.find("/", 1)
    return path[: end + 1] if end > 0 else ""


def _mask_of(parts: list[str]) -> Mask:
    return tuple(place for place, part in enumerate(parts) if not part)
