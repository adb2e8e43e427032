"""Until when a process that ended as planned has lent what is its own: a file for the next one of its node.

It is read once and gone: a process that is killed leaves none, and the next waits as long as a loan lasts.
It counts on the boot of the machine that wrote it alone, whose monotonic clock it is by.
"""

from __future__ import annotations

import json
import logging
from pathlib import Path

from driftstair.files import FileError, parse_text, read_text
from driftstair.tier.member_list import put

log = logging.getLogger(__name__)

FORMAT = "driftstair.lent/1"
BOOT = Path("/proc/sys/kernel/random/boot_id")  # random(4)


def boot() -> str:
    """Of this machine; empty where it can't be told."""
    try:
        return BOOT.read_text().strip()
    except OSError:
        return ""


def write(path: Path, until: int) -> None:
    """ns, monotonic. What can't be written is as if the process had been killed."""
    try:
        put(path, {"format": FORMAT, "boot": boot(), "until_ns": until})
    except OSError as problem:
        log.warning("the next process will not know what is lent: %s", problem.strerror)


def take(path: Path) -> int | None:
    """ns; None: nothing is known. Whoever has read it is the only one."""
    mine = path.with_suffix(".lent-taken")
    try:
        path.replace(mine)
    except OSError:
        return None
    try:
        tree = parse_text(read_text(str(mine)), json.loads)
    except (FileError, ValueError) as problem:
        log.warning("%s tells nothing of loans: %s", path.name, problem)
        return None
    finally:
        mine.unlink(missing_ok=True)
    known = isinstance(tree, dict) and tree.get("format") == FORMAT and tree.get("boot") == boot() != ""
    until = tree.get("until_ns") if known else None
    return until if type(until) is int else None
