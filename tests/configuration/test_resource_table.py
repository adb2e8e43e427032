"""The packed table of resources holds what a plain dictionary holds, in order."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.configuration.content_codec import DEFLATED, DICTIONARY, pack, unpack
from driftstair.configuration.resource_table import BLOCK_NAMES, ResourceTable, StoredResource

LONG = b'{"match":{"path":"/service/api/v2/*"},"timeout":{"attempt":"250ms","total":"900ms"},"retry":{}}'
NAMES = st.text(st.sampled_from("ab/é\U0001f600z.9"), min_size=1, max_size=3)
CONTENTS = st.sampled_from([b"{}", b'{"per_s":1.0}', LONG])


def stored(revision: int, content: bytes = b"{}") -> StoredResource:
    return StoredResource(revision, pack(content))


@given(st.binary(max_size=2_000) | st.sampled_from([DICTIONARY, LONG]))
@settings(derandomize=True, deadline=None)
def test_a_packed_content_is_unpacked_as_it_was(content: bytes) -> None:
    content = b"{" + content
    assert unpack(pack(content)) == content


def test_a_long_content_is_kept_shorter() -> None:
    assert pack(LONG)[:1] == DEFLATED and len(pack(LONG)) < len(LONG) / 2


@given(st.lists(st.tuples(NAMES, st.none() | CONTENTS), max_size=60))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_it_holds_what_a_dictionary_holds(changes: list[tuple[str, bytes | None]]) -> None:
    table, expected = ResourceTable(), dict[str, StoredResource]()
    for revision, (name, content) in enumerate(changes):
        if content is None:
            assert table.delete(name) == (expected.pop(name, None) is not None)
        else:
            expected[name] = stored(revision, content)
            table.put(name, expected[name])
    assert len(table) == len(expected)
    assert [(row.name, row.stored) for row in table.after()] == sorted(expected.items())
    for name in {name for name, _ in changes}:
        assert table.get(name) == expected.get(name)
        assert [row.name for row in table.after(name)] == sorted(one for one in expected if one > name)


def test_blocks_split_in_any_order_of_names_and_go_when_they_are_empty() -> None:
    names = [f"tenant-{number:05d}" for number in range(5 * BLOCK_NAMES)]
    shuffled = sorted(names, key=lambda name: name[::-1])
    for order in (names, names[::-1], shuffled):
        table = ResourceTable()
        for number, name in enumerate(order):
            table.put(name, stored(number))
        assert [row.name for row in table.after()] == names
        assert all(table.get(name) is not None for name in names)
        assert all(table.delete(name) for name in shuffled)
        assert len(table) == 0 and list(table.after()) == [] and table.get(names[0]) is None
        table.put("again", stored(1))
        assert [row.name for row in table.after()] == ["again"]


def test_names_that_are_parts_of_others_are_told_apart() -> None:
    table = ResourceTable()
    for number, name in enumerate(("ab", "b", "abc", "bc")):
        table.put(name, stored(number))
    assert table.get("a") is None and table.get("c") is None
    assert not table.delete("bcd")
    assert [row.name for row in table.after()] == ["ab", "abc", "b", "bc"]


def test_names_in_order_fill_their_blocks() -> None:
    """A snapshot comes in the order of names; blocks half full would cost as much again."""
    table = ResourceTable()
    for number in range(4 * BLOCK_NAMES):
        table.put(f"{number:06d}", stored(number))
    assert len(table._blocks) == 4


def test_equal_contents_are_kept_once() -> None:
    table = ResourceTable()
    for number in range(10):
        table.put(f"{number}", stored(number, bytes(LONG)))
    assert len({id(row.stored.packed) for row in table.after()}) == 1


def test_a_change_while_it_is_gone_through_neither_repeats_nor_loses_others() -> None:
    table = ResourceTable()
    names = [f"{number:04d}" for number in range(3 * BLOCK_NAMES)]
    for name in names:
        table.put(name, stored(1))
    seen = []
    for row in table.after():
        seen.append(row.name)
        if "-new" not in row.name:
            table.put(f"{row.name}-new", stored(2))
            table.delete(row.name)
    assert [name for name in seen if "-new" not in name] == names
    assert len(set(seen)) == len(seen)
