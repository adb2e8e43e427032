"""The orders of the measuring process to a worker with watchers, and the answers, each as one line of
JSON."""

from __future__ import annotations

import msgspec


class Begin(msgspec.Struct, tag=True):
    """The first order: watchers with these numbers, in no one place yet."""

    numbers: list[int]
    servers: list[str]  # HOST:PORT of the control servers
    folder: str  # for notes, and for the persisted state of watchers
    on_disk: list[int]  # watchers that persist their state


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
    cpu: float  # s of processor time
    resident: int  # bytes
    bytes_in: int
    bytes_out: int
    least: int  # lowest revision in force
    greatest: int  # highest revision in force
    refused: int  # change sets refused, over all watchers
    reports: int  # accepted by control servers since the start
    late: float  # s, the largest lateness of the loop's timer
    longest_step: float  # s, the longest step of applying a change


class Done(msgspec.Struct, tag=True):
    """Answer to all others."""

    resident: int = 0  # bytes


Answer = Figures | Done
