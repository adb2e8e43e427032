"""Tests experiments: their files, execution and storage of runs, kills, and the statistics of pairs."""

from __future__ import annotations

import csv
import io
import json
import os
import signal
import sqlite3
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np
import pytest

from driftstair.experiments import design as designs
from driftstair.experiments import report, runs, statistics
from driftstair.experiments.design import DesignError
from driftstair.experiments.store import Store, StoreError
from driftstair.model.baselines import POLICIES
from lichenspring import balance

ROOT = Path(__file__).parents[2]
SMALL_DESIGN = """
version = 1
name = "small"
scenarios = ["calm"]
seeds = { first = 5, count = 2 }
set = { seconds = 3.0, "load.rate" = 40.0, "nodes.count" = 2, "boxes.count" = 3 }
measures = ["service", "attempts", "by_class.paid-live"]
"""
POLICY_FACTOR = '[[factor]]\nkey = "policy"\nvalues = ["module", "random"]\n'


def write_design(folder: Path, text: str = SMALL_DESIGN + POLICY_FACTOR) -> Path:
    """Writes an experiment's file."""
    path = folder / "small.toml"
    path.write_text(text)
    return path


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs `driftstair experiment`."""
    return subprocess.run(
        [sys.executable, "-m", "driftstair", "experiment", *arguments], cwd=ROOT, capture_output=True,
        text=True, check=False, timeout=120,
    )  # fmt: skip


# Experiment files.


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("version = 2", "version"), ('name = "a/b"', "name"), ("scenarios = []", "scenarios"),
        ('scenarios = ["clam"]', "clam: no such scenario (did you mean 'calm'?)"),
        ("seeds = { count = 0 }", "seeds.count"), ("lvel = 0.9", "lvel"), ("level = 1.0", "level"),
        ('set = { "load.rate.x" = 1, "load.rate" = 2 }', "load.rate.x: a part of this path"),
        ('set = { "load.rat" = 1 }', "rat: no such key"),
        ('[[factor]]\nkey = "policy"\nvalues = []', "values"),
        ('[[factor]]\nkey = "policy"\nvalues = ["best"]', "no policy 'best'; there are module"),
        ('[[factor]]\nkey = "nodes.count"\nvalues = [3, 3]', "one of [3, 3] stands twice"),
        ('[[factor]]\nkey = "nodes.count"\nvalues = [0]', "nodes.count"),
        ('[[factor]]\nkey = "constant:os.O_RDONLY"\nvalues = [1]', "of the decision module"),
        ('[[factor]]\nkey = "constant:lichenspring.balance.EJECT"\nvalues = [1]', "no such constant; there"),
        ('[[factor]]\nkey = "constant:lichenspring.balance.EJECT_TIME"\nvalues = ["x"]', "numbers would"),
        ('[[factor]]\nkey = "build"\nvalues = ["--x"]', "is no revision"),
        ("seeds = { count = 9999 }\n" + '[[factor]]\nkey = "load.rate"\nvalues = ' + str(list(range(1, 13))),
         "119988 runs; 100000 at most"),
        pytest.param("x = " + "[" * 5000, "nested", id="nested"),
    ],
)  # fmt: skip
def test_invalid_file_is_reported_in_one_line(text: str, message: str, tmp_path: Path) -> None:
    key = text.split(" ", 1)[0]
    other_lines = [line for line in SMALL_DESIGN.splitlines() if not line.startswith(f"{key} =")]
    top, _, tables = text.partition("[[factor]]")
    design_text = "\n".join([top, *other_lines]) + ("\n[[factor]]" + tables if tables else "")
    path = write_design(tmp_path, design_text)
    with pytest.raises(DesignError) as problem:
        designs.read_design(str(path))
    assert (
        message in str(problem.value) and str(path) in str(problem.value) and "\n" not in str(problem.value)
    )


def test_missing_file_missing_store_and_invalid_store_are_reported_in_one_line(tmp_path: Path) -> None:
    without_file = run_command("run", str(tmp_path / "none.toml"))
    assert (without_file.returncode, without_file.stderr.count("\n")) == (2, 1)
    path = write_design(tmp_path)
    without_store = run_command("report", str(path))
    assert without_store.returncode == 2 and "nothing was played yet" in without_store.stderr
    path.with_suffix(".runs").write_text("no data base, but some text that is long enough to be one" * 9)
    with_invalid_store = run_command("status", str(path))
    assert (
        with_invalid_store.returncode == 2
        and "keeps no runs" in with_invalid_store.stderr
        and with_invalid_store.stderr.count("\n") == 1
    )


# Runs.


def test_hash_of_a_run_depends_on_everything_that_determines_it(tmp_path: Path) -> None:
    def hashes(text: str) -> set[str]:
        return {run.hash for run in designs.list_runs(designs.read_design(str(write_design(tmp_path, text))))}

    first = hashes(SMALL_DESIGN + POLICY_FACTOR)
    assert len(first) == 4
    assert hashes(SMALL_DESIGN.replace('name = "small"', 'name = "other"') + POLICY_FACTOR) == first
    assert hashes(SMALL_DESIGN.replace("40.0", "41.0") + POLICY_FACTOR).isdisjoint(first)
    assert len(hashes(SMALL_DESIGN.replace("count = 2 }", "count = 3 }") + POLICY_FACTOR) & first) == 4


def test_constant_is_overridden_only_within_the_context() -> None:
    from lichenspring import breaker

    original = breaker.RETAINED_WEIGHT
    with runs.override_constants((("lichenspring.breaker.KEEP", original / 2),)):
        assert original / 2 == breaker.RETAINED_WEIGHT
        assert getattr(balance, "RETAINED_WEIGHT", original / 2) == original / 2  # where it was imported
    assert original == breaker.RETAINED_WEIGHT


@pytest.mark.parametrize("old_path", runs.RENAMED_CONSTANTS)
def test_renamed_constant_is_found_by_its_old_path(old_path: str) -> None:
    new_path = runs.RENAMED_CONSTANTS[old_path]
    original = runs.read_constant(new_path)
    assert runs.read_constant(old_path) is original
    with runs.override_constants(((old_path, original + 1),)):
        assert runs.read_constant(new_path) == original + 1
    assert runs.read_constant(new_path) is original


def test_run_that_raises_is_reported_and_the_others_continue(tmp_path: Path) -> None:
    class Broken(POLICIES["random"]):  # type: ignore[misc,valid-type]
        def pick(self, now: int, request: Any) -> Any:
            raise ZeroDivisionError("of a policy")

    POLICIES["broken"] = Broken
    try:
        path = write_design(tmp_path, SMALL_DESIGN + POLICY_FACTOR.replace('"random"', '"broken"'))
        results = list(runs.execute_all(designs.list_runs(designs.read_design(str(path))), 1))
    finally:
        del POLICIES["broken"]
    assert [result.problem is None for result in results] == [True, False, True, False]
    assert "ZeroDivisionError: of a policy" in str(results[1].problem)


def test_earlier_build_gets_the_same_arrivals(tmp_path: Path) -> None:
    text = (
        SMALL_DESIGN.replace("count = 2 }", "count = 1 }")
        + '[[factor]]\nkey = "build"\nvalues = ["", "HEAD"]\n'
    )
    current, earlier = runs.execute_all(
        designs.list_runs(designs.read_design(str(write_design(tmp_path, text)))), 1
    )
    assert current.outcome is not None and earlier.outcome is not None, earlier.problem
    assert current.outcome["asked"] == earlier.outcome["asked"] > 50


def test_unknown_revision_is_reported() -> None:
    with pytest.raises(ValueError, match="no revision here"):
        runs.checkout_build("no-such-revision")


# Kills.


def exported_rows(path: Path) -> list[dict[str, str]]:
    """Returns the exported rows without their CPU times."""
    result = run_command("export", str(path), "-")
    rows = list(csv.DictReader(io.StringIO(result.stdout)))
    return [{key: value for key, value in row.items() if key != "cpu_s"} for row in rows]


def count_rows(store: Path) -> int:
    """Returns the number of rows in a store."""
    try:
        with sqlite3.connect(f"file:{store}?mode=ro", uri=True, timeout=30) as database:
            return int(database.execute("select count(*) from runs").fetchone()[0])
    except sqlite3.OperationalError:
        return 0  # the table does not exist yet


def wait_until(condition: Callable[[], bool], process: subprocess.Popen[bytes]) -> None:
    """Waits until the condition holds or the process ends."""
    while not condition() and process.poll() is None:
        os.sched_yield()


def test_experiment_killed_after_each_row_continues_to_the_same_table(tmp_path: Path) -> None:
    path = write_design(tmp_path)
    store = path.with_suffix(".runs")
    arguments = [sys.executable, "-m", "driftstair", "experiment", "run", str(path), "--jobs", "1"]
    for number in range(1, 4):
        process = subprocess.Popen(arguments, cwd=ROOT, stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
        wait_until(lambda number=number: count_rows(store) >= number, process)  # type: ignore[misc]
        process.send_signal(signal.SIGKILL)
        process.wait()
        assert count_rows(store) >= number
    completed = run_command("run", str(path), "--jobs", "1")
    assert (completed.returncode, completed.stdout) == (0, "4 runs: 4 played, 0 failed, 0 missing\n")
    repeated = run_command("run", str(path), "--jobs", "1")
    assert repeated.stderr == "" and repeated.returncode == 0  # no run is left to execute
    uninterrupted = tmp_path / "whole"
    uninterrupted.mkdir()
    other = write_design(uninterrupted)
    assert run_command("run", str(other), "--jobs", "2").returncode == 0
    assert exported_rows(path) == exported_rows(other) and len(exported_rows(path)) == 4
    report_document = json.loads(run_command("report", str(path), "--json").stdout)
    assert {difference["measure"] for difference in report_document["differences"]} == {
        "service",
        "attempts",
        "by_class.paid-live",
    }
    assert all(
        difference["verdict"].startswith("too few pairs (2 of 7")
        for difference in report_document["differences"]
    )


def test_second_writer_is_refused_and_readers_are_not(tmp_path: Path) -> None:
    path = tmp_path / "one.runs"
    first = Store(path, for_writing=True)
    try:
        with pytest.raises(StoreError, match="another process plays"):
            Store(path, for_writing=True)
        first.save("a", "calm", 1, [["policy", "module"]], None, "it broke", 0.5)
        second = Store(path, for_writing=False)
        assert second.rows()["a"]["problem"] == "it broke" and second.completed_hashes() == set()
        second.close()
    finally:
        first.close()
    Store(path, for_writing=True).close()


# Statistics of pairs.


def compare_differences(differences: list[float], level: float = 0.95) -> statistics.Difference:
    """Compares pairs with the given differences."""
    return statistics.compare_pairs(
        "s", "m", "a", "b", [(1.0, 1.0 + difference) for difference in differences], level
    )


def test_verdicts_for_equal_and_constantly_different_pairs() -> None:
    assert compare_differences([0.0] * 20).verdict(0.95) == "no difference seen"
    assert compare_differences([0.5] * 20).verdict(0.95) == "more"
    assert compare_differences([-0.5 - 0.01 * index for index in range(20)]).verdict(0.95) == "less"
    assert compare_differences([1.0] * 5).verdict(0.95) == "too few pairs (5 of 6 at least)"
    assert compare_differences([1.0] * 6).verdict(0.95) == "more"
    # With many comparisons, the correction requires more pairs.
    corrected = statistics.correct_p_values([compare_differences([1.0] * 9)] * 16)
    assert corrected[0].verdict(0.95) == "too few pairs (9 of 10 at least)"
    assert statistics.correct_p_values([compare_differences([1.0] * 10)] * 16)[0].verdict(0.95) == "more"


def test_intervals_contain_the_mean_about_as_often_as_their_level() -> None:
    random = np.random.default_rng(7)
    contained = 0
    for _ in range(150):
        compared = compare_differences(list(random.normal(0.3, 1.0, 20)))
        contained += compared.low <= 0.3 <= compared.high
    assert 0.88 <= contained / 150 <= 0.99


def test_random_noise_is_not_reported_as_a_difference() -> None:
    random = np.random.default_rng(11)
    compared = [compare_differences(list(random.normal(0.0, 1.0, 20))) for _ in range(60)]
    assert sum(difference.p < 0.05 for difference in compared) > 0  # low p-values occur by chance
    assert all(
        difference.verdict(0.95) == "no difference seen"
        for difference in statistics.correct_p_values(compared)
    )


def test_p_values_are_corrected_by_holms_method() -> None:
    p_values = [0.01, 0.04, 0.03, 0.005]
    compared = [
        statistics.Difference("s", "m", "a", "b", 20, 0, 1, 1, 0, 2, p_value, p_value) for p_value in p_values
    ]
    assert [round(difference.corrected, 6) for difference in statistics.correct_p_values(compared)] == [
        0.03,
        0.06,
        0.06,
        0.02,
    ]


def test_differences_are_from_the_first_value_with_equal_other_factors(tmp_path: Path) -> None:
    text = SMALL_DESIGN + POLICY_FACTOR + '[[factor]]\nkey = "nodes.count"\nname = "nodes"\nvalues = [2, 4]\n'
    design = designs.read_design(str(write_design(tmp_path, text)))
    all_runs = designs.list_runs(design)
    rows = {
        run.hash: {
            "outcome": {"service": dict(run.factor_values)["nodes"], "attempts": 1.0},
            "problem": None,
        }
        for run in all_runs
    }
    compared = report.compare_factors(design, all_runs, rows)
    assert {
        (difference.base, difference.value, difference.scenario, difference.mean)
        for difference in compared
        if difference.measure == "service"
    } == {
        ("policy module", "policy random", "calm (nodes 2)", 0.0),
        ("policy module", "policy random", "calm (nodes 4)", 0.0),
        ("nodes 2", "nodes 4", "calm (policy module)", 2.0),
        ("nodes 2", "nodes 4", "calm (policy random)", 2.0),
    }
    assert not [
        difference for difference in compared if difference.measure.startswith("by_class")
    ]  # no run has this measure
