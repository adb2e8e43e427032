"""The result of the deploy file's `build`: nodes start on a read-only file system."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = ("driftstair", "lichenspring")
LIST_COMPILED = """
from importlib.machinery import SourceFileLoader

compiled = []
compile_source = SourceFileLoader.source_to_code

def noted(self, data, path, **options):
    compiled.append(path)
    return compile_source(self, data, path, **options)

SourceFileLoader.source_to_code = noted
import driftstair.__main__, driftstair.daemon
print(len(compiled), *compiled)
"""


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """A fresh checkout with an installed environment: the one of this run, under its own path."""
    for package in PACKAGES:
        shutil.copytree(ROOT / package, tmp_path / package, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "requirements.txt", tmp_path)
    environment = tmp_path / ".venv"
    (environment / "bin").mkdir(parents=True)
    (environment / "lib").symlink_to(Path(sys.prefix) / "lib")
    shutil.copy(Path(sys.prefix) / "pyvenv.cfg", environment)
    (environment / "bin" / "python").symlink_to(sys.executable)
    (environment / "built").touch()
    return tmp_path


def run(checkout: Path, *command: str) -> str:
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}  # as on a read-only file system
    return subprocess.run(
        command, cwd=checkout, env=environment, capture_output=True, text=True, check=True
    ).stdout


def test_a_node_compiles_nothing_at_start(checkout: Path) -> None:
    """Compiling at the start would cost 1.6 times the CPU time, on every node and at every restart. Copying
    the built folder changes the files' times and must not invalidate the compiled files."""
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    run(checkout, "/bin/sh", "-c", build)
    for package in PACKAGES:
        for source in (checkout / package).rglob("*.py"):
            os.utime(source)
    number, *compiled = run(checkout, ".venv/bin/python", "-c", LIST_COMPILED).split()
    assert (number, compiled) == ("0", [])


def test_a_source_changed_since_the_build_takes_effect(checkout: Path) -> None:
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    run(checkout, "/bin/sh", "-c", build)
    with (checkout / "driftstair" / "hosts.py").open("a") as hosts:
        hosts.write("\nCHANGED = True\n")
    code = "import driftstair.hosts; print(driftstair.hosts.CHANGED)"
    assert run(checkout, ".venv/bin/python", "-c", code) == "True\n"
