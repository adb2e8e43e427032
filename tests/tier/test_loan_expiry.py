"""The loan expiry that a process saves for its successor at a planned shutdown."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from driftstair.tier import loan_expiry
from driftstair.tier.shared.budget import TERMS
from driftstair.tier.shared.escrow import Ask, Escrow


def test_the_file_is_read_once(tmp_path: Path) -> None:
    path = tmp_path / "n0.lent"
    assert loan_expiry.take(path) is None
    loan_expiry.write(path, 123)
    assert loan_expiry.take(path) == 123 and loan_expiry.take(path) is None
    assert list(tmp_path.iterdir()) == []


@pytest.mark.parametrize(
    "text",
    ["", "{", "[]", "null", "[" * 9000,
     json.dumps({"format": "x", "boot": loan_expiry.boot_id(), "until_ns": 1}),
     json.dumps({"format": loan_expiry.FORMAT, "boot": "another", "until_ns": 1}),
     json.dumps({"format": loan_expiry.FORMAT, "boot": loan_expiry.boot_id(), "until_ns": "1"}),
     json.dumps({"format": loan_expiry.FORMAT, "boot": loan_expiry.boot_id()})],
)  # fmt: skip
def test_an_invalid_file_or_one_of_another_boot_is_ignored(text: str, tmp_path: Path) -> None:
    path = tmp_path / "n0.lent"
    path.write_text(text)
    assert loan_expiry.take(path) is None and not path.exists()


def test_a_missing_folder_logs_one_line(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    loan_expiry.write(tmp_path / "none" / "n0.lent", 5)
    assert len(caplog.records) == 1


def test_the_next_process_holds_all_shares_once_all_loans_have_expired() -> None:
    first = Escrow(0, 1, TERMS, -(10**12))
    assert first.lend(0, Ask(1, 1, 0, 4), 4) is not None
    until = first.lent_until()
    assert until == TERMS.lender_wait_ns()
    following = Escrow(0, 2, TERMS, 10**9)
    following.set_earlier_loans_end(until)
    assert following.held_shares(until - 1) == TERMS.floor and following.held_shares(until) == TERMS.shares
    late = Escrow(0, 3, TERMS, 10**9)
    late.set_earlier_loans_end(10**15)  # whatever the file says, no longer than a loan can last
    assert late.held_shares(10**9 + TERMS.lender_wait_ns()) == TERMS.shares
