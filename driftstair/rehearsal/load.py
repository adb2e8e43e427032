"""Reads scenario files, and refuses by file, key and reason what could not be played."""

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

EXTENDS_MOST = 8
RENAMED = {"trouble": "fault"}  # keys of version 0.1 by their names now; they are read until 0.3


class ScenarioError(Exception):
    """A scenario that can't be played: one line with the file, the key and why."""


def shipped() -> dict[str, str]:
    """The scenarios that come with the kit: their names and the texts of their files."""
    folder = files("driftstair.rehearsal") / "scenarios"
    found = {entry.name: entry.read_text(encoding="utf-8") for entry in folder.iterdir()}
    return {name.removesuffix(".toml"): found[name] for name in sorted(found) if name.endswith(".toml")}


def load(source: str, changes: dict[str, Any] | None = None) -> Scenario:
    """A shipped scenario by its name, or a file by its path. `changes` are laid over the file's tables, as
    another file that extends it would be. Raises ScenarioError."""
    where, tree = _whole(source, changes or {})
    return parse(tree, where)


def resolved(source: str, changes: dict[str, Any] | None = None) -> dict[str, Any]:
    """The tables of such a scenario, with nothing left to look up. Raises ScenarioError."""
    return _whole(source, changes or {})[1]


def _whole(source: str, changes: dict[str, Any]) -> tuple[str, dict[str, Any]]:
    where, tree = _read(source)
    tree = _with_new_names(tree, where)
    for _ in range(EXTENDS_MOST):
        base = tree.pop("extends", None)
        if base is None:
            break
        if not isinstance(base, str) or base not in shipped():
            near = _nearest(base, shipped())
            raise ScenarioError(f"{where}: extends: {base!r} is no shipped scenario{near}")
        tree = _laid_over(_read(base)[1], tree)
    else:
        raise ScenarioError(f"{where}: extends: more than {EXTENDS_MOST} files deep")
    return where, _laid_over(tree, _with_new_names(changes, where))


def _with_new_names(tree: dict[str, Any], where: str) -> dict[str, Any]:
    """The same tables, with a warning for each key that has been renamed. Raises ScenarioError where a file
    has both names."""
    for old, new in RENAMED.items():
        if old not in tree:
            continue
        if new in tree:
            raise ScenarioError(f"{where}: {old}: is named {new} now, and the file has both; {new} would do")
        log.warning("%s: %s: is named %s now; the old name is read until version 0.3", where, old, new)
        tree = {new if key == old else key: value for key, value in tree.items()}
    return tree


def parse(tree: dict[str, Any], where: str) -> Scenario:
    """A scenario from its tables; `where` names them in errors."""
    try:
        found = Scenario.model_validate(tree)
    except ValidationError as problem:
        raise ScenarioError(f"{where}: {_explained(problem.errors()[0])}") from None
    _check(found, where)
    return found


def classes(of: Scenario) -> tuple[model.Class, ...]:
    return of.classes or model.DEFAULT_CLASSES


def tenants(of: Scenario) -> tuple[model.Tenant, ...]:
    return of.tenants or model.DEFAULT_TENANTS


def kinds(of: Scenario) -> tuple[model.Kind, ...]:
    return of.boxes.kind or model.DEFAULT_KINDS


def _read(source: str) -> tuple[str, dict[str, Any]]:
    known = shipped()
    if source in known:
        return source, tomllib.loads(known[source])
    path = Path(source)
    if not path.suffix and not path.exists():
        raise ScenarioError(f"{source}: no such scenario{_nearest(source, known)}; --list names them")
    try:
        return source, parse_text(read_text(source), tomllib.loads)
    except FileError as problem:
        raise ScenarioError(f"{source}: {problem}") from None
    except tomllib.TOMLDecodeError as problem:
        raise ScenarioError(f"{source}: no TOML text: {problem}") from None


