"""Executes runs in a pool of processes and returns their results."""

from __future__ import annotations

import importlib
import json
import os
import subprocess
import sys
import tarfile
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import contextmanager
from multiprocessing import get_context
from pathlib import Path
from typing import Any, NamedTuple

from driftstair.experiments.design import ROOT, Run

BUILD_TIMEOUT_S = 3600.0  # for one run of another build
CONSTANT_MODULES = ("lichenspring",)
RENAMED_CONSTANTS = {
    "lichenspring.adapter.RESUBMITTED": "lichenspring.adapter.RESUBMITTED_BIT",
    "lichenspring.balance.AGAIN_SOON": "lichenspring.balance.WATCH_REOPEN_DELAY_NS",
    "lichenspring.balance.ANSWERED_LATELY": "lichenspring.balance.ANSWERED_LATELY_NS",
    "lichenspring.balance.ANSWERS": "lichenspring.balance.ANSWERING_WITHIN_NS",
    "lichenspring.balance.ASK_FIRST_PAUSE": "lichenspring.balance.WATCH_BACKOFF_NS",
    "lichenspring.balance.ASK_LEAST": "lichenspring.balance.WATCH_BACKOFF_MIN_NS",
    "lichenspring.balance.ASK_MOST": "lichenspring.balance.WATCH_BACKOFF_MAX_NS",
    "lichenspring.balance.ASK_SPREAD": "lichenspring.balance.WATCH_START_SPREAD",
    "lichenspring.balance.ASK_SPREAD_MOST": "lichenspring.balance.WATCH_START_SPREAD_MAX_NS",
    "lichenspring.balance.ASK_TOKEN": "lichenspring.balance.WATCH_TOKEN",
    "lichenspring.balance.BAD": "lichenspring.balance.BAD_FAILURES",
    "lichenspring.balance.BUSY_ABOVE": "lichenspring.balance.BUSY_UTILIZATION",
    "lichenspring.balance.CARRIED_WEIGHT": "lichenspring.balance.CARRIED_LOAD_WEIGHT",
    "lichenspring.balance.COLD_BURST": "lichenspring.balance.COLD_BURST_REQUESTS",
    "lichenspring.balance.COLD_CAUTION": "lichenspring.balance.COLD_LOAD",
    "lichenspring.balance.COLD_MOST": "lichenspring.balance.COLD_LOAD_MAX",
    "lichenspring.balance.CONNECT_COUNTS": "lichenspring.balance.CONNECT_LOAD_PENALTY",
    "lichenspring.balance.CONNECT_LEAST": "lichenspring.balance.CONNECT_FAILURES_MIN",
    "lichenspring.balance.DOUBLINGS": "lichenspring.balance.MAX_DOUBLINGS",
    "lichenspring.balance.DRAWS": "lichenspring.balance.MAX_DRAWS",
    "lichenspring.balance.EJECT_PART": "lichenspring.balance.MAX_EJECTED_FRACTION",
    "lichenspring.balance.EJECT_TIME": "lichenspring.balance.EJECT_TIME_NS",
    "lichenspring.balance.FALL_PART": "lichenspring.balance.FALL_MULTIPLE_FRACTION",
    "lichenspring.balance.FLEET_LEAST": "lichenspring.balance.FLEET_FAILURES_MIN",
    "lichenspring.balance.FLEET_MOST": "lichenspring.balance.FLEET_FAILURES_MAX",
    "lichenspring.balance.FLEET_WEIGHT": "lichenspring.balance.FLEET_FAILURES_WEIGHT",
    "lichenspring.balance.FULL_ABOVE": "lichenspring.balance.FULL_THRESHOLD",
    "lichenspring.balance.FULL_COUNTS": "lichenspring.balance.FULL_LOAD_PENALTY",
    "lichenspring.balance.FULL_FADES": "lichenspring.balance.FULL_DECAY",
    "lichenspring.balance.HOT": "lichenspring.balance.HOT_KEY_FRACTION",
    "lichenspring.balance.IDLE_BELOW": "lichenspring.balance.IDLE_UTILIZATION",
    "lichenspring.balance.IDLE_SURE": "lichenspring.balance.IDLE_TRUSTED_NS",
    "lichenspring.balance.KEY_MEMORY": "lichenspring.balance.KEY_HISTORY_PER_SERVER",
    "lichenspring.balance.KIND_LEAST": "lichenspring.balance.KIND_MIN_SHARE",
    "lichenspring.balance.KIND_REPORTS": "lichenspring.balance.KIND_MIN_REPORTS",
    "lichenspring.balance.LATER_TOKEN": "lichenspring.balance.DEFERRED_TOKEN",
    "lichenspring.balance.LEAST_PER_SERVER": "lichenspring.balance.MIN_CAP_PER_SERVER",
    "lichenspring.balance.LOST_ABOVE": "lichenspring.balance.LOST_THRESHOLD",
    "lichenspring.balance.LOST_TIMES_NEW": "lichenspring.balance.LOST_MIN_RATIO",
    "lichenspring.balance.OFTEN": "lichenspring.balance.FREQUENT_OUTCOME_WEIGHT",
    "lichenspring.balance.OVER_SHARE_PART": "lichenspring.balance.OVER_SHARE_CAP_FRACTION",
    "lichenspring.balance.PACE_WEIGHT": "lichenspring.balance.LATENCY_RATIO_WEIGHT",
    "lichenspring.balance.PROOF": "lichenspring.balance.EJECT_LOG_ODDS",
    "lichenspring.balance.RATE_FALLS": "lichenspring.balance.RATE_DECREASE_WEIGHT",
    "lichenspring.balance.RESERVE": "lichenspring.balance.LESSER_CAP_FRACTION",
    "lichenspring.balance.RESUBMITTED_PART": "lichenspring.balance.RESUBMITTED_CAP_FRACTION",
    "lichenspring.balance.RETRY_BUDGET": "lichenspring.balance.RETRY_BUDGET_RATIO",
    "lichenspring.balance.RETRY_BURST": "lichenspring.balance.RETRY_BUDGET_MAX",
    "lichenspring.balance.RETRY_LEAST": "lichenspring.balance.RETRY_MIN_FRACTION",
    "lichenspring.balance.SHARE_BURST": "lichenspring.balance.SHARE_BURST_REQUESTS",
    "lichenspring.balance.SHARE_SLACK": "lichenspring.balance.SHARE_TOLERANCE",
    "lichenspring.balance.SLOW": "lichenspring.balance.SLOW_SERVER_WEIGHT",
    "lichenspring.balance.START_PER_SERVER": "lichenspring.balance.START_CAP_PER_SERVER",
    "lichenspring.balance.STRIDE": "lichenspring.balance.TABLE_STRIDE",
    "lichenspring.balance.TOLD_LEAST": "lichenspring.balance.MIN_REPORTS",
    "lichenspring.balance.TOLD_LOW": "lichenspring.balance.MIN_REPORTED_UTILIZATION",
    "lichenspring.balance.TOLD_WEIGHT": "lichenspring.balance.REPORT_WEIGHT",
    "lichenspring.balance.TRUST_DOUBLES": "lichenspring.balance.TRUST_DOUBLING_TIME_NS",
    "lichenspring.balance.TRY_AGAIN": "lichenspring.balance.PROBE_INTERVAL_NS",
    "lichenspring.balance.UNREACHABLE_PART": "lichenspring.balance.MAX_UNREACHABLE_FRACTION",
    "lichenspring.balance.WATCH_STANDS": "lichenspring.balance.WATCH_STABLE_AFTER_NS",
    "lichenspring.balance.WORTH_ABOVE": "lichenspring.balance.HIGHER_WORTH_RATIO",
    "lichenspring.balance.WORTH_MORE": "lichenspring.balance.RESERVED_WORTH_RATIO",
    "lichenspring.balance.WRITE_HELD": "lichenspring.balance.MAX_WRITE_DELAY_NS",
    "lichenspring.breaker.ANSWERS_LEAST": "lichenspring.breaker.MIN_ANSWERS",
    "lichenspring.breaker.ANSWERS_TIMES": "lichenspring.breaker.MIN_ANSWERS_PER_TIMEOUT",
    "lichenspring.breaker.BASE_FALLS": "lichenspring.breaker.BASE_DECREASE_WEIGHT",
    "lichenspring.breaker.BASE_RISES": "lichenspring.breaker.BASE_INCREASE_WEIGHT",
    "lichenspring.breaker.CENSORED": "lichenspring.breaker.CENSORED_FACTOR",
    "lichenspring.breaker.DEVIATIONS": "lichenspring.breaker.TAIL_Z_SCORE",
    "lichenspring.breaker.ENOUGH": "lichenspring.breaker.SUFFICIENT_SAMPLES",
    "lichenspring.breaker.EXPLAINED_TIMES": "lichenspring.breaker.EXPLAINED_TIMEOUTS_FACTOR",
    "lichenspring.breaker.HEADROOM": "lichenspring.breaker.MIN_TAIL_RATIO",
    "lichenspring.breaker.KEEP": "lichenspring.breaker.RETAINED_WEIGHT",
    "lichenspring.breaker.KEEP_FALLING": "lichenspring.breaker.RETAINED_WEIGHT_FALLING",
    "lichenspring.breaker.PERCENTILE": "lichenspring.breaker.TAIL_PERCENTILE",
    "lichenspring.breaker.PERIOD": "lichenspring.breaker.UPDATE_PERIOD_NS",
    "lichenspring.breaker.PROVEN_FADES": "lichenspring.breaker.PROVEN_DECAY",
    "lichenspring.breaker.PROVEN_MISSED": "lichenspring.breaker.PROVEN_MISSED_DECAY",
    "lichenspring.breaker.PROVEN_PART": "lichenspring.breaker.PROVEN_LOAD_FRACTION",
    "lichenspring.breaker.PROVEN_VOID": "lichenspring.breaker.PROVEN_TIMEOUTS_DECAY",
    "lichenspring.breaker.SPREADS": "lichenspring.breaker.BURST_DEVIATIONS",
    "lichenspring.breaker.TARGET": "lichenspring.breaker.TARGET_FRACTION",
    "lichenspring.memory.USUAL_TIMES": "lichenspring.memory.INHERITED_ATTEMPT_FACTOR",
    "lichenspring.subset.HELD": "lichenspring.subset.REQUESTS_PER_SERVER",
    "lichenspring.subset.LEAST": "lichenspring.subset.MIN_SUBSET_SIZE",
    "lichenspring.subset.MASK": "lichenspring.subset.MASK_64",
    "lichenspring.subset.MEETS_WITHIN": "lichenspring.subset.CONTACT_INTERVAL_S",
    "lichenspring.subset.ROUND": "lichenspring.subset.NODES_PER_ROUND",
    "lichenspring.wire._TEXT_MOST": "lichenspring.wire._TEXT_MAX_BYTES",
}
"""New paths of renamed constants, by their old paths, which experiment files may still use."""


