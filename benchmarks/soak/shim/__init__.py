"""A library that makes a daemon's system calls fail, its wall clock be off and its disk be full.

Built from `shim.c` with the machine's C compiler, and loaded by LD_PRELOAD. What it does is told by
DRIFTSTAIR_SHIM (`Options.text`); it fails as Linux's manual pages say, from `after` s of its life on.
"""

from __future__ import annotations

import os
import subprocess
from dataclasses import dataclass, fields
from pathlib import Path

SOURCE = Path(__file__).parent / "shim.c"
VARIABLE = "DRIFTSTAIR_SHIM"
LIBRARY = "shim.so"


class ShimError(Exception):
    """The library can't be built, or an option is none; the text says what would do."""


@dataclass(frozen=True, slots=True)
class Options:
    """Shares are of calls, 0 to 1; times in s."""

    seed: int = 1
    after: float = 2.0  # since the process began
    calls: float = 0.0  # accept, socket, connect, reads and writes of TCP sockets
    await_listen: float = 0.0  # 1: no call fails before the process first listens, however slowly it starts
    disk: float = 0.0  # writes and syncs of regular files
    clock_off: float = 0.0  # the wall clock, from the start
    clock_step: float = 0.0  # and beyond that, from `step_after` on
    step_after: float = 4.0

    def __post_init__(self) -> None:
        for name in ("calls", "disk"):
            share = getattr(self, name)
            if not 0.0 <= share <= 1.0:
                raise ShimError(f"{VARIABLE}: {name} = {share}: a share from 0 to 1 would do")

    def text(self) -> str:
        return ";".join(f"{one.name}={getattr(self, one.name)}" for one in fields(self))


def parse(text: str) -> Options:
    """The options of a text. Raises ShimError."""
    names = {one.name: one.type for one in fields(Options)}
    values: dict[str, float] = {}
    for part in filter(None, text.split(";")):
        name, _, value = part.partition("=")
        if name not in names:
            raise ShimError(f"{VARIABLE}: no option {name!r}; one of {', '.join(names)} would do")
        try:
            values[name] = int(value) if name == "seed" else float(value)
        except ValueError:
            raise ShimError(f"{VARIABLE}: {name} = {value!r}: a number would do") from None
    return Options(**values)  # type: ignore[arg-type]


def build(folder: Path) -> Path:
    """The library, built there. Raises ShimError."""
    library = folder / LIBRARY
    command = ["cc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    try:
        done = subprocess.run(command, capture_output=True, text=True, check=False)
    except OSError as problem:
        raise ShimError(f"cc: {problem.strerror}; a C compiler would do") from None
    if done.returncode:
        raise ShimError(f"{SOURCE.name} can't be built: {done.stderr.strip()[:500]}")
    return library


def environment(library: Path, options: Options) -> dict[str, str]:
    """Of a process that is to have it."""
    loaded = os.environ.get("LD_PRELOAD", "")
    return {"LD_PRELOAD": f"{library} {loaded}".strip(), VARIABLE: options.text()}
