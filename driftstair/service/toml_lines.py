"""On which line of a TOML file a key stands: the parsers of the standard library do not tell."""

from __future__ import annotations

import re

KeyPath = tuple[str | int, ...]

HEADER = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(?:#.*)?$")
KEY = re.compile(
    r"""\s*((?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*'))*)\s*="""
)
PART = re.compile(r"""[A-Za-z0-9_-]+|"([^"]*)"|'([^']*)'""")
QUOTES = ('"""', "'''")


def _parts(text: str) -> list[str]:
    return [found[0].strip("\"'") for found in PART.finditer(text)]


def key_lines(text: str) -> dict[KeyPath, int]:
    """Each table's and key's line, from 1. Arrays of tables count as in the parsed document."""
    found: dict[KeyPath, int] = {}
    counts: dict[KeyPath, int] = {}
    table: KeyPath = ()
    inside = ""  # a string over several lines
    for number, line in enumerate(text.splitlines(), 1):
        if inside:
            if inside in line:
                inside = ""
            continue
        header = HEADER.fullmatch(line)
        if header:
            names = _parts(header[2])
            table = ()
            for index, name in enumerate(names):
                last = index == len(names) - 1
                table = (*table, name)
                if last and header[1] == "[[":
                    counts[table] = counts.get(table, -1) + 1
                if table in counts:
                    table = (*table, counts[table])
            found.setdefault(table, number)
            continue
        key = KEY.match(line)
        if key:
            found.setdefault((*table, *_parts(key[1])), number)
            value = line[key.end() :]
            inside = next((quote for quote in QUOTES if value.count(quote) == 1), "")
    return found


def line_of(where: dict[KeyPath, int], path: KeyPath) -> int:
    """The line of a key, or of what holds it: a key of an inline table stands on its table's line."""
    for length in range(len(path), 0, -1):
        for found in (path[:length], (*path[:length], 0)):  # an array of tables begins with its first
            if found in where:
                return where[found]
    return 1
