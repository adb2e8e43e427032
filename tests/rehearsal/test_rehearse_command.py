"""Tests of the `driftstair rehearse` command: output, files and exit status."""

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
SCENARIO_TEXT = (
    'version = 1\nname = "mine"\nseconds = 3\n[load]\nrate = 60\n[boxes]\ncount = 4\n[nodes]\ncount = 2\n'
)


def run_driftstair(*arguments: str, env: dict[str, str] | None = None) -> subprocess.CompletedProcess[str]:
    """Runs the program in a process of its own."""
    return subprocess.run(
        [sys.executable, "-m", "driftstair", *arguments], cwd=ROOT, capture_output=True, text=True,
        timeout=120, env={**os.environ, "COLUMNS": "100", **(env or {})},
    )  # fmt: skip


@pytest.fixture
def scenario_file(tmp_path: Path) -> Path:
    path = tmp_path / "mine.toml"
    path.write_text(SCENARIO_TEXT)
    return path


def test_a_run_prints_its_report_and_exits_with_status_0(scenario_file: Path) -> None:
    completed = run_driftstair("rehearse", str(scenario_file))
    assert completed.returncode == 0
    assert completed.stderr == ""  # no progress line where there is no terminal
    for text in ("mine", "in virtual time", "service", "paid-live", "all four rules kept", "seed 1"):
        assert text in completed.stdout


def test_options_change_the_scenario(scenario_file: Path) -> None:
    completed = run_driftstair("rehearse", str(scenario_file), "--seed", "9", "--nodes", "1", "--boxes", "3",
                   "--rate", "30", "--seconds", "2", "--json", "-")  # fmt: skip
    data = json.loads(completed.stdout)["scenario"]
    assert (data["seed"], data["nodes"], data["boxes"], data["rate"], data["seconds"]) == (
        9,
        1,
        3,
        30,
        2,
    )


def test_list_prints_the_shipped_scenarios() -> None:
    completed = run_driftstair("rehearse", "--list")
    assert completed.returncode == 0
    assert "football-final" in completed.stdout and "calm" in completed.stdout


def test_show_prints_a_file_that_can_be_played(tmp_path: Path) -> None:
    path = tmp_path / "copy.toml"
    path.write_text(run_driftstair("rehearse", "calm", "--show").stdout)
    assert run_driftstair("rehearse", str(path), "--seconds", "1", "--rate", "40").returncode == 0


