"""What the platform tells a node: its environment and its configuration file, checked."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from typing import Any

from driftstair.files import CONFIGURATION_BYTES_MAX, FileError, parse_text, read_text
from driftstair.hosts import HostList, ListError, parse_address, parse_list
from driftstair.settings import Config
from lichenspring.settings import SettingsError, SettingsReader, flatten, parse_settings

SOCKETS_LEAST = 96  # below that no node could serve anybody


class ConfigError(Exception):
    """The configuration can't be used; the text names the key."""


def load(environment: Mapping[str, str]) -> Config:
    """The node's configuration; raises ConfigError."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        document = parse_text(read_text(path, CONFIGURATION_BYTES_MAX), json.loads)
    except FileError as problem:
        raise ConfigError(f"BALANCER_CONFIG {problem}") from None
    except ValueError:
        raise ConfigError("BALANCER_CONFIG is no JSON text") from None
    if not isinstance(document, dict):
        raise ConfigError("BALANCER_CONFIG holds no JSON object")
    return parse_document(environment, document)


def stamp(environment: Mapping[str, str]) -> tuple[int, int, int] | None:
    """What tells one state of the configuration's file from another; None where there is no file."""
    try:
        found = os.stat(environment.get("BALANCER_CONFIG", ""))
    except OSError:
        return None
    return found.st_ino, found.st_size, found.st_mtime_ns


def reload(environment: Mapping[str, str]) -> Config:
    """The configuration as its file tells it now. The environment is as old as the process: the file's
    address of discovery is the newer one."""
    return load({name: text for name, text in environment.items() if name != "BALANCER_DISCOVERY"})


def parse_document(environment: Mapping[str, str], document: dict[str, Any]) -> Config:
    """The configuration from the object that its file holds; raises ConfigError."""
    try:
        return _checked(environment, document)
    except (SettingsError, ValueError) as problem:
        raise ConfigError(f"settings: {problem}") from None
    except RecursionError:
        raise ConfigError("settings: nested too deeply; a few levels would do") from None


def _checked(environment: Mapping[str, str], document: dict[str, Any]) -> Config:
    tree = _object(document, "settings")
    mapping = dict(flatten(tree))
    settings = parse_settings(mapping)
    values = SettingsReader(mapping)
    return Config(
        listen=_address(environment, "BALANCER_LISTEN", document, "listen"),
        discovery=_address(environment, "BALANCER_DISCOVERY", document, "discovery"),
        seed=_seed(document),
        sockets=_sockets(document),
        initial_list=_known(document),
        settings=settings,
        classes={name.encode(): index for index, name in enumerate(_names(tree, "Grades"))},
        deadlines=values.read_list("Grades", lambda found, path: found.integer(f"{path}.Deadline", least=1)),
        tenants={name.encode(): index for index, name in enumerate(_names(tree, "Tenants"))},
        zones=_indexed(tree, "Zones"),
        kinds=_indexed(tree, "Kinds"),
        report_fields=tuple(word.encode() for word in values.string_list("Feedback.Fields")),
        dial_timeout=values.integer("Limits.DialTimeout", least=1),
        idle_close=values.integer("Limits.IdleClose", least=1),
        open_cap=values.integer("Limits.OpenCap", least=1),
        memory_bytes_max=_memory(document),
        operators=_operators(environment, document),
        peer_settings=_between(document, tree),
        name=str(environment.get("BALANCER_NAME") or document.get("name") or ""),
    )


def _object(holder: dict[str, Any], key: str) -> dict[str, Any]:
    value = holder.get(key)
    if not isinstance(value, dict):
        raise ConfigError(f"{key} is no object")
    return value


def _address(
    environment: Mapping[str, str], variable: str, document: dict[str, Any], key: str
) -> tuple[str, int]:
    name, text = (variable, environment[variable]) if variable in environment else (key, document.get(key))
    try:
        return parse_address(text)
    except ListError:
        raise ConfigError(f"{name} is no address: {text!r}") from None


def _operators(environment: Mapping[str, str], document: dict[str, Any]) -> tuple[str, int] | None:
    if not environment.get("BALANCER_OPS") and document.get("ops") is None:
        return None  # nobody calls
    return _address(environment, "BALANCER_OPS", document, "ops")


def _between(document: dict[str, Any], tree: dict[str, Any]) -> dict[str, Any] | None:
    """Kept as it stands: without a tier nobody reads it, and a node starts whatever it says."""
    limits = tree.get("Limits")
    if not isinstance(limits, dict) or limits.get("Peers") is not True:
        return None
    return {"zone": tree.get("MyZone")} | {
        key: document[key] for key in ("peer_listen", "peers") if key in document
    }


def _seed(document: dict[str, Any]) -> int:
    seed = document.get("seed")
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        raise ConfigError(f"seed is unreadable: {seed!r}") from None


def _sockets(document: dict[str, Any]) -> int:
    sockets = _object(document, "limits").get("sockets")
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < SOCKETS_LEAST:
        raise ConfigError(f"limits.sockets is no number from {SOCKETS_LEAST}: {sockets!r}")
    return sockets


def _memory(document: dict[str, Any]) -> int:
    megabytes = _object(document, "limits").get("memory_mb", 64)
    if not isinstance(megabytes, int | float) or isinstance(megabytes, bool) or not 1 <= megabytes < 1 << 30:
        raise ConfigError(f"limits.memory_mb is no number from 1: {megabytes!r}")
    return int(megabytes * (1 << 20))


def _known(document: dict[str, Any]) -> HostList:
    try:
        return parse_list(document.get("known"))
    except ListError as problem:
        raise ConfigError(f"known is unreadable: {problem}") from None


def _names(tree: dict[str, Any], key: str) -> list[str]:
    """The names in a list of objects; the wire's flat form would not keep their spaces and commas."""
    found = tree.get(key) or []
    if not all(isinstance(item, dict) and isinstance(item.get("Name"), str) for item in found):
        raise ConfigError(f"settings: {key} has an entry without Name")
    return [item["Name"] for item in found]


def _indexed(tree: dict[str, Any], key: str) -> dict[str, int]:
    found = tree.get(key)
    if not isinstance(found, list):
        raise ConfigError(f"settings: {key} is no list")
    return {str(name): index for index, name in enumerate(found)}
