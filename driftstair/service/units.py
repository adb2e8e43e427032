"""Durations and sizes in the service file: strings of a number directly followed by its unit."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field, PlainSerializer, WithJsonSchema

NS_PER_UNIT = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
BYTES_PER_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
DURATION_PATTERN = r"(\d{1,9}(?:\.\d{1,6})?)(us|ms|s|m|h)"
SIZE_PATTERN = r"(\d{1,9})(B|KiB|MiB)"


def parse_duration_ns(value: Any) -> int:
    """Nanoseconds; raises ValueError with an example of an accepted value."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError('wants a duration such as "500ms"')
    if not isinstance(value, str):
        raise ValueError(f'has no unit: write "{value:g}ms" or "{value:g}s"')
    match = re.fullmatch(DURATION_PATTERN, value)
    if match:
        return int(float(match[1]) * NS_PER_UNIT[match[2]])
    compact = value.strip().replace(" ", "")
    if re.fullmatch(DURATION_PATTERN, compact):
        raise ValueError(f'write it in one piece: "{compact}"')
    raise ValueError('wants a number and a unit (us, ms, s, m, h), such as "500ms"')


def parse_size_bytes(value: Any) -> int:
    """Bytes; raises ValueError with an example of an accepted value."""
    if isinstance(value, int) and not isinstance(value, bool):
        raise ValueError(f'has no unit: write "{value}B" or "{value}KiB"')
    match = re.fullmatch(SIZE_PATTERN, value) if isinstance(value, str) else None
    if not match:
        raise ValueError('wants a whole number and a unit (B, KiB, MiB), such as "16KiB"')
    return int(match[1]) * BYTES_PER_UNIT[match[2]]


def shown_duration(ns: int) -> str:
    """Formats a duration as it is written in the service file."""
    for unit in ("h", "m", "s"):
        if ns and ns % NS_PER_UNIT[unit] == 0:
            return f"{ns // NS_PER_UNIT[unit]}{unit}"
    if ns >= NS_PER_UNIT["s"] and ns % NS_PER_UNIT["ms"] == 0:
        return f"{ns / NS_PER_UNIT['s']:g}s"
    return f"{ns / NS_PER_UNIT['ms']:g}ms"


Duration = Annotated[
    int, BeforeValidator(parse_duration_ns), PlainSerializer(shown_duration),
    WithJsonSchema({"type": "string", "pattern": f"^{DURATION_PATTERN}$"}),
]  # fmt: skip
"""In nanoseconds."""
PositiveDuration = Annotated[Duration, Field(gt=0)]
Size = Annotated[
    int, BeforeValidator(parse_size_bytes), PlainSerializer(lambda value: f"{value}B"),
    WithJsonSchema({"type": "string", "pattern": f"^{SIZE_PATTERN}$"}),
]  # fmt: skip
"""In bytes."""
Number = Annotated[float, Field(strict=True, allow_inf_nan=False)]
Share = Annotated[Number, Field(ge=0, le=1)]
NonNegative = Annotated[Number, Field(ge=0)]
Positive = Annotated[Number, Field(gt=0)]
WholeNumber = Annotated[int, Field(strict=True)]


def _require_integer(value: Any) -> Any:
    """Rejects 1.0 and true, which compare equal to 1 but are not valid versions."""
    if type(value) is not int:
        raise ValueError("wants the whole number 1")
    return value


Version = Annotated[Literal[1], BeforeValidator(_require_integer)]
