"""When the last loan of a process that shut down as planned expires: a file for the next process of its node.

The file is read once and then removed. A killed process leaves no file, and the next process waits for the
longest possible loan. The time is on the machine's monotonic clock, so it is valid only for the boot of the
machine that wrote it.
"""

from __future__ import annotations

import json
import logging
from pathlib import Path

from driftstair.files import FileError, parse_text, read_text, replace_json

log = logging.getLogger(__name__)

FORMAT = "driftstair.lent/1"
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")  # random(4)


def boot_id() -> str:
    """Of this machine; empty where it is not available."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


def write(path: Path, expires_at_ns: int) -> None:
    """On the monotonic clock. A failed write has the same effect as a killed process."""
    try:
        replace_json(path, {"format": FORMAT, "boot": boot_id(), "until_ns": expires_at_ns})
    except OSError as error:
        log.warning(
            "cannot save the expiry of loans; the next process waits for the longest loan: %s", error.strerror
        )


def take(path: Path) -> int | None:
    """Returns the expiry on the monotonic clock in ns, or None if it is unknown. The file is renamed first,
    so that only one process reads it."""
    claimed_path = path.with_suffix(".lent-taken")
    try:
        path.replace(claimed_path)
    except OSError:
        return None
    try:
        document = parse_text(read_text(str(claimed_path)), json.loads)
    except (FileError, ValueError) as error:
        log.warning("%s is unreadable, the expiry of loans is unknown: %s", path.name, error)
        return None
    finally:
        claimed_path.unlink(missing_ok=True)
    is_valid = (
        isinstance(document, dict)
        and document.get("format") == FORMAT
        and document.get("boot") == boot_id() != ""
    )
    expires_at_ns = document.get("until_ns") if is_valid else None
    return expires_at_ns if type(expires_at_ns) is int else None
