"""A preloaded library that makes system calls and disk writes of a process fail, and its wall clock wrong.

It is built from `shim.c` with the C compiler of the machine and loaded by LD_PRELOAD. Its options stand in
the variable DRIFTSTAIR_SHIM (`ShimOptions.to_text`). Calls fail with the errors that Linux's manual pages
list, from `after` s of the process's life on.
"""

from __future__ import annotations

import os
import subprocess
from dataclasses import dataclass, fields
from pathlib import Path

SOURCE_PATH = Path(__file__).parent / "shim.c"
OPTIONS_VARIABLE = "DRIFTSTAIR_SHIM"
LIBRARY_NAME = "shim.so"


class ShimError(Exception):
    """The library can't be built, or an option is invalid; the message says what is valid."""


@dataclass(frozen=True, slots=True)
class ShimOptions:
    """The options of the library. Shares are fractions of calls, from 0 to 1; times are in s."""

    seed: int = 1
    after: float = 2.0  # from the start of the process; no call fails before
    calls: float = 0.0  # share of accept, socket, connect, reads and writes of TCP sockets that fail
    await_listen: float = 0.0  # 1: no call fails before the process first listens, however slowly it starts
    disk: float = 0.0  # share of writes and syncs of regular files that fail
    clock_off: float = 0.0  # offset of the wall clock, from the start on
    clock_step: float = 0.0  # further offset, from `step_after` on
    step_after: float = 4.0

    def __post_init__(self) -> None:
        for name in ("calls", "disk"):
            share = getattr(self, name)
            if not 0.0 <= share <= 1.0:
                raise ShimError(f"{OPTIONS_VARIABLE}: {name} = {share}: a share from 0 to 1 would do")

    def to_text(self) -> str:
        """The options as the value of DRIFTSTAIR_SHIM."""
        return ";".join(f"{option.name}={getattr(self, option.name)}" for option in fields(self))


def parse_options(text: str) -> ShimOptions:
    """Parses a value of DRIFTSTAIR_SHIM. Raises ShimError."""
    types_by_name = {option.name: option.type for option in fields(ShimOptions)}
    values: dict[str, float] = {}
    for assignment in filter(None, text.split(";")):
        name, _, value = assignment.partition("=")
        if name not in types_by_name:
            raise ShimError(
                f"{OPTIONS_VARIABLE}: no option {name!r}; one of {', '.join(types_by_name)} would do"
            )
        try:
            values[name] = int(value) if name == "seed" else float(value)
        except ValueError:
            raise ShimError(f"{OPTIONS_VARIABLE}: {name} = {value!r}: a number would do") from None
    return ShimOptions(**values)  # type: ignore[arg-type]


def build_shim(folder: Path) -> Path:
    """Builds the library in a folder and returns its path. Raises ShimError."""
    library = folder / LIBRARY_NAME
    command = [
        "cc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(library), str(SOURCE_PATH), "-ldl",
    ]  # fmt: skip
    try:
        result = subprocess.run(command, capture_output=True, text=True, check=False)
    except OSError as error:
        raise ShimError(f"cc: {error.strerror}; a C compiler would do") from None
    if result.returncode:
        raise ShimError(f"{SOURCE_PATH.name} can't be built: {result.stderr.strip()[:500]}")
    return library


def shim_environment(library: Path, options: ShimOptions) -> dict[str, str]:
    """Returns the environment variables that load the library into a process and set its options."""
    preloaded = os.environ.get("LD_PRELOAD", "")
    return {"LD_PRELOAD": f"{library} {preloaded}".strip(), OPTIONS_VARIABLE: options.to_text()}
