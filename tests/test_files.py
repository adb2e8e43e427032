"""Unusable files (not regular, endless, too long, nested too deeply) give one clear line, without a hang."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from driftstair.config import ConfigError
from driftstair.config import load as load_config
from driftstair.files import SETTINGS_BYTES_MAX, FileError, parse_text, read_text
from driftstair.rehearsal.load import ScenarioError
from driftstair.rehearsal.load import load as load_scenario
from driftstair.service.load import ServiceError
from driftstair.service.load import read as load_service

DEEP_TOML = "version = 1\nx = " + "[" * 5000 + "]" * 5000
DEEP_JSON = '{"settings": ' + "[" * 100_000 + "]" * 100_000 + "}"


def fifo(path: Path) -> None:
    os.mkfifo(path)


def folder(path: Path) -> None:
    path.mkdir()


def endless(path: Path) -> None:
    path.symlink_to("/dev/zero")


def deep(path: Path) -> None:
    path.write_text(DEEP_JSON if path.suffix == ".json" else DEEP_TOML)


def long(path: Path) -> None:
    path.write_bytes(b" " * (17 << 20))


def binary(path: Path) -> None:
    path.write_bytes(b"version = 1\n\xff")


def absent(path: Path) -> None:
    pass


BAD = {
    fifo: "not a regular file", folder: "not a regular file", endless: "not a regular file",
    deep: "nested too deeply", long: "longer than", binary: "UTF-8 text, in line 2", absent: "No such file",
}  # fmt: skip


@pytest.mark.parametrize("make", BAD, ids=[make.__name__ for make in BAD])
@pytest.mark.parametrize(
    ("name", "load", "error"),
    [
        ("a.toml", load_scenario, ScenarioError),
        ("a.toml", load_service, ServiceError),
        ("a.json", lambda path: load_config({"BALANCER_CONFIG": path}), ConfigError),
    ],
    ids=["scenario", "service", "configuration"],
)
def test_an_unusable_file_gives_one_line(
    make: Callable[[Path], None],
    name: str,
    load: Callable[[str], object],
    error: type[Exception],
    tmp_path: Path,
) -> None:
    path = tmp_path / name
    make(path)
    with pytest.raises(error) as caught:
        load(str(path))
    assert BAD[make] in str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize("version", ["1.0", "true", '"1"', "2"])
def test_only_the_integer_1_is_a_valid_version(version: str, tmp_path: Path) -> None:
    path = tmp_path / "a.toml"
    path.write_text(f"version = {version}\n")
    for load, error in ((load_scenario, ScenarioError), (load_service, ServiceError)):
        with pytest.raises(error, match="version"):
            load(str(path))


def test_a_deeply_nested_configuration_that_json_can_parse_is_refused_too(tmp_path: Path) -> None:
    path = tmp_path / "a.json"
    path.write_text('{"settings": ' + '{"a":' * 900 + "1" + "}" * 900 + "}")
    with pytest.raises(ConfigError):
        load_config({"BALANCER_CONFIG": str(path)})


def test_the_command_exits_with_2_and_one_line(tmp_path: Path) -> None:
    path = tmp_path / "a.toml"
    fifo(path)
    for words in (["rehearse", str(path)], ["config", "check", str(path)]):
        done = subprocess.run(
            [sys.executable, "-m", "driftstair", *words], capture_output=True, text=True, timeout=30
        )
        assert (done.returncode, len(done.stderr.splitlines())) == (2, 1), done.stderr


def test_a_file_of_the_maximum_size_is_read_and_parsed(tmp_path: Path) -> None:
    path = tmp_path / "a"
    path.write_bytes(b"x" * SETTINGS_BYTES_MAX)
    assert len(read_text(str(path))) == SETTINGS_BYTES_MAX
    with pytest.raises(FileError, match="zero byte"):
        read_text("a\0b")
    assert parse_text("3", int) == 3
