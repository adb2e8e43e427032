"""What a process came to hold, one JSON object a line: `t_ns` (monotonic), `node`, `life`, `event`, fields.

Each line is one write at the file's end: a process that is killed leaves whole lines, but for the last at
most. Events and their fields are in `EVENTS`; checkers read nothing else of a node.
"""

from __future__ import annotations

import json
import logging
import os
import re
from pathlib import Path
from typing import Any

log = logging.getLogger(__name__)

FORMAT = "driftstair.history/1"
EVENTS: dict[str, dict[str, type]] = {
    "start": {"nodes": int},
    "end": {},
    "member": {
        "member": int,
        "state": str,
        "incarnation": int,
        "member_life": int,
        "told": bool,
        "why": str,
    },  # fmt: skip
    "stood-still": {"late_ns": int},
    "superseded": {"by_life": int},
    "moved": {"number": int, "nodes": int},
    "budget": {
        "budget": str,
        "per_s": float,
        "burst_ns": int,
        "nodes": int,
        "shares": int,
        "floor": int,
        "lent_ns": int,
        "drift": float,
        "own": int,
    },  # fmt: skip
    "right": {
        "budget": str,
        "what": str,
        "other": int,
        "lender_life": int,
        "loan": int,
        "shares": int,
        "until_ns": int,
    },  # fmt: skip
    "spend": {"budget": str, "amount": float},
    "judge": {"server": int, "verdict": str, "reporters": list},
    "own": {"task": str, "token": int},
    "lost": {"task": str, "token": int, "over_ns": int},
    "refused": {"task": str, "token": int},
    "permit": {"what": str, "kind": str, "token": int, "until_ns": int},
    "act": {"task": str, "token": int, "what": str, "upto": int},
}
"""By event: its fields. `state`: alive, suspect, dead or left; `told`: whether others hear of it, or the node
holds it so for itself alone, since it hears nobody."""
COMMON: dict[str, type] = {"t_ns": int, "node": int, "life": int, "event": str}
NAME = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}")


class HistoryError(Exception):
    """A folder that takes no history, or a line that is none."""


class History:
    """Appends to FOLDER/NAME.jsonl; raises HistoryError where that can't be."""

    def __init__(self, folder: str, name: str) -> None:
        if not NAME.fullmatch(name):
            raise HistoryError(f"the node's name {name!r} is no file's")
        path = Path(folder) / f"{name}.jsonl"
        try:
            self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as problem:
            raise HistoryError(f"{path}: {problem.strerror}") from None

    def write(self, t_ns: int, node: int, generation: int, event: str, **fields: Any) -> None:
        if self._file < 0:
            return
        line = json.dumps({"t_ns": t_ns, "node": node, "life": generation, "event": event, **fields})
        try:
            os.write(self._file, line.encode() + b"\n")
        except OSError as problem:
            log.error("no history any more: %s", problem.strerror)
            self.close()

    def close(self) -> None:
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def read_line(line: str) -> dict[str, Any]:
    """One event; raises HistoryError."""
    try:
        found = json.loads(line)
    except ValueError:
        raise HistoryError("no JSON") from None
    if not isinstance(found, dict) or not isinstance(found.get("event"), str):
        raise HistoryError("no event")
    for key, kind in (COMMON | EVENTS.get(found["event"], {})).items():
        if type(found.get(key)) is not kind:
            raise HistoryError(f"{found['event']}: {key} is no {kind.__name__}")
    return found


def read(path: Path) -> list[dict[str, Any]]:
    """All of a file; a last line that was cut off counts as not written. Raises HistoryError."""
    text = path.read_text()
    lines = text.split("\n")
    whole, cut = lines[:-1], lines[-1]
    out = []
    for number, line in enumerate(whole, 1):
        try:
            out.append(read_line(line))
        except HistoryError as problem:
            raise HistoryError(f"{path.name}:{number}: {problem}") from None
    if cut:
        try:
            out.append(read_line(cut))
        except HistoryError:
            log.info("%s ends in half a line", path.name)
    return out