def _laid_over(base: dict[str, Any], top: dict[str, Any]) -> dict[str, Any]:
    """Tables are laid over key by key; anything else, lists too, replaces what was there."""
    out = dict(base)
    for key, value in top.items():
        before = out.get(key)
        if isinstance(before, dict) and isinstance(value, dict):
            out[key] = _laid_over(before, value)
        else:
            out[key] = value
    return out


def _nearest(name: object, known: Any) -> str:
    found = get_close_matches(str(name), list(known), 1)
    return f" (did you mean {found[0]!r}?)" if found else ""


def _explained(problem: ErrorDetails) -> str:
    """One error with its place first, as it stands in the file, and the nearest known name."""
    steps = [step for index, step in enumerate(problem["loc"]) if not _is_tag(problem["loc"], index)]
    shown = "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in steps).lstrip(".")
    reason, given = problem["msg"], problem["input"]
    if problem["type"] == "extra_forbidden":
        table = _table_at(problem["loc"][:-1])
        known = [field.alias or name for name, field in table.model_fields.items()]
        near = _nearest(steps[-1], known)
        return f"{shown}: no such key{near or '; known here: ' + ', '.join(sorted(known))}"
    if problem["type"] == "missing":
        return f"{shown}: is missing"
    if problem["type"] == "union_tag_not_found":
        return f"{shown}.kind: is missing; there are {', '.join(FAULT_KINDS)}"
    if problem["type"] == "union_tag_invalid":
        kind = given.get("kind") if isinstance(given, dict) else given
        near = _nearest(kind, FAULT_KINDS)
        return f"{shown}.kind: no such fault: {kind!r}{near}; there are {', '.join(FAULT_KINDS)}"
    reason = reason.removeprefix("Value error, ")
    return f"{shown or 'the file'}: {reason[:1].lower()}{reason[1:]}, not {given!r:.60}"


FAULT_KINDS: dict[str, type[BaseModel]] = {
    get_args(one.model_fields["kind"].annotation)[0]: one for one in get_args(model.AnyFault)
}


def _is_tag(steps: tuple[int | str, ...], index: int) -> bool:
    """Of a union's member the library names the kind in the path, where the file has nothing."""
    return index == 2 and steps[0] == "fault"


def _table_at(steps: tuple[int | str, ...]) -> type[BaseModel]:
    """The type of the table at a path, to tell its keys."""
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


# What types can't say.


def _check(found: Scenario, where: str) -> None:
    def refuse(key: str, why: str) -> None:
        raise ScenarioError(f"{where}: {key}: {why}")

    named = classes(found)
    for what, names in (
        ("class", [one.name for one in named]),
        ("tenant", [one.name for one in tenants(found)]),
        ("boxes.kind", [one.name for one in kinds(found)]),
        ("phase", [one.name for one in found.phases]),
    ):
        twice = next((name for name in names if names.count(name) > 1), None)
        if twice is not None:
            refuse(what, f"two are named {twice!r}")
    class_names = [one.name for one in named]
    for index, one in enumerate(named):
        if one.wanted_ms > one.given_up_ms:
            refuse(
                f"class[{index}].wanted_ms",
                f"{one.wanted_ms:g} is after given_up_ms, {one.given_up_ms:g}: nobody would wait for it",
            )
    before = -1.0
    for index, phase in enumerate(found.phases):
        if phase.at_s <= before:
            refuse(f"phase[{index}].at_s", f"{phase.at_s:g} is not after the phase before it, {before:g}")
        if phase.at_s >= found.seconds:
            refuse(f"phase[{index}].at_s", f"{phase.at_s:g} is not before the end, {found.seconds:g}")
        for name in phase.shares:
            if name not in class_names:
                refuse(f"phase[{index}].shares.{name}", f"no such class{_nearest(name, class_names)}")
        before = phase.at_s
    if found.nodes.tier is not None:
        for key in ("wall_off_h", "clock_rates"):
            odd: tuple[str, ...] = tuple(getattr(found.nodes.tier, key))
            if odd:
                _check_nodes(found, odd, f"nodes.tier.{key}", refuse)
    if found.nodes.tier is not None and found.nodes.tier.liars:
        _check_nodes(found, found.nodes.tier.liars, "nodes.tier.liars", refuse)
        if not found.nodes.tier.judge:
            refuse("nodes.tier.liars", "nobody listens without judge = true")
    for name, budget in found.nodes.budgets().items():
        key, least = f"nodes.tier.{name}", found.nodes.count / budget.per_s
        if found.nodes.service is not None:
            refuse(key, "stands in nodes.service, where there is one")
        if budget.burst_s < least:
            refuse(f"{key}.burst_s", f"a node alone never has one token to spend; {least:g} would do")
    for index, fault in enumerate(found.faults):
        _check_fault(found, fault, f"fault[{index}]", class_names, refuse)


