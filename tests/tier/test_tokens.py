"""Persisted tokens: a voter promises nothing before it is on disk, and tokens rise through restarts and clock
changes."""

from __future__ import annotations

import os
from pathlib import Path
from random import Random
from typing import Any

import pytest

from driftstair.tier.ownership.leases import PERSIST_RETRY_NS, Leases
from driftstair.tier.ownership.messages import Prepare, Promise, Release, Terms, first_token, reserve_tokens
from driftstair.tier.tokens import SLOT_BYTES, TokenFile, TokenFileError

TERMS = Terms()
SECOND = 1_000_000_000


# The token file.


def test_the_last_token_that_was_written_is_read_again(tmp_path: Path) -> None:
    path = tmp_path / "n0.tokens"
    assert TokenFile(path).token == 0
    for token in (5, 9, 12):
        TokenFile(path).write(token)
        assert TokenFile(path).token == token
    assert path.stat().st_size <= 2 * SLOT_BYTES


@pytest.mark.parametrize("end", range(29))
def test_a_write_torn_at_any_byte_leaves_the_previous_token(
    end: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "n0.tokens"
    file = TokenFile(path)
    file.write(5)
    file.write(9)
    size, original_pwrite = len(path.read_bytes()), os.pwrite

    class Crash(Exception):
        pass

    def torn_pwrite(descriptor: int, data: bytes, offset: int) -> int:
        original_pwrite(descriptor, data[:end], offset)
        raise Crash

    monkeypatch.setattr(os, "pwrite", torn_pwrite)
    with pytest.raises(Crash):
        file.write(12)
    assert TokenFile(path).token == 9
    assert len(path.read_bytes()) <= max(size, SLOT_BYTES + 32)


def test_any_flipped_bit_is_detected(tmp_path: Path) -> None:
    path = tmp_path / "n0.tokens"
    TokenFile(path).write(9)
    data = path.read_bytes()
    for bit in range(SLOT_BYTES * 8, len(data) * 8):
        damaged = bytearray(data)
        damaged[bit // 8] ^= 1 << bit % 8
        path.write_bytes(damaged)
        with pytest.raises(TokenFileError):
            TokenFile(path)


def test_a_write_to_a_full_disk_raises_and_keeps_the_previous_token(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "n0.tokens"
    file = TokenFile(path)
    file.write(5)

    def pwrite_to_full_disk(*_: object) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "pwrite", pwrite_to_full_disk)
    with pytest.raises(OSError, match="No space"):
        file.write(9)
    assert (file.token, TokenFile(path).token) == (5, 5)


# A voter.


def new_leases(number: int, generation: int, now: int, persisted_token: int | None, count: int = 3) -> Leases:
    return Leases(
        (), number, generation, count, now, Random(number), lambda: list(range(count)), TERMS, persisted_token
    )


def answers_to_prepare(leases: Leases, now: int, token: int, generation: int = 7) -> Any:
    outgoing, _ = leases.on_message(now, 1, generation, Prepare(77, token))
    return [message for _, message in outgoing]


def test_nothing_is_promised_before_it_is_on_disk() -> None:
    now = 10 * SECOND
    leases = new_leases(0, 7, 0, persisted_token=0)
    token = first_token(7, 1) + (1 << 16)
    assert answers_to_prepare(leases, now, token) == []
    token_to_persist = leases.token_to_persist(now)
    # Only one write is in progress at a time.
    assert token_to_persist == reserve_tokens(token) and leases.token_to_persist(now) == 0
    outgoing, _ = leases.token_persisted(now + 1, token_to_persist)
    assert outgoing == [(1, Promise(77, token))]
    # The next token is within the reserve.
    assert answers_to_prepare(leases, now + 2, token + (1 << 16)) == [Promise(77, token + (1 << 16))]
    assert leases.token_to_persist(now + 2) == 0


def test_a_voter_whose_disk_fails_promises_nothing_and_retries_later() -> None:
    now = 10 * SECOND
    leases = new_leases(0, 7, 0, persisted_token=0)
    token = first_token(7, 1) + (1 << 16)
    assert answers_to_prepare(leases, now, token) == [] and leases.token_to_persist(now)
    leases.persist_failed(now)
    assert answers_to_prepare(leases, now + 1, token) == [] and leases.token_to_persist(now + 1) == 0
    later = now + PERSIST_RETRY_NS
    assert answers_to_prepare(leases, later, token) == [] and leases.token_to_persist(
        later
    ) == reserve_tokens(token)


def test_a_release_does_not_wait_for_the_disk() -> None:
    leases = new_leases(0, 7, 0, persisted_token=0)
    assert leases.on_message(10 * SECOND, 1, 7, Release(77, first_token(7, 1))) == ([], [])
    assert leases.pending_token() == 0


PersistedTokens = dict[int, int | None]


def elect_node_0(
    generations: dict[int, int], persisted_tokens: PersistedTokens, now: int
) -> tuple[int, PersistedTokens]:
    """Starts three voters, which give a task to node 0. Returns its token, and the tokens on the disks."""
    nodes = {
        number: new_leases(number, generations[number], now, persisted_tokens[number]) for number in range(3)
    }
    nodes[0].add_task(now, "work")
    now += TERMS.voter_lease_ns() + 1
    for _ in range(200):
        in_flight = [(0, request) for request in nodes[0].tick(now)[0]]
        while in_flight:
            source, (to, message) = in_flight.pop(0)
            outgoing, _ = nodes[to].on_message(now, source, generations[source], message)
            in_flight += [(to, answer) for answer in outgoing]
            for number, node in nodes.items():
                if token := node.token_to_persist(now):
                    persisted_tokens[number] = token
                    in_flight += [(number, answer) for answer in node.token_persisted(now, token)[0]]
        if token := nodes[0].token(now, "work"):
            return token, persisted_tokens
        now += 100_000_000
    raise AssertionError("no owner")


def test_tokens_rise_when_all_nodes_restart_with_clocks_set_back() -> None:
    generations = {0: 9_000_000, 1: 9_000_000, 2: 9_000_000}
    earlier_generations = dict.fromkeys(generations, 5_000_000)  # a day before
    first, disks = elect_node_0(generations, dict.fromkeys(generations, 0), 0)
    second, _ = elect_node_0(earlier_generations, disks, 0)
    assert second > first
    # Without disks tokens fall, and the resource that checks them has to refuse them.
    assert elect_node_0(earlier_generations, dict.fromkeys(generations, None), 0)[0] < first


def test_tokens_rise_if_a_minority_lost_its_disk() -> None:
    generations = {0: 9_000_000, 1: 9_000_000, 2: 9_000_000}
    first, disks = elect_node_0(generations, dict.fromkeys(generations, 0), 0)
    for number in generations:
        persisted_tokens: dict[int, int | None] = disks | {number: 0}
        assert elect_node_0(dict.fromkeys(generations, 5_000_000), persisted_tokens, 0)[0] > first
