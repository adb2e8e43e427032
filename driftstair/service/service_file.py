"""The service file in use: read, validated against the platform's configuration and compiled for the node."""

from __future__ import annotations

import logging
from math import ceil
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from driftstair.files import FileError
from driftstair.hosts import ListError, parse_address
from driftstair.limits.fleet_budgets import fleet_budget_uses
from driftstair.limits.request_table import FileRequestTable
from driftstair.limits.validation import Platform, find_problems
from driftstair.service.load import LoadedService, Problem, ServiceError, parse, read
from driftstair.service.schema import Control, FleetBudget, Service
from driftstair.settings import Config

if TYPE_CHECKING:
    import asyncio

    from driftstair.ledger.keeper import LedgerKeeper
    from driftstair.net.system import System
    from driftstair.node_configuration.service import NodeConfiguration
    from driftstair.observability.event_log import EventLog
    from driftstair.tier.ownership.permits import Rules
    from driftstair.tier.service import Tier
    from driftstair.tier.shared.budget import BudgetSpec

log = logging.getLogger(__name__)


def platform_of(config: Config, max_client_connections: int) -> Platform:
    """The platform settings that a service file is validated against."""
    names = [name.decode() for name in config.classes]
    return Platform(
        classes=dict(zip(names, config.settings.classes, strict=True)),
        client_waits=dict(zip(names, config.deadlines, strict=True)),
        tenants=tuple(name.decode() for name in config.tenants),
        settings=config.settings,
        max_client_connections=max_client_connections,
        max_open_requests=config.open_cap,
    )


def build_request_table(
    loaded: LoadedService, config: Config, max_client_connections: int
) -> tuple[FileRequestTable, list[Problem]]:
    """The request table and the warnings; raises ServiceError with all errors."""
    problems = find_problems(loaded, platform_of(config, max_client_connections))
    errors = [problem for problem in problems if not problem.warning]
    if errors:
        raise ServiceError(errors)
    return FileRequestTable(loaded.service, config.settings, f"{loaded.file} ({loaded.hash})"), problems


def budget_specs(loaded: LoadedService) -> tuple[BudgetSpec, ...]:
    """The fleet budgets that a file defines."""
    tier = loaded.service.tier
    if tier is None or not tier.budgets:
        return ()
    from driftstair.tier.shared.budget import BudgetSpec

    return tuple(BudgetSpec(name, budget.per_s, budget.burst) for name, budget in tier.budgets.items())


def _collect(loaded: LoadedService) -> tuple[Path, tuple[str, int]] | None:
    """The folder that ledgers are collected from and the address they are sent to. Raises ServiceError."""
    collect = None if loaded.service.tier is None else loaded.service.tier.collect
    if collect is None:
        return None
    folder = Path(collect.folder)
    if not folder.is_dir():
        why = f"{folder} is no folder; the one that all nodes keep their ledgers in would do"
        raise ServiceError([loaded.problem(("tier", "collect", "folder"), why)])
    try:
        return folder, parse_address(collect.to)
    except ListError:
        why = f"{collect.to[:60]!r} is no address"
        raise ServiceError(
            [loaded.problem(("tier", "collect", "to"), why, instead='"10.0.0.9:7000"')]
        ) from None


def _permits(loaded: LoadedService) -> Rules | None:
    permits = None if loaded.service.tier is None else loaded.service.tier.permits
    if permits is None:
        return None
    from driftstair.tier.ownership.permits import Rules

    return Rules(permits.at_once, permits.term)


def _control_servers(loaded: LoadedService, control: Control) -> list[tuple[str, int]]:
    """The addresses of the control servers. Raises ServiceError."""
    addresses = []
    for index, text in enumerate(control.servers):
        try:
            addresses.append(parse_address(text))
        except ListError:
            why = f"{text[:60]!r} is no address"
            path = ("control", "servers", index)
            raise ServiceError([loaded.problem(path, why, instead='"10.0.0.9:7400"')]) from None
    return addresses


class ReadTable(NamedTuple):
    """A service file that was read, with its request table."""

    loaded: LoadedService
    table: FileRequestTable
    warnings: list[Problem]