def _check_fault(
    found: Scenario, fault: model.AnyFault, key: str, class_names: list[str], refuse: Any
) -> None:
    if fault.at_s >= found.seconds:
        refuse(f"{key}.at_s", f"{fault.at_s:g} is not before the end, seconds = {found.seconds:g}")
    if isinstance(fault, model.Surge) and fault.of_class not in class_names:
        near = _nearest(fault.of_class, class_names)
        refuse(f"{key}.of_class", f"no such class: {fault.of_class!r}{near}")
    if isinstance(fault, model.ListMoves) and found.list.mode == "pushed":
        refuse(f"{key}.kind", "a pushed list is on the node's own machine and does not move")
    if isinstance(fault, model._AtNodes):
        if fault.nodes is None:
            refuse(f"{key}.nodes", "give how many, or names")
        _check_nodes(found, fault.nodes, f"{key}.nodes", refuse)
    if isinstance(fault, model.Links):
        if found.nodes.tier is None:
            refuse(f"{key}.kind", "nodes send each other nothing without a table [nodes.tier]")
        _check_nodes(found, fault.senders, f"{key}.senders", refuse)
        _check_nodes(found, fault.receivers, f"{key}.receivers", refuse)
    if isinstance(fault, model._AtBoxes):
        if (fault.boxes is None) == (fault.part is None):
            refuse(f"{key}.boxes", "give either boxes (how many, or names) or part (a share of them)")
        kind_names = [one.name for one in kinds(found)]
        if fault.of_kind is not None and fault.of_kind not in kind_names:
            near = _nearest(fault.of_kind, kind_names)
            refuse(f"{key}.of_kind", f"no such kind of box: {fault.of_kind!r}{near}")
        if isinstance(fault.boxes, int):
            if not 1 <= fault.boxes <= found.boxes.count:
                refuse(f"{key}.boxes", f"{fault.boxes} of {found.boxes.count} boxes can't be chosen")
        elif fault.boxes is not None:
            names = box_names(found.boxes.count)
            for name in fault.boxes:
                if name not in names:
                    refuse(f"{key}.boxes", f"no such box: {name!r}; there are {names[0]} to {names[-1]}")


def _check_nodes(found: Scenario, chosen: model.Selection, key: str, refuse: Any) -> None:
    nodes = node_names(found.nodes.count)
    if isinstance(chosen, int) and not 1 <= chosen <= len(nodes):
        refuse(key, f"{chosen} of {len(nodes)} nodes can't be chosen")
    for name in chosen if isinstance(chosen, tuple) else ():
        if name not in nodes:
            refuse(key, f"no such node: {name!r}; there are {nodes[0]} to {nodes[-1]}")


def node_names(count: int) -> list[str]:
    return [f"n{index}" for index in range(count)]


def box_names(count: int) -> list[str]:
    width = max(2, len(str(count)))
    return [f"s-{index:0{width}d}" for index in range(1, count + 1)]


def by_path(changes: dict[str, Any]) -> dict[str, Any]:
    """`{"load.rate": 3}` as the tables that a file would have. Raises ScenarioError."""
    tree: dict[str, Any] = {}
    for path, value in changes.items():
        *tables, key = path.split(".")
        try:
            reduce(lambda table, name: table.setdefault(name, {}), tables, tree)[key] = value
        except (AttributeError, TypeError):
            raise ScenarioError(f"{path}: a part of this path is given as no table") from None
    return tree
