"""Tests the subcommands of `driftstair ledger` as an operator runs them."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest
from test_ledger_core import NOON_MS
from test_segments import open_ledger, write_commit

from driftstair.commands import run

CORRECTION = ["--tenant", "live", "--word", "served", "--author", "accounts", "--reason", "counted twice"]


def write_ledger(folder: Path, ended: bool = True) -> Path:
    """Writes a ledger with seven requests, or adds a run to an existing one."""
    folder.mkdir(exist_ok=True)
    store, book = open_ledger(folder)
    write_commit(store, book, 7)
    if ended:
        store.append(book.encode_and_confirm(book.end(NOON_MS + 9)))
    store.close()
    return folder


def correct(folder: Path, *count: str) -> int:
    """Corrects the period 2026-02 of node n0; returns the exit status."""
    return run(["ledger", "correct", str(folder), "--node", "n0", "--period", "2026-02", *count, *CORRECTION])


def test_close_and_correct_a_period(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = write_ledger(tmp_path / "a")
    assert run(["ledger", "verify", str(folder)]) == 0
    assert "3 entries stand" in capsys.readouterr().out
    assert run(["ledger", "close", str(folder), "--node", "n0", "--period", "2026-02"]) == 0
    assert correct(folder, "--count=-2") == 0
    assert "for 2026-03" in capsys.readouterr().out
    assert run(["ledger", "show", str(folder), "--json"]) == 0
    totals = {row["period"]: row for row in json.loads(capsys.readouterr().out)["totals"]}
    assert totals["2026-02"]["proven"] == 7 and totals["2026-02"]["corrected"] == 0
    assert totals["2026-03"]["proven"] == totals["2026-03"]["corrected"] == -2
    assert totals["2026-02"]["sure"]


def test_reconcile_joins_two_folders(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = write_ledger(tmp_path / "a", ended=False)
    shutil.copytree(folder, tmp_path / "b")
    assert run(["ledger", "reconcile", str(folder), str(tmp_path / "b")]) == 1
    output = capsys.readouterr().out
    assert "open: n0, entry 2" in output and "2 entries came twice" in output
    assert "a finding touches this period" in output


def test_restored_old_copy_is_reported_as_a_fork(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    restored = write_ledger(tmp_path / "a", ended=False)
    shutil.copytree(restored, tmp_path / "b")
    write_ledger(restored)
    write_ledger(tmp_path / "b", ended=False)
    status = run(["ledger", "reconcile", str(restored), str(tmp_path / "b")])
    # Both runs have the same times and counts and therefore equal entries up to the shorter copy's end.
    assert status == 1
    store, book = open_ledger(tmp_path / "b")
    write_commit(store, book, 1)
    store.close()
    capsys.readouterr()
    assert run(["ledger", "reconcile", str(restored), str(tmp_path / "b")]) == 1
    assert "fork: n0, entry" in capsys.readouterr().out


def test_modified_line_is_reported_with_its_number(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = write_ledger(tmp_path / "a")
    path = folder / "n0-00000001.ledger"
    path.write_bytes(path.read_bytes().replace(b'"quantity":7', b'"quantity":8'))
    assert run(["ledger", "verify", str(folder)]) == 1
    assert "line 2: a digest that does not fit" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["verify", "nowhere"], "is no folder"),
        (["verify", "."], "holds no NODE-00000001.ledger"),
        (["show", ".", "--period", "2026-13"], "no period"),
        (["close", ".", "--node", "n0", "--period", "2026-02"], "holds no ledger of 'n0'"),
        (["close", ".", "--node", "../n0", "--period", "2026-02"], "holds no ledger of '../n0'"),
        (["close", ".", "--node", "n0", "--period", "2026-02", "--zone", "Mars"], "no time zone"),
        (["correct", ".", "--node", "n0", "--period", "2026-02", "--count", "1",
          *CORRECTION[:3], "paid", *CORRECTION[4:]], "one of served, late"),
    ],
)  # fmt: skip
def test_bad_use_prints_one_line_and_creates_no_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], arguments: list[str],
    message: str,
) -> None:  # fmt: skip
    monkeypatch.chdir(tmp_path)
    assert run(["ledger", *arguments]) == 2
    printed = capsys.readouterr()
    assert message in printed.err and printed.err.count("\n") == 1 and not printed.out
    assert not list(tmp_path.iterdir())


def test_refused_correction_writes_nothing(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = write_ledger(tmp_path / "a")
    before = (folder / "n0-00000001.ledger").read_bytes()
    assert correct(folder, "--count", "0") == 2
    assert run(["ledger", "close", str(folder), "--node", "n0", "--period", "9998-01"]) == 2
    assert "has not ended" in capsys.readouterr().err
    assert (folder / "n0-00000001.ledger").read_bytes() == before


def test_control_characters_in_tenant_names_are_replaced(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    from driftstair.ledger.entries import UsageWord

    store, book = open_ledger(tmp_path)
    book.count(NOON_MS, "a\x1b[2Jb\r\u202ec", UsageWord.SERVED)
    store.append(book.encode_and_confirm(book.end(NOON_MS)))
    store.close()
    assert run(["ledger", "show", str(tmp_path)]) == 0
    assert "a?[2Jb??c" in capsys.readouterr().out


def test_reconcile_compares_the_ledger_with_a_report(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder, report = write_ledger(tmp_path / "a"), tmp_path / "seen.json"
    row = {"period": "2026-02", "tenant": "live", "word": "served", "count": 7}
    arguments = ["ledger", "reconcile", str(folder), "--served", str(report)]
    report.write_text(json.dumps({"totals": [row, row | {"word": "late", "count": 0}]}))
    assert run(arguments) == 0
    assert "all 1 accounts of the report are as the books say" in capsys.readouterr().out
    report.write_text(json.dumps({"totals": [row | {"count": 9}]}))
    assert run(arguments) == 1
    assert "2026-02 live served: the books say 2 less than the report" in capsys.readouterr().out
    report.write_text(json.dumps({"totals": [row | {"tenant": "other"}]}))
    assert run([*arguments, "--json"]) == 1
    differences = {
        (difference["tenant"], difference["by"])
        for difference in json.loads(capsys.readouterr().out)["beyond"]
    }
    assert differences == {("live", 7), ("other", -7)}


@pytest.mark.parametrize(
    "text",
    ["", "{}", "[]", '{"totals": 3}', '{"totals": [{}]}', "[" * 100_000, '{"totals": [7]}',
     '{"totals": [{"period": "2026-13", "tenant": "a", "word": "served", "count": 1}]}',
     '{"totals": [{"period": "2026-02", "tenant": "a", "word": "served", "count": -1}]}',
     '{"totals": [{"period": "2026-02", "tenant": 5, "word": "served", "count": 1}]}',
     '{"totals": [{"period": ["x"], "tenant": "a", "word": "served", "count": 1}]}',
     '{"totals": [{"period": "2026-02", "tenant": "a", "word": "served", "count": 1},'
     ' {"period": "2026-02", "tenant": "a", "word": "served", "count": 2}]}'],
)  # fmt: skip
def test_invalid_report_prints_one_line(
    tmp_path: Path, text: str, capsys: pytest.CaptureFixture[str]
) -> None:
    folder, report = write_ledger(tmp_path / "a"), tmp_path / "seen.json"
    report.write_text(text)
    assert run(["ledger", "reconcile", str(folder), "--served", str(report)]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1
