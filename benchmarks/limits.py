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
from request import HERE, one_round

sys.path.insert(0, str(HERE))


def text(routes: int) -> str:
    """Routes by key prefix and tenant, with a catch-all: a match looks at each shape."""
    lines = ["version = 1"]
    for index in range(routes - 1):
        match = f'{{ class = "page", key = "video-{index:05d}" }}'
        lines.append(f'[[route]]\nname = "r{index}"\nmatch = {match}\ntimeout = {{ total = "900ms" }}')
    lines.append('[[route]]\nname = "rest"\ntimeout = { total = "950ms" }\nretry = { attempts = 3 }')
    return "\n".join(lines)


def match_cost(routes: int) -> dict[str, float]:
    from driftstair.limits.routes import Pattern, RouteQuery, Routes
    from driftstair.limits.validation import find_problems
    from driftstair.service.load import parse

    began = time.perf_counter()
    loaded = parse(text(routes), "f")
    problems = find_problems(loaded, None)
    loading = time.perf_counter() - began
    assert not problems, problems[:1]
    tracemalloc.start()
    index = Routes(Pattern.of(route.match) for route in loaded.service.route)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    fields: dict[bytes, bytes] = {}
    asked = [
        RouteQuery("page", "a", "GET", "/api", fields, f"video-{number:05d}") for number in range(0, 5000, 7)
    ]
    rounds = []
    for _ in range(7):
        began = time.perf_counter()
        for one in asked:
            index.find(one)
        rounds.append((time.perf_counter() - began) / len(asked))
    return {
        "routes": routes, "match_us": round(min(rounds) * 1e6, 3), "load_and_proof_s": round(loading, 3),
        "index_kb": round(memory / 1024, 1),
    }  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    matches = [match_cost(routes) for routes in (1, 100, 5000)]
    served: dict[str, list[dict[str, float]]] = {"absent": [], "10 routes": [], "5000 routes": []}
    with tempfile.TemporaryDirectory() as folder:
        files = {"absent": ""}
        for routes in (10, 5000):
            path = Path(folder, f"{routes}.toml")
            path.write_text(text(routes))
            files[f"{routes} routes"] = str(path)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            for _ in range(options.rounds):
                for name, file in files.items():
                    served[name].append(runner.run(one_round(HERE, options.requests, 64, file)))
    rows = {
        name: {
            key: round((min if key == "cpu_us" else statistics.median)(one[key] for one in rounds), 3)
            for key in rounds[0]
        }
        for name, rounds in served.items()
    }
    if options.json:
        print(json.dumps({"match": matches, "request": rows}, indent=1))
        return 0
    for row in matches:
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
