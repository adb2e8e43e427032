"""The list of known failures: its format, and that a run expects exactly these tests to fail."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from conftest import KnownRed, read_known_red

HERE = Path(__file__).parent
LINE = "tests/test_it.py::test_fails | it is broken | 57"
WORKERS = ["--numprocesses", "2", "--dist", "loadfile"]
TESTS = """
import pytest

@pytest.mark.parametrize("one", [1, 2])
def test_fails(one):
    assert one == 0

def test_passes():
    pass
"""


def read_listed(folder: Path, text: str) -> list[KnownRed]:
    path = folder / "KNOWN-RED.txt"
    path.write_text(text)
    return read_known_red(path)


def test_a_list_has_at_most_three_valid_lines(tmp_path: Path) -> None:
    assert read_known_red(tmp_path / "none") == []
    assert read_listed(tmp_path, LINE) == [KnownRed("tests/test_it.py::test_fails", "it is broken", "57")]
    for bad in ("\n".join([LINE] * 4), "tests/test_it.py::test_fails | it is broken", "a | | 57"):
        with pytest.raises(pytest.UsageError, match="KNOWN-RED"):
            read_listed(tmp_path, bad)


@pytest.mark.parametrize("workers", [[], WORKERS], ids=["one-process", "workers"])
@pytest.mark.parametrize(
    ("line", "status"),
    [("", 1), (LINE, 0), (LINE.replace("fails", "passes"), 1)],
    ids=["none", "red", "green"],
)
def test_a_run_expects_exactly_the_listed_failures_and_prints_them(
    line: str, status: int, workers: list[str], tmp_path: Path
) -> None:
    """A listed test that passes fails the run too."""
    tests = tmp_path / "tests"
    tests.mkdir()
    (tests / "conftest.py").write_text((HERE / "conftest.py").read_text())
    (tests / "test_it.py").write_text(TESTS)
    (tmp_path / "KNOWN-RED.txt").write_text(line)
    command = [sys.executable, "-m", "pytest", "-q", "--rootdir", str(tmp_path), "-p", "no:cacheprovider"]
    done = subprocess.run(
        [*command, *workers, "tests"], cwd=tmp_path, capture_output=True, text=True, check=False
    )
    assert done.returncode == status, done.stdout
    assert ("known red: tests/test_it.py::test_" in done.stdout) is bool(line)
