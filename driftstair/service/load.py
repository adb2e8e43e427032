"""Reads and validates a service file. All problems are reported at once, each with its file, line and key
and, where there is one, a value that would be accepted.
"""

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
    """An error in the file, or a warning about a setting that is unlikely to have the intended effect."""

    file: str
    line: int
    key: str
    why: str
    rule: str = ""  # the rule that is violated
    instead: str = ""  # a value that would be accepted
    warning: bool = False

    def __str__(self) -> str:
        rule = f" (would break: {self.rule})" if self.rule else ""
        instead = f"; {self.instead} would do" if self.instead else ""
        severity = "warning: " if self.warning else ""
        return f"{self.file}:{self.line}: {self.key}: {severity}{self.why}{rule}{instead}"


class ServiceError(Exception):
    """The file is rejected. `problems` lists every error; `unreadable` is set if the file could not be read
    or is not TOML."""

    def __init__(self, problems: list[Problem], unreadable: bool = False) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems
        self.unreadable = unreadable


@dataclass(frozen=True, slots=True)
class LoadedService:
    """A parsed service file, with the line of each key and a hash of its text."""

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
    """Formats the path of a key for a message."""
    return (
        "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path).lstrip(".")
        or "the file"
    )


def read(file: str) -> LoadedService:
    """Raises ServiceError. Rules that types cannot express are checked in `driftstair.limits.validation`."""
    try:
        text = read_text(file)
    except FileError as error:
        raise ServiceError([Problem(file, 0, "the file", str(error))], unreadable=True) from None
    return parse(text, file)


def parse(text: str, file: str) -> LoadedService:
    """Parses and validates the text of a service file; raises ServiceError."""
    service, lines = parse_as(text, file, Service)
    return LoadedService(file, service, lines, hashlib.sha256(text.encode()).hexdigest()[:16])


def parse_as(text: str, file: str, schema: type[Schema]) -> tuple[Schema, dict[toml_lines.KeyPath, int]]:
    """Validates a TOML text against a schema; also returns the line of each key. Raises ServiceError."""
    try:
        document = parse_text(text, tomllib.loads)
    except FileError as error:
        raise ServiceError([Problem(file, 0, "the file", str(error))], unreadable=True) from None
    except tomllib.TOMLDecodeError as error:
        numbers = [int(word.rstrip(",")) for word in str(error).split() if word.rstrip(",").isdigit()]
        raise ServiceError(
            [Problem(file, numbers[0] if numbers else 0, "the file", f"no TOML text: {error}")],
            unreadable=True,
        ) from None
    lines = toml_lines.key_lines(text)
    try:
        return schema.model_validate(document), lines
    except ValidationError as error:
        raise ServiceError(
            [_to_problem(file, lines, details, schema) for details in error.errors()]
        ) from None


def _to_problem(
    file: str, lines: dict[toml_lines.KeyPath, int], details: ErrorDetails, schema: type[BaseModel]
) -> Problem:
    path = tuple(step for step in details["loc"] if not (isinstance(step, str) and "[" in step))
    why = details["msg"].removeprefix("Value error, ")
    value = details["input"]
    instead = ""
    if details["type"] == "extra_forbidden":
        known_keys = _allowed_keys(schema, path[:-1])
        close_matches = get_close_matches(str(path[-1]), known_keys, 1)
        why = "no such key" if close_matches else f"no such key; known here: {', '.join(sorted(known_keys))}"
        instead = close_matches[0] if close_matches else ""
    elif details["type"] == "missing":
        why = "is missing"
    else:
        why = f"{why[:1].lower()}{why[1:]}"
        if not details["type"].startswith("value_error"):
            why += f", not {value!r:.60}"
    return Problem(file, toml_lines.line_of(lines, path), format_path(path), why, instead=instead)


def _allowed_keys(schema: type[BaseModel], path: toml_lines.KeyPath) -> list[str]:
    """The keys that the schema allows in the table at a path."""
    model: Any = schema
    for step in path:
        if isinstance(step, int):
            continue
        field = next((info for name, info in model.model_fields.items() if step in (name, info.alias)), None)
        nested = _model_in(field.annotation) if field is not None else None
        if nested is None:
            return []
        model = nested
    return [field.alias or name for name, field in model.model_fields.items()]


def _model_in(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    return next((model for part in get_args(annotation) if (model := _model_in(part))), None)
