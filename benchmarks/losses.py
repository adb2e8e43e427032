"""Where requests were lost: the tallies of all nodes' logs added up, by cause and by server.

    python benchmarks/losses.py FOLDER [--most 8] [--json]

FOLDER: any folder of logs, each file one node's (looked for at any depth, `*.log`). The nodes must have run
with `[tally]` in their service file (docs/operating/limits.md). Lines are put together by the nodes' clocks,
into whole seconds from the first. The worth of a lost request is its class's.

Exit status: 0, 1 where no file holds a tally, 2 where the folder can't be read.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

TALLY_MARK = " tally {"
MS_PER_S = 1000


@dataclass
class Losses:
    """Tallies added up over all nodes."""

    nodes: set[str] = field(default_factory=set)
    skipped_lines: int = 0  # marked as tallies but not valid
    requested_worth: float = 0.0
    worth_in_time: float = 0.0
    lost_worth: Counter[str] = field(default_factory=Counter)  # by cause
    lost_requests: Counter[str] = field(default_factory=Counter)
    lost_by_class: defaultdict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    lost_by_second: defaultdict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    list_calls: Counter[int] = field(default_factory=Counter)  # calls to the box list by second
    failed_list_calls: int = 0
    attempts_by_server: Counter[str] = field(default_factory=Counter)
    attempts_by_server_and_second: Counter[tuple[str, int]] = field(default_factory=Counter)
    failures_by_server: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    nodes_with_failures: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    """The nodes at which a server failed at least once. A bad server appears with many nodes, as each node
    has to detect it by itself."""

    def add(self, node: str, second: int, tally: dict[str, Any]) -> None:
        """Adds one tally of a node. `second`: since the first tally of all nodes."""
        class_worths = tally["worth"]

        def sum_worth(counts: list[int]) -> float:
            return sum(
                float(class_worth) * count for class_worth, count in zip(class_worths, counts, strict=True)
            )

        self.nodes.add(node)
        self.requested_worth += sum_worth(tally["asked"])
        self.worth_in_time += sum_worth(tally["in_time"])
        for cause, counts in tally["lost"].items():
            self.lost_worth[cause] += sum_worth(counts)  # type: ignore[assignment]
            self.lost_requests[cause] += sum(counts)
            self.lost_by_class[cause].update(dict(enumerate(counts)))
            self.lost_by_second[cause][second] += sum(counts)
        self.list_calls[second] += tally["list_calls"]
        self.failed_list_calls += tally["list_failed"]
        for server, count in tally["sent"].items():
            self.attempts_by_server[server] += count
            self.attempts_by_server_and_second[server, second] += count
        for server, results in tally["bad"].items():
            self.failures_by_server[server].update(results)
            self.nodes_with_failures[server].add(node)


def read_logs(folder: Path) -> Losses:
    """Adds up the tallies of all log files below a folder."""
    tallies: list[tuple[str, int, dict[str, Any]]] = []
    skipped_lines = 0
    for log_file in sorted(folder.rglob("*.log")):
        if not log_file.is_file():
            continue
        with log_file.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                _, separator, json_rest = line.partition(TALLY_MARK)
                if not separator:
                    continue
                try:
                    tally = json.loads("{" + json_rest)
                    # A line reports the span before it, and counts in the second in which that span began.
                    tallies.append((str(log_file), int(tally["at_ms"]) - int(tally["span_ms"]), tally))
                except (ValueError, KeyError, TypeError, RecursionError):
                    skipped_lines += 1
    losses = Losses(skipped_lines=skipped_lines)
    first_ms = min((at_ms for _, at_ms, _ in tallies), default=0)
    for node, at_ms, tally in tallies:
        try:
            losses.add(node, (at_ms - first_ms) // MS_PER_S, tally)
        except (ValueError, KeyError, TypeError, AttributeError):
            losses.skipped_lines += 1
    return losses


def summarize(losses: Losses, max_servers: int) -> dict[str, Any]:
    """Returns the losses by cause, the largest lost worth first, and the servers with the most failures.

    `part` is the fraction of the requested worth.
    """
    requested_worth = max(1e-9, losses.requested_worth)
    return {
        "nodes": len(losses.nodes), "lines_skipped": losses.skipped_lines,
        "asked": round(losses.requested_worth, 1),
        "in_time": round(losses.worth_in_time / requested_worth, 4),
        "causes": [
            {
                "cause": cause, "part": round(lost_worth / requested_worth, 4),
                "requests": losses.lost_requests[cause],
                "by_class": [
                    losses.lost_by_class[cause][index] for index in sorted(losses.lost_by_class[cause])
                ],
                "busiest": losses.lost_by_second[cause].most_common(3),
            }
            for cause, lost_worth in losses.lost_worth.most_common()
        ],
        "servers": [
            {
                "server": server, "bad": sum(result_counts.values()),
                "sent": losses.attempts_by_server[server],
                "results": dict(result_counts), "nodes": len(losses.nodes_with_failures[server]),
                "most_in_a_second": max(
                    (count for (name, _), count in losses.attempts_by_server_and_second.items()
                     if name == server), default=0
                ),
            }
            for server, result_counts in sorted(
                losses.failures_by_server.items(), key=lambda entry: -sum(entry[1].values())
            )[:max_servers]
        ],
        "servers_used": len(losses.attempts_by_server), "servers_bad": len(losses.failures_by_server),
        "list_calls": sum(losses.list_calls.values()), "list_calls_failed": losses.failed_list_calls,
        "list_calls_busiest": losses.list_calls.most_common(1),
    }  # fmt: skip


def format_summary(summary: dict[str, Any]) -> str:
    """Returns the lines of a summary for a terminal."""
    output_lines = [
        f"{summary['nodes']} nodes; {summary['in_time']:.1%} of {summary['asked']:g} worth in time"
        + (f"; {summary['lines_skipped']} lines are no tally" if summary["lines_skipped"] else ""),
        f"{'cause':<16}{'of worth':>9}{'requests':>10}  by class; busiest seconds (second: requests)",
    ]
    for row in summary["causes"]:
        busiest = ", ".join(f"{second}: {count}" for second, count in row["busiest"])
        classes = " ".join(str(count) for count in row["by_class"])
        output_lines.append(
            f"{row['cause']:<16}{row['part']:>9.2%}{row['requests']:>10}  {classes}; {busiest}"
        )
    output_lines.append(
        f"list calls {summary['list_calls']}, failed {summary['list_calls_failed']}, "
        f"busiest (second, calls) {summary['list_calls_busiest']}"
    )
    output_lines.append(
        f"attempts at {summary['servers_used']} servers; {summary['servers_bad']} failed at least once:"
    )
    for row in summary["servers"]:
        result_text = ", ".join(f"{name} {count}" for name, count in sorted(row["results"].items()))
        output_lines.append(
            f"  {row['server']}: {row['bad']} of {row['sent']} to {row['nodes']} nodes ({result_text}); "
            f"most in a second {row['most_in_a_second']}"
        )
    return "\n".join(output_lines)


def main(arguments: list[str] | None = None) -> int:
    """Prints the summary of a folder of logs, and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--most", type=int, default=8, help="servers shown")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    if not options.folder.is_dir():
        print(f"losses: {options.folder}: is no folder; name one that holds nodes' logs", file=sys.stderr)
        return 2
    losses = read_logs(options.folder)
    if not losses.nodes:
        print(
            f"losses: {options.folder}: no file *.log holds a tally; run the nodes with [tally] in their "
            "service file", file=sys.stderr,
        )  # fmt: skip
        return 1
    summary = summarize(losses, options.most)
    print(json.dumps(summary, indent=1) if options.json else format_summary(summary))
    return 0


if __name__ == "__main__":
    sys.exit(main())
