"""Reads the module's settings from a mapping of paths to values. Used by the adapter and the node."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import TypeVar

from lichenspring import interface as api

_T = TypeVar("_T")

REPEATS = {"repeatable": api.Repeat.SAFE, "by_key": api.Repeat.KEYED, "once": api.Repeat.UNSAFE}
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}
LIST_MODES = {"pushed": api.ListMode.PUSHED, "on_request": api.ListMode.ON_REQUEST}
FLAGS = {"true": True, "false": False}
REPORT_FIELDS = {
    "concurrent": "in_flight", "depth": "queued", "load_share": "utilization",
    "mean_ms": "service_ms", "tps": "completed_per_s", "err_ps": "errors_per_s",
}  # fmt: skip


class SettingsError(Exception):
    """A required setting is missing or unreadable; the message names it."""


def flatten(tree: object, path: str = "") -> Iterator[tuple[str, str]]:
    """The paths and values of a settings object in the text form of the simulator's protocol: lists of plain
    values are joined with commas, lists of objects are given by their count and indices."""
    if isinstance(tree, dict):
        for name, value in tree.items():
            yield from flatten(value, f"{path}.{name}" if path else str(name))
    elif isinstance(tree, list) and tree and isinstance(tree[0], dict):
        yield f"{path}.count", str(len(tree))
        for index, value in enumerate(tree):
            yield from flatten(value, f"{path}.{index}")
    elif isinstance(tree, list):
        yield path, ",".join(str(value) for value in tree)
    elif isinstance(tree, bool):
        yield path, str(tree).lower()
    else:
        yield path, str(tree)


class SettingsReader:
    """Checked access to the settings by path."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def text(self, path: str) -> str:
        if path not in self._values:
            raise SettingsError(f"required setting {path} is missing")
        return self._values[path]

    def has(self, path: str) -> bool:
        return path in self._values

    def _parsed(self, path: str, parse: Callable[[str], _T]) -> _T:
        text = self.text(path)
        try:
            return parse(text)
        except (ValueError, OverflowError):
            raise SettingsError(f"required setting {path} is unreadable: {text!r}") from None

    def integer(self, path: str, least: int = 0) -> int:
        value = self._parsed(path, int)
        if value < least:
            raise SettingsError(f"required setting {path} is below {least}: {value}")
        return value

    def number(self, path: str) -> float:
        return self._parsed(path, _non_negative)

    def one_of(self, path: str, table: Mapping[str, _T]) -> _T:
        text = self.text(path)
        if text not in table:
            raise SettingsError(f"required setting {path} is unreadable: {text!r}")
        return table[text]

    def flag(self, path: str) -> bool:
        return self.one_of(path, FLAGS)

    def string_list(self, path: str) -> tuple[str, ...]:
        return tuple(word for word in self.text(path).split(",") if word)

    def read_list(self, path: str, read: Callable[[SettingsReader, str], _T]) -> tuple[_T, ...]:
        return tuple(read(self, f"{path}.{index}") for index in range(self.integer(f"{path}.count")))


def _non_negative(text: str) -> float:
    value = float(text)
    if not 0.0 <= value < float("inf"):
        raise ValueError(text)
    return value


def _request_class(values: SettingsReader, path: str) -> api.RequestClass:
    return api.RequestClass(
        aim=values.integer(f"{path}.Aim", least=1),
        worth=values.number(f"{path}.Worth"),
        late_worth=values.number(f"{path}.LateShare"),
        repeat=values.one_of(f"{path}.Semantics", REPEATS),
        group=values.one_of(f"{path}.Group", GROUPS),
        window=values.integer(f"{path}.MemorySpan"),
        in_order=values.has(f"{path}.OneAtATime") and values.flag(f"{path}.OneAtATime"),
    )


def _tenant(values: SettingsReader, path: str) -> api.Tenant:
    return api.Tenant(
        share=values.number(f"{path}.Share"),
    )


def _tenants(values: SettingsReader) -> tuple[api.Tenant, ...]:
    """Empty if the settings define no tenants."""
    return values.read_list("Tenants", _tenant) if values.has("Tenants.count") else ()


def parse_settings(mapping: Mapping[str, str]) -> api.Settings:
    """The module's settings. Raises SettingsError, or ValueError for values that no balancer could use."""
    values = SettingsReader(mapping)
    return api.Settings(
        classes=values.read_list("Grades", _request_class),
        tenants=_tenants(values),
        nodes=values.integer("PeersTotal", least=1),
        list_mode=values.one_of("MembershipMode", LIST_MODES),
        ask_within=values.integer("Contract.AskWithin"),
        cold_share=values.number("Contract.ColdShare"),
        cold_time=values.integer("Contract.Cold"),
        max_attempts=values.integer("Limits.SendCap", least=1),
        max_retry_after=values.integer("Limits.MaxRetryAfter"),
        retry_after=values.flag("Limits.RetryAfter"),
        worth_by_work=values.one_of("WorthBy", {"request": False, "work": True}),
        report_fields=tuple(REPORT_FIELDS.get(word, word) for word in values.string_list("Feedback.Fields")),
        idle_close=values.integer("Limits.IdleClose"),
        key_rest=values.integer("Contract.KeyRest") if values.has("Contract.KeyRest") else 0,
        number=values.integer("SelfIndex") if values.has("SelfIndex") else 0,
        fall_multiple=values.number("Contract.FallMultiple") if values.has("Contract.FallMultiple") else 0.0,
    )
