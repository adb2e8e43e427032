"""The commands of `driftstair control`: files, exit statuses and output."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from driftstair.commands import run
from driftstair.control.change_file import ChangeFileError, read_change_file
from driftstair.control.settings import read_settings
from driftstair.rehearsal import ports
from driftstair.service.load import ServiceError

ROOT = Path(__file__).parents[2]
CHANGE_TOML = '[[changes]]\nkind = "drain"\nname = "s1"\n[changes.content]\nreason = "disk"\n'


def _settings(own_folder: Path, **overrides: str) -> str:
    values = {
        "version": "1",
        "name": '"c0"',
        "listen": '"127.0.0.1:0"',
        "folder": f'"{own_folder}"',
    } | overrides
    return "".join(f"{key} = {value}\n" for key, value in values.items() if value)


@pytest.fixture(scope="module")
def server(tmp_path_factory: pytest.TempPathFactory) -> Iterator[str]:
    """The address of a control server that runs as a process."""
    folder = tmp_path_factory.mktemp("control")
    file = folder / "control.toml"
    file.write_text(_settings(folder))
    process = subprocess.Popen(
        [sys.executable, "-m", "driftstair", "control", "serve", str(file)], cwd=ROOT, text=True,
        stderr=subprocess.PIPE,
    )  # fmt: skip
    assert process.stderr is not None
    while not (match := re.search(r"serving on (\S+)", line := process.stderr.readline())):
        assert line, "the server ended"
    yield match[1]
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0
    process.stderr.close()


def test_put_status_and_log_of_a_running_server(
    server: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "change.toml"
    file.write_text(CHANGE_TOML)
    assert run(["control", "put", str(file), "--servers", server]) == 0
    out, err = capsys.readouterr()
    match = re.fullmatch(r"(\S+): committed, revision (\d+)\n", out)
    assert match
    assert f"change set {match[1]}" in err

    assert run(["control", "put", str(file), "--servers", server, "--id", match[1], "--json"]) == 0
    repeated = json.loads(capsys.readouterr().out)
    assert repeated == {"id": match[1], "revision": int(match[2])}

    unused_port = ports.reserve_tcp()
    servers = f"127.0.0.1:{unused_port.number},{server}"
    assert run(["control", "put", str(file), "--servers", servers]) == 0
    capsys.readouterr()
    assert run(["control", "status", "--servers", servers]) == 0
    out = capsys.readouterr().out
    assert f"leader {server}" in out
    assert f"server 127.0.0.1:{unused_port.number}: can't be asked: Connection refused" in out
    assert "in force in 0 of 0" in out
    assert run(["control", "status", "--servers", servers, "--json"]) == 0
    view = json.loads(capsys.readouterr().out)
    assert view["committed"] == view["revisions"][0]["revision"]

    assert run(["control", "log", "--servers", servers, "--from", "1"]) == 0
    out = capsys.readouterr().out
    assert out.splitlines()[0].endswith(f"{match[1]}: drain/s1")
    assert run(["control", "log", "--servers", server, "--json"]) == 0
    revisions = [json.loads(line)["revision"] for line in capsys.readouterr().out.splitlines()]
    assert revisions == list(range(1, len(revisions) + 1))
    unused_port.release()


def test_a_refused_set_prints_each_violation_on_a_line(
    server: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "change.json"
    changes = [{"kind": "drain", "name": f"s{number}", "content": {"moon": 1}} for number in range(3)]
    file.write_text(json.dumps({"id": "bad", "changes": changes}))
    assert run(["control", "put", str(file), "--servers", server]) == 1
    err = capsys.readouterr().err.splitlines()
    assert [line for line in err if "moon" in line] == [
        f"driftstair: drain/s{number}: moon: no such key" for number in range(3)
    ]


def test_commands_report_that_no_server_answers(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    unused_port = ports.reserve_tcp()
    address = f"127.0.0.1:{unused_port.number}"
    file = tmp_path / "change.toml"
    file.write_text(CHANGE_TOML)
    assert run(["control", "put", str(file), "--servers", address, "--within", "0.1"]) == 3
    err = capsys.readouterr().err
    id_match = re.search(r"change set (\S+)", err)
    assert id_match
    assert f"put it again with --id {id_match[1]}" in err
    assert run(["control", "status", "--servers", address]) == 2
    assert run(["control", "log", "--servers", address]) == 2
    unused_port.release()


INVALID_FILES = {
    "no TOML": ("a b", r":1: the file: no TOML text"),
    "no JSON": ('{"id": \n 7,}', r":2: the file: no JSON text"),
    "an unknown kind": (
        'id = "a"\n[[changes]]\nkind = "moon"\nname = "a"\ncontent = {}\n', r":3: changes\[0\].kind",
    ),
    "no content": ('[[changes]]\nkind = "drain"\nname = "a"\n', r":1: changes\[0\]: has no content"),
    "deletion and content": (
        '[[changes]]\nkind = "drain"\nname = "a"\ndelete = true\ncontent = {}\n', r":1: changes\[0\]\.delete",
    ),
    "a wrong id": ('id = "a b"\nchanges = []\n', r":1: id: 'a b' is no id"),
    "a resource twice": (CHANGE_TOML + CHANGE_TOML, r":6: changes\[1\]: drain/s1 is changed twice"),
    "a date": ('[[changes]]\nkind = "drain"\nname = "a"\ncontent = { at = 2026-01-01 }\n', r":1: the file: "),
}  # fmt: skip


@pytest.mark.parametrize("case", INVALID_FILES)
def test_an_invalid_change_file_gives_one_error_line_and_nothing_is_sent(
    case: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text, line = INVALID_FILES[case]
    file = tmp_path / ("change.json" if text.startswith("{") else "change.toml")
    file.write_text(text)
    assert run(["control", "put", str(file), "--servers", "127.0.0.1:1"]) == 2
    (error_line,) = capsys.readouterr().err.splitlines()
    assert re.search(re.escape(str(file)) + line, error_line), error_line


def test_a_missing_file_or_a_folder_is_an_error(tmp_path: Path) -> None:
    for path in (tmp_path / "missing", tmp_path):
        with pytest.raises(ChangeFileError, match="can't be read"):
            read_change_file(str(path))


def test_a_deletion_is_read_and_each_read_makes_a_new_id(tmp_path: Path) -> None:
    file = tmp_path / "change.toml"
    file.write_text('[[changes]]\nkind = "drain"\nname = "a"\ndelete = true\n')
    first, second = read_change_file(str(file)), read_change_file(str(file))
    assert first.changes[0].deletes
    assert first.id != second.id
    assert first.id.split("-")[0] == second.id.split("-")[0]
    assert read_change_file(str(file), "given").id == "given"


INVALID_SETTINGS = {
    "an unknown key": ({"folders": '"/"'}, "5: folders: no such key; folder would do"),
    "no listen": ({"listen": ""}, "1: listen: is missing"),
    "an invalid address": ({"listen": '"here"'}, '3: listen: wants "HOST:PORT"'),
    "another version": ({"version": "2"}, "1: version: "),
    "no folder": ({"folder": '"/nowhere/at/all"'}, "4: folder: '/nowhere/at/all' is no folder"),
    "not among peers": ({"peers": '["127.0.0.1:1", "127.0.0.1:2"]'}, "5: peers: does not have 127.0.0.1:0"),
    "too many peers": ({"peers": json.dumps([f"127.0.0.1:{port}" for port in range(1, 9)])}, "5: peers: "),
    "an address twice": (
        {"peers": '["127.0.0.1:1", "127.0.0.1:1"]', "number": "0"}, "5: peers: names an address twice",
    ),
    "number out of range": (
        {"peers": '["127.0.0.1:1", "127.0.0.1:2"]', "number": "5"}, "6: number: 5 is no place",
    ),
    "no unit": ({"snapshot_rate": "3000"}, "5: snapshot_rate: has no unit"),
}  # fmt: skip


@pytest.mark.parametrize("case", INVALID_SETTINGS)
def test_invalid_settings_give_one_error_line_with_line_number_key_and_remedy(
    case: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    overrides, line = INVALID_SETTINGS[case]
    file = tmp_path / "control.toml"
    file.write_text(_settings(tmp_path, **overrides))
    assert run(["control", "serve", str(file)]) == 2
    (error_line,) = capsys.readouterr().err.splitlines()
    assert error_line.startswith(f"driftstair: {file}:{line}")


def test_all_problems_are_reported_at_once(tmp_path: Path) -> None:
    file = tmp_path / "control.toml"
    file.write_text(_settings(tmp_path, name='"a b"', listen='"x"', more="1"))
    with pytest.raises(ServiceError) as error:
        read_settings(str(file))
    assert len(error.value.problems) == 3


def test_own_number_is_the_index_of_listen_or_the_given_number(tmp_path: Path) -> None:
    file = tmp_path / "control.toml"
    peers = '["127.0.0.1:1", "127.0.0.1:2"]'
    file.write_text(_settings(tmp_path, listen='"127.0.0.1:2"', peers=peers))
    assert (read_settings(str(file)).own_number, read_settings(str(file)).count) == (1, 2)
    file.write_text(_settings(tmp_path, listen='"0.0.0.0:2"', peers=peers, number="0"))
    assert read_settings(str(file)).own_number == 0
    file.write_text(_settings(tmp_path))
    assert (read_settings(str(file)).own_number, read_settings(str(file)).count) == (0, 1)


def test_a_corrupt_log_prevents_the_start(
    tmp_path: Path, server: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "control.toml"
    file.write_text(_settings(tmp_path))
    (tmp_path / "replica.log").write_bytes(b"garbage that is no record of any log" * 10)
    assert run(["control", "serve", str(file)]) == 2
    (error_line,) = capsys.readouterr().err.splitlines()
    assert error_line.startswith(f"driftstair: {file}: folder: ")
