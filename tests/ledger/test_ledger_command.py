"""The commands, as a person at a terminal has them."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest
from test_ledger_core import NOON
from test_segments import begun, keep

from driftstair.commands import run

CORRECT = ["--tenant", "live", "--word", "served", "--author", "accounts", "--reason", "counted twice"]


def ledger(folder: Path, ended: bool = True) -> Path:
    folder.mkdir(exist_ok=True)
    store, book = begun(folder)
    keep(store, book, 7)
    if ended:
        store.append(book.written(book.end(NOON + 9)))
    store.close()
    return folder


def test_a_dispute_from_the_ledger_to_its_correction(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = ledger(tmp_path / "a")
    assert run(["ledger", "verify", str(folder)]) == 0
    assert "3 entries stand" in capsys.readouterr().out
    assert run(["ledger", "close", str(folder), "--node", "n0", "--period", "2026-02"]) == 0
    told = ["ledger", "correct", str(folder), "--node", "n0", "--period", "2026-02", "--count=-2", *CORRECT]
    assert run(told) == 0
    assert "for 2026-03" in capsys.readouterr().out
    assert run(["ledger", "show", str(folder), "--json"]) == 0
    totals = {row["period"]: row for row in json.loads(capsys.readouterr().out)["totals"]}
    assert totals["2026-02"]["proven"] == 7 and totals["2026-02"]["corrected"] == 0
    assert totals["2026-03"]["proven"] == totals["2026-03"]["corrected"] == -2
    assert totals["2026-02"]["sure"]


def test_books_of_two_folders_are_joined(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = ledger(tmp_path / "a", ended=False)
    shutil.copytree(folder, tmp_path / "b")
    assert run(["ledger", "reconcile", str(folder), str(tmp_path / "b")]) == 1
    said = capsys.readouterr().out
    assert "open: n0, entry 2" in said and "2 entries came twice" in said
    assert "a finding touches this period" in said


def test_a_restored_old_copy_is_named(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    old = ledger(tmp_path / "a", ended=False)
    shutil.copytree(old, tmp_path / "b")
    ledger(old)
    ledger(tmp_path / "b", ended=False)
    status = run(["ledger", "reconcile", str(old), str(tmp_path / "b")])
    # The same clock, the same counts: up to there both wrote the same, and the longer one goes on.
    assert status == 1
    store, book = begun(tmp_path / "b")
    keep(store, book, 1)
    store.close()
    capsys.readouterr()
    assert run(["ledger", "reconcile", str(old), str(tmp_path / "b")]) == 1
    assert "fork: n0, entry" in capsys.readouterr().out


def test_a_line_that_changed_is_named_with_its_place(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = ledger(tmp_path / "a")
    path = folder / "n0-00000001.ledger"
    path.write_bytes(path.read_bytes().replace(b'"quantity":7', b'"quantity":8'))
    assert run(["ledger", "verify", str(folder)]) == 1
    assert "line 2: a digest that does not fit" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["verify", "nowhere"], "is no folder"),
        (["verify", "."], "holds no NODE-00000001.ledger"),
        (["show", ".", "--period", "2026-13"], "no period"),
        (["close", ".", "--node", "n0", "--period", "2026-02"], "holds no ledger of 'n0'"),
        (["close", ".", "--node", "../n0", "--period", "2026-02"], "holds no ledger of '../n0'"),
        (["close", ".", "--node", "n0", "--period", "2026-02", "--zone", "Mars"], "no time zone"),
        (["correct", ".", "--node", "n0", "--period", "2026-02", "--count", "1", *CORRECT[:3], "paid",
          *CORRECT[4:]], "one of served, late"),
    ],
)  # fmt: skip
def test_bad_use_gets_one_line_and_leaves_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], words: list[str],
    said: str,
) -> None:  # fmt: skip
    monkeypatch.chdir(tmp_path)
    assert run(["ledger", *words]) == 2
    told = capsys.readouterr()
    assert said in told.err and told.err.count("\n") == 1 and not told.out
    assert not list(tmp_path.iterdir())


def test_a_refused_correction_writes_nothing(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = ledger(tmp_path / "a")
    before = (folder / "n0-00000001.ledger").read_bytes()
    told = ["ledger", "correct", str(folder), "--node", "n0", "--period", "2026-02", "--count", "0", *CORRECT]
    assert run(told) == 2
    assert run(["ledger", "close", str(folder), "--node", "n0", "--period", "9998-01"]) == 2
    assert "has not ended" in capsys.readouterr().err
    assert (folder / "n0-00000001.ledger").read_bytes() == before


def test_a_tenant_made_up_by_a_client_moves_no_cursor(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    from driftstair.ledger.entries import Word

    store, book = begun(tmp_path)
    book.count(NOON, "a\x1b[2Jb\r\u202ec", Word.SERVED)
    store.append(book.written(book.end(NOON)))
    store.close()
    assert run(["ledger", "show", str(tmp_path)]) == 0
    assert "a?[2Jb??c" in capsys.readouterr().out


def test_books_are_held_against_what_was_seen(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder, report = ledger(tmp_path / "a"), tmp_path / "seen.json"
    row = {"period": "2026-02", "tenant": "live", "word": "served", "count": 7}
    words = ["ledger", "reconcile", str(folder), "--served", str(report)]
    report.write_text(json.dumps({"totals": [row, row | {"word": "late", "count": 0}]}))
    assert run(words) == 0
    assert "all 1 accounts of the report are as the books say" in capsys.readouterr().out
    report.write_text(json.dumps({"totals": [row | {"count": 9}]}))
    assert run(words) == 1
    assert "2026-02 live served: the books say 2 less than the report" in capsys.readouterr().out
    report.write_text(json.dumps({"totals": [row | {"tenant": "other"}]}))
    assert run([*words, "--json"]) == 1
    beyond = {(one["tenant"], one["by"]) for one in json.loads(capsys.readouterr().out)["beyond"]}
    assert beyond == {("live", 7), ("other", -7)}


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
def test_what_is_no_report_is_one_line(tmp_path: Path, text: str, capsys: pytest.CaptureFixture[str]) -> None:
    folder, report = ledger(tmp_path / "a"), tmp_path / "seen.json"
    report.write_text(text)
    assert run(["ledger", "reconcile", str(folder), "--served", str(report)]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1
