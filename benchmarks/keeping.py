"""What a request costs a daemon that keeps a ledger, and what it does to the slowest answers.

    python benchmarks/keeping.py [--requests N] [--rounds N] [--folder DIR]

Busy connections, 20 tenants, a commit every 50 ms. Ratios are to a service file that says nothing, within one
run; rounds take the ways in turn. `--folder`: on the disk that is to be measured; else where temporary files
lie. Not part of CI.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
from pathlib import Path

import uvloop
from request import HERE, one_round


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--folder", help="for the ledgers")
    options = parser.parse_args()
    found: dict[str, list[dict[str, float]]] = {"nothing kept": [], "process": [], "machine": []}
    with (
        tempfile.TemporaryDirectory(dir=options.folder) as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        for number in range(options.rounds):
            for way, rounds in found.items():
                kept = Path(folder, f"{way.replace(' ', '-')}-{number}")
                kept.mkdir()
                table = f'[ledger]\nfolder = "{kept}"\ncommit = "50ms"\nsurvives = "{way}"\n'
                path = kept / "service.toml"
                path.write_text("version = 1\n" + (table if way in ("process", "machine") else ""))
                rounds.append(runner.run(one_round(HERE, options.requests, 64, str(path))))
    first = found["nothing kept"]
    for way, rounds in found.items():
        cpu, base = (min(one["cpu_us"] for one in rows) for rows in (rounds, first))
        slow, usual = (statistics.median(one["p99_ms"] for one in rows) for rows in (rounds, first))
        print(
            f"{way:<14}{cpu:7.0f} us of CPU a request ({cpu / base:.3f}), 99th percentile {slow:.2f} ms "
            f"({slow / usual:.3f})"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
