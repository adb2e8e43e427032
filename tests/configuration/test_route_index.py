"""The packed index of routes finds what `limits.routes` finds, while routes come and go."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.configuration.route_index import RouteIndex
from driftstair.configuration.route_lines import escaped, path_id, path_rank, unescaped
from driftstair.configuration.sorted_lines import BLOCK_LINES, SortedLines
from driftstair.limits.routes import PathPattern, Pattern, RouteQuery, Routes
from driftstair.service.schema import Match

SOME = st.sampled_from
PATHS = [
    "/api", "/a*", "/api*", "/a/*", "/a/b*", "/{x}", "/{y}", "/{x}/b", "/a/{y}", "/{x}/{y}", "/a/b", "/*",
    "/a/{y}/c", "/{x}/b/c", "//{x}", "/a\n/*", "/é",
]  # fmt: skip
MATCHES = st.fixed_dictionaries(
    {},
    optional={
        "class": SOME([["page"], ["order"], ["page", "order"]]),
        "tenant": SOME([["acme"], ["acme", "series"], ["tab\tnew\nline"]]),
        "method": SOME([["GET"], ["POST"], ["GET", "POST"]]),
        "path": SOME(PATHS),
        "key": SOME(["v", "video", "a"]),
        "header": SOME([{"x-app": "tv"}, {"x-app": "*"}, {"x-app": "tv", "x-room": "a\tb"}, {"x-room": "*"}]),
    },
)
REQUESTS = st.builds(
    RouteQuery,
    SOME(["page", "order", "cart"]), SOME(["acme", "series", "", "tab\tnew\nline"]), SOME(["GET", "POST"]),
    SOME(["/api", "/a", "/a/b", "/apix", "/x/b", "/a/c", "/a/x/c", "/q/r/s", "/a\n/x", "/", "", "//b", "/é"]),
    st.dictionaries(SOME([b"x-app", b"x-room"]), SOME([b"tv", b"a\tb", b"\xff\xfe"])),
    SOME(["video-7", "audio", ""]),
)  # fmt: skip


def pattern_of(match: dict[str, Any]) -> Pattern:
    return Pattern.of(Match.model_validate(match))


def best_rank(patterns: list[Pattern], asked: RouteQuery) -> object:
    return max((one.rank() for one in patterns if one.matches(asked)), default=None)


@given(
    st.lists(st.tuples(SOME("abcdefgh"), st.none() | MATCHES), max_size=24), st.lists(REQUESTS, max_size=5)
)
@settings(derandomize=True, deadline=None, max_examples=500)
def test_it_finds_what_the_routes_of_a_file_find(
    changes: list[tuple[str, dict[str, Any] | None]], requests: list[RouteQuery]
) -> None:
    index, routes = RouteIndex(), dict[str, Pattern]()
    for name, match in changes:
        if name in routes:
            index.remove(name, routes.pop(name))
        if match is not None:
            routes[name] = pattern_of(match)
            index.add(name, routes[name])
        for asked in requests:  # in between too: nothing that is kept of answers may grow stale
            found = index.find(asked)
            patterns = list(routes.values())
            assert (found and found.rank) == best_rank(patterns, asked)
            expected = Routes(patterns).find(asked)
            assert (found is None) == (expected is None)
            if found is not None and expected is not None:
                assert routes[found.name].rank() == patterns[expected].rank()
                assert routes[found.name].matches(asked)
            assert index.serves(asked.path) == Routes(patterns).serves(asked.path)
    for name, pattern in routes.items():
        index.remove(name, pattern)
    assert len(index) == 0 and not index._shapes


@given(st.lists(MATCHES, max_size=10), st.sets(SOME("0123456789")), REQUESTS)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_masked_routes_are_passed_over(
    matches: list[dict[str, Any]], masked: set[str], asked: RouteQuery
) -> None:
    index, patterns = RouteIndex(), dict[str, Pattern]()
    taken = set()
    for number, match in enumerate(matches):
        pattern = pattern_of(match)
        entries = {(path_id(pattern.path), pattern.rank(), one) for one in pattern.look_up_keys()}
        if not taken & entries:  # as the proof has it: two routes are never found by the same
            taken |= entries
            patterns[str(number)] = pattern
            index.add(str(number), pattern)
    left = [one for name, one in patterns.items() if name not in masked]
    found = index.find(asked, masked)
    assert (found and found.rank) == best_rank(left, asked)


@given(SOME([path for path in PATHS if "{" in path]), st.lists(SOME(PATHS), unique=True))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_templates_that_meet_are_found(one: str, others: list[str]) -> None:
    index = RouteIndex()
    paths = [PathPattern.parse(path) for path in others]
    for number, path in enumerate(others):
        index.add(str(number), pattern_of({"path": path}))
    template = PathPattern.parse(one)
    found = {path for path in index.templates_that_meet(path_id(template)) if path is not None}
    alike = [path for path in paths if path.shape == 2 and path.rank() == template.rank()]
    assert found == {path_id(path) for path in alike if path.overlaps(template)}


@given(SOME(PATHS))
def test_a_path_id_has_the_rank_of_its_pattern(path: str) -> None:
    pattern = PathPattern.parse(path)
    assert path_rank(path_id(pattern)) == pattern.rank()


@given(st.text(), st.text())
@settings(derandomize=True)
def test_escaped_texts_are_printable_or_marked_and_keep_their_beginnings(one: str, other: str) -> None:
    assert unescaped(escaped(one)) == one
    assert escaped(one + other) == escaped(one) + escaped(other)
    assert not set(escaped(one)) & {"\n", "\t", "\x01", "\x03", "\x04"}


def test_the_work_of_a_look_up_does_not_grow_with_routes_of_other_services() -> None:
    """Counted in look-ups of paths and of lines, not in time."""

    class Counting(dict[Any, Any]):
        looks = 0

        def __contains__(self, key: object) -> bool:
            Counting.looks += 1
            return super().__contains__(key)

    def looks(services: int) -> int:
        index = RouteIndex()
        for service in range(services):
            index.add(f"prefix-{service}", pattern_of({"path": f"/service-{service:04d}/api/*"}))
            index.add(f"exact-{service}", pattern_of({"path": f"/service-{service:04d}/api/version"}))
            index.add(f"template-{service}", pattern_of({"path": f"/service-{service:04d}/items/{{id}}"}))
        index._shapes = Counting(index._shapes)
        Counting.looks = 0
        found = index.find(RouteQuery("page", "", "GET", "/service-0007/items/9", {}, ""))
        assert found is not None and found.name == "template-7"
        return Counting.looks

    assert looks(10) == looks(3_000) <= 4


@given(
    st.lists(st.tuples(st.booleans(), st.text(SOME("ab/c"), max_size=4)), max_size=60), st.text(SOME("ab/c"))
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_sorted_lines_are_a_sorted_set(changes: list[tuple[bool, str]], prefix: str) -> None:
    lines, expected = SortedLines(), set[bytes]()
    for adds, text in changes:
        line = text.encode()
        assert (lines.add(line) if adds else lines.discard(line)) == ((line in expected) is not adds)
        (expected.add if adds else expected.discard)(line)
    check(lines, expected, prefix.encode())


def test_sorted_lines_of_many_blocks() -> None:
    names = [b"%06d" % (number * 7919 % 100_003) for number in range(20 * BLOCK_LINES)]
    lines, expected = SortedLines(), set(names)
    for name in names:
        lines.add(name)
    for name in names[::3]:
        lines.discard(name)
        expected.discard(name)
    for prefix in (b"", b"0", b"05", b"0500", b"099999", b"1", *names[:200]):
        check(lines, expected, prefix)
    for name in sorted(expected):
        assert lines.discard(name)
    assert len(lines) == 0 and lines.first_with(b"") is None


def check(lines: SortedLines, expected: set[bytes], prefix: bytes) -> None:
    beginning = sorted(line for line in expected if line.startswith(prefix))
    assert len(lines) == len(expected)
    assert list(lines.all_with(prefix)) == beginning
    assert lines.first_with(prefix) == (beginning[0] if beginning else None)
    assert lines.first_from(prefix) == min((line for line in expected if line >= prefix), default=None)
