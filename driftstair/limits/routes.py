"""Which route a request takes: the most specific one that matches, found without a look at all of them.

The order, first difference decides: an exact path before a template (more fixed parts first) before a prefix
(the longer first) before none; more headers; a longer key prefix; a class; a tenant; a method. Two routes
that are equal in all of these and can match the same request are a tie, which `validation` refuses.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from driftstair.service.schema import Match

ANY = ""
Rank = tuple[int, ...]


class RouteQuery(NamedTuple):
    """What a request is, as far as routes go by it."""

    kind: str  # its class
    tenant: str
    method: str
    path: str
    fields: Mapping[bytes, bytes]  # headers, names in lower case
    key: str


@dataclass(frozen=True, slots=True)
class PathPattern:
    """`shape`: 3 exact, 2 template, 1 prefix, 0 any."""

    shape: int
    text: str
    parts: tuple[str, ...] = ()  # of a template; "" for one that may be anything

    @staticmethod
    def parse(text: str | None) -> PathPattern:
        """Raises ValueError."""
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
            given = path.split("/")[1:]
            return len(given) == len(self.parts) and all(
                not wanted or wanted == part for wanted, part in zip(self.parts, given, strict=True)
            )
        return True

    def covers(self, other: PathPattern) -> bool:
        """Whether all that `other` matches this one does too."""
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
                and all(not mine or mine == its for mine, its in zip(self.parts, other.parts, strict=True))
            )
        return False

    def overlaps(self, other: PathPattern) -> bool:
        """Whether some path matches both."""
        if 0 in (self.shape, other.shape):
            return True
        if self.shape == 3:
            return other.matches(self.text)
        if other.shape == 3:
            return self.matches(other.text)
        if self.shape == other.shape == 2:
            return len(self.parts) == len(other.parts) and all(
                not mine or not its or mine == its for mine, its in zip(self.parts, other.parts, strict=True)
            )
        if self.shape == other.shape == 1:
            return self.text.startswith(other.text) or other.text.startswith(self.text)
        prefix, template = (self, other) if self.shape == 1 else (other, self)
        fixed = "/" + template.text.split("{")[0].lstrip("/")
        return fixed.startswith(prefix.text) or prefix.text.startswith(fixed)


@dataclass(frozen=True, slots=True)
class Pattern:
    """A route's match, ready to be compared."""

    path: PathPattern
    headers: tuple[tuple[bytes, bytes], ...]  # sorted by name; b"*" for any value
    key: str
    classes: frozenset[str]  # empty: any
    tenants: frozenset[str]
    methods: frozenset[str]

    @staticmethod
    def of(match: Match) -> Pattern:
        """Raises ValueError."""
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
        """The rank among routes of one path."""
        return (
            len(self.headers), len(self.key), bool(self.classes), bool(self.tenants), bool(self.methods),
        )  # fmt: skip

    def look_up_keys(self) -> Iterator[LookUpKey]:
        """All that the route is found by."""
        values = tuple(value for _, value in self.headers)
        for kind in self.classes or (ANY,):
            for tenant in self.tenants or (ANY,):
                for method in self.methods or (ANY,):
                    yield (kind, tenant, method, values, self.key)

    def matches(self, asked: RouteQuery) -> bool:
        """By a look at this one alone; what the index finds must agree."""
        return (
            self.path.matches(asked.path)
            and all(_holds(asked.fields.get(name), value) for name, value in self.headers)
            and asked.key.startswith(self.key)
            and (not self.classes or asked.kind in self.classes)
            and (not self.tenants or asked.tenant in self.tenants)
            and (not self.methods or asked.method in self.methods)
        )


def _holds(given: bytes | None, wanted: bytes) -> bool:
    return given is not None and wanted in (b"*", given)


LookUpKey = tuple[str, str, str, tuple[bytes, ...], str]
"""What a route at one path is found by: class, tenant, method, values of headers (b"*" for any) and key. ANY
stands for what it does not name. A bare tuple, as each request builds some."""


