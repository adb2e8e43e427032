"""Messages between replicas: each is decoded as it was encoded, and anything else is a one-line error."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from cluster import change_set

from driftstair.configuration.resources import Resource, ResourceKind
from driftstair.control.replication.messages import (
    LOG_START,
    MESSAGE_BYTES_MAX,
    Alive,
    Append,
    Appended,
    LeaseMessage,
    LogEntry,
    LogPosition,
    Mismatch,
    Prepare,
    Promise,
    Refusal,
    ReplicationMessage,
    ReplicationMessageError,
    SnapshotPart,
    SnapshotProgress,
    decode,
    encode,
)

TOKEN = (1 << 63) + 12_345  # tokens take 64 bits
ENTRIES = (LogEntry(4, 7, change_set("a", "t", 1)), LogEntry(5, TOKEN, change_set("b")))
RESOURCE = Resource(ResourceKind.ROUTE, "r", 3, msgspec.Raw(b'{"path":"/x"}'))
MESSAGES: list[ReplicationMessage] = [
    Prepare(TOKEN),
    Promise(TOKEN, LogPosition(7, 3), 7),
    Append(TOKEN, 1, LogPosition(7, 3), ENTRIES, 3, (LOG_START, LogPosition(7, 3), LOG_START)),
    Append(TOKEN, 2, LOG_START, (), 0),
    Appended(TOKEN, 1, 5),
    Mismatch(TOKEN, 1, 2),
    Refusal(7, TOKEN),
    SnapshotPart(TOKEN, 1, LogPosition(7, 3), 0, True, (RESOURCE,), (("a", 1),)),
    SnapshotProgress(TOKEN, 1, LogPosition(7, 3), 2),
    LeaseMessage(12, (20, 99, TOKEN)),
    Alive(),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_each_message_is_decoded_as_it_was_encoded(message: ReplicationMessage) -> None:
    assert decode(encode(message)) == message


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_a_truncated_message_is_an_error(message: ReplicationMessage) -> None:
    document = encode(message)
    for size in range(len(document)):
        with pytest.raises(ReplicationMessageError) as error:
            decode(document[:size])
        assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("document", "expected_text"),
    [
        (b'{"type":"other"}', "type"),
        (b'{"type":"prepare","token":-1}', "token"),
        (b'{"type":"prepare","token":"1"}', "token"),
        (b'{"type":"promise","token":1,"last":[1],"followed":0}', "last"),
        (b"[]", "array"),
        (b"\xff\xfe", ""),
        (b" " * (MESSAGE_BYTES_MAX + 1), "longer than"),
        (b"[" * 100_000, ""),
        (encode(Append(9, 1, LOG_START, ENTRIES[:1], 0)), r"entries\[0\].revision: 4 after 0"),
        (encode(Append(6, 1, LogPosition(7, 3), ENTRIES[:1], 0)), r"entries\[0\].token: 7 is out of order"),
        (encode(Append(9, 1, LogPosition(8, 3), ENTRIES[:1], 0)), r"entries\[0\].token: 7 is out of order"),
        (encode(Append(9, 1, LOG_START, (), 0, (LOG_START,) * 8)), "more than 7"),
        (encode(Appended(9, 1, 1 << 63)), "revision"),
        (encode(SnapshotPart(9, 1, LogPosition(7, 2), 0, True, (RESOURCE,))), r"resources\[0\].*: 3 in"),
        (encode(LeaseMessage(1, (1 << 65,))), "item"),
        (encode(LeaseMessage(1, (1,) * 17)), "item"),
        (
            encode(Append(9, 1, LogPosition(7, 3), ENTRIES[:1], 0)).replace(b'"tenant"', b'"planet"'),
            r"entries.*kind",
        ),
    ],
)  # fmt: skip
def test_an_invalid_message_is_described_in_one_line(document: bytes, expected_text: str) -> None:
    with pytest.raises(ReplicationMessageError, match=expected_text) as error:
        decode(document)
    assert "\n" not in str(error.value) and len(str(error.value)) < 300


def test_corrupted_messages_raise_no_other_error() -> None:
    """Changes random bytes of valid messages."""
    random = Random(1)
    for _ in range(3_000):
        document = bytearray(encode(random.choice(MESSAGES)))
        for _ in range(random.randrange(1, 4)):
            document[random.randrange(len(document))] = random.randrange(256)
        try:
            decode(bytes(document))
        except ReplicationMessageError as error:
            assert "\n" not in str(error)
