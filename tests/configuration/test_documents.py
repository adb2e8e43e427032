"""Tests of change sets, messages and keys as they are parsed: an invalid document is rejected with one line
that says what is wrong and where."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.configuration.change_sets import (
    CHANGE_SET_BYTES_MAX,
    CHANGES_MAX,
    Change,
    ChangeSet,
    ChangeSetError,
    LoggedChangeSet,
    parse_change_set,
)
from driftstair.configuration.messages import (
    LINE_BYTES_MAX,
    Changes,
    Freshness,
    MessageError,
    NodeReport,
    RefusedChange,
    SnapshotPart,
    decode_report,
    decode_watch_message,
    encode,
)
from driftstair.configuration.resources import (
    CONTENT_BYTES_MAX,
    NAME_BYTES_MAX,
    Resource,
    ResourceKey,
    ResourceKind,
    canonical_json,
)
from driftstair.configuration.state import ConfigurationState, RevisionGapError

TENANT = ResourceKind.TENANT
CONTENT = msgspec.Raw(b'{"burst":2.0}')
CHANGE: dict[str, Any] = {"kind": "tenant", "name": "acme", "content": {"per_s": 1.0}}
MESSAGES = [
    Changes(
        7, (LoggedChangeSet(8, ChangeSet("a", (Change(TENANT, "acme", CONTENT), Change(TENANT, "b")), 99)),)
    ),
    Changes(7, ()),
    SnapshotPart(9, True, False, (Resource(TENANT, "acme", 9, CONTENT), Resource(TENANT, "b", 3, CONTENT))),
    Freshness(9, 4_000),
]
REPORT = NodeReport("node-1", 17, 9, "00ff00ff00ff00ff", (RefusedChange(8, "route/a", "match: a tie"),))


def document(**changes: Any) -> bytes:
    """A valid change set as a JSON document, with the given top-level keys replaced."""
    return json.dumps({"id": "a", "changes": [CHANGE], **changes}).encode()


def rejection(text: bytes) -> ChangeSetError:
    """Returns the error with which a document is rejected; its text is one line without a traceback."""
    with pytest.raises(ChangeSetError) as raised:
        parse_change_set(text)
    assert "\n" not in str(raised.value) and "Traceback" not in str(raised.value)
    return raised.value


# Change sets.


def test_a_change_set_has_canonical_contents() -> None:
    text = (
        b'{"id":"a","changes":[{"kind":"tenant","name":"acme","content":{ "per_s": 1.0,\n "burst" : 2.0}}]}'
    )
    (change,) = parse_change_set(text).changes
    assert bytes(change.content) == b'{"burst":2.0,"per_s":1.0}'
    assert change.key == ResourceKey(TENANT, "acme") and not change.deletes


@pytest.mark.parametrize("content", [b"null", b" null "])
def test_a_null_content_deletes_the_resource(content: bytes) -> None:
    text = b'{"id":"a","changes":[{"kind":"tenant","name":"acme","content":' + content + b"}]}"
    assert parse_change_set(text).changes[0].deletes


@pytest.mark.parametrize(
    ("text", "where"),
    [
        (b"", "$"), (b"{", "$"), (b"[]", "$"), (b"\xff", "$"), (b"null", "$"), (b"[" * 100_000, "$"),
        (b'{"changes":[]}', "$"), (document(id=7), "$.id"), (document(id=""), "$.id"),
        (document(id="a b"), "$.id"), (document(id="x" * 65), "$.id"), (document(changes={}), "$.changes"),
        (document(changes=[{**CHANGE, "kind": "planet"}]), "$.changes[0].kind"),
        (document(changes=[{**CHANGE, "kind": 1}]), "$.changes[0].kind"),
        (document(changes=[{"kind": "tenant"}]), "$.changes[0]"),
        (document(changes=[{**CHANGE, "name": 5}]), "$.changes[0].name"),
        (document(changes=[{**CHANGE, "name": ""}]), "$.changes[0].name"),
        (document(changes=[{**CHANGE, "name": "a\nb"}]), "$.changes[0].name"),
        (document(changes=[{**CHANGE, "name": "x" * (NAME_BYTES_MAX + 1)}]), "$.changes[0].name"),
        (document(changes=[{**CHANGE, "name": "\u00e9" * NAME_BYTES_MAX}]), "$.changes[0].name"),
        (document(changes=[{**CHANGE, "content": []}]), "$.changes[0].content"),
        (document(changes=[{**CHANGE, "content": 5}]), "$.changes[0].content"),
        (document(changes=[{**CHANGE, "content": {"a": "x" * CONTENT_BYTES_MAX}}]), "$.changes[0].content"),
        (document(changes=[{**CHANGE, "expected_revision": "1"}]), "$.changes[0].expected_revision"),
        (document(changes=[CHANGE, CHANGE]), "$.changes[1]"),
        (document(changes=[{**CHANGE, "name": str(n)} for n in range(CHANGES_MAX + 1)]), "$.changes"),
        (b" " * (CHANGE_SET_BYTES_MAX + 1), "$"),
    ],
)  # fmt: skip
def test_an_invalid_change_set_is_rejected_with_the_path_of_the_fault(text: bytes, where: str) -> None:
    assert rejection(text).where == where


@pytest.mark.parametrize("name", ['"\\ud800"', '"a\\ud800b"'])
def test_a_name_or_content_with_an_unpaired_surrogate_is_rejected(name: str) -> None:
    """JSON can represent one half of a surrogate pair, UTF-8 can't."""
    rejection(f'{{"id":"a","changes":[{{"kind":"tenant","name":{name},"content":{{}}}}]}}'.encode())
    rejection(f'{{"id":"a","changes":[{{"kind":"tenant","name":"a","content":{{"b":{name}}}}}]}}'.encode())


