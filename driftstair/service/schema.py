"""The tables of the service file, as types. What is left out of a table is as without the file."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from driftstair.service.units import (
    Duration,
    NotNegative,
    Positive,
    Share,
    Size,
    SomeTime,
    Version,
    WholeNumber,
)

Name = Annotated[str, Field(pattern=r"^[0-9A-Za-z][0-9A-Za-z._-]{0,63}$")]
Outcome = Literal["error", "full", "timeout", "connect", "reset"]


def _several(value: Any) -> Any:
    """One name stands for a list of one."""
    return (value,) if isinstance(value, str) else value


Names = Annotated[tuple[str, ...], BeforeValidator(_several), Field(min_length=1)]


class Table(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Match(Table):
    """All that is named must hold; what is left out matches anything."""

    classes: Names | None = Field(default=None, alias="class")
    tenant: Names | None = None
    method: Annotated[tuple[Literal["GET", "POST"], ...] | None, BeforeValidator(_several)] = None
    path: str | None = None  # exact, a prefix that ends in *, or a template with {parts}
    header: dict[str, str] = {}  # names to values; "*" for any value
    key: str | None = None  # a prefix of X-Key


class Timeouts(Table):
    total: SomeTime | None = None  # from the request's last byte to the final answer
    attempt: SomeTime | None = None
    first_byte: SomeTime | None = None  # of an attempt, until its answer begins


class Budget(Table):
    """Tokens: each first try earns `share` of one, `floor` come each second; at most `burst` are saved. Or
    those of a budget of the fleet."""

    share: Share = 0.1
    floor: NotNegative = 0.0
    burst: NotNegative = 10.0
    fleet: Name | None = None  # in [tier.budgets]; then none of the others


class Retry(Table):
    attempts: Annotated[WholeNumber, Field(ge=1, le=16)] | None = None  # copies included
    on: tuple[Outcome, ...] | None = None
    backoff: Duration = 0
    backoff_most: SomeTime | None = None  # left out: ten times the first
    jitter: Share = 0.5
    budget: Budget | None = None


class SecondCopy(Table):
    """One of `after` and `at`."""

    after: SomeTime | None = None
    at: Annotated[Share, Field(ge=0.5, lt=1.0)] | None = None  # of the route's own latencies
    budget: Budget = Budget(share=0.05, burst=5.0)


class Rate(Table):
    """Of this node, by `per_s`; or the fleet's, by the name of its budget."""

    per_s: Positive | None = None
    burst: Annotated[float, Field(strict=True, ge=1, allow_inf_nan=False)] = 10.0
    by: Literal["route", "tenant"] = "route"  # one bucket for the route, or one for each tenant on it
    fleet: Name | None = None  # in [tier.budgets]; then none of the others


class Admit(Table):
    in_flight: Annotated[WholeNumber, Field(ge=1)] | None = None
    rate: Rate | None = None
    body: Size | None = None
    priority: Literal["normal", "low", "lowest"] = "normal"


class Route(Table):
    name: Name
    match: Match = Match()
    timeout: Timeouts = Timeouts()
    retry: Retry = Retry()
    copy_: SecondCopy | None = Field(default=None, alias="copy")
    admit: Admit = Admit()


class Fleet(Table):
    """What the operators know of the fleet, for the proof at load."""

    box_per_s: Positive | None = None  # requests a second that a warm box carries
    per_s: Positive | None = None  # and the whole fleet
    client_tries: Annotated[WholeNumber, Field(ge=1, le=16)] = 3  # of one request, by its client
    amplification_most: Annotated[float, Field(strict=True, ge=1, allow_inf_nan=False)] = 6.0


class Tally(Table):
    """Counts of requests and losses as lines of the log."""

    every: SomeTime


class Events(Table):
    """An event log: lines of JSON, and counts now and then."""

    level: Literal["state", "requests"] = "state"
    file: Annotated[str, Field(min_length=1)] | None = None  # left out: standard error
    metrics_every: SomeTime = 10_000_000_000


class Ledger(Table):
    """What tenants used, for billing: kept in a folder that outlives the process."""

    folder: Annotated[str, Field(min_length=1)]
    zone: str = "UTC"  # of billing periods
    commit: SomeTime = 200_000_000  # between two writes: what a killed process may lose
    clock_off: Duration = 50_000_000  # that the node's clock may be off
    survives: Literal["process", "machine"] = "process"  # what a commit that was written does


class FleetBudget(Table):
    """Tokens of all nodes together, whoever hears whom: at most per_s x (t + burst) of them in any time t."""

    per_s: Positive
    burst: Annotated[Duration, Field(ge=100_000_000, le=600_000_000_000)] = 5_000_000_000


class Collect(Table):
    """One node brings in the ledgers of nodes that are gone."""

    folder: Annotated[str, Field(min_length=1)]  # of all nodes' ledgers, that all reach
    to: Annotated[str, Field(min_length=1)]  # the billing side: host and port


class Permits(Table):
    """Nodes ask before they are out for a restart, a drain or an upgrade; one node gives, for all."""

    at_once: Annotated[int, Field(strict=True, ge=1, le=1000)] = 1  # nodes, all of one zone
    # Of a permit: then its node counts as in service again, whether it is or not.
    term: Annotated[Duration, Field(ge=1_000_000_000, le=86_400_000_000_000)] = 300_000_000_000


class Tier(Table):
    """What the nodes tell each other, where the platform lets them."""

    key: Annotated[str, Field(min_length=1)]  # a file that all nodes have alike, closed to others
    period: Annotated[Duration, Field(ge=50_000_000, le=60_000_000_000)] = 1_000_000_000  # of probes
    folder: Annotated[str, Field(min_length=1)] | None = None  # outlives the process: the last list
    history: Annotated[str, Field(min_length=1)] | None = None  # a folder: what each process came to hold
    judge: Annotated[bool, Field(strict=True)] = False  # servers by what all nodes have seen of them
    collect: Collect | None = None
    permits: Permits | None = None
    budgets: Annotated[dict[Name, FleetBudget], Field(min_length=1, max_length=32)] | None = None


class Control(Table):
    """Configuration by the change, watched at control servers."""

    servers: Annotated[tuple[Annotated[str, Field(min_length=1)], ...], Field(min_length=1, max_length=7)]
    folder: Annotated[str, Field(min_length=1)] | None = None  # outlives the process: the last applied state


class Service(Table):
    version: Version
    route: tuple[Route, ...] = ()
    fleet: Fleet = Fleet()
    tally: Tally | None = None
    events: Events | None = None
    ledger: Ledger | None = None
    tier: Tier | None = None
    control: Control | None = None
