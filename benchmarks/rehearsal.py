"""How fast virtual time passes, and what it costs in memory, as the fleet and the load grow.

    python benchmarks/rehearsal.py [--json] [--profile]

Each point is a process of its own: simulated seconds for each second of one core (CPU time, so that a busy
machine counts for less), microseconds of CPU for each request, peak resident memory. Not part of CI.
"""

from __future__ import annotations

import argparse
import cProfile
import json
import pstats
import resource
import subprocess
import sys
import time

POINTS = (  # nodes, boxes, requests per second, simulated seconds
    (3, 12, 100, 20),
    (3, 12, 350, 20),
    (3, 12, 700, 20),
    (3, 12, 700, 60),
    (8, 24, 1400, 20),
    (20, 60, 2900, 20),
)


def measure_point(nodes: int, boxes: int, rate: float, seconds: float, profile: bool) -> dict[str, float]:
    """Runs the `calm` scenario with these sizes, and returns its figures."""
    from driftstair.rehearsal.load import load, tables_from_paths
    from driftstair.rehearsal.virtual import run_scenario

    overrides = {
        "nodes.count": nodes,
        "boxes.count": boxes,
        "load.rate": float(rate),
        "seconds": float(seconds),
    }
    scenario = load("calm", tables_from_paths(overrides))
    rss_before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    profiler = cProfile.Profile()
    start_s = time.process_time()
    if profile:
        profiler.enable()
    rehearsal, _, events = run_scenario(scenario)
    if profile:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(25)
    cpu_s = time.process_time() - start_s
    simulated_s = rehearsal.now() / 1e9
    requests = rehearsal.account.total.requests
    return {
        "nodes": nodes, "boxes": boxes, "rate": rate, "seconds": seconds, "asked": requests, "events": events,
        "service": round(rehearsal.account.total.service(), 4), "breaks": len(rehearsal.checker.breaks),
        "simulated_per_cpu_second": round(simulated_s / cpu_s, 2),
        "cpu_us_per_request": round(cpu_s / requests * 1e6),
        "rss_before_mb": round(rss_before_kb / 1024, 1),
        "rss_peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
    }  # fmt: skip


def main() -> int:
    """Runs each point in a process of its own, and prints a row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--profile", action="store_true", help="of the last point alone")
    parser.add_argument("--point", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.point:
        print(json.dumps(measure_point(*json.loads(options.point), profile=False)))
        return 0
    if options.profile:
        measure_point(*POINTS[-1], profile=True)
        return 0
    rows = []
    for point in POINTS:
        command = [sys.executable, __file__, "--point", json.dumps(point)]
        rows.append(json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout))
        if not options.json:
            if len(rows) == 1:
                print("  ".join(rows[0]))
            print("  ".join(f"{value:>{len(name)}}" for name, value in rows[-1].items()), flush=True)
    if options.json:
        print(json.dumps(rows, indent=1))
    return 0


if __name__ == "__main__":
    sys.path.insert(0, ".")
    sys.exit(main())
