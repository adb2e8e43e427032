"""The interface between the runner and what a rehearsal runs on: `virtual` (in memory) or `sockets` (on
loopback)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from driftstair.rehearsal.fakes.place import FakeMachine
from driftstair.rehearsal.platform import Peers
from driftstair.rehearsal.tier.histories import Event
from driftstair.rehearsal.tier.links import Links


class NodeProcess(Protocol):
    """A node: its machine, and the daemon's process on it while that runs."""

    @property
    def name(self) -> str: ...

    @property
    def running(self) -> bool: ...

    def address(self) -> tuple[str, int]:
        """The address on which the daemon listens or will listen."""

    def start(self, document: dict[str, Any]) -> None:
        """Starts the daemon with this configuration."""

    def kill(self) -> None:
        """Sends SIGKILL."""

    def terminate(self) -> None:
        """Sends SIGTERM."""

    def reload(self, document: dict[str, Any]) -> None:
        """Replaces the configuration file and sends SIGHUP."""

    def vanish(self) -> None:
        """Cuts the machine off from the network without notice to its peers."""

    def come_back(self) -> None:
        """Connects the machine to the network again."""

    def suspend(self) -> None:
        """Sends SIGSTOP."""

    def resume(self) -> None:
        """Sends SIGCONT."""

    def open_descriptors(self) -> int:
        """How many descriptors the daemon has open."""


class Environment(Protocol):
    """Machines, nodes and the network of one rehearsal."""

    def fake_machine(self, name: str) -> FakeMachine:
        """Adds a machine for a fake."""

    def node(self, name: str, on_exit: Callable[[str, str], None]) -> NodeProcess:
        """Adds a machine for a node. `on_exit(name, reason)` is called when the daemon's process ends without
        being killed; the reason is empty for exit status 0."""

    def connect_peers(self, links: Links) -> None:
        """Sends the datagrams between nodes through `links`, by node number. Called once all nodes exist."""

    def peers(self, name: str) -> Peers:
        """The peer addresses for a node's configuration. Available after `connect_peers`."""

    def histories(self) -> list[list[Event]]:
        """The events that each node of a tier has recorded, with times on the runner's clock."""

    def find_deadlock(self) -> str:
        """Describes a node that runs but can never continue; empty if there is none."""

    def finish(self) -> None:
        """Ends the run; called by the runner when it is done."""
