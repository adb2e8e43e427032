"""Tests that are known to fail for a real fault: KNOWN-RED.txt at the root lists them, a line each (test,
cause, issue, separated by ` | `), three at most. A run passes over just these and prints them. One that
passes all the same fails the run, so that the list is never longer than the truth."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
LISTED_MOST = 3


class KnownRed(NamedTuple):
    test: str  # file::function, from the root
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Raises pytest.UsageError for a list that is too long or has a line of another form."""
    lines = path.read_text().splitlines() if path.exists() else []
    found = []
    for line in filter(str.strip, lines):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: {line!r}: test | cause | issue would do")
        found.append(KnownRed(*parts))
    if len(found) > LISTED_MOST:
        raise pytest.UsageError(f"{path.name}: {len(found)} tests; {LISTED_MOST} at most may be listed")
    return found


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = {one.test: one for one in read_known_red(ROOT / "KNOWN-RED.txt")}
    for item in items:
        red = listed.get(item.nodeid.split("[")[0])
        if red is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause} (issue {red.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for red in read_known_red(ROOT / "KNOWN-RED.txt"):
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} (issue {red.issue})")
