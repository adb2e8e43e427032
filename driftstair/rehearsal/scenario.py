"""The types of a scenario: the fleet, the load and the faults that a rehearsal plays, with their default
figures.

A scenario file is TOML; `load` reads it. Every table and key may be left out: the defaults describe a fleet
like that of the operators. Durations are numbers whose key names the unit (`_s`, `_ms`, `_us`); shares and
factors are plain numbers. A figure that is one number or a pair `[low, high]` is drawn from the pair by the
seed.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from driftstair.service.units import Version

Number = Annotated[float, Field(strict=True, allow_inf_nan=False)]
Positive = Annotated[Number, Field(gt=0)]
NotNegative = Annotated[Number, Field(ge=0)]
AtLeastOne = Annotated[Number, Field(ge=1)]
Share = Annotated[Number, Field(ge=0, le=1)]
Integer = Annotated[int, Field(strict=True)]
Count = Annotated[Integer, Field(ge=1)]
Flag = Annotated[bool, Field(strict=True)]
Label = Annotated[str, Field(pattern=r"^[0-9A-Za-z]([0-9A-Za-z ._-]{0,62}[0-9A-Za-z])?$")]
Name = Annotated[str, Field(pattern=r"^[0-9A-Za-z][0-9A-Za-z._-]{0,63}$")]


def _parse_range(value: Any) -> Any:
    """Accepts a number, which stands for both ends of a range, or a pair [low, high]."""
    ends = value if isinstance(value, list | tuple) else (value, value)
    if len(ends) != 2 or not all(isinstance(end, int | float) and not isinstance(end, bool) for end in ends):
        raise ValueError("wants a number, or a pair [low, high]")
    low, high = ends
    if not 0 <= low <= high < float("inf"):
        raise ValueError(f"wants 0 <= low <= high, not [{low:g}, {high:g}]")
    return float(low), float(high)


def _parse_selection(value: Any) -> Any:
    """Accepts a number of items or a list of names."""
    is_name_list = isinstance(value, list | tuple) and value and all(isinstance(name, str) for name in value)
    if value is not None and not is_name_list and (not isinstance(value, int) or isinstance(value, bool)):
        raise ValueError("wants how many, or a list of names")
    return value


Range = Annotated[tuple[float, float], BeforeValidator(_parse_range)]
Selection = Annotated[int | tuple[str, ...] | None, BeforeValidator(_parse_selection)]


class _Table(BaseModel):
    """A table of the file: a key that is not listed is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Load(_Table):
    rate: Positive = 420.0  # first tries per second of all clients together
    keys: Count = 1200  # number of distinct keys
    key_skew: NotNegative = 0.95  # exponent of Zipf's law for the popularity of keys


class Class(_Table):
    name: Name
    share: Positive
    work_ms: Range  # mean work on a core of speed 1
    waits_ms: Range = (0.0, 0.0)  # mean wait for other services: holds a slot of the box, but no core
    spread: NotNegative = 0.45  # coefficient of variation of the work
    wanted_ms: Positive = 500.0  # an answer later than this is worth nothing
    given_up_ms: Positive = 2000.0  # the client stops waiting after this time
    worth: NotNegative = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    repeats_dropped_s: NotNegative = 5.0  # keyed: boxes drop repeats for so long
    body_bytes: Annotated[Integer, Field(ge=0, le=60_000)] = 1500  # size of the answer's body


class Tenant(_Table):
    name: Name
    share: Positive


class FleetBudget(_Table):
    """Tokens of all nodes together."""

    per_s: Positive
    burst_s: Annotated[Number, Field(ge=0.1, le=600)] = 5.0  # seconds of `per_s` that may be saved up


class Tier(_Table):
    """The nodes are told of one another, and judge one another by datagrams; the last three bound what their
    histories may show."""

    period_ms: Annotated[Number, Field(ge=50, le=60_000)] = 1000.0  # between probes
    wrongly_s: NotNegative = 0.0  # how long a running, reachable node may be held dead
    settle_s: Positive = 10.0  # time after a fault's end in which its effects may still show
    death_s: Positive = 10.0  # time after a node's end until all hold it dead
    judge: Flag = False  # judge servers by the observations of all nodes
    liars: tuple[str, ...] = ()  # nodes that report every server as failing
    # Offset of the wall clock by node.
    wall_off_h: dict[str, Annotated[Number, Field(ge=-48, le=48)]] = Field(default={})
    clock_rates: dict[str, Annotated[Number, Field(ge=0.5, le=2)]] = Field(default={})  # by node
    admitted: FleetBudget | None = None  # requests that the fleet admits
    retries: FleetBudget | None = None  # further attempts of the fleet


