"""Unit tests of datagrams, replay windows, the update queue, member lists, the key file and histories."""

from __future__ import annotations

import json
import os
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.files import FileError
from driftstair.tier import history, member_list, wire
from driftstair.tier.history import History, HistoryError
from driftstair.tier.key import read_key
from driftstair.tier.member_list import MemberListError
from driftstair.tier.membership.events import NO_NODE, Kind, Message
from driftstair.tier.membership.members import Claim, State, Traits
from driftstair.tier.membership.update_queue import UpdateQueue
from driftstair.tier.replay import WINDOW_BITS, ReplayWindow
from driftstair.tier.wire import Codec, InvalidDatagram

KEY = b"sixteen bytes!!!"
CODEC = Codec(KEY)
MINE = Claim(3, 77, 2, State.ALIVE, 3, Traits(1, 1, 1))
MESSAGE = Message(Kind.PING, MINE, 4, 9, 5, NO_NODE, (Claim(4, 70, 0, State.SUSPECT, 3),))

claims = st.builds(
    Claim, st.integers(0, wire.MAX_NUMBER - 1), st.integers(0, wire.MAX_COUNT),
    st.integers(0, wire.MAX_NUMBER), st.sampled_from(State), st.integers(0, wire.MAX_NUMBER - 1),
    st.builds(Traits, st.integers(0, 255), st.integers(0, 255), st.integers(0, wire.MAX_NUMBER)),
)  # fmt: skip


@settings(derandomize=True, max_examples=300)
@given(st.sampled_from(Kind), claims, st.integers(0, wire.MAX_COUNT), st.lists(claims, max_size=30))
def test_messages_of_the_core_fit_and_round_trip(
    kind: Kind, mine: Claim, order: int, offered: list[Claim]
) -> None:
    updates, bytes_left = [], wire.MAX_CLAIMS_BYTES
    for claim in offered:
        if wire.claim_size(claim) <= bytes_left:
            bytes_left -= wire.claim_size(claim)
            updates.append(claim)
    message = Message(kind, mine, 9, order, order, NO_NODE, tuple(updates))
    data = CODEC.encode(message)
    assert len(data) <= 256
    assert CODEC.decode(data) == message


@settings(derandomize=True, max_examples=200)
@given(claims)
def test_claim_size_is_the_encoded_length(claim: Claim) -> None:
    empty = CODEC.encode(MESSAGE._replace(updates=()))
    assert len(CODEC.encode(MESSAGE._replace(updates=(claim,)))) - len(empty) == wire.claim_size(claim)


def with_mac(body: bytes, version: int = wire.VERSION) -> bytes:
    head = bytes((version,))
    return head + CODEC._mac(head, body) + body


def body_fields(**changes: object) -> list[object]:
    """The fields of a datagram's body, in order."""
    sender_claim = [3, 77, 2, 0, 3, 1, 1, 1]
    return list(({"kind": 1, "sender_claim": sender_claim, "recipient": 4, "counter": 9, "seq": 5,
                  "subject": NO_NODE, "updates": []}
                 | changes).values())  # fmt: skip


VALID = CODEC.encode(MESSAGE)
LATER_VERSION = [
    *body_fields(sender_claim=[3, 77, 2, 0, 3, 1, 1, 1, "more"]),
    b"items",
    {"of a later": "version"},
]


@pytest.mark.parametrize(
    ("data", "count"),
    [
        (b"", "too_short"), (VALID[:9], "too_short"), (VALID + bytes(256), "too_long"),
        (bytes((2,)) + VALID[1:], "other_version"), (VALID[:-1], "wrong_seal"),
        (VALID[:20] + bytes((VALID[20] ^ 1,)) + VALID[21:], "wrong_seal"),
        (Codec(b"another key of a tier").encode(MESSAGE), "wrong_seal"),
        (with_mac(b"\xc1"), "no_message"), (with_mac(b"\x91" * 200), "no_message"),
        (with_mac(msgspec.msgpack.encode(body_fields(recipient="x"))), "no_message"),
        (with_mac(msgspec.msgpack.encode(body_fields()[:-1])), "no_message"),
        (with_mac(msgspec.msgpack.encode(body_fields(kind=99))), "other_kind"),
        (with_mac(msgspec.msgpack.encode(body_fields(recipient=-1))), "out_of_range"),
        (with_mac(msgspec.msgpack.encode(body_fields(counter=1 << 40))), "out_of_range"),
        (with_mac(msgspec.msgpack.encode(body_fields(sender_claim=[3, 77, 2, 9, 3, 1, 1, 1]))),
         "out_of_range"),
        (with_mac(msgspec.msgpack.encode(body_fields(updates=[[1 << 20, 1, 1, 0, 1, 1, 1, 1]]))),
         "out_of_range"),
    ],
)  # fmt: skip
def test_invalid_datagrams_are_dropped_and_counted_by_reason(data: bytes, count: str) -> None:
    with pytest.raises(InvalidDatagram, match=f"^{count}$"):
        CODEC.decode(data)


def test_fields_of_a_later_version_are_ignored() -> None:
    assert CODEC.decode(with_mac(msgspec.msgpack.encode(LATER_VERSION))).sender_claim == MINE


