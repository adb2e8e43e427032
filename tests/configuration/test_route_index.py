"""Tests of the packed route index, which has to find the same routes as `limits.routes` while routes are
added and removed."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.configuration.route_index import RouteIndex
from driftstair.configuration.route_lines import escape, path_id, path_rank, unescape
from driftstair.configuration.sorted_lines import BLOCK_LINES_MAX, SortedLines
from driftstair.limits.routes import PathPattern, Pattern, RouteQuery, Routes
from driftstair.service.schema import Match

sampled_from = st.sampled_from
PATHS = [
    "/api", "/a*", "/api*", "/a/*", "/a/b*", "/{x}", "/{y}", "/{x}/b", "/a/{y}", "/{x}/{y}", "/a/b", "/*",
    "/a/{y}/c", "/{x}/b/c", "//{x}", "/a\n/*", "/é",
]  # fmt: skip
MATCHES = st.fixed_dictionaries(
    {},
    optional={
        "class": sampled_from([["page"], ["order"], ["page", "order"]]),
        "tenant": sampled_from([["acme"], ["acme", "series"], ["tab\tnew\nline"]]),
        "method": sampled_from([["GET"], ["POST"], ["GET", "POST"]]),
        "path": sampled_from(PATHS),
        "key": sampled_from(["v", "video", "a"]),
        "header": sampled_from(
            [{"x-app": "tv"}, {"x-app": "*"}, {"x-app": "tv", "x-room": "a\tb"}, {"x-room": "*"}]
        ),
    },
)
REQUESTS = st.builds(
    RouteQuery,
    sampled_from(["page", "order", "cart"]), sampled_from(["acme", "series", "", "tab\tnew\nline"]),
    sampled_from(["GET", "POST"]),
    sampled_from(
        ["/api", "/a", "/a/b", "/apix", "/x/b", "/a/c", "/a/x/c", "/q/r/s", "/a\n/x", "/", "", "//b", "/é"]
    ),
    st.dictionaries(sampled_from([b"x-app", b"x-room"]), sampled_from([b"tv", b"a\tb", b"\xff\xfe"])),
    sampled_from(["video-7", "audio", ""]),
)  # fmt: skip


def parse_pattern(match: dict[str, Any]) -> Pattern:
    return Pattern.of(Match.model_validate(match))


def best_rank(patterns: list[Pattern], query: RouteQuery) -> object:
    return max((pattern.rank() for pattern in patterns if pattern.matches(query)), default=None)


@given(
    st.lists(st.tuples(sampled_from("abcdefgh"), st.none() | MATCHES), max_size=24),
    st.lists(REQUESTS, max_size=5),
)
@settings(derandomize=True, deadline=None, max_examples=500)
def test_the_index_finds_the_same_routes_as_the_index_of_a_file(
    changes: list[tuple[str, dict[str, Any] | None]], requests: list[RouteQuery]
) -> None:
    index, routes = RouteIndex(), dict[str, Pattern]()
    for name, match in changes:
        if name in routes:
            index.remove(name, routes.pop(name))
        if match is not None:
            routes[name] = parse_pattern(match)
            index.add(name, routes[name])
        # After each change, because cached answers must not become stale.
        for query in requests:
            match_found = index.find(query)
            patterns = list(routes.values())
            assert (match_found and match_found.rank) == best_rank(patterns, query)
            expected = Routes(patterns).find(query)
            assert (match_found is None) == (expected is None)
            if match_found is not None and expected is not None:
                assert routes[match_found.name].rank() == patterns[expected].rank()
                assert routes[match_found.name].matches(query)
            assert index.serves(query.path) == Routes(patterns).serves(query.path)
    for name, pattern in routes.items():
        index.remove(name, pattern)
    assert len(index) == 0 and not index._shapes


@given(st.lists(MATCHES, max_size=10), st.sets(sampled_from("0123456789")), REQUESTS)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_excluded_routes_are_ignored(
    matches: list[dict[str, Any]], excluded: set[str], query: RouteQuery
) -> None:
    index, patterns = RouteIndex(), dict[str, Pattern]()
    taken_entries = set()
    for number, match in enumerate(matches):
        pattern = parse_pattern(match)
        entries = {(path_id(pattern.path), pattern.rank(), candidate) for candidate in pattern.look_up_keys()}
        # Validation ensures that no two routes have the same entry.
        if not taken_entries & entries:
            taken_entries |= entries
            patterns[str(number)] = pattern
            index.add(str(number), pattern)
    remaining_patterns = [candidate for name, candidate in patterns.items() if name not in excluded]
    match_found = index.find(query, excluded)
    assert (match_found and match_found.rank) == best_rank(remaining_patterns, query)


@given(sampled_from([path for path in PATHS if "{" in path]), st.lists(sampled_from(PATHS), unique=True))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_overlapping_templates_are_found(template_path: str, other_paths: list[str]) -> None:
    index = RouteIndex()
    paths = [PathPattern.parse(path) for path in other_paths]
    for number, path in enumerate(other_paths):
        index.add(str(number), parse_pattern({"path": path}))
    template = PathPattern.parse(template_path)
    overlapping = {path for path in index.overlapping_templates(path_id(template)) if path is not None}
    templates_of_equal_rank = [path for path in paths if path.shape == 2 and path.rank() == template.rank()]
    assert overlapping == {path_id(path) for path in templates_of_equal_rank if path.overlaps(template)}


@given(sampled_from(PATHS))
def test_a_path_id_has_the_rank_of_its_pattern(path: str) -> None:
    pattern = PathPattern.parse(path)
    assert path_rank(path_id(pattern)) == pattern.rank()


@given(st.text(), st.text())
@settings(derandomize=True)
def test_escaping_is_reversible_and_preserves_prefixes(text: str, suffix: str) -> None:
    assert unescape(escape(text)) == text
    assert escape(text + suffix) == escape(text) + escape(suffix)
    assert not set(escape(text)) & {"\n", "\t", "\x01", "\x03", "\x04"}


def test_the_cost_of_a_look_up_does_not_grow_with_the_routes_of_other_services() -> None:
    """Counts look-ups of paths instead of measuring time."""

    class CountingDict(dict[Any, Any]):
        look_ups = 0

        def __contains__(self, key: object) -> bool:
            CountingDict.look_ups += 1
            return super().__contains__(key)

    def count_look_ups(services: int) -> int:
        index = RouteIndex()
        for service in range(services):
            index.add(f"prefix-{service}", parse_pattern({"path": f"/service-{service:04d}/api/*"}))
            index.add(f"exact-{service}", parse_pattern({"path": f"/service-{service:04d}/api/version"}))
            index.add(f"template-{service}", parse_pattern({"path": f"/service-{service:04d}/items/{{id}}"}))
        index._shapes = CountingDict(index._shapes)
        CountingDict.look_ups = 0
        match_found = index.find(RouteQuery("page", "", "GET", "/service-0007/items/9", {}, ""))
        assert match_found is not None and match_found.name == "template-7"
        return CountingDict.look_ups

    assert count_look_ups(10) == count_look_ups(3_000) <= 4


@given(
    st.lists(st.tuples(st.booleans(), st.text(sampled_from("ab/c"), max_size=4)), max_size=60),
    st.text(sampled_from("ab/c")),
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_sorted_lines_behave_like_a_sorted_set(changes: list[tuple[bool, str]], prefix: str) -> None:
    lines, expected = SortedLines(), set[bytes]()
    for is_added, text in changes:
        line = text.encode()
        assert (lines.add(line) if is_added else lines.discard(line)) == ((line in expected) is not is_added)
        (expected.add if is_added else expected.discard)(line)
    assert_equals_sorted_set(lines, expected, prefix.encode())


def test_sorted_lines_with_many_blocks() -> None:
    names = [b"%06d" % (number * 7919 % 100_003) for number in range(20 * BLOCK_LINES_MAX)]
    lines, expected = SortedLines(), set(names)
    for name in names:
        lines.add(name)
    for name in names[::3]:
        lines.discard(name)
        expected.discard(name)
    for prefix in (b"", b"0", b"05", b"0500", b"099999", b"1", *names[:200]):
        assert_equals_sorted_set(lines, expected, prefix)
    for name in sorted(expected):
        assert lines.discard(name)
    assert len(lines) == 0 and lines.first_with_prefix(b"") is None


def assert_equals_sorted_set(lines: SortedLines, expected: set[bytes], prefix: bytes) -> None:
    lines_with_prefix = sorted(line for line in expected if line.startswith(prefix))
    assert len(lines) == len(expected)
    assert list(lines.all_with_prefix(prefix)) == lines_with_prefix
    assert lines.first_with_prefix(prefix) == (lines_with_prefix[0] if lines_with_prefix else None)
    assert lines.first_at_or_after(prefix) == min((line for line in expected if line >= prefix), default=None)
