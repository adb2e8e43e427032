"""`driftstair rehearse` as a person meets it: what it prints, writes and exits with."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from stage import Run, small_scenario

from driftstair.net.frontend import ClientConnection
from driftstair.rehearsal.report import build, compare, html

ROOT = Path(__file__).parents[2]
MINE = 'version = 1\nname = "mine"\nseconds = 3\n[load]\nrate = 60\n[boxes]\ncount = 4\n[nodes]\ncount = 2\n'


def command(*words: str, env: dict[str, str] | None = None) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "driftstair", *words], cwd=ROOT, capture_output=True, text=True, timeout=120,
        env={**os.environ, "COLUMNS": "100", **(env or {})},
    )  # fmt: skip


@pytest.fixture
def mine(tmp_path: Path) -> Path:
    path = tmp_path / "mine.toml"
    path.write_text(MINE)
    return path


def test_a_run_prints_its_report_and_exits_with_0(mine: Path) -> None:
    done = command("rehearse", str(mine))
    assert done.returncode == 0
    assert done.stderr == ""  # no progress line where there is no terminal
    for word in ("mine", "in virtual time", "service", "paid-live", "all four rules kept", "seed 1"):
        assert word in done.stdout


def test_options_change_the_scenario(mine: Path) -> None:
    done = command("rehearse", str(mine), "--seed", "9", "--nodes", "1", "--boxes", "3", "--rate", "30",
                   "--seconds", "2", "--json", "-")  # fmt: skip
    found = json.loads(done.stdout)["scenario"]
    assert (found["seed"], found["nodes"], found["boxes"], found["rate"], found["seconds"]) == (
        9,
        1,
        3,
        30,
        2,
    )


def test_the_list_names_what_is_shipped() -> None:
    done = command("rehearse", "--list")
    assert done.returncode == 0
    assert "football-final" in done.stdout and "calm" in done.stdout


def test_show_prints_a_file_that_replays(tmp_path: Path) -> None:
    path = tmp_path / "copy.toml"
    path.write_text(command("rehearse", "calm", "--show").stdout)
    assert command("rehearse", str(path), "--seconds", "1", "--rate", "40").returncode == 0


@pytest.mark.parametrize(
    ("words", "line"),
    [
        (["clam"], "clam: no such scenario (did you mean 'calm'?); --list names them"),
        ([], "which scenario? --list names them"),
        (["calm", "slow-boxes"], "one scenario at a time, not calm slow-boxes"),
        (["calm", "--seconds", "-1"], "calm: seconds: input should be greater than 0, not -1.0"),
        (["calm", "--nodes", "0"], "calm: nodes.count: input should be greater than or equal to 1, not 0"),
        (["calm", "--html", "/no/such/folder/x.html"], "/no/such/folder/x.html: can't be written"),
        (["compare", "a.json"], "compare wants two reports"),
        (["compare", "a.json", "b.json"], "a.json: can't be read: No such file or directory"),
        (["hunt", "--budget", "0"], "--budget 0: at least one run"),
        (["hunt", "calm"], "hunt draws its scenarios itself"),
    ],
)
def test_bad_use_is_one_line_and_exit_2(words: list[str], line: str) -> None:
    done = command("rehearse", *words)
    assert done.returncode == 2
    assert done.stdout == ""
    assert done.stderr.startswith(f"driftstair: {line}") and done.stderr.count("\n") == 1


def test_a_bad_file_writes_nothing(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text("version = 1\n[load]\nrate = -1\n")
    done = command(
        "rehearse", str(bad), "--json", str(tmp_path / "a.json"), "--html", str(tmp_path / "a.html")
    )
    assert done.returncode == 2
    assert sorted(path.name for path in tmp_path.iterdir()) == ["bad.toml"]


def test_an_unknown_subcommand_names_those_there_are() -> None:
    done = command("rehearze")
    assert done.returncode == 2 and "rehearse" in done.stderr


def test_without_a_subcommand_it_stays_the_daemon() -> None:
    done = command(env={"BALANCER_CONFIG": ""})
    assert (done.returncode, done.stderr) == (2, "driftstair: BALANCER_CONFIG is not set\n")


def test_the_daemon_loads_nothing_of_the_kit() -> None:
    code = (
        "import sys, driftstair.__main__, driftstair.daemon;"
        "kit = ('driftstair.rehearsal', 'driftstair.commands', 'rich', 'pydantic', 'tomli_w', 'argparse');"
        "bad = [name for name in sys.modules if name.startswith(kit)];"
        "print(bad)"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]"


def test_ctrl_c_ends_with_the_report_so_far_marked_cut_off(mine: Path, tmp_path: Path) -> None:
    """The signal comes from within, at a moment of the run: no timing of the machine's."""
    script = (
        "import os, signal, sys\n"
        "from driftstair.rehearsal import runner\n"
        "sample = runner.Rehearsal._sample\n"
        "def then(self):\n"
        "    sample(self)\n"
        "    if len(self.samples) == 30: os.kill(os.getpid(), signal.SIGINT)\n"
        "runner.Rehearsal._sample = then\n"
        "from driftstair.commands import run\n"
        "sys.exit(run(sys.argv[1:]))\n"
    )
    report = tmp_path / "r.json"
    done = subprocess.run(
        [sys.executable, "-c", script, "rehearse", str(mine), "--seconds", "3000", "--json", str(report)],
        cwd=ROOT, capture_output=True, text=True, timeout=120,
    )  # fmt: skip
    assert done.returncode == 0, done.stderr
    found = json.loads(report.read_text())
    assert found["ended"] == "cut off" and "cut off" in done.stdout
    assert 29 <= len(found["seconds"]) <= 40
    assert found["lost"]["cut off"]["requests"] < 60


