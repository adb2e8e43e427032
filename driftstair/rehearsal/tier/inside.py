"""The nodes' tier in virtual time. No file is written, so that a run depends only on its inputs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from driftstair.net.system import System
from driftstair.rehearsal.tier.liar import misreport_failures
from driftstair.rehearsal.tier.stage import TIER_KEY
from driftstair.service.load import LoadedService
from driftstair.service.service_file import ServiceFile, budget_specs
from driftstair.settings import Config
from driftstair.tier import peer_config
from driftstair.tier.history import History
from driftstair.tier.service import Tier


class MemoryHistory(History):
    """A history that is kept in memory in place of a file."""

    def __init__(self, events: list[dict[str, Any]]) -> None:
        self._events = events

    def write(self, t_ns: int, node: int, generation: int, event: str, **fields: Any) -> None:
        """Appends an event."""
        self._events.append({"t_ns": t_ns, "node": node, "life": generation, "event": event, **fields})

    def close(self) -> None:
        """Does nothing: there is no file to close."""


class TierFile(ServiceFile):
    """The service file of all nodes: the scenario's file if there is one, with a tier added.
    `history_of(name)` returns the list to which a node's events are appended; `budgets` holds tables of the
    fleet's budgets."""

    def __init__(
        self, base: ServiceFile | None, period: int, history_of: Callable[[str], list[dict[str, Any]]],
        budgets: str = "", judges: bool = False, liars: tuple[str, ...] = (),
    ) -> None:  # fmt: skip
        self._judges = judges
        self._liars = liars
        super().__init__("the tier's" if base is None else base.file)
        self._text = f'version = 1\n[tier]\nkey = "in memory"\n{budgets}' if budgets else "version = 1\n"
        self._base = base
        self._period = period
        self._history_of = history_of

    def load(self) -> LoadedService:
        """Loads the scenario's service file, or the built-in one if there is none."""
        return super().load() if self._base is None else self._base.load()

    def _create_tier(self, loaded: LoadedService, config: Config, system: System) -> Tier:
        history = MemoryHistory(self._history_of(config.name))
        tier = Tier(
            config, peer_config.read(config), self._period, TIER_KEY, history, None, system,
            budget_specs(loaded), self._judges,
        )  # fmt: skip
        if config.name in self._liars and tier.sharing is not None:
            misreport_failures(tier.sharing)
        return tier