class RunResult(NamedTuple):
    """The result of a run: its outcome, or the problem that ended it."""

    run: Run
    outcome: dict[str, Any] | None
    problem: str | None
    cpu_s: float


def read_constant(path: str) -> Any:
    """Returns the value of a constant of the decision module, given as `MODULE.NAME`. Raises AttributeError
    with the known names."""
    module, _, name = RENAMED_CONSTANTS.get(path, path).rpartition(".")
    if not module.startswith(CONSTANT_MODULES):
        raise AttributeError(f"{path}: a constant of the decision module (lichenspring.MODULE.NAME) would do")
    try:
        module_object = importlib.import_module(module)
    except ImportError:
        raise AttributeError(f"{path}: there is no module {module}") from None
    if not name.isupper() or not hasattr(module_object, name):
        known = ", ".join(known_name for known_name in vars(module_object) if known_name.isupper())
        raise AttributeError(f"{path}: no such constant; there are {known or 'none'}")
    return getattr(module_object, name)


@contextmanager
def override_constants(constants: tuple[tuple[str, Any], ...]) -> Iterator[None]:
    """Overrides constants within its context, also in the modules that imported them by name."""
    originals: list[tuple[Any, str, Any]] = []
    try:
        for path, value in constants:
            original = read_constant(path)
            defining_module, _, name = RENAMED_CONSTANTS.get(path, path).rpartition(".")
            for module in [
                module
                for module_name, module in sys.modules.items()
                if module_name.startswith(CONSTANT_MODULES)
            ]:
                # A module that imported the constant has the same object under the same name.
                if module.__name__ == defining_module or getattr(module, name, None) is original:
                    originals.append((module, name, getattr(module, name)))
                    setattr(module, name, value)
        yield
    finally:
        for module, name, value in reversed(originals):
            setattr(module, name, value)


