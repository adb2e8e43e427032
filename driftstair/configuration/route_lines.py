"""Routes as sorted lines of text: one line for each combination of class, tenant and method that a route
names.

The fields of a line, in order: path, rank at the path, header names, class, tenant, method, key, header
values, and the name of the route. Fields are escaped: they contain no control characters except the ones
defined here.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import NamedTuple, NewType

from driftstair.limits.routes import LookUpKey, PathPattern, Rank, Shape

ANY_PATH, PREFIX, TEMPLATE, EXACT = range(4)  # values of PathPattern.shape

PathId = NewType("PathId", str)
"""Identifies the set of paths that a pattern matches: the digit of its shape, then its text. The text of a
template is its parts, each behind a slash, and "" for a part that matches any, whatever its name."""

FIELD_END = "\x01"  # behind each field except the name
ESCAPE_MARK = "\x02"  # around the code point of a character that is not printable
PART_START = "\x03"  # before each part of a template; sorts before all characters of a part
AFTER_PART_END = "\x04"  # sorts after FIELD_END and PART_START, which can follow a part
ITEM_SEPARATOR = "\t"  # between header names, and between header values


class Entry(NamedTuple):
    """The fields of a line that follow the header names. Texts are escaped."""

    kind: str
    tenant: str
    method: str
    key: str
    values: str
    name: str  # of the route


def path_id(path: PathPattern) -> PathId:
    """Returns the id of a path pattern."""
    if path.shape == TEMPLATE:
        return template_id(path.parts)
    return PathId(f"{path.shape}{path.text}")


def template_id(parts: Sequence[str]) -> PathId:
    """Returns the id of the template with these parts."""
    return PathId(f"{TEMPLATE}/{'/'.join(parts)}")


def template_parts(path: PathId) -> list[str]:
    """Returns the parts of a template; "" matches any part."""
    return path[2:].split("/")


def path_rank(path: PathId) -> Rank:
    """Returns the rank, equal to that of PathPattern.rank."""
    if path[0] == str(TEMPLATE):
        return (TEMPLATE, sum(bool(part) for part in template_parts(path)))
    return (int(path[0]), len(path) - 1)


def shape_prefix(path: PathId, shape: Shape) -> bytes:
    """Returns the prefix that all lines of one shape at a path have."""
    return join_fields((path_field(path), rank_field(shape.rank), names_field(shape)))


def line_prefix(path: PathId, shape: Shape, look_up_key: LookUpKey) -> bytes:
    """Returns a line without the name of the route."""
    kind, tenant, method, values, key = look_up_key
    fields = (kind, tenant, method, key)
    return shape_prefix(path, shape) + join_fields((*map(escape, fields), values_field(values)))


def join_fields(fields: tuple[str, ...]) -> bytes:
    """Joins escaped fields, with an end marker behind each."""
    return (FIELD_END.join(fields) + FIELD_END).encode()


def path_field(path: PathId) -> str:
    """Formats the path field."""
    if path[0] != str(TEMPLATE):
        return escape(path)
    return template_prefix(template_parts(path))


def template_prefix(parts: Sequence[str]) -> str:
    """Returns the beginning of the path field of all templates that begin with these parts."""
    return str(TEMPLATE) + "".join(PART_START + escape(part) for part in parts)


def rank_field(rank: Rank) -> str:
    """Formats the field of the rank at the path."""
    return ".".join(str(int(element)) for element in rank)


def names_field(shape: Shape) -> str:
    """Formats the field of header names, which also marks the headers that match any value."""
    names = zip(shape.header_names, shape.any_value, strict=True)
    return ITEM_SEPARATOR.join(f"{escape(name.decode())}{'*' if is_any else '='}" for name, is_any in names)


def values_field(values: tuple[bytes, ...]) -> str:
    """Formats the field of header values."""
    return ITEM_SEPARATOR.join(escape(value.decode()) for value in values)


def parse_values(field: str) -> tuple[bytes, ...]:
    """Parses a field that `values_field` formatted from at least one value."""
    return tuple(unescape(value).encode() for value in field.split(ITEM_SEPARATOR))


def escape(text: str) -> str:
    """Escapes all control characters. The result is unique to the text, and the escaped form of a prefix is a
    prefix of the escaped text."""
    if text.isprintable():
        return text
    return "".join(
        character if character.isprintable() else f"{ESCAPE_MARK}{ord(character):x}{ESCAPE_MARK}"
        for character in text
    )


def unescape(text: str) -> str:
    """Returns the text that was given to `escape`."""
    return re.sub(f"{ESCAPE_MARK}([0-9a-f]+){ESCAPE_MARK}", lambda match: chr(int(match[1], 16)), text)
