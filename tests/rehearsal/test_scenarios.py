"""Tests of scenario files: defaults, extension, and the messages for invalid files."""

from __future__ import annotations

from pathlib import Path

import pytest

from driftstair.rehearsal.load import ScenarioError, classes, kinds, load, parse, shipped_scenarios

REQUIRED_SCENARIOS = {
    "calm", "slow-boxes", "dying-node", "lagging-list", "list-outage", "traffic-jump", "everything-slow",
    "rolling-replacement", "football-final", "paid-live-surge-in-outage", "mixed-fleet",
}  # fmt: skip


def test_the_required_scenarios_are_shipped_and_have_a_title() -> None:
    assert set(shipped_scenarios()) >= REQUIRED_SCENARIOS
    for name in shipped_scenarios():
        scenario = load(name)
        assert scenario.name == name and scenario.title


def test_a_short_file_gets_defaults_for_everything_else(tmp_path: Path) -> None:
    path = tmp_path / "mine.toml"
    path.write_text(
        'version = 1\nname = "mine"\nseconds = 12\n[load]\nrate = 100\n'
        '[[fault]]\nkind = "slow-boxes"\nat_s = 3\nboxes = 2\n'
    )
    scenario = load(str(path))
    assert (scenario.name, scenario.load.rate, scenario.faults[0].for_s) == ("mine", 100, 10)
    assert [item.name for item in classes(scenario)] == [
        "paid-live",
        "track-fetch",
        "seek-chunk",
        "full-render",
    ]
    assert [item.name for item in kinds(scenario)] == ["fast-six", "plain-six"]


def test_a_file_extends_a_shipped_scenario_table_by_table(tmp_path: Path) -> None:
    path = tmp_path / "mine.toml"
    path.write_text('version = 1\nextends = "slow-boxes"\n[load]\nkeys = 9\n')
    scenario = load(str(path), {"nodes": {"count": 7}})
    base = load("slow-boxes")
    assert scenario.load == base.load.model_copy(update={"keys": 9})
    assert scenario.faults == base.faults
    assert scenario.nodes.count == 7


def with_fault(**keys: object) -> dict[str, object]:
    return {"version": 1, "fault": [{"at_s": 1, **keys}]}


