"""The service file in use: read, proved against the platform's configuration, and compiled for the node."""

from __future__ import annotations

import logging
from math import ceil
from pathlib import Path
from typing import TYPE_CHECKING

from driftstair.files import FileError
from driftstair.hosts import ListError, parse_address
from driftstair.limits.fleet_budgets import fleet_budget_uses
from driftstair.limits.request_table import FileRequestTable
from driftstair.limits.validation import Platform, find_problems
from driftstair.service.load import LoadedService, Problem, ServiceError, parse, read
from driftstair.service.schema import Control, FleetBudget, Service
from driftstair.settings import Config

if TYPE_CHECKING:
    from driftstair.ledger.keeper import Keeper
    from driftstair.net.system import System
    from driftstair.node_configuration.service import NodeConfiguration
    from driftstair.observability.event_log import EventLog
    from driftstair.tier.ownership.permits import Rules
    from driftstair.tier.service import Tier
    from driftstair.tier.shared.budget import Spec

log = logging.getLogger(__name__)


def platform_of(config: Config, clients_most: int) -> Platform:
    names = [name.decode() for name in config.classes]
    return Platform(
        classes=dict(zip(names, config.settings.classes, strict=True)),
        client_waits=dict(zip(names, config.deadlines, strict=True)),
        tenants=tuple(name.decode() for name in config.tenants),
        settings=config.settings, max_client_connections=clients_most, max_open_requests=config.open_cap,
    )  # fmt: skip


def checked(
    loaded: LoadedService, config: Config, clients_most: int
) -> tuple[FileRequestTable, list[Problem]]:
    """The routes, and warnings; raises ServiceError with every error."""
    found = find_problems(loaded, platform_of(config, clients_most))
    errors = [one for one in found if not one.warning]
    if errors:
        raise ServiceError(errors)
    return FileRequestTable(loaded.service, config.settings, f"{loaded.file} ({loaded.hash})"), found


def budget_specs(loaded: LoadedService) -> tuple[Spec, ...]:
    """The fleet's budgets that a file names."""
    tier = loaded.service.tier
    if tier is None or not tier.budgets:
        return ()
    from driftstair.tier.shared.budget import Spec

    return tuple(Spec(name, one.per_s, one.burst) for name, one in tier.budgets.items())


def _collect(loaded: LoadedService) -> tuple[Path, tuple[str, int]] | None:
    """Where ledgers are collected from, and to. Raises ServiceError."""
    wanted = None if loaded.service.tier is None else loaded.service.tier.collect
    if wanted is None:
        return None
    folder = Path(wanted.folder)
    if not folder.is_dir():
        why = f"{folder} is no folder; the one that all nodes keep their ledgers in would do"
        raise ServiceError([loaded.problem(("tier", "collect", "folder"), why)])
    try:
        return folder, parse_address(wanted.to)
    except ListError:
        why = f"{wanted.to[:60]!r} is no address"
        raise ServiceError(
            [loaded.problem(("tier", "collect", "to"), why, instead='"10.0.0.9:7000"')]
        ) from None


def _permits(loaded: LoadedService) -> Rules | None:
    wanted = None if loaded.service.tier is None else loaded.service.tier.permits
    if wanted is None:
        return None
    from driftstair.tier.ownership.permits import Rules

    return Rules(wanted.at_once, wanted.term)


def _control_servers(loaded: LoadedService, wanted: Control) -> list[tuple[str, int]]:
    """Raises ServiceError."""
    addresses = []
    for index, text in enumerate(wanted.servers):
        try:
            addresses.append(parse_address(text))
        except ListError:
            why = f"{text[:60]!r} is no address"
            path = ("control", "servers", index)
            raise ServiceError([loaded.problem(path, why, instead='"10.0.0.9:7400"')]) from None
    return addresses


