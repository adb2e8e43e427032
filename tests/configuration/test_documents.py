"""Documents from outside: each bad one is refused with one line that says what and where, and no more."""

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
    canonical,
)
from driftstair.configuration.state import ConfigurationState, RevisionGapError

TENANT = ResourceKind.TENANT
RAW = msgspec.Raw(b'{"burst":2.0}')
CHANGE: dict[str, Any] = {"kind": "tenant", "name": "acme", "content": {"per_s": 1.0}}
MESSAGES = [
    Changes(7, (LoggedChangeSet(8, ChangeSet("a", (Change(TENANT, "acme", RAW), Change(TENANT, "b")), 99)),)),
    Changes(7, ()),
    SnapshotPart(9, True, False, (Resource(TENANT, "acme", 9, RAW), Resource(TENANT, "b", 3, RAW))),
    Freshness(9, 4_000),
]
REPORT = NodeReport("node-1", 17, 9, "00ff00ff00ff00ff", (RefusedChange(8, "route/a", "match: a tie"),))


def document(**changes: Any) -> bytes:
    return json.dumps({"id": "a", "changes": [CHANGE], **changes}).encode()


def refusal(text: bytes) -> ChangeSetError:
    with pytest.raises(ChangeSetError) as problem:
        parse_change_set(text)
    assert "\n" not in str(problem.value) and "Traceback" not in str(problem.value)
    return problem.value


# Change sets.


def test_a_change_set_has_canonical_contents() -> None:
    text = (
        b'{"id":"a","changes":[{"kind":"tenant","name":"acme","content":{ "per_s": 1.0,\n "burst" : 2.0}}]}'
    )
    (change,) = parse_change_set(text).changes
    assert bytes(change.content) == b'{"burst":2.0,"per_s":1.0}'
    assert change.key == ResourceKey(TENANT, "acme") and not change.deletes


@pytest.mark.parametrize("content", [b"null", b" null "])
def test_a_content_null_deletes(content: bytes) -> None:
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
def test_what_is_no_change_set_is_refused_with_its_place(text: bytes, where: str) -> None:
    assert refusal(text).where == where


@pytest.mark.parametrize("name", ['"\\ud800"', '"a\\ud800b"'])
def test_a_name_or_content_that_is_no_text_is_refused(name: str) -> None:
    """Half of a surrogate pair: JSON can write it, UTF-8 can't."""
    refusal(f'{{"id":"a","changes":[{{"kind":"tenant","name":{name},"content":{{}}}}]}}'.encode())
    refusal(f'{{"id":"a","changes":[{{"kind":"tenant","name":"a","content":{{"b":{name}}}}}]}}'.encode())


def test_a_content_that_is_nested_too_deeply_is_refused() -> None:
    nested = b'{"a":' * 3_000 + b"1" + b"}" * 3_000
    refusal(b'{"id":"a","changes":[{"kind":"tenant","name":"a","content":' + nested + b"}]}")


def test_each_truncated_change_set_is_refused() -> None:
    whole = document()
    parse_change_set(whole)
    for length in range(len(whole)):
        refusal(whole[:length])


# Lines of a watch, and reports.


@pytest.mark.parametrize("message", MESSAGES, ids=lambda one: type(one).__name__)
def test_a_message_comes_out_as_it_went_in(message: Any) -> None:
    line = encode(message)
    assert b"\n" not in line
    assert decode_watch_message(line) == message


def test_a_report_comes_out_as_it_went_in() -> None:
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
def test_what_is_no_message_is_refused_in_one_line(line: bytes) -> None:
    for decode in (decode_watch_message, decode_report):
        with pytest.raises(MessageError) as problem:
            decode(line)
        assert "\n" not in str(problem.value) and len(str(problem.value)) < 300


@pytest.mark.parametrize("message", MESSAGES, ids=lambda one: type(one).__name__)
def test_each_truncated_line_is_refused(message: Any) -> None:
    line = encode(message)
    for length in range(len(line)):
        with pytest.raises(MessageError):
            decode_watch_message(line[:length])


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.sampled_from(MESSAGES), st.randoms(use_true_random=False))
def test_a_garbled_line_is_a_message_or_an_error_and_never_anything_else(
    message: Any, random: Random
) -> None:
    line = bytearray(encode(message))
    for _ in range(random.randint(1, 4)):
        line[random.randrange(len(line))] = random.randrange(256)
    try:
        found = decode_watch_message(bytes(line))
    except MessageError:
        return
    take_in(ConfigurationState(), found)


def take_in(state: ConfigurationState, message: Any) -> None:
    """As a receiver does: what can be decoded is applied, or refused by an error that has a name."""
    try:
        if isinstance(message, Changes):
            for logged in message.change_sets:
                state.apply(logged)
        elif isinstance(message, SnapshotPart):
            state.load(message.resources)
            state.finish_restore(message.revision)
    except (RevisionGapError, ValueError):
        pass


def test_a_line_that_comes_twice_or_goes_back_changes_nothing() -> None:
    state = ConfigurationState()
    lines = [
        encode(
            Changes(
                number, (LoggedChangeSet(number + 1, ChangeSet(f"s{number}", (Change(TENANT, "a", RAW),))),)
            )
        )
        for number in range(3)
    ]
    for line in lines:
        take_in(state, decode_watch_message(line))
    before = (state.revision, state.digest, list(state.resources()), state.recent_ids())
    for line in (lines[2], lines[0], lines[1]):
        message = decode_watch_message(line)
        assert isinstance(message, Changes)
        with pytest.raises(RevisionGapError):
            state.apply(message.change_sets[0])
        assert (state.revision, state.digest, list(state.resources()), state.recent_ids()) == before


# Keys.


def test_keys_are_written_and_read_and_sort_as_snapshots_list_them() -> None:
    keys = [ResourceKey(kind, name) for kind in ResourceKind for name in ("b", "a", "a/b")]
    assert [ResourceKey.parse(str(key)) for key in keys] == keys
    words = [str(key) for key in sorted(keys, key=ResourceKey.sort_key)]
    assert words[:4] == ["budget/a", "budget/a/b", "budget/b", "drain/a"]
    for text in ("", "tenant", "tenant/", "planet/a"):
        with pytest.raises(ValueError, match="."):
            ResourceKey.parse(text)


def test_a_canonical_content_is_one_text_whatever_order_it_came_in() -> None:
    assert (
        canonical({"b": 1, "a": {"d": "\u00e9", "c": 2.0}}) == '{"a":{"c":2.0,"d":"\u00e9"},"b":1}'.encode()
    )
