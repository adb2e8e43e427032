"""Reads the files that people write for the daemon and its tools, whatever lies at the path.

Guards against what is no file (a pipe would be waited for without end), one without end or far too long, and
texts nested so deeply that their reader runs out of stack. Each is one `FileError` that says what would do.
"""

from __future__ import annotations

import os
import stat
from collections.abc import Callable
from typing import TypeVar

Tree = TypeVar("Tree")

SETTINGS_BYTES_MAX = 1 << 20  # bytes of a file that a person writes
CONFIGURATION_BYTES_MAX = 16 << 20  # bytes of what the platform tells a node: a thousand servers are 0.2 MB


class FileError(Exception):
    """Why a file is not used, in a few words."""


def read_text(path: str, most: int = SETTINGS_BYTES_MAX) -> str:
    """The text of a regular file of at most `most` bytes, UTF-8; raises FileError."""
    try:
        # A pipe that nobody writes to would hold up `open`, and the one who waits for it.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as problem:
        why = problem.strerror if isinstance(problem, OSError) else "no path has a zero byte"
        raise FileError(f"can't be read: {why}") from None
    if not stat.S_ISREG(os.fstat(descriptor).st_mode):
        os.close(descriptor)
        raise FileError("can't be read: it is no regular file; a path of one would do")
    with os.fdopen(descriptor, "rb") as file:
        try:
            data = file.read(most + 1)
        except OSError as problem:
            raise FileError(f"can't be read: {problem.strerror}") from None
    if len(data) > most:
        raise FileError(f"is longer than {most:,} bytes; a shorter one would do")
    try:
        return data.decode()
    except UnicodeDecodeError as problem:
        line = data.count(b"\n", 0, problem.start) + 1
        raise FileError(f"can't be read: it is no UTF-8 text, in line {line}") from None


def parse_text(text: str, parse: Callable[[str], Tree]) -> Tree:
    """What `parse` makes of a text; raises FileError where it is nested too deeply for it."""
    try:
        return parse(text)
    except RecursionError:
        raise FileError("is nested too deeply; a few levels would do") from None
