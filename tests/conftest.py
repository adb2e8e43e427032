"""Known failures: KNOWN-RED.txt at the root lists tests that fail because of a real defect, one per line
(test, cause, issue, separated by ` | `), three at most. A run expects exactly these to fail and prints them.
A listed test that passes fails the run, so the list can't contain fixed defects."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
LISTED_MAX = 3


class KnownRed(NamedTuple):
    test: str  # file::function, relative to the root
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Raises pytest.UsageError for a list that is too long or has a malformed line."""
    lines = path.read_text().splitlines() if path.exists() else []
    entries = []
    for line in filter(str.strip, lines):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: {line!r}: test | cause | issue would do")
        entries.append(KnownRed(*parts))
    if len(entries) > LISTED_MAX:
        raise pytest.UsageError(f"{path.name}: {len(entries)} tests; {LISTED_MAX} at most may be listed")
    return entries


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = {one.test: one for one in read_known_red(ROOT / "KNOWN-RED.txt")}
    for item in items:
        known_red = listed.get(item.nodeid.split("[")[0])
        if known_red is not None:
            item.add_marker(
                pytest.mark.xfail(reason=f"{known_red.cause} (issue {known_red.issue})", strict=True)
            )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for known_red in read_known_red(ROOT / "KNOWN-RED.txt"):
        terminalreporter.write_line(
            f"known red: {known_red.test}: {known_red.cause} (issue {known_red.issue})"
        )
