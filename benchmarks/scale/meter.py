"""What one step of a program takes of its process: processor time, and memory as the system counts it."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import NamedTuple, TypeVar

Result = TypeVar("Result")
KIB = 1024
MB = 1e6
RESET_PEAK = "5"  # what the kernel takes in clear_refs to begin the peak of resident memory anew


class Step(NamedTuple):
    """`cpu_s`: of all threads; `peak_mb`, `kept_mb`: resident memory above what it was before the step, at
    the most while it ran, and after it and a collection of garbage."""

    cpu_s: float
    peak_mb: float
    kept_mb: float


def status_mb(field: str) -> float:
    """A field of this process's status in MB (10^6 bytes), such as VmRSS and VmHWM."""
    text = Path("/proc/self/status").read_text()
    return int(text.split(f"{field}:")[1].split()[0]) * KIB / MB


def measured(step: Callable[[], Result]) -> tuple[Result, Step]:
    """Runs a step once, after a collection."""
    gc.collect()
    Path("/proc/self/clear_refs").write_text(RESET_PEAK)
    before, began = status_mb("VmRSS"), time.process_time()
    result = step()
    spent = time.process_time() - began
    peak = status_mb("VmHWM")
    gc.collect()
    return result, Step(spent, peak - before, status_mb("VmRSS") - before)


def cpu_each(step: Callable[[int], object], times: int) -> float:
    """s of processor time for one call, the mean over `times`."""
    began = time.process_time()
    for number in range(times):
        step(number)
    return (time.process_time() - began) / times


def median_each(step: Callable[[int], object], times: int) -> float:
    """s of processor time of one call, the median of `times`: how long it holds the loop on a free core."""
    found = []
    for number in range(times):
        began = time.process_time()
        step(number)
        found.append(time.process_time() - began)
    return median(found)