@pytest.mark.parametrize(
    ("tree", "expected"),
    [
        ({}, "f: version: is missing"),
        ({"version": 2}, "f: version: input should be 1, not 2"),
        ({"version": 1, "lod": {}}, "f: lod: no such key (did you mean 'load'?)"),
        ({"version": 1, "load": {"rat": 3}}, "f: load.rat: no such key (did you mean 'rate'?)"),
        ({"version": 1, "load": {"zzz": 3}}, "f: load.zzz: no such key; known here: key_skew, keys, rate"),
        ({"version": 1, "load": {"rate": "3"}}, "f: load.rate: input should be a valid number, not '3'"),
        ({"version": 1, "load": {"rate": 0}}, "f: load.rate: input should be greater than 0, not 0"),
        ({"version": 1, "load": {"rate": True}}, "f: load.rate: input should be a valid number, not True"),
        ({"version": 1, "nodes": {"count": 2.5}}, "f: nodes.count: input should be a valid integer"),
        ({"version": 1, "list": {"notice_s": [3, 1]}},
         "f: list.notice_s: wants 0 <= low <= high, not [3, 1]"),
        ({"version": 1, "list": {"notice_s": "3"}},
         "f: list.notice_s: wants a number, or a pair [low, high]"),
        ({"version": 1, "boxes": {"kind": [{"name": "b", "share": 1, "core": 4}]}},
         "f: boxes.kind[0].core: no such key (did you mean 'cores'?)"),
        ({"version": 1, "boxes": {"kind": [{"name": "b", "share": 1}] * 2}},
         "f: boxes.kind: two are named 'b'"),
        ({"version": 1, "class": [{"name": "a", "share": 1}]}, "f: class[0].work_ms: is missing"),
        ({"version": 1, "class": [{"name": "a", "share": 1, "work_ms": 9, "wanted_ms": 900,
                                   "given_up_ms": 500}]},
         "f: class[0].wanted_ms: 900 is after given_up_ms, 500: nobody would wait for it"),
        ({"version": 1, "phase": [{"name": "a", "at_s": 5}, {"name": "b", "at_s": 5}]},
         "f: phase[1].at_s: 5 is not after the phase before it, 5"),
        ({"version": 1, "phase": [{"name": "a", "at_s": 99}]},
         "f: phase[0].at_s: 99 is not before the end, 30"),
        ({"version": 1, "phase": [{"name": "a", "at_s": 1, "shares": {"paidlive": 2}}]},
         "f: phase[0].shares.paidlive: no such class (did you mean 'paid-live'?)"),
        (with_fault(), "f: fault[0].kind: is missing; there are slow-boxes,"),
        (with_fault(kind="slow-box"),
         "f: fault[0].kind: no such fault: 'slow-box' (did you mean 'slow-boxes'?)"),
        (with_fault(kind="slow-boxes", boxes=1, tmes=2),
         "f: fault[0].tmes: no such key (did you mean 'times'?)"),
        (with_fault(kind="slow-boxes", boxes=13), "f: fault[0].boxes: 13 of 12 boxes can't be chosen"),
        (with_fault(kind="slow-boxes", boxes=["s-99"]),
         "f: fault[0].boxes: no such box: 's-99'; there are s-01 to s-12"),
        (with_fault(kind="slow-boxes", boxes=1.5), "f: fault[0].boxes: wants how many, or a list of names"),
        (with_fault(kind="slow-boxes"), "f: fault[0].boxes: give either boxes (how many, or names) or part"),
        (with_fault(kind="slow-boxes", part=0.1, of_kind="fast"),
         "f: fault[0].of_kind: no such kind of box: 'fast' (did you mean 'fast-six'?)"),
        (with_fault(kind="node-dies", nodes=4), "f: fault[0].nodes: 4 of 3 nodes can't be chosen"),
        (with_fault(kind="node-dies", nodes=["n9"]),
         "f: fault[0].nodes: no such node: 'n9'; there are n0 to n2"),
        (with_fault(kind="surge", of_class="x"), "f: fault[0].of_class: no such class: 'x'"),
        (with_fault(kind="list-outage", at_s=31), "f: fault[0].at_s: 31 is not before the end"),
        (with_fault(kind="list-moves") | {"list": {"mode": "pushed"}}, "f: fault[0].kind: a pushed list"),
    ],
)  # fmt: skip
def test_an_invalid_scenario_gives_one_line_with_file_key_and_reason(
    tree: dict[str, object], expected: str
) -> None:
    with pytest.raises(ScenarioError) as caught:
        parse(tree, "f")
    assert str(caught.value).startswith(expected)
    assert "\n" not in str(caught.value)


def test_unknown_names_missing_files_and_invalid_toml_are_refused(tmp_path: Path) -> None:
    with pytest.raises(ScenarioError, match="clam: no such scenario \\(did you mean 'calm'\\?\\)"):
        load("clam")
    with pytest.raises(ScenarioError, match="can't be read: No such file"):
        load(str(tmp_path / "no.toml"))
    bad = tmp_path / "bad.toml"
    bad.write_text("version = ")
    with pytest.raises(ScenarioError, match="no TOML text"):
        load(str(bad))
    bad.write_text('extends = "clam"')
    with pytest.raises(ScenarioError, match="extends: 'clam' is no shipped scenario"):
        load(str(bad))


def test_a_renamed_table_is_read_by_its_old_name_with_a_warning(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "mine.toml"
    path.write_text('extends = "slow-boxes"\n[[trouble]]\nkind = "list-outage"\nat_s = 1\n')
    scenario = load(str(path))
    assert [with_fault.kind for with_fault in scenario.faults] == ["list-outage"]
    assert "trouble: is named fault now" in caplog.text


def test_both_names_of_a_table_in_one_file_are_refused(tmp_path: Path) -> None:
    path = tmp_path / "mine.toml"
    with_fault = 'kind = "list-outage"\nat_s = 1\n'
    path.write_text(f"version = 1\n[[trouble]]\n{with_fault}[[fault]]\n{with_fault}")
    with pytest.raises(ScenarioError, match="trouble: is named fault now, and the file has both"):
        load(str(path))
