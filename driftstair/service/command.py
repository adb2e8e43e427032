"""`driftstair config check|show|schema`."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from typing import Any

from pydantic import BaseModel

from driftstair.config import ConfigError, load
from driftstair.limits.validation import find_problems
from driftstair.service.load import Problem, ServiceError, read
from driftstair.service.schema import Service
from driftstair.service.service_file import platform_of
from driftstair.service.units import shown_duration
from driftstair.settings import Config, split_descriptors

EXIT_OK, EXIT_PROBLEMS, EXIT_UNREADABLE = 0, 1, 2
FORMAT_CHECK = "driftstair.config.check/1"
FORMAT_SHOW = "driftstair.config.show/1"


def _load_platform(options: argparse.Namespace) -> Config | None:
    """Loads the platform's configuration if one was given. Raises ConfigError."""
    return load({"BALANCER_CONFIG": options.config}) if options.config else None


def check(options: argparse.Namespace) -> int:
    """Reports all problems of a service file; returns the exit status."""
    status, problems = EXIT_OK, []
    try:
        config = _load_platform(options)
        loaded = read(options.file)
        problems = find_problems(
            loaded, None if config is None else platform_of(config, split_descriptors(config)[0])
        )
        status = EXIT_PROBLEMS if any(not problem.warning for problem in problems) else EXIT_OK
    except ConfigError as error:
        print(f"driftstair: {options.config}: {error}", file=sys.stderr)
        return EXIT_UNREADABLE
    except ServiceError as error:
        problems = error.problems
        status = EXIT_UNREADABLE if error.unreadable else EXIT_PROBLEMS
    _print_problems(problems, options, status)
    return status


def _print_problems(problems: list[Problem], options: argparse.Namespace, status: int) -> None:
    if options.json:
        json.dump({"format": FORMAT_CHECK, "status": status, "problems": [
            asdict(problem) for problem in problems
        ]}, sys.stdout, indent=1)  # fmt: skip
        print()
        return
    for problem in problems:
        print(problem, file=sys.stderr if status == EXIT_UNREADABLE else sys.stdout)
    errors = sum(not problem.warning for problem in problems)
    if status != EXIT_UNREADABLE:
        platform_note = (
            f" against {options.config}" if options.config else ", without a platform's configuration"
        )
        print(f"{options.file}: {errors} problems, {len(problems) - errors} warnings{platform_note}")


def show(options: argparse.Namespace) -> int:
    """Shows the effective settings; returns the exit status."""
    try:
        config = _load_platform(options)
        loaded = read(options.file)
    except ConfigError as error:
        print(f"driftstair: {options.config}: {error}", file=sys.stderr)
        return EXIT_UNREADABLE
    except ServiceError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return EXIT_UNREADABLE if error.unreadable else EXIT_PROBLEMS
    rows = list(_value_rows(loaded.service, "", options.file))
    if config is not None:
        rows += _platform_rows(config)
    if options.json:
        json.dump({"format": FORMAT_SHOW, "values": [
            {"key": key, "value": value, "from": source} for key, value, source in rows
        ]}, sys.stdout, indent=1)  # fmt: skip
        print()
    else:
        key_width = max(len(key) for key, _, _ in rows)
        for key, value, source in rows:
            print(f"{key:<{key_width}}  {json.dumps(value)}  ({source})")
    return EXIT_OK


def _value_rows(table: BaseModel, path: str, file: str) -> Any:
    """Yields the path, the value and the source (the file or "default") of each setting."""
    dumped = table.model_dump(mode="json", by_alias=True)
    for name, field in type(table).model_fields.items():
        key = field.alias or name
        value_path = f"{path}.{key}" if path else key
        value = getattr(table, name)
        source = file if name in table.model_fields_set else "default"
        if isinstance(value, BaseModel):
            yield from _value_rows(value, value_path, file)
        elif isinstance(value, tuple) and value and isinstance(value[0], BaseModel):
            for index, item in enumerate(value):
                yield from _value_rows(item, f"{value_path}[{index}]", file)
        else:
            yield value_path, dumped[key], source


def _platform_rows(config: Config) -> list[tuple[str, Any, str]]:
    """The values of the platform's configuration that the service file is validated against."""
    settings = config.settings
    rows: list[tuple[str, Any, str]] = [
        ("platform.attempts", settings.max_attempts, "platform"),
        ("platform.nodes", settings.nodes, "platform"),
        ("platform.clients", split_descriptors(config)[0], "platform"),
        ("platform.open", config.open_cap, "platform"),
    ]
    for name, index in config.classes.items():
        request_class = settings.classes[index]
        class_path = f"platform.class.{name.decode()}"
        rows += [
            (f"{class_path}.wanted", shown_duration(request_class.aim), "platform"),
            (f"{class_path}.wait", shown_duration(config.deadlines[index]), "platform"),
            (f"{class_path}.repeat", request_class.repeat.value, "platform"),
        ]
    return rows


def schema(_: argparse.Namespace) -> int:
    """Prints the JSON schema of the service file; returns the exit status."""
    json.dump(Service.model_json_schema(by_alias=True), sys.stdout, indent=1)
    print()
    return EXIT_OK