class ServiceFile:
    """A file, or a text in its place."""

    def __init__(self, file: str, text: str | None = None) -> None:
        self.file = file
        self._text = text
        self._in_tier: Tier | None = None  # once the process has begun
        self._budgets: tuple[Spec, ...] = ()  # of the fleet, as the file in use names them
        self._configured: tuple[Spec, ...] = ()  # and as the configuration does
        self._begun = False
        self._service: Service | None = None  # in use

    def load(self) -> LoadedService:
        return read(self.file) if self._text is None else parse(self._text, self.file)

    def table(self, config: Config, clients_most: int) -> FileRequestTable:
        """As the file is now; raises ServiceError."""
        loaded = self.load()
        table, warnings = checked(loaded, config, clients_most)
        if self._begun:
            self._follow(loaded, config)
        self._service = loaded.service
        for one in warnings:
            log.warning("%s", one)
        return table

    def _follow(self, loaded: LoadedService, config: Config) -> None:
        """A process that runs takes the fleet's budgets of another file; raises ServiceError."""
        shares = self._in_tier is not None and self._in_tier.sharing is not None
        for path, name in fleet_budget_uses(loaded):
            if not shares:
                why = f"{name}: this process began without a budget of the fleet; it has to be started anew"
                raise ServiceError([loaded.problem(path, why)])
        if shares and self._in_tier is not None and budget_specs(loaded):
            self._enough(loaded, self._in_tier.nodes())
            self._budgets = budget_specs(loaded)
            self._respec()

    def _respec(self) -> None:
        """The file's budgets go first."""
        if self._in_tier is not None and self._in_tier.sharing is not None:
            names = {spec.name for spec in self._budgets}
            more = (spec for spec in self._configured if spec.name not in names)
            self._in_tier.update_specs((*self._budgets, *more))

    def configure_budgets(self, budgets: dict[str, FleetBudget]) -> None:
        """The configuration names these, beside the file's."""
        from driftstair.tier.shared.budget import Spec

        self._configured = tuple(Spec(name, one.per_s, one.burst) for name, one in budgets.items())
        self._respec()

    def _enough(self, loaded: LoadedService, count: int) -> None:
        """Raises ServiceError for a budget of which a node alone never gets one token together."""
        for spec in budget_specs(loaded):
            saved = spec.per_s / count * spec.burst / 1e9
            if saved < 1:
                least = ceil(count / spec.per_s * 10) / 10
                why = f"one of {count} nodes alone saves up {saved:.2g} tokens at most, and never has one"
                path = ("tier", "budgets", spec.name, "burst")
                raise ServiceError([loaded.problem(path, why, instead=f'"{least:g}s"')])

    def event_log(self, config: Config, system: System) -> tuple[EventLog, float] | None:
        """The event log that the file asks for, and the s between two reports of counts. Raises ServiceError
        for a file that can't be written."""
        loaded = self.load()
        wanted = loaded.service.events
        if wanted is None:
            return None
        from driftstair.observability.event_log import EventLevel, EventLog, file_handler

        try:
            handler = None if wanted.file is None else file_handler(Path(wanted.file))
        except OSError as problem:
            why = f"{wanted.file} can't be written: {problem.strerror}; another path would do"
            raise ServiceError([loaded.problem(("events", "file"), why)]) from None
        level = EventLevel(wanted.level)
        log_of_events = EventLog(config.name, level, system.monotonic_ns, system.time_ns, handler)
        return log_of_events, wanted.metrics_every / 1e9

    def open_ledger(self, config: Config, system: System) -> tuple[Keeper, float] | None:
        """The ledger that the file asks for, opened, and the s between two commits. Raises ServiceError for
        one that can't be kept."""
        loaded = self.load()
        wanted = loaded.service.ledger
        if wanted is None:
            return None
        from driftstair.ledger.keeper import Keeper
        from driftstair.ledger.periods import Calendar, PeriodError
        from driftstair.ledger.segments import Store, StoreError

        try:
            calendar = Calendar(wanted.zone)
        except PeriodError as problem:
            raise ServiceError([loaded.problem(("ledger", "zone"), str(problem))]) from None
        try:
            folder = Path(wanted.folder)
            if not folder.is_dir():
                raise StoreError(f"{wanted.folder} is no folder; one that outlives the process would do")
            keeper = Keeper(
                config.name, Store(folder, config.name), calendar, wanted.clock_off // 1_000_000,
                wanted.survives == "machine", system.time_ns, system.run_blocking, system.monotonic_ns,
            )  # fmt: skip
            keeper.open()
        except (StoreError, OSError) as problem:
            raise ServiceError([loaded.problem(("ledger", "folder"), str(problem))]) from None
        return keeper, wanted.commit / 1e9

    def tier(self, config: Config, system: System) -> Tier | None:
        """This node's part in the tier that the file asks for, not yet started. Raises ServiceError."""
        loaded = self.load()
        self._begun = True
        self._budgets = budget_specs(loaded)
        self._in_tier = self._tier(loaded, config, system)
        return self._in_tier

    def configuration(self, config: Config, clients_most: int, system: System) -> NodeConfiguration | None:
        """This node's part in the configuration that the file has it watch, not yet started. Raises
        ServiceError."""
        loaded = self.load()
        wanted = loaded.service.control
        if wanted is None:
            return None
        if not config.name:
            why = "this node has no name to report by; BALANCER_NAME would do"
            raise ServiceError([loaded.problem(("control",), why)])
        try:
            from driftstair.node_configuration.service import NodeConfiguration, Wanted
        except ModuleNotFoundError as problem:
            why = f"wants {problem.name}: pip install 'driftstair[control]'"
            raise ServiceError([loaded.problem(("control",), why)]) from None
        folder = None if wanted.folder is None else Path(wanted.folder)
        if folder is not None and not folder.is_dir():
            why = f"{folder} is no folder; one that outlives the process would do"
            raise ServiceError([loaded.problem(("control", "folder"), why)])
        platform = platform_of(config, clients_most)
        return NodeConfiguration(
            config, Wanted(_control_servers(loaded, wanted), folder), platform, loaded.service, system,
            self.configure_budgets,
        )  # fmt: skip

    def platform_and_service(self, config: Config, clients_most: int) -> tuple[Platform, Service]:
        """What the configuration is judged by after a SIGHUP: the file that is in use, good or not."""
        assert self._service is not None
        return platform_of(config, clients_most), self._service

    def _tier(self, loaded: LoadedService, config: Config, system: System) -> Tier | None:
        wanted = loaded.service.tier
        if wanted is None:
            return None
        try:
            from driftstair.tier import peer_config
            from driftstair.tier.history import History, HistoryError
            from driftstair.tier.key import read_key
            from driftstair.tier.service import Tier
        except ModuleNotFoundError as problem:
            why = f"wants {problem.name}: pip install 'driftstair[tier]'"
            raise ServiceError([loaded.problem(("tier",), why)]) from None
        try:
            peers = peer_config.read(config)
        except peer_config.PeerConfigError as problem:
            raise ServiceError([loaded.problem(("tier",), str(problem), instead="no such table")]) from None
        self._enough(loaded, len(peers.peers))
        try:
            key = read_key(wanted.key)
        except FileError as problem:
            raise ServiceError([loaded.problem(("tier", "key"), f"{wanted.key} {problem}")]) from None
        folder = None if wanted.folder is None else Path(wanted.folder)
        if folder is not None and not folder.is_dir():
            why = f"{folder} is no folder; one that outlives the process would do"
            raise ServiceError([loaded.problem(("tier", "folder"), why)])
        try:
            history = None if wanted.history is None else History(wanted.history, config.name)
        except HistoryError as problem:
            raise ServiceError([loaded.problem(("tier", "history"), str(problem))]) from None
        return Tier(
            config, peers, wanted.period, key, history, folder, system, budget_specs(loaded), wanted.judge,
            _collect(loaded), _permits(loaded), loaded.service.control is not None,
        )  # fmt: skip
