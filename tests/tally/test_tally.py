"""The tally counts each request once, to one cause, and changes no decision. Its lines add up over nodes."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import pytest
from world import MS, SECOND, START, Node, server, settings

from driftstair.limits.request_table import FileRequestTable
from driftstair.service.load import ServiceError, parse
from driftstair.tally.tally import Tally
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.interface import ListKind, Result

sys.path.append(str(Path(__file__).parents[2] / "benchmarks"))
import losses


class Counted:
    """A balancer behind a tally, and its lines."""

    def __init__(self, servers: int = 3) -> None:
        self.lines: list[dict[str, Any]] = []
        rules = settings()
        self.tally = Tally(Balancer(rules, 1), rules, SECOND, self.lines.append)
        self.now = START
        self.tally.start(START)
        self.list(*(server(one) for one in range(servers)))
        self.number = 0

    def list(self, *servers: api.Server) -> None:
        self.tally.handle(self.now, api.ServerList(ListKind.FULL, servers))

    def ask(self) -> list[api.Action]:
        self.number += 1
        return self.tally.handle(self.now, api.Request(self.number, 9 * SECOND, 0, 0, self.number, False))

    def end(self, send: api.Action, result: Result, after: int, closed: bool) -> list[api.Action]:
        assert isinstance(send, api.Send)
        self.now += after
        event = api.Outcome(send.request, closed, result, after, send.server, 0, ())
        return self.tally.handle(self.now, event)

    def line(self) -> dict[str, Any]:
        """What was counted until now."""
        self.now += SECOND
        self.tally.handle(self.now, api.Timer(1))
        return self.lines[-1]


def first(counts: list[int]) -> int:
    return counts[0]


def test_each_request_is_booked_once_and_to_one_cause() -> None:
    node = Counted()
    (served,) = node.ask()
    node.end(served, Result.OK, 10 * MS, closed=True)
    (late,) = node.ask()
    node.end(late, Result.OK, settings().classes[0].aim + MS, closed=True)
    (gone,) = node.ask()
    assert isinstance(gone, api.Send)
    node.tally.handle(node.now, api.ClientGone(gone.request))
    node.end(gone, Result.CANCELLED, 10 * MS, closed=True)  # over already: not a second loss
    line = node.line()
    assert first(line["asked"]) == 3 and first(line["in_time"]) == 1 and line["open"] == 0
    assert {cause: first(counts) for cause, counts in line["lost"].items()} == {"late": 1, "gone": 1}
    assert sum(line["sent"].values()) == 3


def test_who_knows_no_server_and_who_refuses_are_two_causes() -> None:
    node = Counted(servers=0)
    assert isinstance(node.ask()[-1], api.Refuse)
    assert node.line()["lost"]["no-server"][0] == 1
    node.list(server(1))
    while not isinstance(node.ask()[-1], api.Refuse):  # until its cap is full
        pass
    line = node.line()
    assert line["lost"]["refused"][0] == 1 and "no-server" not in line["lost"] and line["ready"] == 1


def test_a_cold_server_is_a_cause_of_its_own() -> None:
    node = Counted(servers=0)
    cold = server(2, started=node.now)
    node.list(server(1), cold)
    action = node.ask()[-1]
    for number in range(2000):  # its budget follows what the warm one is sent
        assert isinstance(action, api.Send)
        if action.server == cold.id:
            break
        node.end(action, Result.OK, 5 * MS, closed=True)
        if number % 100 == 99:
            node.tally.handle(node.now, api.Timer(1))  # the end of a window
        action = node.ask()[-1]
    assert node.now < START + settings().cold_time
    node.end(action, Result.RESET, 10 * MS, closed=True)
    assert node.line()["lost"] == {"cold": [1, 0, 0]}


def test_it_changes_no_decision() -> None:
    rules = settings()
    plain, counted = Node(rules, servers=5, seed=3), Node(rules, servers=5, seed=3)
    counted.balancer = Tally(counted.balancer, rules, SECOND, lambda line: None)  # type: ignore[assignment]
    for number in range(300):
        one, other = plain.request(0, number % 7), counted.request(0, number % 7)
        assert one == other
        if isinstance(one[-1], api.Send):
            result = Result.OK if number % 5 else Result.TIMEOUT
            assert plain.finish(one[-1], result, 20 * MS) == counted.finish(other[-1], result, 20 * MS)


def log_of(folder: Path, name: str, *lines: object) -> None:
    text = [f"INFO x: tally {one if isinstance(one, str) else json.dumps(one)}" for one in lines]
    (folder / f"{name}.log").write_text("\n".join(["INFO driftstair: serving", *text, ""]))


def some(at: int, **more: Any) -> dict[str, Any]:
    return {
        "at_ms": at, "span_ms": 1000, "worth": [12.0, 1.0], "asked": [2, 10], "in_time": [1, 6],
        "lost": {"refused": [0, 4], "timeout": [1, 0]}, "open": 0, "ready": 3, "sent": {"aa": 5, "bb": 3},
        "bad": {"aa": {"timeout": 1}}, "list_calls": 1, "list_failed": 0, **more,
    }  # fmt: skip


def test_lines_of_all_nodes_add_up_by_worth_second_and_server(tmp_path: Path) -> None:
    log_of(tmp_path, "n0", some(1_000_000), some(1_001_000))
    log_of(tmp_path, "n1", some(1_000_300, bad={"aa": {"full": 2}, "bb": {"reset": 1}}))
    found = losses.table(losses.read(tmp_path), most=5)
    assert found["nodes"] == 2 and found["asked"] == 3 * 34.0
    assert [(one["cause"], one["requests"]) for one in found["causes"]] == [("timeout", 3), ("refused", 12)]
    assert found["causes"][0]["part"] == round(3 * 12 / 102, 4)
    assert found["causes"][1]["busiest"] == [(0, 8), (1, 4)]
    worst = found["servers"][0]
    assert (worst["server"], worst["bad"], worst["nodes"], worst["most_in_a_second"]) == ("aa", 4, 2, 10)
    assert found["list_calls_busiest"] == [(0, 2)]


@pytest.mark.parametrize(
    "line",
    ["{", "{}", "{" * 100_000, '{"at_ms": 1}', '{"at_ms": "x", "span_ms": 1}', json.dumps(some(1, sent=7)),
     json.dumps(some(1, worth=None)), json.dumps(some(1, lost={"a": [1]}))],
)  # fmt: skip
def test_a_line_that_is_no_tally_is_counted_and_passed_over(tmp_path: Path, line: str) -> None:
    log_of(tmp_path, "n0", some(1_000_000), line)
    found = losses.read(tmp_path)
    assert found.skipped == 1 and found.nodes == {str(tmp_path / "n0.log")}


def test_what_holds_no_tally_is_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "n0.log").write_text("INFO driftstair: serving\n")
    assert losses.main([str(tmp_path)]) == 1
    assert losses.main([str(tmp_path / "nothing")]) == 2
    said = capsys.readouterr().err.splitlines()
    assert len(said) == 2 and "[tally]" in said[0] and "is no folder" in said[1]


def test_off_it_is_not_there_and_bad_figures_are_refused() -> None:
    rules = settings()
    for text, wrapped in (("version = 1", False), ('version = 1\n[tally]\nevery = "2s"', True)):
        module = FileRequestTable(parse(text, "f").service, rules).limiting_module(
            Balancer(rules, 1), rules, lambda: 0
        )
        assert isinstance(module._module, Tally) is wrapped
    for text in ('every = "0s"', "every = 1", 'evry = "1s"', ""):
        with pytest.raises(ServiceError, match="tally"):
            parse(f"version = 1\n[tally]\n{text}", "f")
