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

MARK = " tally {"
SECOND = 1000  # ms


@dataclass
class Losses:
    """Sums over all nodes."""

    nodes: set[str] = field(default_factory=set)
    skipped: int = 0  # lines that are no tally, though marked as one
    asked: float = 0.0  # worth
    in_time: float = 0.0
    worth: Counter[str] = field(default_factory=Counter)  # lost, by cause
    requests: Counter[str] = field(default_factory=Counter)
    by_class: defaultdict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    by_second: defaultdict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    calls: Counter[int] = field(default_factory=Counter)  # for the list, by second
    calls_failed: int = 0
    sent: Counter[str] = field(default_factory=Counter)  # by server
    sent_in: Counter[tuple[str, int]] = field(default_factory=Counter)  # by server and second
    bad: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    finders: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    """Nodes to whom a server failed at all: a bad one that all find out by themselves."""

    def add(self, node: str, second: int, line: dict[str, Any]) -> None:
        worths = line["worth"]

        def worth(counts: list[int]) -> float:
            return sum(float(one) * count for one, count in zip(worths, counts, strict=True))

        self.nodes.add(node)
        self.asked += worth(line["asked"])
        self.in_time += worth(line["in_time"])
        for cause, counts in line["lost"].items():
            self.worth[cause] += worth(counts)  # type: ignore[assignment]
            self.requests[cause] += sum(counts)
            self.by_class[cause].update(dict(enumerate(counts)))
            self.by_second[cause][second] += sum(counts)
        self.calls[second] += line["list_calls"]
        self.calls_failed += line["list_failed"]
        for server, count in line["sent"].items():
            self.sent[server] += count
            self.sent_in[server, second] += count
        for server, results in line["bad"].items():
            self.bad[server].update(results)
            self.finders[server].add(node)


def read(folder: Path) -> Losses:
    found: list[tuple[str, int, dict[str, Any]]] = []
    skipped = 0
    for file in sorted(folder.rglob("*.log")):
        if not file.is_file():
            continue
        with file.open(encoding="utf-8", errors="replace") as lines:
            for text in lines:
                _, mark, rest = text.partition(MARK)
                if not mark:
                    continue
                try:
                    line = json.loads("{" + rest)
                    # What was counted lies before the line: it goes to the second in which the span began.
                    found.append((str(file), int(line["at_ms"]) - int(line["span_ms"]), line))
                except (ValueError, KeyError, TypeError, RecursionError):
                    skipped += 1
    losses = Losses(skipped=skipped)
    first = min((at for _, at, _ in found), default=0)
    for node, at, line in found:
        try:
            losses.add(node, (at - first) // SECOND, line)
        except (ValueError, KeyError, TypeError, AttributeError):
            losses.skipped += 1
    return losses


def table(losses: Losses, most: int) -> dict[str, Any]:
    """Causes by worth lost, the largest first; `part` is of the worth asked for."""
    asked = max(1e-9, losses.asked)
    return {
        "nodes": len(losses.nodes), "lines_skipped": losses.skipped, "asked": round(losses.asked, 1),
        "in_time": round(losses.in_time / asked, 4),
        "causes": [
            {
                "cause": cause, "part": round(worth / asked, 4), "requests": losses.requests[cause],
                "by_class": [losses.by_class[cause][index] for index in sorted(losses.by_class[cause])],
                "busiest": losses.by_second[cause].most_common(3),
            }
            for cause, worth in losses.worth.most_common()
        ],
        "servers": [
            {
                "server": server, "bad": sum(results.values()), "sent": losses.sent[server],
                "results": dict(results), "nodes": len(losses.finders[server]),
                "most_in_a_second": max(
                    (n for (one, _), n in losses.sent_in.items() if one == server), default=0
                ),
            }
            for server, results in sorted(losses.bad.items(), key=lambda one: -sum(one[1].values()))[:most]
        ],
        "servers_used": len(losses.sent), "servers_bad": len(losses.bad),
        "list_calls": sum(losses.calls.values()), "list_calls_failed": losses.calls_failed,
        "list_calls_busiest": losses.calls.most_common(1),
    }  # fmt: skip


def shown(found: dict[str, Any]) -> str:
    rows = [
        f"{found['nodes']} nodes; {found['in_time']:.1%} of {found['asked']:g} worth in time"
        + (f"; {found['lines_skipped']} lines are no tally" if found["lines_skipped"] else ""),
        f"{'cause':<16}{'of worth':>9}{'requests':>10}  by class; busiest seconds (second: requests)",
    ]
    for one in found["causes"]:
        busiest = ", ".join(f"{second}: {count}" for second, count in one["busiest"])
        classes = " ".join(str(count) for count in one["by_class"])
        rows.append(f"{one['cause']:<16}{one['part']:>9.2%}{one['requests']:>10}  {classes}; {busiest}")
    rows.append(
        f"list calls {found['list_calls']}, failed {found['list_calls_failed']}, "
        f"busiest (second, calls) {found['list_calls_busiest']}"
    )
    rows.append(f"attempts at {found['servers_used']} servers; {found['servers_bad']} failed at least once:")
    for one in found["servers"]:
        results = ", ".join(f"{name} {count}" for name, count in sorted(one["results"].items()))
        rows.append(
            f"  {one['server']}: {one['bad']} of {one['sent']} to {one['nodes']} nodes ({results}); "
            f"most in a second {one['most_in_a_second']}"
        )
    return "\n".join(rows)


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--most", type=int, default=8, help="servers shown")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(words)
    if not options.folder.is_dir():
        print(f"losses: {options.folder}: is no folder; name one that holds nodes' logs", file=sys.stderr)
        return 2
    losses = read(options.folder)
    if not losses.nodes:
        print(
            f"losses: {options.folder}: no file *.log holds a tally; run the nodes with [tally] in their "
            "service file", file=sys.stderr,
        )  # fmt: skip
        return 1
    found = table(losses, options.most)
    print(json.dumps(found, indent=1) if options.json else shown(found))
    return 0


if __name__ == "__main__":
    sys.exit(main())
