"""What a node has seen of servers itself, and what it makes of what all have seen.

Evidence goes round, not verdicts: tries, failures and how long answers took, by server and reporter, ageing.
Each node decides for itself, and so that one node's own trouble is no server's fault:

- a server is bad for all if several reporters find it so, from more than one zone where there are more, and
  most of those who tried it, who had a while to speak; what one alone finds stays its own;
- a reporter that finds much of what it tries bad is at fault itself, and counts for nothing;
- a node that is cut off, or doubts itself, tells nothing;
- what this node has lately tried with success it goes on using, whatever others say;
- no more than a part of the servers is left out on others' word, the worst first; and as evidence lives for
  seconds, a server that nobody tries any more is back within that time.

A server is only ever held back by this: which servers there are is for the list alone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil, log2
from typing import Any, NamedTuple

from driftstair.tier.shared.facts import EVIDENCE, FLIGHT, KINDS, LOAD, PROBE, Fact, Facts

SPAN = 2_500_000_000  # ns: what was seen counts for one to two of these
SURE = 2  # tries, fewer say nothing; a node leaves a server out itself after two that failed
BAD = 0.5  # of the tries that fail
REPORTERS = 3  # that it takes, or all but one of a small tier
MOST = 0.6  # of those who tried it
MAX_HELD_BACK_SHARE = 0.2  # of the servers that are ready, left out on others' word
OWN_FAULT = 1 / 3  # of the servers that a reporter tried: more of them bad is its own fault
MAX_COUNT = 255
BUSIEST, MANY = 3, 4  # servers that a node tells the attempts of, from so many on
PROBE_LIVES = 10_000_000_000  # ns that they do where one node tries for all, which it does ever more seldom
PROBED_MOST = 60_000_000_000  # ns that one node's word alone holds a server back: then all look again
SOUND = 3  # successes in a row by which a prober finds a server sound
FAILURE_RUN_LIFETIME_NS = 6_000_000_000  # ns that failures in a row count after the last
DISSENT_WAIT_NS = 1_500_000_000  # ns: for those who find nothing wrong with a server to say so
LOOKED = 1_000_000_000  # ns between two looks at the own load
SOONEST = 1_000_000_000  # ns between two words on the same, unless they say the opposite


@dataclass(slots=True)
class Seen:
    """Of one server, in a span."""

    tries: int = 0
    failed: int = 0
    unreached: int = 0  # of these, that no connection came about for
    took: int = 0  # ns, of the answers together
    run: int = 0  # tries that failed since the last that did not

    def value(self) -> Value:
        answers = self.tries - self.failed
        slow = int(4 * log2(1 + self.took / answers / 1e6)) if answers else 0
        most = MAX_COUNT
        return (
            min(self.tries, most), min(self.failed, most), min(self.unreached, most), min(slow, most),
            min(self.run, most),
        )  # fmt: skip

    def bad(self) -> bool:
        return is_bad(self.value())

    def tried(self) -> bool:
        return is_tried(self.value())


Value = tuple[int, ...]
"""Of evidence: tries, failed, unreached, how long answers took (4 log2 of ms), failed since a success."""


def is_tried(value: Value) -> bool:
    return value[0] >= SURE or value[4] >= SURE


def is_bad(value: Value) -> bool:
    """By the last tries, or by most of them: a server that failed just now has a good past, and one that is
    tried once in a while by then has none."""
    return value[4] >= SURE or (value[0] >= SURE and value[1] >= BAD * value[0])


class Verdict(NamedTuple):
    server: int
    reporters: tuple[int, ...]
    share: float  # of those who tried it that find it bad


class ServerObservations:
    """What this node has seen, in two spans, of which the older one fades out whole."""

    def __init__(self, now: int) -> None:
        self._spans: list[dict[int, Seen]] = [{}, {}]
        self._runs: dict[int, tuple[int, int]] = {}  # failures in a row, and when the last was
        self._well: dict[int, int] = {}  # successes in a row, of servers that failed lately
        self._began = now
        self.answered = 0  # requests, since the last `load`
        self.in_flight = 0
        self.by_server: dict[int, int] = {}  # attempts out now
        self._load_at = now

    def note(self, now: int, server: int, ok: bool, reached: bool, took: int) -> None:
        self._turn(now)
        seen = self._spans[0].setdefault(server, Seen())
        seen.tries += 1
        seen.failed += not ok
        seen.unreached += not reached
        seen.took += took if ok else 0
        self.answered += ok
        if not ok:
            self._runs[server] = self._runs.get(server, (0, 0))[0] + 1, now
            self._well[server] = 0
        else:
            self._runs.pop(server, None)
            if server in self._well:
                self._well[server] = min(SOUND, self._well[server] + 1)

    def sent(self, server: int) -> None:
        self.by_server[server] = self.by_server.get(server, 0) + 1

    def ended(self, server: int) -> None:
        left = self.by_server.get(server, 0) - 1
        if left > 0:
            self.by_server[server] = left
        else:
            self.by_server.pop(server, None)

    def _turn(self, now: int) -> None:
        if now - self._began >= SPAN:
            old = self._spans[0] if now - self._began < 2 * SPAN else {}
            self._spans, self._began = [{}, old], now

    def all(self, now: int) -> dict[int, Seen]:
        self._turn(now)
        out: dict[int, Seen] = {}
        for span in self._spans:
            for server, one in span.items():
                seen = out.setdefault(server, Seen())
                seen.tries += one.tries
                seen.failed += one.failed
                seen.unreached += one.unreached
                seen.took += one.took
        self._runs = {server: one for server, one in self._runs.items() if now - one[1] < PROBE_LIVES}
        for server, (count, at) in self._runs.items():
            if now - at < FAILURE_RUN_LIFETIME_NS:
                out.setdefault(server, Seen()).run = count
        return out

    def found(self, now: int, server: int) -> bool | None:
        """By whoever tries it for all: whether it fails; None: that is not known."""
        if server in self._runs:
            return True if now - self._runs[server][1] < PROBE_LIVES else None
        return False if self._well.get(server) == SOUND else None

    def per_s(self, now: int) -> int:
        passed = max(1, now - self._load_at)
        rate = int(self.answered * 1e9 / passed)
        self.answered, self._load_at = 0, now
        return rate


class OutlierDetector:
    """`sound`: whether this node may speak of servers at all; `ready`: the servers that its own list names
    ready, by their keys; `zones`: by node, of those that live."""

    def __init__(
        self, facts: Facts, now: int, zone: int, sound: Callable[[], bool],
        zones: Callable[[], dict[int, int]],
    ) -> None:  # fmt: skip
        self.observations = ServerObservations(now)
        self.out: dict[int, Verdict] = {}
        self.ready: set[int] = set()
        self._disputed: dict[int, int] = {}  # since when there has been evidence on a server
        self._out_since: dict[int, int] = {}
        self.probing: dict[int, int] = {}  # servers that this node tries for all, by its token to do so
        self.probed: dict[int, int] = {}  # by server: the greatest token that somebody tried it with
        self.refused: list[tuple[int, int]] = []  # servers and older tokens, for the history
        self._facts = facts
        self._zone = zone
        self._sound = sound
        self._zones = zones

    def tick(self, now: int) -> tuple[list[Verdict], list[Verdict]]:
        """Those that are left out from now on, and those that are back."""
        zones = self._zones()
        seen = self.observations.all(now)
        if self._sound():
            self._tell(now, seen, len(zones))
            self._tell_probes(now, len(zones))
        wanted = {one.server: one for one in self._worst(now, seen, zones)}
        new = [one for server, one in wanted.items() if server not in self.out]
        back = [one for server, one in self.out.items() if server not in wanted]
        self.out = wanted
        self._out_since = {server: self._out_since.get(server, now) for server in wanted}
        return new, back

    def state(self, now: int) -> dict[str, Any]:
        """What is known of the load, by zone: of how many of those that live, and how old at worst, in s."""
        zones = self._zones()
        out: dict[str, Any] = {}
        for zone in sorted(set(zones.values())):
            rows = [one for one in self._facts.read(now, LOAD) if zones.get(one.owner) == zone]
            out[str(zone)] = {
                "nodes": sum(one == zone for one in zones.values()), "heard": len(rows),
                "per_s": sum(one.value[1] for one in rows), "in_flight": sum(one.value[2] for one in rows),
                "oldest_s": round(max((now - one.born for one in rows), default=0) / 1e9, 3),
                "finding_all_bad": sorted(one.owner for one in rows if at_fault(one)),
            }  # fmt: skip
        return out

    def busy(self, now: int) -> dict[int, dict[str, int]]:
        """Attempts that are out, of servers with many: at least so many, to a factor of two, by so many
        nodes. What a node has few of, or beside its busiest, it does not tell."""
        zones = self._zones()
        out: dict[int, dict[str, int]] = {}
        for server, facts in self._facts.subjects(now, FLIGHT).items():
            rows = [one for one in facts if one.owner in zones]
            if rows:
                least = sum(1 << one.value[0] - 1 for one in rows if one.value[0])
                out[server] = {"at_least": least, "by": len(rows)}
        return out

    def _tell(self, now: int, seen: dict[int, Seen], nodes: int) -> None:
        disputed = self._facts.subjects(now, EVIDENCE)
        values = {server: one.value() for server, one in seen.items()}
        for server, value in values.items():
            if value[1] or value[4] or server in disputed:
                self._publish(now, EVIDENCE, server, value, nodes, is_bad)
        bad = sum(map(is_bad, values.values()))
        tried = sum(map(is_tried, values.values()))
        own = self._facts.published(LOAD, 0)
        if (seen or own is not None) and (own is None or now - own.born >= LOOKED):
            rate = self.observations.per_s(now)
            load = (self._zone, min(rate, 0xFFFF), min(self.observations.in_flight, 0xFFFF), tried, bad)
            self._publish(now, LOAD, 0, load, nodes)
        busiest = sorted(self.observations.by_server.items(), key=lambda one: (-one[1], one[0]))[:BUSIEST]
        for server, number in busiest:
            if number >= MANY:
                self._publish(now, FLIGHT, server, (number.bit_length(),), nodes)

    def _tell_probes(self, now: int, nodes: int) -> None:
        for server, token in self.probing.items():
            fails = self.observations.found(now, server)
            if fails is not None:
                parts = tuple(token >> shift & 0xFFFF for shift in (48, 32, 16, 0))
                self._publish(now, PROBE, server, (int(fails), *parts), nodes, lambda value: value[0] > 0)

    def _probes(self, now: int, zones: dict[int, int], faulty: set[int]) -> dict[int, Fact]:
        """By server: what its prober says, unless that finds much of what it tries bad. One with an older
        token than another has shown was too late."""
        out: dict[int, Fact] = {}
        for server, facts in self._facts.subjects(now, PROBE).items():
            for one in facts:
                token = token_of(one)
                if token < self.probed.get(server, 0):
                    if (server, token) not in self.refused:
                        self.refused.append((server, token))
                elif one.owner not in zones or one.owner in faulty:
                    continue
                elif server not in out or token > token_of(out[server]):
                    out[server] = one
                    self.probed[server] = token
        return out

    def hidden(self) -> set[int]:
        """What this node's own module is not to use: it tries those itself that it probes for all."""
        return self.out.keys() - self.probing.keys()

    def _publish(
        self, now: int, kind: int, subject: int, value: Value, nodes: int,
        says: Callable[[Value], bool] = lambda value: False,
    ) -> None:  # fmt: skip
        """`says`: what others will make of it, which is told at once where it changes."""
        known = self._facts.published(kind, subject)
        if known is not None and says(known.value) == says(value):
            age, lives = now - known.born, KINDS[kind].lives
            soonest = lives // 3 if kind == LOAD else SOONEST  # of each node, and so of the fleet the most
            if age < soonest or (age < lives // 2 and not _differs(known.value, value)):
                return
        self._facts.publish(now, kind, subject, value, nodes)

    def _worst(self, now: int, seen: dict[int, Seen], zones: dict[int, int]) -> list[Verdict]:
        faulty = {one.owner for one in self._facts.read(now, LOAD) if at_fault(one)}
        found = []
        probes = self._probes(now, zones, faulty)
        disputed = self._facts.subjects(now, EVIDENCE)
        for server in probes:
            disputed.setdefault(server, [])
        self._disputed = {server: self._disputed.get(server, now) for server in disputed}
        for server, facts in disputed.items():
            if server not in self.ready or now - self._disputed[server] < DISSENT_WAIT_NS:
                continue
            verdict = assess_server(server, facts, zones, faulty)
            own = seen.get(server)
            alone = now - self._out_since.get(server, now) < PROBED_MOST
            if alone and server in self.out and (probe := probes.get(server)) is not None:
                # Whoever tries it for all knows: it is out for as long as that fails, and no longer.
                verdict = Verdict(server, (probe.owner,), 1.0) if probe.value[0] else None
            if verdict is not None and not (own is not None and own.tried() and not own.bad()):
                found.append(verdict)
        room = int(MAX_HELD_BACK_SHARE * len(self.ready))
        # One that is out stays before one that is not: else two of the same kind take turns.
        found.sort(key=lambda one: (one.server not in self.out, -one.share, -len(one.reporters), one.server))
        return found[:room]


def at_fault(load: Fact) -> bool:
    """Whether its owner finds so much bad that the fault is its own."""
    return load.value[4] > max(1, OWN_FAULT * load.value[3])


def token_of(probe: Fact) -> int:
    high, second, third, low = probe.value[1:5]
    return high << 48 | second << 32 | third << 16 | low


def _differs(before: tuple[int, ...], after: tuple[int, ...]) -> bool:
    """By enough to be told: half as much again, or between nothing and something."""
    return any(
        (one == 0) != (other == 0) or abs(one - other) > max(2, one // 2)
        for one, other in zip(before, after, strict=True)
    )


def assess_server(
    server: int, facts: Iterable[Fact], zones: dict[int, int], faulty: set[int]
) -> Verdict | None:
    """A verdict if the server is bad for all. `faulty`: reporters that count for nothing."""
    tried = [one for one in facts if one.owner in zones and one.owner not in faulty and is_tried(one.value)]
    bad = [one.owner for one in tried if is_bad(one.value)]
    wanted = max(2, min(REPORTERS, len(zones) - 1))
    if len(bad) < max(wanted, ceil(MOST * len(tried))):
        return None
    if len(set(zones.values())) > 1 and len({zones[owner] for owner in bad}) < 2:
        return None
    return Verdict(server, tuple(sorted(bad)), len(bad) / len(tried))
