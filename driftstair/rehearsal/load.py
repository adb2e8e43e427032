"""Reads and validates scenario files. Errors name the file, the key and the reason."""

from __future__ import annotations

import logging
import tomllib
from difflib import get_close_matches
from functools import reduce
from importlib.resources import files
from pathlib import Path
from typing import Any, get_args

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from driftstair.files import FileError, parse_text, read_text
from driftstair.rehearsal import scenario as model
from driftstair.rehearsal.scenario import Scenario

log = logging.getLogger(__name__)

EXTENDS_DEPTH_MAX = 8  # of scenarios that extend one another
RENAMED_KEYS = {
    "trouble": "fault"
}  # keys of version 0.1 and their new names; the old ones are read until 0.3


class ScenarioError(Exception):
    """An invalid scenario: one line with the file, the key and the reason."""


def shipped_scenarios() -> dict[str, str]:
    """The scenarios included in the package, as the texts of their files by name."""
    folder = files("driftstair.rehearsal") / "scenarios"
    texts = {entry.name: entry.read_text(encoding="utf-8") for entry in folder.iterdir()}
    return {name.removesuffix(".toml"): texts[name] for name in sorted(texts) if name.endswith(".toml")}


def load(source: str, changes: dict[str, Any] | None = None) -> Scenario:
    """Loads a shipped scenario by name, or a file by path. `changes` are merged over its tables, like those
    of a file that extends it. Raises ScenarioError."""
    where, tree = _resolve(source, changes or {})
    return parse(tree, where)


def resolved_tables(source: str, changes: dict[str, Any] | None = None) -> dict[str, Any]:
    """The tables of a scenario as in `load`, with `extends` resolved. Raises ScenarioError."""
    return _resolve(source, changes or {})[1]


def _resolve(source: str, changes: dict[str, Any]) -> tuple[str, dict[str, Any]]:
    where, tree = _read(source)
    tree = _replace_renamed_keys(tree, where)
    for _ in range(EXTENDS_DEPTH_MAX):
        base = tree.pop("extends", None)
        if base is None:
            break
        if not isinstance(base, str) or base not in shipped_scenarios():
            suggestion = _suggestion(base, shipped_scenarios())
            raise ScenarioError(f"{where}: extends: {base!r} is no shipped scenario{suggestion}")
        tree = _merge(_read(base)[1], tree)
    else:
        raise ScenarioError(f"{where}: extends: more than {EXTENDS_DEPTH_MAX} files deep")
    return where, _merge(tree, _replace_renamed_keys(changes, where))


def _replace_renamed_keys(tree: dict[str, Any], where: str) -> dict[str, Any]:
    """Replaces renamed keys by their new names, with a warning for each. Raises ScenarioError if a file has
    both names."""
    for old, new in RENAMED_KEYS.items():
        if old not in tree:
            continue
        if new in tree:
            raise ScenarioError(f"{where}: {old}: is named {new} now, and the file has both; {new} would do")
        log.warning("%s: %s: is named %s now; the old name is read until version 0.3", where, old, new)
        tree = {new if key == old else key: value for key, value in tree.items()}
    return tree


def parse(tree: dict[str, Any], where: str) -> Scenario:
    """Validates the tables of a scenario. `where` names their source in errors. Raises ScenarioError."""
    try:
        scenario = Scenario.model_validate(tree)
    except ValidationError as error:
        raise ScenarioError(f"{where}: {_describe_error(error.errors()[0])}") from None
    _check_scenario(scenario, where)
    return scenario


def classes(scenario: Scenario) -> tuple[model.Class, ...]:
    """The scenario's request classes, or the default ones."""
    return scenario.classes or model.DEFAULT_CLASSES


def tenants(scenario: Scenario) -> tuple[model.Tenant, ...]:
    """The scenario's tenants, or the default ones."""
    return scenario.tenants or model.DEFAULT_TENANTS


def kinds(scenario: Scenario) -> tuple[model.Kind, ...]:
    """The scenario's kinds of boxes, or the default ones."""
    return scenario.boxes.kind or model.DEFAULT_KINDS


def _read(source: str) -> tuple[str, dict[str, Any]]:
    known = shipped_scenarios()
    if source in known:
        return source, tomllib.loads(known[source])
    path = Path(source)
    if not path.suffix and not path.exists():
        raise ScenarioError(f"{source}: no such scenario{_suggestion(source, known)}; --list names them")
    try:
        return source, parse_text(read_text(source), tomllib.loads)
    except FileError as error:
        raise ScenarioError(f"{source}: {error}") from None
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{source}: no TOML text: {error}") from None


def _merge(base: dict[str, Any], top: dict[str, Any]) -> dict[str, Any]:
    """Merges tables key by key, recursively; any other value, a list too, replaces that of the base."""
    merged = dict(base)
    for key, value in top.items():
        base_value = merged.get(key)
        if isinstance(base_value, dict) and isinstance(value, dict):
            merged[key] = _merge(base_value, value)
        else:
            merged[key] = value
    return merged


