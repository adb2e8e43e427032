"""What an experiment varies: scenarios x seeds x factors, and the runs that come of it.

Runs of one scenario and seed share their arrivals, so they are compared as pairs.
"""

from __future__ import annotations

import hashlib
import json
import re
import tomllib
from dataclasses import dataclass
from functools import cached_property
from itertools import product
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from driftstair.files import FileError, parse_text, read_text
from driftstair.model.baselines import POLICIES
from driftstair.model.world import ModelError, World
from driftstair.rehearsal.load import ScenarioError, load, tables_from_paths

FORMAT = 1
RUNS_MOST = 100_000
POLICY, CONSTANT, BUILD = "policy", "constant:", "build"
ROOT = Path(__file__).resolve().parents[2]
REVISION = r"[0-9A-Za-z][0-9A-Za-z._/~^-]{0,80}|"
SOURCES = ("lichenspring", "driftstair/model", "driftstair/rehearsal", "driftstair/tier")

Value = bool | int | float | str
Word = Annotated[str, Field(min_length=1, max_length=80)]


class DesignError(Exception):
    """A file that is no experiment: one line with the file, the key, the value and what would do."""


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Seeds(_Table):
    first: Annotated[int, Field(strict=True, ge=0)] = 1000
    count: Annotated[int, Field(strict=True, ge=1, le=10_000)] = 20


class Factor(_Table):
    """`key`: `policy`; `build`, values being revisions of this repository; a scenario's key by its path, such
    as `nodes.count`; or `constant:MODULE.NAME`, of the decision module. The first value is what the others
    are compared with."""

    key: Word
    values: Annotated[tuple[Value, ...], Field(min_length=1, max_length=50)]
    name: Word | None = None

    @property
    def label(self) -> str:
        return self.name or (self.key.rpartition(".")[2] if self.key.startswith(CONSTANT) else self.key)


class Design(_Table):
    version: Annotated[int, Field(strict=True, ge=FORMAT, le=FORMAT)]
    name: Annotated[str, Field(pattern=r"^[0-9A-Za-z][0-9A-Za-z._-]{0,63}$")]
    scenarios: Annotated[tuple[Word, ...], Field(min_length=1, max_length=50)]
    seeds: Seeds = Seeds()
    set: dict[str, Any] = Field(default={})  # keys of all scenarios, by their paths
    factor: Annotated[tuple[Factor, ...], Field(max_length=8)] = ()
    measures: Annotated[tuple[Word, ...], Field(min_length=1, max_length=20)] = ("service", "refused", "jams")
    level: Annotated[float, Field(gt=0.5, lt=1.0)] = 0.95  # of the intervals


@dataclass(frozen=True)
class Run:
    """One play. `chosen`: the values of the factors, by their labels."""

    scenario: str
    seed: int
    changes: tuple[tuple[str, Any], ...]
    policy: str
    constants: tuple[tuple[str, Any], ...]
    build: str  # a revision; empty: the sources as they are
    chosen: tuple[tuple[str, Value], ...]
    sources: str  # of what decides it beside all this

    @cached_property
    def hash(self) -> str:
        told = [
            FORMAT, self.scenario, self.seed, self.changes, self.policy, self.constants, self.build,
            "" if self.build else self.sources,
        ]  # fmt: skip
        return hashlib.blake2b(json.dumps(told).encode(), digest_size=12).hexdigest()


def read(path: str) -> Design:
    """Raises DesignError."""
    try:
        tree = parse_text(read_text(path), tomllib.loads)
    except FileError as problem:
        raise DesignError(f"{path}: {problem}") from None
    except tomllib.TOMLDecodeError as problem:
        raise DesignError(f"{path}: no TOML text: {problem}") from None
    try:
        design = Design.model_validate(tree)
    except ValidationError as problem:
        first = problem.errors()[0]
        place = ".".join(map(str, first["loc"])) or "the file"
        shown = f", not {first['input']!r:.60}" if not isinstance(first["input"], dict) else ""
        raise DesignError(f"{path}: {place}: {first['msg'].lower()}{shown}") from None
    _check(design, path)
    return design