class Nodes(_Table):
    count: Annotated[Integer, Field(ge=1, le=4096)] = 3
    descriptors: Annotated[Integer, Field(ge=96)] = 1024
    memory_mb: Count = 192
    attempts: Annotated[Integer, Field(ge=1, le=16)] = 5  # maximum for one request
    retry_after_most_s: NotNegative = 2.0
    dial_timeout_ms: Positive = 200.0
    open_most: Count = 20_000  # maximum of requests in progress at a node
    service: str | None = None  # path of a service file that all nodes use
    tier: Tier | None = None  # without it no node knows of another

    def clock(self, name: str) -> tuple[float, int]:
        """Returns the rate of a node's monotonic clock and the offset of its wall clock in ns."""
        if self.tier is None:
            return 1.0, 0
        return self.tier.clock_rates.get(name, 1.0), int(self.tier.wall_off_h.get(name, 0.0) * 3.6e12)

    def budgets(self) -> dict[str, FleetBudget]:
        """Returns the budgets that the nodes share, by name."""
        if self.tier is None:
            return {}
        budgets = {"admitted": self.tier.admitted, "retries": self.tier.retries}
        return {name: budget for name, budget in budgets.items() if budget is not None}


class Kind(_Table):
    name: Name
    share: Positive
    cores: Count = 6
    speed: Range = (0.85, 1.1)  # relative speed of a core
    slots_per_core: Range = (8.0, 8.0)  # requests in progress
    waiting_per_core: Range = (2.5, 2.5)  # requests that wait for a slot; more are refused
    cold_share: Share = 0.2  # share of its full work that it does at its start
    cold_s: NotNegative = 20.0  # time until it does its full work
    thrash: NotNegative = 0.25  # loss of work for each request per core beyond `thrash_at`
    thrash_at: NotNegative = 10.0
    connections_per_core: Positive = 30.0
    connection_tax: Share = 0.1  # share of work lost when its connection table is full
    handshake_us: NotNegative = 1100.0  # work of each new connection
    idle_s: Positive = 30.0  # it closes connections that are idle for so long
    error_share: Share = 0.0005  # share of answers with status 500
    cancel: Literal["none", "queued"] = "queued"  # which requests stop when their client is gone
    key_gain: Share = 0.43  # share of work saved if the key was used recently
    key_memory_s: NotNegative = 7.0
    keys_per_core: NotNegative = 10.0


class Jam(_Table):
    """A box that has had far too much for a while turns slower until it has been mostly idle."""

    at: Positive = 5.5  # threshold: requests above cores + this x sqrt(cores)
    over_s: Positive = 2.0
    slower: AtLeastOne = 2.7
    rest_s: Positive = 3.4
    below: Share = 0.33  # share of cores in use that counts as idle
    most_s: Positive = 25.0


class Reports(_Table):
    every_ms: Range = (440.0, 1400.0)
    late_ms: Range = (230.0, 460.0)
    noise: NotNegative = 0.04


class Boxes(_Table):
    count: Annotated[Integer, Field(ge=1, le=4096)] = 12
    kind: tuple[Kind, ...] = ()  # default: half `fast-six`, half `plain-six`
    jam: Jam | None = None  # without it boxes don't jam
    reports: Reports = Field(default_factory=Reports)
    grace_s: NotNegative = 6.0  # time from the drain to the end of a box


class BoxList(_Table):
    mode: Literal["asked", "pushed"] = "asked"
    notice_s: Range = (0.4, 1.6)  # delay of a change in the list
    silent_notice_s: Range = (4.2, 13.0)  # the same for a machine that was silently disconnected
    lines_per_s: Positive = 200.0  # total capacity of the list for sending lines
    call_lines: NotNegative = 40.0  # additional cost of a call, in lines
    timeout_ms: Positive = 3000.0
    ask_within_s: Positive = 10.0  # after this time without a call a node counts as told


