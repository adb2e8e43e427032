"""The tables of the service file, as pydantic models. A setting that is left out behaves as if there were no
service file.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from driftstair.service.units import (
    Duration,
    NonNegative,
    Positive,
    PositiveDuration,
    Share,
    Size,
    Version,
    WholeNumber,
)

Name = Annotated[str, Field(pattern=r"^[0-9A-Za-z][0-9A-Za-z._-]{0,63}$")]
Outcome = Literal["error", "full", "timeout", "connect", "reset"]


def _as_tuple(value: Any) -> Any:
    """Accepts a single name in place of a list of one."""
    return (value,) if isinstance(value, str) else value


Names = Annotated[tuple[str, ...], BeforeValidator(_as_tuple), Field(min_length=1)]


class Table(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Match(Table):
    """All that is named must hold; what is left out matches anything."""

    classes: Names | None = Field(default=None, alias="class")
    tenant: Names | None = None
    method: Annotated[tuple[Literal["GET", "POST"], ...] | None, BeforeValidator(_as_tuple)] = None
    path: str | None = None  # exact, a prefix ending in *, or a template with {parameters}
    header: dict[str, str] = {}  # name to value; "*" matches any value
    key: str | None = None  # prefix of the X-Key header


class Timeouts(Table):
    total: PositiveDuration | None = None  # from the last byte of the request to the final response
    attempt: PositiveDuration | None = None
    first_byte: PositiveDuration | None = None  # of an attempt, until its response begins


class Budget(Table):
    """Tokens: each first try earns `share` of one, `floor` come each second; at most `burst` are saved. Or
    those of a budget of the fleet."""

    share: Share = 0.1
    floor: NonNegative = 0.0
    burst: NonNegative = 10.0
    fleet: Name | None = None  # a name in [tier.budgets]; excludes the other settings


class Retry(Table):
    attempts: Annotated[WholeNumber, Field(ge=1, le=16)] | None = None  # including second copies
    on: tuple[Outcome, ...] | None = None
    backoff: Duration = 0
    backoff_most: PositiveDuration | None = None  # default: ten times `backoff`
    jitter: Share = 0.5
    budget: Budget | None = None


class SecondCopy(Table):
    """One of `after` and `at`."""

    after: PositiveDuration | None = None
    at: Annotated[Share, Field(ge=0.5, lt=1.0)] | None = None  # quantile of the route's own latencies
    budget: Budget = Budget(share=0.05, burst=5.0)


class Rate(Table):
    """Of this node, by `per_s`; or the fleet's, by the name of its budget."""

    per_s: Positive | None = None
    burst: Annotated[float, Field(strict=True, ge=1, allow_inf_nan=False)] = 10.0
    by: Literal["route", "tenant"] = "route"  # one bucket for the route, or one per tenant
    fleet: Name | None = None  # a name in [tier.budgets]; excludes the other settings


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

    box_per_s: Positive | None = None  # requests per second that a warm box can serve
    per_s: Positive | None = None  # requests per second that the whole fleet can serve
    client_tries: Annotated[WholeNumber, Field(ge=1, le=16)] = 3  # attempts per request by a client
    amplification_most: Annotated[float, Field(strict=True, ge=1, allow_inf_nan=False)] = 6.0


class Tally(Table):
    """Counts of requests and losses as lines of the log."""

    every: PositiveDuration


class Events(Table):
    """An event log: lines of JSON, and counts now and then."""

    level: Literal["state", "requests"] = "state"
    file: Annotated[str, Field(min_length=1)] | None = None  # default: standard error
    metrics_every: PositiveDuration = 10_000_000_000


class Ledger(Table):
    """What tenants used, for billing: kept in a folder that outlives the process."""

    folder: Annotated[str, Field(min_length=1)]
    zone: str = "UTC"  # time zone of the billing periods
    commit: PositiveDuration = 200_000_000  # interval between writes: what a killed process can lose
    clock_off: Duration = 50_000_000  # largest error of the node's clock
    survives: Literal["process", "machine"] = "process"  # the failure that a written commit survives


class FleetBudget(Table):
    """Tokens of all nodes together, whoever hears whom: at most per_s x (t + burst) of them in any time t."""

    per_s: Positive
    burst: Annotated[Duration, Field(ge=100_000_000, le=600_000_000_000)] = 5_000_000_000


class Collect(Table):
    """One node brings in the ledgers of nodes that are gone."""

    folder: Annotated[str, Field(min_length=1)]  # shared by all nodes, holds their ledgers
    to: Annotated[str, Field(min_length=1)]  # host and port of the billing service


class Permits(Table):
    """Nodes ask before they are out for a restart, a drain or an upgrade; one node gives, for all."""

    at_once: Annotated[int, Field(strict=True, ge=1, le=1000)] = 1  # nodes, all in one zone
    # Lifetime of a permit: once it expires, the node counts as in service, whether it is or not.
    term: Annotated[Duration, Field(ge=1_000_000_000, le=86_400_000_000_000)] = 300_000_000_000


class Tier(Table):
    """What the nodes tell each other, where the platform lets them."""

    key: Annotated[
        str, Field(min_length=1)
    ]  # file with the key shared by all nodes, not accessible to others
    period: Annotated[Duration, Field(ge=50_000_000, le=60_000_000_000)] = 1_000_000_000  # between probes
    folder: Annotated[str, Field(min_length=1)] | None = (
        None  # must outlive the process: keeps the last server list
    )
    history: Annotated[str, Field(min_length=1)] | None = (
        None  # folder for the history of what each process accepted
    )
    judge: Annotated[bool, Field(strict=True)] = False  # judge servers by the observations of all nodes
    collect: Collect | None = None
    permits: Permits | None = None
    budgets: Annotated[dict[Name, FleetBudget], Field(min_length=1, max_length=32)] | None = None


class Control(Table):
    """Configuration by the change, watched at control servers."""

    servers: Annotated[tuple[Annotated[str, Field(min_length=1)], ...], Field(min_length=1, max_length=7)]
    folder: Annotated[str, Field(min_length=1)] | None = (
        None  # must outlive the process: keeps the last applied state
    )


class Service(Table):
    version: Version
    route: tuple[Route, ...] = ()
    fleet: Fleet = Fleet()
    tally: Tally | None = None
    events: Events | None = None
    ledger: Ledger | None = None
    tier: Tier | None = None
    control: Control | None = None
