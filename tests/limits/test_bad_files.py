"""Invalid service files: each file in `bad` is rejected for the reason that its first line names."""

from __future__ import annotations

from pathlib import Path

import pytest
from platform_of_tests import PLATFORM

from driftstair.limits.validation import find_problems
from driftstair.service.load import Problem, ServiceError, parse

BAD_FILES = sorted((Path(__file__).parent / "bad").glob("*.toml"))


def problems(text: str) -> list[Problem]:
    try:
        return [one for one in find_problems(parse(text, "f"), PLATFORM) if not one.warning]
    except ServiceError as problem:
        return problem.problems


def test_there_are_at_least_30_bad_files() -> None:
    assert len(BAD_FILES) >= 30


@pytest.mark.parametrize("path", BAD_FILES, ids=lambda path: path.stem)
def test_each_bad_file_is_rejected_for_its_expected_reason(path: Path) -> None:
    first, _, _ = path.read_text().partition("\n")
    expected = first.removeprefix("# expect: ")
    found = [str(one) for one in problems(path.read_text())]
    assert any(one.startswith(f"f:{expected}") for one in found), "\n".join(found) or "nothing was found"


def test_all_problems_of_a_file_are_reported_together() -> None:
    text = (
        'version = 1\n[[route]]\nname = "a"\nmatch = { class = "page" }\ntimeout = { total = "3s" }\n'
        'copy = { after = "2s" }\n[[route]]\nname = "b"\nmatch = { class = "order" }\n'
        'retry = { attempts = 9, on = ["timeout"] }\ncopy = { at = 0.9 }\nadmit = { in_flight = 9999 }\n'
    )
    assert {(one.line, one.key) for one in problems(text)} == {
        (5, "route[0].timeout.total"), (6, "route[0].copy.after"), (10, "route[1].retry.attempts"),
        (10, "route[1].retry.on"), (11, "route[1].copy"), (12, "route[1].admit.in_flight"),
    }  # fmt: skip


def test_ties_between_templates_are_found_after_an_unrelated_template() -> None:
    """Guards against comparing templates of a length only with the first, which overlaps neither here."""

    def text(*paths: str) -> str:
        routes = (
            f'[[route]]\nname = "r{index}"\nmatch = {{ path = "{path}" }}\n'
            for index, path in enumerate(paths)
        )
        return "version = 1\n" + "".join(routes)

    for pair in (("/a/{x}", "/a/{y}"), ("/a/{x}", "/{y}/b")):
        assert [one.key for one in problems(text(*pair))] == ["route[1].match"]
        assert [one.key for one in problems(text("/c/{x}", *pair))] == ["route[2].match"]
    assert problems(text("/c/{x}", "/a/{x}", "/b/{y}")) == []


def test_a_proposed_value_is_accepted() -> None:
    """The value proposed in `instead` passes validation."""

    def text(total: str) -> str:
        head = 'version = 1\n[[route]]\nname = "a"\nmatch = { class = "page" }\n'
        return f'{head}timeout = {{ total = "{total}" }}\n'

    (one,) = problems(text("3s"))
    assert one.instead == '"995ms" at most'
    assert problems(text("995ms")) == []


def test_warnings_are_not_errors() -> None:
    text = 'version = 1\n[[route]]\nname = "a"\nmatch = { class = "page" }\ntimeout = { total = "900ms" }\n'
    found = find_problems(parse(text, "f"), PLATFORM)
    assert [one.warning for one in found] == [True]
    assert "beyond the wanted time of page" in found[0].why


def test_without_a_platform_only_the_file_itself_is_validated() -> None:
    text = 'version = 1\n[[route]]\nname = "a"\nmatch = { class = "anything" }\nretry = { attempts = 9 }\n'
    assert find_problems(parse(text, "f"), None) == []
    assert problems(text)


def test_the_line_of_a_key_is_found_in_every_toml_notation() -> None:
    text = (
        "version = 1 # first\n"
        "fleet.client_tries = 2\n"
        "\n[[route]] # one\n"
        'name = """\nnot = a key\n"""\n'
        "[[route]]\n"
        "match.path = '/x'\n"
        "[route.retry.budget]\n"
        '"share" = 0.1\n'
        "[ route . admit ]\n"
        "in_flight=3\n"
    )
    from driftstair.service.toml_lines import key_lines, line_of

    lines = key_lines(text)
    assert lines[("fleet", "client_tries")] == 2
    assert lines[("route", 0)] == 4 and lines[("route", 1)] == 8
    assert ("route", 0, "not") not in lines
    assert lines[("route", 1, "match", "path")] == 9
    assert lines[("route", 1, "retry", "budget", "share")] == 11
    assert lines[("route", 1, "admit", "in_flight")] == 13
    assert line_of(lines, ("route", 1, "admit", "rate", "per_s")) == 12  # its parent table's line