def execute(run: Run) -> RunResult:
    """Executes a run. An exception becomes a part of its result, so that the experiment continues."""
    began_s = time.process_time()
    try:
        outcome = _execute_build(run) if run.build else _execute_in_process(run)
    except Exception as problem:
        return RunResult(
            run, None, f"{type(problem).__name__}: {problem}"[:500], time.process_time() - began_s
        )
    return RunResult(run, outcome, None, outcome.get("cpu_s", time.process_time() - began_s))


def _execute_in_process(run: Run) -> dict[str, Any]:
    """Executes a run with the current sources."""
    from driftstair.model.command import run_job as play_model

    with override_constants(run.constants):
        row = play_model((run.scenario, {**dict(run.changes), "seed": run.seed}, run.policy))
    del row["seconds"]
    return row


def _execute_build(run: Run) -> dict[str, Any]:
    """Executes a run with the sources of another revision, and with the current version of its scenario."""
    import tomli_w

    from driftstair.rehearsal.load import resolved_tables, tables_from_paths

    tree = resolved_tables(run.scenario, tables_from_paths({**dict(run.changes), "seed": run.seed}))
    with tempfile.TemporaryDirectory() as folder:
        scenario = Path(folder) / "scenario.toml"
        scenario.write_text(tomli_w.dumps(tree), encoding="utf-8")
        process = subprocess.run(
            [sys.executable, "-m", "driftstair", "model", str(scenario), "--policy", run.policy,
             "--json", "-"],
            cwd=checkout_build(run.build), capture_output=True, text=True, timeout=BUILD_TIMEOUT_S,
            check=False, env={**os.environ, "PYTHONPATH": str(checkout_build(run.build))},
        )  # fmt: skip
    if process.returncode not in (0, 1):
        stderr_tail = process.stderr[-300:].strip()
        raise RuntimeError(f"the build {run.build} ended with {process.returncode}: {stderr_tail}")
    row: dict[str, Any] = json.loads(process.stdout)["rows"][0]
    del row["seconds"]
    return row


