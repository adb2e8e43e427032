"""The history of a process's views, one JSON object a line: `t_ns` (monotonic), `node`, `life`, `event` and
the event's fields.

Each line is appended with a single write, so a process that is killed leaves at most its last line
incomplete.
`EVENTS` defines the events and their fields; checkers read nothing else of a node.
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
"""The fields of each event, with their types. `state`: alive, suspect, dead or left; `told`: whether the
state is announced to other nodes, or held by this node alone since it hears from none."""
COMMON_FIELDS: dict[str, type] = {"t_ns": int, "node": int, "life": int, "event": str}
NAME_PATTERN = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}")


class HistoryError(Exception):
    """A history that can't be opened, or a line that is no valid event."""


class History:
    """Appends events to FOLDER/NAME.jsonl. Raises HistoryError if the file can't be opened."""

    def __init__(self, folder: str, name: str) -> None:
        if not NAME_PATTERN.fullmatch(name):
            raise HistoryError(f"the node's name {name!r} can't be used as a file name")
        path = Path(folder) / f"{name}.jsonl"
        try:
            self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as error:
            raise HistoryError(f"{path}: {error.strerror}") from None

    def write(self, t_ns: int, node: int, generation: int, event: str, **fields: Any) -> None:
        """Appends an event. Does nothing once the history is closed; a failed write closes it."""
        if self._file < 0:
            return
        line = json.dumps({"t_ns": t_ns, "node": node, "life": generation, "event": event, **fields})
        try:
            os.write(self._file, line.encode() + b"\n")
        except OSError as error:
            log.error("no history any more: %s", error.strerror)
            self.close()

    def close(self) -> None:
        """Closes the file. May be called again."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def read_line(line: str) -> dict[str, Any]:
    """Parses and validates one event. Raises HistoryError."""
    try:
        event = json.loads(line)
    except ValueError:
        raise HistoryError("no JSON") from None
    if not isinstance(event, dict) or not isinstance(event.get("event"), str):
        raise HistoryError("no event")
    for key, kind in (COMMON_FIELDS | EVENTS.get(event["event"], {})).items():
        if type(event.get(key)) is not kind:
            raise HistoryError(f"{event['event']}: {key} is no {kind.__name__}")
    return event


def read(path: Path) -> list[dict[str, Any]]:
    """Reads all events of a file, without a last line that is incomplete. Raises HistoryError."""
    text = path.read_text()
    lines = text.split("\n")
    complete_lines, last_line = lines[:-1], lines[-1]
    events = []
    for number, line in enumerate(complete_lines, 1):
        try:
            events.append(read_line(line))
        except HistoryError as error:
            raise HistoryError(f"{path.name}:{number}: {error}") from None
    if last_line:
        try:
            events.append(read_line(last_line))
        except HistoryError:
            log.info("%s ends in half a line", path.name)
    return events
