"""Reads a change set from a JSON or TOML file. Errors name the line of the invalid value."""

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

DELETE_KEY = "delete"  # marks a deletion in TOML, which has no null
FILE_BYTES_MAX = 2 * CHANGE_SET_BYTES_MAX  # a file written by hand contains white space as well
NONCE_BYTES = 4


class ChangeFileError(Exception):
    """The file holds no valid change set. The text is one line: file, line, key, value and remedy."""


def read_change_file(path: str, change_set_id: str = "") -> ChangeSet:
    """Reads the change set of a file. `change_set_id` overrides the id in the file; without either, an id is
    made of a hash of the content and a nonce. Raises ChangeFileError."""
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
        line = toml_lines.line_of(lines, _key_path(problem.where))
        raise ChangeFileError(
            f"{path}:{line}: {problem.where.lstrip('$.') or 'the file'}: {problem.why}"
        ) from None
    except (TypeError, ValueError) as problem:  # a TOML date, or a number that JSON does not have
        raise ChangeFileError(f"{path}:1: the file: {problem}; text would do") from None


def new_id(tree: dict[str, Any]) -> str:
    """Makes an id for a change set that has none. The nonce makes the same content, put twice, two sets."""
    text = json.dumps(tree, sort_keys=True, default=str).encode()
    return f"{blake2b(text, digest_size=6).hexdigest()}-{secrets.token_hex(NONCE_BYTES)}"


def _parse(path: str, text: str) -> tuple[Any, dict[toml_lines.KeyPath, int]]:
    """The parsed file, and the line of each key of a TOML file. Raises ChangeFileError and FileError."""
    if path.endswith(".json") or text.lstrip().startswith("{"):
        try:
            return parse_text(text, json.loads), {}
        except json.JSONDecodeError as problem:
            raise ChangeFileError(f"{path}:{problem.lineno}: the file: no JSON text: {problem.msg}") from None
    try:
        tree = parse_text(text, tomllib.loads)
    except tomllib.TOMLDecodeError as problem:
        numbers = [int(part.rstrip(",)")) for part in str(problem).split() if part.rstrip(",)").isdigit()]
        line = numbers[0] if numbers else 0
        raise ChangeFileError(f"{path}:{line}: the file: no TOML text: {problem}") from None
    lines = toml_lines.key_lines(text)
    _convert_deletions(path, tree, lines)
    return tree, lines


def _convert_deletions(path: str, tree: dict[str, Any], lines: dict[toml_lines.KeyPath, int]) -> None:
    """Replaces `delete = true` in changes by null as their content. Raises ChangeFileError."""
    changes = tree.get("changes")
    for index, change in enumerate(changes if isinstance(changes, list) else ()):
        if not isinstance(change, dict):
            continue
        is_deletion = change.pop(DELETE_KEY, None)
        line = toml_lines.line_of(lines, ("changes", index))
        prefix = f"{path}:{line}: changes[{index}]"
        if is_deletion is not None and (is_deletion is not True or "content" in change):
            raise ChangeFileError(f"{prefix}.{DELETE_KEY}: {is_deletion!r:.40}; true and no content would do")
        if is_deletion is None and "content" not in change:
            raise ChangeFileError(
                f"{prefix}: has no content; [changes.content] or {DELETE_KEY} = true would do"
            )
        if is_deletion:
            change["content"] = None


def _key_path(dotted_path: str) -> toml_lines.KeyPath:
    """Parses a path in the notation of msgspec, such as `$.changes[0].name`."""
    key_path: list[str | int] = []
    for part in dotted_path.lstrip("$").split("."):
        name, _, index = part.partition("[")
        if name:
            key_path.append(name)
        if index.rstrip("]").isdigit():
            key_path.append(int(index.rstrip("]")))
    return tuple(key_path)
