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
from request import ROOT, run_round


def main() -> int:
    """Runs rounds of all modes in turn, and prints their figures beside those without a ledger."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--folder", help="for the ledgers")
    options = parser.parse_args()
    results: dict[str, list[dict[str, float]]] = {"nothing kept": [], "process": [], "machine": []}
    with (
        tempfile.TemporaryDirectory(dir=options.folder) as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        for round_number in range(options.rounds):
            for mode, mode_results in results.items():
                mode_folder = Path(folder, f"{mode.replace(' ', '-')}-{round_number}")
                mode_folder.mkdir()
                ledger_table = f'[ledger]\nfolder = "{mode_folder}"\ncommit = "50ms"\nsurvives = "{mode}"\n'
                service_file = mode_folder / "service.toml"
                service_file.write_text(
                    "version = 1\n" + (ledger_table if mode in ("process", "machine") else "")
                )
                mode_results.append(runner.run(run_round(ROOT, options.requests, 64, str(service_file))))
    baseline = results["nothing kept"]
    for mode, mode_results in results.items():
        cpu_us, base_cpu_us = (
            min(figures["cpu_us"] for figures in figures_of_rounds)
            for figures_of_rounds in (mode_results, baseline)
        )
        p99_ms, base_p99_ms = (
            statistics.median(figures["p99_ms"] for figures in figures_of_rounds)
            for figures_of_rounds in (mode_results, baseline)
        )
        print(
            f"{mode:<14}{cpu_us:7.0f} us of CPU a request ({cpu_us / base_cpu_us:.3f}), 99th percentile "
            f"{p99_ms:.2f} ms ({p99_ms / base_p99_ms:.3f})"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
