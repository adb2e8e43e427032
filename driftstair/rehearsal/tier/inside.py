"""The tier of nodes in virtual time: no file is written, so that a run depends on nothing but its inputs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from driftstair.net.system import System
from driftstair.rehearsal.tier.liar import lie
from driftstair.rehearsal.tier.stage import KEY
from driftstair.service.load import LoadedService
from driftstair.service.service_file import ServiceFile, budget_specs
from driftstair.settings import Config
from driftstair.tier import peer_config
from driftstair.tier.history import History
from driftstair.tier.service import Tier


class Recorded(History):
    """In memory, in the place of a file."""

    def __init__(self, out: list[dict[str, Any]]) -> None:
        self._out = out

    def write(self, t_ns: int, node: int, generation: int, event: str, **fields: Any) -> None:
        self._out.append({"t_ns": t_ns, "node": node, "life": generation, "event": event, **fields})

    def close(self) -> None:
        """Nothing is open."""


class TierFile(ServiceFile):
    """What all nodes read: a service file if there is one, and a tier. `history(name)`: where a node's
    goes; `budgets`: tables of the fleet's."""

    def __init__(
        self, base: ServiceFile | None, period: int, history: Callable[[str], list[dict[str, Any]]],
        budgets: str = "", judges: bool = False, liars: tuple[str, ...] = (),
    ) -> None:  # fmt: skip
        self._judges = judges
        self._liars = liars
        super().__init__("the tier's" if base is None else base.file)
        self._text = f'version = 1\n[tier]\nkey = "in memory"\n{budgets}' if budgets else "version = 1\n"
        self._base = base
        self._period = period
        self._recorded = history

    def load(self) -> LoadedService:
        return super().load() if self._base is None else self._base.load()

    def _create_tier(self, loaded: LoadedService, config: Config, system: System) -> Tier:
        history = Recorded(self._recorded(config.name))
        tier = Tier(
            config, peer_config.read(config), self._period, KEY, history, None, system, budget_specs(loaded),
            self._judges,
        )  # fmt: skip
        if config.name in self._liars and tier.sharing is not None:
            lie(tier.sharing)
        return tier