def checkout_build(build: str) -> Path:
    """Returns a folder with the files of a revision; it is created once for each."""
    process = subprocess.run(
        ["git", "rev-parse", "--verify", "--quiet", f"{build}^{{commit}}"], cwd=ROOT, capture_output=True,
        text=True, check=False,
    )  # fmt: skip
    revision = process.stdout.strip()
    if not revision:
        raise ValueError(f"{build!r} is no revision here")
    folder = Path(tempfile.gettempdir()) / f"driftstair-build-{os.getuid()}-{revision[:16]}"
    if not folder.exists():
        with tempfile.TemporaryDirectory(dir=tempfile.gettempdir()) as staging:
            new = Path(staging) / "new"
            new.mkdir()
            archive = subprocess.run(["git", "archive", revision], cwd=ROOT, capture_output=True, check=True)
            archive_path = Path(staging) / "archive.tar"
            archive_path.write_bytes(archive.stdout)
            with tarfile.open(archive_path) as tar:
                tar.extractall(new, filter="data")
            try:
                new.rename(folder)
            except OSError:
                if not folder.exists():  # another process created it first
                    raise
    return folder


def execute_all(runs: list[Run], workers: int) -> Iterator[RunResult]:
    """Yields the results of all runs as they finish."""
    if workers == 1 or len(runs) < 2:
        yield from map(execute, runs)
        return
    with ProcessPoolExecutor(min(workers, len(runs)), mp_context=get_context("spawn")) as pool:
        pending = [pool.submit(execute, run) for run in runs]
        try:
            for future in as_completed(pending):
                yield future.result()
        finally:
            for future in pending:
                future.cancel()