class FrontLayer(_Table):
    notice_s: Range = (1.9, 3.7)  # it continues to send to a dead node for so long
    busy_part: Share = 0.0  # share of nodes, the first ones, that get `busy_times` the traffic
    busy_times: Positive = 3.0


class Clients(_Table):
    retries: Annotated[Integer, Field(ge=0, le=16)] = 2
    try_share: Range = (0.5, 0.8)  # share of the give-up time for one try
    backoff_ms: Range = (20.0, 160.0)  # first wait, doubled for each further one
    honour: Share = 0.85  # share of clients that honour `Retry-After`
    mark_retries: Flag = True
    connections_share: Share = 0.33  # share of a node's descriptors that clients may use
    idle_s: Positive = 20.0
    hold_share: Share = 0.0  # share of requests on a connection of their own that is kept open, unused


class Net(_Table):
    client_ms: NotNegative = 0.6  # one-way delay
    inside_ms: NotNegative = 0.2
    jitter: NotNegative = 0.2


class Rules(_Table):
    drain_grace_s: Positive = 1.0
    cold_multiple: Positive = 3.0
    cold_window_s: Positive = 1.5
    answer_grace_ms: Positive = 50.0


class Phase(_Table):
    """From `at_s` on, until the next one."""

    name: Label
    at_s: NotNegative
    rate: NotNegative = 1.0  # factor on the rate of [load]
    ramp_s: NotNegative = 0.0  # duration of a linear change from the previous rate
    shares: dict[str, NotNegative] = {}  # factors on the shares of classes


class _Fault(_Table):
    kind: str
    at_s: NotNegative
    for_s: Positive = 10.0


class _AtBoxes(_Fault):
    """Which boxes: by name, or so many, or a part of them, drawn by the seed, of a kind if one is named."""

    boxes: Selection = None
    part: Share | None = None
    of_kind: str | None = None


class _AtNodes(_Fault):
    nodes: Selection = 1


class SlowBoxes(_AtBoxes):
    kind: Literal["slow-boxes"]
    times: AtLeastOne = 5.0


class EverythingSlow(_Fault):
    kind: Literal["everything-slow"]
    times: AtLeastOne = 2.0


class BoxDies(_AtBoxes):
    """Its process is killed; it starts again, cold, when the fault ends."""

    kind: Literal["box-dies"]


class BoxVanishes(_AtBoxes):
    """Its machine is cut off in silence; it is back, with what it held, when the fault ends."""

    kind: Literal["box-vanishes"]


class BoxErrors(_AtBoxes):
    kind: Literal["box-errors"]
    share: Share = 0.5


class BrokenConnections(_AtBoxes):
    """Of the answers of these boxes a part is lost to a reset, and a part never comes, its connection silent:
    the request has run, and the node can't know."""

    kind: Literal["broken-connections"]
    reset: Share = 0.1
    swallowed: Share = 0.05


class Replace(_AtBoxes):
    """Boxes drain one after the other through `for_s`; each is gone after its grace, and a new one with a new
    name starts, cold, at the same address or at one of its own."""

    kind: Literal["replace"]
    same_address: Flag = True


class TrafficJump(_Fault):
    kind: Literal["traffic-jump"]
    times: Positive = 2.0
    rise_s: NotNegative = 0.5
    fall_s: NotNegative = 0.5


class Surge(_Fault):
    """One class asks so many times more; the others as before."""

    kind: Literal["surge"]
    of_class: str
    times: Positive = 3.0


class SilentCrowd(_Fault):
    """Strangers connect to the nodes in turn, say nothing, or no more than the begin of a head, and stay
    until they are closed. They are not among those that share the clients' bound."""

    kind: Literal["silent-crowd"]
    per_s: Annotated[Number, Field(gt=0, le=2000)] = 200.0
    begin: Flag = False  # each sends a part of a request head


class ListOutage(_Fault):
    kind: Literal["list-outage"]
    silent: Flag = False  # connections time out instead of being refused


class ListLag(_Fault):
    kind: Literal["list-lag"]
    extra_s: Positive = 6.0


class WatchesFallSilent(_AtNodes):
    """Their open watches on the list bring nothing more, and do not end. What they miss counts as told 6 s
    later; a new watch is as any."""

    kind: Literal["watches-fall-silent"]


