"""The tally counts each request once, under one cause, and changes no decision. Lines of all nodes add up."""

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


class TallyHarness:
    """A balancer wrapped in a tally, and the lines that the tally wrote."""

    def __init__(self, servers: int = 3) -> None:
        self.lines: list[dict[str, Any]] = []
        node_settings = settings()
        self.tally = Tally(Balancer(node_settings, 1), node_settings, SECOND, self.lines.append)
        self.now = START
        self.tally.start(START)
        self.update_list(*(server(number) for number in range(servers)))
        self.last_request = 0

    def update_list(self, *servers: api.Server) -> None:
        self.tally.handle(self.now, api.ServerList(ListKind.FULL, servers))

    def request(self) -> list[api.Action]:
        self.last_request += 1
        return self.tally.handle(
            self.now, api.Request(self.last_request, 9 * SECOND, 0, 0, self.last_request, False)
        )

    def finish(self, send: api.Action, result: Result, after: int, closed: bool) -> list[api.Action]:
        assert isinstance(send, api.Send)
        self.now += after
        event = api.Outcome(send.request, closed, result, after, send.server, 0, ())
        return self.tally.handle(self.now, event)

    def next_line(self) -> dict[str, Any]:
        """Ends the interval and returns its line."""
        self.now += SECOND
        self.tally.handle(self.now, api.Timer(1))
        return self.lines[-1]


def first_class(counts: list[int]) -> int:
    return counts[0]


def test_each_request_is_counted_once_and_under_one_cause() -> None:
    node = TallyHarness()
    (served,) = node.request()
    node.finish(served, Result.OK, 10 * MS, closed=True)
    (late,) = node.request()
    node.finish(late, Result.OK, settings().classes[0].aim + MS, closed=True)
    (gone,) = node.request()
    assert isinstance(gone, api.Send)
    node.tally.handle(node.now, api.ClientGone(gone.request))
    node.finish(gone, Result.CANCELLED, 10 * MS, closed=True)  # already counted: not a second loss
    line = node.next_line()
    assert first_class(line["asked"]) == 3 and first_class(line["in_time"]) == 1 and line["open"] == 0
    assert {cause: first_class(counts) for cause, counts in line["lost"].items()} == {"late": 1, "gone": 1}
    assert sum(line["sent"].values()) == 3


def test_no_known_server_and_refusal_are_separate_causes() -> None:
    node = TallyHarness(servers=0)
    assert isinstance(node.request()[-1], api.Refuse)
    assert node.next_line()["lost"]["no-server"][0] == 1
    node.update_list(server(1))
    while not isinstance(node.request()[-1], api.Refuse):  # until the server's cap is reached
        pass
    line = node.next_line()
    assert line["lost"]["refused"][0] == 1 and "no-server" not in line["lost"] and line["ready"] == 1


def test_failure_at_a_cold_server_is_a_separate_cause() -> None:
    node = TallyHarness(servers=0)
    cold = server(2, started=node.now)
    node.update_list(server(1), cold)
    action = node.request()[-1]
    for number in range(2000):  # the cold server's budget grows with the traffic to the warm one
        assert isinstance(action, api.Send)
        if action.server == cold.id:
            break
        node.finish(action, Result.OK, 5 * MS, closed=True)
        if number % 100 == 99:
            node.tally.handle(node.now, api.Timer(1))  # the end of a window
        action = node.request()[-1]
    assert node.now < START + settings().cold_time
    node.finish(action, Result.RESET, 10 * MS, closed=True)
    assert node.next_line()["lost"] == {"cold": [1, 0, 0]}


def test_tally_changes_no_decision() -> None:
    node_settings = settings()
    plain, tallied = Node(node_settings, servers=5, seed=3), Node(node_settings, servers=5, seed=3)
    tallied.balancer = Tally(tallied.balancer, node_settings, SECOND, lambda line: None)  # type: ignore[assignment]
    for number in range(300):
        expected, actual = plain.request(0, number % 7), tallied.request(0, number % 7)
        assert expected == actual
        if isinstance(expected[-1], api.Send):
            result = Result.OK if number % 5 else Result.TIMEOUT
            assert plain.finish(expected[-1], result, 20 * MS) == tallied.finish(actual[-1], result, 20 * MS)