def _check(design: Design, path: str) -> None:
    labels = [factor.label for factor in design.factor]
    if len(set(labels)) < len(labels):
        raise DesignError(f"{path}: factor: two are named alike; names of their own would do")
    number = len(design.scenarios) * design.seeds.count
    for index, factor in enumerate(design.factor):
        where = f"{path}: factor.{index}"
        number *= len(factor.values)
        if len(set(map(repr, factor.values))) < len(factor.values):
            raise DesignError(f"{where}.values: one of {list(factor.values)} stands twice")
        if factor.key == POLICY:
            for value in factor.values:
                if value not in POLICIES:
                    raise DesignError(f"{where}.values: no policy {value!r}; there are {', '.join(POLICIES)}")
        elif factor.key == BUILD:
            for value in factor.values:
                if not isinstance(value, str) or not re.fullmatch(REVISION, value):
                    why = f'{value!r} is no revision; "" is the sources as they are'
                    raise DesignError(f"{where}.values: {why}")
        elif factor.key.startswith(CONSTANT):
            for value in factor.values:
                _constant(factor.key, value, where)
    if number > RUNS_MOST:
        raise DesignError(f"{path}: {number} runs; {RUNS_MOST} at most")
    keys = {factor.key for factor in design.factor}
    if BUILD in keys and any(key.startswith(CONSTANT) for key in keys):
        raise DesignError(f"{path}: factor: builds and constants at once; an experiment for each would do")
    sources = sources_of()
    for scenario in design.scenarios:
        for chosen in product(*(factor.values for factor in design.factor)):
            run = _run(design, scenario, design.seeds.first, chosen, sources)
            try:
                found = load(scenario, tables_from_paths(dict(run.changes)))
                if not run.build:
                    World(found)
            except (ScenarioError, ModelError) as problem:
                raise DesignError(f"{path}: {problem}") from None


def _constant(key: str, value: Value, where: str) -> None:
    """Raises DesignError for one that is not there or of another kind."""
    from driftstair.experiments.runs import constant

    try:
        held = constant(key.removeprefix(CONSTANT))
    except AttributeError as problem:
        raise DesignError(f"{where}.key: {problem}") from None
    if isinstance(value, bool | str) or isinstance(held, bool) or not isinstance(held, int | float):
        raise DesignError(f"{where}.values: {value!r} in the place of {held!r}; numbers would do")


def runs(design: Design) -> list[Run]:
    """All of them, seeds first: so pairs are complete early."""
    sources = sources_of()
    return [
        _run(design, scenario, seed, chosen, sources)
        for seed in range(design.seeds.first, design.seeds.first + design.seeds.count)
        for scenario in design.scenarios
        for chosen in product(*(factor.values for factor in design.factor))
    ]


def _run(design: Design, scenario: str, seed: int, chosen: tuple[Value, ...], sources: str) -> Run:
    changes, policy, build = dict(design.set), "module", ""
    constants: dict[str, Any] = {}
    for factor, value in zip(design.factor, chosen, strict=True):
        if factor.key == POLICY:
            policy = str(value)
        elif factor.key == BUILD:
            build = str(value)
        elif factor.key.startswith(CONSTANT):
            constants[factor.key.removeprefix(CONSTANT)] = value
        else:
            changes[factor.key] = value
    labels = tuple((factor.label, value) for factor, value in zip(design.factor, chosen, strict=True))
    return Run(
        scenario, seed, tuple(sorted(changes.items())), policy, tuple(sorted(constants.items())), build,
        labels, sources,
    )  # fmt: skip


def sources_of() -> str:
    """A hash of all files that a run without a build is played by."""
    found = hashlib.blake2b(digest_size=8)
    for name in SOURCES:
        for file in sorted((ROOT / name).rglob("*")):
            if file.suffix in (".py", ".toml"):
                found.update(file.relative_to(ROOT).as_posix().encode() + b"\0" + file.read_bytes())
    return found.hexdigest()
