"""Stores a row for each executed run in one SQLite file, so that a kill leaves only complete rows.

Alternatives: a file of JSON lines may end with an incomplete line, and LMDB is a further dependency without
an advantage at one row per second. Each row is a transaction of its own and is synced.
"""

from __future__ import annotations

import fcntl
import json
import os
import sqlite3
from pathlib import Path
from typing import Any

SCHEMA = """
create table if not exists runs (
    hash text primary key, scenario text not null, seed integer not null, chosen text not null,
    outcome text, problem text, cpu_s real not null
) strict;
pragma user_version = 1;
"""


class StoreError(Exception):
    """The file is not a store of runs or can't be used as one; the text is one line with the reason."""


class Store:
    """The runs of one experiment. With `for_writing` the store is locked exclusively, by a lock file beside
    it. Raises StoreError."""

    def __init__(self, path: Path, for_writing: bool) -> None:
        self.path = path
        self._lock = -1
        if not for_writing and not path.exists():
            raise StoreError(f"{path}: nothing was played yet; `experiment run` would do")
        if for_writing:
            self._lock_file()
        try:
            self._database = sqlite3.connect(path)
            version = self._database.execute("pragma user_version").fetchone()[0]
            if version not in (0, 1):
                why = f"of a later version ({version}); the program that wrote it would do"
                raise StoreError(f"{path}: {why}")
            if for_writing:
                self._database.executescript(SCHEMA)
                self._database.execute("pragma synchronous = full")
        except sqlite3.DatabaseError as problem:
            raise StoreError(f"{path}: keeps no runs: {problem}") from None

    def _lock_file(self) -> None:
        """Locks the store for this process. Raises StoreError."""
        lock = self.path.with_name(f"{self.path.name}.lock")
        try:
            self._lock = os.open(lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StoreError(f"{self.path}: another process plays this experiment") from None
        except OSError as problem:
            raise StoreError(f"{lock}: {problem.strerror}") from None

    def close(self) -> None:
        """Closes the file and releases the lock."""
        self._database.close()
        if self._lock >= 0:
            os.close(self._lock)

    def completed_hashes(self) -> set[str]:
        """Returns the hashes of the runs that need not be executed again. Failed runs are not among them."""
        return {row[0] for row in self._database.execute("select hash from runs where problem is null")}

    def save(
        self, hash_: str, scenario: str, seed: int, factor_values: Any, outcome: dict[str, Any] | None,
        problem: str | None, cpu_s: float,
    ) -> None:  # fmt: skip
        """Saves a run's result. `outcome` is None if the run failed with `problem`."""
        with self._database:
            self._database.execute(
                "insert or replace into runs values (?, ?, ?, ?, ?, ?, ?)",
                (hash_, scenario, seed, json.dumps(factor_values),
                 None if outcome is None else json.dumps(outcome), problem, cpu_s),
            )  # fmt: skip

    def rows(self) -> dict[str, dict[str, Any]]:
        """Returns `outcome` (None if the run failed), `problem` and `cpu_s` of each run, by its hash."""
        selected = self._database.execute("select hash, outcome, problem, cpu_s from runs")
        return {
            hash_: {"outcome": json.loads(outcome or "null"), "problem": problem, "cpu_s": cpu_s}
            for hash_, outcome, problem, cpu_s in selected
        }
