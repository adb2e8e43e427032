"""Route matching: an index that finds the most specific matching route without scanning all routes.

The order of specificity, where the first difference decides: an exact path before a template (more fixed
parts first) before a prefix (the longer first) before none; more headers; a longer key prefix; a class; a
tenant; a method. Two routes that are equal in all of these and can match the same request are a tie, which
`validation` rejects.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from driftstair.service.schema import Match

ANY = ""
Rank = tuple[int, ...]


class RouteQuery(NamedTuple):
    """The properties of a request that routes match."""

    kind: str  # class of the request
    tenant: str
    method: str
    path: str
    fields: Mapping[bytes, bytes]  # headers, with lower-case names
    key: str


@dataclass(frozen=True, slots=True)
class PathPattern:
    """`shape`: 3 exact, 2 template, 1 prefix, 0 any."""

    shape: int
    text: str
    parts: tuple[str, ...] = ()  # of a template; "" matches any part

    @staticmethod
    def parse(text: str | None) -> PathPattern:
        """Raises ValueError if the path is invalid."""
        if text is None:
            return PathPattern(0, "")
        if not text.startswith("/"):
            raise ValueError(f"{text!r} does not begin with /")
        if "{" in text:
            parts = tuple(text.split("/")[1:])
            for part in parts:
                if "{" in part and not (part.startswith("{") and part.endswith("}") and len(part) > 2):
                    raise ValueError(f"{part!r}: a part is fixed or a {{name}}, not both")
            return PathPattern(2, text, tuple("" if part.startswith("{") else part for part in parts))
        if text.endswith("*"):
            return PathPattern(1, text[:-1])
        if "*" in text:
            raise ValueError(f"{text!r}: * stands only at the end")
        return PathPattern(3, text)

    def rank(self) -> Rank:
        fixed = sum(bool(part) for part in self.parts)
        return (self.shape, fixed if self.shape == 2 else len(self.text))

    def matches(self, path: str) -> bool:
        if self.shape == 3:
            return path == self.text
        if self.shape == 1:
            return path.startswith(self.text)
        if self.shape == 2:
            path_parts = path.split("/")[1:]
            return len(path_parts) == len(self.parts) and all(
                not expected or expected == part
                for expected, part in zip(self.parts, path_parts, strict=True)
            )
        return True

    def covers(self, other: PathPattern) -> bool:
        """Whether this pattern matches every path that `other` matches."""
        if self.shape == 0 or self == other:
            return True
        if self.shape == 1:
            if other.shape == 2:
                fixed = "/" + other.text.split("{")[0].lstrip("/")
                return fixed.startswith(self.text)
            return other.shape in (1, 3) and other.text.startswith(self.text)
        if self.shape == 2:
            if other.shape == 3:
                return self.matches(other.text)
            return (
                other.shape == 2
                and len(self.parts) == len(other.parts)
                and all(
                    not own_part or own_part == other_part
                    for own_part, other_part in zip(self.parts, other.parts, strict=True)
                )
            )
        return False

    def overlaps(self, other: PathPattern) -> bool:
        """Whether some path matches both patterns."""
        if 0 in (self.shape, other.shape):
            return True
        if self.shape == 3:
            return other.matches(self.text)
        if other.shape == 3:
            return self.matches(other.text)
        if self.shape == other.shape == 2:
            return len(self.parts) == len(other.parts) and all(
                not own_part or not other_part or own_part == other_part
                for own_part, other_part in zip(self.parts, other.parts, strict=True)
            )
        if self.shape == other.shape == 1:
            return self.text.startswith(other.text) or other.text.startswith(self.text)
        prefix, template = (self, other) if self.shape == 1 else (other, self)
        fixed = "/" + template.text.split("{")[0].lstrip("/")
        return fixed.startswith(prefix.text) or prefix.text.startswith(fixed)


@dataclass(frozen=True, slots=True)
class Pattern:
    """The compiled match of a route."""

    path: PathPattern
    headers: tuple[tuple[bytes, bytes], ...]  # sorted by name; b"*" for any value
    key: str
    classes: frozenset[str]  # empty: any class
    tenants: frozenset[str]
    methods: frozenset[str]

    @staticmethod
    def of(match: Match) -> Pattern:
        """Raises ValueError if the path is invalid."""
        headers = tuple(
            sorted((name.lower().encode(), value.encode()) for name, value in match.header.items())
        )
        return Pattern(
            PathPattern.parse(match.path), headers, match.key or "", frozenset(match.classes or ()),
            frozenset(match.tenant or ()), frozenset(match.method or ()),
        )  # fmt: skip

    def rank(self) -> Rank:
        """Higher is more specific."""
        return (*self.path.rank(), *self.rank_at_path())

    def rank_at_path(self) -> Rank:
        """The rank among routes with the same path."""
        return (
            len(self.headers), len(self.key), bool(self.classes), bool(self.tenants), bool(self.methods),
        )  # fmt: skip

    def look_up_keys(self) -> Iterator[LookUpKey]:
        """The keys of the route in the index."""
        values = tuple(value for _, value in self.headers)
        for kind in self.classes or (ANY,):
            for tenant in self.tenants or (ANY,):
                for method in self.methods or (ANY,):
                    yield (kind, tenant, method, values, self.key)

    def matches(self, query: RouteQuery) -> bool:
        """Whether this route matches, without the index; the index has to agree."""
        return (
            self.path.matches(query.path)
            and all(_header_matches(query.fields.get(name), value) for name, value in self.headers)
            and query.key.startswith(self.key)
            and (not self.classes or query.kind in self.classes)
            and (not self.tenants or query.tenant in self.tenants)
            and (not self.methods or query.method in self.methods)
        )


def _header_matches(value: bytes | None, expected: bytes) -> bool:
    return value is not None and expected in (b"*", value)


LookUpKey = tuple[str, str, str, tuple[bytes, ...], str]
"""Index key of a route at one path: class, tenant, method, header values (b"*" for any) and key, with ANY for
fields that the route does not name. A plain tuple, because each request builds several."""


class Shape(NamedTuple):
    """The fields that all routes of a bucket name, so that one look-up finds the matching route."""

    rank: Rank  # at one path: header names, length of the key, whether class, tenant and method are named
    header_names: tuple[bytes, ...]
    any_value: tuple[bool, ...]

    @staticmethod
    def of(pattern: Pattern) -> Shape:
        names = tuple(name for name, _ in pattern.headers)
        return Shape(pattern.rank_at_path(), names, tuple(value == b"*" for _, value in pattern.headers))

    def look_up_key(self, query: RouteQuery) -> LookUpKey | None:
        """The index key of a route of this shape that matches the request; None if none can match."""
        _, key_length, names_class, names_tenant, names_method = self.rank
        if key_length > len(query.key):
            return None
        values: tuple[bytes, ...] = ()
        if self.header_names:
            present_values = [query.fields.get(name) for name in self.header_names]
            if None in present_values:
                return None
            values = tuple(
                b"*" if is_any else value or b""
                for is_any, value in zip(self.any_value, present_values, strict=True)
            )
        return (
            query.kind if names_class else ANY, query.tenant if names_tenant else ANY,
            query.method if names_method else ANY, values, query.key[:key_length],
        )  # fmt: skip


class RouteMatch(NamedTuple):
    """The route that a request matches at one path."""

    rank: Rank  # at that path
    route: int


class Routes:
    """An index over patterns. `find` does one look-up for each shape at a path, not one for each route."""

    def __init__(self, patterns: Iterable[Pattern]) -> None:
        self.patterns = list(patterns)
        self._exact: dict[str, _Node] = {}
        self._prefixes: dict[str, _Node] = {}
        self._templates = _Template()
        self._any = _Node()
        self._prefix_lengths: list[int] = []
        for index, pattern in enumerate(self.patterns):
            self._node(pattern.path).add(index, pattern)
        self._prefix_lengths = sorted({len(text) for text in self._prefixes}, reverse=True)

    def _node(self, path: PathPattern) -> _Node:
        if path.shape == 3:
            return self._exact.setdefault(path.text, _Node())
        if path.shape == 1:
            return self._prefixes.setdefault(path.text, _Node())
        if path.shape == 2:
            return self._templates.node(path.parts)
        return self._any

    def serves(self, path: str) -> bool:
        """Whether a route with a path pattern matches this path."""
        return next(self._nodes(path)) != [self._any]

    def _nodes(self, path: str) -> Iterator[list[_Node]]:
        """Nodes whose path matches, most specific first; templates with equally many fixed parts together."""
        if (node := self._exact.get(path)) is not None:
            yield [node]
        if self._templates.used:
            by_fixed_count: dict[int, list[_Node]] = {}
            for fixed_count, node in self._templates.find(path.split("/")[1:]):
                by_fixed_count.setdefault(fixed_count, []).append(node)
            for fixed_count in sorted(by_fixed_count, reverse=True):
                yield by_fixed_count[fixed_count]
        for length in self._prefix_lengths:
            if length <= len(path) and (node := self._prefixes.get(path[:length])) is not None:
                yield [node]
        yield [self._any]

    def find(self, query: RouteQuery) -> int | None:
        """The index of the most specific route that matches the request."""
        for nodes in self._nodes(query.path):
            best: RouteMatch | None = None
            for node in nodes:
                match = node.find(query)
                if match is not None and (best is None or match.rank > best.rank):
                    best = match
            if best is not None:
                return best.route
        return None


class _Node:
    """The routes at one path."""

    __slots__ = ("_buckets", "_shapes")

    def __init__(self) -> None:
        self._buckets: dict[Shape, dict[LookUpKey, int]] = {}
        self._shapes: list[Shape] = []  # most specific first

    def add(self, index: int, pattern: Pattern) -> None:
        shape = Shape.of(pattern)
        bucket = self._buckets.get(shape)
        if bucket is None:
            bucket = self._buckets[shape] = {}
            self._shapes.append(shape)
            self._shapes.sort(key=lambda shape: shape.rank, reverse=True)
        for look_up_key in pattern.look_up_keys():
            bucket.setdefault(look_up_key, index)

    def find(self, query: RouteQuery) -> RouteMatch | None:
        """The most specific matching route at this path."""
        for shape in self._shapes:
            look_up_key = shape.look_up_key(query)
            if look_up_key is None:
                continue
            index = self._buckets[shape].get(look_up_key)
            if index is not None:
                return RouteMatch(shape.rank, index)
        return None


class _Template:
    """A tree of path parts; "" matches any part."""

    __slots__ = ("_children", "_node", "used")

    def __init__(self) -> None:
        self._children: dict[str, _Template] = {}
        self._node: _Node | None = None
        self.used = False

    def node(self, parts: tuple[str, ...]) -> _Node:
        self.used = True
        if not parts:
            if self._node is None:
                self._node = _Node()
            return self._node
        return self._children.setdefault(parts[0], _Template()).node(parts[1:])

    def find(self, parts: list[str], fixed: int = 0) -> Iterator[tuple[int, _Node]]:
        """Yields matching nodes with their number of fixed parts."""
        if not parts:
            if self._node is not None:
                yield fixed, self._node
            return
        if (child := self._children.get(parts[0])) is not None and parts[0]:
            yield from child.find(parts[1:], fixed + 1)
        if (child := self._children.get("")) is not None:
            yield from child.find(parts[1:], fixed)