@settings(derandomize=True, max_examples=300)
@given(st.lists(st.integers(0, 200), max_size=60))
def test_a_replay_window_accepts_each_number_once_and_none_older_than_itself(counts: list[int]) -> None:
    window, taken, highest = ReplayWindow(), set(), -1
    for count in counts:
        wanted = count not in taken and count > highest - WINDOW_BITS
        assert window.accept(count) is wanted
        if wanted:
            taken.add(count)
            highest = max(highest, count)


def test_updates_go_least_transmitted_first_up_to_the_transmission_limit() -> None:
    updates = UpdateQueue()
    for number in range(3):
        updates.add(Claim(number, 1, 0, State.ALIVE, number))
    order = []
    while updates:
        taken, _ = updates.take(1, lambda claim: 1, 6, ())
        order.append(taken[0].number)
    assert order[:3] == [2, 1, 0]
    assert all(order.count(number) == 9 for number in range(3))  # 3 x log2(8)


def test_suspicions_are_sent_again_before_a_thousand_joins() -> None:
    # Guards against false deaths among 1,000 nodes at 10 % loss: each node sent a suspicion or a refutation
    # only once before it sent all joins, which spreads either one too slowly.
    updates = UpdateQueue()
    for number in range(1000):
        updates.add(Claim(number, 1, 0, State.ALIVE, number))
    updates.add(Claim(7, 1, 0, State.SUSPECT, 3))
    updates.add(Claim(9, 1, 1, State.ALIVE, 9))
    rounds = [{claim.number for claim in updates.take(8, lambda claim: 1, 1000, ())[0]} for _ in range(7)]
    assert all({7, 9} <= numbers for numbers in rounds)
    assert {7, 9} & {claim.number for claim in updates.take(8, lambda claim: 1, 1000, ())[0]} == set()


def test_a_member_list_round_trips_and_a_corrupt_one_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "n3.members"
    assert member_list.read(path) == ()
    held = (MINE, Claim(4, 9, 0, State.DEAD, 3))
    member_list.write(path, held)
    assert member_list.read(path) == held
    original = path.read_text()
    rows = json.loads(original)["members"]
    corrupt = [
        original[:-3], "", "[" * 9000, original.replace("77", "78"),
        original.replace("members/1", "members/2"), "[1]",
    ]  # fmt: skip
    for bad in ([[1]], [[3, 77, 2, 9, 3, 1, 1, 1]], [[3, 77, 2, 0, -3, 1, 1, 1]], ["abcdefgh"], [7],
                [[*rows[0][:7], 1 << 70]]):  # fmt: skip
        corrupt.append(
            json.dumps({"format": member_list.FORMAT, "sum": member_list._checksum(bad), "members": bad})
        )
    for text in corrupt:
        path.write_text(text)
        with pytest.raises(MemberListError):
            member_list.read(path)


@pytest.mark.parametrize(
    ("content", "mode", "reason"),
    [
        (b"", 0o600, "holds a key of 0 bytes; 16 to 64 are required"),
        (b"x" * 65, 0o600, "holds a key of 65 bytes"), (KEY, 0o640, "is accessible to others (mode 640)"),
        (KEY, 0o604, "set mode 600"),
    ],
)  # fmt: skip
def test_an_invalid_key_is_refused_with_the_requirement(
    content: bytes, mode: int, reason: str, tmp_path: Path
) -> None:
    path = tmp_path / "key"
    path.write_bytes(content)
    path.chmod(mode)
    with pytest.raises(FileError) as error:
        read_key(str(path))
    assert reason in str(error.value)


def test_a_key_that_is_not_in_a_regular_file_is_refused_at_once(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "pipe", 0o600)
    for path in (tmp_path / "none", tmp_path / "pipe", tmp_path, Path("/dev/zero"), Path("a\0b")):
        with pytest.raises(FileError):
            read_key(str(path))
    (tmp_path / "key").write_bytes(KEY + b"\n")
    (tmp_path / "key").chmod(0o600)
    assert read_key(str(tmp_path / "key")) == KEY


def test_a_history_may_end_in_an_incomplete_line(tmp_path: Path) -> None:
    writer = History(str(tmp_path), "n3")
    writer.write(5, 3, 77, "start", nodes=2)
    writer.write(6, 3, 77, "end")
    writer.close()
    writer.write(7, 3, 77, "end")  # ignored after close
    path = tmp_path / "n3.jsonl"
    events = history.read(path)
    assert [event["event"] for event in events] == ["start", "end"]
    path.write_bytes(path.read_bytes() + b'{"t_ns": 7, "no')  # killed while writing a line
    assert history.read(path) == events
    path.write_bytes(b'{"t_ns": 7, "no\n' + path.read_bytes())
    with pytest.raises(HistoryError):
        history.read(path)


@pytest.mark.parametrize("name", ["", "../n3", "a/b", "."])
def test_a_history_requires_a_plain_name_and_an_existing_folder(name: str, tmp_path: Path) -> None:
    with pytest.raises(HistoryError):
        History(str(tmp_path), name)
    with pytest.raises(HistoryError):
        History(str(tmp_path / "none"), "n3")
