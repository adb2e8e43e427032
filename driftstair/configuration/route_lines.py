"""Routes as sorted lines of text: one for each combination of class, tenant and method that a route names.

The fields of a line, in order: path, rank at the path, header names, class, tenant, method, key, header
values, and the route's name. They are escaped: no control character is in them but those named here.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import NamedTuple, NewType

from driftstair.limits.routes import LookUpKey, PathPattern, Rank, Shape

ANY_PATH, PREFIX, TEMPLATE, EXACT = range(4)  # PathPattern.shape

PathId = NewType("PathId", str)
"""A path pattern by all that it matches: its shape's digit, then its text. Of a template the text is its
parts, each behind a slash, "" for one that may be anything: what parts are called makes no difference."""

FIELD = "\x01"  # behind each field but the name
ESCAPED = "\x02"  # on both sides of the number of a character that is not printable
PART = "\x03"  # before each part of a template; sorts before all that a part can have
AFTER_PART = "\x04"
ITEM = "\t"  # between header names, and between values


class Entry(NamedTuple):
    """One line, taken apart behind its header names. Texts are escaped."""

    kind: str
    tenant: str
    method: str
    key: str
    values: str
    name: str  # of the route


def path_id(path: PathPattern) -> PathId:
    if path.shape == TEMPLATE:
        return template_id(path.parts)
    return PathId(f"{path.shape}{path.text}")


def template_id(parts: Sequence[str]) -> PathId:
    return PathId(f"{TEMPLATE}/{'/'.join(parts)}")


def template_parts(path: PathId) -> list[str]:
    return path[2:].split("/")


def path_rank(path: PathId) -> Rank:
    """As PathPattern.rank."""
    if path[0] == str(TEMPLATE):
        return (TEMPLATE, sum(bool(part) for part in template_parts(path)))
    return (int(path[0]), len(path) - 1)


def shape_prefix(path: PathId, shape: Shape) -> bytes:
    """The beginning of the lines of one shape at a path."""
    return joined((path_field(path), rank_field(shape.rank), names_field(shape)))


def line_prefix(path: PathId, shape: Shape, wanted: LookUpKey) -> bytes:
    """A line without the route's name."""
    kind, tenant, method, values, key = wanted
    fields = (kind, tenant, method, key)
    return shape_prefix(path, shape) + joined((*map(escaped, fields), values_field(values)))


def joined(fields: tuple[str, ...]) -> bytes:
    return (FIELD.join(fields) + FIELD).encode()


def path_field(path: PathId) -> str:
    if path[0] != str(TEMPLATE):
        return escaped(path)
    return template_prefix(template_parts(path))


def template_prefix(parts: Sequence[str]) -> str:
    """The beginning of the path field of templates that begin with these parts."""
    return str(TEMPLATE) + "".join(PART + escaped(part) for part in parts)


def rank_field(rank: Rank) -> str:
    return ".".join(str(int(one)) for one in rank)


def names_field(shape: Shape) -> str:
    """Header names, and which of them may have any value."""
    names = zip(shape.header_names, shape.any_value, strict=True)
    return ITEM.join(f"{escaped(name.decode())}{'*' if free else '='}" for name, free in names)


def values_field(values: tuple[bytes, ...]) -> str:
    return ITEM.join(escaped(value.decode()) for value in values)


def values_of(field: str) -> tuple[bytes, ...]:
    """What `values_field` was given, where there were any."""
    return tuple(unescaped(value).encode() for value in field.split(ITEM))


def escaped(text: str) -> str:
    """Without any control character; different texts stay different, and beginnings stay beginnings."""
    if text.isprintable():
        return text
    return "".join(one if one.isprintable() else f"{ESCAPED}{ord(one):x}{ESCAPED}" for one in text)


def unescaped(text: str) -> str:
    return re.sub(f"{ESCAPED}([0-9a-f]+){ESCAPED}", lambda found: chr(int(found[1], 16)), text)
