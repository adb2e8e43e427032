"""Limits of tenants as the figures that requests go by: read when first used, the ones used last kept.

At rest a tenant takes some 20 bytes beyond its name; a look-up there takes a few microseconds, and one here a
tenth of one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.schema import ContentError, TenantLimits, parse_tenant

NAMES_MAX = 4_096  # tenants; clients make up names, so those that have no limit count too: some 0.6 MB
CONTENTS_MAX = 1_024  # contents that equal ones are looked for among: tenants have few plans

Figures = TypeVar("Figures")


class TenantTable(Generic[Figures]):
    def __init__(
        self, content_of: Callable[[ResourceKey], bytes | None], figures_of: Callable[[TenantLimits], Figures]
    ) -> None:
        """`content_of`: the content in force of a resource. `figures_of`: what a request goes by."""
        self._content_of = content_of
        self._figures_of = figures_of
        self._by_name: dict[str, Figures | None] = {}  # the one read last at the end
        self._by_content: dict[bytes, Figures] = {}

    def find(self, name: str) -> Figures | None:
        """None: no limit."""
        try:
            return self._by_name[name]
        except KeyError:
            return self._read(name)

    def on_change(self, name: str) -> None:
        """The tenant's limit is another one, or none."""
        self._by_name.pop(name, None)

    def on_change_of_all(self) -> None:
        self._by_name.clear()

    def _read(self, name: str) -> Figures | None:
        content = self._content_of(ResourceKey(ResourceKind.TENANT, name))
        figures = None if content is None else self._by_content.get(content) or self._compile(content)
        if len(self._by_name) >= NAMES_MAX:
            del self._by_name[next(iter(self._by_name))]
        self._by_name[name] = figures
        return figures

    def _compile(self, content: bytes) -> Figures | None:
        try:
            figures = self._figures_of(parse_tenant(content))
        except ContentError:
            return None  # nothing that was proved
        if len(self._by_content) >= CONTENTS_MAX:
            self._by_content.clear()
        self._by_content[content] = figures
        return figures
