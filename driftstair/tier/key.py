"""The key that the nodes of a tier share, from a file."""

from __future__ import annotations

import os
import stat

from driftstair.files import FileError
from driftstair.tier.wire import MAX_KEY_BYTES, MIN_KEY_BYTES

OTHERS = stat.S_IRWXG | stat.S_IRWXO


def read_key(path: str) -> bytes:
    """What stands in the file, without white space at its ends. Raises FileError."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as problem:
        why = problem.strerror if isinstance(problem, OSError) else "no path has a zero byte"
        raise FileError(f"can't be read: {why}") from None
    try:
        found = os.fstat(descriptor)
        if not stat.S_ISREG(found.st_mode):
            raise FileError("can't be read: it is no regular file; a path of one would do")
        if found.st_mode & OTHERS:
            raise FileError(f"is open to others (mode {found.st_mode & 0o777:o}); mode 600 would do")
        key = os.read(descriptor, MAX_KEY_BYTES + 64).strip()
    except OSError as problem:
        raise FileError(f"can't be read: {problem.strerror}") from None
    finally:
        os.close(descriptor)
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise FileError(f"holds a key of {len(key)} bytes; {MIN_KEY_BYTES} to {MAX_KEY_BYTES} would do")
    return key