def _suggestion(name: object, known: Any) -> str:
    matches = get_close_matches(str(name), list(known), 1)
    return f" (did you mean {matches[0]!r}?)" if matches else ""


def _describe_error(error: ErrorDetails) -> str:
    """Formats an error: the key first, as written in the file, and the nearest known name."""
    steps = [step for index, step in enumerate(error["loc"]) if not _is_union_tag(error["loc"], index)]
    shown = "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in steps).lstrip(".")
    reason, given = error["msg"], error["input"]
    if error["type"] == "extra_forbidden":
        table = _table_at(error["loc"][:-1])
        known = [field.alias or name for name, field in table.model_fields.items()]
        suggestion = _suggestion(steps[-1], known)
        return f"{shown}: no such key{suggestion or '; known here: ' + ', '.join(sorted(known))}"
    if error["type"] == "missing":
        return f"{shown}: is missing"
    if error["type"] == "union_tag_not_found":
        return f"{shown}.kind: is missing; there are {', '.join(FAULT_KINDS)}"
    if error["type"] == "union_tag_invalid":
        kind = given.get("kind") if isinstance(given, dict) else given
        suggestion = _suggestion(kind, FAULT_KINDS)
        return f"{shown}.kind: no such fault: {kind!r}{suggestion}; there are {', '.join(FAULT_KINDS)}"
    reason = reason.removeprefix("Value error, ")
    return f"{shown or 'the file'}: {reason[:1].lower()}{reason[1:]}, not {given!r:.60}"


FAULT_KINDS: dict[str, type[BaseModel]] = {
    get_args(fault_type.model_fields["kind"].annotation)[0]: fault_type
    for fault_type in get_args(model.AnyFault)
}


def _is_union_tag(steps: tuple[int | str, ...], index: int) -> bool:
    """Whether a step of an error's path is the kind of a fault, which pydantic inserts and the file doesn't
    have."""
    return index == 2 and steps[0] == "fault"


def _table_at(steps: tuple[int | str, ...]) -> type[BaseModel]:
    """The type of the table at a path, for its known keys."""
    tables: dict[tuple[int | str, ...], type[BaseModel]] = {
        (): Scenario, ("load",): model.Load, ("class",): model.Class, ("tenant",): model.Tenant,
        ("nodes",): model.Nodes, ("nodes", "tier"): model.Tier,
        ("nodes", "tier", "admitted"): model.FleetBudget, ("nodes", "tier", "retries"): model.FleetBudget,
        ("boxes",): model.Boxes,
        ("boxes", "kind"): model.Kind,
        ("boxes", "jam"): model.Jam, ("boxes", "reports"): model.Reports, ("list",): model.BoxList,
        ("front",): model.FrontLayer, ("clients",): model.Clients, ("network",): model.Net,
        ("rules",): model.Rules, ("phase",): model.Phase,
    }  # fmt: skip
    if steps and steps[0] == "fault":
        return FAULT_KINDS[str(steps[2])]
    return tables[tuple(step for step in steps if isinstance(step, str))]


# Constraints that the types can't express.


def _check_scenario(scenario: Scenario, where: str) -> None:
    def refuse(key: str, reason: str) -> None:
        raise ScenarioError(f"{where}: {key}: {reason}")

    request_classes = classes(scenario)
    for entity, names in (
        ("class", [item.name for item in request_classes]),
        ("tenant", [item.name for item in tenants(scenario)]),
        ("boxes.kind", [item.name for item in kinds(scenario)]),
        ("phase", [item.name for item in scenario.phases]),
    ):
        duplicate = next((name for name in names if names.count(name) > 1), None)
        if duplicate is not None:
            refuse(entity, f"two are named {duplicate!r}")
    class_names = [item.name for item in request_classes]
    for index, item in enumerate(request_classes):
        if item.wanted_ms > item.given_up_ms:
            refuse(
                f"class[{index}].wanted_ms",
                f"{item.wanted_ms:g} is after given_up_ms, {item.given_up_ms:g}: nobody would wait for it",
            )
    previous_at_s = -1.0
    for index, phase in enumerate(scenario.phases):
        if phase.at_s <= previous_at_s:
            refuse(
                f"phase[{index}].at_s", f"{phase.at_s:g} is not after the phase before it, {previous_at_s:g}"
            )
        if phase.at_s >= scenario.seconds:
            refuse(f"phase[{index}].at_s", f"{phase.at_s:g} is not before the end, {scenario.seconds:g}")
        for name in phase.shares:
            if name not in class_names:
                refuse(f"phase[{index}].shares.{name}", f"no such class{_suggestion(name, class_names)}")
        previous_at_s = phase.at_s
    if scenario.nodes.tier is not None:
        for key in ("wall_off_h", "clock_rates"):
            nodes: tuple[str, ...] = tuple(getattr(scenario.nodes.tier, key))
            if nodes:
                _check_nodes(scenario, nodes, f"nodes.tier.{key}", refuse)
    if scenario.nodes.tier is not None and scenario.nodes.tier.liars:
        _check_nodes(scenario, scenario.nodes.tier.liars, "nodes.tier.liars", refuse)
        if not scenario.nodes.tier.judge:
            refuse("nodes.tier.liars", "nobody listens without judge = true")
    for name, budget in scenario.nodes.budgets().items():
        key, burst_min_s = f"nodes.tier.{name}", scenario.nodes.count / budget.per_s
        if scenario.nodes.service is not None:
            refuse(key, "stands in nodes.service, where there is one")
        if budget.burst_s < burst_min_s:
            refuse(f"{key}.burst_s", f"a node alone never has one token to spend; {burst_min_s:g} would do")
    for index, fault in enumerate(scenario.faults):
        _check_fault(scenario, fault, f"fault[{index}]", class_names, refuse)


