"""Reads user-written files for the daemon and its tools, whatever the path refers to, and replaces files.

Rejects what is not a regular file (reading a pipe could block forever), files that are endless or too long,
and texts nested so deeply that the parser would run out of stack, each with one `FileError` that says what is
valid.
"""

from __future__ import annotations

import json
import os
import stat
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

Tree = TypeVar("Tree")

SETTINGS_BYTES_MAX = 1 << 20  # of a user-written file
CONFIGURATION_BYTES_MAX = 16 << 20  # of the platform's configuration; a thousand servers take 0.2 MB


class FileError(Exception):
    """The file can't be used; the text says why, in a few words."""


def read_text(path: str, bytes_max: int = SETTINGS_BYTES_MAX) -> str:
    """Reads a regular UTF-8 file of at most `bytes_max` bytes; raises FileError."""
    try:
        # Opening a pipe without a writer would block.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as problem:
        reason = problem.strerror if isinstance(problem, OSError) else "no path has a zero byte"
        raise FileError(f"can't be read: {reason}") from None
    if not stat.S_ISREG(os.fstat(descriptor).st_mode):
        os.close(descriptor)
        raise FileError("can't be read: not a regular file; a path of one would do")
    with os.fdopen(descriptor, "rb") as file:
        try:
            data = file.read(bytes_max + 1)
        except OSError as problem:
            raise FileError(f"can't be read: {problem.strerror}") from None
    if len(data) > bytes_max:
        raise FileError(f"is longer than {bytes_max:,} bytes; a shorter one would do")
    try:
        return data.decode()
    except UnicodeDecodeError as problem:
        line = data.count(b"\n", 0, problem.start) + 1
        raise FileError(f"can't be read: not UTF-8 text, in line {line}") from None


def parse_text(text: str, parse: Callable[[str], Tree]) -> Tree:
    """Calls `parse` on the text; raises FileError if the text is nested too deeply for it."""
    try:
        return parse(text)
    except RecursionError:
        raise FileError("is nested too deeply; a few levels would do") from None


def replace_json(path: Path, document: object) -> None:
    """Writes JSON to a temporary file, syncs it to disk and renames it over the old one. Raises OSError."""
    temporary = path.with_name(f"{path.name}.new")
    with open(temporary, "w", encoding="utf-8") as file:
        json.dump(document, file)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