@pytest.mark.parametrize(
    ("arguments", "expected"),
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
def test_bad_use_prints_one_line_and_exits_with_status_2(arguments: list[str], expected: str) -> None:
    completed = run_driftstair("rehearse", *arguments)
    assert completed.returncode == 2
    assert completed.stdout == ""
    assert completed.stderr.startswith(f"driftstair: {expected}") and completed.stderr.count("\n") == 1


def test_a_bad_scenario_file_writes_no_report(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text("version = 1\n[load]\nrate = -1\n")
    completed = run_driftstair(
        "rehearse", str(bad), "--json", str(tmp_path / "a.json"), "--html", str(tmp_path / "a.html")
    )
    assert completed.returncode == 2
    assert sorted(path.name for path in tmp_path.iterdir()) == ["bad.toml"]


def test_an_unknown_subcommand_prints_the_known_ones() -> None:
    completed = run_driftstair("rehearze")
    assert completed.returncode == 2 and "rehearse" in completed.stderr


def test_without_a_subcommand_the_daemon_starts() -> None:
    completed = run_driftstair(env={"BALANCER_CONFIG": ""})
    assert (completed.returncode, completed.stderr) == (2, "driftstair: BALANCER_CONFIG is not set\n")


def test_the_daemon_imports_nothing_of_the_kit() -> None:
    code = (
        "import sys, driftstair.__main__, driftstair.daemon;"
        "kit = ('driftstair.rehearsal', 'driftstair.commands', 'rich', 'pydantic', 'tomli_w', 'argparse');"
        "bad = [name for name in sys.modules if name.startswith(kit)];"
        "print(bad)"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert completed.stdout.strip() == "[]"


def test_ctrl_c_ends_the_run_with_a_report_marked_cut_off(scenario_file: Path, tmp_path: Path) -> None:
    """The process signals itself at a given moment of the run, so that the test does not depend on timing."""
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
    completed = subprocess.run(
        [sys.executable, "-c", script, "rehearse", str(scenario_file), "--seconds", "3000", "--json",
         str(report)],
        cwd=ROOT, capture_output=True, text=True, timeout=120,
    )  # fmt: skip
    assert completed.returncode == 0, completed.stderr
    data = json.loads(report.read_text())
    assert data["ended"] == "cut off" and "cut off" in completed.stdout
    assert 29 <= len(data["seconds"]) <= 40
    assert data["lost"]["cut off"]["requests"] < 60


def report_with_broken_rules(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    """Returns a report with broken rules: every 40th answer is dropped."""
    real_answer = ClientConnection.answer
    answer_count = [0]

    def drop_some_answers(self: ClientConnection, status: int, headers: Any, body: bytes) -> None:
        answer_count[0] += 1
        if answer_count[0] % 40:
            real_answer(self, status, headers, body)

    with monkeypatch.context() as patch:
        patch.setattr(ClientConnection, "answer", drop_some_answers)
        return Run(small_scenario()).report


def test_a_broken_rule_exits_with_status_1(monkeypatch: pytest.MonkeyPatch) -> None:
    from driftstair.rehearsal.command import exit_status

    assert exit_status(report_with_broken_rules(monkeypatch)) == 1
    assert exit_status(Run(small_scenario()).report) == 0


def test_compare_shows_what_changed_between_two_builds(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    paths = []
    for name, report in (("a", Run(small_scenario()).report), ("b", report_with_broken_rules(monkeypatch))):
        paths.append(tmp_path / f"{name}.json")
        paths[-1].write_text(build.to_json(report))
    completed = run_driftstair("rehearse", "compare", *map(str, paths))
    assert completed.returncode == 0
    assert "class paid-live" in completed.stdout and "breaks: 0 →" in completed.stdout
    data = json.loads(run_driftstair("rehearse", "compare", *map(str, paths), "--json", "-").stdout)
    assert data["same_scenario"] and data["breaks"][0] == 0 < data["breaks"][1]
    assert data["rows"][0]["service"][1] < data["rows"][0]["service"][0]


def test_compare_reports_different_scenarios() -> None:
    data = compare.compare(Run(small_scenario()).report, Run(small_scenario(seed=2)).report)
    assert not data["same_scenario"]


def test_a_report_of_another_version_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "old.json"
    path.write_text('{"format": "driftstair.rehearsal/0"}')
    completed = run_driftstair("rehearse", "compare", str(path), str(path))
    assert completed.returncode == 2 and "format is 'driftstair.rehearsal/0'" in completed.stderr


def test_the_html_page_is_self_contained_and_complete(monkeypatch: pytest.MonkeyPatch) -> None:
    report = report_with_broken_rules(monkeypatch)
    report["scenario"]["title"] = "<script>alert(1)</script>"
    page = html.page(report)
    assert "<script>" not in page
    assert "http" not in page.replace("http-equiv", "")
    for text in (
        "service by worth", "in flight, by node", "requests held by each box", "descriptors, by node",
        "rule 1", "paid-live",
    ):  # fmt: skip
        assert text in page


def test_the_html_page_of_a_run_without_requests() -> None:
    report = Run(small_scenario(seconds=0.01)).report
    assert "<svg" in html.page(report)


def test_the_signal_handler_is_restored(scenario_file: Path) -> None:
    from driftstair.rehearsal.command import interruptible

    before = signal.getsignal(signal.SIGINT)
    with interruptible() as interrupted:
        assert not interrupted()
        os.kill(os.getpid(), signal.SIGINT)
        assert interrupted()
    assert signal.getsignal(signal.SIGINT) is before
