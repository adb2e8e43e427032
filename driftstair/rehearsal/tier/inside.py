"""The tier of nodes in virtual time: no file is written, so that a run depends on nothing but its inputs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from driftstair.net.system import System
from driftstair.rehearsal.tier.stage import KEY
from driftstair.service.load import Loaded, parse
from driftstair.service.use import ServiceFile
from driftstair.settings import Config
from driftstair.tier import told
from driftstair.tier.history import History
from driftstair.tier.service import Tier


class Recorded(History):
    """In memory, in the place of a file."""

    def __init__(self, out: list[dict[str, Any]]) -> None:
        self._out = out

    def write(self, t_ns: int, node: int, life: int, event: str, **fields: Any) -> None:
        self._out.append({"t_ns": t_ns, "node": node, "life": life, "event": event, **fields})

    def close(self) -> None:
        """Nothing is open."""


class TierFile(ServiceFile):
    """What all nodes read: a service file if there is one, and a tier. `history(name)`: where a node's
    goes."""

    def __init__(
        self, base: ServiceFile | None, period: int, history: Callable[[str], list[dict[str, Any]]]
    ) -> None:
        super().__init__("the tier's" if base is None else base.file)
        self._base = base
        self._period = period
        self._recorded = history

    def load(self) -> Loaded:
        return parse("version = 1\n", self.file) if self._base is None else self._base.load()

    def tier(self, config: Config, system: System) -> Tier:
        history = Recorded(self._recorded(config.name))
        return Tier(config, told.read(config), self._period, KEY, history, None, system)