class ListMoves(_Fault):
    """The list is at another address from then on, and the nodes are told by SIGHUP; the old one takes no new
    connection and ends the open ones after 1.5 s."""

    kind: Literal["list-moves"]


class NodeDies(_AtNodes):
    """Killed outright; it starts again, with its last list of boxes, when the fault ends."""

    kind: Literal["node-dies"]


class NodeVanishes(_AtNodes):
    """Its machine is cut off in silence, and back when the fault ends."""

    kind: Literal["node-vanishes"]


class NodeRestarts(_AtNodes):
    """Told to end by SIGTERM, one after the other through `for_s`, and started again."""

    kind: Literal["node-restarts"]


class NodeStalls(_AtNodes):
    """Its process stands still (SIGSTOP), its machine does not, and goes on when the fault ends."""

    kind: Literal["node-stalls"]


class NodeStarves(_AtNodes):
    """Its process gets its share of CPU in pieces: it stands still and runs in turn."""

    kind: Literal["node-starves"]
    stands_ms: Positive = 30.0
    runs_ms: Positive = 10.0


class Links(_Fault):
    """What happens to datagrams between nodes, one way, from each of some to each of others (left out: from
    all, to all). Shares of datagrams; a delay comes on top of the network's own."""

    kind: Literal["links"]
    senders: Selection = None
    receivers: Selection = None
    both_ways: Flag = False
    cut: Flag = False
    loss: Share = 0.0
    delay_ms: Range = (0.0, 0.0)
    duplicate: Share = 0.0
    reorder: Share = 0.0
    garble: Share = 0.0
    truncate: Share = 0.0


AnyFault = (
    SlowBoxes | EverythingSlow | BoxDies | BoxVanishes | BoxErrors | BrokenConnections | Replace |
    TrafficJump | Surge | SilentCrowd | ListOutage | ListLag | WatchesFallSilent | ListMoves | NodeDies |
    NodeVanishes | NodeRestarts | NodeStalls | NodeStarves | Links
)  # fmt: skip
Fault = Annotated[AnyFault, Field(discriminator="kind")]


class Scenario(_Table):
    version: Version
    name: Name = "scenario"
    title: str = ""
    extends: str | None = None  # a shipped scenario whose keys this file overrides
    seed: Annotated[Integer, Field(ge=0)] = 1
    seconds: Annotated[Number, Field(gt=0, le=86_400)] = 30.0
    load: Load = Field(default_factory=Load)
    classes: tuple[Class, ...] = Field(default=(), alias="class")  # default: DEFAULT_CLASSES
    tenants: tuple[Tenant, ...] = Field(default=(), alias="tenant")
    nodes: Nodes = Field(default_factory=Nodes)
    boxes: Boxes = Field(default_factory=Boxes)
    list: BoxList = Field(default_factory=BoxList)
    front: FrontLayer = Field(default_factory=FrontLayer)
    clients: Clients = Field(default_factory=Clients)
    network: Net = Field(default_factory=Net)
    rules: Rules = Field(default_factory=Rules)
    phases: tuple[Phase, ...] = Field(default=(), alias="phase")
    faults: tuple[Fault, ...] = Field(default=(), alias="fault")


DEFAULT_CLASSES = (
    Class(name="paid-live", share=12, work_ms=(75.0, 140.0), waits_ms=(56.0, 100.0), wanted_ms=600,
          given_up_ms=3000, worth=12),
    Class(name="track-fetch", share=40, work_ms=(92.0, 170.0), waits_ms=(68.0, 130.0), wanted_ms=500,
          given_up_ms=1000),
    Class(name="seek-chunk", share=24, work_ms=(100.0, 190.0), waits_ms=(39.0, 72.0), wanted_ms=400,
          given_up_ms=2000),
    Class(name="full-render", share=24, work_ms=(140.0, 260.0), waits_ms=(110.0, 200.0), wanted_ms=1000,
          given_up_ms=5000),
)  # fmt: skip

DEFAULT_TENANTS = (
    Tenant(name="broadcaster", share=3),
    Tenant(name="series", share=5),
    Tenant(name="partners", share=2),
)

DEFAULT_KINDS = (
    Kind(name="fast-six", share=0.5, speed=(1.3, 1.7), cold_share=0.2, cold_s=18),
    Kind(name="plain-six", share=0.5, speed=(0.85, 1.1), cold_share=0.2, cold_s=20),
)
