"""Loads and validates the platform's configuration of a node, from its environment and its file."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from typing import Any

from driftstair.files import CONFIGURATION_BYTES_MAX, FileError, parse_text, read_text
from driftstair.hosts import HostList, ListError, parse_address, parse_list
from driftstair.settings import Config
from lichenspring.settings import SettingsError, SettingsReader, flatten, parse_settings

SOCKETS_MIN = 96  # with fewer, no descriptors remain for clients and servers


class ConfigError(Exception):
    """The configuration can't be used; the text names the key."""


def load(environment: Mapping[str, str]) -> Config:
    """Loads the node's configuration; raises ConfigError."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        document = parse_text(read_text(path, CONFIGURATION_BYTES_MAX), json.loads)
    except FileError as problem:
        raise ConfigError(f"BALANCER_CONFIG {problem}") from None
    except ValueError:
        raise ConfigError("BALANCER_CONFIG is not valid JSON") from None
    if not isinstance(document, dict):
        raise ConfigError("BALANCER_CONFIG is not a JSON object")
    return parse_document(environment, document)


def file_stamp(environment: Mapping[str, str]) -> tuple[int, int, int] | None:
    """Identifies the current content of the configuration file; None if there is no file."""
    try:
        file_status = os.stat(environment.get("BALANCER_CONFIG", ""))
    except OSError:
        return None
    return file_status.st_ino, file_status.st_size, file_status.st_mtime_ns


def reload(environment: Mapping[str, str]) -> Config:
    """Loads the current configuration file. The environment dates from the start of the process, so the
    file's address of the discovery service takes precedence."""
    return load({name: text for name, text in environment.items() if name != "BALANCER_DISCOVERY"})


def parse_document(environment: Mapping[str, str], document: dict[str, Any]) -> Config:
    """Builds the configuration from the file's JSON object; raises ConfigError."""
    try:
        return _build_config(environment, document)
    except (SettingsError, ValueError) as problem:
        raise ConfigError(f"settings: {problem}") from None
    except RecursionError:
        raise ConfigError("settings: nested too deeply; a few levels would do") from None


def _build_config(environment: Mapping[str, str], document: dict[str, Any]) -> Config:
    settings_tree = _require_object(document, "settings")
    flat_settings = dict(flatten(settings_tree))
    settings = parse_settings(flat_settings)
    reader = SettingsReader(flat_settings)
    return Config(
        listen=_address(environment, "BALANCER_LISTEN", document, "listen"),
        discovery=_address(environment, "BALANCER_DISCOVERY", document, "discovery"),
        seed=_seed(document),
        sockets=_sockets(document),
        initial_list=_initial_list(document),
        settings=settings,
        classes={name.encode(): index for index, name in enumerate(_names(settings_tree, "Grades"))},
        deadlines=reader.read_list("Grades", lambda entry, path: entry.integer(f"{path}.Deadline", least=1)),
        tenants={name.encode(): index for index, name in enumerate(_names(settings_tree, "Tenants"))},
        zones=_index_by_name(settings_tree, "Zones"),
        kinds=_index_by_name(settings_tree, "Kinds"),
        report_fields=tuple(word.encode() for word in reader.string_list("Feedback.Fields")),
        dial_timeout=reader.integer("Limits.DialTimeout", least=1),
        idle_close=reader.integer("Limits.IdleClose", least=1),
        open_cap=reader.integer("Limits.OpenCap", least=1),
        memory_bytes_max=_memory_bytes(document),
        operators=_operators_address(environment, document),
        peer_settings=_peer_settings(document, settings_tree),
        name=str(environment.get("BALANCER_NAME") or document.get("name") or ""),
    )


def _require_object(parent: dict[str, Any], key: str) -> dict[str, Any]:
    value = parent.get(key)
    if not isinstance(value, dict):
        raise ConfigError(f"{key} is not an object")
    return value


def _address(
    environment: Mapping[str, str], variable: str, document: dict[str, Any], key: str
) -> tuple[str, int]:
    name, text = (variable, environment[variable]) if variable in environment else (key, document.get(key))
    try:
        return parse_address(text)
    except ListError:
        raise ConfigError(f"{name} is not an address: {text!r}") from None


def _operators_address(environment: Mapping[str, str], document: dict[str, Any]) -> tuple[str, int] | None:
    if not environment.get("BALANCER_OPS") and document.get("ops") is None:
        return None  # no operators' API
    return _address(environment, "BALANCER_OPS", document, "ops")


def _peer_settings(document: dict[str, Any], settings_tree: dict[str, Any]) -> dict[str, Any] | None:
    """Not validated here: it is unused without a tier, and an error in it must not prevent the start."""
    limits = settings_tree.get("Limits")
    if not isinstance(limits, dict) or limits.get("Peers") is not True:
        return None
    return {"zone": settings_tree.get("MyZone")} | {
        key: document[key] for key in ("peer_listen", "peers") if key in document
    }


def _seed(document: dict[str, Any]) -> int:
    seed = document.get("seed")
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        raise ConfigError(f"seed is not a number: {seed!r}") from None


def _sockets(document: dict[str, Any]) -> int:
    sockets = _require_object(document, "limits").get("sockets")
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < SOCKETS_MIN:
        raise ConfigError(f"limits.sockets is not a whole number from {SOCKETS_MIN}: {sockets!r}")
    return sockets


def _memory_bytes(document: dict[str, Any]) -> int:
    megabytes = _require_object(document, "limits").get("memory_mb", 64)
    if not isinstance(megabytes, int | float) or isinstance(megabytes, bool) or not 1 <= megabytes < 1 << 30:
        raise ConfigError(f"limits.memory_mb is not a number from 1: {megabytes!r}")
    return int(megabytes * (1 << 20))


def _initial_list(document: dict[str, Any]) -> HostList:
    try:
        return parse_list(document.get("known"))
    except ListError as problem:
        raise ConfigError(f"known is invalid: {problem}") from None


def _names(settings_tree: dict[str, Any], key: str) -> list[str]:
    """The names in a list of objects; the flat wire form would lose their spaces and commas."""
    entries = settings_tree.get(key) or []
    if not all(isinstance(item, dict) and isinstance(item.get("Name"), str) for item in entries):
        raise ConfigError(f"settings: {key} has an entry without Name")
    return [item["Name"] for item in entries]


def _index_by_name(settings_tree: dict[str, Any], key: str) -> dict[str, int]:
    entries = settings_tree.get(key)
    if not isinstance(entries, list):
        raise ConfigError(f"settings: {key} is not a list")
    return {str(name): index for index, name in enumerate(entries)}
