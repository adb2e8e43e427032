"""Reads the secret key that the nodes of a tier share."""

from __future__ import annotations

import os
import stat

from driftstair.files import FileError
from driftstair.tier.wire import MAX_KEY_BYTES, MIN_KEY_BYTES

GROUP_OR_OTHERS = stat.S_IRWXG | stat.S_IRWXO


def read_key(path: str) -> bytes:
    """The file's content without surrounding white space. Raises FileError."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except (OSError, ValueError) as error:
        reason = error.strerror if isinstance(error, OSError) else "the path contains a null byte"
        raise FileError(f"can't be read: {reason}") from None
    try:
        status = os.fstat(descriptor)
        if not stat.S_ISREG(status.st_mode):
            raise FileError("can't be read: it is not a regular file; the path of one is required")
        if status.st_mode & GROUP_OR_OTHERS:
            raise FileError(f"is accessible to others (mode {status.st_mode & 0o777:o}); set mode 600")
        key = os.read(descriptor, MAX_KEY_BYTES + 64).strip()
    except OSError as error:
        raise FileError(f"can't be read: {error.strerror}") from None
    finally:
        os.close(descriptor)
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise FileError(f"holds a key of {len(key)} bytes; {MIN_KEY_BYTES} to {MAX_KEY_BYTES} are required")
    return key
