"""`driftstair config check|show|schema`."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from typing import Any

from pydantic import BaseModel

from driftstair.config import ConfigError, load
from driftstair.daemon import split_descriptors
from driftstair.limits.validation import find_problems
from driftstair.service.load import Problem, ServiceError, read
from driftstair.service.schema import Service
from driftstair.service.service_file import platform_of
from driftstair.service.units import shown_duration
from driftstair.settings import Config

FINE, PROBLEMS, UNREADABLE = 0, 1, 2
FORMAT_CHECK = "driftstair.config.check/1"
FORMAT_SHOW = "driftstair.config.show/1"


def _platform(options: argparse.Namespace) -> Config | None:
    """Raises ConfigError."""
    return load({"BALANCER_CONFIG": options.config}) if options.config else None


def check(options: argparse.Namespace) -> int:
    status, found = FINE, []
    try:
        config = _platform(options)
        loaded = read(options.file)
        found = find_problems(
            loaded, None if config is None else platform_of(config, split_descriptors(config)[0])
        )
        status = PROBLEMS if any(not one.warning for one in found) else FINE
    except ConfigError as problem:
        print(f"driftstair: {options.config}: {problem}", file=sys.stderr)
        return UNREADABLE
    except ServiceError as problem:
        found = problem.problems
        status = UNREADABLE if problem.unreadable else PROBLEMS
    _tell(found, options, status)
    return status


def _tell(found: list[Problem], options: argparse.Namespace, status: int) -> None:
    if options.json:
        json.dump({"format": FORMAT_CHECK, "status": status, "problems": [asdict(one) for one in found]},
                  sys.stdout, indent=1)  # fmt: skip
        print()
        return
    for one in found:
        print(one, file=sys.stderr if status == UNREADABLE else sys.stdout)
    errors = sum(not one.warning for one in found)
    if status != UNREADABLE:
        against = f" against {options.config}" if options.config else ", without a platform's configuration"
        print(f"{options.file}: {errors} problems, {len(found) - errors} warnings{against}")


def show(options: argparse.Namespace) -> int:
    try:
        config = _platform(options)
        loaded = read(options.file)
    except ConfigError as problem:
        print(f"driftstair: {options.config}: {problem}", file=sys.stderr)
        return UNREADABLE
    except ServiceError as problem:
        for one in problem.problems:
            print(one, file=sys.stderr)
        return UNREADABLE if problem.unreadable else PROBLEMS
    rows = list(_values(loaded.service, "", options.file))
    if config is not None:
        rows += _told(config)
    if options.json:
        json.dump({"format": FORMAT_SHOW, "values": [
            {"key": key, "value": value, "from": source} for key, value, source in rows
        ]}, sys.stdout, indent=1)  # fmt: skip
        print()
    else:
        wide = max(len(key) for key, _, _ in rows)
        for key, value, source in rows:
            print(f"{key:<{wide}}  {json.dumps(value)}  ({source})")
    return FINE


def _values(table: BaseModel, path: str, file: str) -> Any:
    """Each value with where it comes from."""
    shown = table.model_dump(mode="json", by_alias=True)
    for name, field in type(table).model_fields.items():
        key = field.alias or name
        where = f"{path}.{key}" if path else key
        value = getattr(table, name)
        source = file if name in table.model_fields_set else "default"
        if isinstance(value, BaseModel):
            yield from _values(value, where, file)
        elif isinstance(value, tuple) and value and isinstance(value[0], BaseModel):
            for index, one in enumerate(value):
                yield from _values(one, f"{where}[{index}]", file)
        else:
            yield where, shown[key], source


def _told(config: Config) -> list[tuple[str, Any, str]]:
    """What the platform sets and the file has to fit."""
    settings = config.settings
    rows: list[tuple[str, Any, str]] = [
        ("platform.attempts", settings.max_attempts, "platform"),
        ("platform.nodes", settings.nodes, "platform"),
        ("platform.clients", split_descriptors(config)[0], "platform"),
        ("platform.open", config.open_cap, "platform"),
    ]
    for name, index in config.classes.items():
        kind = settings.classes[index]
        where = f"platform.class.{name.decode()}"
        rows += [
            (f"{where}.wanted", shown_duration(kind.aim), "platform"),
            (f"{where}.wait", shown_duration(config.deadlines[index]), "platform"),
            (f"{where}.repeat", kind.repeat.value, "platform"),
        ]
    return rows


def schema(_: argparse.Namespace) -> int:
    json.dump(Service.model_json_schema(by_alias=True), sys.stdout, indent=1)
    print()
    return FINE