def broken(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    """A report in which rules are broken."""
    answer = ClientConnection.answer
    number = [0]

    def swallows(self: ClientConnection, status: int, headers: Any, body: bytes) -> None:
        number[0] += 1
        if number[0] % 40:
            answer(self, status, headers, body)

    with monkeypatch.context() as patch:
        patch.setattr(ClientConnection, "answer", swallows)
        return Run(small_scenario()).report


def test_a_broken_rule_is_exit_1(monkeypatch: pytest.MonkeyPatch) -> None:
    from driftstair.rehearsal.command import status_of

    assert status_of(broken(monkeypatch)) == 1
    assert status_of(Run(small_scenario()).report) == 0


def test_compare_shows_what_changed_between_two_builds(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    paths = []
    for name, report in (("a", Run(small_scenario()).report), ("b", broken(monkeypatch))):
        paths.append(tmp_path / f"{name}.json")
        paths[-1].write_text(build.text_of(report))
    done = command("rehearse", "compare", *map(str, paths))
    assert done.returncode == 0
    assert "class paid-live" in done.stdout and "breaks: 0 →" in done.stdout
    found = json.loads(command("rehearse", "compare", *map(str, paths), "--json", "-").stdout)
    assert found["same_scenario"] and found["breaks"][0] == 0 < found["breaks"][1]
    assert found["rows"][0]["service"][1] < found["rows"][0]["service"][0]


def test_compare_says_when_the_scenarios_differ() -> None:
    found = compare.compare(Run(small_scenario()).report, Run(small_scenario(seed=2)).report)
    assert not found["same_scenario"]


def test_a_report_of_another_version_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "old.json"
    path.write_text('{"format": "driftstair.rehearsal/0"}')
    done = command("rehearse", "compare", str(path), str(path))
    assert done.returncode == 2 and "format is 'driftstair.rehearsal/0'" in done.stderr


def test_the_page_needs_nothing_else_and_tells_all(monkeypatch: pytest.MonkeyPatch) -> None:
    report = broken(monkeypatch)
    report["scenario"]["title"] = "<script>alert(1)</script>"
    page = html.page(report)
    assert "<script>" not in page
    assert "http" not in page.replace("http-equiv", "")
    for word in (
        "service by worth", "in flight, by node", "requests held by each box", "descriptors, by node",
        "rule 1", "paid-live",
    ):  # fmt: skip
        assert word in page


def test_a_page_of_a_run_that_was_cut_off_at_once() -> None:
    report = Run(small_scenario(seconds=0.01)).report
    assert "<svg" in html.page(report)


def test_the_signal_handler_is_put_back(mine: Path) -> None:
    from driftstair.rehearsal.command import interruptible

    before = signal.getsignal(signal.SIGINT)
    with interruptible() as interrupted:
        assert not interrupted()
        os.kill(os.getpid(), signal.SIGINT)
        assert interrupted()
    assert signal.getsignal(signal.SIGINT) is before
