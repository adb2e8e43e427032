"""Experiments: files, runs that are kept, kills, and what pairs of runs allow to say."""

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
SMALL = """
version = 1
name = "small"
scenarios = ["calm"]
seeds = { first = 5, count = 2 }
set = { seconds = 3.0, "load.rate" = 40.0, "nodes.count" = 2, "boxes.count" = 3 }
measures = ["service", "attempts", "by_class.paid-live"]
"""
FACTOR = '[[factor]]\nkey = "policy"\nvalues = ["module", "random"]\n'


def written(folder: Path, text: str = SMALL + FACTOR) -> Path:
    path = folder / "small.toml"
    path.write_text(text)
    return path


def command(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "driftstair", "experiment", *words], cwd=ROOT, capture_output=True, text=True,
        check=False, timeout=120,
    )  # fmt: skip


# Files.


@pytest.mark.parametrize(
    ("text", "why"),
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
def test_a_bad_file_is_one_line(text: str, why: str, tmp_path: Path) -> None:
    key = text.split(" ", 1)[0]
    kept = [line for line in SMALL.splitlines() if not line.startswith(f"{key} =")]
    top, _, tables = text.partition("[[factor]]")
    whole = "\n".join([top, *kept]) + ("\n[[factor]]" + tables if tables else "")
    path = written(tmp_path, whole)
    with pytest.raises(DesignError) as problem:
        designs.read(str(path))
    assert why in str(problem.value) and str(path) in str(problem.value) and "\n" not in str(problem.value)


def test_no_file_no_store_and_a_store_of_another_kind_are_one_line(tmp_path: Path) -> None:
    gone = command("run", str(tmp_path / "none.toml"))
    assert (gone.returncode, gone.stderr.count("\n")) == (2, 1)
    path = written(tmp_path)
    early = command("report", str(path))
    assert early.returncode == 2 and "nothing was played yet" in early.stderr
    path.with_suffix(".runs").write_text("no data base, but some text that is long enough to be one" * 9)
    other = command("status", str(path))
    assert other.returncode == 2 and "keeps no runs" in other.stderr and other.stderr.count("\n") == 1


# Runs.


def test_runs_are_named_by_all_that_decides_them(tmp_path: Path) -> None:
    def hashes(text: str) -> set[str]:
        return {one.hash for one in designs.runs(designs.read(str(written(tmp_path, text))))}

    first = hashes(SMALL + FACTOR)
    assert len(first) == 4
    assert hashes(SMALL.replace('name = "small"', 'name = "other"') + FACTOR) == first
    assert hashes(SMALL.replace("40.0", "41.0") + FACTOR).isdisjoint(first)
    assert len(hashes(SMALL.replace("count = 2 }", "count = 3 }") + FACTOR) & first) == 4


def test_a_constant_is_another_one_for_its_run_alone() -> None:
    from lichenspring import breaker

    before = breaker.RETAINED_WEIGHT
    with runs.changed((("lichenspring.breaker.KEEP", before / 2),)):
        assert before / 2 == breaker.RETAINED_WEIGHT
        assert getattr(balance, "RETAINED_WEIGHT", before / 2) == before / 2  # where it was imported
    assert before == breaker.RETAINED_WEIGHT


@pytest.mark.parametrize("old", runs.RENAMED)
def test_a_renamed_constant_is_found_by_its_old_path(old: str) -> None:
    new = runs.RENAMED[old]
    before = runs.constant(new)
    assert runs.constant(old) is before
    with runs.changed(((old, before + 1),)):
        assert runs.constant(new) == before + 1
    assert runs.constant(new) is before


def test_a_run_that_raises_is_told_and_the_others_go_on(tmp_path: Path) -> None:
    class Broken(POLICIES["random"]):  # type: ignore[misc,valid-type]
        def pick(self, now: int, request: Any) -> Any:
            raise ZeroDivisionError("of a policy")

    POLICIES["broken"] = Broken
    try:
        path = written(tmp_path, SMALL + FACTOR.replace('"random"', '"broken"'))
        found = list(runs.play_all(designs.runs(designs.read(str(path))), 1))
    finally:
        del POLICIES["broken"]
    assert [one.problem is None for one in found] == [True, False, True, False]
    assert "ZeroDivisionError: of a policy" in str(found[1].problem)


def test_an_earlier_build_plays_the_same_arrivals(tmp_path: Path) -> None:
    text = SMALL.replace("count = 2 }", "count = 1 }") + '[[factor]]\nkey = "build"\nvalues = ["", "HEAD"]\n'
    now, then = runs.play_all(designs.runs(designs.read(str(written(tmp_path, text)))), 1)
    assert now.outcome is not None and then.outcome is not None, then.problem
    assert now.outcome["asked"] == then.outcome["asked"] > 50


def test_a_build_that_is_none_is_told() -> None:
    with pytest.raises(ValueError, match="no revision here"):
        runs.sources("no-such-revision")


# Kills.


def table(path: Path) -> list[dict[str, str]]:
    done = command("export", str(path), "-")
    rows = list(csv.DictReader(io.StringIO(done.stdout)))
    return [{key: value for key, value in row.items() if key != "cpu_s"} for row in rows]


def rows_in(store: Path) -> int:
    try:
        with sqlite3.connect(f"file:{store}?mode=ro", uri=True, timeout=30) as data:
            return int(data.execute("select count(*) from runs").fetchone()[0])
    except sqlite3.OperationalError:
        return 0  # it is not there yet


def until(what: Callable[[], bool], process: subprocess.Popen[bytes]) -> None:
    while not what() and process.poll() is None:
        os.sched_yield()


def test_killed_after_each_row_it_goes_on_to_the_same_table(tmp_path: Path) -> None:
    path = written(tmp_path)
    store = path.with_suffix(".runs")
    words = [sys.executable, "-m", "driftstair", "experiment", "run", str(path), "--jobs", "1"]
    for number in range(1, 4):
        process = subprocess.Popen(words, cwd=ROOT, stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
        until(lambda number=number: rows_in(store) >= number, process)  # type: ignore[misc]
        process.send_signal(signal.SIGKILL)
        process.wait()
        assert rows_in(store) >= number
    done = command("run", str(path), "--jobs", "1")
    assert (done.returncode, done.stdout) == (0, "4 runs: 4 played, 0 failed, 0 missing\n")
    again = command("run", str(path), "--jobs", "1")
    assert again.stderr == "" and again.returncode == 0  # nothing was left to play
    whole = tmp_path / "whole"
    whole.mkdir()
    other = written(whole)
    assert command("run", str(other), "--jobs", "2").returncode == 0
    assert table(path) == table(other) and len(table(path)) == 4
    told = json.loads(command("report", str(path), "--json").stdout)
    assert {one["measure"] for one in told["differences"]} == {"service", "attempts", "by_class.paid-live"}
    assert all(one["verdict"].startswith("too few pairs (2 of 7") for one in told["differences"])


def test_two_at_once_are_refused_and_readers_are_not(tmp_path: Path) -> None:
    path = tmp_path / "one.runs"
    first = Store(path, writes=True)
    try:
        with pytest.raises(StoreError, match="another process plays"):
            Store(path, writes=True)
        first.put("a", "calm", 1, [["policy", "module"]], None, "it broke", 0.5)
        second = Store(path, writes=False)
        assert second.rows()["a"]["problem"] == "it broke" and second.done() == set()
        second.close()
    finally:
        first.close()
    Store(path, writes=True).close()


# What pairs allow to say.


def judged(apart: list[float], level: float = 0.95) -> statistics.Difference:
    return statistics.difference("s", "m", "a", "b", [(1.0, 1.0 + one) for one in apart], level)


def test_nothing_apart_is_no_difference_and_a_steady_one_is_seen() -> None:
    assert judged([0.0] * 20).verdict(0.95) == "no difference seen"
    assert judged([0.5] * 20).verdict(0.95) == "more"
    assert judged([-0.5 - 0.01 * one for one in range(20)]).verdict(0.95) == "less"
    assert judged([1.0] * 5).verdict(0.95) == "too few pairs (5 of 6 at least)"
    assert judged([1.0] * 6).verdict(0.95) == "more"
    # Among many, as many more pairs are wanted as their correction costs.
    many = statistics.corrected([judged([1.0] * 9)] * 16)
    assert many[0].verdict(0.95) == "too few pairs (9 of 10 at least)"
    assert statistics.corrected([judged([1.0] * 10)] * 16)[0].verdict(0.95) == "more"


def test_intervals_hold_the_mean_about_as_often_as_they_say() -> None:
    random = np.random.default_rng(7)
    held = 0
    for _ in range(150):
        one = judged(list(random.normal(0.3, 1.0, 20)))
        held += one.low <= 0.3 <= one.high
    assert 0.88 <= held / 150 <= 0.99


def test_chance_alone_is_seldom_called_a_difference() -> None:
    random = np.random.default_rng(11)
    found = [judged(list(random.normal(0.0, 1.0, 20))) for _ in range(60)]
    assert sum(one.p < 0.05 for one in found) > 0  # so many looks find something by chance
    assert all(one.verdict(0.95) == "no difference seen" for one in statistics.corrected(found))


def test_corrected_as_holm_would() -> None:
    p = [0.01, 0.04, 0.03, 0.005]
    found = [statistics.Difference("s", "m", "a", "b", 20, 0, 1, 1, 0, 2, one, one) for one in p]
    assert [round(one.corrected, 6) for one in statistics.corrected(found)] == [0.03, 0.06, 0.06, 0.02]


def test_differences_are_from_the_first_value_with_all_else_alike(tmp_path: Path) -> None:
    text = SMALL + FACTOR + '[[factor]]\nkey = "nodes.count"\nname = "nodes"\nvalues = [2, 4]\n'
    design = designs.read(str(written(tmp_path, text)))
    every = designs.runs(design)
    rows = {
        one.hash: {"outcome": {"service": dict(one.chosen)["nodes"], "attempts": 1.0}, "problem": None}
        for one in every
    }
    found = report.differences(design, every, rows)
    assert {(one.base, one.value, one.scenario, one.mean) for one in found if one.measure == "service"} == {
        ("policy module", "policy random", "calm (nodes 2)", 0.0),
        ("policy module", "policy random", "calm (nodes 4)", 0.0),
        ("nodes 2", "nodes 4", "calm (policy module)", 2.0),
        ("nodes 2", "nodes 4", "calm (policy random)", 2.0),
    }
    assert not [one for one in found if one.measure.startswith("by_class")]  # no run has it
