"""Outlier detection: a node's own observations of servers, and its verdicts from the reports of all nodes.

Nodes replicate evidence instead of verdicts: tries, failures and response times by server and reporter, which
expire. Each node decides for itself, by rules that keep the trouble of one node from being blamed on a
server:

- a server is failing if several reporters find it failing, from more than one zone if there are several, and
  most of the reporters that tried it, after all had time to report; the finding of one reporter alone affects
  only that node;
- a reporter that finds a large part of the servers that it tried failing is assumed to be faulty itself, and
  its reports are ignored;
- a node that is cut off, or that assumes a fault of its own, reports nothing;
- a node keeps using a server that it has recently tried with success, whatever other nodes report;
- at most a part of the servers is held back because of reports of other nodes, the worst first. As evidence
  expires within seconds, a server that no node tries any more is used again within that time.

Outlier detection only holds servers back; the server list alone determines which servers exist.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil, log2
from typing import Any, NamedTuple

from driftstair.tier.shared.facts import EVIDENCE, FLIGHT, KINDS, LOAD, PROBE, Fact, FactStore

WINDOW_NS = 2_500_000_000  # an observation counts for one to two windows
MIN_TRIES = 2  # tries before a server is assessed; a node itself stops using a server after two failures
MIN_FAILURE_SHARE = 0.5  # share of failed tries from which a server is failing
MIN_REPORTERS = 3  # that find a server failing; in a small tier, all nodes but one
MIN_REPORTER_SHARE = 0.6  # of the reporters that tried the server
MAX_HELD_BACK_SHARE = 0.2  # of the ready servers, held back because of reports of other nodes
MAX_FAILING_SHARE = 1 / 3  # of the servers that a reporter tried; a reporter above this is faulty itself
MAX_COUNT = 255
# A node publishes its attempts in flight at its busiest servers, if there are enough of them.
MAX_BUSY_SERVERS, MIN_BUSY_ATTEMPTS = 3, 4
# A node that probes a server for all nodes tries it at increasing intervals.
PROBE_LIFETIME_NS = 10_000_000_000
MAX_PROBE_HOLD_NS = 60_000_000_000  # the prober alone holds a server back for so long; then the reports count
MIN_PROBE_SUCCESSES = 3  # consecutive successes after which a prober reports that a server has recovered
FAILURE_RUN_LIFETIME_NS = 6_000_000_000  # consecutive failures count for so long after the last one
DISSENT_WAIT_NS = 1_500_000_000  # time for reporters that find the server healthy to report it
LOAD_INTERVAL_NS = 1_000_000_000  # between two measurements of the node's own load
MIN_PUBLISH_INTERVAL_NS = 1_000_000_000  # between two facts about a subject that lead to the same conclusion


@dataclass(slots=True)
class OutcomeCounts:
    """Outcomes of attempts at one server in a window."""

    tries: int = 0
    failed: int = 0
    unreached: int = 0  # of these, the tries without a connection
    took_ns: int = 0  # total response time of the answers
    failure_run: int = 0  # failures since the last success

    def value(self) -> Value:
        """Returns the value of the evidence that is published for the server."""
        answers = self.tries - self.failed
        response_time = int(4 * log2(1 + self.took_ns / answers / 1e6)) if answers else 0
        maximum = MAX_COUNT
        return (
            min(self.tries, maximum), min(self.failed, maximum), min(self.unreached, maximum),
            min(response_time, maximum), min(self.failure_run, maximum),
        )  # fmt: skip

    def is_failing(self) -> bool:
        """Returns whether the outcomes show that the server fails."""
        return is_failing_value(self.value())

    def is_assessable(self) -> bool:
        """Returns whether there were enough tries to assess the server."""
        return is_assessable_value(self.value())


Value = tuple[int, ...]
"""Value of a fact. That of evidence: tries, failed, unreached, mean response time as 4 log2(1 + ms), and
failures since the last success."""


def is_assessable_value(value: Value) -> bool:
    """Returns whether evidence has enough tries to assess a server."""
    return value[0] >= MIN_TRIES or value[4] >= MIN_TRIES


def is_failing_value(value: Value) -> bool:
    """Returns whether evidence shows that a server fails, by its last tries or by most of them. A server that
    has just begun to fail still has many successes, and one that is tried rarely may have no other tries in
    the window."""
    return value[4] >= MIN_TRIES or (value[0] >= MIN_TRIES and value[1] >= MIN_FAILURE_SHARE * value[0])


class Verdict(NamedTuple):
    """A server that is failing for all nodes, and the reporters that find it failing."""

    server: int
    reporters: tuple[int, ...]
    failing_share: float  # of the reporters that tried the server


class ServerObservations:
    """Outcomes that this node observed, in two windows. The older window is dropped when the newer one
    ends."""

    def __init__(self, now_ns: int) -> None:
        self._windows: list[dict[int, OutcomeCounts]] = [{}, {}]
        self._failure_runs: dict[int, tuple[int, int]] = {}  # consecutive failures, time of the last
        self._success_runs: dict[int, int] = {}  # consecutive successes since a failure
        self._window_start_ns = now_ns
        self.answered_requests = 0  # since the last `measure_rate`
        self.in_flight = 0
        self.attempts_by_server: dict[int, int] = {}  # attempts in flight
        self._rate_measured_at_ns = now_ns

    def record_outcome(self, now_ns: int, server: int, ok: bool, reached: bool, took_ns: int) -> None:
        """Counts the outcome of an attempt. `reached` is False if there was no connection to the server."""
        self._rotate_windows(now_ns)
        counts = self._windows[0].setdefault(server, OutcomeCounts())
        counts.tries += 1
        counts.failed += not ok
        counts.unreached += not reached
        counts.took_ns += took_ns if ok else 0
        self.answered_requests += ok
        if not ok:
            self._failure_runs[server] = self._failure_runs.get(server, (0, 0))[0] + 1, now_ns
            self._success_runs[server] = 0
        else:
            self._failure_runs.pop(server, None)
            if server in self._success_runs:
                self._success_runs[server] = min(MIN_PROBE_SUCCESSES, self._success_runs[server] + 1)

    def on_attempt_sent(self, server: int) -> None:
        """Counts an attempt that starts."""
        self.attempts_by_server[server] = self.attempts_by_server.get(server, 0) + 1

    def on_attempt_ended(self, server: int) -> None:
        """Uncounts an attempt that has ended."""
        remaining = self.attempts_by_server.get(server, 0) - 1
        if remaining > 0:
            self.attempts_by_server[server] = remaining
        else:
            self.attempts_by_server.pop(server, None)

    def _rotate_windows(self, now_ns: int) -> None:
        if now_ns - self._window_start_ns >= WINDOW_NS:
            old = self._windows[0] if now_ns - self._window_start_ns < 2 * WINDOW_NS else {}
            self._windows, self._window_start_ns = [{}, old], now_ns

    def counts_by_server(self, now_ns: int) -> dict[int, OutcomeCounts]:
        """Returns the outcomes of both windows by server."""
        self._rotate_windows(now_ns)
        total: dict[int, OutcomeCounts] = {}
        for window in self._windows:
            for server, part in window.items():
                counts = total.setdefault(server, OutcomeCounts())
                counts.tries += part.tries
                counts.failed += part.failed
                counts.unreached += part.unreached
                counts.took_ns += part.took_ns
        self._failure_runs = {
            server: run for server, run in self._failure_runs.items() if now_ns - run[1] < PROBE_LIFETIME_NS
        }
        for server, (count, failed_at_ns) in self._failure_runs.items():
            if now_ns - failed_at_ns < FAILURE_RUN_LIFETIME_NS:
                total.setdefault(server, OutcomeCounts()).failure_run = count
        return total

    def probe_fails(self, now_ns: int, server: int) -> bool | None:
        """Returns whether a server that this node probes for all nodes fails, or None if that is not
        known."""
        if server in self._failure_runs:
            return True if now_ns - self._failure_runs[server][1] < PROBE_LIFETIME_NS else None
        return False if self._success_runs.get(server) == MIN_PROBE_SUCCESSES else None

    def measure_rate(self, now_ns: int) -> int:
        """Returns the requests answered per second since the last call."""
        elapsed_ns = max(1, now_ns - self._rate_measured_at_ns)
        rate = int(self.answered_requests * 1e9 / elapsed_ns)
        self.answered_requests, self._rate_measured_at_ns = 0, now_ns
        return rate


class OutlierDetector:
    """Verdicts of one node on servers, which are identified by their keys.

    `may_report` returns whether this node may publish its observations, and `zones` the zone of each live
    node. `ready_servers` are the servers that are ready according to this node's server list.
    """

    def __init__(
        self, facts: FactStore, now_ns: int, zone: int, may_report: Callable[[], bool],
        zones: Callable[[], dict[int, int]],
    ) -> None:  # fmt: skip
        self.observations = ServerObservations(now_ns)
        self.held_back: dict[int, Verdict] = {}
        self.ready_servers: set[int] = set()
        self._evidence_since_ns: dict[int, int] = {}  # by server, start of the evidence
        self._held_back_since_ns: dict[int, int] = {}
        self.probe_tokens: dict[int, int] = {}  # servers that this node probes, with its lease token
        self.highest_probe_tokens: dict[int, int] = {}  # by server: the greatest token of a probe result
        self.refused_probes: list[tuple[int, int]] = []  # probes with an older token, for the history
        self._facts = facts
        self._zone = zone
        self._may_report = may_report
        self._zones = zones

    def tick(self, now_ns: int) -> tuple[list[Verdict], list[Verdict]]:
        """Publishes observations and updates the verdicts. Returns the new verdicts and the withdrawn
        ones."""
        zones = self._zones()
        observed = self.observations.counts_by_server(now_ns)
        if self._may_report():
            self._publish_observations(now_ns, observed, len(zones))
            self._publish_probes(now_ns, len(zones))
        verdicts = {verdict.server: verdict for verdict in self._select_verdicts(now_ns, observed, zones)}
        new = [verdict for server, verdict in verdicts.items() if server not in self.held_back]
        withdrawn = [verdict for server, verdict in self.held_back.items() if server not in verdicts]
        self.held_back = verdicts
        self._held_back_since_ns = {
            server: self._held_back_since_ns.get(server, now_ns) for server in verdicts
        }
        return new, withdrawn

    def load_report(self, now_ns: int) -> dict[str, Any]:
        """Returns the known load by zone, with the number of live nodes that reported it and its maximum age
        in seconds."""
        zones = self._zones()
        report: dict[str, Any] = {}
        for zone in sorted(set(zones.values())):
            rows = [row for row in self._facts.read(now_ns, LOAD) if zones.get(row.owner) == zone]
            report[str(zone)] = {
                "nodes": sum(node_zone == zone for node_zone in zones.values()), "heard": len(rows),
                "per_s": sum(row.value[1] for row in rows), "in_flight": sum(row.value[2] for row in rows),
                "oldest_s": round(max((now_ns - row.written_at for row in rows), default=0) / 1e9, 3),
                "finding_all_bad": sorted(row.owner for row in rows if is_faulty_reporter(row)),
            }  # fmt: skip
        return report

    def attempts_report(self, now_ns: int) -> dict[int, dict[str, int]]:
        """Returns a lower bound of the attempts in flight at busy servers, exact to a factor of two, and the
        number of nodes that reported them. A node reports only its busiest servers, if they have many
        attempts."""
        zones = self._zones()
        report: dict[int, dict[str, int]] = {}
        for server, facts in self._facts.by_subject(now_ns, FLIGHT).items():
            rows = [row for row in facts if row.owner in zones]
            if rows:
                least = sum(1 << row.value[0] - 1 for row in rows if row.value[0])
                report[server] = {"at_least": least, "by": len(rows)}
        return report

    def _publish_observations(self, now_ns: int, observed: dict[int, OutcomeCounts], nodes: int) -> None:
        evidence = self._facts.by_subject(now_ns, EVIDENCE)
        values = {server: counts.value() for server, counts in observed.items()}
        for server, value in values.items():
            if value[1] or value[4] or server in evidence:
                self._publish_if_due(now_ns, EVIDENCE, server, value, nodes, is_failing_value)
        failing_count = sum(map(is_failing_value, values.values()))
        assessable_count = sum(map(is_assessable_value, values.values()))
        own_load = self._facts.own_fact(LOAD, 0)
        if (observed or own_load is not None) and (
            own_load is None or now_ns - own_load.written_at >= LOAD_INTERVAL_NS
        ):
            rate = self.observations.measure_rate(now_ns)
            load = (
                self._zone,
                min(rate, 0xFFFF),
                min(self.observations.in_flight, 0xFFFF),
                assessable_count,
                failing_count,
            )
            self._publish_if_due(now_ns, LOAD, 0, load, nodes)
        busiest = sorted(
            self.observations.attempts_by_server.items(), key=lambda entry: (-entry[1], entry[0])
        )[:MAX_BUSY_SERVERS]
        for server, attempts in busiest:
            if attempts >= MIN_BUSY_ATTEMPTS:
                self._publish_if_due(now_ns, FLIGHT, server, (attempts.bit_length(),), nodes)

    def _publish_probes(self, now_ns: int, nodes: int) -> None:
        for server, token in self.probe_tokens.items():
            fails = self.observations.probe_fails(now_ns, server)
            if fails is not None:
                parts = tuple(token >> shift & 0xFFFF for shift in (48, 32, 16, 0))
                self._publish_if_due(
                    now_ns, PROBE, server, (int(fails), *parts), nodes, lambda value: value[0] > 0
                )

    def _valid_probes(self, now_ns: int, zones: dict[int, int], faulty: set[int]) -> dict[int, Fact]:
        """Returns the valid probe result of each server. Results of faulty reporters are ignored, and a
        result with an older token than a previous one is refused, because its node has lost the lease."""
        results: dict[int, Fact] = {}
        for server, facts in self._facts.by_subject(now_ns, PROBE).items():
            for fact in facts:
                token = probe_token(fact)
                if token < self.highest_probe_tokens.get(server, 0):
                    if (server, token) not in self.refused_probes:
                        self.refused_probes.append((server, token))
                elif fact.owner not in zones or fact.owner in faulty:
                    continue
                elif server not in results or token > probe_token(results[server]):
                    results[server] = fact
                    self.highest_probe_tokens[server] = token
        return results

    def hidden_servers(self) -> set[int]:
        """Returns the servers that the decision module of this node must not use. A server that this node
        probes for all nodes is not among them."""
        return self.held_back.keys() - self.probe_tokens.keys()

    def _publish_if_due(
        self, now_ns: int, kind: int, subject: int, value: Value, nodes: int,
        conclusion: Callable[[Value], bool] = lambda value: False,
    ) -> None:  # fmt: skip
        """Publishes a fact unless the last one is recent or similar. `conclusion` is what other nodes
        conclude from a value; a change of it is published at once."""
        known = self._facts.own_fact(kind, subject)
        if known is not None and conclusion(known.value) == conclusion(value):
            age_ns, lifetime_ns = now_ns - known.written_at, KINDS[kind].lifetime_ns
            # Every node publishes its load, so it makes up most of the facts.
            min_interval_ns = lifetime_ns // 3 if kind == LOAD else MIN_PUBLISH_INTERVAL_NS
            if age_ns < min_interval_ns or (
                age_ns < lifetime_ns // 2 and not _differs_notably(known.value, value)
            ):
                return
        self._facts.publish(now_ns, kind, subject, value, nodes)

    def _select_verdicts(
        self, now_ns: int, observed: dict[int, OutcomeCounts], zones: dict[int, int]
    ) -> list[Verdict]:
        faulty = {load.owner for load in self._facts.read(now_ns, LOAD) if is_faulty_reporter(load)}
        verdicts = []
        probes = self._valid_probes(now_ns, zones, faulty)
        evidence = self._facts.by_subject(now_ns, EVIDENCE)
        for server in probes:
            evidence.setdefault(server, [])
        self._evidence_since_ns = {server: self._evidence_since_ns.get(server, now_ns) for server in evidence}
        for server, facts in evidence.items():
            if server not in self.ready_servers or now_ns - self._evidence_since_ns[server] < DISSENT_WAIT_NS:
                continue
            verdict = assess_server(server, facts, zones, faulty)
            own_counts = observed.get(server)
            prober_decides = now_ns - self._held_back_since_ns.get(server, now_ns) < MAX_PROBE_HOLD_NS
            if prober_decides and server in self.held_back and (probe := probes.get(server)) is not None:
                # The prober decides: the server is held back exactly as long as its probes fail.
                verdict = Verdict(server, (probe.owner,), 1.0) if probe.value[0] else None
            if verdict is not None and not (
                own_counts is not None and own_counts.is_assessable() and not own_counts.is_failing()
            ):
                verdicts.append(verdict)
        max_held_back = int(MAX_HELD_BACK_SHARE * len(self.ready_servers))
        # Servers that are held back already come first; otherwise two equally bad servers would alternate.
        verdicts.sort(
            key=lambda verdict: (
                verdict.server not in self.held_back,
                -verdict.failing_share,
                -len(verdict.reporters),
                verdict.server,
            )
        )
        return verdicts[:max_held_back]


def is_faulty_reporter(load: Fact) -> bool:
    """Returns whether a reporter finds so many servers failing that it must be faulty itself."""
    return load.value[4] > max(1, MAX_FAILING_SHARE * load.value[3])


def probe_token(probe: Fact) -> int:
    """Returns the lease token with which a server was probed."""
    high, second, third, low = probe.value[1:5]
    return high << 48 | second << 32 | third << 16 | low


def _differs_notably(before: tuple[int, ...], after: tuple[int, ...]) -> bool:
    """Returns whether a number changed by more than 2 and more than half, or between zero and another
    value."""
    return any(
        (old == 0) != (new == 0) or abs(old - new) > max(2, old // 2)
        for old, new in zip(before, after, strict=True)
    )


def assess_server(
    server: int, facts: Iterable[Fact], zones: dict[int, int], faulty: set[int]
) -> Verdict | None:
    """Returns a verdict if the server is failing for all nodes. Reports of `faulty` reporters are ignored."""
    reports = [
        fact
        for fact in facts
        if fact.owner in zones and fact.owner not in faulty and is_assessable_value(fact.value)
    ]
    failing_reporters = [report.owner for report in reports if is_failing_value(report.value)]
    needed = max(2, min(MIN_REPORTERS, len(zones) - 1))
    if len(failing_reporters) < max(needed, ceil(MIN_REPORTER_SHARE * len(reports))):
        return None
    if len(set(zones.values())) > 1 and len({zones[owner] for owner in failing_reporters}) < 2:
        return None
    return Verdict(server, tuple(sorted(failing_reporters)), len(failing_reporters) / len(reports))