def _check_fault(
    scenario: Scenario, fault: model.AnyFault, key: str, class_names: list[str], refuse: Any
) -> None:
    if fault.at_s >= scenario.seconds:
        refuse(f"{key}.at_s", f"{fault.at_s:g} is not before the end, seconds = {scenario.seconds:g}")
    if isinstance(fault, model.Surge) and fault.of_class not in class_names:
        suggestion = _suggestion(fault.of_class, class_names)
        refuse(f"{key}.of_class", f"no such class: {fault.of_class!r}{suggestion}")
    if isinstance(fault, model.ListMoves) and scenario.list.mode == "pushed":
        refuse(f"{key}.kind", "a pushed list is on the node's own machine and does not move")
    if isinstance(fault, model._AtNodes):
        if fault.nodes is None:
            refuse(f"{key}.nodes", "give how many, or names")
        _check_nodes(scenario, fault.nodes, f"{key}.nodes", refuse)
    if isinstance(fault, model.Links):
        if scenario.nodes.tier is None:
            refuse(f"{key}.kind", "nodes send each other nothing without a table [nodes.tier]")
        _check_nodes(scenario, fault.senders, f"{key}.senders", refuse)
        _check_nodes(scenario, fault.receivers, f"{key}.receivers", refuse)
    if isinstance(fault, model._AtBoxes):
        if (fault.boxes is None) == (fault.part is None):
            refuse(f"{key}.boxes", "give either boxes (how many, or names) or part (a share of them)")
        kind_names = [kind.name for kind in kinds(scenario)]
        if fault.of_kind is not None and fault.of_kind not in kind_names:
            suggestion = _suggestion(fault.of_kind, kind_names)
            refuse(f"{key}.of_kind", f"no such kind of box: {fault.of_kind!r}{suggestion}")
        if isinstance(fault.boxes, int):
            if not 1 <= fault.boxes <= scenario.boxes.count:
                refuse(f"{key}.boxes", f"{fault.boxes} of {scenario.boxes.count} boxes can't be chosen")
        elif fault.boxes is not None:
            names = box_names(scenario.boxes.count)
            for name in fault.boxes:
                if name not in names:
                    refuse(f"{key}.boxes", f"no such box: {name!r}; there are {names[0]} to {names[-1]}")


def _check_nodes(scenario: Scenario, selection: model.Selection, key: str, refuse: Any) -> None:
    nodes = node_names(scenario.nodes.count)
    if isinstance(selection, int) and not 1 <= selection <= len(nodes):
        refuse(key, f"{selection} of {len(nodes)} nodes can't be chosen")
    for name in selection if isinstance(selection, tuple) else ():
        if name not in nodes:
            refuse(key, f"no such node: {name!r}; there are {nodes[0]} to {nodes[-1]}")


def node_names(count: int) -> list[str]:
    """The names of the nodes, in order."""
    return [f"n{index}" for index in range(count)]


def box_names(count: int) -> list[str]:
    """The names of the boxes at the start, in order."""
    width = max(2, len(str(count)))
    return [f"s-{index:0{width}d}" for index in range(1, count + 1)]


def tables_from_paths(changes: dict[str, Any]) -> dict[str, Any]:
    """Converts dotted paths, such as `{"load.rate": 3}`, to nested tables. Raises ScenarioError."""
    tree: dict[str, Any] = {}
    for path, value in changes.items():
        *tables, key = path.split(".")
        try:
            reduce(lambda table, name: table.setdefault(name, {}), tables, tree)[key] = value
        except (AttributeError, TypeError):
            raise ScenarioError(f"{path}: a part of this path is given as no table") from None
    return tree
