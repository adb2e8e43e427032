"""What a rehearsal is played on: `virtual` in memory, `sockets` on loopback. The runner knows only this."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from driftstair.rehearsal.fakes.place import Place
from driftstair.rehearsal.platform import Peers
from driftstair.rehearsal.tier.histories import Event
from driftstair.rehearsal.tier.links import Links


class NodeProcess(Protocol):
    """One node of the tier: a machine, and the daemon on it while it runs."""

    @property
    def name(self) -> str: ...

    @property
    def running(self) -> bool: ...

    def address(self) -> tuple[str, int]:
        """Where it listens, or will."""

    def start(self, document: dict[str, Any]) -> None: ...

    def kill(self) -> None:
        """SIGKILL."""

    def terminate(self) -> None:
        """SIGTERM."""

    def reload(self, document: dict[str, Any]) -> None:
        """Its file is replaced, and it gets SIGHUP."""

    def vanish(self) -> None: ...

    def come_back(self) -> None: ...

    def stand_still(self) -> None:
        """SIGSTOP."""

    def go_on(self) -> None:
        """SIGCONT."""

    def descriptors(self) -> int:
        """In use now."""


class Environment(Protocol):
    def place(self, name: str) -> Place:
        """A machine for a fake."""

    def node(self, name: str, ended: Callable[[str, str], None]) -> NodeProcess:
        """A machine for a node. `ended(name, why)` is called when its process ends by itself; `why` is empty
        for an end with status 0."""

    def join(self, links: Links) -> None:
        """Once all nodes are made: datagrams between them go through `links`, by number."""

    def peers(self, name: str) -> Peers:
        """Only after `join`."""

    def histories(self) -> list[list[Event]]:
        """What the nodes of a tier have written down, each node's, with times as the runner's."""

    def stuck(self) -> str:
        """What waits for something that can never happen, or nothing."""

    def finish(self) -> None:
        """The runner has seen all that it wants."""
