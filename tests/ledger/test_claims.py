"""Tests exports under a lease's token: a later owner takes over at once, an earlier one is refused at any
time."""

from __future__ import annotations

import pytest

from driftstair.ledger.carrier import MessageError, decode_message, encode_message
from driftstair.ledger.export import (
    Claim,
    Collector,
    Exporter,
    Hello,
    LineSource,
    Offer,
    Older,
    Refused,
    Taken,
)

EMPTY_SOURCE = LineSource(lambda first, max_lines: (), lambda number: b"")


def new_collector(
    tokens: dict[str, int] | None = None, stored_tokens: list[tuple[str, int]] | None = None
) -> Collector:
    stored = [] if stored_tokens is None else stored_tokens
    return Collector(lambda *_: None, {}, 1000, tokens, lambda node, token: stored.append((node, token)))


def test_claim_with_a_greater_token_takes_over_and_the_smaller_one_stays_refused() -> None:
    stored_tokens: list[tuple[str, int]] = []
    collector = new_collector(stored_tokens=stored_tokens)
    assert isinstance(collector.receive(0, Claim("n0", 1, 10))[0], Taken)
    assert isinstance(collector.receive(1, Claim("n0", 2, 11))[0], Taken)
    # The earlier owner resumes with an offer that it had prepared, and then claims again.
    (refused,) = collector.receive(2, Offer("n0", 1, 1, (b"x",)))
    assert isinstance(refused, Refused) and not refused.final
    assert collector.receive(3, Claim("n0", 1, 10)) == [Older("n0", 1, 11)]
    assert collector.receive(10**9, Claim("n0", 1, 10)) == [Older("n0", 1, 11)]
    assert stored_tokens == [("n0", 10), ("n0", 11)]


def test_stored_tokens_are_restored_and_separate_for_each_node() -> None:
    collector = new_collector({"n0": 11})
    assert collector.receive(0, Claim("n0", 1, 10)) == [Older("n0", 1, 11)]
    assert isinstance(collector.receive(0, Claim("n1", 1, 10))[0], Taken)


def test_token_that_could_not_be_stored_has_no_effect() -> None:
    def fail_with_full_disk(node: str, token: int) -> None:
        raise OSError("full")

    collector = Collector(lambda *_: None, {}, 1000, {}, fail_with_full_disk)
    with pytest.raises(OSError, match="full"):
        collector.receive(0, Claim("n0", 1, 10))
    with pytest.raises(OSError, match="full"):
        collector.receive(0, Claim("n0", 1, 10))


def test_claim_and_hello_wait_for_each_other_s_session_to_expire() -> None:
    collector = new_collector()
    collector.receive(0, Hello("n0", 5))
    (refused,) = collector.receive(10, Claim("n0", 1, 10))
    assert isinstance(refused, Refused) and not refused.final
    assert isinstance(collector.receive(1500, Claim("n0", 1, 10))[0], Taken)
    assert isinstance(collector.receive(1600, Hello("n0", 5))[0], Refused)
    assert isinstance(collector.receive(3000, Hello("n0", 5))[0], Taken)


def test_refused_exporter_reports_the_superseding_token() -> None:
    exporter = Exporter("n0", EMPTY_SOURCE, 1, 1, token=10)
    assert exporter._next_message() == Claim("n0", 1, 10)
    assert exporter.receive(0, Older("n0", 1, 11)) == []
    assert exporter.superseding_token == 11 and "11" in exporter.stop_reason and exporter.poll(10**9) == []
    assert Exporter("n0", EMPTY_SOURCE, 1, 1)._next_message() == Hello("n0", 1)


def test_claims_are_encoded_and_a_claim_without_a_token_is_invalid() -> None:
    for message in (Claim("n0", 1, 1 << 60), Older("n0", 1, 5)):
        assert decode_message(encode_message(message)) == message
    with pytest.raises(MessageError):
        decode_message(b'{"is":"claim","node":"n0","session":1}\n')
