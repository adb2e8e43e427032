"""The most specific route that matches is found, and found without a look at all of them."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.limits.routes import PathPattern, Pattern, RouteQuery, Routes
from driftstair.service.schema import Match


def asked(
    kind: str = "page", tenant: str = "acme", method: str = "GET", path: str = "/api", key: str = "video-7",
    **fields: str,
) -> RouteQuery:  # fmt: skip
    return RouteQuery(
        kind, tenant, method, path, {k.replace("_", "-").encode(): v.encode() for k, v in fields.items()}, key
    )


def find(*matches: dict[str, object], **request: str) -> int | None:
    return Routes(Pattern.of(Match.model_validate(one)) for one in matches).find(asked(**request))


@pytest.mark.parametrize(
    ("less", "more"),
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
def test_the_stated_order(less: dict[str, object], more: dict[str, object]) -> None:
    assert find(less, more, x_app="tv") == 1
    assert find(more, less, x_app="tv") == 0


def test_what_a_route_names_must_hold() -> None:
    assert find({"class": "order"}) is None
    assert find({"class": ["order", "page"]}) == 0
    assert find({"tenant": "other"}) is None
    assert find({"method": "POST"}) is None
    assert find({"key": "audio"}) is None
    assert find({"header": {"x-app": "tv"}}) is None
    assert find({"header": {"X-App": "tv"}}, x_app="tv") == 0
    assert find({"header": {"x-app": "tv"}}, x_app="phone") is None
    assert find({"header": {"x-app": "*"}}, x_app="phone") == 0


def test_templates_match_part_by_part_and_the_fixed_parts_win() -> None:
    routes: tuple[dict[str, object], ...] = (
        {"path": "/tracks/{id}/{lang}"}, {"path": "/tracks/{id}/en"}, {"path": "/tracks/7/en"},
    )  # fmt: skip
    assert find(*routes, path="/tracks/7/fr") == 0
    assert find(*routes, path="/tracks/8/en") == 1
    assert find(*routes, path="/tracks/7/en") == 2
    assert find(*routes, path="/tracks/7") is None
    assert find(*routes, path="/tracks/7/en/x") is None


def test_of_templates_with_as_many_fixed_parts_the_rest_of_the_match_decides() -> None:
    """The first that was met in the tree of templates won, whatever else the other one named."""
    less: dict[str, object] = {"path": "/tracks/{id}"}
    more: dict[str, object] = {"path": "/{kind}/7", "header": {"x-app": "tv"}}
    assert find(less, more, path="/tracks/7", x_app="tv") == 1
    assert find(more, less, path="/tracks/7", x_app="tv") == 0
    assert find(less, more, path="/tracks/7") == 0


def test_paths_that_routes_name_are_served() -> None:
    routes = Routes([Pattern.of(Match(path="/tracks/*")), Pattern.of(Match())])
    assert routes.serves("/tracks/7") and not routes.serves("/other")


SOME = st.sampled_from
MATCHES = st.builds(
    dict,
    **{
        "class": st.none() | SOME(["page", "order"]),
        "tenant": st.none() | SOME(["acme", "series"]),
        "method": st.none() | SOME(["GET", "POST"]),
        "path": st.none() | SOME(["/api", "/a*", "/api*", "/{x}", "/{x}/b", "/a/{y}", "/a/b"]),
        "key": st.none() | SOME(["v", "video", "a"]),
        "header": SOME([{}, {"x-app": "tv"}, {"x-app": "*"}, {"x-app": "tv", "x-room": "a"}]),
    },
)
REQUESTS = st.builds(
    asked, SOME(["page", "order", "cart"]), SOME(["acme", "series", ""]), SOME(["GET", "POST"]),
    SOME(["/api", "/a", "/a/b", "/apix", "/x/b", "/a/c", "/q/r/s"]), SOME(["video-7", "audio", ""]),
)  # fmt: skip


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.lists(MATCHES, max_size=12), REQUESTS, st.dictionaries(SOME(["x-app", "x-room"]), SOME(["tv", "a"]))
)
def test_the_index_finds_what_a_look_at_each_route_finds(
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
def test_what_covers_and_what_meets_agrees_with_paths_that_are_tried(one: str, other: str) -> None:
    first, second = PathPattern.parse(one), PathPattern.parse(other)
    tried = ["/a", "/a/", "/b", "/a/b", "/a/c", "/c/b", "/c/d", "/a/b/c", "/a/bx", "/c", "/"]
    both = [path for path in tried if first.matches(path) and second.matches(path)]
    if both:
        assert first.overlaps(second)
    if first.covers(second):
        assert all(first.matches(path) for path in tried if second.matches(path))


def test_the_work_of_a_match_does_not_grow_with_the_routes() -> None:
    """Counted in look-ups, not in time."""

    class Counting(dict[object, int]):
        looks = 0

        def get(self, key: object, default: object = None) -> object:  # type: ignore[override]
            Counting.looks += 1
            return super().get(key, default)  # type: ignore[arg-type]

    def looks(number: int) -> int:
        routes = Routes(
            Pattern.of(Match.model_validate({"class": "page", "key": f"{index:05d}-"}))
            for index in range(number)
        )
        node = routes._any
        node._buckets = {shape: Counting(bucket) for shape, bucket in node._buckets.items()}
        Counting.looks = 0
        assert routes.find(asked(key=f"{number - 1:05d}-x")) == number - 1
        return Counting.looks

    assert looks(10) == looks(5000) == 1
