"""Reads a service file: every problem in it at once, each with file, line, key and what would do."""

from __future__ import annotations

import hashlib
import tomllib
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Any, TypeVar, get_args

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from driftstair.files import FileError, parse_text, read_text
from driftstair.service import toml_lines
from driftstair.service.schema import Service

Schema = TypeVar("Schema", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong, or (a warning) that will hardly do what was meant."""

    file: str
    line: int
    key: str
    why: str
    rule: str = ""  # that it would break
    instead: str = ""  # a value that would do
    warning: bool = False

    def __str__(self) -> str:
        rule = f" (would break: {self.rule})" if self.rule else ""
        instead = f"; {self.instead} would do" if self.instead else ""
        kind = "warning: " if self.warning else ""
        return f"{self.file}:{self.line}: {self.key}: {kind}{self.why}{rule}{instead}"


class ServiceError(Exception):
    """A file that is not used. `problems` has all that is wrong; `unreadable` if it is no such file at
    all."""

    def __init__(self, problems: list[Problem], unreadable: bool = False) -> None:
        super().__init__("; ".join(str(one) for one in problems))
        self.problems = problems
        self.unreadable = unreadable


@dataclass(frozen=True, slots=True)
class LoadedService:
    file: str
    service: Service
    lines: dict[toml_lines.KeyPath, int]
    hash: str

    def problem(self, path: toml_lines.KeyPath, why: str, rule: str = "", instead: str = "",
                warning: bool = False) -> Problem:  # fmt: skip
        return Problem(
            self.file, toml_lines.line_of(self.lines, path), format_path(path), why, rule, instead, warning
        )


def format_path(path: toml_lines.KeyPath) -> str:
    return (
        "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path).lstrip(".")
        or "the file"
    )


def read(file: str) -> LoadedService:
    """Raises ServiceError. What types can't say is for `driftstair.limits.validation`."""
    try:
        text = read_text(file)
    except FileError as problem:
        raise ServiceError([Problem(file, 0, "the file", str(problem))], unreadable=True) from None
    return parse(text, file)


def parse(text: str, file: str) -> LoadedService:
    service, lines = parse_as(text, file, Service)
    return LoadedService(file, service, lines, hashlib.sha256(text.encode()).hexdigest()[:16])


def parse_as(text: str, file: str, schema: type[Schema]) -> tuple[Schema, dict[toml_lines.KeyPath, int]]:
    """A TOML text by any schema, and the lines on which its keys stand. Raises ServiceError."""
    try:
        tree = parse_text(text, tomllib.loads)
    except FileError as problem:
        raise ServiceError([Problem(file, 0, "the file", str(problem))], unreadable=True) from None
    except tomllib.TOMLDecodeError as problem:
        found = [int(word.rstrip(",")) for word in str(problem).split() if word.rstrip(",").isdigit()]
        raise ServiceError(
            [Problem(file, found[0] if found else 0, "the file", f"no TOML text: {problem}")], unreadable=True
        ) from None
    lines = toml_lines.key_lines(text)
    try:
        return schema.model_validate(tree), lines
    except ValidationError as problem:
        raise ServiceError([_explained(file, lines, one, schema) for one in problem.errors()]) from None


def _explained(
    file: str, lines: dict[toml_lines.KeyPath, int], problem: ErrorDetails, schema: type[BaseModel]
) -> Problem:
    path = tuple(step for step in problem["loc"] if not (isinstance(step, str) and "[" in step))
    why = problem["msg"].removeprefix("Value error, ")
    given = problem["input"]
    instead = ""
    if problem["type"] == "extra_forbidden":
        known = _keys_at(schema, path[:-1])
        near = get_close_matches(str(path[-1]), known, 1)
        why = "no such key" if near else f"no such key; known here: {', '.join(sorted(known))}"
        instead = near[0] if near else ""
    elif problem["type"] == "missing":
        why = "is missing"
    else:
        why = f"{why[:1].lower()}{why[1:]}"
        if not problem["type"].startswith("value_error"):
            why += f", not {given!r:.60}"
    return Problem(file, toml_lines.line_of(lines, path), format_path(path), why, instead=instead)


def _keys_at(schema: type[BaseModel], path: toml_lines.KeyPath) -> list[str]:
    """The keys of the table at a path."""
    model: Any = schema
    for step in path:
        if isinstance(step, int):
            continue
        field = next((one for name, one in model.model_fields.items() if step in (name, one.alias)), None)
        found = _model_in(field.annotation) if field is not None else None
        if found is None:
            return []
        model = found
    return [field.alias or name for name, field in model.model_fields.items()]


def _model_in(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    return next((found for part in get_args(annotation) if (found := _model_in(part))), None)