class ServiceFile:
    """A service file, or a text used in its place."""

    def __init__(self, file: str, text: str | None = None) -> None:
        self.file = file
        self._text = text
        self._running_tier: Tier | None = None  # set once the process has started
        self._file_budgets: tuple[BudgetSpec, ...] = ()  # fleet budgets defined by the file in use
        self._configured_budgets: tuple[BudgetSpec, ...] = ()  # fleet budgets defined by the configuration
        self._tier_created = False
        self._service_in_use: Service | None = None

    def load(self) -> LoadedService:
        return read(self.file) if self._text is None else parse(self._text, self.file)

    def table(self, config: Config, max_client_connections: int) -> FileRequestTable:
        """Reads the file anew and uses it; raises ServiceError."""
        return self.use(self.read_table(config, max_client_connections))

    def read_table(self, config: Config, max_client_connections: int) -> ReadTable:
        """Reads the file anew and builds its request table, and changes nothing. Blocks. Raises
        ServiceError."""
        loaded = self.load()
        return ReadTable(loaded, *build_request_table(loaded, config, max_client_connections))

    def use(self, read: ReadTable) -> FileRequestTable:
        """Returns the table of a file that was read, which is in use from now on; raises ServiceError."""
        if self._tier_created:
            self._apply_reload(read.loaded)
        self._service_in_use = read.loaded.service
        for warning in read.warnings:
            log.warning("%s", warning)
        return read.table

    def _apply_reload(self, loaded: LoadedService) -> None:
        """Applies the fleet budgets of a reloaded file to the running process; raises ServiceError."""
        sharing = self._running_tier is not None and self._running_tier.sharing is not None
        for path, name in fleet_budget_uses(loaded):
            if not sharing:
                why = f"{name}: this process began without a budget of the fleet; it has to be started anew"
                raise ServiceError([loaded.problem(path, why)])
        if sharing and self._running_tier is not None and budget_specs(loaded):
            self._check_budget_bursts(loaded, self._running_tier.node_count())
            self._file_budgets = budget_specs(loaded)
            self._update_budget_specs()

    def _update_budget_specs(self) -> None:
        """Passes the budgets to the tier; the file's take precedence over the configuration's by name."""
        if self._running_tier is not None and self._running_tier.sharing is not None:
            names = {spec.name for spec in self._file_budgets}
            others = (spec for spec in self._configured_budgets if spec.name not in names)
            self._running_tier.update_specs((*self._file_budgets, *others))

    def configure_budgets(self, budgets: dict[str, FleetBudget]) -> None:
        """Sets the fleet budgets that the configuration defines in addition to the file's."""
        from driftstair.tier.shared.budget import BudgetSpec

        self._configured_budgets = tuple(
            BudgetSpec(name, budget.per_s, budget.burst) for name, budget in budgets.items()
        )
        self._update_budget_specs()

    def _check_budget_bursts(self, loaded: LoadedService, node_count: int) -> None:
        """Raises ServiceError for a budget whose share of one node never adds up to a whole token."""
        for spec in budget_specs(loaded):
            max_tokens = spec.per_s / node_count * spec.burst_ns / 1e9
            if max_tokens < 1:
                min_burst_s = ceil(node_count / spec.per_s * 10) / 10
                why = (
                    f"one of {node_count} nodes alone saves up {max_tokens:.2g} tokens at most, "
                    "and never has one"
                )
                path = ("tier", "budgets", spec.name, "burst")
                raise ServiceError([loaded.problem(path, why, instead=f'"{min_burst_s:g}s"')])

    def event_log(self, config: Config, system: System) -> tuple[EventLog, float] | None:
        """The event log that the file enables, and the interval between metrics reports in seconds. Raises
        ServiceError if the log file cannot be written."""
        loaded = self.load()
        events = loaded.service.events
        if events is None:
            return None
        from driftstair.observability.event_log import EventLevel, EventLog, file_handler

        try:
            handler = None if events.file is None else file_handler(Path(events.file))
        except OSError as error:
            why = f"{events.file} can't be written: {error.strerror}; another path would do"
            raise ServiceError([loaded.problem(("events", "file"), why)]) from None
        level = EventLevel(events.level)
        event_log = EventLog(config.name, level, system.monotonic_ns, system.time_ns, handler)
        return event_log, events.metrics_every / 1e9

    async def open_ledger(
        self, config: Config, system: System, end_requested: asyncio.Future[int]
    ) -> tuple[LedgerKeeper, float] | None:
        """The ledger that the file enables, opened, and the interval between commits in seconds. It is read
        until `end_requested` is done. Raises ServiceError if it cannot be opened."""
        loaded = self.load()
        ledger = loaded.service.ledger
        if ledger is None:
            return None
        from driftstair.ledger.keeper import LedgerKeeper
        from driftstair.ledger.periods import Calendar, PeriodError
        from driftstair.ledger.segment_reader import StoreError
        from driftstair.ledger.segments import Store

        try:
            calendar = Calendar(ledger.zone)
        except PeriodError as error:
            raise ServiceError([loaded.problem(("ledger", "zone"), str(error))]) from None
        try:
            folder = Path(ledger.folder)
            if not folder.is_dir():
                raise StoreError(f"{ledger.folder} is no folder; one that outlives the process would do")
            keeper = LedgerKeeper(
                config.name, Store(folder, config.name), calendar, ledger.clock_off // 1_000_000,
                ledger.survives == "machine", system.time_ns, system.run_blocking, system.monotonic_ns,
            )  # fmt: skip
            await keeper.open(end_requested)
        except (StoreError, OSError) as error:
            raise ServiceError([loaded.problem(("ledger", "folder"), str(error))]) from None
        return keeper, ledger.commit / 1e9

    def tier(self, config: Config, system: System) -> Tier | None:
        """This node's tier member as set up by the file, not yet started. Raises ServiceError."""
        loaded = self.load()
        self._tier_created = True
        self._file_budgets = budget_specs(loaded)
        self._running_tier = self._create_tier(loaded, config, system)
        return self._running_tier

    def configuration(
        self, config: Config, max_client_connections: int, system: System
    ) -> NodeConfiguration | None:
        """This node's watcher of the control servers that the file names, not yet started. Raises
        ServiceError."""
        loaded = self.load()
        control = loaded.service.control
        if control is None:
            return None
        if not config.name:
            why = "this node has no name to report by; BALANCER_NAME would do"
            raise ServiceError([loaded.problem(("control",), why)])
        try:
            from driftstair.node_configuration.service import ControlOptions, NodeConfiguration
        except ModuleNotFoundError as error:
            why = f"wants {error.name}: pip install 'driftstair[control]'"
            raise ServiceError([loaded.problem(("control",), why)]) from None
        folder = None if control.folder is None else Path(control.folder)
        if folder is not None and not folder.is_dir():
            why = f"{folder} is no folder; one that outlives the process would do"
            raise ServiceError([loaded.problem(("control", "folder"), why)])
        platform = platform_of(config, max_client_connections)
        return NodeConfiguration(
            config, ControlOptions(_control_servers(loaded, control), folder), platform, loaded.service,
            system, self.configure_budgets,
        )  # fmt: skip

    def platform_and_service(self, config: Config, max_client_connections: int) -> tuple[Platform, Service]:
        """What the configuration is validated against after a SIGHUP: the file in use, even if the new
        one was rejected."""
        assert self._service_in_use is not None
        return platform_of(config, max_client_connections), self._service_in_use

    def _create_tier(self, loaded: LoadedService, config: Config, system: System) -> Tier | None:
        tier = loaded.service.tier
        if tier is None:
            return None
        try:
            from driftstair.tier import peer_config
            from driftstair.tier.history import History, HistoryError
            from driftstair.tier.key import read_key
            from driftstair.tier.service import Tier
        except ModuleNotFoundError as error:
            why = f"wants {error.name}: pip install 'driftstair[tier]'"
            raise ServiceError([loaded.problem(("tier",), why)]) from None
        try:
            peers = peer_config.read(config)
        except peer_config.PeerConfigError as error:
            raise ServiceError([loaded.problem(("tier",), str(error), instead="no such table")]) from None
        self._check_budget_bursts(loaded, len(peers.peers))
        try:
            key = read_key(tier.key)
        except FileError as error:
            raise ServiceError([loaded.problem(("tier", "key"), f"{tier.key} {error}")]) from None
        folder = None if tier.folder is None else Path(tier.folder)
        if folder is not None and not folder.is_dir():
            why = f"{folder} is no folder; one that outlives the process would do"
            raise ServiceError([loaded.problem(("tier", "folder"), why)])
        try:
            history = None if tier.history is None else History(tier.history, config.name)
        except HistoryError as error:
            raise ServiceError([loaded.problem(("tier", "history"), str(error))]) from None
        return Tier(
            config, peers, tier.period, key, history, folder, system, budget_specs(loaded), tier.judge,
            _collect(loaded), _permits(loaded), loaded.service.control is not None,
        )  # fmt: skip