def test_a_content_that_is_nested_too_deeply_is_rejected() -> None:
    nested = b'{"a":' * 3_000 + b"1" + b"}" * 3_000
    rejection(b'{"id":"a","changes":[{"kind":"tenant","name":"a","content":' + nested + b"}]}")


def test_each_truncated_change_set_is_rejected() -> None:
    complete = document()
    parse_change_set(complete)
    for length in range(len(complete)):
        rejection(complete[:length])


# Lines of a watch, and reports.


@pytest.mark.parametrize("message", MESSAGES, ids=lambda sample: type(sample).__name__)
def test_a_message_is_decoded_as_it_was_encoded(message: Any) -> None:
    line = encode(message)
    assert b"\n" not in line
    assert decode_watch_message(line) == message


def test_a_report_is_decoded_as_it_was_encoded() -> None:
    assert decode_report(encode(REPORT)) == REPORT


@pytest.mark.parametrize(
    "line",
    [
        b"", b"\xff\xfe", b"null", b"[]", b"{}", b"HTTP/1.1 200 OK", b'{"type":"unknown"}',
        b'{"type":"freshness"}', b'{"type":"freshness","revision":"9","age_ms":0}',
        b'{"type":"changes","base_revision":1}', b'{"type":"changes","base_revision":1,"change_sets":[{}]}',
        b'{"type":"snapshot","revision":1,"first":true,"last":true,"resources":[{"kind":"planet","name":"a",'
        b'"revision":1,"content":{}}]}',
        b"[" * 100_000, b" " * (LINE_BYTES_MAX + 1),
    ],
)  # fmt: skip
def test_an_invalid_message_is_rejected_with_a_one_line_error(line: bytes) -> None:
    for decode in (decode_watch_message, decode_report):
        with pytest.raises(MessageError) as raised:
            decode(line)
        assert "\n" not in str(raised.value) and len(str(raised.value)) < 300


@pytest.mark.parametrize("message", MESSAGES, ids=lambda sample: type(sample).__name__)
def test_each_truncated_line_is_rejected(message: Any) -> None:
    line = encode(message)
    for length in range(len(line)):
        with pytest.raises(MessageError):
            decode_watch_message(line[:length])


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.sampled_from(MESSAGES), st.randoms(use_true_random=False))
def test_a_corrupted_line_is_decoded_or_raises_a_message_error(message: Any, random: Random) -> None:
    line = bytearray(encode(message))
    for _ in range(random.randint(1, 4)):
        line[random.randrange(len(line))] = random.randrange(256)
    try:
        decoded = decode_watch_message(bytes(line))
    except MessageError:
        return
    apply_message(ConfigurationState(), decoded)


def apply_message(state: ConfigurationState, message: Any) -> None:
    """Applies a decoded message as a receiver does. Only the documented errors may be raised."""
    try:
        if isinstance(message, Changes):
            for logged in message.change_sets:
                state.apply(logged)
        elif isinstance(message, SnapshotPart):
            state.load(message.resources)
            state.finish_restore(message.revision)
    except (RevisionGapError, ValueError):
        pass


def test_a_repeated_or_outdated_line_changes_nothing() -> None:
    state = ConfigurationState()
    lines = [
        encode(
            Changes(
                number,
                (LoggedChangeSet(number + 1, ChangeSet(f"s{number}", (Change(TENANT, "a", CONTENT),))),),
            )
        )
        for number in range(3)
    ]
    for line in lines:
        apply_message(state, decode_watch_message(line))
    before = (state.revision, state.digest, list(state.resources()), state.recent_ids())
    for line in (lines[2], lines[0], lines[1]):
        message = decode_watch_message(line)
        assert isinstance(message, Changes)
        with pytest.raises(RevisionGapError):
            state.apply(message.change_sets[0])
        assert (state.revision, state.digest, list(state.resources()), state.recent_ids()) == before


# Keys.


def test_keys_round_trip_as_text_and_sort_in_snapshot_order() -> None:
    keys = [ResourceKey(kind, name) for kind in ResourceKind for name in ("b", "a", "a/b")]
    assert [ResourceKey.parse(str(key)) for key in keys] == keys
    sorted_texts = [str(key) for key in sorted(keys, key=ResourceKey.sort_key)]
    assert sorted_texts[:4] == ["budget/a", "budget/a/b", "budget/b", "drain/a"]
    for text in ("", "tenant", "tenant/", "planet/a"):
        with pytest.raises(ValueError, match="."):
            ResourceKey.parse(text)


def test_the_canonical_text_does_not_depend_on_the_order_of_keys() -> None:
    assert (
        canonical_json({"b": 1, "a": {"d": "\u00e9", "c": 2.0}})
        == '{"a":{"c":2.0,"d":"\u00e9"},"b":1}'.encode()
    )
