"""Tests of the packed table of resources, which has to behave like a dictionary sorted by name."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.configuration.content_codec import DEFLATE_DICTIONARY, DEFLATE_MARKER, pack, unpack
from driftstair.configuration.resource_table import BLOCK_RESOURCES_MAX, ResourceTable, StoredResource

LONG_CONTENT = (
    b'{"match":{"path":"/service/api/v2/*"},"timeout":{"attempt":"250ms","total":"900ms"},"retry":{}}'
)
NAMES = st.text(st.sampled_from("ab/é\U0001f600z.9"), min_size=1, max_size=3)
CONTENTS = st.sampled_from([b"{}", b'{"per_s":1.0}', LONG_CONTENT])


def stored_resource(revision: int, content: bytes = b"{}") -> StoredResource:
    return StoredResource(revision, pack(content))


@given(st.binary(max_size=2_000) | st.sampled_from([DEFLATE_DICTIONARY, LONG_CONTENT]))
@settings(derandomize=True, deadline=None)
def test_unpack_returns_the_content_that_was_packed(content: bytes) -> None:
    content = b"{" + content
    assert unpack(pack(content)) == content


def test_a_long_content_is_stored_deflated() -> None:
    assert pack(LONG_CONTENT)[:1] == DEFLATE_MARKER and len(pack(LONG_CONTENT)) < len(LONG_CONTENT) / 2


@given(st.lists(st.tuples(NAMES, st.none() | CONTENTS), max_size=60))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_the_table_behaves_like_a_dictionary_sorted_by_name(changes: list[tuple[str, bytes | None]]) -> None:
    table, expected = ResourceTable(), dict[str, StoredResource]()
    for revision, (name, content) in enumerate(changes):
        if content is None:
            assert table.delete(name) == (expected.pop(name, None) is not None)
        else:
            expected[name] = stored_resource(revision, content)
            table.put(name, expected[name])
    assert len(table) == len(expected)
    assert [(row.name, row.stored) for row in table.iterate_after()] == sorted(expected.items())
    for name in {name for name, _ in changes}:
        assert table.get(name) == expected.get(name)
        assert [row.name for row in table.iterate_after(name)] == sorted(
            other for other in expected if other > name
        )


def test_blocks_split_for_any_insertion_order_and_empty_blocks_are_removed() -> None:
    names = [f"tenant-{number:05d}" for number in range(5 * BLOCK_RESOURCES_MAX)]
    shuffled = sorted(names, key=lambda name: name[::-1])
    for order in (names, names[::-1], shuffled):
        table = ResourceTable()
        for number, name in enumerate(order):
            table.put(name, stored_resource(number))
        assert [row.name for row in table.iterate_after()] == names
        assert all(table.get(name) is not None for name in names)
        assert all(table.delete(name) for name in shuffled)
        assert len(table) == 0 and list(table.iterate_after()) == [] and table.get(names[0]) is None
        table.put("again", stored_resource(1))
        assert [row.name for row in table.iterate_after()] == ["again"]


def test_names_that_contain_each_other_are_distinguished() -> None:
    table = ResourceTable()
    for number, name in enumerate(("ab", "b", "abc", "bc")):
        table.put(name, stored_resource(number))
    assert table.get("a") is None and table.get("c") is None
    assert not table.delete("bcd")
    assert [row.name for row in table.iterate_after()] == ["ab", "abc", "b", "bc"]


def test_names_added_in_order_fill_their_blocks() -> None:
    """A snapshot lists resources in the order of names; blocks that are half full would double the cost per
    resource."""
    table = ResourceTable()
    for number in range(4 * BLOCK_RESOURCES_MAX):
        table.put(f"{number:06d}", stored_resource(number))
    assert len(table._blocks) == 4


def test_equal_contents_share_one_object() -> None:
    table = ResourceTable()
    for number in range(10):
        table.put(f"{number}", stored_resource(number, bytes(LONG_CONTENT)))
    assert len({id(row.stored.packed) for row in table.iterate_after()}) == 1


def test_changes_during_iteration_neither_repeat_nor_skip_other_names() -> None:
    table = ResourceTable()
    names = [f"{number:04d}" for number in range(3 * BLOCK_RESOURCES_MAX)]
    for name in names:
        table.put(name, stored_resource(1))
    seen = []
    for row in table.iterate_after():
        seen.append(row.name)
        if "-new" not in row.name:
            table.put(f"{row.name}-new", stored_resource(2))
            table.delete(row.name)
    assert [name for name in seen if "-new" not in name] == names
    assert len(set(seen)) == len(seen)
