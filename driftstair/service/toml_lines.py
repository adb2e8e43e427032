"""Finds the line of each key in a TOML file, which `tomllib` does not report."""

from __future__ import annotations

import re

KeyPath = tuple[str | int, ...]

TABLE_HEADER = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(?:#.*)?$")
KEY_ASSIGNMENT = re.compile(
    r"""\s*((?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*'))*)\s*="""
)
KEY_PART = re.compile(r"""[A-Za-z0-9_-]+|"([^"]*)"|'([^']*)'""")
MULTILINE_QUOTES = ('"""', "'''")


def _split_key(text: str) -> list[str]:
    return [part[0].strip("\"'") for part in KEY_PART.finditer(text)]


def key_lines(text: str) -> dict[KeyPath, int]:
    """The line of each table and key, from 1. Arrays of tables are indexed as in the parsed document."""
    lines: dict[KeyPath, int] = {}
    array_indices: dict[KeyPath, int] = {}
    table: KeyPath = ()
    open_quote = ""  # the closing quotes of an unfinished multi-line string
    for number, line in enumerate(text.splitlines(), 1):
        if open_quote:
            if open_quote in line:
                open_quote = ""
            continue
        header = TABLE_HEADER.fullmatch(line)
        if header:
            names = _split_key(header[2])
            table = ()
            for index, name in enumerate(names):
                last = index == len(names) - 1
                table = (*table, name)
                if last and header[1] == "[[":
                    array_indices[table] = array_indices.get(table, -1) + 1
                if table in array_indices:
                    table = (*table, array_indices[table])
            lines.setdefault(table, number)
            continue
        key = KEY_ASSIGNMENT.match(line)
        if key:
            lines.setdefault((*table, *_split_key(key[1])), number)
            value = line[key.end() :]
            open_quote = next((quote for quote in MULTILINE_QUOTES if value.count(quote) == 1), "")
    return lines


def line_of(lines: dict[KeyPath, int], path: KeyPath) -> int:
    """The line of a key, or of the nearest enclosing table: an inline table's keys share its line."""
    for length in range(len(path), 0, -1):
        # An array of tables starts at its first element.
        for candidate in (path[:length], (*path[:length], 0)):
            if candidate in lines:
                return lines[candidate]
    return 1