def write_log(folder: Path, name: str, *lines: object) -> None:
    text = [f"INFO x: tally {line if isinstance(line, str) else json.dumps(line)}" for line in lines]
    (folder / f"{name}.log").write_text("\n".join(["INFO driftstair: serving", *text, ""]))


def tally_line(at_ms: int, **overrides: Any) -> dict[str, Any]:
    return {
        "at_ms": at_ms, "span_ms": 1000, "worth": [12.0, 1.0], "asked": [2, 10], "in_time": [1, 6],
        "lost": {"refused": [0, 4], "timeout": [1, 0]}, "open": 0, "ready": 3, "sent": {"aa": 5, "bb": 3},
        "bad": {"aa": {"timeout": 1}}, "list_calls": 1, "list_failed": 0, **overrides,
    }  # fmt: skip


def test_lines_of_all_nodes_are_summed_by_worth_second_and_server(tmp_path: Path) -> None:
    write_log(tmp_path, "n0", tally_line(1_000_000), tally_line(1_001_000))
    write_log(tmp_path, "n1", tally_line(1_000_300, bad={"aa": {"full": 2}, "bb": {"reset": 1}}))
    totals = losses.summarize(losses.read_logs(tmp_path), max_servers=5)
    assert totals["nodes"] == 2 and totals["asked"] == 3 * 34.0
    assert [(row["cause"], row["requests"]) for row in totals["causes"]] == [("timeout", 3), ("refused", 12)]
    assert totals["causes"][0]["part"] == round(3 * 12 / 102, 4)
    assert totals["causes"][1]["busiest"] == [(0, 8), (1, 4)]
    worst = totals["servers"][0]
    assert (worst["server"], worst["bad"], worst["nodes"], worst["most_in_a_second"]) == ("aa", 4, 2, 10)
    assert totals["list_calls_busiest"] == [(0, 2)]


@pytest.mark.parametrize(
    "line",
    ["{", "{}", "{" * 100_000, '{"at_ms": 1}', '{"at_ms": "x", "span_ms": 1}',
     json.dumps(tally_line(1, sent=7)), json.dumps(tally_line(1, worth=None)),
     json.dumps(tally_line(1, lost={"a": [1]}))],
)  # fmt: skip
def test_an_invalid_tally_line_is_counted_and_skipped(tmp_path: Path, line: str) -> None:
    write_log(tmp_path, "n0", tally_line(1_000_000), line)
    found = losses.read_logs(tmp_path)
    assert found.skipped_lines == 1 and found.nodes == {str(tmp_path / "n0.log")}


def test_folder_without_tally_lines_gives_one_error_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "n0.log").write_text("INFO driftstair: serving\n")
    assert losses.main([str(tmp_path)]) == 1
    assert losses.main([str(tmp_path / "nothing")]) == 2
    errors = capsys.readouterr().err.splitlines()
    assert len(errors) == 2 and "[tally]" in errors[0] and "is no folder" in errors[1]


def test_tally_wraps_only_when_configured_and_rejects_bad_settings() -> None:
    node_settings = settings()
    for text, is_wrapped in (("version = 1", False), ('version = 1\n[tally]\nevery = "2s"', True)):
        module = FileRequestTable(parse(text, "f").service, node_settings).limiting_module(
            Balancer(node_settings, 1), node_settings, lambda: 0
        )
        assert isinstance(module._module, Tally) is is_wrapped
    for text in ('every = "0s"', "every = 1", 'evry = "1s"', ""):
        with pytest.raises(ServiceError, match="tally"):
            parse(f"version = 1\n[tally]\n{text}", "f")
