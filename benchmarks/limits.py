"""What limits per route cost: one match with 1, 100 and 5,000 routes, and a request of the daemon without a
service file, with 10 routes and with 5,000.

    python benchmarks/limits.py [--requests N] [--rounds N] [--json]

Figures of one run, as ratios to the first row; rounds alternate. Not part of CI.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

import uvloop
from request import ROOT, run_round

sys.path.insert(0, str(ROOT))


def service_file_text(routes: int) -> str:
    """Returns a service file with routes that match by class and key, and a last one that matches everything,
    so that a look-up has to consider each kind of match."""
    lines = ["version = 1"]
    for number in range(routes - 1):
        match_table = f'{{ class = "page", key = "video-{number:05d}" }}'
        lines.append(f'[[route]]\nname = "r{number}"\nmatch = {match_table}\ntimeout = {{ total = "900ms" }}')
    lines.append('[[route]]\nname = "rest"\ntimeout = { total = "950ms" }\nretry = { attempts = 3 }')
    return "\n".join(lines)


def measure_match(routes: int) -> dict[str, float]:
    """Measures loading and matching with so many routes."""
    from driftstair.limits.routes import Pattern, RouteQuery, Routes
    from driftstair.limits.validation import find_problems
    from driftstair.service.load import parse

    start_s = time.perf_counter()
    parsed = parse(service_file_text(routes), "f")
    problems = find_problems(parsed, None)
    load_s = time.perf_counter() - start_s
    assert not problems, problems[:1]
    tracemalloc.start()
    index = Routes(Pattern.of(route.match) for route in parsed.service.route)
    index_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    fields: dict[bytes, bytes] = {}
    queries = [
        RouteQuery("page", "a", "GET", "/api", fields, f"video-{number:05d}") for number in range(0, 5000, 7)
    ]
    times_s = []
    for _ in range(7):
        start_s = time.perf_counter()
        for query in queries:
            index.find(query)
        times_s.append((time.perf_counter() - start_s) / len(queries))
    return {
        "routes": routes, "match_us": round(min(times_s) * 1e6, 3), "load_and_proof_s": round(load_s, 3),
        "index_kb": round(index_bytes / 1024, 1),
    }  # fmt: skip


def main() -> int:
    """Measures matches and requests, and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    match_rows = [measure_match(routes) for routes in (1, 100, 5000)]
    results: dict[str, list[dict[str, float]]] = {"absent": [], "10 routes": [], "5000 routes": []}
    with tempfile.TemporaryDirectory() as folder:
        service_files = {"absent": ""}
        for routes in (10, 5000):
            path = Path(folder, f"{routes}.toml")
            path.write_text(service_file_text(routes))
            service_files[f"{routes} routes"] = str(path)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            for _ in range(options.rounds):
                for name, service_file in service_files.items():
                    results[name].append(runner.run(run_round(ROOT, options.requests, 64, service_file)))
    rows = {
        name: {
            key: round(
                (min if key == "cpu_us" else statistics.median)(
                    figures[key] for figures in figures_of_rounds
                ),
                3,
            )
            for key in figures_of_rounds[0]
        }
        for name, figures_of_rounds in results.items()
    }
    if options.json:
        print(json.dumps({"match": match_rows, "request": rows}, indent=1))
        return 0
    for row in match_rows:
        print("  ".join(f"{key} {value}" for key, value in row.items()))
    for name, row in rows.items():
        print(
            f"{name}: {row['cpu_us']:.0f} us of CPU a request "
            f"({row['cpu_us'] / rows['absent']['cpu_us']:.3f} of absent), {row['served']:.1%} served, "
            f"{row['rss_mb']:.1f} MB resident"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
