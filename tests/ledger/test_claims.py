"""Exports under a lease's token: a later owner takes over at once, an older one is refused however late."""

from __future__ import annotations

import pytest

from driftstair.ledger.carrier import MessageError, read, worded
from driftstair.ledger.export import Claim, Collector, Exporter, Hello, Lines, Offer, Older, Refused, Taken

NONE = Lines(lambda first, most: (), lambda number: b"")


def collector(tokens: dict[str, int] | None = None, kept: list[tuple[str, int]] | None = None) -> Collector:
    told = [] if kept is None else kept
    return Collector(lambda *_: None, {}, 1000, tokens, lambda node, token: told.append((node, token)))


def test_a_later_claim_takes_over_at_once_and_an_older_one_is_refused_for_good() -> None:
    kept: list[tuple[str, int]] = []
    books = collector(kept=kept)
    assert isinstance(books.receive(0, Claim("n0", 1, 10))[0], Taken)
    assert isinstance(books.receive(1, Claim("n0", 2, 11))[0], Taken)
    # The older owner wakes up with an offer in its hands, and then asks again.
    (refused,) = books.receive(2, Offer("n0", 1, 1, (b"x",)))
    assert isinstance(refused, Refused) and not refused.final
    assert books.receive(3, Claim("n0", 1, 10)) == [Older("n0", 1, 11)]
    assert books.receive(10**9, Claim("n0", 1, 10)) == [Older("n0", 1, 11)]
    assert kept == [("n0", 10), ("n0", 11)]


def test_tokens_outlive_the_billing_side_and_are_each_node_s_own() -> None:
    books = collector({"n0": 11})
    assert books.receive(0, Claim("n0", 1, 10)) == [Older("n0", 1, 11)]
    assert isinstance(books.receive(0, Claim("n1", 1, 10))[0], Taken)


def test_a_token_that_can_not_be_kept_does_not_count() -> None:
    def full(node: str, token: int) -> None:
        raise OSError("full")

    books = Collector(lambda *_: None, {}, 1000, {}, full)
    with pytest.raises(OSError, match="full"):
        books.receive(0, Claim("n0", 1, 10))
    with pytest.raises(OSError, match="full"):
        books.receive(0, Claim("n0", 1, 10))


def test_a_claim_waits_for_a_hand_s_export_and_a_hand_s_for_a_claim() -> None:
    books = collector()
    books.receive(0, Hello("n0", 5))
    (refused,) = books.receive(10, Claim("n0", 1, 10))
    assert isinstance(refused, Refused) and not refused.final
    assert isinstance(books.receive(1500, Claim("n0", 1, 10))[0], Taken)
    assert isinstance(books.receive(1600, Hello("n0", 5))[0], Refused)
    assert isinstance(books.receive(3000, Hello("n0", 5))[0], Taken)


def test_an_exporter_that_is_refused_says_by_which_token() -> None:
    exporter = Exporter("n0", NONE, 1, 1, token=10)
    assert exporter._word() == Claim("n0", 1, 10)
    assert exporter.receive(0, Older("n0", 1, 11)) == []
    assert exporter.older == 11 and "11" in exporter.stopped and exporter.poll(10**9) == []
    assert Exporter("n0", NONE, 1, 1)._word() == Hello("n0", 1)


def test_claims_go_by_wire_and_a_side_that_knows_none_ends_the_connection() -> None:
    for message in (Claim("n0", 1, 1 << 60), Older("n0", 1, 5)):
        assert read(worded(message)) == message
    with pytest.raises(MessageError):
        read(b'{"is":"claim","node":"n0","session":1}\n')
