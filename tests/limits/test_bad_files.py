"""A folder of deliberately bad files: each is refused, for the reason that its first line tells."""

from __future__ import annotations

from pathlib import Path

import pytest
from platform_of_tests import PLATFORM

from driftstair.limits.validation import find_problems
from driftstair.service.load import Problem, ServiceError, parse

BAD = sorted((Path(__file__).parent / "bad").glob("*.toml"))


def problems(text: str) -> list[Problem]:
    try:
        return [one for one in find_problems(parse(text, "f"), PLATFORM) if not one.warning]
    except ServiceError as problem:
        return problem.problems


def test_there_are_enough_of_them() -> None:
    assert len(BAD) >= 30


@pytest.mark.parametrize("path", BAD, ids=lambda path: path.stem)
def test_a_bad_file_is_refused_for_its_reason(path: Path) -> None:
    first, _, _ = path.read_text().partition("\n")
    expected = first.removeprefix("# expect: ")
    found = [str(one) for one in problems(path.read_text())]
    assert any(one.startswith(f"f:{expected}") for one in found), "\n".join(found) or "nothing was found"


def test_all_problems_of_a_file_are_told_in_one_run() -> None:
    text = (
        'version = 1\n[[route]]\nname = "a"\nmatch = { class = "page" }\ntimeout = { total = "3s" }\n'
        'copy = { after = "2s" }\n[[route]]\nname = "b"\nmatch = { class = "order" }\n'
        'retry = { attempts = 9, on = ["timeout"] }\ncopy = { at = 0.9 }\nadmit = { in_flight = 9999 }\n'
    )
    assert {(one.line, one.key) for one in problems(text)} == {
        (5, "route[0].timeout.total"), (6, "route[0].copy.after"), (10, "route[1].retry.attempts"),
        (10, "route[1].retry.on"), (11, "route[1].copy"), (12, "route[1].admit.in_flight"),
    }  # fmt: skip


def test_templates_tie_whatever_other_template_stands_before_them() -> None:
    """Only the first template of a length was compared with the later ones: here with neither of the two."""

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


def test_a_value_that_would_do_does() -> None:
    """What the checker proposes is itself accepted."""

    def text(total: str) -> str:
        head = 'version = 1\n[[route]]\nname = "a"\nmatch = { class = "page" }\n'
        return f'{head}timeout = {{ total = "{total}" }}\n'

    (one,) = problems(text("3s"))
    assert one.instead == '"995ms" at most'
    assert problems(text("995ms")) == []


def test_warnings_are_no_errors() -> None:
    text = 'version = 1\n[[route]]\nname = "a"\nmatch = { class = "page" }\ntimeout = { total = "900ms" }\n'
    found = find_problems(parse(text, "f"), PLATFORM)
    assert [one.warning for one in found] == [True]
    assert "beyond the wanted time of page" in found[0].why


def test_without_a_platform_only_what_the_file_says_of_itself_is_judged() -> None:
    text = 'version = 1\n[[route]]\nname = "a"\nmatch = { class = "anything" }\nretry = { attempts = 9 }\n'
    assert find_problems(parse(text, "f"), None) == []
    assert problems(text)


def test_the_line_of_a_key_in_every_form_of_toml() -> None:
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

    where = key_lines(text)
    assert where[("fleet", "client_tries")] == 2
    assert where[("route", 0)] == 4 and where[("route", 1)] == 8
    assert ("route", 0, "not") not in where
    assert where[("route", 1, "match", "path")] == 9
    assert where[("route", 1, "retry", "budget", "share")] == 11
    assert where[("route", 1, "admit", "in_flight")] == 13
    assert line_of(where, ("route", 1, "admit", "rate", "per_s")) == 12  # of what would hold it
