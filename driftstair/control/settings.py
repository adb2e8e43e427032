"""The settings file of a control server: its schema, and a reader that reports every problem on a line."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from driftstair.files import FileError, read_text
from driftstair.hosts import ListError, parse_address
from driftstair.service.load import Problem, ServiceError, parse_as
from driftstair.service.schema import Name
from driftstair.service.units import Size, Version, WholeNumber

SERVERS_MAX = 7
SNAPSHOT_BYTES_PER_S = 3_000  # operators allow a node this much for all control traffic

Address = tuple[str, int]


def _parse_address(value: object) -> Address:
    try:
        return parse_address(value)
    except ListError:
        raise ValueError('wants "HOST:PORT" with a numeric host, such as "10.0.0.1:7400"') from None


AddressText = Annotated[Address, BeforeValidator(_parse_address)]


class ServerSettings(BaseModel):
    """One control server."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    version: Version
    name: Name
    listen: AddressText
    folder: Annotated[str, Field(min_length=1)]  # holds the log and the snapshot; has to outlive the process
    # All control servers including this one, in the same order in every file. A single server may omit it.
    peers: Annotated[tuple[AddressText, ...], Field(max_length=SERVERS_MAX)] = ()
    number: Annotated[WholeNumber, Field(ge=0, lt=SERVERS_MAX)] | None = None  # own index in `peers`
    snapshot_rate: Annotated[Size, Field(ge=1)] = SNAPSHOT_BYTES_PER_S  # per second and watch

    @property
    def own_number(self) -> int:
        """The index of this server in `peers`."""
        if self.number is not None:
            return self.number
        return self.peers.index(self.listen) if self.peers else 0

    @property
    def count(self) -> int:
        """The number of control servers."""
        return max(1, len(self.peers))


def read_settings(file: str) -> ServerSettings:
    """Reads a settings file. Raises ServiceError with all problems of the file."""
    try:
        text = read_text(file)
    except FileError as problem:
        raise ServiceError([Problem(file, 0, "the file", str(problem))], unreadable=True) from None
    settings, lines = parse_as(text, file, ServerSettings)
    problems = [
        Problem(file, lines.get((key,), 1), key, why, instead=remedy)
        for key, why, remedy in _inconsistencies(settings)
    ]
    if problems:
        raise ServiceError(problems)
    return settings


def _inconsistencies(settings: ServerSettings) -> list[tuple[str, str, str]]:
    """Checks that involve several keys or the file system. Returns the key, fault and remedy of each
    problem."""
    problems = []
    listen = _address_text(settings.listen)
    if len(set(settings.peers)) < len(settings.peers):
        problems.append(("peers", "names an address twice", "each server once"))
    if len(settings.peers) == 1 and settings.number is None and settings.peers[0] != settings.listen:
        problems.append(("peers", f"has one server, and it is not {listen}", "leaving it out"))
    elif settings.peers and settings.number is None and settings.listen not in settings.peers:
        problems.append(
            ("peers", f"does not have {listen}, which is `listen`", "`number`, the own place in it,")
        )
    if settings.number is not None and settings.number >= settings.count:
        problems.append(("number", f"{settings.number} is no place in `peers`", f"0 to {settings.count - 1}"))
    if any(port == 0 for _, port in settings.peers):
        problems.append(("peers", "has a port 0", "the ports on which the servers listen"))
    problem = _folder_problem(settings.folder)
    if problem:
        problems.append(("folder", problem, "a folder that this process may write to"))
    return problems


def _folder_problem(folder: str) -> str:
    if "\0" in folder:
        return "holds a zero byte"
    try:
        if not Path(folder).is_dir():
            return f"{folder!r:.80} is no folder"
        if not os.access(folder, os.W_OK | os.X_OK):
            return f"{folder!r:.80} can't be written to: {os.strerror(errno.EACCES)}"
    except OSError as problem:
        return f"{folder!r:.80} can't be read: {problem.strerror}"
    return ""


def _address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
