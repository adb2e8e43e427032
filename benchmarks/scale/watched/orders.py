"""What the process that measures tells a worker of watchers, and what comes back: JSON, a line each."""

from __future__ import annotations

import msgspec


class Begin(msgspec.Struct, tag=True):
    """The first order: watchers with these numbers, in no one place yet."""

    numbers: list[int]
    servers: list[str]  # HOST:PORT of the control servers
    folder: str  # for notes, and for the state of watchers that are restarted
    on_disk: list[int]  # watchers whose state outlives them


class Restart(msgspec.Struct, tag=True):
    """Ends and starts again."""

    number: int


class Sample(msgspec.Struct, tag=True):
    """Figures since the last sample."""


class Stop(msgspec.Struct, tag=True):
    """The last order: notes are written."""


Order = Begin | Restart | Sample | Stop


class Figures(msgspec.Struct, tag=True):
    """Answer to Sample."""

    watchers: int
    seconds: float
    cpu: float  # s
    resident: int  # bytes
    bytes_in: int
    bytes_out: int
    least: int  # revision in force
    greatest: int
    refused: int  # change sets, over all watchers
    reports: int  # taken, ever
    late: float  # s, the worst that a timer of the loop came late
    longest_step: float  # s, of one step of an application


class Done(msgspec.Struct, tag=True):
    """Answer to all others."""

    resident: int = 0  # bytes


Answer = Figures | Done
