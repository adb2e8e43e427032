"""Rows that measurements give: what was measured, under which conditions, and whether it counts."""

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
    LATE = "late"  # an event loop ran behind its timers: the figures tell of this machine, not of the nodes
    FAILED = "failed"
    STOPPED = "stopped"  # by the bound on time or memory, before it was whole


@dataclass(frozen=True, slots=True)
class Row:
    """`conditions`: what was set; `figures`: what was measured, each with its unit in its name; `note`: why
    a row is not sound, or what is to be known with it."""

    measurement: str
    conditions: dict[str, Figure] = field(default_factory=dict)
    figures: dict[str, Figure] = field(default_factory=dict)
    status: Status = Status.SOUND
    note: str = ""

    def is_sound(self) -> bool:
        return self.status is Status.SOUND


def commit() -> str:
    """The commit that is measured; with a `+` where files differ from it."""
    described = subprocess.run(
        ["git", "describe", "--always", "--dirty=+", "--abbrev=9"], cwd=ROOT, capture_output=True, text=True
    )
    return described.stdout.strip() or "unknown"


def print_row(row: Row, measured: str, as_json: bool) -> None:
    """One line on standard output. `measured`: the commit."""
    if as_json:
        print(json.dumps({"commit": measured, **asdict(row)}), flush=True)
        return
    parts = [row.measurement, _listed(row.conditions), "->", _listed(row.figures)]
    if not row.is_sound() or row.note:
        parts.append(f"[{row.status}{': ' if row.note else ''}{row.note}]")
    print(" ".join(parts), flush=True)


def _listed(values: dict[str, Figure]) -> str:
    return ", ".join(f"{name}={_shown(value)}" for name, value in values.items())


def _shown(value: Figure) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
