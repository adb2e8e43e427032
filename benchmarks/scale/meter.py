"""Measures the processor time and the resident memory that one step of a program takes in this process."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import NamedTuple, TypeVar

Result = TypeVar("Result")
KIB = 1024
MB = 1e6  # bytes
RESET_PEAK = "5"  # written to clear_refs, makes the kernel reset the peak of resident memory (VmHWM)


class StepCost(NamedTuple):
    """The cost of one step. `cpu_s` is the processor time of all threads. `peak_mb` and `kept_mb` are
    resident memory above its value before the step: the peak during the step, and the rest after it and a
    garbage collection."""

    cpu_s: float
    peak_mb: float
    kept_mb: float


def status_mb(field: str) -> float:
    """Returns a field of this process's status, such as VmRSS or VmHWM, in MB (10^6 bytes)."""
    text = Path("/proc/self/status").read_text()
    return int(text.split(f"{field}:")[1].split()[0]) * KIB / MB


def measure_step(step: Callable[[], Result]) -> tuple[Result, StepCost]:
    """Runs a step once, after a garbage collection; returns its result and its cost."""
    gc.collect()
    Path("/proc/self/clear_refs").write_text(RESET_PEAK)
    resident_before_mb, began_s = status_mb("VmRSS"), time.process_time()
    result = step()
    cpu_s = time.process_time() - began_s
    peak_mb = status_mb("VmHWM")
    gc.collect()
    return result, StepCost(cpu_s, peak_mb - resident_before_mb, status_mb("VmRSS") - resident_before_mb)


def mean_cpu_s(step: Callable[[int], object], times: int) -> float:
    """Returns the mean processor time in seconds of one call, over `times` calls."""
    began_s = time.process_time()
    for index in range(times):
        step(index)
    return (time.process_time() - began_s) / times


def median_cpu_s(step: Callable[[int], object], times: int) -> float:
    """Returns the median processor time in seconds of `times` calls: how long one call blocks the event loop
    on an idle core."""
    durations_s = []
    for index in range(times):
        began_s = time.process_time()
        step(index)
        durations_s.append(time.process_time() - began_s)
    return median(durations_s)
