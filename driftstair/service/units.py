"""Durations and sizes as they stand in the service file: a number and its unit, in one piece of text."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field, PlainSerializer, WithJsonSchema

NS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
BYTES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
DURATION = r"(\d{1,9}(?:\.\d{1,6})?)(us|ms|s|m|h)"
SIZE = r"(\d{1,9})(B|KiB|MiB)"


def duration_ns(value: Any) -> int:
    """Whole ns; raises ValueError with what would do."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError('wants a duration such as "500ms"')
    if not isinstance(value, str):
        raise ValueError(f'has no unit: write "{value:g}ms" or "{value:g}s"')
    found = re.fullmatch(DURATION, value)
    if found:
        return int(float(found[1]) * NS[found[2]])
    bare = value.strip().replace(" ", "")
    if re.fullmatch(DURATION, bare):
        raise ValueError(f'write it in one piece: "{bare}"')
    raise ValueError('wants a number and a unit (us, ms, s, m, h), such as "500ms"')


def size_bytes(value: Any) -> int:
    """Bytes; raises ValueError with what would do."""
    if isinstance(value, int) and not isinstance(value, bool):
        raise ValueError(f'has no unit: write "{value}B" or "{value}KiB"')
    found = re.fullmatch(SIZE, value) if isinstance(value, str) else None
    if not found:
        raise ValueError('wants a whole number and a unit (B, KiB, MiB), such as "16KiB"')
    return int(found[1]) * BYTES[found[2]]


def shown_duration(ns: int) -> str:
    """As it would stand in the file."""
    for unit in ("h", "m", "s"):
        if ns and ns % NS[unit] == 0:
            return f"{ns // NS[unit]}{unit}"
    if ns >= NS["s"] and ns % NS["ms"] == 0:
        return f"{ns / NS['s']:g}s"
    return f"{ns / NS['ms']:g}ms"


Duration = Annotated[
    int, BeforeValidator(duration_ns), PlainSerializer(shown_duration),
    WithJsonSchema({"type": "string", "pattern": f"^{DURATION}$"}),
]  # fmt: skip
"""ns."""
SomeTime = Annotated[Duration, Field(gt=0)]
Size = Annotated[
    int, BeforeValidator(size_bytes), PlainSerializer(lambda value: f"{value}B"),
    WithJsonSchema({"type": "string", "pattern": f"^{SIZE}$"}),
]  # fmt: skip
"""Bytes."""
Number = Annotated[float, Field(strict=True, allow_inf_nan=False)]
Share = Annotated[Number, Field(ge=0, le=1)]
NotNegative = Annotated[Number, Field(ge=0)]
Positive = Annotated[Number, Field(gt=0)]
WholeNumber = Annotated[int, Field(strict=True)]


def _whole(value: Any) -> Any:
    """1.0 and true are equal to 1, and are no version."""
    if type(value) is not int:
        raise ValueError("wants the whole number 1")
    return value


Version = Annotated[Literal[1], BeforeValidator(_whole)]
