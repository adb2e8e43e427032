"""The index finds the most specific matching route without scanning all routes."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.limits.routes import PathPattern, Pattern, RouteQuery, Routes
from driftstair.service.schema import Match


def query(
    kind: str = "page", tenant: str = "acme", method: str = "GET", path: str = "/api", key: str = "video-7",
    **fields: str,
) -> RouteQuery:  # fmt: skip
    return RouteQuery(
        kind, tenant, method, path, {k.replace("_", "-").encode(): v.encode() for k, v in fields.items()}, key
    )


def find(*matches: dict[str, object], **request: str) -> int | None:
    return Routes(Pattern.of(Match.model_validate(one)) for one in matches).find(query(**request))


@pytest.mark.parametrize(
    ("less_specific", "more_specific"),
    [
        ({}, {"method": "GET"}),
        ({"method": "GET"}, {"tenant": "acme"}),
        ({"tenant": "acme", "method": "GET"}, {"class": "page"}),
        ({"class": "page", "tenant": "acme"}, {"key": "v"}),
        ({"key": "v"}, {"key": "video"}),
        ({"key": "video-7"}, {"header": {"x-app": "tv"}}),
        ({"header": {"x-app": "tv"}, "key": "video"}, {"path": "/*"}),
        ({"path": "/*"}, {"path": "/api*"}),
        ({"path": "/api*"}, {"path": "/{any}"}),
        ({"path": "/{any}", "class": "page"}, {"path": "/api"}),
    ],
)
def test_the_more_specific_route_wins(
    less_specific: dict[str, object], more_specific: dict[str, object]
) -> None:
    assert find(less_specific, more_specific, x_app="tv") == 1
    assert find(more_specific, less_specific, x_app="tv") == 0


def test_a_route_matches_only_if_all_named_fields_match() -> None:
    assert find({"class": "order"}) is None
    assert find({"class": ["order", "page"]}) == 0
    assert find({"tenant": "other"}) is None
    assert find({"method": "POST"}) is None
    assert find({"key": "audio"}) is None
    assert find({"header": {"x-app": "tv"}}) is None
    assert find({"header": {"X-App": "tv"}}, x_app="tv") == 0
    assert find({"header": {"x-app": "tv"}}, x_app="phone") is None
    assert find({"header": {"x-app": "*"}}, x_app="phone") == 0


def test_templates_match_by_part_and_more_fixed_parts_win() -> None:
    routes: tuple[dict[str, object], ...] = (
        {"path": "/tracks/{id}/{lang}"}, {"path": "/tracks/{id}/en"}, {"path": "/tracks/7/en"},
    )  # fmt: skip
    assert find(*routes, path="/tracks/7/fr") == 0
    assert find(*routes, path="/tracks/8/en") == 1
    assert find(*routes, path="/tracks/7/en") == 2
    assert find(*routes, path="/tracks/7") is None
    assert find(*routes, path="/tracks/7/en/x") is None


def test_between_templates_with_equally_many_fixed_parts_the_other_fields_decide() -> None:
    """Guards against taking the first template found in the tree although another one is more specific."""
    less_specific: dict[str, object] = {"path": "/tracks/{id}"}
    more_specific: dict[str, object] = {"path": "/{kind}/7", "header": {"x-app": "tv"}}
    assert find(less_specific, more_specific, path="/tracks/7", x_app="tv") == 1
    assert find(more_specific, less_specific, path="/tracks/7", x_app="tv") == 0
    assert find(less_specific, more_specific, path="/tracks/7") == 0


def test_paths_named_by_routes_are_served() -> None:
    routes = Routes([Pattern.of(Match(path="/tracks/*")), Pattern.of(Match())])
    assert routes.serves("/tracks/7") and not routes.serves("/other")


sampled = st.sampled_from
MATCHES = st.builds(
    dict,
    **{
        "class": st.none() | sampled(["page", "order"]),
        "tenant": st.none() | sampled(["acme", "series"]),
        "method": st.none() | sampled(["GET", "POST"]),
        "path": st.none() | sampled(["/api", "/a*", "/api*", "/{x}", "/{x}/b", "/a/{y}", "/a/b"]),
        "key": st.none() | sampled(["v", "video", "a"]),
        "header": sampled([{}, {"x-app": "tv"}, {"x-app": "*"}, {"x-app": "tv", "x-room": "a"}]),
    },
)
REQUESTS = st.builds(
    query, sampled(["page", "order", "cart"]), sampled(["acme", "series", ""]), sampled(["GET", "POST"]),
    sampled(["/api", "/a", "/a/b", "/apix", "/x/b", "/a/c", "/q/r/s"]), sampled(["video-7", "audio", ""]),
)  # fmt: skip


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.lists(MATCHES, max_size=12),
    REQUESTS,
    st.dictionaries(sampled(["x-app", "x-room"]), sampled(["tv", "a"])),
)
def test_the_index_agrees_with_a_scan_of_all_routes(
    matches: list[dict[str, object]], request: RouteQuery, fields: dict[str, str]
) -> None:
    patterns = [Pattern.of(Match.model_validate(one)) for one in matches]
    request = request._replace(fields={k.encode(): v.encode() for k, v in fields.items()})
    best = max((one.rank() for one in patterns if one.matches(request)), default=None)
    found = Routes(patterns).find(request)
    assert (None if found is None else patterns[found].rank()) == best
    assert found is None or patterns[found].matches(request)


PATHS = ["/a/b", "/a/*", "/a/b*", "/{x}/b", "/a/{y}", "/{x}/{y}", "/*", "/a", "/{x}", "/c/{y}"]


@pytest.mark.parametrize("one", PATHS)
@pytest.mark.parametrize("other", PATHS)
def test_covers_and_overlaps_agree_with_sample_paths(one: str, other: str) -> None:
    first, second = PathPattern.parse(one), PathPattern.parse(other)
    sample_paths = ["/a", "/a/", "/b", "/a/b", "/a/c", "/c/b", "/c/d", "/a/b/c", "/a/bx", "/c", "/"]
    both = [path for path in sample_paths if first.matches(path) and second.matches(path)]
    if both:
        assert first.overlaps(second)
    if first.covers(second):
        assert all(first.matches(path) for path in sample_paths if second.matches(path))


def test_the_number_of_look_ups_does_not_grow_with_the_number_of_routes() -> None:
    """Counts look-ups instead of measuring time."""

    class Counting(dict[object, int]):
        look_ups = 0

        def get(self, key: object, default: object = None) -> object:  # type: ignore[override]
            Counting.look_ups += 1
            return super().get(key, default)  # type: ignore[arg-type]

    def look_ups(number: int) -> int:
        routes = Routes(
            Pattern.of(Match.model_validate({"class": "page", "key": f"{index:05d}-"}))
            for index in range(number)
        )
        node = routes._any
        node._buckets = {shape: Counting(bucket) for shape, bucket in node._buckets.items()}
        Counting.look_ups = 0
        assert routes.find(query(key=f"{number - 1:05d}-x")) == number - 1
        return Counting.look_ups

    assert look_ups(10) == look_ups(5000) == 1
