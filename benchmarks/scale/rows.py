"""The result rows of measurements: conditions, measured figures, and whether the figures may be used."""

from __future__ import annotations

import json
import subprocess
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
Figure = float | int | str | None


class Status(StrEnum):
    """Whether a row's figures may be used."""

    SOUND = "sound"
    LATE = "late"  # an event loop ran behind its timers: the figures describe this machine, not the nodes
    FAILED = "failed"
    STOPPED = "stopped"  # the limit on time or memory ended the measurement early


@dataclass(frozen=True, slots=True)
class Row:
    """One result. `conditions` holds the settings of the measurement, and `figures` the measured values, each
    with its unit in its name. `note` says why a row is not sound, or what a reader of the figures has to
    know."""

    measurement: str
    conditions: dict[str, Figure] = field(default_factory=dict)
    figures: dict[str, Figure] = field(default_factory=dict)
    status: Status = Status.SOUND
    note: str = ""

    def is_sound(self) -> bool:
        """Whether the figures may be used."""
        return self.status is Status.SOUND


def describe_commit() -> str:
    """Returns the abbreviated commit that is measured, with a `+` if files in the working tree differ from
    it."""
    result = subprocess.run(
        ["git", "describe", "--always", "--dirty=+", "--abbrev=9"], cwd=ROOT, capture_output=True, text=True
    )
    return result.stdout.strip() or "unknown"


def print_row(row: Row, commit: str, as_json: bool) -> None:
    """Prints a row as one line on standard output. `commit` is the commit that was measured."""
    if as_json:
        print(json.dumps({"commit": commit, **asdict(row)}), flush=True)
        return
    parts = [row.measurement, _format_values(row.conditions), "->", _format_values(row.figures)]
    if not row.is_sound() or row.note:
        parts.append(f"[{row.status}{': ' if row.note else ''}{row.note}]")
    print(" ".join(parts), flush=True)


def _format_values(values: dict[str, Figure]) -> str:
    return ", ".join(f"{name}={_format_value(value)}" for name, value in values.items())


def _format_value(value: Figure) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