class Shape(NamedTuple):
    """What all routes of one bucket ask for in the same way: then one look-up finds the one that matches."""

    rank: Rank  # at one path: header names, length of the key, whether class, tenant and method are named
    header_names: tuple[bytes, ...]
    any_value: tuple[bool, ...]

    @staticmethod
    def of(pattern: Pattern) -> Shape:
        names = tuple(name for name, _ in pattern.headers)
        return Shape(pattern.rank_at_path(), names, tuple(value == b"*" for _, value in pattern.headers))

    def look_up_key(self, asked: RouteQuery) -> LookUpKey | None:
        """What a route of this shape that matches the request is found by; None if none can match."""
        _, key_length, names_class, names_tenant, names_method = self.rank
        if key_length > len(asked.key):
            return None
        values: tuple[bytes, ...] = ()
        if self.header_names:
            given = [asked.fields.get(name) for name in self.header_names]
            if None in given:
                return None
            values = tuple(
                b"*" if free else value or b"" for free, value in zip(self.any_value, given, strict=True)
            )
        return (
            asked.kind if names_class else ANY, asked.tenant if names_tenant else ANY,
            asked.method if names_method else ANY, values, asked.key[:key_length],
        )  # fmt: skip


class Found(NamedTuple):
    """A route that a request matches at one path."""

    rank: Rank  # at that path
    route: int


class Routes:
    """An index over patterns. `find` looks once at each shape that occurs at a path, not at each route."""

    def __init__(self, patterns: Iterable[Pattern]) -> None:
        self.patterns = list(patterns)
        self._exact: dict[str, _Node] = {}
        self._prefixes: dict[str, _Node] = {}
        self._templates = _Template()
        self._any = _Node()
        self._lengths: list[int] = []
        for index, pattern in enumerate(self.patterns):
            self._node(pattern.path).add(index, pattern)
        self._lengths = sorted({len(text) for text in self._prefixes}, reverse=True)

    def _node(self, path: PathPattern) -> _Node:
        if path.shape == 3:
            return self._exact.setdefault(path.text, _Node())
        if path.shape == 1:
            return self._prefixes.setdefault(path.text, _Node())
        if path.shape == 2:
            return self._templates.node(path.parts)
        return self._any

    def serves(self, path: str) -> bool:
        """Whether a route names this path (one that any path would match names none)."""
        return next(self._nodes(path)) != [self._any]

    def _nodes(self, path: str) -> Iterator[list[_Node]]:
        """By path, the most specific first; several where templates have as many fixed parts."""
        if (node := self._exact.get(path)) is not None:
            yield [node]
        if self._templates.used:
            fixed: dict[int, list[_Node]] = {}
            for number, node in self._templates.find(path.split("/")[1:]):
                fixed.setdefault(number, []).append(node)
            for number in sorted(fixed, reverse=True):
                yield fixed[number]
        for length in self._lengths:
            if length <= len(path) and (node := self._prefixes.get(path[:length])) is not None:
                yield [node]
        yield [self._any]

    def find(self, asked: RouteQuery) -> int | None:
        """The index of the route that the request takes."""
        for nodes in self._nodes(asked.path):
            best: Found | None = None
            for node in nodes:
                found = node.find(asked)
                if found is not None and (best is None or found.rank > best.rank):
                    best = found
            if best is not None:
                return best.route
        return None


class _Node:
    """The routes at one path."""

    __slots__ = ("_buckets", "_shapes")

    def __init__(self) -> None:
        self._buckets: dict[Shape, dict[LookUpKey, int]] = {}
        self._shapes: list[Shape] = []  # the most specific first

    def add(self, index: int, pattern: Pattern) -> None:
        shape = Shape.of(pattern)
        bucket = self._buckets.get(shape)
        if bucket is None:
            bucket = self._buckets[shape] = {}
            self._shapes.append(shape)
            self._shapes.sort(key=lambda one: one.rank, reverse=True)
        for wanted in pattern.look_up_keys():
            bucket.setdefault(wanted, index)

    def find(self, asked: RouteQuery) -> Found | None:
        """The most specific route here that matches."""
        for shape in self._shapes:
            wanted = shape.look_up_key(asked)
            if wanted is None:
                continue
            index = self._buckets[shape].get(wanted)
            if index is not None:
                return Found(shape.rank, index)
        return None


class _Template:
    """A tree of path parts; "" stands for one that may be anything."""

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
        """With the number of fixed parts of each."""
        if not parts:
            if self._node is not None:
                yield fixed, self._node
            return
        if (child := self._children.get(parts[0])) is not None and parts[0]:
            yield from child.find(parts[1:], fixed + 1)
        if (child := self._children.get("")) is not None:
            yield from child.find(parts[1:], fixed)
