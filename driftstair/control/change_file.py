"""The file of a change set, JSON or TOML: its reading, with the line of what is wrong."""

from __future__ import annotations

import json
import secrets
import tomllib
from hashlib import blake2b
from typing import Any

from driftstair.configuration.change_sets import (
    CHANGE_SET_BYTES_MAX,
    ChangeSet,
    ChangeSetError,
    parse_change_set,
)
from driftstair.files import FileError, parse_text, read_text
from driftstair.service import toml_lines

DELETE = "delete"  # a key of a change in TOML, which has no null
FILE_BYTES_MAX = 2 * CHANGE_SET_BYTES_MAX  # as people write it, with white space
NONCE_BYTES = 4


class ChangeFileError(Exception):
    """A file that is no change set: one line with file, line, key, value and remedy."""


def read_change_file(path: str, change_set_id: str = "") -> ChangeSet:
    """The change set of a file. Without an id in the file or in `change_set_id` a new one is made of the
    content's hash and a nonce. Raises ChangeFileError."""
    try:
        text = read_text(path, FILE_BYTES_MAX)
        tree, lines = _parse(path, text)
    except FileError as problem:
        raise ChangeFileError(f"{path}:0: the file: {problem}") from None
    if not isinstance(tree, dict):
        raise ChangeFileError(f"{path}:1: the file: is no table of `id` and `changes`; one would do")
    if change_set_id:
        tree["id"] = change_set_id
    elif "id" not in tree:
        tree["id"] = new_id(tree)
    try:
        return parse_change_set(json.dumps(tree).encode())
    except ChangeSetError as problem:
        line = toml_lines.line_of(lines, _steps(problem.where))
        raise ChangeFileError(
            f"{path}:{line}: {problem.where.lstrip('$.') or 'the file'}: {problem.why}"
        ) from None
    except (TypeError, ValueError) as problem:  # a date of TOML, a number without end
        raise ChangeFileError(f"{path}:1: the file: {problem}; text would do") from None


def new_id(tree: dict[str, Any]) -> str:
    """An id for a change set that has none: the same content put a second time is another set."""
    text = json.dumps(tree, sort_keys=True, default=str).encode()
    return f"{blake2b(text, digest_size=6).hexdigest()}-{secrets.token_hex(NONCE_BYTES)}"


def _parse(path: str, text: str) -> tuple[Any, dict[toml_lines.KeyPath, int]]:
    """Raises ChangeFileError and FileError."""
    if path.endswith(".json") or text.lstrip().startswith("{"):
        try:
            return parse_text(text, json.loads), {}
        except json.JSONDecodeError as problem:
            raise ChangeFileError(f"{path}:{problem.lineno}: the file: no JSON text: {problem.msg}") from None
    try:
        tree = parse_text(text, tomllib.loads)
    except tomllib.TOMLDecodeError as problem:
        found = [int(word.rstrip(",)")) for word in str(problem).split() if word.rstrip(",)").isdigit()]
        line = found[0] if found else 0
        raise ChangeFileError(f"{path}:{line}: the file: no TOML text: {problem}") from None
    lines = toml_lines.key_lines(text)
    _take_deletions(path, tree, lines)
    return tree, lines


def _take_deletions(path: str, tree: dict[str, Any], lines: dict[toml_lines.KeyPath, int]) -> None:
    """Puts null for the content of changes that say `delete = true`. Raises ChangeFileError."""
    changes = tree.get("changes")
    for index, change in enumerate(changes if isinstance(changes, list) else ()):
        if not isinstance(change, dict):
            continue
        deletes = change.pop(DELETE, None)
        line = toml_lines.line_of(lines, ("changes", index))
        where = f"{path}:{line}: changes[{index}]"
        if deletes is not None and (deletes is not True or "content" in change):
            raise ChangeFileError(f"{where}.{DELETE}: {deletes!r:.40}; true and no content would do")
        if deletes is None and "content" not in change:
            raise ChangeFileError(f"{where}: has no content; [changes.content] or {DELETE} = true would do")
        if deletes:
            change["content"] = None


def _steps(where: str) -> toml_lines.KeyPath:
    """The path of a key as msgspec writes it: `$.changes[0].name`."""
    steps: list[str | int] = []
    for word in where.lstrip("$").split("."):
        name, _, index = word.partition("[")
        if name:
            steps.append(name)
        if index.rstrip("]").isdigit():
            steps.append(int(index.rstrip("]")))
    return tuple(steps)
