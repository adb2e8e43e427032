"""Tokens on a disk: what is promised was written before, and they rise whatever restarts and clocks say."""

from __future__ import annotations

import os
from pathlib import Path
from random import Random
from typing import Any

import pytest

from driftstair.tier.ownership.leases import PERSIST_RETRY_NS, Leases
from driftstair.tier.ownership.messages import Prepare, Promise, Release, Terms, first_token, reserve_tokens
from driftstair.tier.tokens import SLOT, TokenFile, TokensError

TERMS = Terms()
SECOND = 1_000_000_000


# The file.


def test_what_was_kept_is_read_again_and_the_last_write_counts(tmp_path: Path) -> None:
    path = tmp_path / "n0.tokens"
    assert TokenFile(path).token == 0
    for token in (5, 9, 12):
        TokenFile(path).keep(token)
        assert TokenFile(path).token == token
    assert path.stat().st_size <= 2 * SLOT


@pytest.mark.parametrize("end", range(29))
def test_a_write_torn_at_any_byte_leaves_what_was_promised_before(
    end: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "n0.tokens"
    file = TokenFile(path)
    file.keep(5)
    file.keep(9)
    whole, plain = len(path.read_bytes()), os.pwrite

    class Gone(Exception):
        pass

    def torn(descriptor: int, data: bytes, at: int) -> int:
        plain(descriptor, data[:end], at)
        raise Gone

    monkeypatch.setattr(os, "pwrite", torn)
    with pytest.raises(Gone):
        file.keep(12)
    assert TokenFile(path).token == 9
    assert len(path.read_bytes()) <= max(whole, SLOT + 32)


def test_any_bit_that_turned_is_found(tmp_path: Path) -> None:
    path = tmp_path / "n0.tokens"
    TokenFile(path).keep(9)
    data = path.read_bytes()
    for place in range(SLOT * 8, len(data) * 8):
        spoilt = bytearray(data)
        spoilt[place // 8] ^= 1 << place % 8
        path.write_bytes(spoilt)
        with pytest.raises(TokensError):
            TokenFile(path)


def test_a_full_disk_is_told_and_changes_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "n0.tokens"
    file = TokenFile(path)
    file.keep(5)

    def full(*_: object) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pwrite", full)
    with pytest.raises(OSError, match="No space"):
        file.keep(9)
    assert (file.token, TokenFile(path).token) == (5, 5)


# A voter.


def member(number: int, generation: int, now: int, kept: int | None, count: int = 3) -> Leases:
    return Leases((), number, generation, count, now, Random(number), lambda: list(range(count)), TERMS, kept)


def prepared(one: Leases, now: int, token: int, generation: int = 7) -> Any:
    letters, _ = one.heard(now, 1, generation, Prepare(77, token))
    return [message for _, message in letters]


def test_nothing_is_promised_before_it_is_on_the_disk() -> None:
    now = 10 * SECOND
    one = member(0, 7, 0, kept=0)
    token = first_token(7, 1) + (1 << 16)
    assert prepared(one, now, token) == []
    wanted = one.token_to_persist(now)
    assert wanted == reserve_tokens(token) and one.token_to_persist(now) == 0  # one write at a time
    letters, _ = one.token_persisted(now + 1, wanted)
    assert letters == [(1, Promise(77, token))]
    assert prepared(one, now + 2, token + (1 << 16)) == [Promise(77, token + (1 << 16))]  # that far ahead
    assert one.token_to_persist(now + 2) == 0


def test_a_member_whose_disk_takes_nothing_promises_nothing_and_tries_again_later() -> None:
    now = 10 * SECOND
    one = member(0, 7, 0, kept=0)
    token = first_token(7, 1) + (1 << 16)
    assert prepared(one, now, token) == [] and one.token_to_persist(now)
    one.persist_failed(now)
    assert prepared(one, now + 1, token) == [] and one.token_to_persist(now + 1) == 0
    later = now + PERSIST_RETRY_NS
    assert prepared(one, later, token) == [] and one.token_to_persist(later) == reserve_tokens(token)


def test_a_release_waits_for_no_disk() -> None:
    one = member(0, 7, 0, kept=0)
    assert one.heard(10 * SECOND, 1, 7, Release(77, first_token(7, 1))) == ([], [])
    assert one.pending_token() == 0


Disks = dict[int, int | None]


def elected(generations: dict[int, int], kept: Disks, now: int) -> tuple[int, Disks]:
    """The token that three voters give to node 0 after all have started, and what is on the disks."""
    nodes = {number: member(number, generations[number], now, kept[number]) for number in range(3)}
    nodes[0].add(now, "work")
    now += TERMS.waited() + 1
    for _ in range(200):
        air = [(0, letter) for letter in nodes[0].tick(now)[0]]
        while air:
            source, (to, message) = air.pop(0)
            letters, _ = nodes[to].heard(now, source, generations[source], message)
            air += [(to, one) for one in letters]
            for number, node in nodes.items():
                if token := node.token_to_persist(now):
                    kept[number] = token
                    air += [(number, one) for one in node.token_persisted(now, token)[0]]
        if token := nodes[0].token(now, "work"):
            return token, kept
        now += 100_000_000
    raise AssertionError("no owner")


def test_tokens_rise_when_all_restart_with_clocks_set_back() -> None:
    late = {0: 9_000_000, 1: 9_000_000, 2: 9_000_000}
    early = dict.fromkeys(late, 5_000_000)  # a day before
    first, disks = elected(late, dict.fromkeys(late, 0), 0)
    second, _ = elected(early, disks, 0)
    assert second > first
    # Without disks they fall: what bears the effect has to refuse them.
    assert elected(early, dict.fromkeys(late, None), 0)[0] < first


def test_a_minority_that_lost_its_disk_changes_nothing() -> None:
    late = {0: 9_000_000, 1: 9_000_000, 2: 9_000_000}
    first, disks = elected(late, dict.fromkeys(late, 0), 0)
    for lost in late:
        kept: dict[int, int | None] = disks | {lost: 0}
        assert elected(dict.fromkeys(late, 5_000_000), kept, 0)[0] > first
