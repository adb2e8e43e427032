"""The service file in use: read, proved against the platform's configuration, and compiled for the node."""

from __future__ import annotations

import logging

from driftstair.limits.proof import Platform, prove
from driftstair.limits.table import Table
from driftstair.service.load import Loaded, Problem, ServiceError, parse, read
from driftstair.settings import Config

log = logging.getLogger(__name__)


def platform_of(config: Config, clients_most: int) -> Platform:
    names = [name.decode() for name in config.classes]
    return Platform(
        classes=dict(zip(names, config.settings.classes, strict=True)),
        waits=dict(zip(names, config.deadlines, strict=True)),
        tenants=tuple(name.decode() for name in config.tenants),
        settings=config.settings, clients_most=clients_most, open_most=config.open_cap,
    )  # fmt: skip


def checked(loaded: Loaded, config: Config, clients_most: int) -> tuple[Table, list[Problem]]:
    """The routes, and warnings; raises ServiceError with every error."""
    found = prove(loaded, platform_of(config, clients_most))
    errors = [one for one in found if not one.warning]
    if errors:
        raise ServiceError(errors)
    return Table(loaded.service, config.settings, f"{loaded.file} ({loaded.hash})"), found


class ServiceFile:
    """A file, or a text in its place."""

    def __init__(self, file: str, text: str | None = None) -> None:
        self.file = file
        self._text = text

    def load(self) -> Loaded:
        return read(self.file) if self._text is None else parse(self._text, self.file)

    def table(self, config: Config, clients_most: int) -> Table:
        """As the file is now; raises ServiceError."""
        table, warnings = checked(self.load(), config, clients_most)
        for one in warnings:
            log.warning("%s", one)
        return table
