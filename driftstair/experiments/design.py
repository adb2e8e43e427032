"""The design of an experiment, scenarios x seeds x factors, and the runs that result from it.

Runs of the same scenario and seed have the same arrivals, so they are compared as pairs.
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

FORMAT_VERSION = 1
MAX_RUNS = 100_000
POLICY_KEY, CONSTANT_PREFIX, BUILD_KEY = "policy", "constant:", "build"
ROOT = Path(__file__).resolve().parents[2]
REVISION_PATTERN = r"[0-9A-Za-z][0-9A-Za-z._/~^-]{0,80}|"
SOURCE_FOLDERS = ("lichenspring", "driftstair/model", "driftstair/rehearsal", "driftstair/tier")

Value = bool | int | float | str
ShortText = Annotated[str, Field(min_length=1, max_length=80)]


class DesignError(Exception):
    """An invalid experiment file. The text is one line with the file, the key, the value and what would be
    valid."""


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Seeds(_Table):
    first: Annotated[int, Field(strict=True, ge=0)] = 1000
    count: Annotated[int, Field(strict=True, ge=1, le=10_000)] = 20


class Factor(_Table):
    """`key`: `policy`; `build`, values being revisions of this repository; a scenario's key by its path, such
    as `nodes.count`; or `constant:MODULE.NAME`, of the decision module. The first value is what the others
    are compared with."""

    key: ShortText
    values: Annotated[tuple[Value, ...], Field(min_length=1, max_length=50)]
    name: ShortText | None = None

    @property
    def label(self) -> str:
        return self.name or (
            self.key.rpartition(".")[2] if self.key.startswith(CONSTANT_PREFIX) else self.key
        )


class Design(_Table):
    version: Annotated[int, Field(strict=True, ge=FORMAT_VERSION, le=FORMAT_VERSION)]
    name: Annotated[str, Field(pattern=r"^[0-9A-Za-z][0-9A-Za-z._-]{0,63}$")]
    scenarios: Annotated[tuple[ShortText, ...], Field(min_length=1, max_length=50)]
    seeds: Seeds = Seeds()
    set: dict[str, Any] = Field(default={})  # settings of all scenarios, by their paths
    factor: Annotated[tuple[Factor, ...], Field(max_length=8)] = ()
    measures: Annotated[tuple[ShortText, ...], Field(min_length=1, max_length=20)] = (
        "service",
        "refused",
        "jams",
    )
    level: Annotated[float, Field(gt=0.5, lt=1.0)] = 0.95  # confidence level of the intervals


@dataclass(frozen=True)
class Run:
    """One run of the model. `factor_values` are the values of the factors, by their labels."""

    scenario: str
    seed: int
    changes: tuple[tuple[str, Any], ...]
    policy: str
    constants: tuple[tuple[str, Any], ...]
    build: str  # a revision; empty: the current sources
    factor_values: tuple[tuple[str, Value], ...]
    sources_hash: str  # of the sources that the run executes

    @cached_property
    def hash(self) -> str:
        """Identifies the run by everything that determines its result."""
        inputs = [
            FORMAT_VERSION, self.scenario, self.seed, self.changes, self.policy, self.constants, self.build,
            "" if self.build else self.sources_hash,
        ]  # fmt: skip
        return hashlib.blake2b(json.dumps(inputs).encode(), digest_size=12).hexdigest()


def read_design(path: str) -> Design:
    """Reads an experiment's file. Raises DesignError."""
    try:
        tree = parse_text(read_text(path), tomllib.loads)
    except FileError as problem:
        raise DesignError(f"{path}: {problem}") from None
    except tomllib.TOMLDecodeError as problem:
        raise DesignError(f"{path}: no TOML text: {problem}") from None
    try:
        design = Design.model_validate(tree)
    except ValidationError as problem:
        error = problem.errors()[0]
        location = ".".join(map(str, error["loc"])) or "the file"
        given = f", not {error['input']!r:.60}" if not isinstance(error["input"], dict) else ""
        raise DesignError(f"{path}: {location}: {error['msg'].lower()}{given}") from None
    _check_design(design, path)
    return design


def _check_design(design: Design, path: str) -> None:
    """Raises DesignError if the design has invalid values or too many runs."""
    labels = [factor.label for factor in design.factor]
    if len(set(labels)) < len(labels):
        raise DesignError(f"{path}: factor: two are named alike; names of their own would do")
    run_count = len(design.scenarios) * design.seeds.count
    for index, factor in enumerate(design.factor):
        location = f"{path}: factor.{index}"
        run_count *= len(factor.values)
        if len(set(map(repr, factor.values))) < len(factor.values):
            raise DesignError(f"{location}.values: one of {list(factor.values)} stands twice")
        if factor.key == POLICY_KEY:
            for value in factor.values:
                if value not in POLICIES:
                    raise DesignError(
                        f"{location}.values: no policy {value!r}; there are {', '.join(POLICIES)}"
                    )
        elif factor.key == BUILD_KEY:
            for value in factor.values:
                if not isinstance(value, str) or not re.fullmatch(REVISION_PATTERN, value):
                    why = f'{value!r} is no revision; "" is the sources as they are'
                    raise DesignError(f"{location}.values: {why}")
        elif factor.key.startswith(CONSTANT_PREFIX):
            for value in factor.values:
                _check_constant(factor.key, value, location)
    if run_count > MAX_RUNS:
        raise DesignError(f"{path}: {run_count} runs; {MAX_RUNS} at most")
    keys = {factor.key for factor in design.factor}
    if BUILD_KEY in keys and any(key.startswith(CONSTANT_PREFIX) for key in keys):
        raise DesignError(f"{path}: factor: builds and constants at once; an experiment for each would do")
    sources_hash = hash_sources()
    for scenario in design.scenarios:
        for factor_values in product(*(factor.values for factor in design.factor)):
            run = _build_run(design, scenario, design.seeds.first, factor_values, sources_hash)
            try:
                scenario_settings = load(scenario, tables_from_paths(dict(run.changes)))
                if not run.build:
                    World(scenario_settings)
            except (ScenarioError, ModelError) as problem:
                raise DesignError(f"{path}: {problem}") from None


def _check_constant(key: str, value: Value, location: str) -> None:
    """Raises DesignError if the constant does not exist or has another type."""
    from driftstair.experiments.runs import read_constant

    try:
        current = read_constant(key.removeprefix(CONSTANT_PREFIX))
    except AttributeError as problem:
        raise DesignError(f"{location}.key: {problem}") from None
    if isinstance(value, bool | str) or isinstance(current, bool) or not isinstance(current, int | float):
        raise DesignError(f"{location}.values: {value!r} in the place of {current!r}; numbers would do")


def list_runs(design: Design) -> list[Run]:
    """Lists all runs, ordered by seed so that complete pairs are available early."""
    sources_hash = hash_sources()
    return [
        _build_run(design, scenario, seed, factor_values, sources_hash)
        for seed in range(design.seeds.first, design.seeds.first + design.seeds.count)
        for scenario in design.scenarios
        for factor_values in product(*(factor.values for factor in design.factor))
    ]


def _build_run(
    design: Design, scenario: str, seed: int, factor_values: tuple[Value, ...], sources_hash: str
) -> Run:
    """Returns the run of a scenario with a seed and values of the factors."""
    changes, policy, build = dict(design.set), "module", ""
    constants: dict[str, Any] = {}
    for factor, value in zip(design.factor, factor_values, strict=True):
        if factor.key == POLICY_KEY:
            policy = str(value)
        elif factor.key == BUILD_KEY:
            build = str(value)
        elif factor.key.startswith(CONSTANT_PREFIX):
            constants[factor.key.removeprefix(CONSTANT_PREFIX)] = value
        else:
            changes[factor.key] = value
    labelled_values = tuple(
        (factor.label, value) for factor, value in zip(design.factor, factor_values, strict=True)
    )
    return Run(
        scenario, seed, tuple(sorted(changes.items())), policy, tuple(sorted(constants.items())), build,
        labelled_values, sources_hash,
    )  # fmt: skip


def hash_sources() -> str:
    """Returns a hash of all files that determine the result of a run without a build."""
    digest = hashlib.blake2b(digest_size=8)
    for name in SOURCE_FOLDERS:
        for file in sorted((ROOT / name).rglob("*")):
            if file.suffix in (".py", ".toml"):
                digest.update(file.relative_to(ROOT).as_posix().encode() + b"\0" + file.read_bytes())
    return digest.hexdigest()
